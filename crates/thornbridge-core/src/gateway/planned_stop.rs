//! Planned stop: every request that this node has read gets an answer before the process ends.

use super::Gateway;
use super::action::{GatewayAction, RefusalReason, RefusalStatus};
use super::caller_try::CallerTry;
use super::refusal::Refusal;
use super::telemetry::GatewayChange;
use crate::membership::Membership;
use crate::time::Timestamp;
use std::time::Duration;

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedStop {
    /// Until when requests are taken whatever time they need.
    serves_until: Timestamp,
    /// When requests without an answer are answered with what is known.
    answers_at: Timestamp,
    has_ended: bool,
}

impl PlannedStop {
    /// Whether a request that is answered within `needed` can be taken. Load balancers send requests
    /// until they notice that the node is not ready.
    fn can_take(&self, now: Timestamp, needed: Duration) -> bool {
        now < self.serves_until || now + needed <= self.answers_at
    }

    /// When the stop ends.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        (!self.has_ended).then_some(self.answers_at)
    }
}

impl Gateway {
    pub(super) fn stop_requested(&mut self, serve_for: Duration, answer_within: Duration) {
        if self.planned_stop.is_some() {
            return;
        }
        self.planned_stop = Some(PlannedStop {
            serves_until: self.now + serve_for,
            answers_at: self.now + answer_within,
            has_ended: false,
        });
        let state = "stopping";
        let change = GatewayChange::Lifecycle { state };
        self.actions.push_back(GatewayAction::Changed(change));
        self.with_membership(Membership::leave);
    }

    /// Whether this node goes on for as long as a request needs to be answered.
    pub(super) fn can_take(&self, needed: Duration) -> bool {
        let stop = self.planned_stop;
        stop.is_none_or(|stop| stop.can_take(self.now, needed))
    }

    /// Answers all requests of callers if the stop is to end.
    pub(super) fn end_stop_if_due(&mut self) {
        let now = self.now;
        let due = |stop: &&mut PlannedStop| stop.next_timeout().is_some_and(|due| due <= now);
        let Some(stop) = self.planned_stop.as_mut().filter(due) else {
            return;
        };
        stop.has_ended = true;
        for request in self.pending.take_all() {
            let refusal = Refusal::stopping(now.since(request.arrived));
            self.refuse(request.caller, &request.head, refusal);
        }
        let (exchanges, mut context) = self.exchanges();
        exchanges.answer_all(&mut context);
    }
}

impl Refusal {
    /// Refusal of a request that `waited` in a node that stops. Its caller may ask another node at
    /// once.
    pub(super) fn stopping(waited: Duration) -> Self {
        Self {
            reason: RefusalReason::Stopping,
            status: RefusalStatus::NotRun,
            retry_after: Some(Duration::ZERO),
            caller_try: CallerTry::Unknown,
            waited,
        }
    }
}
