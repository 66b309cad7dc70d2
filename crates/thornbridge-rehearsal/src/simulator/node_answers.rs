//! Answers and refusals of a node to its callers, and the end of its planned stop.

use super::Simulator;
use super::network::Place;
use super::occurrence::{CallerResult, CallerStep, Life, Occurrence};
use crate::oracle::Asked;
use std::time::Duration;
use thornbridge_core::CallerId;
use thornbridge_proto::caller::{ActionAnswer, QueryAnswer, Refusal, RefusalReason};

/// A stopped node's machine is replaced after this.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

impl Simulator {
    pub(super) fn answer_query(&mut self, node: usize, caller: CallerId, answer: QueryAnswer) {
        if let Some(refusal) = self.sabotaged_refusal(&answer) {
            self.refuse(node, caller, refusal);
            return;
        }
        let caller = self.sabotaged_caller(caller);
        let answer = self.sabotaged_answer(answer);
        let asked = self.close_delivery(node, caller, false);
        self.oracle
            .query_answered(self.now, &self.setup.deployment, asked, &answer);
        let coverage = Some(answer.coverage.fraction);
        self.tell_caller(node, caller, CallerResult::Answered { coverage });
    }

    pub(super) fn answer_action(&mut self, node: usize, caller: CallerId, answer: ActionAnswer) {
        let asked = self.close_delivery(node, caller, false);
        self.oracle.action_answered(self.now, asked, &answer);
        self.tell_caller(node, caller, CallerResult::Answered { coverage: None });
    }

    pub(super) fn refuse(&mut self, node: usize, caller: CallerId, refusal: Refusal) {
        let cut = refusal.reason == RefusalReason::Leaving;
        let asked = self.close_delivery(node, caller, cut);
        self.oracle.refused(self.now, asked, &refusal);
        let elsewhere = matches!(
            refusal.reason,
            RefusalReason::Leaving | RefusalReason::NotReady
        );
        let executed = refusal.executed;
        let result = CallerResult::Refused {
            executed,
            elsewhere,
        };
        self.tell_caller(node, caller, result);
    }

    /// Marks a try as ended by its node, and gives what was asked; `None` where there was none
    /// open.
    fn close_delivery(&mut self, node: usize, caller: CallerId, cut: bool) -> Option<Asked> {
        let run = self.hosts[node].run;
        let delivery = self.callers.deliveries.get_mut(caller.0 as usize)?;
        if delivery.closed || delivery.node != node || delivery.run != Some(run) {
            return None;
        }
        delivery.closed = true;
        let delivery = *delivery;
        self.hosts[node].unanswered = self.hosts[node].unanswered.saturating_sub(1);
        let stopping = self.hosts[node].stopping_since;
        if stopping.is_some_and(|since| delivery.taken < since) {
            let name = self.setup.deployment.nodes[node].name.as_str();
            self.oracle.ended_while_stopping(self.now, name, cut);
        }
        Some(self.asked(&delivery))
    }

    fn tell_caller(&mut self, node: usize, caller: CallerId, result: CallerResult) {
        let from = self.place_of_node(node);
        match self.network.reliable(self.now, from, Place::Callers) {
            Some(delay) => {
                let step = CallerStep::Hears { caller, result };
                self.after(delay, Occurrence::Caller(step));
            }
            None => self.caller_loses(caller, super::callers::ANSWER_TIMEOUT),
        }
    }

    pub(super) fn stopped(&mut self, node: usize) {
        let unanswered = self.hosts[node].unanswered;
        let name = self.setup.deployment.nodes[node].name.clone();
        self.oracle.stopped(self.now, name.as_str(), unanswered);
        self.end_node(node, false);
        let life = Life::StartNode(node);
        self.after(REPLACEMENT_DELAY, Occurrence::Life(life));
    }
}
