//! Hedging: a second attempt while the first is in flight.
//!
//! A hedge loads another server and costs bandwidth. Therefore it is sent as late as it can still
//! answer in time, and not before first attempts usually finish.

use super::request::Request;
use super::{AttemptTarget, Context, Exchanges};
use crate::gateway::servers::{AcquireOutcome, ServerKey};
use crate::gateway::telemetry::AttemptCause;
use std::time::Duration;

impl Exchanges {
    /// Sends a hedge for a part whose first attempt is slow.
    pub(super) fn hedge(&mut self, context: &mut Context<'_>, request: &mut Request, index: usize) {
        let interval = self.parameters.look_interval * 2;
        let part = &mut request.parts[index];
        part.check_at = None;
        if !self.allows_another_attempt(request, index) {
            request.request_grant();
            return;
        }
        if let Some(hedge_not_before) = request.hedge_not_before()
            && context.now < hedge_not_before
        {
            request.parts[index].check_at = Some(hedge_not_before);
            return;
        }
        let Some(choice) = self.choose(context, request, index) else {
            return;
        };
        let remaining = request.deadline.since(context.now);
        if choice.silent || choice.cost > remaining {
            request.parts[index].check_at = Some(context.now + interval);
            return;
        }
        let service = request.parts[index].service;
        if !context.budget.allows(context.now, service) {
            request.budget_denials += usize::from(!request.parts[index].budget_denied);
            request.parts[index].budget_denied = true;
            request.parts[index].check_at = Some(context.now + interval * 2);
            return;
        }
        // The part is not queued, which would end its in-flight state: without an idle connection,
        // one is opened and the next check uses it.
        match context
            .servers
            .acquire_connection(context.now, context.actions, choice.server)
        {
            AcquireOutcome::Idle(connection) => {
                if !context.budget.try_take(context.now, service) {
                    return;
                }
                let server = choice.server;
                let target = AttemptTarget { server, connection };
                self.send(context, request, index, target, AttemptCause::Hedge);
            }
            AcquireOutcome::Pending => {
                request.parts[index].check_at = Some(context.now + self.parameters.look_interval);
            }
        }
    }

    /// Time after which an attempt at a server counts as slow.
    pub(super) fn hedge_delay(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        server: ServerKey,
    ) -> Duration {
        let parameters = &self.parameters;
        let objective = request.route.route.latency_objective;
        let statistics = context.routes.statistics(request.route.key);
        let Some(work) = statistics.work.quantile(parameters.hedge_quantile) else {
            return objective.mul_f64(parameters.hedge_initial_share);
        };
        let spare = self.spare_time(context, request, server, work);
        let Some(server) = context.servers.get(server) else {
            return work;
        };
        // Clamped, so that a slow server does not delay its hedge.
        let slowdown = server
            .slowdown(&context.servers.parameters, context.now)
            .clamp(0.7, 1.5);
        let expected_latency =
            (server.round_trip() + work.mul_f64(slowdown)).max(parameters.hedge_minimum);
        expected_latency.max(spare)
    }

    /// Time that remains before a hedge would answer too late, less a reserve. Until then the first
    /// attempt may answer at no extra cost.
    fn spare_time(
        &self,
        context: &Context<'_>,
        request: &Request,
        server: ServerKey,
        work: Duration,
    ) -> Duration {
        let Some(round_trip) = context.servers.nearest_other_round_trip(server) else {
            return Duration::ZERO;
        };
        let needed = round_trip + work;
        let reserve = needed.mul_f64(self.parameters.hedge_reserve);
        request
            .soft_deadline
            .since(context.now)
            .saturating_sub(reserve)
    }
}
