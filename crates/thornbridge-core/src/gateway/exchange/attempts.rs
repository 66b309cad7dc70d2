//! Attempts: their answers and failures, and what is learnt from them.

use super::dispatching::remove_open;
use super::leg::LegState;
use super::request::Request;
use super::{Carrier, Exchanges, Scope};
use crate::driver_action::{CallerId, ConnectionId};
use crate::gateway::action::GatewayAction;
use crate::gateway::event::{ExchangeFailure, ReplyVerdict, ServerReply};
use crate::gateway::notes::{AttemptCause, AttemptNote, AttemptOutcome, GatewayChange};
use crate::gateway::routes::RouteKey;
use crate::gateway::servers::{Loss, ServerKey};
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::fingerprint::Fingerprint;

/// First status of a server's own failure.
const SERVER_FAILURE: u16 = 500;
/// Failure cost from which a server counts as avoided, for the log.
const AVOIDED_COST: Duration = Duration::from_millis(100);

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Whom it is for; `None` once the request was answered or given up.
    pub(super) caller: Option<CallerId>,
    pub(super) leg: usize,
    pub(super) route: RouteKey,
    pub(super) carrier: Carrier,
    pub(super) sent: Timestamp,
    pub(super) cause: AttemptCause,
    pub(super) cut_at: Option<Timestamp>,
    /// Request that is suspected if the server crashes; `None` where one has answered it.
    pub(super) suspect: Option<Fingerprint>,
}

impl Exchanges {
    /// A server answered.
    pub(in crate::gateway) fn replied(
        &mut self,
        scope: &mut Scope<'_>,
        attempt: AttemptId,
        reply: Box<ServerReply>,
    ) {
        let Some(record) = self.take_attempt(scope, attempt) else {
            return;
        };
        let outcome = outcome_of(&reply);
        if let (AttemptOutcome::Answered, Some(fingerprint)) = (outcome, record.suspect) {
            scope.quarantine.answered(scope.now, fingerprint);
        }
        self.learn(scope, &record, &reply, outcome);
        let Carrier { server, connection } = record.carrier;
        if reply.reusable {
            scope
                .servers
                .release(scope.now, scope.actions, connection, reply.keep_alive);
        } else {
            scope.servers.close(scope.actions, connection);
        }
        self.ended(scope, attempt, &record, outcome, Some(reply));
        self.serve_waiting(scope, server);
        scope.servers.forget_if_over(server);
    }

    /// An attempt ended without an answer.
    pub(in crate::gateway) fn failed(
        &mut self,
        scope: &mut Scope<'_>,
        attempt: AttemptId,
        failure: ExchangeFailure,
    ) {
        let Some(record) = self.take_attempt(scope, attempt) else {
            return;
        };
        let Carrier { server, connection } = record.carrier;
        scope.servers.broke(scope.now, connection);
        let outcome = match failure {
            ExchangeFailure::NotSent => AttemptOutcome::NotRun,
            ExchangeFailure::MayHaveRun => AttemptOutcome::Broken,
        };
        if failure == ExchangeFailure::MayHaveRun {
            let cost = scope.servers.parameters.failure_cost;
            self.distrust(scope, server, cost, "broken");
            self.suspect(scope, &record);
        }
        self.ended(scope, attempt, &record, outcome, None);
        self.serve_waiting(scope, server);
        scope.servers.forget_if_over(server);
    }

    /// A connection opened.
    pub(in crate::gateway) fn connection_opened(
        &mut self,
        scope: &mut Scope<'_>,
        connection: ConnectionId,
        took: Duration,
    ) {
        if let Some(server) = scope.servers.opened(scope.now, connection, took) {
            self.serve_waiting(scope, server);
        }
    }

    /// Connections that were being proved may carry requests.
    pub(in crate::gateway) fn connections_proved(&mut self, scope: &mut Scope<'_>) {
        for server in scope.servers.proved(scope.now) {
            self.serve_waiting(scope, server);
        }
    }

