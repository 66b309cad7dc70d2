//! Roll-outs: messages between peers, permits, and nodes that know nothing yet.

use super::rollout_cluster::{Cluster, endpoint};
use super::rollout_fixtures::{BAD, GOOD, STABLE, ordered, role_at, trial_roles};
use super::support::{Harness, configuration, instance, millis, route, service};
use crate::gateway::servers::{VersionRole, VersionRoles};
use crate::gateway::{GatewayEvent, GatewayParameters, ViewKind, ViewObject};
use assert_matches::assert_matches;
use std::collections::BTreeSet;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::quarantine::{CrashRecord, QuarantineMessage};
use thornbridge_proto::peer::rollout::{
    RolloutGrant, RolloutMessage, RolloutOrders, RolloutReport, RolloutState,
};
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{NodeId, ServiceName};

/// Grant of five permits for the order that a node knows.
fn permits_event(cluster: &Cluster, node: usize, from: usize, valid_ms: u32) -> GatewayEvent {
    let mut grant = cluster.empty_grant(node);
    grant.permits = vec![("route".to_owned(), 5)];
    grant.valid_ms = valid_ms;
    GatewayEvent::PeerMessage {
        from: endpoint(from),
        message: PeerMessage::Rollout(RolloutMessage::Grant(grant)),
    }
}

#[test]
fn node_that_starts_in_the_middle_learns_from_peers_which_version_serves() {
    let mut cluster = Cluster::start(2, &["s"]);
    for server in 3..9 {
        cluster.store.register(&format!("s-{server}"), "s", "new");
    }
    cluster.run(millis(1_000));
    cluster.add_node(true);
    cluster.run(millis(4_000));
    assert_eq!(role_at(&cluster, 2, "s", "old"), VersionRole::Serving);
    assert_eq!(role_at(&cluster, 2, "s", "new"), VersionRole::Held);
}

#[test]
fn node_that_starts_alone_takes_the_version_of_most_servers() {
    let mut cluster = Cluster::with_enabled(1, true);
    cluster.store.register("s-1", "s", "new");
    cluster.store.register("s-2", "s", "old");
    cluster.store.register("s-3", "s", "old");
    cluster.run(millis(2_000));
    assert_eq!(role_at(&cluster, 0, "s", "old"), VersionRole::Serving);
    assert_eq!(role_at(&cluster, 0, "s", "new"), VersionRole::Held);
}

#[test]
fn disabled_roll_outs_read_and_send_nothing() {
    let mut cluster = Cluster::with_enabled(3, false);
    cluster.store.register("s-1", "s", "old");
    cluster.store.register("s-2", "s", "new");
    cluster.store.order("s", "new");
    cluster.run(millis(5_000));
    assert_eq!(cluster.readers_of(ViewKind::Rollouts), Vec::<usize>::new());
    assert_eq!(cluster.sent, Vec::new());
    assert_eq!(cluster.store.writes, Vec::new());
    assert_eq!(cluster.roles(0, "s"), VersionRoles::default());
}

#[test]
fn disabled_node_does_not_answer_announcements() {
    let mut cluster = Cluster::with_enabled(2, false);
    cluster.run(millis(3_000));
    let records = Vec::new();
    let message = PeerMessage::Quarantine(QuarantineMessage { records });
    let from = endpoint(1);
    let now = cluster.nodes[0].now;
    cluster.nodes[0].handle(now, GatewayEvent::PeerMessage { from, message });
    cluster.run(millis(1_000));
    assert_eq!(cluster.sent, Vec::new());
}

#[test]
fn peer_that_did_not_announce_itself_gets_no_messages_of_roll_outs() {
    let mut cluster = Cluster::with_enabled(2, true);
    cluster.add_node(false);
    cluster.run(millis(3_000));
    cluster.store.order("s", "new");
    cluster.run_with_traffic(millis(8_000), "s", BAD, STABLE);
    let to_earlier_build = |message: &PeerMessage| matches!(message, PeerMessage::Rollout(_));
    let earlier_build = endpoint(2).address;
    let sent = cluster.sent.iter();
    let mut sent = sent.filter(|(_, to, _)| *to == earlier_build);
    assert!(!sent.any(|(_, _, message)| to_earlier_build(message)));
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
}

