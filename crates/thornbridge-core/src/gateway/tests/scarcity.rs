//! Servers at their connection limit, which reset connections right after accepting them.

use super::support::{Harness, answer, answer_all, gather, millis, route};
use crate::gateway::{ExchangeFailure, GatewayEvent};
use thornbridge_config::routes::Repeatability::Repeatable;

const RECORD: &[u8] = b"0000000000000001";

/// Two shards of two servers each, with one busy connection to each server.
fn busy() -> Harness {
    let target = gather(&["a", "b"], 1.0);
    let servers = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let mut harness = Harness::serving(vec![route("/", target, Repeatable)], &servers);
    harness.send_request("/x");
    harness.send_request("/x");
    harness
}

/// [`busy`], after a server refused a connection.
fn refusing() -> Harness {
    let mut harness = busy();
    harness.reset_next_connections(1);
    harness.send_request("/x");
    harness.advance(millis(10));
    harness
}

#[test]
fn fresh_connection_is_on_probation_after_refusal() {
    let mut harness = refusing();
    let caller = harness.send_request("/x");
    harness.advance(millis(4));
    assert_eq!(harness.sent_for(caller).len(), 0);
    harness.advance(millis(20));
    assert_eq!(harness.sent_for(caller).len(), 2);
}

#[test]
fn fresh_connection_is_used_at_once_without_refusals() {
    let mut harness = busy();
    let caller = harness.send_request("/x");
    assert_eq!(harness.sent_for(caller).len(), 2);
}

#[test]
fn refused_connection_does_not_count_as_attempt() {
    let mut harness = refusing();
    harness.reset_next_connections(2);
    let caller = harness.send_request("/x");
    harness.advance(millis(60));
    let sent = harness.sent_for(caller);
    assert_eq!(sent.len(), 2, "each part is sent to its other server");
    for attempt in sent {
        harness.reply(attempt.attempt, answer(RECORD));
    }
    assert!(harness.answers.contains_key(&caller));
    assert!(harness.refusal_status(caller).is_none());
}

#[test]
fn part_waits_for_unreachable_server() {
    let mut harness = refusing();
    let caller = harness.send_request("/x");
    harness.advance(millis(20));
    let sent = harness.sent_for(caller);
    harness.reset_next_connections(1_000);
    let failure = ExchangeFailure::MayHaveRun;
    for attempt in &sent {
        let attempt = attempt.attempt;
        harness.event(GatewayEvent::Failed { attempt, failure });
    }
    harness.advance(millis(100));
    assert!(!harness.answers.contains_key(&caller));
    harness.reset_next_connections(0);
    harness.advance(millis(800));
    let sent = harness.sent_for(caller);
    assert_eq!(
        sent.len(),
        3,
        "one attempt at a time after failures at two servers"
    );
    harness.reply(sent[2].attempt, answer(RECORD));
    harness.advance(millis(5));
    assert_eq!(harness.sent_for(caller).len(), 4);
}

#[test]
fn idle_connections_are_closed_soon_while_many_are_refused() {
    let mut harness = busy();
    for _ in 0..3 {
        harness.reset_next_connections(2);
        harness.send_request("/x");
        harness.advance(millis(330));
    }
    answer_all(&mut harness);
    harness.advance(millis(400));
    let used = harness.sent.iter().map(|sent| sent.connection);
    let idle: Vec<_> = used.filter(|used| harness.open.contains(used)).collect();
    assert!(idle.is_empty(), "idle connections still open: {idle:?}");
}

#[test]
fn idle_connections_are_kept_without_refusals() {
    let mut harness = busy();
    answer_all(&mut harness);
    harness.advance(millis(2_000));
    assert_eq!(harness.open.len(), 4);
}
