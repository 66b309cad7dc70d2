//! Groups of shards by zones: every shard once, near all of its group's zones, and stable.

use super::{ShardZones, ZonedGroup, group_by_zones};
use crate::gateway::ServerParameters;
use crate::gateway::budget::ServiceKey;
use crate::gateway::servers::{Placement, Servers};
use crate::gateway::telemetry::ViewOrigin;
use crate::gateway::tests::support;
use crate::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::{RegionName, ServiceName, ZoneName};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    }
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| ZoneName::new(*name)).collect()
}

/// Shards with servers in three of four zones, a different one missing for each in turn.
fn spread_shards(count: usize) -> Vec<BTreeSet<ZoneName>> {
    let without = |missing: usize| {
        let names: Vec<&str> = (0..4)
            .filter(|zone| *zone != missing)
            .map(|zone| ZONES[zone])
            .collect();
        zones(&names)
    };
    (0..count).map(|shard| without(shard % 4)).collect()
}

fn group_of_shards(groups: &[ZonedGroup]) -> BTreeMap<usize, u64> {
    let pairs = groups.iter();
    let pairs = pairs.flat_map(|group| group.shards.iter().map(|shard| (*shard, group.hash)));
    pairs.collect()
}

#[test]
fn every_part_of_a_group_can_stay_in_its_zone() {
    let shards = spread_shards(90);
    let groups = group_by_zones(&shards, 10);
    assert_eq!(groups.len(), 8);
    for group in &groups {
        assert_eq!(group.zones.len(), 3);
        assert!(
            group
                .shards
                .iter()
                .all(|shard| shards[*shard] == group.zones)
        );
    }
}

/// Guards against owners that change for all shards when one shard gets a server in another zone.
#[test]
fn moved_shard_changes_few_other_groups() {
    let mut shards = spread_shards(90);
    let before = group_of_shards(&group_by_zones(&shards, 10));
    shards[40] = zones(&ZONES[1..]);
    let after = group_of_shards(&group_by_zones(&shards, 10));
    let moved = before
        .iter()
        .filter(|(shard, hash)| after[*shard] != **hash);
    assert!(moved.count() <= 4);
}

#[test]
fn shards_of_rare_zones_share_a_group() {
    let mut shards = vec![zones(&["a", "b"]); 28];
    shards[3] = zones(&["a"]);
    shards[4] = zones(&["c"]);
    shards[5] = zones(&[]);
    let groups = group_by_zones(&shards, 6);
    let shared = groups.last().expect("a group");
    assert_eq!(
        (shared.shards.clone(), shared.zones.len()),
        (vec![3, 4, 5], 0)
    );
}

fn no_servers() -> Servers {
    let placement = Placement {
        zone: ZoneName::new("zone"),
        region: RegionName::new("region"),
        regions: BTreeMap::new(),
    };
    let own_address = SocketAddr::from(([10, 1, 0, 1], 8_000));
    Servers::new(ServerParameters::default(), placement, own_address)
}

fn register(servers: &mut Servers, now: Timestamp, id: &str, service: &str) -> ServiceKey {
    let server = support::instance(id, service, InstanceState::Ready);
    let revision = StoreRevision::without_era(1);
    let mut actions = VecDeque::new();
    servers.upsert_instance(now, &mut actions, &server, revision, ViewOrigin::Store);
    servers.service_key(&ServiceName::new(service))
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs_f64(seconds)
}

#[test]
fn zones_settle_a_second_after_the_last_shard_got_a_server() {
    let mut servers = no_servers();
    let shards = ["a", "b"].map(|name| servers.service_key(&ServiceName::new(name)));
    let shards = BTreeSet::from(shards);
    let mut zones = ShardZones::default();
    zones.update(at(0.0), &shards, &servers);
    register(&mut servers, at(0.1), "a-1", "a");
    zones.update(at(0.1), &shards, &servers);
    zones.update(at(5.0), &shards, &servers);
    assert!(!zones.are_settled());
    register(&mut servers, at(5.1), "b-1", "b");
    zones.update(at(5.1), &shards, &servers);
    zones.update(at(6.0), &shards, &servers);
    assert!(!zones.are_settled());
    zones.update(at(6.2), &shards, &servers);
    assert!(zones.are_settled());
}

/// Guards against nodes that never own a shard because another one has no server.
#[test]
fn shard_that_stays_without_a_server_does_not_hold_up_the_others() {
    let mut servers = no_servers();
    let with_server = register(&mut servers, at(0.0), "a-1", "a");
    let without = servers.service_key(&ServiceName::new("b"));
    let shards = BTreeSet::from([with_server, without]);
    let mut zones = ShardZones::default();
    for second in 0..30 {
        zones.update(at(f64::from(second)), &shards, &servers);
        assert!(!zones.are_settled(), "second {second}");
    }
    zones.update(at(30.0), &shards, &servers);
    assert!(zones.are_settled());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_shard_is_in_one_group_near_its_zones(
        shard_zones in proptest::collection::vec(proptest::collection::btree_set(0..4_usize, 0..5), 1..120),
        size in 1..16_usize,
    ) {
        let shards: Vec<BTreeSet<ZoneName>> = shard_zones
            .iter()
            .map(|set| set.iter().map(|zone| ZoneName::new(ZONES[*zone])).collect())
            .collect();
        let groups = group_by_zones(&shards, size);
        let mut seen: Vec<usize> = groups.iter().flat_map(|group| group.shards.clone()).collect();
        seen.sort_unstable();
        prop_assert_eq!(seen, (0..shards.len()).collect::<Vec<_>>());
        for group in &groups {
            prop_assert!(!group.shards.is_empty());
            let near = group.shards.iter().all(|shard| shards[*shard].is_superset(&group.zones));
            prop_assert!(near, "{:?}", group);
        }
        let hashes: BTreeSet<u64> = groups.iter().map(|group| group.hash).collect();
        prop_assert_eq!(hashes.len(), groups.len());
    }
}
