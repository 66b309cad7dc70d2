//! Which servers get requests by the role of their version.

use super::support::{Harness, RECORD, answer, answer_all, millis, server_address};
use super::trial_support::{
    NEW, OLD, answered_request, complete, grant, held, names, on_trial, plain_route, rolled_back,
    server, servers_used, service_key, serving, serving_route, set_roles,
};
use crate::gateway::servers::VersionRoles;
use crate::gateway::{GatewayAnswer, RefusalStatus, ViewKind, ViewObject};
use assert_matches::assert_matches;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::peer::view::{Instance, InstanceState, StoreRevision};
use thornbridge_proto::{BackEndId, ServerVersion, ZoneName};

/// Time within which the next changes are asked for.
const NEXT_WATCH: Duration = Duration::from_millis(400);

fn instance_of(object: ViewObject) -> Instance {
    match object {
        ViewObject::Instance(_, instance) => instance,
        other => panic!("{other:?}"),
    }
}

/// Changes the entry of a server.
fn change(harness: &mut Harness, id: &str, at: u64, edit: impl FnOnce(&mut Instance)) {
    let mut instance = instance_of(server(id));
    edit(&mut instance);
    let entry = ViewObject::Instance(StoreRevision::without_era(at), instance);
    harness.watch_reply(ViewKind::Registry, vec![entry], at);
}

fn drain(harness: &mut Harness, id: &str, at: u64) {
    change(harness, id, at, |instance| {
        instance.state = InstanceState::Draining
    });
}

fn versions(versions: &[(&str, usize)]) -> BTreeMap<ServerVersion, usize> {
    let versions = versions.iter();
    versions
        .map(|(version, servers)| (ServerVersion::new(*version), *servers))
        .collect()
}

#[test]
fn every_version_serves_by_default() {
    let mut harness = serving(VersionRoles::default(), &["old-1", "new-1"]);
    let mut used = servers_used(&mut harness);
    // Uses the other server as well, because the first one is busy.
    for _ in 0..4 {
        harness.send_request("/x");
    }
    used.extend(harness.sent.iter().map(|sent| sent.instance.clone()));
    assert_eq!(used, names(&["new-1", "old-1"]));
}

#[test]
fn held_version_gets_nothing_beside_established_one() {
    let mut harness = serving(held(), &["old-1", "new-1"]);
    assert_eq!(servers_used(&mut harness), names(&["old-1"]));
}

#[test]
fn held_version_serves_when_no_other_server_is_left() {
    let mut harness = serving(held(), &["old-1", "new-1"]);
    drain(&mut harness, "old-1", 60);
    assert_eq!(servers_used(&mut harness), names(&["new-1"]));
}

#[test]
fn held_version_serves_alone_from_its_registration() {
    let mut harness = serving(held(), &["new-1"]);
    assert_eq!(servers_used(&mut harness), names(&["new-1"]));
}

#[test]
fn held_version_stops_when_established_one_is_back() {
    let mut harness = serving(held(), &["new-1"]);
    assert_eq!(servers_used(&mut harness), names(&["new-1"]));
    harness.watch_reply(ViewKind::Registry, vec![server("old-1")], 60);
    assert_eq!(servers_used(&mut harness), names(&["old-1"]));
}

#[test]
fn held_version_serves_once_vanished_servers_are_gone() {
    let mut harness = serving(held(), &["old-1", "new-1"]);
    let removal =
        ViewObject::InstanceRemoved(StoreRevision::without_era(60), BackEndId::new("old-1"));
    harness.watch_reply(ViewKind::Registry, vec![removal], 60);
    harness.advance(Duration::from_secs(30));
    assert_eq!(servers_used(&mut harness), names(&["new-1"]));
}

#[test]
fn version_on_trial_does_not_serve_alone() {
    let mut harness = serving(on_trial(), &["new-1"]);
    assert!(servers_used(&mut harness).is_empty());
}

#[test]
fn rejected_version_does_not_serve_alone() {
    let mut harness = serving(rolled_back(), &["new-1"]);
    assert!(servers_used(&mut harness).is_empty());
}

/// Guards against requests that wait in vain for a server that gets none.
#[test]
fn request_for_service_on_trial_alone_is_refused() {
    let mut harness = serving(on_trial(), &["new-1"]);
    let caller = harness.send_request("/x");
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
}

#[test]
fn roles_apply_to_servers_that_register_later() {
    let mut harness = serving(rolled_back(), &["old-1"]);
    harness.watch_reply(ViewKind::Registry, vec![server("new-1")], 60);
    harness.advance(NEXT_WATCH);
    drain(&mut harness, "old-1", 61);
    assert!(servers_used(&mut harness).is_empty());
}

/// Guards against the role of an unknown version after a peer sent an entry without its version.
#[test]
fn version_that_is_learnt_later_sets_the_role() {
    let mut harness = serving(rolled_back(), &[]);
    change(&mut harness, "new-1", 60, |instance| {
        instance.version = ServerVersion::default();
    });
    assert_eq!(servers_used(&mut harness), names(&["new-1"]));
    harness.advance(NEXT_WATCH);
    change(&mut harness, "new-1", 61, |_| {});
    assert!(servers_used(&mut harness).is_empty());
}

#[test]
fn known_version_is_kept_when_entry_has_none() {
    let mut harness = serving(rolled_back(), &["new-1"]);
    change(&mut harness, "new-1", 60, |instance| {
        instance.version = ServerVersion::default();
    });
    assert!(servers_used(&mut harness).is_empty());
}

