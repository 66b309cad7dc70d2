//! Zones whose servers are to get nothing.

use super::support::{
    Harness, RECORD, answer, configuration, gather, millis, peer, route, service,
};
use crate::gateway::views::evacuations::{EvacuationChange, Evacuations};
use crate::gateway::{GatewayAnswer, GatewayEvent, RefusalStatus, ViewKind, ViewObject};
use assert_matches::assert_matches;
use proptest::prelude::*;
use std::collections::BTreeSet;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::ZoneName;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::view::{EvacuatedZones, InstanceState, StoreRevision, ViewMessage};

/// A server in a zone of its own.
fn server_in(zone: &str, id: &str, service: &str) -> ViewObject {
    let mut instance = super::support::instance(id, service, InstanceState::Ready);
    instance.zone = ZoneName::new(zone);
    ViewObject::Instance(StoreRevision::without_era(10), instance)
}

/// A gateway that reads the store and knows these servers: zone, identity and service.
fn serving(target: thornbridge_config::routes::RouteTarget, servers: &[[&str; 3]]) -> Harness {
    let mut harness = Harness::started();
    let servers = servers.iter();
    let servers = servers.map(|[zone, id, service]| server_in(zone, id, service));
    harness.list(ViewKind::Registry, servers.collect(), 50);
    let routes = vec![route("/", target, Repeatability::Repeatable)];
    let object = ViewObject::Configuration(configuration(1, routes));
    harness.list(ViewKind::Configuration, vec![object], 50);
    harness.list(ViewKind::Evacuations, Vec::new(), 50);
    harness.wait(millis(5_000));
    harness
}

fn two_zones() -> Harness {
    serving(service("s"), &[["near", "s1", "s"], ["far", "s2", "s"]])
}

fn order(zone: &str) -> ViewObject {
    ViewObject::EvacuationStarted(ZoneName::new(zone))
}

fn over(zone: &str) -> ViewObject {
    ViewObject::EvacuationEnded(ZoneName::new(zone))
}

/// Servers that got the next twenty requests.
fn chosen(harness: &mut Harness) -> BTreeSet<String> {
    let mut chosen = BTreeSet::new();
    for _ in 0..20 {
        let caller = harness.ask("/x");
        for sent in harness.sent_for(caller) {
            chosen.insert(sent.instance);
            harness.reply(sent.attempt, answer(RECORD));
        }
    }
    chosen
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn servers_of_an_evacuated_zone_get_nothing_until_that_is_over() {
    let mut harness = two_zones();
    harness.changes(ViewKind::Evacuations, vec![order("near")], 60);
    assert_eq!(chosen(&mut harness), names(&["s2"]));
    harness.wait(millis(400));
    harness.changes(ViewKind::Evacuations, vec![over("near")], 61);
    harness.wait(millis(400));
    harness.changes(ViewKind::Evacuations, vec![order("far")], 62);
    assert_eq!(chosen(&mut harness), names(&["s1"]));
}

#[test]
fn a_server_that_registers_in_an_evacuated_zone_gets_nothing() {
    let mut harness = two_zones();
    harness.changes(ViewKind::Evacuations, vec![order("third")], 60);
    harness.changes(ViewKind::Registry, vec![server_in("third", "s3", "s")], 61);
    harness.wait(millis(400));
    assert!(!chosen(&mut harness).contains("s3"));
    harness.changes(ViewKind::Evacuations, vec![order("near"), order("far")], 62);
    assert!(chosen(&mut harness).is_empty());
}

#[test]
fn second_attempts_stay_out_of_an_evacuated_zone() {
    let mut harness = two_zones();
    let caller = harness.ask("/x");
    let first = harness.sent_for(caller).remove(0);
    let other = match first.instance.as_str() {
        "s1" => "far",
        _ => "near",
    };
    harness.changes(ViewKind::Evacuations, vec![order(other)], 60);
    harness.wait(millis(900));
    assert_eq!(harness.sent_for(caller).len(), 1);
}

#[test]
fn a_search_leaves_out_shards_whose_servers_are_all_evacuated() {
    let servers = [["a", "x1", "x"], ["a", "y1", "y"], ["b", "z1", "z"]];
    let mut harness = serving(gather(&["x", "y", "z"], 0.6), &servers);
    harness.changes(ViewKind::Evacuations, vec![order("b")], 60);
    let caller = harness.ask("/x");
    for sent in harness.sent_for(caller) {
        assert_ne!(sent.instance, "z1");
        harness.reply(sent.attempt, answer(RECORD));
    }
    assert_matches!(
        harness.answers.get(&caller),
        Some(GatewayAnswer::Gathered { missing: 1, .. })
    );
}

#[test]
fn a_search_without_enough_shards_is_refused_at_once_as_not_run() {
    let servers = [["a", "x1", "x"], ["b", "y1", "y"]];
    let mut harness = serving(gather(&["x", "y"], 0.9), &servers);
    harness.changes(ViewKind::Evacuations, vec![order("b")], 60);
    let caller = harness.ask("/x");
    assert!(harness.sent_for(caller).is_empty());
    assert_eq!(harness.refused(caller), Some(RefusalStatus::NotRun));
}

#[test]
fn an_order_is_learnt_from_a_peer_and_not_undone_by_an_older_one() {
    let mut harness = two_zones();
    let mut told = |at, zones: &[&str]| {
        let zones = zones.iter().map(|zone| ZoneName::new(*zone)).collect();
        let at = StoreRevision::without_era(at);
        let evacuated = ViewMessage::Evacuations(EvacuatedZones { at, zones });
        let message = PeerMessage::View(evacuated);
        let from = peer(1);
        harness.event(GatewayEvent::PeerMessage { from, message });
    };
    told(70, &["far"]);
    told(65, &[]);
    assert_eq!(chosen(&mut harness), names(&["s1"]));
}

/// Zones of the drawn orders.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// What happens next to the store and two replicas of its orders.
#[derive(Clone, Debug)]
enum Step {
    Order(usize),
    Over(usize),
    /// A replica reads what came since its last read.
    Watch(usize),
    List(usize),
    /// A replica gets what it lacks from the other.
    Pull(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..ZONES.len()).prop_map(Step::Order),
        (0..ZONES.len()).prop_map(Step::Over),
        (0..2_usize).prop_map(Step::Watch),
        (0..2_usize).prop_map(Step::List),
        (0..2_usize).prop_map(Step::Pull),
    ]
}

