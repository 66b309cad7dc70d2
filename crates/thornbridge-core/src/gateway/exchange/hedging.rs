//! Second attempts: when one is made while the first still runs.
//!
//! A second attempt loads another server and costs bytes, so it leaves as late as it still comes in
//! time, and not before a first attempt has usually ended.

use super::request::Request;
use super::{Carrier, Exchanges, Scope};
use crate::gateway::notes::AttemptCause;
use crate::gateway::servers::{OpenOutcome, ServerKey};
use std::time::Duration;

impl Exchanges {
    /// The first attempt is slower than usual: another server may get the part too.
    pub(super) fn hedge(&mut self, scope: &mut Scope<'_>, request: &mut Request, index: usize) {
        let interval = self.parameters.look_interval * 2;
        let leg = &mut request.legs[index];
        leg.look_at = None;
        if !self.may_send_more(request, index) {
            request.request_grant();
            return;
        }
        if let Some(second_after) = request.second_after()
            && scope.now < second_after
        {
            request.legs[index].look_at = Some(second_after);
            return;
        }
        let Some(choice) = self.choose(scope, request, index) else {
            return;
        };
        let left = request.ends.since(scope.now);
        if choice.silent || choice.cost > left {
            request.legs[index].look_at = Some(scope.now + interval);
            return;
        }
        let service = request.legs[index].service;
        if !scope.budget.allows(scope.now, service) {
            request.denied += usize::from(!request.legs[index].denied);
            request.legs[index].denied = true;
            request.legs[index].look_at = Some(scope.now + interval * 2);
            return;
        }
        // Without a resting connection the part would leave its running state; one is opened,
        // and the next look uses it.
        match scope
            .servers
            .connection_for(scope.now, scope.actions, choice.server)
        {
            OpenOutcome::Resting(connection) => {
                if !scope.budget.try_take(scope.now, service) {
                    return;
                }
                let server = choice.server;
                let carrier = Carrier { server, connection };
                self.send(scope, request, index, carrier, AttemptCause::Hedge);
            }
            OpenOutcome::Wait => {
                request.legs[index].look_at = Some(scope.now + self.parameters.look_interval);
            }
        }
    }

    /// Time after which an attempt at a server is slower than usual.
    pub(super) fn hedge_delay(
        &self,
        scope: &mut Scope<'_>,
        request: &Request,
        server: ServerKey,
    ) -> Duration {
        let parameters = &self.parameters;
        let objective = request.route.route.latency_objective;
        let statistics = scope.routes.statistics(request.route.key);
        let Some(work) = statistics.work.quantile(parameters.hedge_quantile) else {
            return objective.mul_f64(parameters.hedge_initial_share);
        };
        let spare = self.spare_time(scope, request, server, work);
        let Some(server) = scope.servers.get(server) else {
            return work;
        };
        // A slow server is no reason to wait longer.
        let speed = server
            .speed(&scope.servers.parameters, scope.now)
            .clamp(0.7, 1.5);
        let usual = (server.round_trip() + work.mul_f64(speed)).max(parameters.hedge_minimum);
        usual.max(spare)
    }

    /// Time after which a second attempt would still come in time, with a reserve: until then the
    /// first may answer, and costs nothing more.
    fn spare_time(
        &self,
        scope: &Scope<'_>,
        request: &Request,
        server: ServerKey,
        work: Duration,
    ) -> Duration {
        let Some(way) = scope.servers.round_trip_beside(server) else {
            return Duration::ZERO;
        };
        let needed = way + work;
        let reserve = needed.mul_f64(self.parameters.hedge_reserve);
        request.answer_by.since(scope.now).saturating_sub(reserve)
    }
}
