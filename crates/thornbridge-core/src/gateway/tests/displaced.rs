//! Servers whose address another server has.

use super::support::{
    Harness, answer, configuration, instance, millis, peer, route, server_address, service, verdict,
};
use crate::gateway::event::ReplyVerdict;
use crate::gateway::{ViewKind, ViewObject};
use thornbridge_config::routes::Repeatability::Repeatable;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::{InstanceState, RegistryDelta, StoreRevision, ViewMessage};

/// Gateway with these servers of one service, and a route to another one without servers.
fn serving(servers: &[&str]) -> Harness {
    let servers: Vec<(&str, &str)> = servers.iter().map(|id| (*id, "s")).collect();
    let routes = ["s", "t"].map(|name| {
        let prefix = format!("/{name}/");
        route(&prefix, service(name), Repeatable)
    });
    Harness::serving(routes.to_vec(), &servers)
}

fn ready_entry(id: &str, revision: u64) -> ViewObject {
    let instance = instance(id, "s", InstanceState::Ready);
    ViewObject::Instance(StoreRevision::without_era(revision), instance)
}

/// Sends a request and has its first server answer that it is another one.
fn displace_first(harness: &mut Harness) -> String {
    let caller = harness.send_request("/s/x");
    let first = harness.sent_for(caller)[0].clone();
    harness.reply(first.attempt, verdict(ReplyVerdict::WrongInstance));
    first.instance
}

#[test]
fn connections_to_displaced_server_are_closed() {
    let mut harness = serving(&["s1"]);
    assert!(!harness.open.is_empty());
    displace_first(&mut harness);
    assert!(harness.open.is_empty());
}

#[test]
fn request_goes_on_to_another_server() {
    let mut harness = serving(&["s1", "s2"]);
    let displaced = displace_first(&mut harness);
    let retry = &harness.sent[1];
    assert_ne!(retry.instance, displaced);
    harness.reply(harness.sent[1].attempt, answer(b"whole"));
    assert_eq!(harness.answers.len(), 1);
}

/// Guards against requests that wait at a server that will not get them.
#[test]
fn requests_queued_at_displaced_server_move_to_another() {
    let mut harness = serving(&["s1", "s2"]);
    harness.hold_connects();
    let callers: Vec<_> = (0..4).map(|_| harness.send_request("/s/x")).collect();
    let in_flight = harness.sent.clone();
    assert_eq!(in_flight.len(), 2, "one connection to each server");
    harness.reply(in_flight[0].attempt, verdict(ReplyVerdict::WrongInstance));
    let other = in_flight[1].instance.clone();
    for answered in 1.. {
        let Some(sent) = harness.sent.get(answered).cloned() else {
            break;
        };
        assert_eq!(sent.instance, other);
        harness.reply(sent.attempt, answer(b"whole"));
    }
    assert_eq!(harness.answers.len(), callers.len());
}

#[test]
fn changed_entry_makes_server_available_again() {
    let mut harness = serving(&["s1"]);
    displace_first(&mut harness);
    harness.watch_reply(ViewKind::Registry, vec![ready_entry("s1", 51)], 51);
    harness.advance(millis(300));
    harness.send_request("/s/x");
    assert_eq!(harness.sent.len(), 2);
}

fn report(entries: &[(u64, &str)]) -> ViewMessage {
    let entries = entries.iter().map(|(revision, id)| {
        let revision = StoreRevision::without_era(*revision);
        (revision, BackEndId::new(*id))
    });
    let delta = RegistryDelta::of_displaced(entries.collect());
    ViewMessage::Registry(delta.expect("entries"))
}

/// Guards against nodes that each find out for themselves.
#[test]
fn peers_are_told_of_displaced_server_once() {
    let mut harness = serving(&["s1", "s2"]);
    harness.add_peers(2);
    harness.advance(millis(300));
    let displaced = displace_first(&mut harness);
    assert_eq!(harness.told_displaced.len(), 2, "one message to each peer");
    for (_, delta) in &harness.told_displaced {
        let [(_, id)] = delta.as_displaced().expect("displaced servers") else {
            panic!("one server: {delta:?}");
        };
        assert_eq!(id.as_str(), displaced);
    }
}

#[test]
fn server_that_peer_reports_displaced_gets_no_attempt() {
    let mut harness = serving(&["s1"]);
    harness.view_message(peer(1), report(&[(10, "s1")]));
    harness.send_request("/s/x");
    assert_eq!(harness.sent.len(), 0);
}

#[test]
fn report_is_passed_on_once() {
    let mut harness = serving(&["s1"]);
    harness.add_peers(2);
    harness.advance(millis(300));
    harness.view_message(peer(1), report(&[(10, "s1")]));
    let passed_on = harness.told_displaced.len();
    assert!(passed_on > 0);
    harness.view_message(peer(2), report(&[(10, "s1")]));
    assert_eq!(harness.told_displaced.len(), passed_on);
}

/// Guards against late reports that take a server away which registered again.
#[test]
fn report_on_earlier_entry_is_ignored() {
    let mut harness = serving(&["s1"]);
    harness.watch_reply(ViewKind::Registry, vec![ready_entry("s1", 51)], 51);
    harness.view_message(peer(1), report(&[(10, "s1")]));
    harness.send_request("/s/x");
    assert_eq!(harness.sent.len(), 1);
}

