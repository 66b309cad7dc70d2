//! How gathers over many shards are divided among nodes.
//!
//! A gather over many shards is too much work for one small node: its parts wait for the processor,
//! and a node that serves few gathers has neither open connections nor fresh knowledge of the
//! servers. Shards are therefore grouped, and each group has a few members that own it. The node
//! that has the caller, the coordinator, asks one owner of each group; owners see every caller's
//! traffic for their shards, so that connections stay in use and slow servers are known.
//!
//! Guards against a gather that is divided where it is cheaper whole, and against owners that do
//! not answer: those are avoided for a while.

mod assignment;
mod plan;

#[cfg(test)]
pub(super) use assignment::owners_of_groups;
pub(super) use assignment::rank;
pub(super) use plan::{Group, Ownership, Plan};

use super::exchange::AnswerDelay;
use super::parameters::SliceParameters;
use super::routes::RouteKey;
use super::servers::{Placement, Sharer};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::peer::slice::SliceId;

/// Failures beyond which an owner is avoided: one, for a half-life.
const AVOIDED_FAILURES: f64 = 0.5;
/// Longest time for which gathers are not divided after most owners were silent, in times that one
/// owner is avoided. A guess: a node that is cut off tries with one gather in eight seconds.
const LONGEST_WHOLE: u32 = 4;
/// Parts that wait at an owner, decayed, from which another one is asked: one that was reported within the
/// last 160 ms. With 2, a fifth more searches failed in an overload (566 for 464 on four seeds).
const WAITING_TO_LEAVE: f64 = 0.8;
/// Half-life of what an owner reported to wait there. A guess: some times as long as a part waits.
const WAITING_HALF_LIFE: Duration = Duration::from_millis(500);
/// Owners that failed lately and are remembered at most.
const REMEMBERED_FAILURES: usize = 1_024;

/// Time after which a link to an owner may have been closed for want of use: half of the time that
/// peers keep one.
const LINK_REST: Duration = Duration::from_secs(30);
/// Links that are opened ahead of use in one look at servers; each costs a small node some
/// milliseconds. A guess.
const LINKS_AT_ONCE: usize = 3;

/// Plans of gathers, and what is known of the owners.
#[derive(Debug)]
pub(super) struct Slices {
    parameters: SliceParameters,
    placement: Placement,
    own: SocketAddr,
    members: Vec<Sharer>,
    plans: BTreeMap<RouteKey, Arc<Plan>>,
    /// Failures of owners, decaying, at a time.
    failures: BTreeMap<SocketAddr, (f64, Timestamp)>,
    /// Parts of a slice that waited at an owner when it last reported, decaying, at a time.
    waiting: BTreeMap<SocketAddr, (f64, Timestamp)>,
    /// Time that slices take beyond what their owners say.
    overhead: AnswerDelay,
    /// When something was last sent to an owner.
    spoken_to: BTreeMap<SocketAddr, Timestamp>,
    /// When a member was last heard.
    heard: BTreeMap<SocketAddr, Timestamp>,
    next_slice: u64,
    /// Until then gathers are not divided, since most owners did not answer.
    whole_until: Timestamp,
    /// How long gathers were not divided last; zero once most owners answered.
    whole_for: Duration,
}

impl Slices {
    pub(super) fn new(
        parameters: SliceParameters,
        placement: Placement,
        own: SocketAddr,
        first_slice: u64,
    ) -> Self {
        Self {
            parameters,
            placement,
            own,
            members: Vec::new(),
            plans: BTreeMap::new(),
            failures: BTreeMap::new(),
            waiting: BTreeMap::new(),
            overhead: AnswerDelay::default(),
            spoken_to: BTreeMap::new(),
            heard: BTreeMap::new(),
            next_slice: first_slice,
            whole_until: Timestamp::ZERO,
            whole_for: Duration::ZERO,
        }
    }

    /// Takes new tunable values.
    pub(super) fn set_parameters(&mut self, parameters: SliceParameters) {
        self.parameters = parameters;
    }

    /// Members that take work, this node included.
    pub(super) fn set_members(&mut self, members: Vec<Sharer>) {
        let known: BTreeSet<SocketAddr> = members.iter().map(|member| member.address).collect();
        self.heard.retain(|address, _| known.contains(address));
        self.waiting.retain(|address, _| known.contains(address));
        self.members = members;
    }

    /// How a route's gathers are divided now, where they are.
    pub(super) fn plan(&self, now: Timestamp, route: RouteKey) -> Option<Arc<Plan>> {
        let whole = now < self.whole_until;
        self.plans.get(&route).filter(|_| !whole).cloned()
    }

    /// Most owners are silent: gathers are whole for a while, and for longer each time that most are
    /// still silent after it.
    /// Gives how long, where that begins.
    pub(super) fn owners_missing(&mut self, now: Timestamp) -> Option<Duration> {
        if now < self.whole_until {
            return None;
        }
        let first = self.parameters.failure_half_life;
        self.whole_for = (self.whole_for * 2).clamp(first, first * LONGEST_WHOLE);
        self.whole_until = now + self.whole_for;
        Some(self.whole_for)
    }

    /// Most owners of a gather answered.
    pub(super) fn owners_answer(&mut self) {
        self.whole_for = Duration::ZERO;
    }

