//! What an all-knowing router would reach on the same draws.
//!
//! For each request it knows the service time of each replica, sends to the best replica of each
//! shard at once, and meets no queue. The slowest of these best replies, with the way there and
//! back, bounds the latency of any policy that answers with whole coverage from below.

use super::Simulator;
use super::conditions::Draw;
use super::network::Place;
use crate::oracle::AskedKind;
use crate::scenario::hash_parts;
use std::time::Duration;
use thornbridge_proto::ShardId;

const SHARD_PURPOSE: u64 = 71;

impl Simulator {
    pub(super) fn note_lower_bound(&mut self, service: usize, request: u64) {
        let node = self.callers.first_node(request, self.hosts.len());
        let from = self.place_of_node(node);
        let newest = self.operators.newest_served(service);
        let catalogue = &self.setup.deployment.services[service].catalogue;
        let holders = catalogue.holders_of(newest);
        let slowest = match self.callers.requests[request as usize].kind {
            AskedKind::Query => (0..holders.len())
                .filter_map(|shard| self.best(from, request, shard, &holders[shard]))
                .max(),
            AskedKind::Action => {
                let draw = hash_parts(SHARD_PURPOSE, &[request]);
                let shard = (draw % holders.len() as u64) as usize;
                self.best(from, request, shard, &holders[shard])
            }
        };
        if let Some(slowest) = slowest {
            let ways = self.network.base_delay(Place::Callers, from) * 2;
            let bound = (slowest + ways).as_micros() as u32;
            self.measurements[service].lower_bounds_us.push(bound);
        }
    }

    /// Time to the reply of the best replica that is up.
    fn best(&self, from: Place, request: u64, shard: usize, holders: &[usize]) -> Option<Duration> {
        let conditions = self.conditions();
        let shard = ShardId(shard as u32);
        holders
            .iter()
            .copied()
            .filter(|server| self.back_ends[*server].up)
            .map(|server| {
                let way = self.network.base_delay(from, self.place_of_server(server));
                let draw = Draw {
                    server,
                    request,
                    shard,
                };
                let cold = self.back_ends[server].cold_since;
                way * 2 + conditions.service_time(draw, self.now, cold)
            })
            .min()
    }
}