#[test]
fn completion_moves_new_requests() {
    let mut harness = serving(on_trial(), &["old-1", "old-2", "new-1"]);
    assert_eq!(servers_used(&mut harness).len(), 2);
    set_roles(&mut harness, complete());
    assert_eq!(servers_used(&mut harness), names(&["new-1"]));
}

/// Guards against requests that fail because the old servers stop once the roll-out is complete.
#[test]
fn completion_fails_no_request() {
    let mut harness = serving(on_trial(), &["old-1", "new-1"]);
    let callers: Vec<_> = (0..20).map(|_| harness.send_request("/x")).collect();
    let in_flight = harness.sent.len();
    assert!(in_flight < callers.len(), "some requests are queued");
    set_roles(&mut harness, complete());
    answer_all(&mut harness);
    for caller in callers {
        let answer = harness.answers.get(&caller);
        assert_matches!(answer, Some(GatewayAnswer::Forwarded { status: 200, .. }));
    }
    let after = harness.sent[in_flight..].iter();
    assert!(after.clone().all(|sent| sent.instance == "new-1"));
}

#[test]
fn idle_connections_to_replaced_version_are_closed() {
    let mut harness = serving(on_trial(), &["old-1"]);
    let before = harness.open.clone();
    assert!(!before.is_empty());
    set_roles(&mut harness, complete());
    // Without another server the old one stands in.
    assert_eq!(harness.open, before);
    harness.watch_reply(ViewKind::Registry, vec![server("new-1")], 60);
    harness.advance(NEXT_WATCH);
    assert!(before.iter().all(|closed| !harness.open.contains(closed)));
}

#[test]
fn connection_is_closed_after_last_answer_of_replaced_version() {
    let mut harness = serving(on_trial(), &["old-1", "new-1"]);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller).remove(0);
    set_roles(&mut harness, complete());
    assert!(harness.open.contains(&sent.connection), "in flight");
    harness.reply(sent.attempt, answer(RECORD));
    assert!(!harness.open.contains(&sent.connection));
}

#[test]
fn version_on_trial_is_connected_to_on_demand() {
    let harness = serving(on_trial(), &["old-1", "new-1"]);
    assert!(!harness.opened.contains(&server_address("new-1")));
}

/// Guards against a new connection for each permit, which occupies a slot of the server.
#[test]
fn used_connection_to_version_on_trial_stays_open() {
    let mut harness = serving(on_trial(), &["old-1", "new-1"]);
    grant(&mut harness, 1);
    assert_eq!(answered_request(&mut harness), ["new-1"]);
    let connection = harness.sent[0].connection;
    assert!(harness.open.contains(&connection));
}

/// Guards against a version that takes over without connections.
#[test]
fn version_on_trial_is_connected_to_ahead_of_use_if_warm() {
    let warm = VersionRoles {
        warm_trial: true,
        ..on_trial()
    };
    let harness = serving(warm, &["old-1", "new-1"]);
    assert!(harness.opened.contains(&server_address("new-1")));
    assert!(harness.opened.contains(&server_address("old-1")));
}

#[test]
fn held_version_is_not_connected_to() {
    let harness = serving(held(), &["old-1", "new-1"]);
    assert!(!harness.opened.contains(&server_address("new-1")));
}

#[test]
fn leaving_servers_are_not_counted_by_version() {
    let mut harness = serving(held(), &["old-1", "old-2", "new-1"]);
    let service = service_key(&mut harness);
    let counted = harness.gateway.servers.versions_of(service);
    assert_eq!(counted, versions(&[(OLD, 2), (NEW, 1)]));
    drain(&mut harness, "old-2", 60);
    let counted = harness.gateway.servers.versions_of(service);
    assert_eq!(counted, versions(&[(OLD, 1), (NEW, 1)]));
}

#[test]
fn cold_server_is_not_sampled() {
    let mut harness = serving(on_trial(), &["old-1", "new-1"]);
    change(&mut harness, "new-2", 60, |instance| {
        instance.cold_milliseconds = 3_000;
    });
    let service = service_key(&mut harness);
    let sampled = |harness: &Harness| {
        let servers = &harness.gateway.servers;
        servers.trial_instances(harness.now, service)
    };
    assert_eq!(sampled(&harness), [BackEndId::new("new-1")]);
    harness.advance(millis(3_100));
    let both = [BackEndId::new("new-1"), BackEndId::new("new-2")];
    assert_eq!(sampled(&harness), both);
}

#[test]
fn server_in_evacuated_zone_is_not_sampled() {
    let mut harness = serving(on_trial(), &["old-1", "new-1"]);
    let service = service_key(&mut harness);
    let zone = ZoneName::new("zone");
    let servers = &mut harness.gateway.servers;
    servers.set_evacuated(harness.now, &zone, true);
    assert!(servers.trial_instances(harness.now, service).is_empty());
}

/// Guards against retries of callers that wait for servers of the version on trial.
#[test]
fn service_is_evacuated_if_only_version_on_trial_is_elsewhere() {
    let mut harness = serving(on_trial(), &["old-1"]);
    change(&mut harness, "new-1", 60, |instance| {
        instance.zone = ZoneName::new("far");
    });
    let service = service_key(&mut harness);
    let servers = &mut harness.gateway.servers;
    servers.set_evacuated(harness.now, &ZoneName::new("zone"), true);
    assert!(servers.is_evacuated(service));
}

/// Guards against roles that are lost for a service that has no servers yet.
#[test]
fn roles_of_service_without_servers_apply_later() {
    let mut harness = serving_route(plain_route(), held(), &[]);
    harness.watch_reply(
        ViewKind::Registry,
        vec![server("new-1"), server("old-1")],
        60,
    );
    harness.advance(NEXT_WATCH);
    assert_eq!(servers_used(&mut harness), names(&["old-1"]));
}
