//! Roll-outs under failures of nodes and of the store.

use super::rollout_cluster::Cluster;
use super::rollout_fixtures::{
    BAD, GOOD, STABLE, grant_event, ordered, rejected_roles, role_at, trial_roles,
};
use super::support::millis;
use crate::gateway::servers::VersionRole;
use thornbridge_proto::peer::rollout::RolloutState;

#[test]
fn next_member_conducts_and_decides_if_the_conductor_is_silent() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    cluster.down.insert(ranking[0]);
    cluster.run_with_traffic(millis(2_000), "s", [0, 10], STABLE);
    assert_eq!(
        cluster.writers_of(RolloutState::RolledBack),
        vec![ranking[1]]
    );
}

#[test]
fn service_without_requests_is_decided_if_the_conductor_is_silent() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    cluster.down.insert(ranking[0]);
    cluster.run(millis(12_500));
    assert_eq!(
        cluster.writers_of(RolloutState::RolledBack),
        vec![ranking[1]]
    );
}

#[test]
fn another_member_writes_the_decision_of_a_conductor_refused_by_the_store() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    cluster.store.refused_writers.insert(ranking[0]);
    cluster.run_with_traffic(millis(6_000), "s", BAD, STABLE);
    assert_eq!(
        cluster.writers_of(RolloutState::RolledBack),
        vec![ranking[1]]
    );
}

#[test]
fn conductor_refused_by_the_store_hands_the_sampling_over() {
    let mut cluster = Cluster::start(3, &["s"]);
    let ranking = cluster.ranking("s");
    cluster.store.refused_writers.insert(ranking[0]);
    cluster.store.register("s-3", "s", "new");
    cluster.store.order("s", "new");
    cluster.run_with_traffic(millis(4_000), "s", GOOD, STABLE);
    assert_eq!(cluster.writers_of(RolloutState::Serving), vec![ranking[1]]);
}

#[test]
fn bad_version_is_barred_while_no_node_can_write() {
    let mut cluster = ordered();
    cluster.store.refused_writers.extend(0..3);
    cluster.run_with_traffic(millis(4_000), "s", BAD, STABLE);
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), rejected_roles(), "node {node}");
    }
    cluster.store.refused_writers.clear();
    cluster.run_with_traffic(millis(2_000), "s", [0, 0], STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
}

#[test]
fn write_that_was_done_without_an_answer_stands() {
    let mut cluster = ordered();
    cluster.store.answers_to_lose = 1;
    cluster.run_with_traffic(millis(5_000), "s", BAD, STABLE);
    assert_eq!(cluster.writers_of(RolloutState::RolledBack).len(), 1);
    assert_eq!(cluster.roles(0, "s"), rejected_roles());
}

#[test]
fn final_state_of_another_writer_is_adopted() {
    let mut cluster = ordered();
    cluster.store.answers_to_lose = 1;
    cluster.run_with_traffic(millis(10_500), "s", GOOD, STABLE);
    cluster.run(millis(2_000));
    assert_eq!(cluster.writers_of(RolloutState::Complete).len(), 1);
    assert!(cluster.nodes[0].rollouts.active.is_empty());
}

#[test]
fn final_state_lost_by_a_restored_store_is_written_again() {
    let mut cluster = ordered();
    let copy = cluster.store.clone();
    cluster.run_with_traffic(millis(4_000), "s", BAD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
    cluster.store.restore(&copy);
    cluster.run(millis(5_000));
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), rejected_roles(), "node {node}");
    }
}

#[test]
fn restored_store_does_not_grant_the_slack_again() {
    let mut cluster = Cluster::start(3, &["s"]);
    cluster.store.order("s", "new");
    let copy = cluster.store.clone();
    cluster.run(millis(1_000));
    assert_eq!(cluster.writers_of(RolloutState::Serving).len(), 1);
    cluster.store.restore(&copy);
    cluster.run(millis(3_000));
    assert_eq!(cluster.writers_of(RolloutState::Serving).len(), 1);
}

#[test]
fn conductor_that_was_frozen_does_not_undo_the_decision_of_the_next() {
    let mut cluster = ordered();
    let first = cluster.ranking("s")[0];
    cluster.run_with_traffic(millis(1_000), "s", GOOD, STABLE);
    cluster.down.insert(first);
    cluster.run_with_traffic(millis(4_000), "s", BAD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
    cluster.down.remove(&first);
    cluster.run(millis(6_000));
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
    assert_eq!(cluster.roles(first, "s"), rejected_roles());
}

#[test]
fn conductor_without_reports_leaves_the_decision_to_the_one_with_reports() {
    let mut cluster = ordered();
    let first = cluster.ranking("s")[0];
    cluster.down.insert(first);
    cluster.run_with_traffic(millis(8_500), "s", GOOD, STABLE);
    cluster.down.remove(&first);
    for _ in 0..12 {
        for node in (0..3).filter(|node| *node != first) {
            cluster.record(node, "s", GOOD, STABLE);
        }
        cluster.run(millis(250));
    }
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
}

#[test]
fn good_version_completes_although_the_conductor_is_killed_late() {
    let mut cluster = ordered();
    let first = cluster.ranking("s")[0];
    cluster.run_with_traffic(millis(9_500), "s", GOOD, STABLE);
    cluster.down.insert(first);
    cluster.run_with_traffic(millis(2_000), "s", GOOD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
}

#[test]
fn trial_goes_on_after_all_nodes_were_killed() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(1_000), "s", GOOD, STABLE);
    cluster.restart_all();
    cluster.run(millis(4_000));
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), trial_roles(), "node {node}");
    }
    assert_eq!(cluster.writers_of(RolloutState::Serving).len(), 1);
    cluster.run_with_traffic(millis(11_000), "s", GOOD, STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
}

