//! When a second attempt is made.

use super::support::{Harness, answer, millis, route, service};
use std::time::Duration;
use thornbridge_config::routes::Repeatability::Repeatable;

/// A gateway that has learnt that its servers take five milliseconds.
fn experienced() -> Harness {
    let routes = vec![route("/", service("s"), Repeatable)];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("s2", "s")]);
    for _ in 0..40 {
        harness.ask("/x");
        harness.wait(millis(5));
        for attempt in std::mem::take(&mut harness.sent) {
            harness.reply(attempt.attempt, answer(b""));
        }
    }
    harness
}

/// When the second attempt of a request that is not answered leaves.
fn second_attempt_after(harness: &mut Harness) -> Duration {
    let caller = harness.ask("/x");
    let asked = harness.now;
    while harness.sent_for(caller).len() < 2 {
        harness.wait(millis(1));
        assert!(harness.now.since(asked) < millis(500), "none was made");
    }
    harness.now.since(asked)
}

#[test]
fn a_second_attempt_leaves_while_it_may_still_come_in_time() {
    let mut harness = experienced();
    let after = second_attempt_after(&mut harness);
    // 89 ms are left for the answer; one attempt takes 6.
    assert!(after <= millis(89 - 6), "{after:?}");
}

#[test]
fn a_second_attempt_is_not_made_long_before_it_is_needed() {
    let mut harness = experienced();
    let after = second_attempt_after(&mut harness);
    assert!(after >= millis(40), "{after:?}");
}
