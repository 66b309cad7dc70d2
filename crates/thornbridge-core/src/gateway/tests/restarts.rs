//! Servers that start again under the identity that they had, and entries that become unusable.

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

/// A node with one server that answered a request on a connection that rests now.
fn with_a_warm_server() -> Harness {
    let target = service("plain");
    let mut harness =
        Harness::serving(vec![route("/one/", target, Repeatability::Repeatable)], &[]);
    harness.changes(ViewKind::Registry, vec![entry(50, BORN_MS, 80)], 50);
    harness.wait(millis(300));
    harness.ask("/one/1");
    harness.reply(harness.sent[0].attempt, answer(b"whole"));
    harness
}

#[test]
fn what_it_was_before_is_forgotten() {
    let mut harness = with_a_warm_server();
    let before = harness.sent[0].connection;
    harness.opened.clear();
    harness.changes(ViewKind::Registry, vec![entry(51, BORN_MS + 1, 81)], 51);
    assert!(harness.closed.contains(&before));
    harness.ask("/one/2");
    harness.wait(millis(300));
    assert!(!harness.opened.is_empty());
    assert!(harness.opened.iter().all(|address| address.port() == 81));
    assert_ne!(
        harness.sent.last().map(|sent| sent.connection),
        Some(before)
    );
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn the_end_of_its_old_connections_takes_nothing_from_it() {
    let mut harness = with_a_warm_server();
    let caller = harness.ask("/one/2");
    let running = harness.sent[1].attempt;
    harness.changes(ViewKind::Registry, vec![entry(51, BORN_MS + 1, 81)], 51);
    let failure = ExchangeFailure::MayHaveRun;
    harness.event(GatewayEvent::Failed {
        attempt: running,
        failure,
    });
    harness.wait(millis(300));
    // The other run of the server gets the retry.
    assert_eq!(harness.sent_for(caller).len(), 2);
}

#[test]
fn an_entry_of_the_same_start_changes_nothing() {
    let mut harness = with_a_warm_server();
    harness.closed.clear();
    harness.changes(ViewKind::Registry, vec![entry(51, BORN_MS, 80)], 51);
    harness.wait(millis(400));
    // One that does not say when it started is of the run that is known.
    harness.changes(ViewKind::Registry, vec![entry(52, 0, 80)], 52);
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
fn a_server_whose_entry_became_unusable_is_gone() {
    let mut harness = with_a_warm_server();
    assert_eq!(harness.gateway.instances(), 1);
    harness.changes(ViewKind::Registry, vec![unusable(51)], 51);
    assert_eq!(harness.gateway.instances(), 0);
    // Its own entry comes back.
    harness.wait(millis(400));
    let again = vec![unusable(52), entry(53, BORN_MS, 80)];
    harness.changes(ViewKind::Registry, again, 53);
    assert_eq!(harness.gateway.instances(), 1);
}

#[test]
fn an_object_that_says_nothing_of_itself_takes_no_server_away() {
    let mut harness = with_a_warm_server();
    harness.changes(ViewKind::Registry, vec![unusable(0)], 60);
    assert_eq!(harness.gateway.instances(), 1);
}