#[test]
fn rejected_version_stays_rejected_after_all_nodes_were_killed() {
    let mut cluster = ordered();
    cluster.run_with_traffic(millis(4_000), "s", BAD, STABLE);
    cluster.restart_all();
    cluster.run(millis(4_000));
    for node in 0..3 {
        assert_eq!(cluster.roles(node, "s"), rejected_roles(), "node {node}");
    }
}

#[test]
fn successor_collects_the_counts_of_all_nodes_before_it_decides() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    cluster.run_with_traffic(millis(9_500), "s", [0, 0], STABLE);
    cluster.down.insert(ranking[0]);
    cluster.record(ranking[1], "s", [6, 0], STABLE);
    cluster.record(ranking[2], "s", [6, 0], STABLE);
    cluster.run_with_traffic(millis(2_500), "s", [0, 0], STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
}

#[test]
fn possible_successor_without_requests_learns_the_decision() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    cluster.store.refused_writers.extend(0..3);
    cluster.record(ranking[0], "s", [0, 50], STABLE);
    for _ in 0..100 {
        cluster.run(millis(5));
        if cluster.roles(ranking[0], "s") == rejected_roles() {
            break;
        }
    }
    cluster.run(millis(20));
    assert_eq!(cluster.roles(ranking[1], "s"), rejected_roles());
}

#[test]
fn node_that_lost_sight_of_the_others_does_not_reject_a_good_version() {
    let mut cluster = ordered();
    let last = cluster.ranking("s")[2];
    cluster.isolated.insert(last);
    for _ in 0..44 {
        for node in 0..3 {
            let trial = if node == last { [0, 0] } else { GOOD };
            cluster.record(node, "s", trial, STABLE);
        }
        cluster.run(millis(250));
    }
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
}

#[test]
fn decision_is_written_by_another_member_if_the_conductor_is_killed_before() {
    let mut cluster = ordered();
    let first = cluster.ranking("s")[0];
    cluster.store.refused_writers.insert(first);
    cluster.run_with_traffic(millis(750), "s", [0, 10], STABLE);
    assert_eq!(cluster.roles(first, "s"), rejected_roles());
    cluster.down.insert(first);
    cluster.run(millis(3_000));
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
}

#[test]
fn write_whose_result_is_never_reported_is_repeated() {
    let mut cluster = Cluster::start(1, &["s"]);
    cluster.store.register("s-3", "s", "new");
    cluster.store.order("s", "new");
    cluster.run(millis(1_000));
    cluster.store.refused_writers.insert(0);
    cluster.store.results_to_drop = 1;
    cluster.run_with_traffic(millis(1_500), "s", [0, 20], STABLE);
    assert_eq!(cluster.store.results_to_drop, 0);
    cluster.store.refused_writers.clear();
    cluster.run(millis(3_000));
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
}

#[test]
fn final_state_found_by_a_conflicting_write_is_adopted() {
    let mut cluster = ordered();
    cluster.store.hides_changes = true;
    cluster.store.set_state("s", RolloutState::Complete);
    cluster.run_with_traffic(millis(2_000), "s", [0, 10], STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::Complete));
    for node in 0..3 {
        assert_eq!(role_at(&cluster, node, "s", "new"), VersionRole::Serving);
    }
}

#[test]
fn change_of_the_object_does_not_keep_a_decision_from_being_written() {
    let mut cluster = ordered();
    cluster.store.hides_changes = true;
    cluster.store.set_state("s", RolloutState::Serving);
    cluster.run_with_traffic(millis(2_000), "s", [0, 10], STABLE);
    assert_eq!(cluster.store.state("s"), Some(RolloutState::RolledBack));
}

#[test]
fn writes_that_are_refused_are_repeated_with_pauses() {
    let mut cluster = ordered();
    cluster.store.refused_writers.extend(0..3);
    let before = cluster.store.writes.len();
    cluster.run_with_traffic(millis(5_000), "s", [0, 10], STABLE);
    let writes = cluster.store.writes.len() - before;
    assert!((3..=20).contains(&writes), "{writes} writes in 5 s");
}

#[test]
fn decision_of_a_conductor_that_knows_little_yields_to_another() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    let (conductor, other) = (ranking[0], ranking[1]);
    cluster.store.refused_writers.extend(0..3);
    cluster.run(millis(10_500));
    assert_eq!(cluster.roles(conductor, "s"), rejected_roles());
    let decision = Some(RolloutState::Complete);
    let event = grant_event(&cluster, conductor, other, decision);
    let gateway = &mut cluster.nodes[conductor];
    gateway.handle(gateway.now, event);
    let role = role_at(&cluster, conductor, "s", "new");
    assert_eq!(role, VersionRole::Serving);
}

#[test]
fn decision_of_a_conductor_that_knows_little_is_not_told() {
    let mut cluster = ordered();
    let ranking = cluster.ranking("s");
    cluster.store.refused_writers.extend(0..3);
    cluster.run(millis(9_800));
    cluster.record(ranking[1], "s", [0, 0], [1, 0]);
    cluster.run(millis(500));
    assert_eq!(cluster.roles(ranking[0], "s"), rejected_roles());
    assert_eq!(cluster.roles(ranking[1], "s").rejected, None);
}
