//! Retries of plain requests under the budget of extra attempts.

use super::support::{Harness, RECORD, answer, route, service, verdict};
use crate::driver_action::CallerId;
use crate::gateway::GatewayParameters;
use crate::gateway::event::{GatewayEvent, ReplyVerdict};
use std::time::Duration;
use thornbridge_config::routes::Repeatability::{AtMostOnce, Repeatable};

const WINDOW: Duration = Duration::from_secs(1);

/// Gateway with two servers and one extra attempt per window.
fn one_extra_attempt_per_window() -> Harness {
    let mut retried = route("/", service("s"), AtMostOnce);
    retried.time_limit = WINDOW * 10;
    let mut harness = Harness::serving(vec![retried], &[("s1", "s"), ("s2", "s")]);
    let mut parameters = GatewayParameters::default();
    parameters.budget.ratio = 0.0;
    parameters.budget.slack = 1.2;
    parameters.budget.window = WINDOW;
    parameters.budget.settling_windows = 0.0;
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
    harness
}

fn reject(harness: &mut Harness, caller: CallerId) {
    let first = harness.sent_for(caller)[0].attempt;
    harness.reply(first, verdict(ReplyVerdict::NotRun));
}

/// A request whose retry waits for the connection of another request for longer than a window.
fn retry_queued_behind_other() -> (Harness, CallerId, CallerId) {
    let mut harness = one_extra_attempt_per_window();
    harness.hold_connects();
    let queued = harness.send_request_with_timeout("/x", WINDOW * 8);
    let other = harness.send_request_with_timeout("/x", WINDOW * 8);
    reject(&mut harness, queued);
    assert_eq!(harness.sent_for(queued).len(), 1, "no connection is free");
    harness.advance(WINDOW + WINDOW / 5);
    (harness, queued, other)
}

/// Guards against retries that are charged long before they are sent, and arrive beside those of a
/// later window.
#[test]
fn queued_retry_is_charged_when_it_is_sent() {
    let (mut harness, _, other) = retry_queued_behind_other();
    reject(&mut harness, other);
    harness.advance(WINDOW / 10);
    let retries = harness.sent.len() - 2;
    assert_eq!(retries, 1);
}

/// Guards against connections that are taken for a retry which the budget then denies.
#[test]
fn denied_queued_retry_leaves_connection_to_others() {
    let (mut harness, queued, other) = retry_queued_behind_other();
    harness.disable_extra_attempts();
    let answered = harness.sent_for(other)[0].attempt;
    harness.reply(answered, answer(RECORD));
    assert_eq!(harness.sent_for(queued).len(), 1, "the retry is denied");
    harness.send_request("/x");
    harness.send_request("/x");
    harness.advance(WINDOW / 2);
    assert_eq!(harness.sent.len(), 4, "both connections are used");
}

/// Guards against attempts that arrive at another service, whose server took the address.
#[test]
fn server_whose_address_was_reused_gets_no_more_attempts() {
    let route = route("/", service("s"), Repeatable);
    let mut harness = Harness::serving(vec![route], &[("s1", "s")]);
    for _ in 0..4 {
        let caller = harness.send_request("/x");
        if let Some(sent) = harness.sent_for(caller).first() {
            harness.reply(sent.attempt, verdict(ReplyVerdict::WrongInstance));
        }
        harness.advance(WINDOW);
    }
    assert_eq!(harness.sent.len(), 1);
}
