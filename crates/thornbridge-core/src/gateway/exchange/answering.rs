//! When a request can be answered, and with what.

use super::leg::{Leg, LegState};
use super::merging::greatest_records;
use super::request::{Progress, Request};
use super::slice::Slice;
use super::{Exchanges, Scope};
use crate::driver_action::CallerId;
use crate::gateway::action::{GatewayAction, GatewayAnswer, RefusalPromise, RefusalReason};
use crate::gateway::event::{RequestHead, ServerReply};
use crate::gateway::notes::{AttemptNote, AttemptOutcome, RequestNote};
use crate::gateway::parameters::ExchangeParameters;
use crate::gateway::patience::CallerTry;
use crate::gateway::routes::{ResolvedGather, ResolvedRoute, ResolvedTarget};
use crate::time::Timestamp;
use bytes::Bytes;
use std::time::Duration;

/// The answer of a request, where it can be answered now.
pub(super) fn answer(
    parameters: &ExchangeParameters,
    now: Timestamp,
    request: &Request,
) -> Option<GatewayAnswer> {
    match &request.route.target {
        ResolvedTarget::Gather(gather) => gathered(parameters, now, request, gather),
        ResolvedTarget::Service(_) | ResolvedTarget::Split(_) => {
            plain(parameters, now, request, request.legs.first()?)
        }
    }
}

fn gathered(
    parameters: &ExchangeParameters,
    now: Timestamp,
    request: &Request,
    gather: &ResolvedGather,
) -> Option<GatewayAnswer> {
    let progress = request.progress();
    let enough = progress.answered >= gather.least_parts;
    let complete = progress.pending() == 0;
    if enough && (complete || now >= request.answer_by) {
        return Some(merge(request, gather, progress));
    }
    // A caller that comes back is served sooner than nodes that are silent answer, if they do.
    let hopeless = match request.is_last_try() {
        true => 0,
        false => request.stuck(),
    };
    if progress.answered + progress.pending() < gather.least_parts + hopeless {
        return Some(refusal(parameters, request, RefusalReason::TooFewShards));
    }
    (now >= request.ends).then(|| refusal(parameters, request, RefusalReason::TimedOut))
}

fn merge(request: &Request, gather: &ResolvedGather, progress: Progress) -> GatewayAnswer {
    let signatures: Vec<Bytes> = request.legs.iter().filter_map(signature_of).collect();
    let replies = request.legs.iter().filter_map(reply_of);
    let reports = request.slices.iter().flat_map(Slice::records);
    let bodies = replies.map(|reply| &reply.body).chain(reports);
    GatewayAnswer::Gathered {
        signatures,
        missing: progress.all - progress.answered,
        records: greatest_records(bodies, gather.records),
    }
}

fn signature_of(leg: &Leg) -> Option<Bytes> {
    match &leg.state {
        LegState::Answered(reply) => reply.signature.clone(),
        LegState::Reported(signature) => Some(signature.clone()),
        _ => None,
    }
}

fn reply_of(leg: &Leg) -> Option<&ServerReply> {
    match &leg.state {
        LegState::Answered(reply) => Some(reply),
        _ => None,
    }
}

fn plain(
    parameters: &ExchangeParameters,
    now: Timestamp,
    request: &Request,
    leg: &Leg,
) -> Option<GatewayAnswer> {
    if let Some(reply) = reply_of(leg) {
        return Some(forwarded(reply));
    }
    if leg.is_failed() {
        if let Some(reply) = &leg.failed_reply {
            return Some(forwarded(reply));
        }
        let reason = match leg.failure {
            None => RefusalReason::NoServer,
            Some(AttemptOutcome::NotRun | AttemptOutcome::WrongInstance) => {
                RefusalReason::ServersBusy
            }
            Some(_) => RefusalReason::ServersFailed,
        };
        return Some(refusal(parameters, request, reason));
    }
    (now >= request.ends).then(|| refusal(parameters, request, RefusalReason::TimedOut))
}

fn forwarded(reply: &ServerReply) -> GatewayAnswer {
    GatewayAnswer::Forwarded {
        status: reply.status,
        headers: reply.headers.clone(),
        body: reply.body.clone(),
    }
}

