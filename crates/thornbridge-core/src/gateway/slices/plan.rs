//! The division of one gather: its groups of shards, and who owns them.

use super::Slices;
use super::assignment::{owners_of_groups, rank};
use crate::gateway::budget::ServiceKey;
use crate::gateway::routes::{ResolvedGather, ResolvedTarget, RouteKey, RouteTable};
use crate::gateway::servers::{Servers, Sharer};
use crate::routing::subset::server_hash;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::ZoneName;

/// Groups below which a gather is not divided.
const LEAST_GROUPS: usize = 3;

/// Shards that are answered by one node, and the members that own them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Group {
    /// Places in the gather's list of shards.
    pub(in crate::gateway) shards: Range<usize>,
    /// Owners beside this node, in the order in which it asks them.
    pub(in crate::gateway) owners: Vec<SocketAddr>,
}

/// The division of a gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Plan {
    pub(in crate::gateway) groups: Vec<Group>,
}

/// Who keeps connections to the servers of a service that belongs to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Ownership {
    /// Whether this node is one of them.
    pub(in crate::gateway) own: bool,
    /// How many there are.
    pub(in crate::gateway) owners: u32,
}

impl Plan {
    /// Whether it divides a gather of this many shards.
    pub(in crate::gateway) fn covers(&self, shards: usize) -> bool {
        self.groups
            .last()
            .is_some_and(|group| group.shards.end == shards)
    }
}

impl Slices {
    /// Divides the gathers of the routes in force anew; gives who owns which service.
    pub(in crate::gateway) fn divide(
        &mut self,
        routes: &RouteTable,
        servers: &Servers,
    ) -> BTreeMap<ServiceKey, Ownership> {
        let mut owned = BTreeMap::new();
        self.plans = self.plans_of(routes, servers, &mut owned);
        owned
    }

    /// The same for routes that are not in force yet, whose gathers are not divided yet.
    pub(in crate::gateway) fn divide_ahead(
        &self,
        routes: &RouteTable,
        servers: &Servers,
    ) -> BTreeMap<ServiceKey, Ownership> {
        let mut owned = BTreeMap::new();
        self.plans_of(routes, servers, &mut owned);
        owned
    }

    fn plans_of(
        &self,
        routes: &RouteTable,
        servers: &Servers,
        owned: &mut BTreeMap<ServiceKey, Ownership>,
    ) -> BTreeMap<RouteKey, Arc<Plan>> {
        let mut plans = BTreeMap::new();
        for route in routes.all() {
            let ResolvedTarget::Gather(gather) = &route.target else {
                continue;
            };
            let objective = route.route.latency_objective;
            let Some(groups) = self.groups(gather, objective, servers) else {
                continue;
            };
            self.note_owners(gather, &groups, owned);
            let groups = groups.into_iter().map(|group| self.without_own(group));
            let groups: Vec<Group> = groups.collect();
            if groups.iter().all(|group| !group.owners.is_empty()) {
                plans.insert(route.key, Arc::new(Plan { groups }));
            }
        }
        plans
    }

    /// The groups of a gather, with all their owners; `None` where it is not to be divided.
    fn groups(
        &self,
        gather: &ResolvedGather,
        objective: Duration,
        servers: &Servers,
    ) -> Option<Vec<Group>> {
        let candidates = self.candidates(gather, servers);
        let parts = gather.shards.len();
        let count = ((parts as f64).sqrt().round() as usize).min(candidates.len());
        if count < LEAST_GROUPS || !self.is_cheaper_divided(parts, count, objective) {
            return None;
        }
        let size = parts.div_ceil(count);
        let starts = (0..parts).step_by(size);
        let ranges: Vec<Range<usize>> = starts
            .map(|start| start..(start + size).min(parts))
            .collect();
        let hashes: Vec<u64> = ranges
            .iter()
            .map(|range| hash_of(servers, &gather.shards[range.clone()]))
            .collect();
        let addresses: Vec<SocketAddr> = candidates.iter().map(|member| member.address).collect();
        let owners = owners_of_groups(&addresses, &hashes);
        let groups = ranges
            .into_iter()
            .zip(owners)
            .map(|(shards, owners)| Group {
                shards,
                owners: self.in_order(owners.iter().map(|position| candidates[*position])),
            });
        Some(groups.collect())
    }

    /// Whether dividing saves time, and enough of it to be worth its messages.
    fn is_cheaper_divided(&self, parts: usize, groups: usize, objective: Duration) -> bool {
        let cost = self.parameters.part_cost;
        let whole = cost.mul_f64(parts as f64);
        let messages = 2 * groups + parts.div_ceil(groups);
        let divided = cost.mul_f64(messages as f64) + self.parameters.hop;
        divided < whole && whole > objective.mul_f64(self.parameters.whole_share_maximum)
    }

    /// Members near servers of the gather, in this node's region: answers of whole slices cross
    /// zones instead of those of all parts.
    fn candidates(&self, gather: &ResolvedGather, servers: &Servers) -> Vec<&Sharer> {
        let zones: BTreeSet<&ZoneName> = gather
            .shards
            .iter()
            .flat_map(|shard| servers.of_service(*shard))
            .map(|server| &server.zone)
            .collect();
        let regions = &self.placement.regions;
        let region = Some(&self.placement.region);
        let in_region = |member: &&Sharer| regions.get(&member.zone) == region;
        let near = |member: &&Sharer| zones.contains(&member.zone);
        let regional: Vec<&Sharer> = self.members.iter().filter(in_region).collect();
        let found: Vec<&Sharer> = regional.iter().copied().filter(near).collect();
        if found.is_empty() { regional } else { found }
    }

    /// Owners as this node asks them: those of its zone first, the rest in an order of its own, so
    /// that all are asked equally often.
    fn in_order<'a>(&self, owners: impl Iterator<Item = &'a Sharer>) -> Vec<SocketAddr> {
        let own = server_hash(&self.own.to_string());
        let mut owners: Vec<(bool, u64, SocketAddr)> = owners
            .map(|owner| {
                let elsewhere = owner.zone != self.placement.zone;
                (elsewhere, rank(owner.address, own), owner.address)
            })
            .collect();
        owners.sort_unstable();
        owners.into_iter().map(|(_, _, address)| address).collect()
    }

    fn note_owners(
        &self,
        gather: &ResolvedGather,
        groups: &[Group],
        owned: &mut BTreeMap<ServiceKey, Ownership>,
    ) {
        for group in groups {
            let ownership = Ownership {
                own: group.owners.contains(&self.own),
                owners: group.owners.len() as u32,
            };
            for shard in &gather.shards[group.shards.clone()] {
                owned.insert(*shard, ownership);
            }
        }
    }

    /// This node has enough to do with the callers' side of a gather that it divides.
    fn without_own(&self, mut group: Group) -> Group {
        if group.owners.len() > 1 {
            group.owners.retain(|owner| *owner != self.own);
        }
        group
    }
}

fn hash_of(servers: &Servers, shards: &[ServiceKey]) -> u64 {
    let first = shards
        .first()
        .and_then(|shard| servers.service_name(*shard));
    first.map_or(0, |name| server_hash(name.as_str()))
}
