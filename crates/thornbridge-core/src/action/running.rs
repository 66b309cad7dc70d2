//! Execution of an action that this node owns: one attempt at a time, each only after the previous
//! one certainly did not run.

use super::ActionEngine;
use super::owned_action::Phase;
use crate::context::Context;
use crate::event::AttemptFailure;
use crate::limits::{LoadSignal, RequestOutcome};
use crate::resources::Resources;
use crate::routing::{AttemptOwner, FinishedAttempt};
use std::sync::Arc;
use thornbridge_proto::back_end::{Attempt, ReplyOutcome, Work};
use thornbridge_proto::caller::{Executed, Refusal, RefusalReason};
use thornbridge_proto::peer::action::ActionEnd;
use thornbridge_proto::{BackEndId, Digest};

/// Result of an attempt.
enum AttemptResult {
    /// The action ran.
    Done(String),
    /// The action certainly did not run.
    NotRun { shed: bool },
    /// The action ran and failed.
    Failed(String),
    /// The action may have run.
    Unknown,
}

fn classify(finished: FinishedAttempt) -> AttemptResult {
    match finished.result.map(|reply| reply.outcome) {
        Ok(ReplyOutcome::Done { outcome }) => AttemptResult::Done(outcome),
        Ok(ReplyOutcome::Failed { detail }) => AttemptResult::Failed(detail),
        Ok(ReplyOutcome::Shed { .. }) => AttemptResult::NotRun { shed: true },
        Ok(ReplyOutcome::Leaving | ReplyOutcome::NotHeld | ReplyOutcome::Expired)
        | Err(AttemptFailure::NotSent) => AttemptResult::NotRun { shed: false },
        Ok(ReplyOutcome::Hits { .. } | ReplyOutcome::Cancelled)
        | Err(AttemptFailure::ConnectionBroken | AttemptFailure::MalformedReply) => {
            AttemptResult::Unknown
        }
    }
}

impl ActionEngine {
    pub(super) fn send_first_attempt(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        self.send_attempt(context, resources, key, Vec::new());
    }

    /// Sends an attempt to a replica that was not tried yet, or refuses the action as not run.
    fn send_attempt(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
        mut tried: Vec<BackEndId>,
    ) {
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        if action.deadline <= context.now {
            let detail = "no attempt could be sent before the deadline; the action was not run";
            let reason = RefusalReason::DeadlineExceeded;
            return self.refuse_not_run(context, resources, key, reason, detail);
        }
        let plan = Arc::clone(&action.plan);
        let Ok(back_end) = resources.router.choose(context, &plan.replicas, &tried) else {
            let detail = "no back end is available; the action was not run";
            let reason = RefusalReason::NoBackEnd;
            return self.refuse_not_run(context, resources, key, reason, detail);
        };
        let attempt = Attempt {
            attempt: resources.router.next_attempt_id(),
            request: action.request,
            service: plan.service.clone(),
            shard: plan.shard,
            time_left: action.deadline.since(context.now),
            work: Work::Action {
                key: Arc::clone(&plan.key_text),
                payload: Arc::clone(&plan.payload_text),
            },
        };
        self.counters.attempts += 1;
        self.counters.resent += u64::from(!tried.is_empty());
        tried.push(back_end.clone());
        action.phase = Phase::Running {
            attempt: attempt.attempt,
            tried,
            started_at: context.now,
        };
        let grace_ends = action.deadline + self.parameters.attempt_grace;
        self.schedule_check(key, grace_ends);
        resources
            .router
            .dispatch(context, &back_end, AttemptOwner::Action, attempt);
    }

    /// Handles the end of an attempt.
    pub fn attempt_finished(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        finished: FinishedAttempt,
    ) {
        let Some(key) = self.keys_by_request.get(&finished.attempt.request).copied() else {
            return;
        };
        let Some(action) = self.owned.get_mut(&key) else {
            return;
        };
        let Phase::Running { attempt, tried, .. } = &mut action.phase else {
            return;
        };
        if *attempt != finished.attempt.attempt {
            return;
        }
        let tried = std::mem::take(tried);
        match classify(finished) {
            AttemptResult::Done(outcome) => {
                let configuration = action.plan.configuration.reference.clone();
                let end = ActionEnd::Done {
                    outcome,
                    configuration,
                };
                self.finish_owned(context, resources, key, end, LoadSignal::Normal);
            }
            AttemptResult::NotRun { shed } => {
                if shed && !self.may_retry_shed(resources, key) {
                    let detail = "the back end shed the action; it was not run";
                    let reason = RefusalReason::Overloaded;
                    return self.refuse_not_run(context, resources, key, reason, detail);
                }
                self.send_attempt(context, resources, key, tried);
            }
            AttemptResult::Failed(detail) => {
                let end = failed_end(RefusalReason::BackEndFailed, detail);
                self.finish_owned(context, resources, key, end, LoadSignal::Normal);
            }
            AttemptResult::Unknown => {
                self.finish_unknown(context, resources, key);
            }
        }
        self.handle_own_messages(context, resources);
    }

    fn may_retry_shed(&self, resources: &mut Resources<'_>, key: Digest) -> bool {
        let Some(action) = self.owned.get(&key) else {
            return false;
        };
        let budget = resources.limits.extra_load_budget(&action.plan.service);
        budget.is_some_and(|budget| budget.try_take(crate::limits::ExtraAttempt::Retry))
    }

    /// Cancels an attempt whose grace period is over; its outcome is unknown.
    pub(super) fn check_attempt(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        let Some(action) = self.owned.get(&key) else {
            return;
        };
        let Phase::Running { attempt, .. } = &action.phase else {
            return;
        };
        let grace_ends = action.deadline + self.parameters.attempt_grace;
        if grace_ends > context.now {
            return self.schedule_check(key, grace_ends);
        }
        resources.router.cancel(context, *attempt);
        self.finish_unknown(context, resources, key);
    }

    fn finish_unknown(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
    ) {
        let detail =
            "no valid reply from the back end; the action may have run and is not sent again";
        let end = failed_end(RefusalReason::OutcomeUnknown, detail.to_owned());
        self.finish_owned(context, resources, key, end, LoadSignal::None);
    }

    /// Reports an admitted action as finished to the concurrency limits.
    pub(super) fn release_admission(
        &mut self,
        context: &Context<'_>,
        resources: &mut Resources<'_>,
        key: Digest,
        signal: LoadSignal,
    ) {
        let Some(action) = self.owned.get(&key).filter(|it| it.is_admitted()) else {
            return;
        };
        let latency = match &action.phase {
            Phase::Running { started_at, .. } => context.now.since(*started_at),
            _ => std::time::Duration::ZERO,
        };
        let ran = matches!(action.phase, Phase::Running { .. });
        let outcome = RequestOutcome {
            latency,
            half_response_latency: Some(latency),
            signal: if ran { signal } else { LoadSignal::None },
        };
        let service = action.plan.service.clone();
        resources.request_finished(context, &service, outcome);
    }
}

fn failed_end(reason: RefusalReason, detail: String) -> ActionEnd {
    let refusal = Refusal {
        request_id: Default::default(),
        reason,
        executed: Executed::Unknown,
        retry_after: None,
        detail,
    };
    ActionEnd::Failed { refusal }
}
