//! Faults put into the driver on purpose, to prove that the oracle finds them. Tests only.

use super::Simulator;
use super::back_end::ConnectionKey;
use super::occurrence::{Occurrence, ServerArrival};
use std::time::Duration;
use thornbridge_core::CallerId;
use thornbridge_proto::back_end::{Attempt, Work};
use thornbridge_proto::caller::{Executed, QueryAnswer, Refusal, RefusalReason};

/// One deliberately broken variant of the driver for each invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// A hit of an answer is from another snapshot.
    MixSnapshots,
    /// An answer hides a shard that is missing.
    InflateCoverage,
    /// An answer goes to another caller.
    SwapAnswers,
    /// A query that ran is refused as not run.
    DenyExecution,
    /// An action reaches its back end twice.
    DuplicateAction,
    /// Attempts count as sent to a back end that is leaving.
    IgnoreLeaving,
    /// A node that is asked to stop ends at once.
    CutOnStop,
    /// A node goes back to the generation before.
    RevertConfiguration,
    /// An answer names a digest that was never approved.
    UnapprovedVersion,
}

impl Simulator {
    fn is_sabotaged(&self, sabotage: Sabotage) -> bool {
        self.setup.sabotage == Some(sabotage)
    }

    pub(super) fn sabotaged_answer(&self, mut answer: QueryAnswer) -> QueryAnswer {
        match self.setup.sabotage {
            Some(Sabotage::MixSnapshots) => {
                if let Some(hit) = answer.hits.first_mut() {
                    hit.title = "snapshot-other".to_owned();
                }
            }
            Some(Sabotage::InflateCoverage) if answer.coverage.missing.pop().is_some() => {
                answer.coverage.shards_answered += 1;
                let answered = f64::from(answer.coverage.shards_answered);
                answer.coverage.fraction = answered / f64::from(answer.coverage.shards_total);
            }
            Some(Sabotage::UnapprovedVersion) => answer.configuration.digest.0[0] ^= 1,
            _ => {}
        }
        answer
    }

    /// Another caller of the same node where answers are swapped, else the same.
    pub(super) fn sabotaged_caller(&self, caller: CallerId) -> CallerId {
        if !self.is_sabotaged(Sabotage::SwapAnswers) {
            return caller;
        }
        let node = self.callers.delivery(caller).map(|delivery| delivery.node);
        let other = self.callers.deliveries.iter().rposition(|delivery| {
            Some(delivery.node) == node && !delivery.closed && delivery.run.is_some()
        });
        other.map_or(caller, |position| CallerId(position as u64))
    }

    /// A refusal in place of an answer, where execution is denied.
    pub(super) fn sabotaged_refusal(&self, answer: &QueryAnswer) -> Option<Refusal> {
        self.is_sabotaged(Sabotage::DenyExecution).then(|| Refusal {
            request_id: answer.request_id,
            reason: RefusalReason::Overloaded,
            executed: Executed::No,
            retry_after: None,
            detail: "sabotaged".to_owned(),
        })
    }

    /// A leaving server of the same service where there is one, else the same.
    pub(super) fn sabotaged_server(&self, server: usize) -> usize {
        if !self.is_sabotaged(Sabotage::IgnoreLeaving) {
            return server;
        }
        let leaving = |other: &usize| {
            let since = self.back_ends[*other].leaving_since;
            since.is_some_and(|since| self.now.since(since) > crate::oracle::LEAVING_LIMIT)
        };
        (0..self.back_ends.len()).find(leaving).unwrap_or(server)
    }

    pub(super) fn sabotage_attempt(
        &mut self,
        server: usize,
        key: ConnectionKey,
        attempt: &Attempt,
        delay: Duration,
    ) {
        let action = matches!(attempt.work, Work::Action { .. });
        if action && self.is_sabotaged(Sabotage::DuplicateAction) {
            let arrival = ServerArrival::Attempt(key, attempt.clone());
            self.after(delay, Occurrence::Server { server, arrival });
        }
    }

    pub(super) fn stopped_at_once(&mut self, node: usize) {
        let unanswered = self.hosts[node].unanswered;
        let name = self.setup.deployment.nodes[node].name.clone();
        self.oracle.stopped(self.now, name.as_str(), unanswered);
        self.end_node(node, false);
    }
}
