//! End of a query: the answer, or a refusal that states whether the query may have run.

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

/// Retry delay of refusals: about the time in which unavailable back ends are detected and
/// replaced.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reason for the end of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryEnd {
    Answer,
    AnswerEarly,
    Refuse(RefusalReason),
    CallerDisconnected,
}

impl QueryEngine {
    /// Ends a query: cancels attempts in flight, releases its concurrency slot, and answers.
    pub(super) fn end(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        id: RequestId,
        end: QueryEnd,
    ) {
        let Some(query) = self.remove(id) else {
            return;
        };
        let service = query.plan.service.service.clone();
        let Some(mut gather) = query.gather else {
            resources.limits.cancel_queued(&service, id);
            self.shared.counters.abandoned += 1;
            return;
        };
        let may_have_run = gather.may_have_run();
        let mut scatter = self.shared.scatter(context, resources, id, &query.plan);
        scatter.cancel_all(&mut gather);
        let outcome = request_outcome(context.now, query.run_started_at, &gather, end);
        resources.request_finished(context, &service, outcome);
        match end {
            QueryEnd::Answer => self.answer(context, id, query.caller, &query.plan, gather),
            QueryEnd::AnswerEarly => {
                self.shared.counters.answered_early += 1;
                self.answer(context, id, query.caller, &query.plan, gather);
            }
            QueryEnd::CallerDisconnected => self.shared.counters.abandoned += 1,
            QueryEnd::Refuse(reason) => {
                let refusal = coverage_refusal(id, reason, may_have_run, &query.plan, &gather);
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
        self.shared
            .latencies_of(plan)
            .allowance
            .record_answer(latency, 1.0 - coverage.fraction);
        self.shared.counters.answered += 1;
        if coverage.shards_answered < coverage.shards_total {
            self.shared.counters.answered_partly += 1;
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
            configuration: plan.service.configuration.reference.clone(),
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
        self.shared.counters.refused += 1;
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
    run_started_at: Timestamp,
    gather: &Gather,
    end: QueryEnd,
) -> RequestOutcome {
    let half_response_latency = gather.half_answered_at().map(|at| at.since(run_started_at));
    let signal = match end {
        QueryEnd::CallerDisconnected => LoadSignal::None,
        _ if gather.overloaded() || half_response_latency.is_none() => LoadSignal::Overloaded,
        _ => LoadSignal::Normal,
    };
    RequestOutcome {
        latency: now.since(run_started_at),
        half_response_latency,
        signal,
    }
}

fn coverage_refusal(
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
            "{} of {} shards answered; the minimum coverage is {}",
            progress.answered, progress.total, plan.rules.minimum_coverage
        ),
    }
}

/// Retry delay for a refusal reason; `None` if a retry cannot succeed.
pub(super) fn retry_after(reason: RefusalReason) -> Option<Duration> {
    match reason {
        RefusalReason::UnknownService | RefusalReason::WrongKind | RefusalReason::Invalid => None,
        _ => Some(DEFAULT_RETRY_AFTER),
    }
}
