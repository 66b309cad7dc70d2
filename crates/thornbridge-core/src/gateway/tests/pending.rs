//! Requests that cannot be served yet: first tries are refused, retries are kept.

use super::support::{
    Harness, answer_all, configuration, gather, instance, millis, route, service, verdict,
};
use crate::gateway::{
    GatewayEvent, GatewayParameters, RefusalStatus, ReplyVerdict, ViewKind, ViewObject,
};
use std::time::Duration;
use thornbridge_config::routes::Repeatability::Repeatable;
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};

/// Gateway whose store has not answered for 500 ms.
fn gateway_without_views() -> Harness {
    let mut harness = Harness::unconfigured();
    harness.advance(millis(500));
    harness
}

fn load_views(harness: &mut Harness, servers: &[(&str, &str)]) {
    let instances = servers.iter().enumerate().map(|(index, (id, service))| {
        let revision = StoreRevision::without_era(10 + index as u64);
        ViewObject::Instance(revision, instance(id, service, InstanceState::Ready))
    });
    let instances: Vec<ViewObject> = instances.collect();
    let target = gather(&["a", "b"], 0.9);
    let routes = vec![route("/", target, Repeatable)];
    let configuration = ViewObject::Configuration(configuration(1, routes));
    // A paused reader accepts no reply.
    while harness.gateway.registered_instances() == 0
        || harness.gateway.configuration_version() == 0
    {
        if harness.gateway.registered_instances() == 0 {
            harness.list_reply(ViewKind::Registry, instances.clone(), 50);
        }
        if harness.gateway.configuration_version() == 0 {
            harness.list_reply(ViewKind::Configuration, vec![configuration.clone()], 50);
        }
        harness.advance(millis(10));
    }
}

#[test]
fn first_try_is_refused_at_once_without_views() {
    let mut harness = gateway_without_views();
    // Two requests with the longest caller timeout identify it as that of first tries.
    harness.send_request("/x/1");
    harness.send_request("/x/2");
    let caller = harness.send_request("/x/3");
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
    let retry_after = harness.retry_after(caller).unwrap();
    assert!(
        retry_after >= millis(300) && retry_after <= millis(666),
        "{retry_after:?}"
    );
}

#[test]
fn first_try_waits_while_views_load() {
    let mut harness = Harness::unconfigured();
    harness.advance(millis(20));
    let callers = [1, 2, 3].map(|n| harness.send_request(&format!("/x/{n}")));
    assert!(
        callers
            .iter()
            .all(|caller| !harness.answers.contains_key(caller))
    );
}

#[test]
fn caller_retry_is_kept_without_views() {
    let mut harness = gateway_without_views();
    harness.send_request("/x/1");
    harness.send_request("/x/2");
    let retry = harness.send_request_with_timeout("/x/3", millis(1_400));
    harness.advance(millis(400));
    assert!(!harness.answers.contains_key(&retry));
    load_views(&mut harness, &[("a1", "a"), ("b1", "b")]);
    answer_all(&mut harness);
    assert!(harness.refusal_status(retry).is_none());
    assert!(harness.answers.contains_key(&retry));
}

#[test]
fn caller_retry_is_reclassified_by_later_requests() {
    let mut harness = gateway_without_views();
    let retry = harness.send_request_with_timeout("/x/1", millis(1_400));
    harness.send_request("/x/2");
    harness.advance(millis(1_000));
    assert!(!harness.answers.contains_key(&retry));
    harness.advance(millis(500));
    assert_eq!(harness.refusal_status(retry), Some(RefusalStatus::NotRun));
}

#[test]
fn caller_timeout_counts_from_arrival() {
    let mut harness = gateway_without_views();
    let caller = harness.send_request_with_timeout("/x/1", millis(1_400));
    harness.advance(millis(200));
    load_views(&mut harness, &[("a1", "a"), ("b1", "b")]);
    let sent = harness.sent_for(caller);
    assert_eq!(sent.len(), 2);
    // The route's time limit of 1 s counts from arrival too.
    assert!(
        sent[0].caller_timeout <= millis(800),
        "{:?}",
        sent[0].caller_timeout
    );
}

fn serving_one_of_two_shards() -> Harness {
    let mut harness = Harness::unconfigured();
    load_views(&mut harness, &[("a1", "a")]);
    harness.advance(millis(500));
    harness
}

#[test]
fn first_try_with_too_few_shards_is_refused_immediately() {
    let mut harness = serving_one_of_two_shards();
    harness.send_request("/x");
    harness.send_request("/x");
    let caller = harness.send_request("/x");
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
    assert!(harness.retry_after(caller).unwrap() >= millis(300));
    assert!(harness.sent_for(caller).is_empty());
}

fn set_budget_ratio(harness: &mut Harness, ratio: f64) {
    let mut parameters = GatewayParameters::default();
    parameters.budget.ratio = ratio;
    parameters.budget.slack = 0.0;
    parameters.budget.settling_windows = 0.0;
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
}

#[test]
fn rejected_caller_retry_waits_for_budget() {
    let routes = vec![route("/", service("s"), Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("s2", "s")]);
    set_budget_ratio(&mut harness, 0.0);
    for _ in 0..2 {
        harness.send_request("/x");
        answer_all(&mut harness);
    }
    let first = harness.send_request("/x");
    let rejected = harness.sent_for(first)[0].attempt;
    harness.reply(rejected, verdict(ReplyVerdict::NotRun));
    assert_eq!(harness.refusal_status(first), Some(RefusalStatus::NotRun));

    let retry = harness.send_request_with_timeout("/x", millis(1_500));
    let rejected = harness.sent_for(retry)[0].attempt;
    harness.reply(rejected, verdict(ReplyVerdict::NotRun));
    harness.advance(millis(300));
    assert!(!harness.answers.contains_key(&retry));
    set_budget_ratio(&mut harness, 1.0);
    harness.advance(millis(50));
    assert_eq!(harness.sent_for(retry).len(), 2);
}

#[test]
fn caller_retry_waits_for_unregistered_shards() {
    let mut harness = serving_one_of_two_shards();
    harness.send_request("/x");
    harness.send_request("/x");
    // The settling time after the start has passed.
    harness.advance(Duration::from_secs(6));
    let retry = harness.send_request_with_timeout("/x", millis(1_500));
    harness.advance(millis(700));
    assert!(!harness.answers.contains_key(&retry));
}
