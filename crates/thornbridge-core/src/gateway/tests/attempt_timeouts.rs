//! Time that servers are given for attempts.

use super::support::{Harness, SentAttempt, millis, route, service, verdict};
use crate::gateway::event::ReplyVerdict;
use std::time::Duration;
use thornbridge_config::routes::Repeatability::{self, AtMostOnce, Repeatable};

const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time from the sending of an attempt until a busy server reads it.
const READ_DELAY: Duration = Duration::from_secs(1);
/// Time beyond its request for which an attempt may run.
const TOLERANCE: Duration = Duration::from_millis(500);

/// First and second attempt of a request whose first one is rejected, and the time between them.
fn two_attempts(repeatability: Repeatability) -> (SentAttempt, SentAttempt, Duration) {
    let mut route = route("/", service("s"), repeatability);
    route.time_limit = CALLER_TIMEOUT;
    let mut harness = Harness::serving(vec![route], &[("s1", "s"), ("s2", "s")]);
    let started = harness.now;
    let caller = harness.send_request_with_timeout("/x", CALLER_TIMEOUT);
    harness.advance(millis(10));
    let first = harness.sent_for(caller)[0].clone();
    harness.reply(first.attempt, verdict(ReplyVerdict::NotRun));
    harness.advance(millis(10));
    let repeat = harness.sent_for(caller)[1].clone();
    (first, repeat, harness.now.since(started))
}

/// Guards against repeats that servers work on after their request has ended.
#[test]
fn repeat_that_is_read_late_ends_with_its_request() {
    let (_, repeat, sent_after) = two_attempts(Repeatable);
    let ends_after = sent_after + READ_DELAY + repeat.caller_timeout;
    assert!(ends_after <= CALLER_TIMEOUT + TOLERANCE, "{ends_after:?}");
}

#[test]
fn first_attempt_gets_all_remaining_time() {
    let (first, _, _) = two_attempts(Repeatable);
    assert!(first.caller_timeout >= CALLER_TIMEOUT - TOLERANCE);
}

/// A timeout at the server would end the request: it may have run.
#[test]
fn retry_that_may_run_once_gets_all_remaining_time() {
    let (_, retry, sent_after) = two_attempts(AtMostOnce);
    assert!(retry.caller_timeout >= CALLER_TIMEOUT - sent_after - TOLERANCE);
}
