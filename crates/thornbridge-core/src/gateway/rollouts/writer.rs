//! Writing the state of one roll-out to the store: one write at a time, repeated until it stands.

use super::orders::KnownOrder;
use crate::gateway::action::GatewayAction;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::peer::rollout::{RolloutId, RolloutState};
use thornbridge_proto::peer::view::StoreRevision;

/// Time after which a write fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond the timeout after which a write counts as failed if no result was reported.
const RESULT_MARGIN: Duration = Duration::from_millis(500);
/// Pause after a failed write, doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Upper bound of the pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Bound on the doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;

/// Write whose result is not known.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct PendingWrite {
    write: u64,
    pub(in crate::gateway) id: RolloutId,
    pub(in crate::gateway) based_on: StoreRevision,
    pub(in crate::gateway) state: RolloutState,
    expires: Timestamp,
}

/// Writes of one roll-out's state.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Writer {
    pending: Option<PendingWrite>,
    not_before: Timestamp,
    consecutive_failures: u32,
}

impl Writer {
    /// Whether a write may start.
    pub(in crate::gateway) fn is_ready(&self, now: Timestamp) -> bool {
        self.pending.is_none() && self.not_before <= now
    }

    /// Starts a write on the revision of the order that is known.
    pub(in crate::gateway) fn start(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        write: u64,
        order: &KnownOrder,
        state: RolloutState,
    ) {
        self.pending = Some(PendingWrite {
            write,
            id: order.id.clone(),
            based_on: order.revision,
            state,
            expires: now + WRITE_TIMEOUT + RESULT_MARGIN,
        });
        actions.push_back(GatewayAction::WriteState {
            service: order.id.service.clone(),
            write,
            based_on: order.revision,
            target: order.id.target.clone(),
            state,
            timeout: WRITE_TIMEOUT,
        });
    }

    /// The pending write that a result belongs to.
    pub(in crate::gateway) fn completed(&mut self, write: u64) -> Option<PendingWrite> {
        self.pending.take_if(|pending| pending.write == write)
    }

    /// Fails a write whose result was not reported; returns whether there was one.
    pub(in crate::gateway) fn expire(&mut self, now: Timestamp) -> bool {
        let expired = self.pending.take_if(|pending| pending.expires <= now);
        if expired.is_some() {
            self.failed(now);
        }
        expired.is_some()
    }

    /// Delays the next write after a failure.
    pub(in crate::gateway) fn failed(&mut self, now: Timestamp) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        self.consecutive_failures += 1;
        self.not_before = now + pause;
    }

    /// Resets the pause after an answer of the store.
    pub(in crate::gateway) fn answered(&mut self) {
        self.consecutive_failures = 0;
    }

    /// When a pending write expires, or the next one may start.
    pub(in crate::gateway) fn next_timeout(&self) -> Timestamp {
        match &self.pending {
            Some(pending) => pending.expires,
            None => self.not_before,
        }
    }
}
