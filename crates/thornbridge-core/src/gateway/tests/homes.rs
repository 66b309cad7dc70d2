//! Routes with home regions.

use super::slice_support::{
    SHARDS, SMALL_CORE_SHARE, node_with_peers, receive_task, report_all, reports, task,
};
use super::support::{
    Harness, RECORD, answer, configuration, gather, instance, millis, peer, route, service, verdict,
};
use crate::gateway::{
    GatewayAnswer, GatewayEvent, GatewayParameters, RefusalReason, RefusalStatus, ReplyVerdict,
    ViewKind, ViewObject,
};
use assert_matches::assert_matches;
use std::collections::BTreeSet;
use thornbridge_config::routes::{Repeatability, RouteTarget};
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState, MembershipMessage};
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::{Incarnation, NodeName, RegionName, ZoneName};

/// Zone of the node, in the region `region`.
const NEAR: &str = "zone";
/// A zone in the region `abroad`.
const ABROAD: &str = "zone-abroad";
/// A zone whose region is unknown.
const UNKNOWN: &str = "zone-unknown";

fn server_in(zone: &str, id: &str, service: &str) -> ViewObject {
    let mut instance = instance(id, service, InstanceState::Ready);
    instance.zone = ZoneName::new(zone);
    ViewObject::Instance(StoreRevision::without_era(10), instance)
}

/// A gateway with a route with these homes, and servers by zone, id and service.
fn serving(homes: &[&str], target: RouteTarget, servers: &[[&str; 3]]) -> Harness {
    let mut harness = Harness::unconfigured();
    let mut parameters = GatewayParameters::default();
    parameters.budget.slack = 1_000.0;
    parameters.budget.settling_windows = 0.0;
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
    let servers = servers.iter();
    let servers = servers.map(|[zone, id, service]| server_in(zone, id, service));
    harness.list_reply(ViewKind::Registry, servers.collect(), 50);
    let mut route = route("/", target, Repeatability::Repeatable);
    route.home_regions = homes
        .iter()
        .map(|region| RegionName::new(*region))
        .collect();
    let object = ViewObject::Configuration(configuration(1, vec![route]));
    harness.list_reply(ViewKind::Configuration, vec![object], 50);
    harness.list_reply(ViewKind::Evacuations, Vec::new(), 50);
    harness.advance(millis(5_000));
    harness
}

/// Servers that attempts were sent to.
fn used(harness: &Harness) -> BTreeSet<&str> {
    let sent = harness.sent.iter();
    sent.map(|attempt| attempt.instance.as_str()).collect()
}

const THREE_PLACES: [[&str; 3]; 3] = [[NEAR, "s1", "s"], [ABROAD, "s2", "s"], [UNKNOWN, "s3", "s"]];

#[test]
fn request_is_not_sent_outside_of_its_homes() {
    let mut harness = serving(&["abroad"], service("s"), &THREE_PLACES);
    for _ in 0..20 {
        let caller = harness.send_request("/x");
        let attempt = harness.sent_for(caller).remove(0).attempt;
        harness.reply(attempt, answer(RECORD));
    }
    assert_eq!(used(&harness), BTreeSet::from(["s2"]));
}

#[test]
fn any_region_is_used_without_homes() {
    let mut harness = serving(&[], service("s"), &THREE_PLACES[1..]);
    let caller = harness.send_request("/x");
    assert_eq!(harness.sent_for(caller).len(), 1);
}

#[test]
fn retry_is_not_sent_outside_of_the_homes() {
    let mut harness = serving(&["region"], service("s"), &THREE_PLACES);
    let caller = harness.send_request("/x");
    let first = harness.sent_for(caller).remove(0);
    harness.reply(first.attempt, verdict(ReplyVerdict::NotRun));
    harness.advance(millis(1_500));
    assert_eq!(used(&harness), BTreeSet::from(["s1"]));
}

#[test]
fn hedge_is_not_sent_outside_of_the_homes() {
    let mut harness = serving(&["region"], service("s"), &THREE_PLACES);
    harness.send_request("/x");
    harness.advance(millis(900));
    assert_eq!(used(&harness), BTreeSet::from(["s1"]));
}

#[test]
fn queued_part_does_not_move_outside_of_the_homes() {
    let mut harness = serving(&["region"], service("s"), &THREE_PLACES);
    for _ in 0..30 {
        harness.send_request("/x");
    }
    harness.advance(millis(900));
    assert_eq!(used(&harness), BTreeSet::from(["s1"]));
}

#[test]
fn slice_is_served_at_its_homes() {
    let mut harness = serving(&[], gather(&["s"], 0.5), &THREE_PLACES);
    let mut task = task(&["s"], 0);
    task.home_regions = vec![RegionName::new("abroad")];
    receive_task(&mut harness, task);
    harness.advance(millis(900));
    assert_eq!(used(&harness), BTreeSet::from(["s2"]));
}

