//! Ranking of the nodes of a region as candidates for its reader leases.

use crate::membership::MemberView;
use std::collections::BTreeMap;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::{NodeId, RegionName, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash seed of this ranking.
const RANKING_SEED: u64 = 0x7265_6164_6572_7321;

/// The first `count` nodes of the view's own region that accept work: the best of each zone, then
/// the second of each zone, and so on, so that the readers are spread over zones.
///
/// Rendezvous hashing: a node that joins or leaves moves the others by at most one place.
pub fn reader_ranking(view: &MemberView, count: usize) -> Vec<PeerEndpoint> {
    let region = &view.own().region;
    let mut zones: BTreeMap<&ZoneName, Vec<(u64, PeerEndpoint)>> = BTreeMap::new();
    for member in view.accepting_work() {
        if member.region == *region {
            let score = score(region, member.endpoint.node);
            let zone = zones.entry(&member.zone).or_default();
            zone.push((score, member.endpoint));
        }
    }
    let mut ranked = Vec::new();
    for zone in zones.values_mut() {
        zone.sort_unstable();
        let best = zone.iter().take(count).enumerate();
        ranked.extend(best.map(|(place, (score, endpoint))| (place, *score, *endpoint)));
    }
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked
        .into_iter()
        .map(|(_, _, endpoint)| endpoint)
        .collect()
}

fn score(region: &RegionName, node: NodeId) -> u64 {
    let region = xxh3_64_with_seed(region.as_str().as_bytes(), RANKING_SEED);
    xxh3_64_with_seed(&node.0.to_be_bytes(), region)
}