/// The store: the orders in force at each revision.
struct Store {
    states: Vec<BTreeSet<ZoneName>>,
    events: Vec<(u64, EvacuationChange)>,
}

impl Store {
    fn revision(&self) -> u64 {
        self.states.len() as u64
    }

    fn zones(&self) -> BTreeSet<ZoneName> {
        self.states.last().cloned().unwrap_or_default()
    }

    fn set(&mut self, zone: usize, evacuated: bool) {
        let zone = ZoneName::new(ZONES[zone]);
        let mut zones = self.zones();
        let changed = match evacuated {
            true => zones.insert(zone.clone()),
            false => zones.remove(&zone),
        };
        self.states.push(zones);
        if changed {
            let change = EvacuationChange { zone, evacuated };
            self.events.push((self.revision(), change));
        }
    }
}

proptest! {
    /// A replica never goes back, and has what the store had at its revision.
    #[test]
    fn replicas_have_what_the_store_had(steps in prop::collection::vec(step(), 1..60)) {
        let mut store = Store { states: vec![BTreeSet::new()], events: Vec::new() };
        let mut replicas = [Evacuations::default(), Evacuations::default()];
        // Revision that each replica watches from.
        let mut watched: [Option<u64>; 2] = [None, None];
        for step in steps {
            let before = [replicas[0].at(), replicas[1].at()];
            let at = StoreRevision::without_era(store.revision());
            match step {
                Step::Order(zone) => store.set(zone, true),
                Step::Over(zone) => store.set(zone, false),
                Step::List(replica) => {
                    replicas[replica].replace(store.zones(), at);
                    watched[replica] = Some(at.number);
                }
                Step::Watch(replica) => {
                    let Some(from) = watched[replica] else { continue };
                    let news = store.events.iter().filter(|(revision, _)| *revision > from);
                    let news: Vec<_> = news.map(|(_, change)| change.clone()).collect();
                    if !news.is_empty() {
                        replicas[replica].take(news.into_iter(), at);
                    }
                    watched[replica] = Some(at.number);
                }
                Step::Pull(to) => {
                    let known = replicas[to].at().unwrap_or_default();
                    if let Some(newer) = replicas[1 - to].newer_than(known) {
                        replicas[to].replace(newer.zones, newer.at);
                    }
                }
            }
            for (replica, before) in replicas.iter().zip(before) {
                prop_assert!(replica.at() >= before);
                let Some(at) = replica.at() else { continue };
                let expected = &store.states[at.number as usize - 1];
                let all = replica.newer_than(StoreRevision::without_era(0)).expect("it is known");
                prop_assert_eq!(&all.zones, expected);
            }
        }
    }
}