#[test]
fn slice_without_server_at_home_is_reported_as_failed() {
    let mut harness = serving(&[], gather(&["s"], 0.5), &THREE_PLACES[..1]);
    let mut task = task(&["s"], 0);
    task.home_regions = vec![RegionName::new("abroad")];
    receive_task(&mut harness, task);
    assert_eq!(reports(&harness)[0].failed.len(), 1);
    assert!(harness.sent.is_empty());
}

#[test]
fn request_without_server_at_home_is_refused_at_once() {
    let mut harness = serving(&["abroad"], service("s"), &THREE_PLACES[..1]);
    let caller = harness.send_request("/x");
    assert_matches!(
        harness.answers.get(&caller),
        Some(GatewayAnswer::Refused {
            reason: RefusalReason::NoServerAtHome,
            status: RefusalStatus::NotRun,
            ..
        })
    );
}

#[test]
fn callers_retry_without_server_at_home_is_refused_at_once() {
    let mut harness = serving(&["abroad"], service("s"), &THREE_PLACES[..1]);
    for _ in 0..5 {
        harness.send_request("/x");
    }
    let caller = harness.send_request_with_timeout("/x", millis(1_200));
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
}

#[test]
fn gather_with_too_few_shards_at_home_is_refused_at_once() {
    let servers = [[NEAR, "x1", "x"], [ABROAD, "y1", "y"]];
    let mut harness = serving(&["region"], gather(&["x", "y"], 0.9), &servers);
    let caller = harness.send_request("/x");
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
    assert!(harness.sent.is_empty());
}

#[test]
fn gather_omits_shards_without_server_at_home() {
    let servers = [[NEAR, "x1", "x"], [ABROAD, "y1", "y"]];
    let mut harness = serving(&["region"], gather(&["x", "y"], 0.5), &servers);
    let caller = harness.send_request("/x");
    let attempt = harness.sent_for(caller).remove(0).attempt;
    harness.reply(attempt, answer(RECORD));
    assert_eq!(used(&harness), BTreeSet::from(["x1"]));
    assert_matches!(
        harness.answers.get(&caller),
        Some(GatewayAnswer::Gathered { missing: 1, .. })
    );
}

#[test]
fn task_of_a_slice_names_the_homes() {
    let mut harness = node_with_peers(SMALL_CORE_SHARE);
    let homes = vec![RegionName::new("region")];
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut search = route("/search/", gather(&shards, 0.9), Repeatability::Repeatable);
    search.latency_objective = millis(200);
    search.home_regions = homes.clone();
    let object = ViewObject::Configuration(configuration(2, vec![search]));
    harness.watch_reply(ViewKind::Configuration, vec![object], 60);
    harness.advance(millis(1_000));
    harness.send_request("/search/1");
    assert!(!harness.tasks.is_empty());
    let tasks = harness.tasks.iter();
    assert!(
        tasks
            .map(|(_, task)| &task.home_regions)
            .all(|named| *named == homes)
    );
}

/// A member of the region `abroad`.
fn member_abroad(number: u8) -> MemberRecord {
    let endpoint = peer(number);
    MemberRecord {
        endpoint,
        operator_address: endpoint.address,
        name: NodeName::new(format!("peer-{number}")),
        zone: ZoneName::new(ABROAD),
        region: RegionName::new("abroad"),
        incarnation: Incarnation(0),
        state: MemberState::Alive,
    }
}

#[test]
fn slice_is_not_given_to_a_member_of_another_region() {
    let mut harness = node_with_peers(SMALL_CORE_SHARE);
    let abroad: Vec<MemberRecord> = (100..120).map(member_abroad).collect();
    for member in &abroad {
        let member = member.clone();
        let from = member.endpoint;
        let message = PeerMessage::Membership(MembershipMessage::Join { member });
        harness.event(GatewayEvent::PeerMessage { from, message });
    }
    let servers = (0..SHARDS).map(|shard| {
        let (id, service) = (format!("far-{shard}"), format!("shard-{shard}"));
        let mut instance = instance(&id, &service, InstanceState::Ready);
        instance.zone = ZoneName::new(ABROAD);
        ViewObject::Instance(StoreRevision::without_era(60), instance)
    });
    harness.watch_reply(ViewKind::Registry, servers.collect(), 60);
    harness.advance(millis(400));
    for silent in 0..5 {
        harness.send_request("/search/1");
        let mut tasks = std::mem::take(&mut harness.tasks);
        tasks.remove(silent);
        report_all(&mut harness, &tasks);
        // The slice of the silent owner goes to the next one.
        harness.advance(millis(300));
    }
    assert!(!harness.tasks.is_empty());
    let owners = harness.tasks.iter().map(|(owner, _)| *owner);
    let is_abroad = |owner| abroad.iter().any(|member| member.endpoint.address == owner);
    assert_eq!(owners.filter(|owner| is_abroad(*owner)).count(), 0);
}