/// A refusal, with a promise that holds.
fn refusal(
    parameters: &ExchangeParameters,
    request: &Request,
    reason: RefusalReason,
) -> GatewayAnswer {
    let promise = match (request.may_have_run(), reason) {
        (false, _) => RefusalPromise::NotRun,
        (true, RefusalReason::TimedOut) => RefusalPromise::TimedOut,
        (true, _) => RefusalPromise::MayHaveRun,
    };
    let retry_after = (promise == RefusalPromise::NotRun).then_some(parameters.retry_after);
    GatewayAnswer::Refused {
        reason,
        promise,
        retry_after,
    }
}

/// The refusal of a request that crashes servers, while it will be refused for so long.
pub(super) fn crashes_servers(request: &Request, lasts: Duration) -> GatewayAnswer {
    let (promise, retry_after) = match request.may_have_run() {
        true => (RefusalPromise::MayHaveRun, None),
        false => (RefusalPromise::NotRun, Some(lasts)),
    };
    GatewayAnswer::Refused {
        reason: RefusalReason::CrashesServers,
        promise,
        retry_after,
    }
}

/// When a refused caller is to come back.
pub(super) fn retry_after(answer: &GatewayAnswer) -> Option<Duration> {
    match answer {
        GatewayAnswer::Refused { retry_after, .. } => *retry_after,
        GatewayAnswer::Forwarded { .. } | GatewayAnswer::Gathered { .. } => None,
    }
}

/// The outcome of an answer in a word.
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
    /// Refuses a request before anything is done for it.
    pub(super) fn refuse_unstarted(
        &mut self,
        scope: &mut Scope<'_>,
        caller: CallerId,
        head: &RequestHead,
        route: &ResolvedRoute,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let note = RequestNote::unstarted(
            head.id.clone().unwrap_or_default(),
            head.fingerprint,
            route.route.name.clone(),
            route.version,
            scope.registry,
            reason,
        );
        let retry_after = Some(retry_after);
        let caller_try = match reason {
            RefusalReason::Overloaded | RefusalReason::CrashesServers => CallerTry::Unknown,
            _ => CallerTry::First,
        };
        let note = note.with_retry(caller_try, retry_after);
        scope.actions.push_back(GatewayAction::Finished(note));
        let promise = RefusalPromise::NotRun;
        let answer = GatewayAnswer::Refused {
            reason,
            promise,
            retry_after,
        };
        scope
            .actions
            .push_back(GatewayAction::Answer { caller, answer });
    }

    /// Tells the log how a request ended.
    pub(super) fn note(
        &self,
        scope: &mut Scope<'_>,
        request: &Request,
        outcome: &'static str,
        retry_after: Option<Duration>,
    ) {
        let progress = request.progress();
        let mut notable = request.notes.clone();
        self.add_open_attempts(scope, request, &mut notable);
        let note = RequestNote {
            id: request.id.clone(),
            fingerprint: request.fingerprint,
            route: request.route.route.name.clone(),
            version: request.route.version,
            registry: scope.registry,
            took: scope.now.since(request.arrived),
            objective: request.answer_by.since(request.arrived),
            parts: progress.answered,
            of: progress.all,
            outcome,
            notable,
            attempts: request.legs.iter().map(|leg| leg.sent as usize).sum(),
            denied: request.denied,
            caller_try: request.caller_try,
            retry_after,
            coordinator: request.coordinator(),
            slices: request.slice_notes(),
        };
        scope.actions.push_back(GatewayAction::Finished(note));
    }

    fn add_open_attempts(
        &self,
        scope: &Scope<'_>,
        request: &Request,
        notable: &mut Vec<AttemptNote>,
    ) {
        let unanswered = request.legs.iter().filter(|leg| !leg.is_answered());
        let queued = unanswered.clone().filter_map(|leg| leg.queued_at());
        for (server, cause) in queued {
            let Some(server) = scope.servers.get(server) else {
                continue;
            };
            notable.push(AttemptNote {
                server: server.id.clone(),
                sent_after: scope.now.since(request.arrived),
                cause,
                outcome: AttemptOutcome::Waiting,
                took: None,
            });
        }
        for attempt in unanswered.flat_map(|leg| &leg.open) {
            let Some(record) = self.attempts.get(attempt) else {
                continue;
            };
            let Some(server) = scope.servers.get(record.carrier.server) else {
                continue;
            };
            notable.push(AttemptNote {
                server: server.id.clone(),
                sent_after: record.sent.since(request.arrived),
                cause: record.cause,
                outcome: AttemptOutcome::Open,
                took: None,
            });
        }
    }
}
