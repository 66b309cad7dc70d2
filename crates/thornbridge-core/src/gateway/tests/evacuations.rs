//! Evacuated zones: routing around them, and their replication.

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

/// A ready server in a zone.
fn server_in(zone: &str, id: &str, service: &str) -> ViewObject {
    let mut instance = super::support::instance(id, service, InstanceState::Ready);
    instance.zone = ZoneName::new(zone);
    ViewObject::Instance(StoreRevision::without_era(10), instance)
}

/// A gateway with these servers, given by zone, id and service.
fn serving(target: thornbridge_config::routes::RouteTarget, servers: &[[&str; 3]]) -> Harness {
    let mut harness = Harness::unconfigured();
    let servers = servers.iter();
    let servers = servers.map(|[zone, id, service]| server_in(zone, id, service));
    harness.list_reply(ViewKind::Registry, servers.collect(), 50);
    let routes = vec![route("/", target, Repeatability::Repeatable)];
    let object = ViewObject::Configuration(configuration(1, routes));
    harness.list_reply(ViewKind::Configuration, vec![object], 50);
    harness.list_reply(ViewKind::Evacuations, Vec::new(), 50);
    harness.advance(millis(5_000));
    harness
}

fn two_zones() -> Harness {
    serving(service("s"), &[["near", "s1", "s"], ["far", "s2", "s"]])
}

fn started(zone: &str) -> ViewObject {
    ViewObject::EvacuationStarted(ZoneName::new(zone))
}

fn ended(zone: &str) -> ViewObject {
    ViewObject::EvacuationEnded(ZoneName::new(zone))
}

/// Servers that receive the next twenty requests.
fn servers_used(harness: &mut Harness) -> BTreeSet<String> {
    let mut servers_used = BTreeSet::new();
    for _ in 0..20 {
        let caller = harness.send_request("/x");
        for sent in harness.sent_for(caller) {
            servers_used.insert(sent.instance);
            harness.reply(sent.attempt, answer(RECORD));
        }
    }
    servers_used
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn evacuated_zone_gets_no_requests_until_evacuation_ends() {
    let mut harness = two_zones();
    harness.watch_reply(ViewKind::Evacuations, vec![started("near")], 60);
    assert_eq!(servers_used(&mut harness), names(&["s2"]));
    harness.advance(millis(400));
    harness.watch_reply(ViewKind::Evacuations, vec![ended("near")], 61);
    harness.advance(millis(400));
    harness.watch_reply(ViewKind::Evacuations, vec![started("far")], 62);
    assert_eq!(servers_used(&mut harness), names(&["s1"]));
}

#[test]
fn server_registered_in_evacuated_zone_gets_no_requests() {
    let mut harness = two_zones();
    harness.watch_reply(ViewKind::Evacuations, vec![started("third")], 60);
    harness.watch_reply(ViewKind::Registry, vec![server_in("third", "s3", "s")], 61);
    harness.advance(millis(400));
    assert!(!servers_used(&mut harness).contains("s3"));
    harness.watch_reply(
        ViewKind::Evacuations,
        vec![started("near"), started("far")],
        62,
    );
    assert!(servers_used(&mut harness).is_empty());
}

#[test]
fn second_attempt_is_not_sent_to_evacuated_zone() {
    let mut harness = two_zones();
    let caller = harness.send_request("/x");
    let first = harness.sent_for(caller).remove(0);
    let other = match first.instance.as_str() {
        "s1" => "far",
        _ => "near",
    };
    harness.watch_reply(ViewKind::Evacuations, vec![started(other)], 60);
    harness.advance(millis(900));
    assert_eq!(harness.sent_for(caller).len(), 1);
}

#[test]
fn gather_omits_shards_without_servers_outside_evacuated_zones() {
    let servers = [["a", "x1", "x"], ["a", "y1", "y"], ["b", "z1", "z"]];
    let mut harness = serving(gather(&["x", "y", "z"], 0.6), &servers);
    harness.watch_reply(ViewKind::Evacuations, vec![started("b")], 60);
    let caller = harness.send_request("/x");
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
fn gather_with_too_few_shards_is_refused() {
    let servers = [["a", "x1", "x"], ["b", "y1", "y"]];
    let mut harness = serving(gather(&["x", "y"], 0.9), &servers);
    harness.watch_reply(ViewKind::Evacuations, vec![started("b")], 60);
    let caller = harness.send_request("/x");
    assert!(harness.sent_for(caller).is_empty());
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
}

#[test]
fn older_peer_message_does_not_undo_evacuation() {
    let mut harness = two_zones();
    let mut receive_from_peer = |at, zones: &[&str]| {
        let zones = zones.iter().map(|zone| ZoneName::new(*zone)).collect();
        let at = StoreRevision::without_era(at);
        let evacuated = ViewMessage::Evacuations(EvacuatedZones { at, zones });
        let message = PeerMessage::View(evacuated);
        let from = peer(1);
        harness.event(GatewayEvent::PeerMessage { from, message });
    };
    receive_from_peer(70, &["far"]);
    receive_from_peer(65, &[]);
    assert_eq!(servers_used(&mut harness), names(&["s1"]));
}

/// Zones that the steps draw from.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// One step of the store and two replicas.
#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    End(usize),
    /// A replica watches from its last read on.
    Watch(usize),
    List(usize),
    /// A replica pulls from the other.
    Pull(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..ZONES.len()).prop_map(Step::Start),
        (0..ZONES.len()).prop_map(Step::End),
        (0..2_usize).prop_map(Step::Watch),
        (0..2_usize).prop_map(Step::List),
        (0..2_usize).prop_map(Step::Pull),
    ]
}

