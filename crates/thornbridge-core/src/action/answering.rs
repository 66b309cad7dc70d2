//! Replies to callers: the outcome of an action, a recorded end, or a refusal.

use super::ActionEngine;
use super::owned_action::{OwnedAction, Phase, Waiter};
use crate::context::Context;
use crate::driver_action::{Action, Observation};
use crate::limits::LoadSignal;
use crate::resources::Resources;
use crate::time::Timestamp;
use thornbridge_proto::caller::{ActionAnswer, Executed, Refusal, RefusalReason};
use thornbridge_proto::peer::action::{ActionEnd, ActionMessage};
use thornbridge_proto::{Digest, ServiceName};

impl ActionEngine {
    /// Handles a request whose key this node already has an action for.
    pub(super) fn handle_repeat(
        &mut self,
        context: &mut Context<'_>,
        key: Digest,
        payload: Digest,
        waiter: Waiter,
    ) {
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        if action.plan.payload != payload {
            let service = action.plan.service.clone();
            return self.refuse(context, &service, waiter, reused_key_refusal(waiter));
        }
        match &action.phase {
            Phase::Ended { end, .. } => {
                let end = end.clone();
                let service = action.plan.service.clone();
                self.answer(context, &service, waiter, &end, true);
            }
            _ => {
                action.waiters.push(waiter);
                let is_earlier = action
                    .next_check
                    .is_none_or(|next_check| next_check > waiter.deadline);
                if is_earlier {
                    self.schedule_check(key, waiter.deadline);
                }
            }
        }
    }

    /// Ends an action that ran under this node's claim: replies to the waiters and replicates the
    /// end to the group.
    pub(super) fn finish_owned(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
        end: ActionEnd,
        signal: LoadSignal,
    ) {
        self.release_admission(context, resources, key, signal);
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        let claim = action.as_claim(self.outbox.own());
        let service = action.plan.service.clone();
        let waiters = std::mem::take(&mut action.waiters);
        let first = action.request;
        let ended_at = context.now;
        action.phase = Phase::Ended {
            end: end.clone(),
            ended_at,
        };
        self.open_actions -= 1;
        self.keys_by_request.remove(&first);
        for waiter in waiters {
            let replayed = waiter.request != first;
            self.answer(context, &service, waiter, &end, replayed);
        }
        self.replicate_end(context, claim, end);
        let remove_at = context.now + self.parameters.owner_retention;
        self.schedule_check(key, remove_at);
    }

    fn replicate_end(
        &mut self,
        context: &mut Context<'_>,
        claim: thornbridge_proto::peer::action::Claim,
        end: ActionEnd,
    ) {
        let max_bytes = self.parameters.maximum_outcome_bytes;
        let too_long = matches!(&end, ActionEnd::Done { outcome, .. } if outcome.len() > max_bytes);
        if too_long {
            return;
        }
        for member in self.group_members() {
            let claim = claim.clone();
            let end = end.clone();
            let message = ActionMessage::Ended { claim, end };
            self.outbox.send(context, member, message);
        }
    }

    /// Replies with the end recorded under another claim, and removes the action from this node.
    pub(super) fn finish_by_other_claim(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
        end: &ActionEnd,
    ) {
        self.release_admission(context, resources, key, LoadSignal::None);
        let Some(action) = self.remove(key) else {
            return;
        };
        for waiter in action.waiters {
            self.answer(context, &action.plan.service, waiter, end, true);
        }
    }

    /// Refuses an action whose key was claimed with another payload.
    pub(super) fn refuse_reused_key(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        self.release_admission(context, resources, key, LoadSignal::None);
        let Some(action) = self.remove(key) else {
            return;
        };
        for waiter in action.waiters {
            self.refuse(
                context,
                &action.plan.service,
                waiter,
                reused_key_refusal(waiter),
            );
        }
    }

    /// Refuses an action that did not run under this node's claim and never will.
    pub(super) fn refuse_not_run(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
        reason: RefusalReason,
        detail: &str,
    ) {
        self.release_claim(context, key);
        self.release_admission(context, resources, key, LoadSignal::Normal);
        let refusal = Refusal {
            request_id: Default::default(),
            reason,
            executed: Executed::No,
            retry_after: Some(super::RETRY_AFTER_NO_GROUP),
            detail: detail.to_owned(),
        };
        self.remove_and_refuse(context, key, &refusal);
    }

    /// Refuses an action whose claim was not decided in time. It did not run here, but may have run
    /// at another node.
    pub(super) fn refuse_undecided(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        self.release_claim(context, key);
        self.release_admission(context, resources, key, LoadSignal::None);
        let refusal = Refusal {
            request_id: Default::default(),
            reason: RefusalReason::OutcomeUnknown,
            executed: Executed::Unknown,
            retry_after: Some(super::RETRY_AFTER_NO_GROUP),
            detail: "the claim group did not decide on the key before the deadline; an earlier \
                     request with this key may have run; retry with the same key"
                .to_owned(),
        };
        self.remove_and_refuse(context, key, &refusal);
    }

