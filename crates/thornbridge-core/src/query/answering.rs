//! The end of a query: its answer, or a refusal that says truly whether it ran.

use super::QueryEngine;
use super::gather::Gather;
use super::planner::QueryPlan;
use crate::context::Context;
use crate::driver_action::{Action, CallerId, Observation};
use crate::limits::{LoadSignal, RequestOutcome};
use crate::resources::Resources;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::caller::{Executed, QueryAnswer, Refusal, RefusalReason};
use thornbridge_proto::{RequestId, ServiceName};

/// Told to a caller whose query reached too few shards: back ends are looked for, ejected and
/// replaced within about this time.
const RETRY_AFTER_TOO_FEW_SHARDS: Duration = Duration::from_secs(1);

/// How a query ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    Answer,
    AnswerEarly,
    GiveUp(RefusalReason),
    CallerGone,
}

impl QueryEngine {
    /// Ends a query: cancels what runs, gives its place in the limits back, and answers.
    pub(super) fn end(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        id: RequestId,
        ending: Ending,
    ) {
        let Some(query) = self.forget(id) else {
            return;
        };
        let service = query.plan.service.service.clone();
        let Some(mut gather) = query.gather else {
            resources.limits.cancel_queued(&service, id);
            self.work.counters.abandoned += 1;
            return;
        };
        let may_have_run = gather.may_have_run();
        let mut scatter = self.work.scatter(context, resources, id, &query.plan);
        scatter.cancel_all(&mut gather);
        let outcome = request_outcome(context.now, query.started, &gather, ending);
        resources.request_finished(context, &service, outcome);
        match ending {
            Ending::Answer => self.answer(context, id, query.caller, &query.plan, gather),
            Ending::AnswerEarly => {
                self.work.counters.answered_early += 1;
                self.answer(context, id, query.caller, &query.plan, gather);
            }
            Ending::CallerGone => self.work.counters.abandoned += 1,
            Ending::GiveUp(reason) => {
                let refusal = too_few_shards(id, reason, may_have_run, &query.plan, &gather);
                let latency = context.now.since(query.plan.arrived);
                self.refuse(context, query.caller, service, latency, refusal);
            }
        }
    }

    fn answer(
        &mut self,
        context: &mut Context<'_>,
        id: RequestId,
        caller: CallerId,
        plan: &QueryPlan,
        gather: Gather,
    ) {
        let coverage = gather.coverage();
        let latency = context.now.since(plan.arrived);
        self.work
            .latencies_of(plan)
            .allowance
            .answered(latency, 1.0 - coverage.fraction);
        self.work.counters.answered += 1;
        if coverage.shards_answered < coverage.shards_total {
            self.work.counters.answered_partly += 1;
        }
        context.act(Action::Observe(Observation::RequestFinished {
            service: plan.service.service.clone(),
            latency: context.now.since(plan.arrived),
            coverage: Some(coverage.fraction),
            refused: None,
        }));
        let answer = QueryAnswer {
            request_id: id,
            snapshot: plan.service.snapshot.clone(),
            configuration: plan.service.in_force.reference.clone(),
            coverage,
            hits: gather.into_hits(),
        };
        context.act(Action::AnswerQuery { caller, answer });
    }

    pub(super) fn refuse(
        &mut self,
        context: &mut Context<'_>,
        caller: CallerId,
        service: ServiceName,
        latency: Duration,
        refusal: Refusal,
    ) {
        self.work.counters.refused += 1;
        context.act(Action::Observe(Observation::RequestFinished {
            service,
            latency,
            coverage: None,
            refused: Some(refusal.reason),
        }));
        context.act(Action::Refuse { caller, refusal });
    }
}

fn request_outcome(
    now: Timestamp,
    started: Timestamp,
    gather: &Gather,
    ending: Ending,
) -> RequestOutcome {
    let half_response_latency = gather.half_answered().map(|at| at.since(started));
    let signal = match ending {
        Ending::CallerGone => LoadSignal::None,
        _ if gather.overloaded() || half_response_latency.is_none() => LoadSignal::Overloaded,
        _ => LoadSignal::Normal,
    };
    RequestOutcome {
        latency: now.since(started),
        half_response_latency,
        signal,
    }
}

fn too_few_shards(
    request_id: RequestId,
    reason: RefusalReason,
    may_have_run: bool,
    plan: &QueryPlan,
    gather: &Gather,
) -> Refusal {
    let progress = gather.progress();
    Refusal {
        request_id,
        reason,
        executed: match may_have_run {
            true => Executed::Unknown,
            false => Executed::No,
        },
        retry_after: retry_after(reason),
        detail: format!(
            "{} of {} shards answered; the least coverage is {}",
            progress.answered, progress.total, plan.rules.minimum_coverage
        ),
    }
}

/// When it makes sense to come back, where the reason alone tells.
pub(super) fn retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::UnknownService | RefusalReason::WrongKind | RefusalReason::Invalid => None,
        _ => Some(RETRY_AFTER_TOO_FEW_SHARDS),
    }
}
