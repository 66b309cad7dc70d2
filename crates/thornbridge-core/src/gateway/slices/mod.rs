//! Division of gathers over many shards among nodes.
//!
//! A gather over many shards is too much work for one small node: its parts queue for the processor,
//! and a node that serves few gathers has neither open connections nor current statistics of the
//! servers. Shards are therefore grouped, and each group is owned by a few members. The coordinator,
//! the node of the caller, delegates each group to one owner. Owners see the traffic of all callers
//! for their shards, which keeps connections in use and statistics current.
//!
//! A gather that is cheaper undivided is not divided, and owners that do not answer are avoided for
//! a while.

mod assignment;
mod grouping;
mod plan;

#[cfg(test)]
pub(super) use assignment::assign_owners;
pub(super) use assignment::rank;
pub(super) use plan::{Group, Ownership, Plan};

use super::exchange::DelayEstimator;
use super::parameters::SliceParameters;
use super::routes::RouteKey;
use super::servers::{MemberLocation, Placement};
use crate::time::Timestamp;
use grouping::ShardZones;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::peer::slice::SliceId;

/// Decayed failures from which an owner is avoided; a single failure counts for one half-life.
const AVOIDED_FAILURE_COUNT: f64 = 0.5;
/// Longest suspension of division, in failure half-lives: a node that is cut off tries one gather in
/// eight seconds.
const MAX_SUSPENSION_FACTOR: u32 = 4;
/// Decayed queue length from which an owner is busy and another one is preferred: one queued part
/// counts for 160 ms after its report.
const BUSY_OWNER_PARTS: f64 = 0.8;
/// Half-life of a reported queue length; some times as long as a part is queued.
const OWNER_QUEUE_HALF_LIFE: Duration = Duration::from_millis(500);
/// Maximum number of owners with recorded failures.
const MAX_TRACKED_FAILURES: usize = 1_024;

/// Idle time after which a link may be closed: half of what peers allow.
const LINK_IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Links opened ahead of use per round; each costs a small node some milliseconds.
const MAX_LINKS_PER_ROUND: usize = 3;

/// Division plans, and statistics of the owners.
#[derive(Debug)]
pub(super) struct Slices {
    parameters: SliceParameters,
    placement: Placement,
    own_address: SocketAddr,
    members: Vec<MemberLocation>,
    plans: BTreeMap<RouteKey, Arc<Plan>>,
    shard_zones: ShardZones,
    /// Decayed failures of owners, as of a time.
    failures: BTreeMap<SocketAddr, (f64, Timestamp)>,
    /// Decayed queue length of owners in parts, as of a time.
    owner_queues: BTreeMap<SocketAddr, (f64, Timestamp)>,
    /// Latency of slices beyond the time that their owners report.
    overhead: DelayEstimator,
    /// When a message was last sent to each owner.
    last_sent: BTreeMap<SocketAddr, Timestamp>,
    /// When a message of each member was last received.
    last_received: BTreeMap<SocketAddr, Timestamp>,
    next_slice_id: u64,
    /// End of the current suspension of division, which begins when most owners do not answer.
    suspended_until: Timestamp,
    /// Length of the last suspension; zero once most owners answer.
    last_suspension: Duration,
}

impl Slices {
    pub(super) fn new(
        parameters: SliceParameters,
        placement: Placement,
        own_address: SocketAddr,
        first_slice: u64,
    ) -> Self {
        Self {
            parameters,
            placement,
            own_address,
            members: Vec::new(),
            plans: BTreeMap::new(),
            shard_zones: ShardZones::default(),
            failures: BTreeMap::new(),
            owner_queues: BTreeMap::new(),
            overhead: DelayEstimator::default(),
            last_sent: BTreeMap::new(),
            last_received: BTreeMap::new(),
            next_slice_id: first_slice,
            suspended_until: Timestamp::ZERO,
            last_suspension: Duration::ZERO,
        }
    }

    /// Replaces the tunable parameters.
    pub(super) fn set_parameters(&mut self, parameters: SliceParameters) {
        self.parameters = parameters;
    }

    /// Replaces the members that accept work, including this node.
    pub(super) fn set_members(&mut self, members: Vec<MemberLocation>) {
        let known: BTreeSet<SocketAddr> = members.iter().map(|member| member.address).collect();
        self.last_received
            .retain(|address, _| known.contains(address));
        self.owner_queues
            .retain(|address, _| known.contains(address));
        self.members = members;
    }

    /// Whether the plans are to be made again although nothing changed.
    pub(super) fn is_settling(&self) -> bool {
        !self.shard_zones.are_settled()
    }

    /// Division plan of a route; `None` if its gathers are not divided now.
    pub(super) fn plan(&self, now: Timestamp, route: RouteKey) -> Option<Arc<Plan>> {
        let suspended = now < self.suspended_until;
        self.plans.get(&route).filter(|_| !suspended).cloned()
    }

    /// Suspends division because most owners are silent, for longer each time in a row. Returns the
    /// length of the suspension, or `None` if one is active.
    pub(super) fn suspend_division(&mut self, now: Timestamp) -> Option<Duration> {
        if now < self.suspended_until {
            return None;
        }
        let initial = self.parameters.failure_half_life;
        self.last_suspension =
            (self.last_suspension * 2).clamp(initial, initial * MAX_SUSPENSION_FACTOR);
        self.suspended_until = now + self.last_suspension;
        Some(self.last_suspension)
    }

    /// Resets the backoff of suspensions after a gather that most owners answered.
    pub(super) fn reset_division_backoff(&mut self) {
        self.last_suspension = Duration::ZERO;
    }