#[test]
fn announcements_to_a_peer_are_a_second_apart() {
    let mut cluster = Cluster::with_enabled(1, true);
    cluster.add_node(false);
    cluster.run(millis(3_000));
    cluster.store.order("s", "new");
    let before = cluster.sent.len();
    cluster.run_with_traffic(millis(5_000), "s", GOOD, STABLE);
    let sent = cluster.sent.len() - before;
    assert!((1..=6).contains(&sent), "{sent} announcements in 5 s");
}

#[test]
fn another_run_at_the_address_of_a_peer_gets_no_messages_of_roll_outs() {
    let mut cluster = ordered();
    let other_run = PeerEndpoint {
        node: NodeId(99),
        ..endpoint(1)
    };
    let records = vec![CrashRecord {
        fingerprint: Fingerprint(1),
        instances: Vec::new(),
        age_ms: 0,
        cleared: true,
    }];
    let message = PeerMessage::Quarantine(QuarantineMessage { records });
    let gateway = &mut cluster.nodes[0];
    let event = GatewayEvent::PeerMessage {
        from: other_run,
        message,
    };
    assert!(gateway.rollouts.peers.is_capable(other_run.address));
    gateway.handle(gateway.now, event);
    assert!(!gateway.rollouts.peers.is_capable(other_run.address));
}

#[test]
fn permits_of_a_node_without_a_report_are_dropped() {
    let mut cluster = ordered();
    let stranger = cluster.ranking("s")[2];
    let node = cluster.ranking("s")[1];
    let event = permits_event(&cluster, node, stranger, 1_000);
    let now = cluster.nodes[node].now;
    let gateway = &mut cluster.nodes[node];
    gateway.handle(now, event);
    let key = gateway.servers.service_key(&ServiceName::new("s"));
    assert_eq!(gateway.trials.take_permit(now, key, "route"), None);
}

#[test]
fn disabling_roll_outs_lets_every_version_serve() {
    let mut cluster = ordered();
    let parameters = Box::new(GatewayParameters::default());
    let gateway = &mut cluster.nodes[0];
    gateway.handle(gateway.now, GatewayEvent::Reconfigured { parameters });
    assert_eq!(cluster.roles(0, "s"), VersionRoles::default());
}

#[test]
fn node_that_enables_roll_outs_again_learns_the_orders() {
    let mut cluster = ordered();
    let disabled = GatewayParameters::default();
    let mut enabled = disabled.clone();
    enabled.rollouts.enabled = true;
    for parameters in [disabled, enabled] {
        let parameters = Box::new(parameters);
        let gateway = &mut cluster.nodes[0];
        gateway.handle(gateway.now, GatewayEvent::Reconfigured { parameters });
    }
    cluster.run(millis(2_500));
    assert_eq!(cluster.roles(0, "s"), trial_roles());
}

#[test]
fn report_for_a_former_order_is_refused_with_the_current_one() {
    let mut cluster = ordered();
    let former = cluster.empty_grant(0).order;
    cluster.store.order("s", "newer");
    cluster.run(millis(1_500));
    let report = RolloutReport {
        order: former.clone(),
        routes: Vec::new(),
    };
    let message = PeerMessage::Rollout(RolloutMessage::Report(report));
    let from = endpoint(1);
    cluster.sent.clear();
    cluster.deliver(0, GatewayEvent::PeerMessage { from, message });
    let sent = cluster.sent.iter().filter(|(node, ..)| *node == 0);
    let messages: Vec<&PeerMessage> = sent.map(|(_, _, message)| message).collect();
    assert_matches!(
        messages[..],
        [
            PeerMessage::Rollout(RolloutMessage::Grant(RolloutGrant {
                conducts: false,
                decision: None,
                ..
            })),
            PeerMessage::Rollout(RolloutMessage::Orders(_)),
        ]
    );
}

#[test]
fn orders_of_an_implausible_era_are_ignored() {
    let mut cluster = ordered();
    let mut orders = RolloutOrders::default();
    orders.at.era = u64::MAX;
    let message = PeerMessage::Rollout(RolloutMessage::Orders(orders));
    let from = endpoint(1);
    let gateway = &mut cluster.nodes[0];
    gateway.handle(gateway.now, GatewayEvent::PeerMessage { from, message });
    assert_eq!(cluster.roles(0, "s"), trial_roles());
}

