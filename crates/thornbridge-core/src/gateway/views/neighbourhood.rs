//! Peers by how far they are: who is told of news, asked and polled first.
//!
//! Guards against views that cross regions once for each node. Between zones news goes to one peer of
//! each, and spreads within a zone from there; what is missed is repaired by digests and polls.

use crate::gateway::servers::Sharer;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thornbridge_proto::ZoneName;

/// Members of a zone for each of which one relays what the reader knows.
const MEMBERS_A_RELAY: usize = 32;
/// First members in the order of readers that relays poll: the reader, and those that take over.
const READERS_POLLED: usize = 4;

/// The other members, by zone.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Neighbourhood {
    /// Peers of this node's zone, in order of address.
    near: Vec<SocketAddr>,
    /// Peers of each other zone.
    others: Vec<Vec<SocketAddr>>,
}

impl Neighbourhood {
    /// Sorts members into zones. `own` is this node.
    pub(in crate::gateway) fn new(own: &Sharer, members: impl Iterator<Item = Sharer>) -> Self {
        let mut zones: BTreeMap<ZoneName, Vec<SocketAddr>> = BTreeMap::new();
        for member in members.filter(|member| member.address != own.address) {
            zones.entry(member.zone).or_default().push(member.address);
        }
        let mut near = zones.remove(&own.zone).unwrap_or_default();
        near.sort_unstable();
        Self {
            near,
            others: zones.into_values().collect(),
        }
    }

    /// Whether this node knows of no other.
    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.near.is_empty() && self.others.is_empty()
    }

    /// Whether a peer is of this node's zone.
    pub(in crate::gateway) fn is_in_zone(&self, peer: SocketAddr) -> bool {
        self.near.binary_search(&peer).is_ok()
    }

    /// Whether a peer is as near as any.
    pub(in crate::gateway) fn is_near(&self, peer: SocketAddr) -> bool {
        self.near.is_empty() || self.is_in_zone(peer)
    }

    /// Peers of this node's zone.
    pub(in crate::gateway) fn near(&self) -> &[SocketAddr] {
        &self.near
    }

    /// A peer of this node's zone, where there is one.
    pub(in crate::gateway) fn any_near(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let near = self.near.choose(random).copied();
        near.or_else(|| self.any(random))
    }

    /// Any peer.
    pub(in crate::gateway) fn any(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        let zones = || std::iter::once(&self.near).chain(&self.others);
        let count: usize = zones().map(Vec::len).sum();
        let index = (count > 0).then(|| random.random_range(0..count))?;
        zones().flatten().nth(index).copied()
    }

    /// One peer of each other zone.
    pub(in crate::gateway) fn one_of_each_other_zone(
        &self,
        random: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let zones = self.others.iter();
        zones
            .filter_map(|zone| zone.choose(random).copied())
            .collect()
    }
}

/// Members that one of them polls for how fresh its views are, the first choice first.
///
/// `order` is the order of readers and `rank` this node's place in it. The first members of each
/// zone poll the reader and those that would take over, and relay that to the rest of the zone.
pub(in crate::gateway) fn polled_by(
    own: &Sharer,
    order: &[Sharer],
    rank: usize,
) -> Vec<SocketAddr> {
    let address = |member: &Sharer| member.address;
    let before = &order[..rank.min(order.len())];
    let readers = before.iter().take(READERS_POLLED).map(address);
    let in_zone = |member: &&Sharer| member.zone == own.zone;
    // The reader relays nothing: the relays of all zones poll it.
    let zone = before.iter().skip(1).filter(in_zone);
    let place = zone.clone().count();
    let members = order.iter().skip(1).filter(in_zone).count();
    let relays = members.div_ceil(MEMBERS_A_RELAY);
    let relays_itself = rank <= READERS_POLLED || place < relays;
    // A node that leaves is not in the order, and may be the last of its zone.
    if relays_itself || relays == 0 {
        return readers.collect();
    }
    // A relay each, and the others if that one does not answer.
    let mut polled: Vec<SocketAddr> = zone.map(address).take(relays).collect();
    polled.rotate_left(place % relays);
    polled.extend(readers.take(1));
    polled
}
