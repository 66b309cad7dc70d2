//! Roll-outs: orders, version roles and decisions.

use super::rollout_cluster::Cluster;
use super::rollout_fixtures::{BAD, GOOD, STABLE, ordered, rejected_roles, role_at, trial_roles};
use super::support::millis;
use crate::gateway::servers::{VersionRole, VersionRoles};
use thornbridge_proto::ServiceName;
use thornbridge_proto::peer::rollout::{Outcomes, RolloutState};

#[test]
fn ordered_version_is_on_trial_at_all_nodes() {
    let cluster = ordered();
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), trial_roles(), "node {node}");
    }
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Serving));
}

#[test]
fn serving_is_written_once() {
    let cluster = ordered();
    assert_eq!(cluster.store.writes.len(), 1);
}

#[test]
fn version_worse_than_the_other_is_rolled_back() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(4_000), "s", BAD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), rejected_roles(), "node {node}");
    }
}

#[test]
fn good_version_replaces_the_other_within_the_time_allowed() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(11_000), "s", GOOD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
    for node in 0..3 {
        assert_eq!(role_at(&cluster, node, "s", "new"), VersionRole::Serving);
        assert_eq!(role_at(&cluster, node, "s", "old"), VersionRole::Held);
    }
}

#[test]
fn requests_move_before_complete_is_written() {
    let mut cluster = ordered();
    for _ in 0..2_400 {
        if cluster.store.state("s") == Some(RolloutState::Complete) {
            break;
        }
        for node in 0..3 {
            cluster.record(node, "s", [1, 0], [1, 0]);
        }
        cluster.run(millis(5));
    }
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
    for node in 0..3 {
        assert_eq!(role_at(&cluster, node, "s", "new"), VersionRole::Serving);
    }
}

#[test]
fn connections_to_version_on_trial_are_warmed_in_the_last_quarter() {
    let mut cluster = ordered();
    cluster.run(millis(7_000));
    assert!(!cluster.roles(0, "s").warm_trial);
    cluster.run(millis(1_500));
    assert!(cluster.roles(0, "s").warm_trial);
}

#[test]
fn former_target_gets_nothing_once_another_is_ordered() {
    let mut cluster = ordered();
    cluster.store.register("s-4", "s", "newer");
    cluster.store.order("s", "newer");
    cluster.run(millis(1_500));
    for node in 0..3 {
        assert_eq!(role_at(&cluster, node, "s", "newer"), VersionRole::Trial);
        assert_eq!(role_at(&cluster, node, "s", "new"), VersionRole::Held);
        assert_eq!(role_at(&cluster, node, "s", "old"), VersionRole::Serving);
    }
}

#[test]
fn outcomes_of_a_former_target_do_not_condemn_the_next() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(1_000), "s", [0, 1], STABLE);
    cluster.store.register("s-4", "s", "newer");
    cluster.store.order("s", "newer");
    cluster.run(millis(1_500));
    cluster.run_with_traffic(millis(11_000), "s", GOOD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
}

#[test]
fn version_of_a_withdrawn_order_gets_nothing() {
    let mut cluster = ordered();
    cluster.store.withdraw("s");
    cluster.run(millis(1_500));
    for node in 0..3 {
        assert_eq!(role_at(&cluster, node, "s", "new"), VersionRole::Held);
        assert!(cluster.nodes[node].rollouts.active.is_empty());
    }
}

#[test]
fn order_made_again_after_a_roll_back_is_tried_again() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(4_000), "s", BAD, STABLE);
    cluster.store.withdraw("s");
    cluster.run(millis(1_000));
    cluster.store.order("s", "new");
    cluster.run(millis(1_500));
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), trial_roles(), "node {node}");
    }
    cluster.run_with_traffic(millis(11_000), "s", GOOD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
}

#[test]
fn version_that_nobody_ordered_gets_nothing() {
    let mut cluster = Cluster::start(3, &["s"]);
    for server in 3..9 {
        cluster.store.register(&format!("s-{server}"), "s", "new");
    }
    cluster.run(millis(1_500));
    for node in 0..3 {
        assert_eq!(role_at(&cluster, node, "s", "new"), VersionRole::Held);
        assert_eq!(role_at(&cluster, node, "s", "old"), VersionRole::Serving);
    }
}

