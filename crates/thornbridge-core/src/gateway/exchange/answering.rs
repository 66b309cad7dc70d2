//! When a request is answered, and with what.

use super::merging::greatest_records;
use super::part::{Part, PartState};
use super::request::{Progress, Request};
use super::slice::Slice;
use super::{Context, Exchanges};
use crate::driver_action::CallerId;
use crate::gateway::action::{GatewayAction, GatewayAnswer, RefusalReason, RefusalStatus};
use crate::gateway::caller_try::CallerTry;
use crate::gateway::event::{RequestHead, ServerReply};
use crate::gateway::parameters::ExchangeParameters;
use crate::gateway::routes::{ResolvedGather, ResolvedRoute, ResolvedTarget};
use crate::gateway::telemetry::{AttemptOutcome, AttemptSummary, RequestSummary};
use crate::time::Timestamp;
use bytes::Bytes;
use std::time::Duration;

/// Answer of a request, if it can be answered now.
pub(super) fn answer(
    parameters: &ExchangeParameters,
    now: Timestamp,
    request: &Request,
) -> Option<GatewayAnswer> {
    match &request.route.target {
        ResolvedTarget::Gather(gather) => gather_answer(parameters, now, request, gather),
        ResolvedTarget::Service(_) | ResolvedTarget::Split(_) => {
            single_part_answer(parameters, now, request, request.parts.first()?)
        }
    }
}

fn gather_answer(
    parameters: &ExchangeParameters,
    now: Timestamp,
    request: &Request,
    gather: &ResolvedGather,
) -> Option<GatewayAnswer> {
    let progress = request.progress();
    let enough = progress.answered >= gather.min_parts;
    let complete = progress.pending() == 0;
    if enough && (complete || now >= request.soft_deadline) {
        return Some(merged_answer(request, gather, progress));
    }
    // A caller that will retry is served sooner by its retry than by silent owners.
    let stalled = match request.is_caller_retry() {
        true => 0,
        false => request.stalled_parts(),
    };
    if progress.answered + progress.pending() < gather.min_parts + stalled {
        return Some(refusal(parameters, request, RefusalReason::TooFewShards));
    }
    (now >= request.deadline).then(|| refusal(parameters, request, RefusalReason::TimedOut))
}

fn merged_answer(request: &Request, gather: &ResolvedGather, progress: Progress) -> GatewayAnswer {
    let signatures: Vec<Bytes> = request.parts.iter().filter_map(signature_of).collect();
    let replies = request.parts.iter().filter_map(reply_of);
    let reports = request.slices.iter().flat_map(Slice::records);
    let bodies = replies.map(|reply| &reply.body).chain(reports);
    GatewayAnswer::Gathered {
        signatures,
        missing: progress.total - progress.answered,
        records: greatest_records(bodies, gather.records),
    }
}

fn signature_of(part: &Part) -> Option<Bytes> {
    match &part.state {
        PartState::Answered(reply) => reply.signature.clone(),
        PartState::AnsweredByOwner(signature) => Some(signature.clone()),
        _ => None,
    }
}

fn reply_of(part: &Part) -> Option<&ServerReply> {
    match &part.state {
        PartState::Answered(reply) => Some(reply),
        _ => None,
    }
}

fn single_part_answer(
    parameters: &ExchangeParameters,
    now: Timestamp,
    request: &Request,
    part: &Part,
) -> Option<GatewayAnswer> {
    if let Some(reply) = reply_of(part) {
        return Some(forwarded_answer(reply));
    }
    if part.is_failed() {
        if let Some(reply) = &part.failed_reply {
            return Some(forwarded_answer(reply));
        }
        let reason = match part.last_failure {
            None if request.has_homes() => RefusalReason::NoServerAtHome,
            None => RefusalReason::NoServer,
            Some(AttemptOutcome::NotRun | AttemptOutcome::WrongInstance) => {
                RefusalReason::ServersBusy
            }
            Some(_) => RefusalReason::ServersFailed,
        };
        return Some(refusal(parameters, request, reason));
    }
    (now >= request.deadline).then(|| refusal(parameters, request, RefusalReason::TimedOut))
}

/// Answer to a request that is given up for a reason of this node: the parts that are in, a failure that a
/// server answered, or a refusal.
pub(super) fn answer_given_up(
    request: &Request,
    reason: RefusalReason,
    retry_after: Duration,
) -> GatewayAnswer {
    let progress = request.progress();
    if let ResolvedTarget::Gather(gather) = &request.route.target {
        if progress.answered >= gather.min_parts {
            return merged_answer(request, gather, progress);
        }
    } else if let Some(reply) = request
        .parts
        .iter()
        .find_map(|part| part.failed_reply.as_ref())
    {
        return forwarded_answer(reply);
    }
    let (status, retry_after) = match request.may_have_run() {
        true => (RefusalStatus::MayHaveRun, None),
        false => (RefusalStatus::NotRun, Some(retry_after)),
    };
    GatewayAnswer::Refused {
        reason,
        status,
        retry_after,
    }
}

fn forwarded_answer(reply: &ServerReply) -> GatewayAnswer {
    GatewayAnswer::Forwarded {
        status: reply.status,
        headers: reply.headers.clone(),
        body: reply.body.clone(),
    }
}

