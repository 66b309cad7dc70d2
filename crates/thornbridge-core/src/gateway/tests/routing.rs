//! Tests of routes, configuration versions and registry changes.

use super::support::{Harness, answer, configuration, gather, instance, millis, route, service};
use crate::gateway::{GatewayAnswer, RefusalStatus, SourceFailure, ViewKind, ViewObject};
use thornbridge_config::routes::Repeatability::{AtMostOnce, Repeatable};
use thornbridge_config::routes::{RouteTarget, WeightedService};
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::{BackEndId, ServiceName};

fn gateway_with_two_servers() -> Harness {
    let routes = vec![route("/", service("s"), Repeatable)];
    Harness::serving(routes, &[("s1", "s"), ("s2", "s")])
}

#[test]
fn longest_matching_prefix_wins() {
    let routes = vec![
        route("/", service("s"), Repeatable),
        route("/long/", service("t"), Repeatable),
    ];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("t1", "t")]);
    let caller = harness.send_request("/long/x");
    assert_eq!(harness.sent_for(caller)[0].instance, "t1");
    let caller = harness.send_request("/longer");
    assert_eq!(harness.sent_for(caller)[0].instance, "s1");
}

#[test]
fn request_without_route_is_not_found() {
    let routes = vec![route("/only/", service("s"), Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s")]);
    let caller = harness.send_request("/other/x");
    assert_eq!(
        harness.refusal_status(caller),
        Some(RefusalStatus::NotFound)
    );
}

#[test]
fn request_waits_for_configuration_then_gets_retry_after() {
    let mut harness = Harness::unconfigured();
    let caller = harness.send_request("/x");
    harness.advance(millis(500));
    assert!(!harness.answers.contains_key(&caller));
    harness.advance(millis(300));
    let Some(GatewayAnswer::Refused { retry_after, .. }) = harness.answers.get(&caller) else {
        panic!("{:?}", harness.answers);
    };
    let retry_after = retry_after.expect("refusal without retry_after");
    assert!(
        retry_after > millis(50) && retry_after < millis(1_000),
        "{retry_after:?}"
    );
}

#[test]
fn draining_server_gets_no_requests() {
    let mut harness = gateway_with_two_servers();
    let draining = instance("s1", "s", InstanceState::Draining);
    let draining = ViewObject::Instance(StoreRevision::without_era(60), draining);
    harness.watch_reply(ViewKind::Registry, vec![draining], 60);
    for _ in 0..20 {
        let caller = harness.send_request("/x");
        let sent = harness.sent_for(caller);
        assert_eq!(sent[0].instance, "s2");
        harness.reply(sent[0].attempt, answer(b""));
    }
}

#[test]
fn removed_server_is_last_resort_during_grace_period() {
    let mut harness = gateway_with_two_servers();
    let removed =
        |id: &str| ViewObject::InstanceRemoved(StoreRevision::without_era(60), BackEndId::new(id));
    harness.watch_reply(ViewKind::Registry, vec![removed("s1")], 60);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    assert_eq!(sent[0].instance, "s2");
    harness.advance(millis(400));
    harness.watch_reply(ViewKind::Registry, vec![removed("s2")], 61);
    let caller = harness.send_request("/x");
    assert_eq!(harness.sent_for(caller).len(), 1);
    harness.advance(millis(2_000));
    let caller = harness.send_request("/x");
    assert!(harness.sent_for(caller).is_empty());
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
}

#[test]
fn older_configuration_is_not_activated() {
    let mut harness = gateway_with_two_servers();
    let newer = configuration(9, vec![route("/nine/", service("s"), Repeatable)]);
    harness.watch_reply(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(newer)],
        60,
    );
    harness.advance(millis(1_000));
    let older = configuration(5, vec![route("/five/", service("s"), Repeatable)]);
    harness.watch_reply(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(older)],
        61,
    );
    harness.advance(millis(1_000));
    assert_eq!(harness.gateway.configuration_version(), 9);
}

#[test]
fn configuration_with_new_shards_is_activated_within_staging_time() {
    let routes = vec![route("/", gather(&["a"], 0.5), Repeatable)];
    let mut harness = Harness::serving(routes, &[("a1", "a")]);
    let replacement = configuration(2, vec![route("/", gather(&["b"], 0.5), Repeatable)]);
    harness.watch_reply(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(replacement)],
        60,
    );
    harness.advance(millis(900));
    assert_eq!(harness.gateway.configuration_version(), 2);
}

#[test]
fn invalid_configuration_is_rejected() {
    let mut harness = gateway_with_two_servers();
    let invalid = configuration(2, vec![route("/", gather(&["a"], 0.5), AtMostOnce)]);
    harness.watch_reply(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(invalid)],
        60,
    );
    harness.advance(millis(1_000));
    assert_eq!(harness.gateway.configuration_version(), 1);
}

#[test]
fn split_follows_weights() {
    let part = |name: &str, weight| WeightedService {
        service: ServiceName::new(name),
        weight,
    };
    let split = RouteTarget::Split(vec![part("s", 3.0), part("t", 1.0)]);
    let routes = vec![route("/", split, Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("t1", "t")]);
    let mut sent_to_s1 = 0;
    for _ in 0..100 {
        let caller = harness.send_request("/x");
        let sent = harness.sent_for(caller);
        sent_to_s1 += u32::from(sent[0].instance == "s1");
        harness.reply(sent[0].attempt, answer(b""));
    }
    assert_eq!(sent_to_s1, 75);
}

#[test]
fn compacted_history_triggers_list() {
    let mut harness = gateway_with_two_servers();
    harness.source_reply(ViewKind::Registry, Err(SourceFailure::HistoryCompacted));
    let third = instance("s3", "s", InstanceState::Ready);
    let objects = vec![ViewObject::Instance(StoreRevision::without_era(70), third)];
    harness.list_reply(ViewKind::Registry, objects, 70);
    harness.advance(millis(2_500));
    for _ in 0..10 {
        let caller = harness.send_request("/x");
        let sent = harness.sent_for(caller);
        assert_eq!(sent[0].instance, "s3");
        harness.reply(sent[0].attempt, answer(b""));
    }
}

/// Guards against a timer that is due again immediately because the machine list, which a gateway
/// does not have, is requested over and over.
#[test]
fn single_node_does_not_spin_on_timers() {
    let mut harness = Harness::unconfigured();
    harness.advance(millis(60_000));
    assert!(harness.timers < 1_000, "{} timers", harness.timers);
}
