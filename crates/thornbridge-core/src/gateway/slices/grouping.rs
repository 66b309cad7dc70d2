//! Grouping of a gather's shards by the zones of their servers.
//!
//! An owner in a zone with a server of each of its shards gets all parts within its zone, and only
//! the merged slice crosses zones. Shards with servers in the same zones are therefore grouped
//! together. A zone without a server counts for some time, so that a crash does not move shards to
//! other owners, which have no connections to their servers.

#[cfg(test)]
mod tests;

use crate::gateway::budget::ServiceKey;
use crate::gateway::servers::Servers;
use crate::routing::subset::identity_hash;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_proto::ZoneName;

/// Time for which a zone counts after the last server of a shard left it.
const ZONE_MEMORY: Duration = Duration::from_secs(30);
/// Time without a change of the zones after which they count as settled.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// The same while a shard has had no server yet: it may never have one.
const INCOMPLETE_SETTLING_TIME: Duration = Duration::from_secs(30);

/// Shards that have servers in the same zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ZonedGroup {
    /// Indices into the gather's shards.
    pub(super) shards: Vec<usize>,
    /// Zones with a server of each shard; empty if there is none.
    pub(super) zones: BTreeSet<ZoneName>,
    /// Hash by which owners are assigned. Does not depend on the shards.
    pub(super) hash: u64,
}

/// Groups shards, given the zones of each, into groups of about `size` shards.
///
/// Zones shared by fewer shards than half a group do not get a group of their own.
pub(super) fn group_by_zones(shard_zones: &[BTreeSet<ZoneName>], size: usize) -> Vec<ZonedGroup> {
    let mut classes: BTreeMap<&BTreeSet<ZoneName>, Vec<usize>> = BTreeMap::new();
    for (shard, zones) in shard_zones.iter().enumerate() {
        classes.entry(zones).or_default().push(shard);
    }
    let mut groups = Vec::new();
    let mut rest = Vec::new();
    for (zones, shards) in classes {
        match zones.is_empty() || shards.len() * 2 < size {
            true => rest.extend(shards),
            false => groups.extend(split(zones, &shards, size)),
        }
    }
    rest.sort_unstable();
    if !rest.is_empty() {
        groups.extend(split(&BTreeSet::new(), &rest, size));
    }
    groups
}

/// Splits shards with the same zones into groups of similar size.
fn split(zones: &BTreeSet<ZoneName>, shards: &[usize], size: usize) -> Vec<ZonedGroup> {
    let count = ((shards.len() as f64 / size as f64).round() as usize).max(1);
    let names: Vec<&str> = zones.iter().map(ZoneName::as_str).collect();
    let group = |number: usize| {
        let range = shards.len() * number / count..shards.len() * (number + 1) / count;
        ZonedGroup {
            shards: shards[range].to_vec(),
            zones: zones.clone(),
            hash: identity_hash(&format!("{} {number}", names.join(" "))),
        }
    };
    (0..count).map(group).collect()
}

/// Zones of one shard: when the last server left each; `None` while there is one.
type RecentZones = BTreeMap<ZoneName, Option<Timestamp>>;

/// Zones in which shards have, or had until recently, servers.
///
/// While servers of a new deployment register, zones change with each of them. Until they have been the
/// same for some time, nobody owns a shard, so that connections are not opened for groups of passing
/// zones. A node that joins later finds the servers registered.
#[derive(Debug, Default)]
pub(super) struct ShardZones {
    zones: BTreeMap<ServiceKey, RecentZones>,
    changed_at: Timestamp,
    settled: bool,
}

impl ShardZones {
    /// Updates the zones of these shards, and forgets other shards.
    pub(super) fn update(
        &mut self,
        now: Timestamp,
        shards: &BTreeSet<ServiceKey>,
        servers: &Servers,
    ) {
        let is_first = self.zones.is_empty();
        let shards_before = self.zones.len();
        self.zones.retain(|shard, _| shards.contains(shard));
        let mut has_changed = self.zones.len() < shards_before;
        for shard in shards {
            let staying = servers
                .of_service(*shard)
                .filter(|server| !server.is_leaving());
            let present: BTreeSet<&ZoneName> = staying.map(|server| &server.zone).collect();
            has_changed |= !self.zones.contains_key(shard);
            let zones = self.zones.entry(*shard).or_default();
            has_changed |= update_zones(now, zones, &present);
        }
        if has_changed {
            self.changed_at = now;
        }
        self.settle(now, is_first);
    }

    fn settle(&mut self, now: Timestamp, is_first: bool) {
        if self.settled || self.zones.is_empty() {
            return;
        }
        let all_known = self.zones.values().all(|zones| !zones.is_empty());
        let any_known = self.zones.values().any(|zones| !zones.is_empty());
        let unchanged = now.since(self.changed_at);
        self.settled = match (is_first, all_known) {
            (true, all_known) => all_known,
            (false, true) => unchanged >= SETTLING_TIME,
            (false, false) => any_known && unchanged >= INCOMPLETE_SETTLING_TIME,
        };
    }

    /// Whether the zones have been the same for some time since the start.
    pub(super) fn are_settled(&self) -> bool {
        self.settled || self.zones.is_empty()
    }

    /// Zones of a shard among `of`.
    pub(super) fn zones(&self, shard: ServiceKey, of: &BTreeSet<&ZoneName>) -> BTreeSet<ZoneName> {
        let zones = self.zones.get(&shard).into_iter().flat_map(BTreeMap::keys);
        zones.filter(|zone| of.contains(zone)).cloned().collect()
    }
}

/// Brings a shard's zones up to date; whether any has changed.
fn update_zones(now: Timestamp, zones: &mut RecentZones, present: &BTreeSet<&ZoneName>) -> bool {
    let mut has_changed = false;
    for (zone, left_at) in zones.iter_mut() {
        if !present.contains(zone) && left_at.is_none() {
            *left_at = Some(now);
            has_changed = true;
        }
    }
    for zone in present {
        if zones.get(*zone) != Some(&None) {
            zones.insert((*zone).clone(), None);
            has_changed = true;
        }
    }
    let zones_before = zones.len();
    zones.retain(|_, left_at| left_at.is_none_or(|at| now.since(at) < ZONE_MEMORY));
    has_changed || zones.len() < zones_before
}