/// Model of the store: evacuated zones at each revision, and all changes.
struct Store {
    zones_by_revision: Vec<BTreeSet<ZoneName>>,
    events: Vec<(u64, EvacuationChange)>,
}

impl Store {
    fn revision(&self) -> u64 {
        self.zones_by_revision.len() as u64
    }

    fn zones(&self) -> BTreeSet<ZoneName> {
        self.zones_by_revision.last().cloned().unwrap_or_default()
    }

    fn set(&mut self, zone: usize, evacuated: bool) {
        let zone = ZoneName::new(ZONES[zone]);
        let mut zones = self.zones();
        let changed = match evacuated {
            true => zones.insert(zone.clone()),
            false => zones.remove(&zone),
        };
        self.zones_by_revision.push(zones);
        if changed {
            let change = EvacuationChange { zone, evacuated };
            self.events.push((self.revision(), change));
        }
    }
}

proptest! {
    /// Also checks that the revision of a replica never decreases.
    #[test]
    fn replica_equals_store_at_its_revision(steps in prop::collection::vec(step(), 1..60)) {
        let mut store = Store { zones_by_revision: vec![BTreeSet::new()], events: Vec::new() };
        let mut replicas = [Evacuations::default(), Evacuations::default()];
        // Revision that each replica watches from.
        let mut watch_from: [Option<u64>; 2] = [None, None];
        for step in steps {
            let before = [replicas[0].revision(), replicas[1].revision()];
            let at = StoreRevision::without_era(store.revision());
            match step {
                Step::Start(zone) => store.set(zone, true),
                Step::End(zone) => store.set(zone, false),
                Step::List(replica) => {
                    replicas[replica].replace(store.zones(), at);
                    watch_from[replica] = Some(at.number);
                }
                Step::Watch(replica) => {
                    let Some(from) = watch_from[replica] else { continue };
                    let new_events = store.events.iter().filter(|(revision, _)| *revision > from);
                    let new_events: Vec<_> = new_events.map(|(_, change)| change.clone()).collect();
                    if !new_events.is_empty() {
                        replicas[replica].apply(new_events.into_iter(), at);
                    }
                    watch_from[replica] = Some(at.number);
                }
                Step::Pull(to) => {
                    let known = replicas[to].revision().unwrap_or_default();
                    if let Some(newer) = replicas[1 - to].newer_than(known) {
                        replicas[to].replace(newer.zones, newer.at);
                    }
                }
            }
            for (replica, before) in replicas.iter().zip(before) {
                prop_assert!(replica.revision() >= before);
                let Some(at) = replica.revision() else { continue };
                let expected = &store.zones_by_revision[at.number as usize - 1];
                let all = replica.newer_than(StoreRevision::without_era(0)).expect("no evacuations known");
                prop_assert_eq!(&all.zones, expected);
            }
        }
    }
}
