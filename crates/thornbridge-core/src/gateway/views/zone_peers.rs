//! Peers grouped by zone, and the choice of poll targets among them.
//!
//! A change crosses zone boundaries once per zone instead of once per node: it is announced to one
//! peer of each other zone and spreads from there within the zone. Digests and polls repair losses.

use crate::gateway::servers::MemberLocation;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thornbridge_proto::ZoneName;

/// Members of a zone served by one relay.
const MEMBERS_PER_RELAY: usize = 32;
/// Leading members of the reader order that relays poll: the reader and its successors.
const POLLED_READERS: usize = 4;

/// The other members, by zone.
#[derive(Debug, Default)]
pub(in crate::gateway) struct ZonePeers {
    /// Peers of this node's zone, sorted by address.
    local: Vec<SocketAddr>,
    /// Peers of the other zones, one list per zone.
    remote_zones: Vec<Vec<SocketAddr>>,
}

impl ZonePeers {
    /// Groups members by zone; `own` is this node.
    pub(in crate::gateway) fn new(
        own: &MemberLocation,
        members: impl Iterator<Item = MemberLocation>,
    ) -> Self {
        let mut zones: BTreeMap<ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for member in members.filter(|member| member.address != own.address) {
            zones.entry(member.zone).or_default().push(member.address);
        }
        let mut local = zones.remove(&own.zone).unwrap_or_default();
        local.sort_unstable();
        Self {
            local,
            remote_zones: zones.into_values().collect(),
        }
    }

    /// Whether there are no peers.
    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.local.is_empty() && self.remote_zones.is_empty()
    }

    /// Whether a peer is in this node's zone.
    pub(in crate::gateway) fn is_local(&self, peer: SocketAddr) -> bool {
        self.local.binary_search(&peer).is_ok()
    }

    /// Whether no peer is nearer: this one is in the node's zone, or that zone has no peers.
    pub(in crate::gateway) fn is_nearest(&self, peer: SocketAddr) -> bool {
        self.local.is_empty() || self.is_local(peer)
    }

    /// Peers of this node's zone.
    pub(in crate::gateway) fn local(&self) -> &[SocketAddr] {
        &self.local
    }

    /// Random peer of this node's zone, or of any zone if that has none.
    pub(in crate::gateway) fn choose_local(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let local = self.local.choose(random).copied();
        local.or_else(|| self.choose_any(random))
    }

    /// Random peer of any zone.
    pub(in crate::gateway) fn choose_any(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let zones = || std::iter::once(&self.local).chain(&self.remote_zones);
        let count: usize = zones().map(Vec::len).sum();
        let index = (count > 0).then(|| random.random_range(0..count))?;
        zones().flatten().nth(index).copied()
    }

    /// One random peer of each other zone.
    pub(in crate::gateway) fn one_per_remote_zone(&self, random: &mut impl Rng) -> Vec<SocketAddr> {
        let zones = self.remote_zones.iter();
        zones
            .filter_map(|zone| zone.choose(random).copied())
            .collect()
    }
}

/// Members that this node polls for the staleness of their views, in order of preference.
///
/// `order` is the reader order and `rank` this node's position in it. The leading members of each
/// zone are relays: they poll the reader and its successors; the rest of the zone polls the relays.
pub(in crate::gateway) fn poll_targets(
    own: &MemberLocation,
    order: &[MemberLocation],
    rank: usize,
) -> Vec<SocketAddr> {
    let address = |member: &MemberLocation| member.address;
    let predecessors = &order[..rank.min(order.len())];
    let readers = predecessors.iter().take(POLLED_READERS).map(address);
    let in_zone = |member: &&MemberLocation| member.zone == own.zone;
    // The reader is no relay: the relays of all zones poll the reader.
    let zone_predecessors = predecessors.iter().skip(1).filter(in_zone);
    let zone_rank = zone_predecessors.clone().count();
    let members = order.iter().skip(1).filter(in_zone).count();
    let relay_count = members.div_ceil(MEMBERS_PER_RELAY);
    let is_relay = rank <= POLLED_READERS || zone_rank < relay_count;
    // A leaving node is not in the reader order, so that its zone may have no relays.
    if is_relay || relay_count == 0 {
        return readers.collect();
    }
    // Spreads members over the relays; the other relays and the reader are fallbacks.
    let mut targets: Vec<SocketAddr> = zone_predecessors.map(address).take(relay_count).collect();
    targets.rotate_left(zone_rank % relay_count);
    targets.extend(readers.take(1));
    targets
}
