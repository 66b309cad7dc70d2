//! Detection of servers that refuse connections because they are at their connection limit.
//!
//! A server over its limit accepts a connection and resets it at once, for example while it still
//! holds connections of machines that lost power. While refusals are seen:
//!
//! - A fresh connection is on probation before it carries a request: the reset arrives one round
//!   trip after opening, and a request written by then may have run.
//! - Idle connections are closed soon after use, so that all nodes share the available ones.

use crate::driver_action::ConnectionId;
use crate::gateway::telemetry::GatewayChange;
use crate::gateway::window::SumWindow;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;

/// Buckets of the window in which connections are counted.
const WINDOW_BUCKETS: u32 = 20;
/// Least number of refusals in the window for connections to count as scarce.
const MIN_REFUSALS: u64 = 5;
/// Highest ratio of opened to refused connections at which connections count as scarce.
const MAX_OPENED_PER_REFUSAL: u64 = 5;

/// Recently opened and refused connections, and connections on probation.
#[derive(Debug)]
pub(super) struct Scarcity {
    opened: SumWindow,
    refused: SumWindow,
    on_probation: BTreeSet<(Timestamp, ConnectionId)>,
    last_reported: bool,
}

impl Scarcity {
    pub(super) fn new(window: Duration) -> Self {
        let bucket_duration = window / WINDOW_BUCKETS;
        Self {
            opened: SumWindow::new(bucket_duration, WINDOW_BUCKETS),
            refused: SumWindow::new(bucket_duration, WINDOW_BUCKETS),
            on_probation: BTreeSet::new(),
            last_reported: false,
        }
    }

    pub(super) fn opened(&mut self, now: Timestamp) {
        self.opened.add(now, 1);
    }

    pub(super) fn refused(&mut self, now: Timestamp) {
        self.refused.add(now, 1);
    }

    /// Whether any server refused a connection within the window.
    pub(super) fn has_refusals(&mut self, now: Timestamp) -> bool {
        self.refused.sum(now) > 0
    }

    /// Whether servers refuse a large share of the connections.
    pub(super) fn is_scarce(&mut self, now: Timestamp) -> bool {
        let refused = self.refused.sum(now);
        refused >= MIN_REFUSALS && refused * MAX_OPENED_PER_REFUSAL >= self.opened.sum(now)
    }

    /// The change since the last call, for the log.
    pub(super) fn take_change(&mut self, now: Timestamp) -> Option<GatewayChange> {
        let scarce = self.is_scarce(now);
        if scarce == self.last_reported {
            return None;
        }
        self.last_reported = scarce;
        Some(GatewayChange::Scarcity {
            scarce,
            refused: self.refused.sum(now),
            opened: self.opened.sum(now),
        })
    }

    pub(super) fn begin_probation(&mut self, connection: ConnectionId, until: Timestamp) {
        self.on_probation.insert((until, connection));
    }

    pub(super) fn cancel_probation(&mut self, connection: ConnectionId, until: Timestamp) {
        self.on_probation.remove(&(until, connection));
    }

    /// End of the next probation.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.on_probation.first().map(|(until, _)| *until)
    }

    /// Removes and returns a connection whose probation is over.
    pub(super) fn pop_ended_probation(&mut self, now: Timestamp) -> Option<ConnectionId> {
        let (until, connection) = self.on_probation.first().copied()?;
        if until > now {
            return None;
        }
        self.on_probation.pop_first();
        Some(connection)
    }
}
