//! Server selection: the server with the lowest cost is chosen.
//!
//! A cost is a duration: the expected latency of an answer, plus penalties for distance, failures,
//! rejections and overdue attempts.

use super::server::{Availability, Distance, Server};
use super::{ServerKey, Servers};
use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_proto::{BackEndId, RegionName};

/// Largest relative jitter added to a cost, so that nodes do not all choose the same server.
const COST_JITTER: f64 = 0.1;
/// Penalty for a server whose registry entry vanished.
const VANISHED_SERVER_COST: Duration = Duration::from_millis(250);
/// Time for a server to accept a connection, beyond the round trip.
const ACCEPT_TIME: Duration = Duration::from_millis(5);

/// What a server is selected for.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Selection<'a> {
    pub(in crate::gateway) service: ServiceKey,
    /// Usual processing time of the request.
    pub(in crate::gateway) work: Duration,
    pub(in crate::gateway) excluded: &'a [ServerKey],
    /// Regions outside of which no server is eligible; empty if any is.
    pub(in crate::gateway) homes: &'a [RegionName],
}

/// A selected server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::gateway) struct Choice {
    pub(in crate::gateway) server: ServerKey,
    /// Expected latency of the answer plus all penalties.
    pub(in crate::gateway) cost: Duration,
    /// Whether the server is silent: an attempt at it is overdue.
    pub(in crate::gateway) silent: bool,
}

impl Servers {
    /// Selects the cheapest eligible server.
    ///
    /// Servers outside of this node's subset are used only if no server of the subset is reachable.
    pub(in crate::gateway) fn choose(
        &self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        selection: &Selection<'_>,
    ) -> Option<Choice> {
        let preferred = self.choose_among(now, random, selection, true);
        preferred.or_else(|| self.choose_among(now, random, selection, false))
    }

    fn choose_among(
        &self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        selection: &Selection<'_>,
        in_subset: bool,
    ) -> Option<Choice> {
        let keys = &self.services[selection.service.0 as usize].servers;
        let mut best: Option<Choice> = None;
        for key in keys {
            if selection.excluded.contains(key) {
                continue;
            }
            let Some(server) = self.servers.get(key) else {
                continue;
            };
            let eligible = server.in_subset == in_subset
                && server.takes_requests()
                && server.is_at_home(selection.homes);
            if !eligible || !self.is_reachable(now, server) || self.is_held_back(now, server) {
                continue;
            }
            let silent = server.is_silent(&self.parameters, now);
            let jitter = 1.0 + random.random_range(0.0..COST_JITTER);
            let cost = self
                .cost(now, server, selection.work, silent)
                .mul_f64(jitter);
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

    /// Selects the server of a version on trial that a permit is for, if it is reachable: `instance`,
    /// or the cheapest one if that is `None`.
    pub(in crate::gateway) fn choose_trial(
        &self,
        now: Timestamp,
        service: ServiceKey,
        work: Duration,
        instance: Option<&BackEndId>,
    ) -> Option<ServerKey> {
        let keys = &self.services[service.0 as usize].servers;
        let servers = keys
            .iter()
            .filter_map(|key| Some((*key, self.servers.get(key)?)));
        let named = servers.filter(|(_, server)| instance.is_none_or(|id| *id == server.id));
        let usable =
            named.filter(|(_, server)| server.takes_trials() && self.is_reachable(now, server));
        let cheapest = usable.min_by_key(|(_, server)| {
            let silent = server.is_silent(&self.parameters, now);
            self.cost(now, server, work, silent)
        });
        cheapest.map(|(key, _)| key)
    }

    /// Whether this node has a connection to the server, or may open one now.
    fn is_reachable(&self, now: Timestamp, server: &Server) -> bool {
        server.open + server.opening > 0 || server.reconnect_at <= now
    }

    fn cost(&self, now: Timestamp, server: &Server, work: Duration, silent: bool) -> Duration {
        let parameters = &self.parameters;
        let slowdown = server.slowdown(parameters, now);
        let limit = self.services[server.service.0 as usize].own_connection_limit;
        // The node's connection limit may be lower than the server's slots.
        let concurrency = server.slots.min(limit.max(1));
        let queue = server.queue_length(now, concurrency) / f64::from(concurrency);
        let mut cost = server.round_trip() + work.mul_f64(slowdown * (1.0 + queue));
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
        if server.idle.is_empty() && server.open + server.opening < limit.max(1) {
            cost += server.round_trip() + ACCEPT_TIME;
        }
        if matches!(server.availability, Availability::Vanished { .. }) {
            cost += VANISHED_SERVER_COST;
        }
        cost
    }
}