    /// A connection was lost, or could not be opened.
    pub(in crate::gateway) fn connection_lost(
        &mut self,
        scope: &mut Scope<'_>,
        connection: ConnectionId,
    ) {
        let Some((server, loss)) = scope.servers.lost(scope.now, connection) else {
            return;
        };
        if loss == Loss::Unreachable {
            self.tell_trust(scope, server, "unreachable");
        }
        if loss != Loss::Rested {
            self.strand_waiting(scope, server);
        }
        scope.servers.forget_if_over(server);
    }

    /// A server takes nothing new any more.
    pub(in crate::gateway) fn server_left(&mut self, scope: &mut Scope<'_>, server: ServerKey) {
        self.strand_waiting(scope, server);
        scope.servers.forget_if_over(server);
    }

    /// Cuts an attempt off whose request is over.
    pub(super) fn cut(&mut self, scope: &mut Scope<'_>, attempt: AttemptId) {
        let Some(record) = self.take_attempt(scope, attempt) else {
            return;
        };
        let Carrier { server, connection } = record.carrier;
        scope.servers.close(scope.actions, connection);
        self.distrust(
            scope,
            server,
            scope.servers.parameters.failure_cost,
            "no_answer",
        );
        self.serve_waiting(scope, server);
        scope.servers.forget_if_over(server);
    }

    /// The request of these attempts is over: whatever still runs is cut off later.
    pub(super) fn abandon(&mut self, scope: &mut Scope<'_>, request: &Request, cut_at: Timestamp) {
        let suspect = (!request.has_answer()).then_some(request.fingerprint);
        for (index, leg) in request.legs.iter().enumerate() {
            if let LegState::Queued(server, _) = leg.state {
                scope.servers.stop_waiting(server, request.caller, index);
            }
            for attempt in &leg.open {
                if let Some(record) = self.attempts.get_mut(attempt) {
                    record.caller = None;
                    record.suspect = suspect;
                    record.cut_at = Some(cut_at);
                    self.cuts.insert((cut_at, *attempt));
                }
            }
        }
    }

    fn take_attempt(&mut self, scope: &mut Scope<'_>, attempt: AttemptId) -> Option<Attempt> {
        let record = self.attempts.remove(&attempt)?;
        if let Some(cut_at) = record.cut_at {
            self.cuts.remove(&(cut_at, attempt));
        }
        if let Some(server) = scope.servers.get_mut(record.carrier.server) {
            server.ended(attempt);
        }
        Some(record)
    }

    /// Takes the end of an attempt into its request.
    fn ended(
        &mut self,
        scope: &mut Scope<'_>,
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
        note_attempt(scope, &mut request, record, outcome);
        let leg = &mut request.legs[record.leg];
        remove_open(&mut leg.open, attempt);
        match (outcome, reply) {
            (AttemptOutcome::Answered, Some(reply)) => {
                if !leg.is_over() {
                    leg.state = LegState::Answered(reply);
                }
            }
            (outcome, reply) => self.attempt_failed(&mut request, record, outcome, reply),
        }
        self.requests.insert(caller, request);
        self.advance(scope, caller);
    }

    fn attempt_failed(
        &self,
        request: &mut Request,
        record: &Attempt,
        outcome: AttemptOutcome,
        reply: Option<Box<ServerReply>>,
    ) {
        let index = record.leg;
        let leg = &mut request.legs[index];
        leg.failure = Some(outcome);
        let never_left = outcome == AttemptOutcome::NotRun && reply.is_none();
        if never_left {
            // It counts against no limit, and its server may get the part yet.
            leg.sent -= 1;
            leg.tried.retain(|server| *server != record.carrier.server);
        } else if matches!(
            outcome,
            AttemptOutcome::NotRun | AttemptOutcome::WrongInstance
        ) {
            leg.not_run += 1;
        }
        if outcome == AttemptOutcome::ServerFailure {
            leg.failed_reply = reply;
        }
        if leg.is_over() || !leg.open.is_empty() || matches!(leg.state, LegState::Queued(..)) {
            return;
        }
        if self.may_send_more(request, index) {
            let leg = &mut request.legs[index];
            leg.state = LegState::Wanting(AttemptCause::Retry);
            leg.look_at = None;
        } else if request.awaits_grant() {
            request.legs[index].state = LegState::AwaitingGrant;
            request.request_grant();
        } else {
            request.legs[index].state = LegState::Failed;
        }
    }

