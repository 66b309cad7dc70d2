//! The choice of a server: the least cost, in time that its answer is expected to take.

use super::server::{Availability, Distance, Server};
use super::{ServerKey, Servers};
use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Share by which costs are blurred, so that nodes do not all choose alike.
const BLUR: f64 = 0.1;
/// Cost of a last choice.
const VANISHED_COST: Duration = Duration::from_millis(250);
/// Time that a server takes to accept a connection, beside the round trip.
const ACCEPT_COST: Duration = Duration::from_millis(5);

/// A chosen server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::gateway) struct Choice {
    pub(in crate::gateway) server: ServerKey,
    /// Time that its answer is expected to take, with everything that speaks against it.
    pub(in crate::gateway) cost: Duration,
    /// Whether it does not answer attempts that it should have answered.
    pub(in crate::gateway) silent: bool,
}

impl Servers {
    /// Chooses a server of the service that is not excluded, for work that usually takes `work`.
    /// One that this node does not keep a connection to is a last resort.
    pub(in crate::gateway) fn choose(
        &self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        service: ServiceKey,
        work: Duration,
        excluded: &[ServerKey],
    ) -> Option<Choice> {
        let assigned = self.choose_among(now, random, service, work, excluded, true);
        assigned.or_else(|| self.choose_among(now, random, service, work, excluded, false))
    }

    fn choose_among(
        &self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        service: ServiceKey,
        work: Duration,
        excluded: &[ServerKey],
        assigned: bool,
    ) -> Option<Choice> {
        let keys = &self.services[service.0 as usize].servers;
        let mut best: Option<Choice> = None;
        for key in keys {
            if excluded.contains(key) {
                continue;
            }
            let Some(server) = self.servers.get(key) else {
                continue;
            };
            let eligible = server.assigned == assigned && server.takes_requests();
            if !eligible || !self.is_reachable(now, server) {
                continue;
            }
            let silent = server.is_silent(&self.parameters, now);
            let blur = 1.0 + random.random_range(0.0..BLUR);
            let cost = self.cost(now, server, work, silent).mul_f64(blur);
            if best.is_none_or(|best| cost < best.cost) {
                let server = *key;
                best = Some(Choice {
                    server,
                    cost,
                    silent,
                });
            }
        }
        best
    }

    /// Has a connection, or may open one now.
    fn is_reachable(&self, now: Timestamp, server: &Server) -> bool {
        server.open + server.opening > 0 || server.connect_after <= now
    }

    fn cost(&self, now: Timestamp, server: &Server, work: Duration, silent: bool) -> Duration {
        let parameters = &self.parameters;
        let speed = server.speed(parameters, now);
        let limit = self.services[server.service.0 as usize].own_connections;
        // A node with fewer connections than the server has slots waits for these.
        let lanes = server.slots.min(limit.max(1));
        let queue = server.queue(now, lanes) / f64::from(lanes);
        let mut cost = server.round_trip() + work.mul_f64(speed * (1.0 + queue));
        cost += match server.distance {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => parameters.other_zone_cost,
            Distance::OtherRegion => parameters.other_region_cost,
        };
        cost += server.failure_cost(parameters, now);
        cost += server.rejections.cost(parameters, now);
        if silent {
            cost += parameters.silence_cost;
        }
        if server.resting.is_empty() && server.open + server.opening < limit.max(1) {
            cost += server.round_trip() + ACCEPT_COST;
        }
        if matches!(server.availability, Availability::Vanished { .. }) {
            cost += VANISHED_COST;
        }
        cost
    }
}
