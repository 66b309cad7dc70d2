//! Division plan of a gather: its groups of shards and their owners.

use super::Slices;
use super::assignment::{assign_owners, rank};
use crate::gateway::budget::ServiceKey;
use crate::gateway::routes::{ResolvedGather, ResolvedTarget, RouteKey, RouteTable};
use crate::gateway::servers::{MemberLocation, Servers};
use crate::routing::subset::identity_hash;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::ZoneName;

/// Minimum number of groups for a division.
const MIN_GROUPS: usize = 3;

/// Shards served by one node, and the members that own them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Group {
    /// Indices into the gather's shards.
    pub(in crate::gateway) shards: Range<usize>,
    /// Owners in order of preference; in a plan, this node only if there is no other.
    pub(in crate::gateway) owners: Vec<SocketAddr>,
}

/// Division plan of a gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Plan {
    pub(in crate::gateway) groups: Vec<Group>,
}

/// Members that keep connections to the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Ownership {
    /// Whether this node is an owner.
    pub(in crate::gateway) is_owner: bool,
    /// Number of owners.
    pub(in crate::gateway) owners: u32,
}

impl Plan {
    /// Whether the plan fits a gather of this many shards.
    pub(in crate::gateway) fn covers(&self, shards: usize) -> bool {
        self.groups
            .last()
            .is_some_and(|group| group.shards.end == shards)
    }
}

impl Slices {
    /// Rebuilds the plans of the active routes; returns the ownership of services.
    pub(in crate::gateway) fn divide(
        &mut self,
        routes: &RouteTable,
        servers: &Servers,
    ) -> BTreeMap<ServiceKey, Ownership> {
        let mut owned = BTreeMap::new();
        self.plans = self.build_plans(routes, servers, &mut owned);
        owned
    }

    /// Ownership of services under staged routes.
    pub(in crate::gateway) fn staged_ownership(
        &self,
        routes: &RouteTable,
        servers: &Servers,
    ) -> BTreeMap<ServiceKey, Ownership> {
        let mut owned = BTreeMap::new();
        self.build_plans(routes, servers, &mut owned);
        owned
    }

    fn build_plans(
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
            self.record_owners(gather, &groups, owned);
            let groups = groups.into_iter().map(|group| self.exclude_self(group));
            let groups: Vec<Group> = groups.collect();
            if groups.iter().all(|group| !group.owners.is_empty()) {
                plans.insert(route.key, Arc::new(Plan { groups }));
            }
        }
        plans
    }

    /// Groups of a gather with all their owners; `None` if it is not to be divided.
    fn groups(
        &self,
        gather: &ResolvedGather,
        objective: Duration,
        servers: &Servers,
    ) -> Option<Vec<Group>> {
        let candidates = self.candidates(gather, servers);
        let parts = gather.shards.len();
        let count = ((parts as f64).sqrt().round() as usize).min(candidates.len());
        if count < MIN_GROUPS || !self.is_cheaper_divided(parts, count, objective) {
            return None;
        }
        let size = parts.div_ceil(count);
        let starts = (0..parts).step_by(size);
        let ranges: Vec<Range<usize>> = starts
            .map(|start| start..(start + size).min(parts))
            .collect();
        let hashes: Vec<u64> = ranges
            .iter()
            .map(|range| group_hash(servers, &gather.shards[range.clone()]))
            .collect();
        let addresses: Vec<SocketAddr> = candidates.iter().map(|member| member.address).collect();
        let owners = assign_owners(&addresses, &hashes);
        let groups = ranges
            .into_iter()
            .zip(owners)
            .map(|(shards, owners)| Group {
                shards,
                owners: self.sort_owners(owners.iter().map(|position| candidates[*position])),
            });
        Some(groups.collect())
    }

    /// Whether dividing saves time and the undivided gather is expensive enough.
    fn is_cheaper_divided(&self, parts: usize, groups: usize, objective: Duration) -> bool {
        let cost = self.parameters.part_cost;
        let undivided = cost.mul_f64(parts as f64);
        let messages = 2 * groups + parts.div_ceil(groups);
        let divided = cost.mul_f64(messages as f64) + self.parameters.hop;
        divided < undivided && undivided > objective.mul_f64(self.parameters.whole_share_maximum)
    }

    /// Members in this node's region, near servers of the gather if any: merged slices cross zones
    /// instead of all parts.
    fn candidates(&self, gather: &ResolvedGather, servers: &Servers) -> Vec<&MemberLocation> {
        let zones: BTreeSet<&ZoneName> = gather
            .shards
            .iter()
            .flat_map(|shard| servers.of_service(*shard))
            .map(|server| &server.zone)
            .collect();
        let regions = &self.placement.regions;
        let region = Some(&self.placement.region);
        let in_region = |member: &&MemberLocation| regions.get(&member.zone) == region;
        let nearby = |member: &&MemberLocation| zones.contains(&member.zone);
        let regional: Vec<&MemberLocation> = self.members.iter().filter(in_region).collect();
        let preferred: Vec<&MemberLocation> = regional.iter().copied().filter(nearby).collect();
        if preferred.is_empty() {
            regional
        } else {
            preferred
        }
    }

    /// Owners in order of preference: those in this zone first, the rest in a node-specific order
    /// that spreads load.
    fn sort_owners<'a>(&self, owners: impl Iterator<Item = &'a MemberLocation>) -> Vec<SocketAddr> {
        let own_hash = identity_hash(&self.own_address.to_string());
        let mut owners: Vec<(bool, u64, SocketAddr)> = owners
            .map(|owner| {
                let other_zone = owner.zone != self.placement.zone;
                (other_zone, rank(owner.address, own_hash), owner.address)
            })
            .collect();
        owners.sort_unstable();
        owners.into_iter().map(|(_, _, address)| address).collect()
    }

    fn record_owners(
        &self,
        gather: &ResolvedGather,
        groups: &[Group],
        owned: &mut BTreeMap<ServiceKey, Ownership>,
    ) {
        for group in groups {
            let ownership = Ownership {
                is_owner: group.owners.contains(&self.own_address),
                owners: group.owners.len() as u32,
            };
            for shard in &gather.shards[group.shards.clone()] {
                owned.insert(*shard, ownership);
            }
        }
    }

    /// Excludes this node, which already coordinates, from the owners unless it is the only one.
    fn exclude_self(&self, mut group: Group) -> Group {
        if group.owners.len() > 1 {
            group.owners.retain(|owner| *owner != self.own_address);
        }
        group
    }
}

fn group_hash(servers: &Servers, shards: &[ServiceKey]) -> u64 {
    let first = shards
        .first()
        .and_then(|shard| servers.service_name(*shard));
    first.map_or(0, |name| identity_hash(name.as_str()))
}
