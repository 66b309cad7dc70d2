//! Choice of the server for a part, and queueing for its connections.

use super::attempts::Attempt;
use super::part::PartState;
use super::request::Request;
use super::trials::{may_be_sent_to, record_request, return_permit};
use super::{AttemptTarget, Context, Exchanges, is_repeatable};
use crate::gateway::action::GatewayAction;
use crate::gateway::servers::{AcquireOutcome, Choice, QueuedPart, Selection, ServerKey};
use crate::gateway::telemetry::AttemptCause;
use std::time::Duration;
use thornbridge_proto::AttemptId;

/// Work expected before any observation, as a share of the latency objective.
const INITIAL_WORK_SHARE: f64 = 0.15;
/// Rejected attempts per part that do not count against the attempt limit.
const MAX_UNCOUNTED_ATTEMPTS: u32 = 2;

impl Exchanges {
    /// Runs what is due for one part.
    pub(super) fn advance_part(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
    ) {
        if !Self::may_send_now(context, request) {
            return;
        }
        let part = &request.parts[index];
        let due = part.check_at.is_some_and(|time| time <= context.now);
        match part.state {
            PartState::NeedsAttempt(cause) if part.check_at.is_none() || due => {
                self.dispatch(context, request, index, cause);
            }
            PartState::Queued(server, cause) if due => {
                self.queue_wait_exceeded(context, request, index, server, cause);
            }
            PartState::InFlight if due => self.hedge(context, request, index),
            _ => {}
        }
    }

    /// Sends a part to the best server, or queues it there.
    fn dispatch(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        cause: AttemptCause,
    ) {
        if let Some(server) = self.choose_trial(context, request, index, cause) {
            self.queue_or_send(context, request, index, server, cause);
            return;
        }
        let look_interval = self.parameters.look_interval;
        let Some(choice) = self.choose(context, request, index) else {
            let settling = context.now.since_epoch() < self.parameters.settling;
            let may_wait = settling || request.is_caller_retry();
            let homes = &request.route.route.home_regions;
            let part = &mut request.parts[index];
            let servers = &context.servers;
            let evacuated = servers.is_evacuated(part.service);
            let may_register = part.sent == 0 && may_wait && !evacuated && homes.is_empty();
            part.held_back |= servers.has_held_back(context.now, part.service, homes);
            if may_register || servers.has_other_server(part.service, &part.tried, homes) {
                // A server may register or become reachable.
                part.check_at = Some(context.now + look_interval * 2);
            } else {
                part.state = PartState::Failed;
            }
            return;
        };
        self.queue_or_send(context, request, index, choice.server, cause);
    }

    /// Sends a part to a server, or queues it there until a connection is idle; charges the budget for
    /// an extra attempt.
    fn queue_or_send(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        server: ServerKey,
        cause: AttemptCause,
    ) {
        if !self.charge_budget(context, request, index) {
            return;
        }
        match context
            .servers
            .acquire_connection(context.now, context.actions, server)
        {
            AcquireOutcome::Idle(connection) => {
                let target = AttemptTarget { server, connection };
                self.send(context, request, index, target, cause);
            }
            AcquireOutcome::Pending => {
                let expected = self.expected_latency(context, request, server);
                let queued = QueuedPart {
                    caller: request.caller,
                    part: index,
                    send_by: request.soft_deadline - expected,
                    deadline: request.deadline,
                };
                if let Some(server) = context.servers.get_mut(server) {
                    server.queue.push(queued);
                }
                let wait = self.hedge_delay(context, request, server);
                let part = &mut request.parts[index];
                part.state = PartState::Queued(server, cause);
                part.check_at = Some(context.now + wait);
            }
        }
    }

