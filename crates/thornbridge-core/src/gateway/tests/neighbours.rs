//! Which peers are told, asked and polled.

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

/// Most polls that come to one member, and the number that cross zones.
fn polls(count: usize) -> (usize, usize) {
    let order = members(count);
    let zone_of: BTreeMap<SocketAddr, &ZoneName> = order
        .iter()
        .map(|member| (member.address, &member.zone))
        .collect();
    let mut of_member: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    let mut crossing = 0;
    for (rank, own) in order.iter().enumerate().skip(1) {
        let polled = poll_targets(own, &order, rank)[0];
        *of_member.entry(polled).or_default() += 1;
        crossing += usize::from(*zone_of[&polled] != own.zone);
    }
    (of_member.into_values().max().unwrap(), crossing)
}

#[test]
fn no_member_is_polled_by_many_and_few_polls_cross_zones() {
    for count in [12, 90, 480, 985] {
        let (most, crossing) = polls(count);
        assert!(most <= 45, "{most} of {count}");
        assert!(crossing <= 4 + ZONES + count / 30, "{crossing} of {count}");
    }
}

#[test]
fn every_member_polls_one_before_it_so_that_polls_end_at_the_reader() {
    let order = members(200);
    for (rank, own) in order.iter().enumerate() {
        let polled = poll_targets(own, &order, rank);
        assert_eq!(polled.is_empty(), rank == 0);
        for address in polled {
            let place = order.iter().position(|member| member.address == address);
            assert!(place < Some(rank), "{rank} polls {place:?}");
        }
    }
}

#[test]
fn a_node_draws_peers_of_its_zone_and_one_of_each_other() {
    let order = members(60);
    let peers = ZonePeers::new(&order[0], order.iter().cloned());
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for _ in 0..20 {
        let local = peers.any_local(&mut random).unwrap();
        assert!(peers.is_nearest(local));
    }
    let others = peers.one_per_remote_zone(&mut random);
    assert_eq!(others.len(), ZONES - 1);
    assert!(!others.iter().any(|peer| peers.is_nearest(*peer)));
}

#[test]
fn a_node_alone_in_its_zone_holds_all_for_near() {
    let order = members(3);
    let peers = ZonePeers::new(&order[0], order.iter().cloned());
    let mut random = Pcg64Mcg::seed_from_u64(1);
    assert!(peers.is_nearest(order[1].address));
    assert!(peers.any_local(&mut random).is_some());
    let nobody = ZonePeers::new(&order[0], order[..1].iter().cloned());
    assert!(nobody.is_empty());
    assert_eq!(nobody.any(&mut random), None);
}

/// What users saw: nodes that were told to stop closed their connections without an answer. Cause: a
/// node that leaves takes no part in the order of readers, and the last one of its zone divided by the
/// zone's relays, of which there were none.
#[test]
fn the_last_node_of_a_zone_polls_the_readers_while_it_leaves() {
    let order = members(30);
    for (index, own) in order.iter().enumerate() {
        let others: Vec<MemberLocation> = order
            .iter()
            .filter(|member| member.zone != own.zone)
            .cloned()
            .collect();
        let polled = poll_targets(own, &others, others.len());
        assert!(!polled.is_empty(), "{index}");
    }
}
