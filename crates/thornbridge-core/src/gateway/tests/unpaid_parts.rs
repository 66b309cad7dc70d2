//! Gathers whose parts need extra attempts that the budget will not allow in time.

use super::support::{Harness, gather, millis, route, two_servers_per_shard, verdict};
use crate::driver_action::CallerId;
use crate::gateway::{GatewayEvent, GatewayParameters, RefusalStatus, ReplyVerdict};
use thornbridge_config::routes::Repeatability::Repeatable;

const SHARDS: [&str; 4] = ["a", "b", "c", "d"];

/// Gather of four shards, of which three must answer.
fn gathering() -> Harness {
    let routes = vec![route("/", gather(&SHARDS, 0.75), Repeatable)];
    let servers = two_servers_per_shard(&SHARDS);
    let servers: Vec<(&str, &str)> = servers
        .iter()
        .map(|(id, shard)| (id.as_str(), *shard))
        .collect();
    Harness::serving(routes, &servers)
}

/// Sends a gather; its first attempts at these shards are rejected.
fn send_rejected(harness: &mut Harness, rejected: &[&str]) -> CallerId {
    let caller = harness.send_request("/x");
    for attempt in harness.sent_for(caller) {
        let shard = attempt.instance.split('-').next().unwrap_or_default();
        if rejected.contains(&shard) {
            harness.reply(attempt.attempt, verdict(ReplyVerdict::NotRun));
        }
    }
    caller
}

/// Number of attempts for a request at servers of a shard.
fn attempts_at(harness: &Harness, caller: CallerId, shard: &str) -> usize {
    let sent = harness.sent_for(caller);
    let at_shard = sent
        .iter()
        .filter(|attempt| attempt.instance.starts_with(shard));
    at_shard.count()
}

/// Guards against tries that are held until their callers give up although they cannot succeed.
#[test]
fn gather_that_cannot_reach_its_least_share_is_refused_at_once() {
    let mut harness = gathering();
    harness.disable_extra_attempts();
    let caller = send_rejected(&mut harness, &["a", "b"]);
    harness.advance(millis(20));
    assert_eq!(
        harness.refusal_status(caller),
        Some(RefusalStatus::MayHaveRun)
    );
}

#[test]
fn gather_that_may_reach_its_least_share_is_held() {
    let mut harness = gathering();
    harness.disable_extra_attempts();
    let caller = send_rejected(&mut harness, &["a"]);
    harness.advance(millis(20));
    assert!(!harness.answers.contains_key(&caller));
}

/// Guards against refusals of tries that the budget would serve before their end.
#[test]
fn gather_waits_for_a_budget_that_recovers_in_time() {
    let mut harness = gathering();
    let mut parameters = GatewayParameters::default();
    parameters.budget.ratio = 0.0;
    parameters.budget.slack = 1.0 / 0.9;
    parameters.budget.settling_windows = 0.0;
    parameters.budget.window = millis(1_000);
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
    harness.advance(millis(1_500));
    let first = send_rejected(&mut harness, &["a"]);
    harness.advance(millis(20));
    assert_eq!(attempts_at(&harness, first, "a"), 2);
    harness.advance(millis(600));
    let second = send_rejected(&mut harness, &["a"]);
    harness.advance(millis(20));
    assert_eq!(attempts_at(&harness, second, "a"), 1);
    harness.advance(millis(700));
    assert_eq!(attempts_at(&harness, second, "a"), 2);
}
