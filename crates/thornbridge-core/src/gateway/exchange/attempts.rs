//! Results of attempts, and the server statistics derived from them.

use super::dispatching::remove_in_flight;
use super::part::PartState;
use super::request::Request;
use super::trials::{record_outcome, restore_permit, return_permit};
use super::{AttemptTarget, Context, Exchanges};
use crate::driver_action::{CallerId, ConnectionId};
use crate::gateway::event::{ExchangeFailure, ReplyVerdict, ServerReply};
use crate::gateway::routes::RouteKey;
use crate::gateway::servers::{ConnectionLoss, ServerKey};
use crate::gateway::telemetry::{AttemptCause, AttemptOutcome, AttemptSummary};
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::fingerprint::Fingerprint;

/// Lowest status that counts as a server failure.
const FIRST_SERVER_ERROR_STATUS: u16 = 500;
/// Statuses of a success.
const SUCCESS_STATUSES: std::ops::Range<u16> = 200..300;

/// An in-flight attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Caller to serve; `None` once the request was answered or dropped.
    pub(super) caller: Option<CallerId>,
    pub(super) part: usize,
    /// Whether the part is a shard's, which only a success answers.
    pub(super) is_shard: bool,
    pub(super) route: RouteKey,
    pub(super) target: AttemptTarget,
    pub(super) sent_at: Timestamp,
    pub(super) cause: AttemptCause,
    pub(super) cancel_at: Option<Timestamp>,
    /// Request to suspect if the server crashes; `None` once any server answered it.
    pub(super) suspect: Option<Fingerprint>,
    /// Whether the attempt used a permit for a version on trial.
    pub(super) had_permit: bool,
    /// Attempt of the request, if this is the companion of a request or the request has one.
    pub(super) pair: Option<AttemptId>,
}

impl Exchanges {
    /// Handles a server's reply.
    pub(in crate::gateway) fn replied(
        &mut self,
        context: &mut Context<'_>,
        attempt: AttemptId,
        reply: Box<ServerReply>,
    ) {
        let Some(record) = self.remove_attempt(context, attempt) else {
            return;
        };
        let outcome = outcome_of(&reply, record.is_shard);
        if let (AttemptOutcome::Answered, Some(fingerprint)) = (outcome, record.suspect) {
            context.quarantine.record_answer(context.now, fingerprint);
        }
        record_outcome(context, &record, outcome);
        self.observe_reply(context, &record, &reply, outcome);
        let AttemptTarget { server, connection } = record.target;
        if reply.reusable {
            context
                .servers
                .release(context.now, context.actions, connection, reply.keep_alive);
        } else {
            context.servers.close(context.actions, connection);
        }
        self.attempt_ended(context, attempt, &record, outcome, Some(reply));
        self.serve_queue(context, server);
        context.servers.remove_if_unused(server);
    }

    /// Handles an attempt that ended without a reply.
    pub(in crate::gateway) fn failed(
        &mut self,
        context: &mut Context<'_>,
        attempt: AttemptId,
        failure: ExchangeFailure,
    ) {
        let Some(record) = self.remove_attempt(context, attempt) else {
            return;
        };
        let AttemptTarget { server, connection } = record.target;
        context.servers.connection_broken(context.now, connection);
        let outcome = match failure {
            ExchangeFailure::NotSent => AttemptOutcome::NotRun,
            ExchangeFailure::MayHaveRun => AttemptOutcome::Broken,
            ExchangeFailure::Overlong => AttemptOutcome::Overlong,
        };
        match failure {
            ExchangeFailure::NotSent => restore_permit(context, &record),
            ExchangeFailure::MayHaveRun | ExchangeFailure::Overlong => {
                record_outcome(context, &record, outcome);
                let cost = context.servers.parameters.failure_cost;
                self.add_failure_cost(context, server, cost, outcome.as_str());
            }
        }
        if failure == ExchangeFailure::MayHaveRun {
            self.report_crash(context, &record);
        }
        self.attempt_ended(context, attempt, &record, outcome, None);
        self.serve_queue(context, server);
        context.servers.remove_if_unused(server);
    }

    /// Serves the queue of a server after a connection opened.
    pub(in crate::gateway) fn connection_opened(
        &mut self,
        context: &mut Context<'_>,
        connection: ConnectionId,
        connect_time: Duration,
    ) {
        if let Some(server) =
            context
                .servers
                .connection_opened(context.now, connection, connect_time)
        {
            self.connection_available(context, server);
        }
    }

