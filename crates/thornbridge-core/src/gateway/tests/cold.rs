//! The bound on what cold servers get, at one node that is alone.

use super::slice_support::{receive_task, task};
use super::support::{
    Harness, RECORD, answer, configuration, millis, route, server_address, verdict,
};
use crate::driver_action::CallerId;
use crate::gateway::{
    GatewayEvent, GatewayParameters, ReplyVerdict, ServerParameters, ViewKind, ViewObject,
    WarmUpBound,
};
use std::time::Duration;
use thornbridge_config::routes::{Repeatability, RouteTarget, WarmUp};
use thornbridge_proto::peer::view::{Instance, InstanceState, StoreRevision};
use thornbridge_proto::{ServiceName, ZoneName};

/// Requests a second that a cold server bears.
const REQUESTS_PER_S: f64 = 4.0;
const BOUND: WarmUpBound = WarmUpBound {
    overage: 1.5,
    slack: 5.0,
};
/// The bound of eleven less a tenth.
const DIVIDED: usize = 9;
const WARM_UP: Duration = Duration::from_secs(10);
const LONG_MS: u32 = 600_000;

fn entry(id: &str, revision: u64, cold_milliseconds: u32) -> ViewObject {
    let mut instance = super::support::instance(id, "s", InstanceState::Ready);
    instance.cold_milliseconds = cold_milliseconds;
    ViewObject::Instance(StoreRevision::without_era(revision), instance)
}

fn bounded() -> GatewayParameters {
    GatewayParameters {
        servers: ServerParameters {
            warm_up_bound: Some(BOUND),
            ..ServerParameters::default()
        },
        ..GatewayParameters::default()
    }
}

/// A gateway that has just started, with these servers of one service.
fn started(parameters: GatewayParameters, servers: Vec<ViewObject>) -> Harness {
    let mut harness = Harness::unconfigured();
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
    harness.list_reply(ViewKind::Registry, servers, 50);
    let target = RouteTarget::Service(ServiceName::new("s"));
    let routes = vec![route("/", target, Repeatability::Repeatable)];
    let mut configuration = configuration(1, routes);
    configuration.services[0].warm_up = Some(WarmUp {
        duration: WARM_UP,
        requests_per_s: REQUESTS_PER_S,
    });
    let object = ViewObject::Configuration(configuration);
    harness.list_reply(ViewKind::Configuration, vec![object], 50);
    harness.list_reply(ViewKind::Evacuations, Vec::new(), 50);
    harness
}

fn serving(parameters: GatewayParameters, servers: Vec<ViewObject>) -> Harness {
    let mut harness = started(parameters, servers);
    harness.advance(millis(5_000));
    harness
}

/// Sends requests that servers answer at once; returns the attempts at a server.
fn send_to(harness: &mut Harness, id: &str, requests: usize) -> usize {
    let mut sent = 0;
    for _ in 0..requests {
        let caller = harness.send_request("/x");
        sent += answer_from(harness, caller, id);
    }
    sent
}

fn answer_from(harness: &mut Harness, caller: CallerId, id: &str) -> usize {
    let attempts = harness.sent_for(caller);
    for attempt in &attempts {
        harness.reply(attempt.attempt, answer(RECORD));
    }
    attempts
        .iter()
        .filter(|attempt| attempt.instance == id)
        .count()
}

fn sent_to(harness: &Harness, id: &str) -> usize {
    let sent = harness.sent.iter();
    sent.filter(|attempt| attempt.instance == id).count()
}

#[test]
fn cold_server_gets_no_more_than_its_bound_in_a_second() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, LONG_MS)]);
    assert_eq!(send_to(&mut harness, "s1", 30), DIVIDED);
}

#[test]
fn cold_server_gets_requests_again_after_a_second() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, LONG_MS)]);
    send_to(&mut harness, "s1", DIVIDED);
    harness.advance(millis(1_300));
    assert!(send_to(&mut harness, "s1", 3) > 0);
}

#[test]
fn requests_beyond_the_bound_go_to_warm_servers() {
    let servers = vec![entry("s1", 10, LONG_MS), entry("s2", 11, 0)];
    let mut harness = serving(bounded(), servers);
    let mut answered = 0;
    for _ in 0..60 {
        let caller = harness.send_request("/x");
        answer_from(&mut harness, caller, "s1");
        answered += usize::from(harness.answers.contains_key(&caller));
    }
    assert_eq!(answered, 60);
    assert!(sent_to(&harness, "s1") <= DIVIDED);
}

#[test]
fn cold_servers_are_not_limited_without_a_bound_in_the_settings() {
    let parameters = GatewayParameters::default();
    let mut harness = serving(parameters, vec![entry("s1", 10, LONG_MS)]);
    assert_eq!(send_to(&mut harness, "s1", 30), 30);
}

