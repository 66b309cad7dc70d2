//! Whether servers refuse connections because they have too many.
//!
//! A server accepts a connection and resets it at once where it has too many, as after machines lost
//! power: it keeps theirs for a while. Two things follow while that is seen. A fresh connection is
//! proved before it carries anything: the reset arrives one round trip after it opened, and a
//! request that was written by then may have run. And connections are kept for a moment only after
//! use, so that all nodes share the few that there are.

use crate::driver_action::ConnectionId;
use crate::gateway::notes::GatewayChange;
use crate::gateway::window::SumWindow;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Steps in which refusals are counted.
const STEPS: u32 = 20;
/// Refusals in the window below which connections are not scarce.
const LEAST_REFUSALS: u64 = 5;
/// Connections opened for one refused, above which connections are not scarce.
const OPENED_FOR_ONE_REFUSED: u64 = 5;

/// Connections that were opened and refused lately, and those that are being proved.
#[derive(Debug)]
pub(super) struct Scarcity {
    opened: SumWindow,
    refused: SumWindow,
    proving: BTreeSet<(Timestamp, ConnectionId)>,
    told: bool,
}

impl Scarcity {
    pub(super) fn new(window: Duration) -> Self {
        let step = window / STEPS;
        Self {
            opened: SumWindow::new(step, STEPS),
            refused: SumWindow::new(step, STEPS),
            proving: BTreeSet::new(),
            told: false,
        }
    }

    pub(super) fn opened(&mut self, now: Timestamp) {
        self.opened.add(now, 1);
    }

    pub(super) fn refused(&mut self, now: Timestamp) {
        self.refused.add(now, 1);
    }

    /// Whether any server refused a connection lately.
    pub(super) fn refusals_seen(&mut self, now: Timestamp) -> bool {
        self.refused.sum(now) > 0
    }

    /// Whether servers refuse a good part of the connections.
    pub(super) fn is_scarce(&mut self, now: Timestamp) -> bool {
        let refused = self.refused.sum(now);
        refused >= LEAST_REFUSALS && refused * OPENED_FOR_ONE_REFUSED >= self.opened.sum(now)
    }

    /// The change since it was last asked for, for the log.
    pub(super) fn change(&mut self, now: Timestamp) -> Option<GatewayChange> {
        let scarce = self.is_scarce(now);
        if scarce == self.told {
            return None;
        }
        self.told = scarce;
        Some(GatewayChange::Scarcity {
            scarce,
            refused: self.refused.sum(now),
            opened: self.opened.sum(now),
        })
    }

    pub(super) fn prove(&mut self, connection: ConnectionId, until: Timestamp) {
        self.proving.insert((until, connection));
    }

    pub(super) fn forget(&mut self, connection: ConnectionId, until: Timestamp) {
        self.proving.remove(&(until, connection));
    }

    /// When the next connection is proved.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.proving.first().map(|(until, _)| *until)
    }

    /// A connection that is proved by now.
    pub(super) fn next_proved(&mut self, now: Timestamp) -> Option<ConnectionId> {
        let (until, connection) = self.proving.first().copied()?;
        if until > now {
            return None;
        }
        self.proving.pop_first();
        Some(connection)
    }
}