    /// A member sent something.
    pub(super) fn heard_from(&mut self, now: Timestamp, member: SocketAddr) {
        self.heard.insert(member, now);
    }

    /// Something was sent to an owner.
    pub(super) fn spoke_to(&mut self, now: Timestamp, owner: SocketAddr) {
        self.spoken_to.insert(owner, now);
    }

    /// The link to an owner broke.
    pub(super) fn link_lost(&mut self, owner: SocketAddr) {
        self.spoken_to.remove(&owner);
    }

    /// Owners that this node would ask first and to which it may have no link: a gather that has to
    /// open a dozen comes too late.
    pub(super) fn links_to_open(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.spoken_to.retain(|_, at| now.since(*at) < LINK_REST);
        let groups = self.plans.values().flat_map(|plan| &plan.groups);
        let first = groups.filter_map(|group| self.choose_owner(now, group, &[]));
        let without: BTreeSet<SocketAddr> = first
            .filter(|owner| *owner != self.own && !self.spoken_to.contains_key(owner))
            .collect();
        without.into_iter().take(LINKS_AT_ONCE).collect()
    }

    /// Time that a node like this one needs for so many parts.
    pub(super) fn time_for(&self, parts: usize) -> Duration {
        self.parameters.part_cost.mul_f64(parts as f64)
    }

    /// A new identity.
    pub(super) fn next_id(&mut self) -> SliceId {
        self.next_slice = self.next_slice.wrapping_add(1);
        SliceId(self.next_slice)
    }

    /// The owner of a group to ask, but for those that were asked already: of those that did not fail
    /// lately the first in order, or in another's place the one that was heard last; else the one that
    /// failed least.
    pub(super) fn choose_owner(
        &self,
        now: Timestamp,
        group: &Group,
        asked: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let others = group.owners.iter().copied();
        let others: Vec<SocketAddr> = others.filter(|owner| !asked.contains(owner)).collect();
        let trusted = others
            .iter()
            .filter(|owner| self.failures_of(now, **owner) < AVOIDED_FAILURES);
        let trusted = match asked.is_empty() {
            true => self.least_waiting(now, trusted),
            // Where one owner is silent others may be, too.
            false => trusted.max_by_key(|owner| self.heard.get(*owner)),
        };
        let least = || {
            let by_failures = |left: &&SocketAddr, right: &&SocketAddr| {
                self.failures_of(now, **left)
                    .total_cmp(&self.failures_of(now, **right))
            };
            others.iter().min_by(by_failures)
        };
        trusted.or_else(least).copied()
    }

    /// The first of these owners, unless too much waits there: then the one at which least does. Zones
    /// have as many owners, and not as many callers.
    fn least_waiting<'a>(
        &self,
        now: Timestamp,
        owners: impl Iterator<Item = &'a SocketAddr>,
    ) -> Option<&'a SocketAddr> {
        let mut owners = owners.map(|owner| (self.waiting_at(now, owner), owner));
        let (waiting, first) = owners.next()?;
        if waiting < WAITING_TO_LEAVE {
            return Some(first);
        }
        let least = owners.min_by(|(left, _), (right, _)| left.total_cmp(right));
        let least = least.filter(|(other, _)| *other < waiting);
        Some(least.map_or(first, |(_, owner)| owner))
    }

    /// An owner reported that so many parts wait for a connection there.
    pub(super) fn owner_waits(&mut self, now: Timestamp, owner: SocketAddr, parts: f64) {
        match parts > 0.0 {
            true => self.waiting.insert(owner, (parts, now)),
            false => self.waiting.remove(&owner),
        };
    }

    fn waiting_at(&self, now: Timestamp, owner: &SocketAddr) -> f64 {
        let Some((parts, at)) = self.waiting.get(owner) else {
            return 0.0;
        };
        let half_lives = now.since(*at).as_secs_f64() / WAITING_HALF_LIFE.as_secs_f64();
        parts * 0.5_f64.powf(half_lives)
    }

    /// An owner did not answer.
    pub(super) fn owner_failed(&mut self, now: Timestamp, owner: SocketAddr) {
        let failures = self.failures_of(now, owner) + 1.0;
        if self.failures.len() >= REMEMBERED_FAILURES && !self.failures.contains_key(&owner) {
            self.failures.pop_first();
        }
        self.failures.insert(owner, (failures, now));
    }

    /// An owner answered.
    pub(super) fn owner_answered(&mut self, owner: SocketAddr, overhead: Duration) {
        self.failures.remove(&owner);
        self.overhead.observe(overhead);
    }

    /// Time to keep for the way to an owner and back, and for both nodes' queues.
    pub(super) fn overhead(&self, objective: Duration) -> Duration {
        let most = objective.mul_f64(self.parameters.overhead_share_maximum);
        match self.overhead.is_observed() {
            true => self.overhead.reserve().min(most),
            false => objective.mul_f64(self.parameters.overhead_share_initial),
        }
    }

    fn failures_of(&self, now: Timestamp, owner: SocketAddr) -> f64 {
        let Some((failures, at)) = self.failures.get(&owner) else {
            return 0.0;
        };
        let half_lives =
            now.since(*at).as_secs_f64() / self.parameters.failure_half_life.as_secs_f64();
        failures * 0.5_f64.powf(half_lives)
    }
}
