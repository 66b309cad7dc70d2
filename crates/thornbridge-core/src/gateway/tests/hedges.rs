//! When a hedge is sent.

use super::support::{Harness, answer, millis, route, service};
use std::time::Duration;
use thornbridge_config::routes::Repeatability::Repeatable;

/// Gateway that has observed server latencies of 5 ms.
fn gateway_with_observed_latency() -> Harness {
    let routes = vec![route("/", service("s"), Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("s2", "s")]);
    for _ in 0..40 {
        harness.send_request("/x");
        harness.advance(millis(5));
        for attempt in std::mem::take(&mut harness.sent) {
            harness.reply(attempt.attempt, answer(b""));
        }
    }
    harness
}

/// Time until the hedge of an unanswered request.
fn time_to_hedge(harness: &mut Harness) -> Duration {
    let caller = harness.send_request("/x");
    let started = harness.now;
    while harness.sent_for(caller).len() < 2 {
        harness.advance(millis(1));
        assert!(
            harness.now.since(started) < millis(500),
            "no hedge within 500 ms"
        );
    }
    harness.now.since(started)
}

#[test]
fn hedge_is_sent_in_time_to_answer() {
    let mut harness = gateway_with_observed_latency();
    let after = time_to_hedge(&mut harness);
    // 89 ms remain until the soft deadline, and an attempt takes 6 ms.
    assert!(after <= millis(89 - 6), "{after:?}");
}

#[test]
fn hedge_is_not_sent_early() {
    let mut harness = gateway_with_observed_latency();
    let after = time_to_hedge(&mut harness);
    assert!(after >= millis(40), "{after:?}");
}