#[test]
fn warm_server_is_not_limited() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, 0)]);
    assert_eq!(send_to(&mut harness, "s1", 30), 30);
}

#[test]
fn retry_is_not_sent_to_a_cold_server_beyond_its_bound() {
    let servers = vec![entry("s1", 10, LONG_MS), entry("s2", 11, 0)];
    let mut parameters = bounded();
    parameters.budget.slack = 1_000.0;
    parameters.budget.settling_windows = 0.0;
    let mut harness = serving(parameters, servers);
    for _ in 0..60 {
        let caller = harness.send_request("/x");
        let first = harness.sent_for(caller).remove(0);
        harness.reply(first.attempt, verdict(ReplyVerdict::NotRun));
        for second in harness.sent_for(caller).into_iter().skip(1) {
            harness.reply(second.attempt, answer(RECORD));
        }
    }
    assert!(sent_to(&harness, "s1") <= DIVIDED);
}

#[test]
fn parts_queued_at_a_cold_server_are_not_sent_beyond_its_bound() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, LONG_MS)]);
    let first = harness.send_request("/x");
    harness.hold_connects();
    let callers: Vec<CallerId> = (0..30).map(|_| harness.send_request("/x")).collect();
    harness.open_pending();
    answer_from(&mut harness, first, "s1");
    for caller in callers {
        answer_from(&mut harness, caller, "s1");
    }
    assert_eq!(sent_to(&harness, "s1"), DIVIDED);
}

#[test]
fn slices_count_against_the_bound_of_a_cold_server() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, LONG_MS)]);
    for slice in 0..30 {
        let mut task = task(&["s"], 0);
        task.slice.0 = slice;
        receive_task(&mut harness, task);
        if let Some(attempt) = harness.sent.last().map(|sent| sent.attempt) {
            harness.reply(attempt, answer(RECORD));
        }
    }
    assert_eq!(sent_to(&harness, "s1"), DIVIDED);
}

#[test]
fn changed_entry_makes_a_known_server_cold_again() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, 0)]);
    harness.watch_reply(ViewKind::Registry, vec![entry("s1", 60, LONG_MS)], 60);
    harness.advance(millis(1_300));
    assert_eq!(send_to(&mut harness, "s1", 30), DIVIDED);
}

#[test]
fn requests_sent_just_before_a_server_turned_cold_count() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, 0)]);
    send_to(&mut harness, "s1", 20);
    harness.watch_reply(ViewKind::Registry, vec![entry("s1", 60, LONG_MS)], 60);
    assert_eq!(send_to(&mut harness, "s1", 10), 0);
}

#[test]
fn servers_are_cold_for_the_warm_up_time_after_an_evacuation() {
    let zone = || ZoneName::new("zone");
    let mut harness = serving(bounded(), vec![entry("s1", 10, 0)]);
    let started = ViewObject::EvacuationStarted(zone());
    harness.watch_reply(ViewKind::Evacuations, vec![started], 60);
    harness.advance(millis(2_000));
    let ended = ViewObject::EvacuationEnded(zone());
    harness.watch_reply(ViewKind::Evacuations, vec![ended], 61);
    harness.advance(WARM_UP - millis(500));
    assert_eq!(send_to(&mut harness, "s1", 30), DIVIDED);
}

#[test]
fn restarted_server_is_cold_whatever_its_entry_tells() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, 0)]);
    let restarted = Instance {
        address: server_address("elsewhere"),
        ..super::support::instance("s1", "s", InstanceState::Ready)
    };
    let object = ViewObject::Instance(StoreRevision::without_era(60), restarted);
    harness.watch_reply(ViewKind::Registry, vec![object], 60);
    harness.advance(millis(500));
    assert_eq!(send_to(&mut harness, "s1", 30), DIVIDED);
}

#[test]
fn restarted_node_sends_nothing_to_cold_servers_until_it_has_settled() {
    let mut harness = started(bounded(), vec![entry("s1", 10, LONG_MS)]);
    harness.advance(millis(2_000));
    assert_eq!(send_to(&mut harness, "s1", 5), 0);
}

#[test]
fn request_held_back_waits_for_room() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, LONG_MS)]);
    send_to(&mut harness, "s1", DIVIDED);
    harness.advance(millis(800));
    let caller = harness.send_request("/x");
    assert!(harness.sent_for(caller).is_empty());
    harness.advance(millis(600));
    assert_eq!(harness.sent_for(caller).len(), 1);
}

#[test]
fn members_out_of_sight_keep_their_share_of_the_bound() {
    let mut harness = serving(bounded(), vec![entry("s1", 10, LONG_MS)]);
    harness.add_peers(DIVIDED as u8);
    // The peers answer no probe.
    harness.advance(Duration::from_secs(60));
    assert_eq!(harness.gateway.members(), 1);
    assert!(send_to(&mut harness, "s1", 30) <= 1);
}