    /// Serves the queues of servers with connections whose probation ended.
    pub(in crate::gateway) fn end_connection_probation(&mut self, context: &mut Context<'_>) {
        for server in context.servers.end_probation(context.now) {
            self.connection_available(context, server);
        }
    }

    /// Serves the queue of a server with a new idle connection; closes the connection if the server
    /// stopped taking requests while it was opening.
    fn connection_available(&mut self, context: &mut Context<'_>, server: ServerKey) {
        self.serve_queue(context, server);
        context
            .servers
            .close_idle_if_leaving(context.actions, server);
    }

    /// Handles a connection that broke or could not be opened.
    pub(in crate::gateway) fn connection_lost(
        &mut self,
        context: &mut Context<'_>,
        connection: ConnectionId,
    ) {
        let Some((server, loss)) = context.servers.connection_lost(context.now, connection) else {
            return;
        };
        if loss == ConnectionLoss::Unreachable {
            self.report_avoidance(context, server, "unreachable");
        }
        if loss != ConnectionLoss::Idle {
            self.reassign_queued(context, server);
        }
        context.servers.remove_if_unused(server);
    }

    /// Moves the parts queued for a server that accepts no new requests to other servers.
    pub(in crate::gateway) fn server_unavailable(
        &mut self,
        context: &mut Context<'_>,
        server: ServerKey,
    ) {
        self.reassign_queued(context, server);
        context.servers.remove_if_unused(server);
    }

    /// Cancels an attempt of a finished request.
    pub(super) fn cancel_attempt(&mut self, context: &mut Context<'_>, attempt: AttemptId) {
        let Some(record) = self.remove_attempt(context, attempt) else {
            return;
        };
        let AttemptTarget { server, connection } = record.target;
        record_outcome(context, &record, AttemptOutcome::Open);
        context.servers.close(context.actions, connection);
        self.add_failure_cost(
            context,
            server,
            context.servers.parameters.failure_cost,
            "no_answer",
        );
        self.serve_queue(context, server);
        context.servers.remove_if_unused(server);
    }

    /// Detaches the attempts of a finished request and schedules their cancellation.
    pub(super) fn abandon_attempts(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        cancel_at: Timestamp,
    ) {
        let suspect = (!request.has_answer()).then_some(request.fingerprint);
        for index in 0..request.parts.len() {
            return_permit(context, request, index);
            let part = &request.parts[index];
            if let PartState::Queued(server, _) = part.state {
                context.servers.remove_queued(server, request.caller, index);
            }
            for attempt in &part.in_flight {
                if let Some(record) = self.attempts.get_mut(attempt) {
                    record.caller = None;
                    record.suspect = suspect;
                    record.cancel_at = Some(cancel_at);
                    self.cancellations.insert((cancel_at, *attempt));
                }
            }
        }
    }

    fn remove_attempt(&mut self, context: &mut Context<'_>, attempt: AttemptId) -> Option<Attempt> {
        let record = self.attempts.remove(&attempt)?;
        if let Some(cancel_at) = record.cancel_at {
            self.cancellations.remove(&(cancel_at, attempt));
        }
        if let Some(server) = context.servers.get_mut(record.target.server) {
            server.attempt_ended(attempt);
        }
        Some(record)
    }

    /// Applies the result of an attempt to its request.
    fn attempt_ended(
        &mut self,
        context: &mut Context<'_>,
        attempt: AttemptId,
        record: &Attempt,
        outcome: AttemptOutcome,
        reply: Option<Box<ServerReply>>,
    ) {
        let Some(caller) = record.caller else {
            return;
        };
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        record_attempt(context, &mut request, record, outcome);
        let part = &mut request.parts[record.part];
        remove_in_flight(&mut part.in_flight, attempt);
        match (outcome, reply) {
            (AttemptOutcome::Answered, Some(reply)) => {
                if !part.is_finished() {
                    part.state = PartState::Answered(reply);
                }
            }
            (outcome, reply) => self.attempt_failed(&mut request, record, outcome, reply),
        }
        self.requests.insert(caller, request);
        self.advance(context, caller);
    }