/// Refusal whose status reflects whether the request may have run.
fn refusal(
    parameters: &ExchangeParameters,
    request: &Request,
    reason: RefusalReason,
) -> GatewayAnswer {
    let status = match (request.may_have_run(), reason) {
        (false, _) => RefusalStatus::NotRun,
        (true, RefusalReason::TimedOut) => RefusalStatus::TimedOut,
        (true, _) => RefusalStatus::MayHaveRun,
    };
    let retry_after = (status == RefusalStatus::NotRun).then_some(parameters.retry_after);
    GatewayAnswer::Refused {
        reason,
        status,
        retry_after,
    }
}

/// Refusal of a request that crashes servers, for the `remaining` time of its quarantine.
pub(super) fn crash_refusal(request: &Request, remaining: Duration) -> GatewayAnswer {
    let (status, retry_after) = match request.may_have_run() {
        true => (RefusalStatus::MayHaveRun, None),
        false => (RefusalStatus::NotRun, Some(remaining)),
    };
    GatewayAnswer::Refused {
        reason: RefusalReason::CrashesServers,
        status,
        retry_after,
    }
}

/// Time after which a refused caller should retry.
pub(super) fn retry_after(answer: &GatewayAnswer) -> Option<Duration> {
    match answer {
        GatewayAnswer::Refused { retry_after, .. } => *retry_after,
        GatewayAnswer::Forwarded { .. } | GatewayAnswer::Gathered { .. } => None,
    }
}

/// Outcome of an answer, for the log.
pub(super) fn outcome(answer: &GatewayAnswer) -> &'static str {
    match answer {
        GatewayAnswer::Forwarded { status, .. } if *status >= 500 => "server_failure",
        GatewayAnswer::Forwarded { .. } => "forwarded",
        GatewayAnswer::Gathered { missing: 0, .. } => "gathered",
        GatewayAnswer::Gathered { .. } => "partial",
        GatewayAnswer::Refused { reason, .. } => reason.as_str(),
    }
}

impl Exchanges {
    /// Refuses a request before any attempt.
    pub(super) fn refuse_unstarted(
        &mut self,
        context: &mut Context<'_>,
        caller: CallerId,
        head: &RequestHead,
        route: &ResolvedRoute,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let summary = RequestSummary::unstarted(
            head.id.clone().unwrap_or_default(),
            head.fingerprint,
            route.route.name.clone(),
            route.version,
            context.registry,
            reason,
        );
        let retry_after = Some(retry_after);
        let caller_try = match reason {
            RefusalReason::Overloaded | RefusalReason::CrashesServers => CallerTry::Unknown,
            _ => CallerTry::First,
        };
        let summary = summary.with_retry(caller_try, retry_after);
        context.actions.push_back(GatewayAction::Finished(summary));
        let status = RefusalStatus::NotRun;
        let answer = GatewayAnswer::Refused {
            reason,
            status,
            retry_after,
        };
        context
            .actions
            .push_back(GatewayAction::Answer { caller, answer });
    }

    /// Logs how a request ended.
    pub(super) fn log_outcome(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        outcome: &'static str,
        retry_after: Option<Duration>,
    ) {
        let progress = request.progress();
        let mut notable_attempts = request.attempt_summaries.clone();
        self.add_unfinished_attempts(context, request, &mut notable_attempts);
        let summary = RequestSummary {
            id: request.id.clone(),
            fingerprint: request.fingerprint,
            route: request.route.route.name.clone(),
            version: request.route.version,
            registry: context.registry,
            duration: context.now.since(request.arrived),
            answer_due: request.soft_deadline.since(request.arrived),
            parts_answered: progress.answered,
            parts_requested: progress.total,
            outcome,
            notable_attempts,
            attempts_sent: request.parts.iter().map(|part| part.sent as usize).sum(),
            extra_attempts_denied: request.budget_denials,
            parts_held_back: request.parts.iter().filter(|part| part.held_back).count(),
            caller_try: request.caller_try,
            retry_after,
            coordinator: request.coordinator(),
            slices: request.slice_summaries(),
        };
        context.actions.push_back(GatewayAction::Finished(summary));
    }

    fn add_unfinished_attempts(
        &self,
        context: &Context<'_>,
        request: &Request,
        notable_attempts: &mut Vec<AttemptSummary>,
    ) {
        let unanswered = request.parts.iter().filter(|part| !part.is_answered());
        let queued = unanswered.clone().filter_map(|part| part.queued_at());
        for (server, cause) in queued {
            let Some(server) = context.servers.get(server) else {
                continue;
            };
            notable_attempts.push(AttemptSummary {
                server: server.id.clone(),
                sent_after: context.now.since(request.arrived),
                cause,
                outcome: AttemptOutcome::Waiting,
                duration: None,
            });
        }
        for attempt in unanswered.flat_map(|part| &part.in_flight) {
            let Some(record) = self.attempts.get(attempt) else {
                continue;
            };
            let Some(server) = context.servers.get(record.target.server) else {
                continue;
            };
            notable_attempts.push(AttemptSummary {
                server: server.id.clone(),
                sent_after: record.sent_at.since(request.arrived),
                cause: record.cause,
                outcome: AttemptOutcome::Open,
                duration: None,
            });
        }
    }
}
