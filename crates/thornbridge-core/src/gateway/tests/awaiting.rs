//! Requests that cannot be served yet: which are told to come back, and which are kept.

use super::support::{
    Harness, answer_all, configuration, gather, instance, millis, route, service, verdict,
};
use crate::gateway::{
    GatewayEvent, GatewayParameters, RefusalPromise, ReplyVerdict, ViewKind, ViewObject,
};
use std::time::Duration;
use thornbridge_config::routes::Repeatability::Repeatable;
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};

/// A gateway whose store has answered nothing for half a second.
fn without_views() -> Harness {
    let mut harness = Harness::started();
    harness.wait(millis(500));
    harness
}

fn learn_views(harness: &mut Harness, servers: &[(&str, &str)]) {
    let instances = servers.iter().enumerate().map(|(index, (id, service))| {
        let revision = StoreRevision::without_era(10 + index as u64);
        ViewObject::Instance(revision, instance(id, service, InstanceState::Ready))
    });
    let instances: Vec<ViewObject> = instances.collect();
    let target = gather(&["a", "b"], 0.9);
    let routes = vec![route("/", target, Repeatable)];
    let configuration = ViewObject::Configuration(configuration(1, routes));
    // A reader that pauses takes no answer.
    while harness.gateway.instances() == 0 || harness.gateway.version() == 0 {
        if harness.gateway.instances() == 0 {
            harness.list(ViewKind::Registry, instances.clone(), 50);
        }
        if harness.gateway.version() == 0 {
            harness.list(ViewKind::Configuration, vec![configuration.clone()], 50);
        }
        harness.wait(millis(10));
    }
}

#[test]
fn a_first_try_is_told_to_come_back_at_once_while_no_view_is_known() {
    let mut harness = without_views();
    // Two that state the same, and the most: these are first tries.
    harness.ask("/x/1");
    harness.ask("/x/2");
    let caller = harness.ask("/x/3");
    assert_eq!(harness.refused(caller), Some(RefusalPromise::NotRun));
    let back = harness.comes_back(caller).unwrap();
    assert!(back >= millis(300) && back <= millis(666), "{back:?}");
}

#[test]
fn a_first_try_waits_while_the_views_may_come_any_moment() {
    let mut harness = Harness::started();
    harness.wait(millis(20));
    let callers = [1, 2, 3].map(|n| harness.ask(&format!("/x/{n}")));
    assert!(callers.iter().all(|c| !harness.answers.contains_key(c)));
}

#[test]
fn a_later_try_is_kept_while_no_view_is_known() {
    let mut harness = without_views();
    harness.ask("/x/1");
    harness.ask("/x/2");
    let later = harness.ask_with("/x/3", millis(1_400));
    harness.wait(millis(400));
    assert!(!harness.answers.contains_key(&later));
    learn_views(&mut harness, &[("a1", "a"), ("b1", "b")]);
    answer_all(&mut harness);
    assert!(harness.refused(later).is_none());
    assert!(harness.answers.contains_key(&later));
}

#[test]
fn a_later_try_is_judged_again_by_those_that_came_after_it() {
    let mut harness = without_views();
    let later = harness.ask_with("/x/1", millis(1_400));
    harness.ask("/x/2");
    harness.wait(millis(1_000));
    assert!(!harness.answers.contains_key(&later));
    harness.wait(millis(500));
    assert_eq!(harness.refused(later), Some(RefusalPromise::NotRun));
}

#[test]
fn patience_is_counted_from_the_arrival() {
    let mut harness = without_views();
    let caller = harness.ask_with("/x/1", millis(1_400));
    harness.wait(millis(200));
    learn_views(&mut harness, &[("a1", "a"), ("b1", "b")]);
    let sent = harness.sent_for(caller);
    assert_eq!(sent.len(), 2);
    // The route's time limit of a second counts from the arrival, too.
    assert!(sent[0].patience <= millis(800), "{:?}", sent[0].patience);
}

fn serving_one_of_two_shards() -> Harness {
    let mut harness = Harness::started();
    learn_views(&mut harness, &[("a1", "a")]);
    harness.wait(millis(500));
    harness
}

#[test]
fn a_first_try_is_told_to_come_back_at_once_while_too_few_shards_are_registered() {
    let mut harness = serving_one_of_two_shards();
    harness.ask("/x");
    harness.ask("/x");
    let caller = harness.ask("/x");
    assert_eq!(harness.refused(caller), Some(RefusalPromise::NotRun));
    assert!(harness.comes_back(caller).unwrap() >= millis(300));
    assert!(harness.sent_for(caller).is_empty());
}

fn with_budget(harness: &mut Harness, ratio: f64) {
    let mut parameters = GatewayParameters::default();
    parameters.budget.ratio = ratio;
    parameters.budget.slack = 0.0;
    parameters.budget.settling_windows = 0.0;
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
}

#[test]
fn a_later_try_that_a_server_refused_waits_for_the_budget() {
    let routes = vec![route("/", service("s"), Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("s2", "s")]);
    with_budget(&mut harness, 0.0);
    for _ in 0..2 {
        harness.ask("/x");
        answer_all(&mut harness);
    }
    let first = harness.ask("/x");
    let refused = harness.sent_for(first)[0].attempt;
    harness.reply(refused, verdict(ReplyVerdict::NotRun));
    assert_eq!(harness.refused(first), Some(RefusalPromise::NotRun));

    let later = harness.ask_with("/x", millis(1_500));
    let refused = harness.sent_for(later)[0].attempt;
    harness.reply(refused, verdict(ReplyVerdict::NotRun));
    harness.wait(millis(300));
    assert!(!harness.answers.contains_key(&later));
    with_budget(&mut harness, 1.0);
    harness.wait(millis(50));
    assert_eq!(harness.sent_for(later).len(), 2);
}

#[test]
fn a_later_try_waits_for_shards_that_are_not_registered() {
    let mut harness = serving_one_of_two_shards();
    harness.ask("/x");
    harness.ask("/x");
    // Long after the start, too: the store may have been away.
    harness.wait(Duration::from_secs(6));
    let later = harness.ask_with("/x", millis(1_500));
    harness.wait(millis(700));
    assert!(!harness.answers.contains_key(&later));
}
