//! Servers that restart under the same id, and registry entries that become unusable.

use super::support::{Harness, answer, instance, millis, route, service};
use crate::gateway::{ExchangeFailure, GatewayEvent, ViewKind, ViewObject};
use std::net::SocketAddr;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};

const BORN_MS: u64 = 1_700_000_000_000;

fn entry(revision: u64, born_ms: u64, port: u16) -> ViewObject {
    let mut instance = instance("i-1", "plain", InstanceState::Ready);
    instance.born_ms = born_ms;
    instance.address = SocketAddr::from(([10, 0, 0, 1], port));
    ViewObject::Instance(StoreRevision::without_era(revision), instance)
}

/// A gateway with one server and an idle connection to it.
fn harness_with_idle_connection() -> Harness {
    let target = service("plain");
    let mut harness =
        Harness::serving(vec![route("/one/", target, Repeatability::Repeatable)], &[]);
    harness.watch_reply(ViewKind::Registry, vec![entry(50, BORN_MS, 80)], 50);
    harness.advance(millis(300));
    harness.send_request("/one/1");
    harness.reply(harness.sent[0].attempt, answer(b"whole"));
    harness
}

#[test]
fn restarted_server_gets_new_connections() {
    let mut harness = harness_with_idle_connection();
    let old_connection = harness.sent[0].connection;
    harness.opened.clear();
    harness.watch_reply(ViewKind::Registry, vec![entry(51, BORN_MS + 1, 81)], 51);
    assert!(harness.closed.contains(&old_connection));
    harness.send_request("/one/2");
    harness.advance(millis(300));
    assert!(!harness.opened.is_empty());
    assert!(harness.opened.iter().all(|address| address.port() == 81));
    assert_ne!(
        harness.sent.last().map(|sent| sent.connection),
        Some(old_connection)
    );
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn attempt_failed_by_restart_is_retried_on_new_run() {
    let mut harness = harness_with_idle_connection();
    let caller = harness.send_request("/one/2");
    let in_flight = harness.sent[1].attempt;
    harness.watch_reply(ViewKind::Registry, vec![entry(51, BORN_MS + 1, 81)], 51);
    let failure = ExchangeFailure::MayHaveRun;
    harness.event(GatewayEvent::Failed {
        attempt: in_flight,
        failure,
    });
    harness.advance(millis(300));
    // The retry goes to the new run of the server.
    assert_eq!(harness.sent_for(caller).len(), 2);
}

#[test]
fn entry_of_same_run_keeps_connections() {
    let mut harness = harness_with_idle_connection();
    harness.closed.clear();
    harness.watch_reply(ViewKind::Registry, vec![entry(51, BORN_MS, 80)], 51);
    harness.advance(millis(400));
    // An entry without a start time is of the known run.
    harness.watch_reply(ViewKind::Registry, vec![entry(52, 0, 80)], 52);
    assert!(harness.closed.is_empty());
}

fn unusable(revision: u64) -> ViewObject {
    ViewObject::Unusable {
        name: "i-1".to_owned(),
        revision: StoreRevision::without_era(revision),
        reason: "unknown state".to_owned(),
    }
}

#[test]
fn unusable_entry_removes_the_server() {
    let mut harness = harness_with_idle_connection();
    assert_eq!(harness.gateway.registered_instances(), 1);
    harness.watch_reply(ViewKind::Registry, vec![unusable(51)], 51);
    assert_eq!(harness.gateway.registered_instances(), 0);
    // The server writes its entry again.
    harness.advance(millis(400));
    let again = vec![unusable(52), entry(53, BORN_MS, 80)];
    harness.watch_reply(ViewKind::Registry, again, 53);
    assert_eq!(harness.gateway.registered_instances(), 1);
}

#[test]
fn unusable_entry_without_revision_removes_no_server() {
    let mut harness = harness_with_idle_connection();
    harness.watch_reply(ViewKind::Registry, vec![unusable(0)], 60);
    assert_eq!(harness.gateway.registered_instances(), 1);
}

/// Guards against an address that a server no longer has.
#[test]
fn entry_with_another_address_is_another_run() {
    let mut harness = harness_with_idle_connection();
    harness.opened.clear();
    harness.watch_reply(ViewKind::Registry, vec![entry(51, 0, 81)], 51);
    harness.send_request("/one/2");
    harness.advance(millis(300));
    assert!(!harness.opened.is_empty());
    assert!(harness.opened.iter().all(|address| address.port() == 81));
}