    /// Removes an action that did not run here, and refuses its waiters.
    pub(super) fn remove_and_refuse(
        &mut self,
        context: &mut Context<'_>,
        key: Digest,
        refusal: &Refusal,
    ) {
        let Some(action) = self.remove(key) else {
            return;
        };
        for waiter in action.waiters {
            let refusal = Refusal {
                request_id: waiter.request,
                ..refusal.clone()
            };
            self.refuse(context, &action.plan.service, waiter, refusal);
        }
    }

    /// Refuses the waiters whose deadline has passed, with a reason that fits the action's phase.
    pub(super) fn refuse_expired_waiters(&mut self, context: &mut Context<'_>, key: Digest) {
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        let now = context.now;
        let (reason, executed) = match &action.phase {
            Phase::Running { .. } => (RefusalReason::DeadlineExceeded, Executed::Unknown),
            Phase::Queued => (RefusalReason::DeadlineExceeded, Executed::No),
            _ => (RefusalReason::OutcomeUnknown, Executed::Unknown),
        };
        // A waiter whose deadline is the action's own receives the action's end, except while an
        // attempt is running: an attempt may end much later.
        let runs = matches!(action.phase, Phase::Running { .. });
        // The limits refuse queued actions themselves.
        let ends_now = action.deadline <= now;
        let expired = |waiter: &Waiter| waiter.deadline <= now && (runs || !ends_now);
        let service = action.plan.service.clone();
        let refused: Vec<Waiter> = action.waiters.iter().copied().filter(expired).collect();
        action.waiters.retain(|waiter| !expired(waiter));
        for waiter in refused {
            let refusal = Refusal {
                request_id: waiter.request,
                reason,
                executed,
                retry_after: Some(super::RETRY_AFTER_NO_GROUP),
                detail: "the action did not end before the deadline; retry with the same key"
                    .to_owned(),
            };
            self.refuse(context, &service, waiter, refusal);
        }
    }

    pub(super) fn remove_if_expired(&mut self, now: Timestamp, key: Digest) {
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        if let Phase::Ended { ended_at, .. } = action.phase {
            let remove_at = ended_at + self.parameters.owner_retention;
            if remove_at <= now {
                // A later owner query must not be answered with `NeverRun`.
                self.highest_removed_claim = self.highest_removed_claim.max(action.claim.sequence);
                self.remove(key);
            } else {
                self.schedule_check(key, remove_at);
            }
        }
    }

    fn remove(&mut self, key: Digest) -> Option<OwnedAction> {
        let action = self.owned.remove(&key)?;
        self.open_actions -= usize::from(action.is_open());
        self.keys_by_request.remove(&action.request);
        if let Some(next_check) = action.next_check {
            self.timers.remove(&(next_check, key));
        }
        Some(action)
    }

    fn answer(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        waiter: Waiter,
        end: &ActionEnd,
        replayed: bool,
    ) {
        match end {
            ActionEnd::Done {
                outcome,
                configuration,
            } => {
                let counter = match replayed {
                    true => &mut self.counters.replayed,
                    false => &mut self.counters.answered,
                };
                *counter += 1;
                self.keys_by_caller.remove(&waiter.caller);
                context.act(Action::Observe(Observation::RequestFinished {
                    service: service.clone(),
                    latency: context.now.since(waiter.arrived_at),
                    coverage: None,
                    refused: None,
                }));
                let answer = ActionAnswer {
                    request_id: waiter.request,
                    outcome: outcome.clone(),
                    replayed,
                    configuration: configuration.clone(),
                };
                let caller = waiter.caller;
                context.act(Action::AnswerAction { caller, answer });
            }
            ActionEnd::Failed { refusal } => {
                let refusal = Refusal {
                    request_id: waiter.request,
                    ..refusal.clone()
                };
                self.refuse(context, service, waiter, refusal);
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        waiter: Waiter,
        refusal: Refusal,
    ) {
        let caller = waiter.caller;
        self.keys_by_caller.remove(&caller);
        context.act(Action::Observe(Observation::RequestFinished {
            service: service.clone(),
            latency: context.now.since(waiter.arrived_at),
            coverage: None,
            refused: Some(refusal.reason),
        }));
        self.counters.refused += 1;
        if refusal.executed == Executed::Unknown {
            self.counters.outcome_unknown += 1;
        }
        context.act(Action::Refuse { caller, refusal });
    }
}

fn reused_key_refusal(waiter: Waiter) -> Refusal {
    Refusal {
        request_id: waiter.request,
        reason: RefusalReason::KeyReused,
        executed: Executed::No,
        retry_after: None,
        detail: "the key was used with another payload; this request was not run".to_owned(),
    }
}
