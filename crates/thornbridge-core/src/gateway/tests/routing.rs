//! Routes, versions, and servers that come and go.

use super::support::{Harness, answer, configuration, gather, instance, millis, route, service};
use crate::gateway::{GatewayAnswer, RefusalPromise, SourceFailure, ViewKind, ViewObject};
use thornbridge_config::routes::Repeatability::{AtMostOnce, Repeatable};
use thornbridge_config::routes::{RouteTarget, WeightedService};
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::{BackEndId, ServiceName};

fn one_service() -> Harness {
    let routes = vec![route("/", service("s"), Repeatable)];
    Harness::serving(routes, &[("s1", "s"), ("s2", "s")])
}

#[test]
fn the_longest_prefix_that_fits_wins() {
    let routes = vec![
        route("/", service("s"), Repeatable),
        route("/long/", service("t"), Repeatable),
    ];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("t1", "t")]);
    let caller = harness.ask("/long/x");
    assert_eq!(harness.sent_for(caller)[0].instance, "t1");
    let caller = harness.ask("/longer");
    assert_eq!(harness.sent_for(caller)[0].instance, "s1");
}

#[test]
fn what_no_route_allows_is_not_found() {
    let routes = vec![route("/only/", service("s"), Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s")]);
    let caller = harness.ask("/other/x");
    assert_eq!(harness.refused(caller), Some(RefusalPromise::NotFound));
}

#[test]
fn without_a_configuration_callers_wait_and_are_then_told_to_come_back() {
    let mut harness = Harness::started();
    let caller = harness.ask("/x");
    harness.wait(millis(500));
    assert!(!harness.answers.contains_key(&caller));
    harness.wait(millis(300));
    let Some(GatewayAnswer::Refused { retry_after, .. }) = harness.answers.get(&caller) else {
        panic!("{:?}", harness.answers);
    };
    let after = retry_after.expect("a time to come back");
    assert!(after > millis(50) && after < millis(1_000), "{after:?}");
}

#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut harness = one_service();
    let leaving = instance("s1", "s", InstanceState::Draining);
    let leaving = ViewObject::Instance(StoreRevision::without_era(60), leaving);
    harness.changes(ViewKind::Registry, vec![leaving], 60);
    for _ in 0..20 {
        let caller = harness.ask("/x");
        let sent = harness.sent_for(caller);
        assert_eq!(sent[0].instance, "s2");
        harness.reply(sent[0].attempt, answer(b""));
    }
}

#[test]
fn a_server_whose_entry_vanished_is_a_last_choice_for_a_while() {
    let mut harness = one_service();
    let gone = |id: &str| ViewObject::Departed(StoreRevision::without_era(60), BackEndId::new(id));
    harness.changes(ViewKind::Registry, vec![gone("s1")], 60);
    let caller = harness.ask("/x");
    let sent = harness.sent_for(caller);
    assert_eq!(sent[0].instance, "s2");
    harness.wait(millis(400));
    harness.changes(ViewKind::Registry, vec![gone("s2")], 61);
    let caller = harness.ask("/x");
    assert_eq!(harness.sent_for(caller).len(), 1);
    harness.wait(millis(2_000));
    let caller = harness.ask("/x");
    assert!(harness.sent_for(caller).is_empty());
    assert_eq!(harness.refused(caller), Some(RefusalPromise::NotRun));
}

#[test]
fn an_older_version_is_never_put_in_force() {
    let mut harness = one_service();
    let newer = configuration(9, vec![route("/nine/", service("s"), Repeatable)]);
    harness.changes(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(newer)],
        60,
    );
    harness.wait(millis(1_000));
    let older = configuration(5, vec![route("/five/", service("s"), Repeatable)]);
    harness.changes(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(older)],
        61,
    );
    harness.wait(millis(1_000));
    assert_eq!(harness.gateway.version(), 9);
}

#[test]
fn a_version_with_new_shards_waits_for_connections_but_not_for_long() {
    let routes = vec![route("/", gather(&["a"], 0.5), Repeatable)];
    let mut harness = Harness::serving(routes, &[("a1", "a")]);
    let moved = configuration(2, vec![route("/", gather(&["b"], 0.5), Repeatable)]);
    harness.changes(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(moved)],
        60,
    );
    harness.wait(millis(900));
    assert_eq!(harness.gateway.version(), 2);
}

#[test]
fn wrong_configurations_are_kept_out() {
    let mut harness = one_service();
    let wrong = configuration(2, vec![route("/", gather(&["a"], 0.5), AtMostOnce)]);
    harness.changes(
        ViewKind::Configuration,
        vec![ViewObject::Configuration(wrong)],
        60,
    );
    harness.wait(millis(1_000));
    assert_eq!(harness.gateway.version(), 1);
}

#[test]
fn a_split_gives_each_part_its_share() {
    let part = |name: &str, weight| WeightedService {
        service: ServiceName::new(name),
        weight,
    };
    let split = RouteTarget::Split(vec![part("s", 3.0), part("t", 1.0)]);
    let routes = vec![route("/", split, Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("t1", "t")]);
    let mut first = 0;
    for _ in 0..100 {
        let caller = harness.ask("/x");
        let sent = harness.sent_for(caller);
        first += u32::from(sent[0].instance == "s1");
        harness.reply(sent[0].attempt, answer(b""));
    }
    assert_eq!(first, 75);
}

#[test]
fn history_that_is_gone_is_followed_by_a_list() {
    let mut harness = one_service();
    harness.source(ViewKind::Registry, Err(SourceFailure::HistoryGone));
    let third = instance("s3", "s", InstanceState::Ready);
    let objects = vec![ViewObject::Instance(StoreRevision::without_era(70), third)];
    harness.list(ViewKind::Registry, objects, 70);
    harness.wait(millis(2_500));
    for _ in 0..10 {
        let caller = harness.ask("/x");
        let sent = harness.sent_for(caller);
        assert_eq!(sent[0].instance, "s3");
        harness.reply(sent[0].attempt, answer(b""));
    }
}

/// Found by these tests: a node that found nobody wanted a list of machines that nobody gave it,
/// and its timer was due again at once, for ever.
#[test]
fn a_node_alone_rests_between_its_timers() {
    let mut harness = Harness::started();
    harness.wait(millis(60_000));
    assert!(harness.timers < 1_000, "{} timers", harness.timers);
}
