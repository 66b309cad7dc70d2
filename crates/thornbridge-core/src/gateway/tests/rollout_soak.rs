//! Roll-outs under random failures, with fixed seeds.

use super::rollout_cluster::Cluster;
use super::rollout_fixtures::{STABLE, role_at};
use super::support::millis;
use crate::gateway::servers::VersionRole;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_proto::peer::rollout::RolloutState;

const SEEDS: u64 = 12;
const NODES: usize = 5;
/// Steps of a quarter of a second in which failures begin and end.
const STEPS_WITH_FAILURES: usize = 40;
/// Time without failures after which all nodes agree.
const CALM: Duration = Duration::from_secs(12);

/// Begins or ends one failure.
fn change_failures(cluster: &mut Cluster, random: &mut Pcg64Mcg) {
    let node = random.random_range(0..NODES);
    match random.random_range(0..10) {
        0 => cluster.down.extend([node]),
        1 => cluster.isolated.extend([node]),
        2 => cluster.store.refused_writers.extend([node]),
        3 => cluster.store.answers_to_lose = 1,
        4 => cluster.store.results_to_drop = 1,
        5 => cluster.restart(node),
        _ => end_failures(cluster),
    }
}

fn end_failures(cluster: &mut Cluster) {
    cluster.down.clear();
    cluster.isolated.clear();
    cluster.store.refused_writers.clear();
}

/// Runs a roll-out with random failures, then a calm time.
fn run_with_failures(seed: u64, trial: [u32; 2]) -> Cluster {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut cluster = Cluster::start(NODES, &["s"]);
    cluster.store.order("s", "new");
    cluster.store.register("s-3", "s", "new");
    for _ in 0..STEPS_WITH_FAILURES {
        if random.random_bool(0.3) {
            change_failures(&mut cluster, &mut random);
        }
        cluster.run_with_traffic(millis(250), "s", trial, STABLE);
    }
    end_failures(&mut cluster);
    cluster.run_with_traffic(CALM, "s", trial, STABLE);
    cluster
}

#[test]
fn slack_is_claimed_at_most_once_whatever_fails() {
    for seed in 0..SEEDS {
        let cluster = run_with_failures(seed, [2, 0]);
        let claims = cluster.writers_of(RolloutState::Serving).len();
        assert!(claims <= 1, "seed {seed}: {claims} claims");
    }
}

#[test]
fn bad_version_never_completes_whatever_fails() {
    for seed in 0..SEEDS {
        let cluster = run_with_failures(seed, [0, 4]);
        let state = cluster.store.state("s");
        assert_eq!(state, Some(RolloutState::RolledBack), "seed {seed}");
    }
}

#[test]
fn all_nodes_agree_with_the_store_after_failures() {
    for seed in 0..SEEDS {
        let cluster = run_with_failures(seed, [2, 0]);
        let expected = match cluster.store.state("s") {
            Some(RolloutState::Complete) => VersionRole::Serving,
            Some(RolloutState::RolledBack) => VersionRole::Rejected,
            other => panic!("seed {seed}: {other:?} in the end"),
        };
        for node in 0..NODES {
            let role = role_at(&cluster, node, "s", "new");
            assert_eq!(role, expected, "seed {seed}, node {node}");
        }
    }
}

#[test]
fn final_state_is_written_once_whatever_fails() {
    for seed in 0..SEEDS {
        let cluster = run_with_failures(seed, [2, 0]);
        let complete = cluster.writers_of(RolloutState::Complete).len();
        let rolled_back = cluster.writers_of(RolloutState::RolledBack).len();
        assert_eq!(complete + rolled_back, 1, "seed {seed}");
    }
}
