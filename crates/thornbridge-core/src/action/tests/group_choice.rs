//! Tests of the selection of a group's members.

use crate::action::group::{choose_members, majority};
use crate::membership::MemberView;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeSet;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::{Incarnation, NodeId};

fn member(node: u64, zone: u8, state: MemberState) -> MemberRecord {
    MemberRecord {
        endpoint: PeerEndpoint {
            node: NodeId(node),
            address: ([10, 0, 0, 1], node as u16).into(),
        },
        name: "node".into(),
        zone: format!("zone-{zone}").into(),
        operator_address: ([127, 0, 0, 1], 8).into(),
        region: "r".into(),
        incarnation: Incarnation(0),
        state,
    }
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// The number of selected members is odd, all of them accept work, and current members that
    /// accept work remain.
    #[test]
    fn selected_members_are_odd_and_current_ones_remain(
        nodes in prop::collection::vec((0..3u8, any::<bool>()), 1..20),
        current in prop::collection::btree_set(1..20u64, 0..5),
    ) {
        let records: Vec<MemberRecord> = nodes
            .iter()
            .enumerate()
            .map(|(index, (zone, leaves))| {
                let state = if *leaves { MemberState::Leaving } else { MemberState::Alive };
                member(index as u64 + 1, *zone, state)
            })
            .collect();
        let own = member(100, 0, MemberState::Alive);
        let view = MemberView::new(own, records);
        let current: Vec<PeerEndpoint> = current
            .into_iter()
            .map(|node| member(node, 0, MemberState::Alive).endpoint)
            .collect();
        let chosen = choose_members(&view, &current, 5);
        let available: BTreeSet<NodeId> = view.accepting_work().map(|it| it.endpoint.node).collect();
        prop_assert_eq!(chosen.len() % 2, 1);
        prop_assert!(chosen.len() <= 5 && chosen.len() + 1 >= available.len().min(5));
        prop_assert!(chosen.iter().all(|it| available.contains(&it.node)));
        let remaining = current.iter().filter(|it| available.contains(&it.node)).count();
        let kept = chosen.iter().filter(|it| current.contains(it)).count();
        prop_assert_eq!(kept, remaining.min(chosen.len()));
    }
}

#[test]
fn no_zone_of_three_holds_a_majority() {
    let records = (0..9).map(|node| member(node + 1, node as u8 % 3, MemberState::Alive));
    let view = MemberView::new(member(100, 0, MemberState::Alive), records.collect());
    let chosen = choose_members(&view, &[], 5);
    assert_eq!(chosen.len(), 5);
    for zone in ["zone-0", "zone-1", "zone-2"] {
        let in_zone = view
            .members()
            .iter()
            .filter(|it| it.zone.as_str() == zone && chosen.contains(&it.endpoint));
        assert!(in_zone.count() < majority(5));
    }
}