    fn attempt_failed(
        &self,
        request: &mut Request,
        record: &Attempt,
        outcome: AttemptOutcome,
        reply: Option<Box<ServerReply>>,
    ) {
        let index = record.part;
        let part = &mut request.parts[index];
        part.last_failure = Some(outcome);
        if matches!(
            outcome,
            AttemptOutcome::NotRun | AttemptOutcome::WrongInstance
        ) {
            let arrived = reply.is_some();
            part.record_not_run(record.cause, record.target.server, arrived);
        }
        if outcome == AttemptOutcome::ServerFailure {
            part.failed_reply = reply;
        }
        if part.is_finished()
            || !part.in_flight.is_empty()
            || matches!(part.state, PartState::Queued(..))
        {
            return;
        }
        if self.allows_another_attempt(request, index) {
            let part = &mut request.parts[index];
            part.state = PartState::NeedsAttempt(AttemptCause::Retry);
            part.check_at = None;
        } else if request.awaits_grant() {
            request.parts[index].state = PartState::AwaitingGrant;
            request.request_grant();
        } else {
            request.parts[index].state = PartState::Failed;
        }
    }

    /// Updates slowdown, load and rejection statistics from a reply.
    fn observe_reply(
        &mut self,
        context: &mut Context<'_>,
        record: &Attempt,
        reply: &ServerReply,
        outcome: AttemptOutcome,
    ) {
        let now = context.now;
        let took = now.since(record.sent_at);
        let mean_work = context.routes.statistics(record.route).work.mean();
        let parameters = context.servers.parameters.clone();
        let Some(server) = context.servers.get_mut(record.target.server) else {
            return;
        };
        if let Some(load) = reply.load {
            server.observe_load(now, load);
        }
        let rejected = outcome == AttemptOutcome::NotRun;
        server.rejections.observe(&parameters, now, rejected);
        match outcome {
            AttemptOutcome::Answered => {
                let work = took.saturating_sub(server.round_trip());
                let slowdown = server.slowdown(&parameters, now);
                if let Some(mean_work) = mean_work {
                    server.observe_slowdown(&parameters, now, work, mean_work);
                }
                if server.is_on_trial() {
                    // The usual work is that of the version that serves.
                    return;
                }
                let normalized = work.div_f64(slowdown.max(0.1));
                let statistics = context.routes.statistics(record.route);
                statistics.work.observe(&parameters, normalized);
            }
            AttemptOutcome::NotRun => {
                self.add_failure_cost(
                    context,
                    record.target.server,
                    parameters.failure_cost / 2,
                    "shed",
                );
            }
            AttemptOutcome::WrongInstance => {
                context.budget.record_misdirected(server.service);
                context
                    .servers
                    .found_displaced(context.actions, record.target.server);
            }
            AttemptOutcome::ServerFailure | AttemptOutcome::Invalid(_) => {
                self.add_failure_cost(
                    context,
                    record.target.server,
                    parameters.failure_cost / 2,
                    "failed",
                );
            }
            AttemptOutcome::Waiting
            | AttemptOutcome::Open
            | AttemptOutcome::Broken
            | AttemptOutcome::Overlong => {}
        }
    }
}

fn outcome_of(reply: &ServerReply, is_shard: bool) -> AttemptOutcome {
    let is_failure = match is_shard {
        true => !SUCCESS_STATUSES.contains(&reply.status),
        false => reply.status >= FIRST_SERVER_ERROR_STATUS,
    };
    match reply.verdict {
        ReplyVerdict::NotRun => AttemptOutcome::NotRun,
        ReplyVerdict::WrongInstance => AttemptOutcome::WrongInstance,
        ReplyVerdict::Invalid(reason) => AttemptOutcome::Invalid(reason),
        ReplyVerdict::Answer if is_failure => AttemptOutcome::ServerFailure,
        ReplyVerdict::Answer => AttemptOutcome::Answered,
    }
}

fn record_attempt(
    context: &mut Context<'_>,
    request: &mut Request,
    record: &Attempt,
    outcome: AttemptOutcome,
) {
    let first_succeeded =
        outcome == AttemptOutcome::Answered && record.cause == AttemptCause::First;
    if first_succeeded {
        return;
    }
    let Some(server) = context.servers.get(record.target.server) else {
        return;
    };
    request.attempt_summaries.push(AttemptSummary {
        server: server.id.clone(),
        sent_after: record.sent_at.since(request.arrived),
        cause: record.cause,
        outcome,
        duration: Some(context.now.since(record.sent_at)),
    });
}