/// Guards against members that start, and get the entries of displaced servers without being told.
#[test]
fn pull_of_registry_is_answered_with_displaced_servers() {
    let mut harness = serving(&["s1", "s2"]);
    displace_first(&mut harness);
    harness.view_message(peer(1), ViewMessage::Pull(Default::default()));
    assert_eq!(harness.told_displaced.len(), 1);
}

/// An entry of another service at the address of a server.
fn entry_at_address_of(id: &str, revision: u64) -> ViewObject {
    entry_of_service_at_address_of(id, "t", revision)
}

fn entry_of_service_at_address_of(id: &str, service: &str, revision: u64) -> ViewObject {
    let mut instance = instance("other", service, InstanceState::Ready);
    instance.address = server_address(id);
    ViewObject::Instance(StoreRevision::without_era(revision), instance)
}

#[test]
fn server_whose_address_is_registered_by_another_gets_no_attempt() {
    let mut harness = serving(&["s1"]);
    harness.watch_reply(ViewKind::Registry, vec![entry_at_address_of("s1", 51)], 51);
    harness.send_request("/s/x");
    assert_eq!(harness.sent.len(), 0);
}

/// Guards against an order of entries in a list that is not the order of their revisions.
#[test]
fn later_of_two_entries_with_one_address_counts() {
    for (other_revision, attempts) in [(30, 1), (70, 0)] {
        let mut harness = serving(&[]);
        let entries = vec![
            entry_at_address_of("s1", other_revision),
            ready_entry("s1", 60),
        ];
        harness.watch_reply(ViewKind::Registry, entries, 70);
        harness.advance(millis(300));
        harness.send_request("/s/x");
        assert_eq!(harness.sent.len(), attempts, "{other_revision}");
    }
}

/// Guards against entries of other writers that take sound servers out of use.
#[test]
fn entry_of_unnamed_service_displaces_no_server() {
    let mut harness = serving(&["s1"]);
    let foreign = entry_of_service_at_address_of("s1", "unnamed", 51);
    harness.watch_reply(ViewKind::Registry, vec![foreign], 51);
    let caller = harness.send_request("/s/x");
    assert_eq!(harness.sent_for(caller).len(), 1);
}

#[test]
fn entries_with_one_address_are_settled_once_both_are_named() {
    let mut harness = serving(&["s1"]);
    let later = entry_of_service_at_address_of("s1", "later", 51);
    harness.watch_reply(ViewKind::Registry, vec![later], 51);
    let routes = ["s", "later"].map(|name| {
        let prefix = format!("/{name}/");
        route(&prefix, service(name), Repeatable)
    });
    let named = ViewObject::Configuration(configuration(2, routes.to_vec()));
    harness.watch_reply(ViewKind::Configuration, vec![named], 52);
    harness.advance(millis(5_000));
    let caller = harness.send_request("/s/x");
    assert!(harness.sent_for(caller).is_empty());
    let caller = harness.send_request("/later/x");
    assert_eq!(harness.sent_for(caller)[0].instance, "other");
}

/// Guards against an old entry that takes the address back when it begins to drain.
#[test]
fn draining_entry_displaces_no_server() {
    let mut harness = serving(&["s1"]);
    let mut newer = instance("s2", "s", InstanceState::Ready);
    newer.address = server_address("s1");
    let newer = ViewObject::Instance(StoreRevision::without_era(51), newer);
    let draining = instance("s1", "s", InstanceState::Draining);
    let draining = ViewObject::Instance(StoreRevision::without_era(52), draining);
    harness.watch_reply(ViewKind::Registry, vec![newer, draining], 52);
    harness.advance(millis(300));
    let caller = harness.send_request("/s/x");
    assert_eq!(harness.sent_for(caller)[0].instance, "s2");
}

/// Guards against connections that occupy a server of another service.
#[test]
fn connection_that_opens_after_displacement_is_closed() {
    let mut harness = serving(&["s1"]);
    harness.hold_connects();
    harness.send_request("/s/x");
    let in_flight = harness.sent[0].attempt;
    harness.send_request("/s/x");
    let opening = harness.pending.clone();
    assert!(!opening.is_empty());
    harness.reply(in_flight, verdict(ReplyVerdict::WrongInstance));
    harness.open_pending();
    assert!(opening.iter().all(|one| harness.closed.contains(one)));
}

/// Guards against servers that are kept for ever after their entry and their address are gone.
#[test]
fn vanished_server_that_is_displaced_is_forgotten() {
    let mut harness = serving(&["s1"]);
    let removed = ViewObject::InstanceRemoved(StoreRevision::without_era(52), BackEndId::new("s2"));
    harness.watch_reply(ViewKind::Registry, vec![ready_entry("s2", 51), removed], 52);
    assert_eq!(harness.gateway.known_servers(), 2);
    harness.view_message(peer(1), report(&[(52, "s2")]));
    assert_eq!(harness.gateway.known_servers(), 1);
}