    /// Learns speed and load from an answer.
    fn learn(
        &mut self,
        scope: &mut Scope<'_>,
        record: &Attempt,
        reply: &ServerReply,
        outcome: AttemptOutcome,
    ) {
        let now = scope.now;
        let took = now.since(record.sent);
        let usual = scope.routes.statistics(record.route).work.mean();
        let parameters = scope.servers.parameters.clone();
        let Some(server) = scope.servers.get_mut(record.carrier.server) else {
            return;
        };
        if let Some(load) = reply.load {
            server.loaded(now, load);
        }
        let rejected = outcome == AttemptOutcome::NotRun;
        server.rejections.observe(&parameters, now, rejected);
        match outcome {
            AttemptOutcome::Answered => {
                let work = took.saturating_sub(server.round_trip());
                let speed = server.speed(&parameters, now);
                if let Some(usual) = usual {
                    server.observe_speed(&parameters, now, work, usual);
                }
                let normal = work.div_f64(speed.max(0.1));
                let statistics = scope.routes.statistics(record.route);
                statistics.work.observe(&parameters, normal);
            }
            AttemptOutcome::NotRun => {
                self.distrust(
                    scope,
                    record.carrier.server,
                    parameters.failure_cost / 2,
                    "shed",
                );
            }
            AttemptOutcome::WrongInstance => {
                self.distrust(
                    scope,
                    record.carrier.server,
                    parameters.unreachable_cost * 4,
                    "wrong_instance",
                );
            }
            AttemptOutcome::ServerFailure | AttemptOutcome::Spoilt => {
                self.distrust(
                    scope,
                    record.carrier.server,
                    parameters.failure_cost / 2,
                    "failed",
                );
            }
            AttemptOutcome::Waiting | AttemptOutcome::Open | AttemptOutcome::Broken => {}
        }
    }

    fn distrust(
        &mut self,
        scope: &mut Scope<'_>,
        key: ServerKey,
        cost: Duration,
        cause: &'static str,
    ) {
        let parameters = scope.servers.parameters.clone();
        if let Some(server) = scope.servers.get_mut(key) {
            server.failed(&parameters, scope.now, cost);
        }
        self.tell_trust(scope, key, cause);
    }

    /// Tells the log when a server begins or ceases to be avoided.
    fn tell_trust(&mut self, scope: &mut Scope<'_>, key: ServerKey, cause: &'static str) {
        let parameters = scope.servers.parameters.clone();
        let Some(server) = scope.servers.get_mut(key) else {
            return;
        };
        let avoided = server.failure_cost(&parameters, scope.now) >= AVOIDED_COST;
        if avoided == server.avoided {
            return;
        }
        server.avoided = avoided;
        let change = GatewayChange::Trust {
            id: server.id.clone(),
            avoided,
            cause,
        };
        scope.actions.push_back(GatewayAction::Changed(change));
    }
}

fn outcome_of(reply: &ServerReply) -> AttemptOutcome {
    match reply.verdict {
        ReplyVerdict::NotRun => AttemptOutcome::NotRun,
        ReplyVerdict::WrongInstance => AttemptOutcome::WrongInstance,
        ReplyVerdict::Spoilt => AttemptOutcome::Spoilt,
        ReplyVerdict::Answer if reply.status >= SERVER_FAILURE => AttemptOutcome::ServerFailure,
        ReplyVerdict::Answer => AttemptOutcome::Answered,
    }
}

fn note_attempt(
    scope: &mut Scope<'_>,
    request: &mut Request,
    record: &Attempt,
    outcome: AttemptOutcome,
) {
    let plain = outcome == AttemptOutcome::Answered && record.cause == AttemptCause::First;
    if plain {
        return;
    }
    let Some(server) = scope.servers.get(record.carrier.server) else {
        return;
    };
    request.notes.push(AttemptNote {
        server: server.id.clone(),
        sent_after: record.sent.since(request.arrived),
        cause: record.cause,
        outcome,
        took: Some(scope.now.since(record.sent)),
    });
}
