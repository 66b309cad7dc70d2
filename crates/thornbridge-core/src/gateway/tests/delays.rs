//! Observed answer delays move the soft deadline forward.

use super::support::{Harness, answer, gather, millis, route};
use crate::gateway::exchange::DelayEstimator;
use crate::gateway::{GatewayAnswer, GatewayEvent};
use std::time::Duration;
use thornbridge_config::routes::Repeatability;

#[test]
fn reserve_is_zero_before_first_observation() {
    assert_eq!(DelayEstimator::default().reserve(), Duration::ZERO);
}

#[test]
fn reserve_of_steady_delay_is_close_to_mean() {
    let mut delay = DelayEstimator::default();
    for _ in 0..200 {
        delay.observe(millis(6));
    }
    let reserve = delay.reserve();
    assert!(reserve >= millis(6), "{reserve:?}");
    assert!(reserve < millis(7), "{reserve:?}");
}

#[test]
fn reserve_of_varying_delay_includes_deviation() {
    let mut delay = DelayEstimator::default();
    for round in 0..200 {
        delay.observe(millis(2 + 8 * (round % 2)));
    }
    assert!(delay.reserve() > millis(14), "{:?}", delay.reserve());
}

/// Time after which a gather is answered without its second shard.
fn answered_after(delays: &[Duration]) -> Duration {
    let routes = vec![route(
        "/all/",
        gather(&["a", "b"], 0.5),
        Repeatability::Repeatable,
    )];
    let mut harness = Harness::serving(routes, &[("i-1", "a"), ("i-2", "b")]);
    for delay in delays {
        harness.event(GatewayEvent::AnswerDelayed { delay: *delay });
    }
    let started = harness.now;
    let caller = harness.send_request("/all/x");
    let first = harness.sent_for(caller);
    let first_attempt = first.iter().find(|sent| sent.instance == "i-1");
    let attempt = first_attempt.expect("an attempt at i-1").attempt;
    harness.reply(attempt, answer(b"0000000000000001"));
    while !harness.answers.contains_key(&caller) {
        harness.advance(millis(1));
    }
    let answer = &harness.answers[&caller];
    assert!(matches!(answer, GatewayAnswer::Gathered { missing: 1, .. }));
    harness.now.since(started)
}

#[test]
fn node_with_answer_delay_answers_earlier() {
    let without_delay = answered_after(&[]);
    let with_delay = answered_after(&[millis(8); 50]);
    assert!(
        with_delay + millis(12) < without_delay,
        "{with_delay:?} and {without_delay:?}"
    );
}

#[test]
fn excessive_answer_delay_leaves_time_for_servers() {
    let answered = answered_after(&[Duration::from_secs(3); 10]);
    // The latency objective is 100 ms.
    assert!(answered >= millis(20), "{answered:?}");
}