    /// Charges the budget if the next attempt is an extra one. If denied, the part is checked again
    /// later. With no attempt in flight it fails instead: in a gather if the budget will not allow one
    /// in time, otherwise unless the request is a caller's retry.
    #[must_use]
    fn charge_budget(
        &self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
    ) -> bool {
        let part = &mut request.parts[index];
        if !part.needs_charge(context.now) {
            return true;
        }
        if part.take_lent(context.now) {
            return true;
        }
        if context.budget.try_take(context.now, part.service) {
            part.set_charged(context.now);
            return true;
        }
        if part.loan_is_missing() {
            request.request_renewal();
        }
        request.budget_denials += 1;
        let may_wait = match request.is_gather() {
            true => Self::may_be_charged_in_time(context, request, index),
            false => request.is_caller_retry(),
        };
        let part = &mut request.parts[index];
        part.budget_denied = true;
        if may_wait || !part.in_flight.is_empty() {
            part.check_at = Some(context.now + self.parameters.look_interval * 4);
        } else {
            part.state = PartState::Failed;
        }
        false
    }

    /// Whether an extra attempt of a part may be paid for while its request lasts.
    fn may_be_charged_in_time(context: &mut Context<'_>, request: &Request, index: usize) -> bool {
        let service = request.parts[index].service;
        request.awaits_grant()
            || context
                .budget
                .may_allow_by(context.now, request.deadline, service)
    }

    pub(super) fn send(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        target: AttemptTarget,
        cause: AttemptCause,
    ) {
        self.next_attempt += 1;
        let attempt = AttemptId(self.next_attempt);
        let expected = self.expected_latency(context, request, target.server);
        context.servers.occupy(target.connection, attempt);
        context.quarantine.record_attempt(request.fingerprint);
        let Some(server) = context.servers.get_mut(target.server) else {
            return;
        };
        server.attempt_sent(context.now, attempt, expected);
        let instance = server.id.clone();
        context.servers.record_send(context.now, target.server);
        let record = Attempt {
            caller: Some(request.caller),
            part: index,
            is_shard: request.is_gather(),
            route: request.route.key,
            target,
            sent_at: context.now,
            cause,
            cancel_at: None,
            suspect: Some(request.fingerprint),
            had_permit: request.parts[index].has_permit,
            pair: None,
        };
        record_request(context, request, index, cause);
        self.attempts.insert(attempt, record);
        let hedge_at = context.now + self.hedge_delay(context, request, target.server);
        let caller_timeout = request.attempt_timeout(context.now, index, cause);
        let may_hedge = is_repeatable(&request.route);
        let part = &mut request.parts[index];
        match cause {
            AttemptCause::Companion => part.record_companion(attempt),
            AttemptCause::First | AttemptCause::Hedge | AttemptCause::Retry => {
                part.record_sent(attempt, target.server);
                part.check_at = may_hedge.then_some(hedge_at);
            }
        }
        context.actions.push_back(GatewayAction::Send {
            connection: target.connection,
            attempt,
            caller: request.caller,
            instance,
            caller_timeout,
        });
        if record.had_permit && cause == AttemptCause::First {
            self.send_companion(context, request, index, attempt, target.server);
        }
    }

    /// Moves a part that is queued for too long to another server, if a responsive one exists.
    fn queue_wait_exceeded(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        queued_at: ServerKey,
        cause: AttemptCause,
    ) {
        let interval = self.parameters.look_interval * 2;
        let mut excluded = request.parts[index].tried.clone();
        excluded.push(queued_at);
        let work = self.mean_work(context, request);
        let service = request.parts[index].service;
        let selection = Selection {
            service,
            work,
            excluded: &excluded,
            homes: &request.route.route.home_regions,
        };
        let other = context
            .servers
            .choose(context.now, context.random, &selection);
        request.parts[index].check_at = Some(context.now + interval);
        let needs_charge = request.parts[index].needs_charge(context.now);
        let other = other.filter(|other| {
            !other.silent && (!needs_charge || context.budget.allows(context.now, service))
        });
        let Some(other) = other else {
            context
                .servers
                .open_for_queued(context.now, context.actions, queued_at);
            return;
        };
        context
            .servers
            .remove_queued(queued_at, request.caller, index);
        let part = &mut request.parts[index];
        part.state = PartState::NeedsAttempt(cause);
        return_permit(context, request, index);
        self.queue_or_send(context, request, index, other.server, cause);
    }

