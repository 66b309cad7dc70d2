//! Which server gets a part next, and when.

use super::attempts::Attempt;
use super::leg::LegState;
use super::request::Request;
use super::{Carrier, Exchanges, Scope, repeatable};
use crate::gateway::action::GatewayAction;
use crate::gateway::notes::AttemptCause;
use crate::gateway::servers::{Choice, OpenOutcome, ServerKey, Waiting};
use std::time::Duration;
use thornbridge_proto::AttemptId;

/// Work that is expected before anything is learnt, as a share of the latency objective.
const INITIAL_WORK_SHARE: f64 = 0.15;
/// Attempts that did not run and do not count against a request's limit.
const FREE_ATTEMPTS: u32 = 2;

impl Exchanges {
    /// Does what is due for one part.
    pub(super) fn advance_leg(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
    ) {
        if !Self::may_send_now(scope, request) {
            return;
        }
        let leg = &request.legs[index];
        let due = leg.look_at.is_some_and(|time| time <= scope.now);
        match leg.state {
            LegState::Wanting(cause) if leg.look_at.is_none() || due => {
                self.dispatch(scope, request, index, cause);
            }
            LegState::Queued(server, cause) if due => {
                self.queued_too_long(scope, request, index, server, cause);
            }
            LegState::Running if due => self.hedge(scope, request, index),
            _ => {}
        }
    }

    /// Sends a part to the best server, or queues it there.
    fn dispatch(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        cause: AttemptCause,
    ) {
        let look_interval = self.parameters.look_interval;
        let Some(choice) = self.choose(scope, request, index) else {
            let settling = scope.now.since_epoch() < self.parameters.settling;
            let waits = settling || request.is_last_try();
            let leg = &mut request.legs[index];
            let evacuated = scope.servers.is_evacuated(leg.service);
            let may_come = leg.sent == 0 && waits && !evacuated;
            if may_come || scope.servers.has_other_server(leg.service, &leg.tried) {
                // Its servers cannot be reached or are not registered; one may be soon.
                leg.look_at = Some(scope.now + look_interval * 2);
            } else {
                leg.state = LegState::Failed;
            }
            return;
        };
        self.queue_or_send(scope, request, index, choice.server, cause);
    }

    /// Sends a part to a server, or queues it there; an extra attempt has to be paid for.
    fn queue_or_send(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        server: ServerKey,
        cause: AttemptCause,
    ) {
        let extra = request.legs[index].is_extra();
        if extra && !self.pay(scope, request, index) {
            return;
        }
        self.queue_or_send_paid(scope, request, index, server, cause);
    }

    fn queue_or_send_paid(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        server: ServerKey,
        cause: AttemptCause,
    ) {
        match scope
            .servers
            .connection_for(scope.now, scope.actions, server)
        {
            OpenOutcome::Resting(connection) => {
                let carrier = Carrier { server, connection };
                self.send(scope, request, index, carrier, cause);
            }
            OpenOutcome::Wait => {
                let expected = self.expected(scope, request, server);
                let waiting = Waiting {
                    caller: request.caller,
                    leg: index,
                    send_by: request.answer_by - expected,
                    ends: request.ends,
                };
                if let Some(server) = scope.servers.get_mut(server) {
                    server.waiting.push(waiting);
                }
                let wait = self.hedge_delay(scope, request, server);
                let leg = &mut request.legs[index];
                leg.state = LegState::Queued(server, cause);
                leg.look_at = Some(scope.now + wait);
            }
        }
    }

    /// Takes an extra attempt from the budget. Where there is none, the part waits for it; a plain
    /// request with nothing under way is over, unless its caller does not come back.
    fn pay(&mut self, scope: &mut Scope<'_>, request: &mut Request, index: usize) -> bool {
        let leg = &mut request.legs[index];
        let paid = leg.paid || leg.take_lent(scope.now);
        if paid || scope.budget.try_take(scope.now, leg.service) {
            leg.paid = true;
            return true;
        }
        request.denied += 1;
        let waits = request.is_gather() || request.is_last_try();
        let leg = &mut request.legs[index];
        leg.denied = true;
        if waits || !leg.open.is_empty() {
            leg.look_at = Some(scope.now + self.parameters.look_interval * 4);
        } else {
            leg.state = LegState::Failed;
        }
        false
    }

    pub(super) fn send(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        carrier: Carrier,
        cause: AttemptCause,
    ) {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        let expected = self.expected(scope, request, carrier.server);
        scope.servers.occupy(carrier.connection, attempt);
        scope.quarantine.sent(request.fingerprint);
        let Some(server) = scope.servers.get_mut(carrier.server) else {
            return;
        };
        server.sent(scope.now, attempt, expected);
        let instance = server.id.clone();
        let record = Attempt {
            caller: Some(request.caller),
            leg: index,
            route: request.route.key,
            carrier,
            sent: scope.now,
            cause,
            cut_at: None,
            suspect: Some(request.fingerprint),
        };
        self.attempts.insert(attempt, record);
        let hedge_at = scope.now + self.hedge_delay(scope, request, carrier.server);
        let may_hedge = repeatable(&request.route);
        let leg = &mut request.legs[index];
        leg.state = LegState::Running;
        leg.open.push(attempt);
        leg.tried.push(carrier.server);
        leg.sent += 1;
        leg.paid = false;
        leg.look_at = may_hedge.then_some(hedge_at);
        scope.actions.push_back(GatewayAction::Send {
            connection: carrier.connection,
            attempt,
            caller: request.caller,
            instance,
            patience: request.ends.since(scope.now),
        });
    }

