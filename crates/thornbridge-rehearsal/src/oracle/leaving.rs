//! Checks about leaving: no new work for the leaving, and a planned stop that cuts nothing off.

use super::{Invariant, Oracle};
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_proto::back_end::Attempt;

/// Time after which a leaving back end or node must get no new work.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(3);

impl Oracle {
    /// A node sends an attempt to a back end that announced leaving at a time, or did not.
    /// Gives whether it is the first attempt of the request on its shard.
    pub fn attempt_sent(
        &mut self,
        now: Timestamp,
        node: &str,
        back_end: &str,
        attempt: &Attempt,
        leaving_since: Option<Timestamp>,
    ) -> bool {
        let holds = leaving_since.is_none_or(|since| now.since(since) <= LEAVING_LIMIT);
        self.log
            .check(Invariant::LeavingGetsNoNewWork, now, holds, || {
                format!(
                    "{node} sent attempt {} of {} to {back_end}, which announced leaving {:?} before",
                    attempt.attempt,
                    attempt.request,
                    now.since(leaving_since.unwrap_or(now))
                )
            });
        let truth = self.requests.entry(attempt.request).or_default();
        truth.note_sent(attempt.shard)
    }

    /// A node hands an action on to a node that announced leaving at a time, or did not.
    pub fn action_forwarded(
        &mut self,
        now: Timestamp,
        from: &str,
        to: &str,
        leaving_since: Option<Timestamp>,
    ) {
        let holds = leaving_since.is_none_or(|since| now.since(since) <= LEAVING_LIMIT);
        self.log
            .check(Invariant::LeavingGetsNoNewWork, now, holds, || {
                format!("{from} forwarded an action to {to}, which announced leaving before")
            });
    }

    /// A node that was asked to stop ends, with this many requests taken and not answered.
    pub fn stopped(&mut self, now: Timestamp, node: &str, unanswered: usize) {
        self.log.check(
            Invariant::PlannedStopCutsNothing,
            now,
            unanswered == 0,
            || format!("{node} stopped with {unanswered} requests in flight"),
        );
    }

    /// A request that a node accepted before it was asked to stop ended.
    pub fn ended_while_stopping(&mut self, now: Timestamp, node: &str, cut: bool) {
        self.log
            .check(Invariant::PlannedStopCutsNothing, now, !cut, || {
                format!("{node} refused a request as leaving that it had accepted before")
            });
    }

    /// A node that was asked to stop ought to have ended long ago.
    pub fn stop_overdue(&mut self, now: Timestamp, node: &str) {
        self.log
            .check(Invariant::PlannedStopCutsNothing, now, false, || {
                format!("{node} was asked to stop and did not end")
            });
    }
}
