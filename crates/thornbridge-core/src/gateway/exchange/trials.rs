//! Requests and attempts of services that have a version on trial.
//!
//! A permit sends the first attempt of a part to the version on trial. Any other attempt, a retry or a
//! hedge, goes to the version that serves. The permit of a part that leaves the queue of such a server
//! unsent is returned. Outcomes at both versions are counted by the same yardstick.
//!
//! The few requests of a sample seldom meet at a server. A companion, a second attempt sent to the server
//! of the first one at the same time, shows what the version does with two requests at once. It needs a
//! permit of its own, an idle connection, and an extra attempt of the budget.

use super::attempts::Attempt;
use super::part::Part;
use super::request::Request;
use super::{AttemptTarget, Context, Exchanges, is_repeatable};
use crate::gateway::rollouts::trials::Arm;
use crate::gateway::routes::RouteKey;
use crate::gateway::servers::{AcquireOutcome, Server, ServerKey, VersionRole};
use crate::gateway::telemetry::{AttemptCause, AttemptOutcome};
use std::time::Duration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::peer::rollout::companions_of;

/// Multiple of a route's usual work from which an answer counts as bad.
const SLOW_FACTOR: u32 = 3;
/// Requests that a server has at once with a companion, which may wait for each other.
const WITH_COMPANION: u32 = 2;
/// Quantile of a route's work that counts as usual.
const USUAL_QUANTILE: f64 = 0.5;

impl Exchanges {
    /// Server of a version on trial for the first attempt of a part, if there is a permit.
    pub(super) fn choose_trial(
        &self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        cause: AttemptCause,
    ) -> Option<ServerKey> {
        let part = &request.parts[index];
        if !part.is_first_attempt(cause) {
            return None;
        }
        let service = part.service;
        let route = &request.route.route.name;
        let instance = context.trials.take_permit(context.now, service, route)?;
        request.parts[index].has_permit = true;
        let work = self.mean_work(context, request);
        let server = context
            .servers
            .choose_trial(context.now, service, work, instance.as_ref());
        if server.is_none() {
            return_permit(context, request, index);
        }
        server
    }

    /// Sends a companion of a part that was just sent to a server of a version on trial, if there is a
    /// permit for one.
    pub(super) fn send_companion(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        first: AttemptId,
        server: ServerKey,
    ) {
        let service = request.parts[index].service;
        let companions = companions_of(&request.route.route.name);
        if !is_repeatable(&request.route)
            || !Self::may_send_now(context, request)
            || !context.trials.has_permit(context.now, service, &companions)
            || !context.budget.allows(context.now, service)
        {
            return;
        }
        // Without an idle connection, one is opened for the next companion.
        let acquired = context
            .servers
            .acquire_connection(context.now, context.actions, server);
        let AcquireOutcome::Idle(connection) = acquired else {
            return;
        };
        let is_charged = context.budget.try_take(context.now, service);
        let permit = context
            .trials
            .take_permit(context.now, service, &companions);
        debug_assert!(is_charged && permit.is_some());
        request.parts[index].has_permit = true;
        let target = AttemptTarget { server, connection };
        self.send(context, request, index, target, AttemptCause::Companion);
        let companion = AttemptId(self.next_attempt);
        for attempt in [first, companion] {
            if let Some(record) = self.attempts.get_mut(&attempt) {
                record.pair = Some(first);
            }
        }
    }
}

/// Returns the unused permit of a part, if it has one.
pub(super) fn return_permit(context: &mut Context<'_>, request: &mut Request, index: usize) {
    let part = &mut request.parts[index];
    if std::mem::take(&mut part.has_permit) {
        let route = &request.route.route.name;
        context.trials.return_permit(part.service, route);
    }
}