#[test]
fn node_that_starts_during_a_trial_keeps_the_target_on_trial() {
    let mut cluster = ordered();
    cluster.add_node(true);
    cluster.run(millis(3_000));
    assert_eq!(cluster.roles(3, "s"), trial_roles());
    let deadline = |node: usize| {
        let gateway = &cluster.nodes[node];
        let order = gateway.rollouts.orders.get(&ServiceName::new("s"));
        order.map(|order| order.elapsed(gateway.now).as_millis() / 200)
    };
    assert_eq!(deadline(3), deadline(0));
}

#[test]
fn two_services_are_decided_independently() {
    let mut cluster = Cluster::start(3, &["s", "t"]);
    for service in ["s", "t"] {
        cluster.store.order(service, "new");
        cluster
            .store
            .register(&format!("{service}-3"), service, "new");
    }
    cluster.run(millis(1_000));
    for _ in 0..44 {
        for node in 0..3 {
            cluster.record(node, "s", BAD, STABLE);
            cluster.record(node, "t", GOOD, STABLE);
        }
        cluster.run(millis(250));
    }
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
    assert_eq!(cluster.store.state("t"), Some(RolloutState::Complete));
}

#[test]
fn version_that_is_the_only_one_left_serves() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(11_000), "s", GOOD, STABLE);
    cluster.store.withdraw("s");
    cluster.store.deregister("s-1");
    cluster.store.deregister("s-2");
    cluster.run(millis(5_000));
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), VersionRoles::default());
    }
}

#[test]
fn servers_of_the_replaced_version_that_return_get_nothing() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(11_000), "s", GOOD, STABLE);
    cluster.store.withdraw("s");
    cluster.store.deregister("s-1");
    cluster.store.deregister("s-2");
    cluster.run(millis(5_000));
    cluster.store.register("s-9", "s", "old");
    cluster.run(millis(1_500));
    for node in 0..3 {
        assert_eq!(role_at(&cluster, node, "s", "old"), VersionRole::Held);
        assert_eq!(role_at(&cluster, node, "s", "new"), VersionRole::Serving);
    }
}

#[test]
fn outcomes_of_a_former_target_are_dropped() {
    let mut cluster = ordered();
    cluster.record(0, "s", [0, 3], [0, 0]);
    cluster.store.order("s", "newer");
    cluster.run(millis(1_500));
    cluster.record(0, "s", [1, 0], [0, 0]);
    let gateway = &mut cluster.nodes[0];
    let key = gateway.servers.service_key(&ServiceName::new("s"));
    let report = gateway.trials.take_report(gateway.now, key);
    let routes = report.expect("nothing to report");
    assert_eq!(routes[0].trial, Outcomes { good: 1, bad: 0 });
}

#[test]
fn version_that_served_alone_for_long_replaces_the_established_one() {
    let mut cluster = Cluster::start(2, &["s"]);
    cluster.store.register("s-3", "s", "new");
    cluster.store.deregister("s-1");
    cluster.store.deregister("s-2");
    cluster.run(millis(15_000));
    cluster.store.register("s-4", "s", "old");
    cluster.run(millis(1_000));
    assert_eq!(role_at(&cluster, 0, "s", "new"), VersionRole::Serving);
    assert_eq!(role_at(&cluster, 0, "s", "old"), VersionRole::Held);
}

#[test]
fn established_version_whose_servers_restart_keeps_its_role() {
    let mut cluster = Cluster::start(2, &["s"]);
    cluster.store.register("s-3", "s", "new");
    cluster.store.deregister("s-1");
    cluster.store.deregister("s-2");
    cluster.run(millis(4_000));
    cluster.store.register("s-4", "s", "old");
    cluster.run(millis(1_000));
    assert_eq!(role_at(&cluster, 0, "s", "old"), VersionRole::Serving);
    assert_eq!(role_at(&cluster, 0, "s", "new"), VersionRole::Held);
}

#[test]
fn ordered_version_without_any_other_server_is_not_taken_for_the_established_one() {
    let mut cluster = Cluster::with_enabled(1, true);
    cluster.store.order("s", "new");
    cluster.store.register("s-1", "s", "new");
    cluster.run(millis(1_000));
    assert_eq!(role_at(&cluster, 0, "s", "new"), VersionRole::Trial);
    cluster.store.register("s-2", "s", "old");
    cluster.run(millis(1_000));
    assert_eq!(cluster.roles(0, "s"), trial_roles());
}
