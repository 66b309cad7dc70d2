//! Division plan of a gather: its groups of shards and their owners.

use super::Slices;
use super::assignment::{assign_owners, rank};
use super::grouping::{ZonedGroup, group_by_zones};
use crate::gateway::budget::ServiceKey;
use crate::gateway::routes::{ResolvedGather, ResolvedRoute, ResolvedTarget, RouteKey, RouteTable};
use crate::gateway::servers::{MemberLocation, Servers};
use crate::routing::subset::identity_hash;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::routes::RouteVersion;
use thornbridge_proto::ZoneName;

/// Minimum number of groups for a division.
const MIN_GROUPS: usize = 3;

/// Shards served by one node, and the members that own them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Group {
    /// Indices into the plan's shards.
    pub(in crate::gateway) shards: Range<usize>,
    /// Owners in order of preference; in a plan, this node only if there is no other.
    pub(in crate::gateway) owners: Vec<SocketAddr>,
}

/// Division plan of a gather.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Plan {
    /// Version of the route's configuration.
    pub(in crate::gateway) version: RouteVersion,
    /// Shards of the gather, in the order of the groups.
    pub(in crate::gateway) shards: Vec<ServiceKey>,
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
    /// Whether the plan was made for this route.
    pub(in crate::gateway) fn fits(&self, route: &ResolvedRoute) -> bool {
        match &route.target {
            ResolvedTarget::Gather(gather) => {
                self.version == route.version && self.shards.len() == gather.shards.len()
            }
            ResolvedTarget::Service(_) | ResolvedTarget::Split(_) => false,
        }
    }
}

impl Slices {
    /// Rebuilds the plans of the active routes; returns the ownership of services.
    pub(in crate::gateway) fn divide(
        &mut self,
        now: Timestamp,
        routes: &RouteTable,
        servers: &Servers,
    ) -> BTreeMap<ServiceKey, Ownership> {
        let mut owned = BTreeMap::new();
        self.shard_zones.update(now, &routes.shards(), servers);
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
            let Some((shards, groups)) = self.groups(gather, objective, servers) else {
                continue;
            };
            self.record_owners(&shards, &groups, owned);
            let groups = groups.into_iter().map(|group| self.exclude_self(group));
            let groups: Vec<Group> = groups.collect();
            if groups.iter().all(|group| !group.owners.is_empty()) {
                let plan = Plan {
                    version: route.version,
                    shards,
                    groups,
                };
                plans.insert(route.key, Arc::new(plan));
            }
        }
        plans
    }

    /// Shards of a gather in the order of its groups, and the groups with all their owners; `None` if
    /// it is not to be divided.
    fn groups(
        &self,
        gather: &ResolvedGather,
        objective: Duration,
        servers: &Servers,
    ) -> Option<(Vec<ServiceKey>, Vec<Group>)> {
        let candidates = self.candidates(gather, servers);
        let parts = gather.shards.len();
        let count = ((parts as f64).sqrt().round() as usize).min(candidates.len());
        if count < MIN_GROUPS || !self.is_cheaper_divided(parts, count, objective) {
            return None;
        }
        let zones: BTreeSet<&ZoneName> = candidates.iter().map(|member| &member.zone).collect();
        let zones_of_shards = gather.shards.iter();
        let zones_of_shards: Vec<BTreeSet<ZoneName>> = zones_of_shards
            .map(|shard| self.shard_zones.zones(*shard, &zones))
            .collect();
        let zoned = group_by_zones(&zones_of_shards, parts.div_ceil(count));
        let owners = owners_by_zone(&zoned, &candidates)
            .unwrap_or_else(|| owners_of_any_zone(&zoned, &candidates));
        let order = zoned.iter().flat_map(|group| &group.shards);
        let shards = order.map(|index| gather.shards[*index]).collect();
        let mut start = 0;
        let groups = zoned.iter().zip(owners).map(|(group, owners)| {
            let end = start + group.shards.len();
            let range = start..end;
            start = end;
            Group {
                shards: range,
                owners: self.sort_owners(owners.into_iter()),
            }
        });
        Some((shards, groups.collect()))
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
        shards: &[ServiceKey],
        groups: &[Group],
        owned: &mut BTreeMap<ServiceKey, Ownership>,
    ) {
        for group in groups {
            let ownership = Ownership {
                is_owner: self.shard_zones.are_settled()
                    && group.owners.contains(&self.own_address),
                owners: group.owners.len() as u32,
            };
            for shard in &shards[group.shards.clone()] {
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

/// Owners of each group among the members of its zones; `None` if a group gets none.
///
/// Assigned zone by zone, so that groups have owners in each of their zones.
fn owners_by_zone<'a>(
    groups: &[ZonedGroup],
    candidates: &[&'a MemberLocation],
) -> Option<Vec<Vec<&'a MemberLocation>>> {
    let mut owners = vec![Vec::new(); groups.len()];
    let zones: BTreeSet<&ZoneName> = candidates.iter().map(|member| &member.zone).collect();
    for zone in zones {
        let near = |group: &ZonedGroup| group.zones.is_empty() || group.zones.contains(zone);
        let near: Vec<usize> = (0..groups.len())
            .filter(|index| near(&groups[*index]))
            .collect();
        let members = candidates.iter().filter(|member| member.zone == *zone);
        let members: Vec<&MemberLocation> = members.copied().collect();
        let near_groups: Vec<&ZonedGroup> = near.iter().map(|index| &groups[*index]).collect();
        for (index, added) in near.iter().zip(assign(&near_groups, &members)) {
            owners[*index].extend(added);
        }
    }
    owners
        .iter()
        .all(|owners| !owners.is_empty())
        .then_some(owners)
}

/// Owners of each group among all members.
fn owners_of_any_zone<'a>(
    groups: &[ZonedGroup],
    candidates: &[&'a MemberLocation],
) -> Vec<Vec<&'a MemberLocation>> {
    let groups: Vec<&ZonedGroup> = groups.iter().collect();
    assign(&groups, candidates)
}

fn assign<'a>(
    groups: &[&ZonedGroup],
    members: &[&'a MemberLocation],
) -> Vec<Vec<&'a MemberLocation>> {
    let hashes: Vec<u64> = groups.iter().map(|group| group.hash).collect();
    let addresses: Vec<SocketAddr> = members.iter().map(|member| member.address).collect();
    let owners = assign_owners(&addresses, &hashes).into_iter();
    let located = owners.map(|owners| owners.into_iter().map(|index| members[index]).collect());
    located.collect()
}
