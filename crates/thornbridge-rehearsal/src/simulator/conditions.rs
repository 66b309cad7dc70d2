//! How servers behave at a time: which of them a fault hits, and how long work takes there.

use crate::fault::{Fault, FaultSchedule, FaultWindow};
use crate::scenario::{Deployment, ServerPlace, hash_parts, unit};
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_proto::ShardId;

const WORK_PURPOSE: u64 = 41;
const STRAGGLE_PURPOSE: u64 = 42;
const REPLICA_PURPOSE: u64 = 43;
const SHED_PURPOSE: u64 = 44;
/// Faults hit one shard in so many where a service has as many.
const SHARD_STRIDE: u32 = 4;
/// Faults hit one replica in so many where a service has one shard.
const REPLICA_STRIDE: u32 = 8;
/// Share of a straggler's sub-requests that are slow, and how much slower they are.
const STRAGGLER_SHARE: f64 = 0.1;
const STRAGGLER_FACTOR: f64 = 10.0;
/// A cold server is this many times slower, falling to once over [`COLD_PERIOD`].
const COLD_FACTOR: f64 = 4.0;
/// Time that a cold server takes to warm.
pub const COLD_PERIOD: Duration = Duration::from_secs(5);
/// Share of sub-requests that a shedding server refuses.
const SHED_SHARE: f64 = 0.5;

/// One sub-request as a draw: the same for every policy, and for the lower bound.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    /// Server, by position.
    pub server: usize,
    /// Number of the caller's request.
    pub request: u64,
    /// Shard asked.
    pub shard: ShardId,
}

/// The deployment under a schedule of faults, with the seed of all draws.
#[derive(Clone, Copy, Debug)]
pub struct Conditions<'a> {
    /// Servers and services.
    pub deployment: &'a Deployment,
    /// Faults.
    pub schedule: &'a FaultSchedule,
    /// Seed.
    pub seed: u64,
}

impl Conditions<'_> {
    /// Time that a server takes for a sub-request that starts now.
    pub fn service_time(
        &self,
        draw: Draw,
        now: Timestamp,
        cold_since: Option<Timestamp>,
    ) -> Duration {
        let place = &self.deployment.servers[draw.server];
        let shard = u64::from(draw.shard.0);
        let work = hash_parts(self.seed, &[WORK_PURPOSE, draw.request, shard]);
        let hash = hash_parts(work, &[draw.server as u64]);
        let service = &self.deployment.services[place.service].scenario;
        let mut time = service.service_time.draw(work, hash);
        let slow = unit(hash_parts(STRAGGLE_PURPOSE, &[hash])) < STRAGGLER_SHARE;
        if slow && self.is_hit(Fault::Straggler, draw.server, now) {
            time = time.mul_f64(STRAGGLER_FACTOR);
        }
        time.mul_f64(cold_factor(now, cold_since))
    }

    /// Whether a server refuses a sub-request because of [`Fault::Shed`].
    pub fn sheds(&self, draw: Draw, now: Timestamp) -> bool {
        let parts = [SHED_PURPOSE, draw.request, draw.server as u64];
        self.is_hit(Fault::Shed, draw.server, now)
            && unit(hash_parts(self.seed, &parts)) < SHED_SHARE
    }

    /// Whether a fault that hits some servers is on and hits this one.
    pub fn is_hit(&self, fault: Fault, server: usize, now: Timestamp) -> bool {
        self.schedule
            .active(fault, now)
            .any(|window| self.hits(window, server))
    }

    /// Whether a window of a fault hits a server.
    pub fn hits(&self, window: &FaultWindow, server: usize) -> bool {
        let place = &self.deployment.servers[server];
        let service = &self.deployment.services[place.service].scenario;
        let class = class_of(window.fault);
        if service.shards >= SHARD_STRIDE {
            let shard_hit = (place.first_shard.0 + window.offset) % SHARD_STRIDE == class;
            shard_hit && place.replica == chosen_replica(window, place, service.replicas)
        } else {
            let stride = REPLICA_STRIDE.min(service.replicas);
            (place.replica + window.offset) % stride == (2 * class) % stride
        }
    }
}

fn chosen_replica(window: &FaultWindow, place: &ServerPlace, replicas: u32) -> u32 {
    let parts = [
        REPLICA_PURPOSE,
        place.service as u64,
        u64::from(place.first_shard.0),
    ];
    (hash_parts(window.seed, &parts) % u64::from(replicas)) as u32
}

/// Faults of different classes hit different shards.
fn class_of(fault: Fault) -> u32 {
    match fault {
        Fault::ReplicaLoss | Fault::LoadReportLie => 2,
        Fault::ColdStart => 1,
        Fault::Shed => 3,
        _ => 0,
    }
}

fn cold_factor(now: Timestamp, cold_since: Option<Timestamp>) -> f64 {
    let Some(since) = cold_since else {
        return 1.0;
    };
    let warm = now.since(since).as_secs_f64() / COLD_PERIOD.as_secs_f64();
    1.0 + (COLD_FACTOR - 1.0) * (1.0 - warm).max(0.0)
}
