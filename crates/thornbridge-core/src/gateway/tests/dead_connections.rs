//! Dead connections to a server that still accepts new ones.

use super::support::{Harness, RECORD, answer, millis, route, service};
use crate::gateway::GatewayAnswer;
use assert_matches::assert_matches;
use thornbridge_config::routes::Repeatability;

/// Other members; enough to limit the node to one connection per server.
const PEERS: u8 = 40;

/// A node with one route, to a service with one server.
fn node() -> Harness {
    let route = route("/one/", service("alone"), Repeatability::Repeatable);
    Harness::serving(vec![route], &[("alone-0", "alone")])
}

#[test]
fn request_after_overdue_one_uses_fresh_connection() {
    let mut harness = node();
    harness.join_peers_with_processor_share(1.0, PEERS);
    let unanswered = harness.send_request("/one/1");
    let dead = harness.sent_for(unanswered)[0].connection;
    harness.advance(millis(600));
    let caller = harness.send_request("/one/2");
    harness.advance(millis(10));
    let sent = harness.sent_for(caller);
    assert_eq!(sent.len(), 1, "a fresh connection replaces the dead one");
    assert_ne!(sent[0].connection, dead);
    harness.reply(sent[0].attempt, answer(RECORD));
    assert_matches!(
        harness.answers.get(&caller),
        Some(GatewayAnswer::Forwarded { .. })
    );
}

#[test]
fn connections_idle_before_overdue_attempt_are_not_reused() {
    let mut harness = node();
    // Two concurrent requests leave two idle connections.
    let first = harness.send_request("/one/1");
    let second = harness.send_request("/one/2");
    harness.advance(millis(10));
    for caller in [first, second] {
        let sent = harness.sent_for(caller);
        harness.reply(sent[0].attempt, answer(RECORD));
    }
    let before = harness.open.clone();
    harness.send_request("/one/3");
    harness.advance(millis(600));
    let caller = harness.send_request("/one/4");
    harness.advance(millis(10));
    let sent = harness.sent_for(caller);
    assert!(!before.contains(&sent[0].connection));
}

#[test]
fn slow_server_keeps_its_connections() {
    let mut harness = node();
    let slow = harness.send_request("/one/1");
    let opened = harness.open.len();
    harness.advance(millis(300));
    harness.send_request("/one/2");
    harness.advance(millis(10));
    let sent = harness.sent_for(slow);
    harness.reply(sent[0].attempt, answer(RECORD));
    harness.advance(millis(300));
    assert!(harness.open.len() <= opened + 1);
    assert!(harness.closed.is_empty());
}