    /// A part waits for a connection for longer than it should: another server may be better.
    fn queued_too_long(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        queued_at: ServerKey,
        cause: AttemptCause,
    ) {
        let interval = self.parameters.look_interval * 2;
        let mut excluded = request.legs[index].tried.clone();
        excluded.push(queued_at);
        let work = self.usual_work(scope, request);
        let service = request.legs[index].service;
        let other = scope
            .servers
            .choose(scope.now, scope.random, service, work, &excluded);
        request.legs[index].look_at = Some(scope.now + interval);
        let Some(other) = other.filter(|other| !other.silent) else {
            scope
                .servers
                .open_for_waiting(scope.now, scope.actions, queued_at);
            return;
        };
        scope.servers.stop_waiting(queued_at, request.caller, index);
        let leg = &mut request.legs[index];
        leg.state = LegState::Wanting(cause);
        // An extra attempt was paid for when it was queued.
        self.queue_or_send_paid(scope, request, index, other.server, cause);
    }

    /// Whether the route allows another attempt of a part.
    pub(super) fn may_send_more(&self, request: &Request, index: usize) -> bool {
        let leg = &request.legs[index];
        let most = request.attempts;
        let ran = leg.ran();
        let within = ran < most && leg.sent < most + FREE_ATTEMPTS;
        within && (ran == 0 || repeatable(&request.route))
    }

    pub(super) fn choose(
        &self,
        scope: &mut Scope<'_>,
        request: &Request,
        index: usize,
    ) -> Option<Choice> {
        let work = self.usual_work(scope, request);
        let leg = &request.legs[index];
        scope
            .servers
            .choose(scope.now, scope.random, leg.service, work, &leg.tried)
    }

    /// Work of a request of the route at a server of usual speed.
    pub(super) fn usual_work(&self, scope: &mut Scope<'_>, request: &Request) -> Duration {
        let objective = request.route.route.latency_objective;
        let learnt = scope.routes.statistics(request.route.key).work.mean();
        learnt.unwrap_or_else(|| objective.mul_f64(INITIAL_WORK_SHARE))
    }

    fn expected(&self, scope: &mut Scope<'_>, request: &Request, server: ServerKey) -> Duration {
        let work = self.usual_work(scope, request);
        let Some(server) = scope.servers.get(server) else {
            return work;
        };
        let speed = server.speed(&scope.servers.parameters, scope.now);
        server.round_trip() + work.mul_f64(speed)
    }

    /// A server has a resting connection: sends what waits for it.
    pub(super) fn serve_waiting(&mut self, scope: &mut Scope<'_>, key: ServerKey) {
        loop {
            let Some(server) = scope.servers.get(key) else {
                return;
            };
            let takes = server.takes_requests();
            if takes && server.resting.is_empty() {
                return;
            }
            let Some(waiting) = scope.servers.next_waiting(scope.now, key) else {
                return;
            };
            self.serve_one(scope, key, waiting, takes);
        }
    }

    fn serve_one(
        &mut self,
        scope: &mut Scope<'_>,
        key: ServerKey,
        waiting: Waiting,
        server_takes: bool,
    ) {
        let Some(mut request) = self.requests.remove(&waiting.caller) else {
            return;
        };
        let state = &request.legs[waiting.leg].state;
        if let LegState::Queued(server, cause) = *state
            && server == key
        {
            self.serve_queued(scope, &mut request, waiting.leg, key, cause, server_takes);
        }
        let caller = request.caller;
        self.requests.insert(caller, request);
        self.advance(scope, caller);
    }

    fn serve_queued(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        server: ServerKey,
        cause: AttemptCause,
        server_takes: bool,
    ) {
        if server_takes
            && Self::may_send_now(scope, request)
            && let OpenOutcome::Resting(connection) =
                scope
                    .servers
                    .connection_for(scope.now, scope.actions, server)
        {
            let carrier = Carrier { server, connection };
            self.send(scope, request, index, carrier, cause);
            return;
        }
        let leg = &mut request.legs[index];
        leg.state = LegState::Wanting(cause);
        leg.look_at = None;
    }

    /// Servers that take nothing any more, or cannot be reached: what waits there goes elsewhere.
    pub(super) fn strand_waiting(&mut self, scope: &mut Scope<'_>, key: ServerKey) {
        let mut stranded = Vec::new();
        while let Some(waiting) = scope.servers.next_waiting(scope.now, key) {
            stranded.push(waiting);
        }
        for waiting in stranded {
            self.serve_one(scope, key, waiting, false);
        }
    }
}

/// The attempts of a part that may still answer.
pub(super) fn remove_open(open: &mut Vec<AttemptId>, attempt: AttemptId) {
    open.retain(|other| *other != attempt);
}