    /// Whether the route allows another attempt of a part.
    pub(super) fn allows_another_attempt(&self, request: &Request, index: usize) -> bool {
        let part = &request.parts[index];
        let max_attempts = request.max_attempts;
        let possible_runs = part.possible_runs();
        let below_limit =
            possible_runs < max_attempts && part.sent < max_attempts + MAX_UNCOUNTED_ATTEMPTS;
        below_limit && (possible_runs == 0 || is_repeatable(&request.route))
    }

    pub(super) fn choose(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        index: usize,
    ) -> Option<Choice> {
        let work = self.mean_work(context, request);
        let part = &request.parts[index];
        let selection = Selection {
            service: part.service,
            work,
            excluded: &part.tried,
            homes: &request.route.route.home_regions,
        };
        context
            .servers
            .choose(context.now, context.random, &selection)
    }

    /// Mean work of the route's requests at a server of average speed.
    pub(super) fn mean_work(&self, context: &mut Context<'_>, request: &Request) -> Duration {
        let objective = request.route.route.latency_objective;
        let observed = context.routes.statistics(request.route.key).work.mean();
        observed.unwrap_or_else(|| objective.mul_f64(INITIAL_WORK_SHARE))
    }

    fn expected_latency(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        server: ServerKey,
    ) -> Duration {
        let work = self.mean_work(context, request);
        let Some(server) = context.servers.get(server) else {
            return work;
        };
        let slowdown = server.slowdown(&context.servers.parameters, context.now);
        server.round_trip() + work.mul_f64(slowdown)
    }

    /// Sends parts queued for a server while it has idle connections.
    pub(super) fn serve_queue(&mut self, context: &mut Context<'_>, key: ServerKey) {
        loop {
            let Some(server) = context.servers.get(key) else {
                return;
            };
            let accepts_requests =
                server.takes_queued() && !context.servers.is_held_back(context.now, server);
            if accepts_requests && server.idle.is_empty() {
                return;
            }
            let Some(queued) = context.servers.dequeue(context.now, key) else {
                return;
            };
            self.serve_queued_part(context, key, queued, accepts_requests);
        }
    }

    fn serve_queued_part(
        &mut self,
        context: &mut Context<'_>,
        key: ServerKey,
        queued: QueuedPart,
        server_accepts: bool,
    ) {
        let Some(mut request) = self.requests.remove(&queued.caller) else {
            return;
        };
        let state = &request.parts[queued.part].state;
        if let PartState::Queued(server, cause) = *state
            && server == key
        {
            self.dispatch_queued(
                context,
                &mut request,
                queued.part,
                key,
                cause,
                server_accepts,
            );
        }
        let caller = request.caller;
        self.requests.insert(caller, request);
        self.advance(context, caller);
    }

    fn dispatch_queued(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        server: ServerKey,
        cause: AttemptCause,
        server_accepts: bool,
    ) {
        let accepts_part = server_accepts && may_be_sent_to(context, &request.parts[index], server);
        let part = &mut request.parts[index];
        part.state = PartState::NeedsAttempt(cause);
        part.check_at = None;
        // Charged again if the charge lapsed in the queue; before a connection is taken, so that a denied
        // part leaves it to others.
        if accepts_part
            && Self::may_send_now(context, request)
            && self.charge_budget(context, request, index)
            && let AcquireOutcome::Idle(connection) =
                context
                    .servers
                    .acquire_connection(context.now, context.actions, server)
        {
            let target = AttemptTarget { server, connection };
            self.send(context, request, index, target, cause);
        }
        return_permit(context, request, index);
    }

    /// Moves the parts queued for a server that is leaving or unreachable to other servers.
    pub(super) fn reassign_queued(&mut self, context: &mut Context<'_>, key: ServerKey) {
        let mut displaced = Vec::new();
        while let Some(queued) = context.servers.dequeue(context.now, key) {
            displaced.push(queued);
        }
        for queued in displaced {
            self.serve_queued_part(context, key, queued, false);
        }
    }
}

pub(super) fn remove_in_flight(in_flight: &mut Vec<AttemptId>, attempt: AttemptId) {
    in_flight.retain(|other| *other != attempt);
}