    pub(super) fn message_received(&mut self, now: Timestamp, member: SocketAddr) {
        self.last_received.insert(member, now);
    }

    pub(super) fn message_sent(&mut self, now: Timestamp, owner: SocketAddr) {
        self.last_sent.insert(owner, now);
    }

    /// Forgets the link to an owner.
    pub(super) fn link_lost(&mut self, owner: SocketAddr) {
        self.last_sent.remove(&owner);
    }

    /// Preferred owners without a link. Links are opened ahead of use, because opening many delays
    /// a gather.
    pub(super) fn links_to_open(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.last_sent
            .retain(|_, at| now.since(*at) < LINK_IDLE_LIMIT);
        let groups = self.plans.values().flat_map(|plan| &plan.groups);
        let first = groups.filter_map(|group| self.choose_owner(now, group, &[]));
        let unlinked: BTreeSet<SocketAddr> = first
            .filter(|owner| *owner != self.own_address && !self.last_sent.contains_key(owner))
            .collect();
        unlinked.into_iter().take(MAX_LINKS_PER_ROUND).collect()
    }

    /// Processing time of this many parts on a node like this one.
    pub(super) fn processing_time(&self, parts: usize) -> Duration {
        self.parameters.part_cost.mul_f64(parts as f64)
    }

    pub(super) fn allocate_id(&mut self) -> SliceId {
        self.next_slice_id = self.next_slice_id.wrapping_add(1);
        SliceId(self.next_slice_id)
    }

    /// Next owner to delegate a group to: the preferred owner without recent failures, or for a
    /// slice delegated before the one that sent a message last; otherwise the owner with the
    /// fewest failures.
    pub(super) fn choose_owner(
        &self,
        now: Timestamp,
        group: &Group,
        already_delegated: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let others = group.owners.iter().copied();
        let others: Vec<SocketAddr> = others
            .filter(|owner| !already_delegated.contains(owner))
            .collect();
        let not_avoided = others
            .iter()
            .filter(|owner| self.decayed_failures(now, **owner) < AVOIDED_FAILURE_COUNT);
        let preferred = match already_delegated.is_empty() {
            true => self.least_loaded_owner(now, not_avoided),
            // Silence of one owner makes silence of others likely.
            false => not_avoided.max_by_key(|owner| self.last_received.get(*owner)),
        };
        let least_failed = || {
            let by_failures = |left: &&SocketAddr, right: &&SocketAddr| {
                self.decayed_failures(now, **left)
                    .total_cmp(&self.decayed_failures(now, **right))
            };
            others.iter().min_by(by_failures)
        };
        preferred.or_else(least_failed).copied()
    }

    /// The first owner, or if it is busy the one with the shortest queue. Zones have equally many
    /// owners but not equally many callers.
    fn least_loaded_owner<'a>(
        &self,
        now: Timestamp,
        owners: impl Iterator<Item = &'a SocketAddr>,
    ) -> Option<&'a SocketAddr> {
        let mut owners = owners.map(|owner| (self.queued_parts(now, owner), owner));
        let (queue_length, first) = owners.next()?;
        if queue_length < BUSY_OWNER_PARTS {
            return Some(first);
        }
        let shortest = owners.min_by(|(left, _), (right, _)| left.total_cmp(right));
        let shortest = shortest.filter(|(other, _)| *other < queue_length);
        Some(shortest.map_or(first, |(_, owner)| owner))
    }

    /// Records the number of parts that an owner reported as queued.
    pub(super) fn observe_owner_queue(&mut self, now: Timestamp, owner: SocketAddr, parts: f64) {
        match parts > 0.0 {
            true => self.owner_queues.insert(owner, (parts, now)),
            false => self.owner_queues.remove(&owner),
        };
    }

    fn queued_parts(&self, now: Timestamp, owner: &SocketAddr) -> f64 {
        let Some((parts, at)) = self.owner_queues.get(owner) else {
            return 0.0;
        };
        let half_lives = now.since(*at).as_secs_f64() / OWNER_QUEUE_HALF_LIFE.as_secs_f64();
        parts * 0.5_f64.powf(half_lives)
    }

    /// Records a failure of an owner.
    pub(super) fn owner_failed(&mut self, now: Timestamp, owner: SocketAddr) {
        let failures = self.decayed_failures(now, owner) + 1.0;
        if self.failures.len() >= MAX_TRACKED_FAILURES && !self.failures.contains_key(&owner) {
            self.failures.pop_first();
        }
        self.failures.insert(owner, (failures, now));
    }

    /// Records an answer of an owner.
    pub(super) fn owner_answered(&mut self, owner: SocketAddr, overhead: Duration) {
        self.failures.remove(&owner);
        self.overhead.observe(overhead);
    }

    /// Time to reserve for the round trip to an owner and queueing on both nodes.
    pub(super) fn overhead(&self, objective: Duration) -> Duration {
        let limit = objective.mul_f64(self.parameters.overhead_share_maximum);
        match self.overhead.is_observed() {
            true => self.overhead.reserve().min(limit),
            false => objective.mul_f64(self.parameters.overhead_share_initial),
        }
    }

    fn decayed_failures(&self, now: Timestamp, owner: SocketAddr) -> f64 {
        let Some((failures, at)) = self.failures.get(&owner) else {
            return 0.0;
        };
        let half_lives =
            now.since(*at).as_secs_f64() / self.parameters.failure_half_life.as_secs_f64();
        failures * 0.5_f64.powf(half_lives)
    }
}