/// Returns the permit of an attempt that was not sent, if it had one.
pub(super) fn restore_permit(context: &mut Context<'_>, record: &Attempt) {
    if !record.had_permit {
        return;
    }
    if let Some(server) = context.servers.get(record.target.server) {
        let service = server.service;
        let name = sample_name(context, record);
        context.trials.return_permit(service, &name);
    }
}

/// Name under which the permit of an attempt is counted.
fn sample_name(context: &Context<'_>, record: &Attempt) -> String {
    let route = context.routes.name_of(record.route);
    match record.cause {
        AttemptCause::Companion => companions_of(route),
        AttemptCause::First | AttemptCause::Hedge | AttemptCause::Retry => route.to_owned(),
    }
}

/// Whether a server may get a part of its queue: one on trial only gets parts with a permit that have
/// not waited too long. A node that was paused may not know yet that the version was rolled back.
pub(super) fn may_be_sent_to(context: &Context<'_>, part: &Part, server: ServerKey) -> bool {
    let overdue = part.check_at.is_some_and(|time| time <= context.now);
    let permitted = part.has_permit && !overdue;
    let server = context.servers.get(server);
    permitted || server.is_some_and(Server::takes_requests)
}

/// Counts a request to its service when the first attempt is sent.
pub(super) fn record_request(
    context: &mut Context<'_>,
    request: &Request,
    index: usize,
    cause: AttemptCause,
) {
    let part = &request.parts[index];
    if part.is_first_attempt(cause) {
        let route = &request.route.route.name;
        context.trials.record_request(part.service, route);
        if is_repeatable(&request.route) && context.trials.has_begun(part.service) {
            let now = context.now;
            let affordable = context.budget.may_allow_by(now, now, part.service);
            let trials = &mut context.trials;
            trials.record_eligible(part.service, route, affordable);
        }
    }
}

/// Counts the outcome of an attempt at a service that has a version on trial.
pub(super) fn record_outcome(context: &mut Context<'_>, record: &Attempt, outcome: AttemptOutcome) {
    let Some(server) = context.servers.get(record.target.server) else {
        return;
    };
    let service = server.service;
    if !context.trials.has_begun(service) {
        return;
    }
    let arm = match server.role {
        VersionRole::Trial => Arm::Trial,
        VersionRole::Serving => Arm::Stable,
        VersionRole::Held | VersionRole::Rejected => return,
    };
    let round_trip = server.round_trip();
    let took = context.now.since(record.sent_at);
    let slow_factor = match record.pair {
        None => SLOW_FACTOR,
        Some(_) => SLOW_FACTOR * WITH_COMPANION,
    };
    let limit = usual_work(context, record.route);
    let limit = limit.map(|work| round_trip + work * slow_factor);
    let is_slow = limit.is_some_and(|limit| took > limit);
    let good = match outcome {
        AttemptOutcome::Answered => !is_slow,
        AttemptOutcome::ServerFailure
        | AttemptOutcome::Invalid(_)
        | AttemptOutcome::Broken
        | AttemptOutcome::Overlong
        | AttemptOutcome::NotRun => false,
        AttemptOutcome::Open if is_slow => false,
        AttemptOutcome::Open | AttemptOutcome::WrongInstance | AttemptOutcome::Waiting => return,
    };
    let route = context.routes.name_of(record.route);
    let Some(request) = record.pair else {
        context.trials.record_outcome(service, route, arm, good);
        return;
    };
    // A request and its companion wait for each other, and for the same pause of a server: slowness counts
    // once, for the request.
    let fails = !good && outcome != AttemptOutcome::Answered;
    if good || fails || record.cause == AttemptCause::First {
        context.trials.record_outcome(service, route, arm, good);
    }
    context.trials.record_pair(service, route, request, !fails);
}

/// Usual work of a route at the version that serves, once there is an observation.
fn usual_work(context: &mut Context<'_>, route: RouteKey) -> Option<Duration> {
    let work = &context.routes.statistics(route).work;
    work.quantile(USUAL_QUANTILE).or_else(|| work.mean())
}