#[test]
fn guess_of_a_cluster_that_knows_nothing_stands() {
    let mut cluster = Cluster::with_enabled(2, true);
    cluster.store.register("s-1", "s", "new");
    cluster.store.register("s-2", "s", "old");
    cluster.store.register("s-3", "s", "old");
    cluster.run(millis(14_000));
    let before = cluster.sent.len();
    cluster.run(millis(5_000));
    assert_eq!(cluster.sent.len(), before, "nodes still ask");
    assert_eq!(role_at(&cluster, 1, "s", "old"), VersionRole::Serving);
}

#[test]
fn permits_of_the_conductor_are_passed_on_to_the_trial() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    let (conductor, node) = (ranking[0], ranking[1]);
    let key = cluster.nodes[node]
        .servers
        .service_key(&ServiceName::new("s"));
    cluster.down.insert(conductor);
    cluster.record(node, "s", [0, 0], [1, 0]);
    cluster.run(millis(300));
    let event = permits_event(&cluster, node, conductor, 1_000);
    let now = cluster.nodes[node].now;
    let gateway = &mut cluster.nodes[node];
    gateway.handle(now, event);
    let permit = gateway.trials.take_permit(now, key, "route");
    assert_eq!(permit, Some(None));
}

#[test]
fn permits_that_lapsed_on_their_way_are_dropped() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    let (conductor, node) = (ranking[0], ranking[1]);
    let key = cluster.nodes[node]
        .servers
        .service_key(&ServiceName::new("s"));
    cluster.down.insert(conductor);
    cluster.record(node, "s", [0, 0], [1, 0]);
    cluster.run(millis(500));
    let event = permits_event(&cluster, node, conductor, 100);
    let now = cluster.nodes[node].now;
    let gateway = &mut cluster.nodes[node];
    gateway.handle(now, event);
    assert_eq!(gateway.trials.take_permit(now, key, "route"), None);
}

#[test]
fn node_is_not_ready_before_it_knows_the_orders() {
    let mut harness = Harness::unconfigured();
    let mut parameters = GatewayParameters::default();
    parameters.rollouts.enabled = true;
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
    let server = instance("s-1", "s", InstanceState::Ready);
    let server = ViewObject::Instance(StoreRevision::without_era(10), server);
    harness.list_reply(ViewKind::Registry, vec![server], 50);
    let routes = vec![route("/", service("s"), Repeatability::Repeatable)];
    let routes = ViewObject::Configuration(configuration(1, routes));
    harness.list_reply(ViewKind::Configuration, vec![routes], 50);
    harness.advance(millis(300));
    assert!(!harness.gateway.ready);
    harness.list_reply(ViewKind::Rollouts, Vec::new(), 50);
    harness.advance(millis(300));
    assert!(harness.gateway.ready);
}

#[test]
fn nodes_that_start_together_soon_know_that_nothing_is_ordered() {
    let mut cluster = Cluster::with_enabled(16, true);
    cluster.run(millis(2_000));
    let unaware: Vec<usize> = (0..16)
        .filter(|node| !cluster.nodes[*node].rollouts.has_orders())
        .collect();
    assert_eq!(unaware, Vec::<usize>::new());
}

#[test]
fn orders_are_read_by_the_nodes_that_read_the_registry() {
    let mut cluster = Cluster::with_enabled(5, true);
    cluster.run(millis(5_000));
    cluster.reads.clear();
    cluster.run(millis(6_000));
    let nodes = |view| BTreeSet::from_iter(cluster.readers_of(view));
    assert_eq!(nodes(ViewKind::Rollouts), nodes(ViewKind::Registry));
}

#[test]
fn orders_are_read_less_often_than_the_registry() {
    let mut cluster = Cluster::with_enabled(5, true);
    cluster.run(millis(5_000));
    cluster.reads.clear();
    cluster.run(millis(6_000));
    let orders = cluster.readers_of(ViewKind::Rollouts).len();
    let registry = cluster.readers_of(ViewKind::Registry).len();
    assert!(
        orders * 2 < registry,
        "{orders} reads, {registry} of the registry"
    );
}
