//! Choice of peers to announce to, pull from and poll.

use crate::gateway::servers::MemberLocation;
use crate::gateway::views::zone_peers::{ZonePeers, poll_targets};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thornbridge_proto::ZoneName;

const ZONES: usize = 6;

fn members(count: usize) -> Vec<MemberLocation> {
    let member = |index: usize| MemberLocation {
        address: SocketAddr::from(([10, 1, (index / 250) as u8, (index % 250) as u8], 8_106)),
        zone: ZoneName::new(format!("zone-{}", index % ZONES)),
    };
    (0..count).map(member).collect()
}

/// Maximum number of polls at one member, and the number of polls that cross zones.
fn poll_counts(count: usize) -> (usize, usize) {
    let order = members(count);
    let zone_of: BTreeMap<SocketAddr, &ZoneName> = order
        .iter()
        .map(|member| (member.address, &member.zone))
        .collect();
    let mut polls_by_target: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut cross_zone_polls = 0;
    for (rank, own) in order.iter().enumerate().skip(1) {
        let target = poll_targets(own, &order, rank)[0];
        *polls_by_target.entry(target).or_default() += 1;
        cross_zone_polls += usize::from(*zone_of[&target] != own.zone);
    }
    (
        polls_by_target.into_values().max().unwrap(),
        cross_zone_polls,
    )
}

#[test]
fn polls_are_spread_and_rarely_cross_zones() {
    for count in [12, 90, 480, 985] {
        let (max_polls, cross_zone_polls) = poll_counts(count);
        assert!(max_polls <= 45, "{max_polls} of {count}");
        assert!(
            cross_zone_polls <= 4 + ZONES + count / 30,
            "{cross_zone_polls} of {count}"
        );
    }
}

#[test]
fn poll_targets_precede_the_member_in_reader_order() {
    let order = members(200);
    for (rank, own) in order.iter().enumerate() {
        let targets = poll_targets(own, &order, rank);
        assert_eq!(targets.is_empty(), rank == 0);
        for address in targets {
            let position = order.iter().position(|member| member.address == address);
            assert!(position < Some(rank), "{rank} polls {position:?}");
        }
    }
}

#[test]
fn draws_local_peers_and_one_per_remote_zone() {
    let order = members(60);
    let peers = ZonePeers::new(&order[0], order.iter().cloned());
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..20 {
        let local = peers.choose_local(&mut random).unwrap();
        assert!(peers.is_nearest(local));
    }
    let others = peers.one_per_remote_zone(&mut random);
    assert_eq!(others.len(), ZONES - 1);
    assert!(!others.iter().any(|peer| peers.is_nearest(*peer)));
}

#[test]
fn single_node_zone_treats_all_peers_as_nearest() {
    let order = members(3);
    let peers = ZonePeers::new(&order[0], order.iter().cloned());
    let mut random = Pcg64Mcg::seed_from_u64(1);
    assert!(peers.is_nearest(order[1].address));
    assert!(peers.choose_local(&mut random).is_some());
    let without_peers = ZonePeers::new(&order[0], order[..1].iter().cloned());
    assert!(without_peers.is_empty());
    assert_eq!(without_peers.choose_any(&mut random), None);
}

/// Guards against a division by zero relays: a leaving node is not in the reader order.
#[test]
fn leaving_last_node_of_zone_polls_readers() {
    let order = members(30);
    for (index, own) in order.iter().enumerate() {
        let others: Vec<MemberLocation> = order
            .iter()
            .filter(|member| member.zone != own.zone)
            .cloned()
            .collect();
        let targets = poll_targets(own, &others, others.len());
        assert!(!targets.is_empty(), "{index}");
    }
}
