//! Health sharing of many nodes in virtual time.

use crate::bundles::{back_end, bundle};
use crate::cluster::{Cluster, Network, seconds};
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::peer::health::HealthRecord;

const NODES: usize = 20;
const BACK_ENDS: usize = 96;
const REGIONS: usize = 2;

fn converged_cluster(seed: u64) -> Cluster {
    let network = Network {
        loss: 0.01,
        ..Network::default()
    };
    let mut cluster = Cluster::new(seed, network);
    cluster.start_nodes(NODES, REGIONS, seconds(0.05));
    cluster
        .run_until(seconds(60.0), Cluster::converged)
        .expect("the cluster converges");
    cluster.install(bundle(BACK_ENDS, REGIONS));
    cluster.run(seconds(15.0));
    cluster
}

fn set_readiness(cluster: &mut Cluster, index: usize, readiness: Readiness) {
    let model = cluster.back_ends.get_mut(&back_end(index));
    model.expect("the back end exists").report.readiness = readiness;
}

fn is_leaving(record: &HealthRecord) -> bool {
    record.readiness == Readiness::Leaving
}

fn published(cluster: &Cluster) -> u64 {
    let processes = cluster.processes.iter();
    processes
        .map(|process| process.parts.health.counters().published)
        .sum()
}

#[test]
fn leaving_back_end_is_known_within_three_seconds() {
    for seed in 0..5 {
        let mut cluster = converged_cluster(seed);
        set_readiness(&mut cluster, 5, Readiness::Leaving);
        let id = back_end(5);
        let elapsed = cluster.run_until(seconds(3.0), |cluster| {
            cluster.all_health_records(&id, is_leaving)
        });
        assert!(
            elapsed.is_some(),
            "seed {seed}: leaving not known to all within 3 s"
        );
    }
}

#[test]
fn stale_probe_reply_does_not_revert_leaving() {
    let mut cluster = converged_cluster(10);
    let id = back_end(7);
    let mut observation = cluster.health_record(3, &id);
    observation.readiness = Readiness::Leaving;
    cluster.drive(3, |parts, context| {
        parts.health.apply_observation(context, &observation)
    });
    let disseminated = cluster.run_until(seconds(1.0), |cluster| {
        cluster.all_health_records(&id, is_leaving)
    });
    assert!(
        disseminated.is_some(),
        "leaving seen in a reply was not known to all within 1 s"
    );
    cluster.run(seconds(8.0));
    assert!(
        cluster.all_health_records(&id, is_leaving),
        "stale probe replies reverted leaving"
    );
    let recovered = cluster.run_until(seconds(15.0), |cluster| {
        cluster.all_health_records(&id, |record| !is_leaving(record))
    });
    assert!(
        recovered.is_some(),
        "a back end that keeps reporting readiness was not ready again within 15 s"
    );
}

#[test]
fn failed_probes_of_one_node_do_not_affect_others() {
    let mut cluster = converged_cluster(11);
    for model in cluster.back_ends.values_mut() {
        model.unreachable_from.push(4);
    }
    cluster.run(seconds(30.0));
    let unreachable_count = cluster.processes[4].parts.health.counters().unreachable;
    assert!(
        unreachable_count > 0,
        "expected the node to find back ends unreachable"
    );
    for index in 0..BACK_ENDS {
        for host in (0..NODES).filter(|host| *host != 4) {
            let record = cluster.health_record(host, &back_end(index));
            assert!(
                record.reachable,
                "host {host} finds back end {index} unreachable after the votes of one node"
            );
        }
    }
}

#[test]
fn failed_and_recovered_back_end_is_known_to_all() {
    let mut cluster = converged_cluster(12);
    let id = back_end(20);
    cluster.back_ends.get_mut(&id).unwrap().down = true;
    let elapsed = cluster.run_until(seconds(20.0), |cluster| {
        cluster.all_health_records(&id, |record| !record.reachable)
    });
    assert!(elapsed.is_some(), "failure not known to all within 20 s");
    cluster.back_ends.get_mut(&id).unwrap().down = false;
    let elapsed = cluster.run_until(seconds(20.0), |cluster| {
        cluster.all_health_records(&id, |record| record.reachable)
    });
    assert!(elapsed.is_some(), "recovery not known to all within 20 s");
}

#[test]
fn new_and_resumed_nodes_receive_all_facts() {
    let mut cluster = converged_cluster(13);
    cluster.pause(6);
    for index in 0..BACK_ENDS {
        let model = cluster.back_ends.get_mut(&back_end(index)).unwrap();
        model.report.snapshots = Some(vec![format!("snapshot-{}", index % 3).as_str().into()]);
    }
    set_readiness(&mut cluster, 30, Readiness::Leaving);
    cluster.run(seconds(60.0));
    cluster.resume(6);
    let new_host = cluster.start(NODES, 0, &[0, 1]);
    cluster.run(seconds(30.0));
    for index in 0..BACK_ENDS {
        let id = back_end(index);
        let expected = cluster.health_record(0, &id);
        for host in [6, new_host] {
            let record = cluster.health_record(host, &id);
            assert_eq!(record.snapshots, expected.snapshots, "host {host}, {id}");
            assert_eq!(record.readiness, expected.readiness, "host {host}, {id}");
        }
        assert!(expected.snapshots.is_some(), "no snapshots known for {id}");
    }
}

#[test]
fn publishing_of_flapping_back_end_is_rate_limited() {
    let mut cluster = converged_cluster(14);
    let before = published(&cluster);
    for round in 0..600 {
        let readiness = [Readiness::Ready, Readiness::Cold][round % 2];
        set_readiness(&mut cluster, 2, readiness);
        cluster.run(seconds(1.0));
    }
    let changes = published(&cluster) - before;
    assert!(
        (1..100).contains(&changes),
        "{changes} changes published in ten minutes"
    );
}

#[test]
fn back_end_removed_from_bundle_has_no_record() {
    let mut cluster = converged_cluster(15);
    cluster.install(bundle(BACK_ENDS - 1, REGIONS));
    cluster.run(seconds(5.0));
    let removed = back_end(BACK_ENDS - 1);
    for process in &cluster.processes {
        assert_eq!(process.parts.health.record(&removed), None);
    }
}

#[test]
fn signalled_health_matches_record() {
    let mut cluster = converged_cluster(16);
    set_readiness(&mut cluster, 9, Readiness::Cold);
    cluster.back_ends.get_mut(&back_end(10)).unwrap().down = true;
    cluster.run(seconds(20.0));
    for host in 0..NODES {
        for (id, signalled_health) in cluster.processes[host].signalled_health.clone() {
            let health_record = cluster.health_record(host, &id);
            assert_eq!(
                signalled_health.readiness, health_record.readiness,
                "host {host}, {id}"
            );
            assert_eq!(
                signalled_health.reachable, health_record.reachable,
                "host {host}, {id}"
            );
        }
    }
}

#[test]
fn new_node_knows_leaving_back_ends_after_bootstrap() {
    for seed in 0..5 {
        let mut cluster = converged_cluster(20 + seed);
        set_readiness(&mut cluster, 30, Readiness::Leaving);
        cluster.run(seconds(4.0));
        let new_host = cluster.start(NODES, 0, &[0, 1]);
        let bootstrapped =
            |cluster: &Cluster| cluster.processes[new_host].parts.health.is_bootstrapped();
        assert!(
            !bootstrapped(&cluster),
            "bootstrapped before any peer answered"
        );
        let elapsed = cluster.run_until(seconds(1.2), bootstrapped);
        assert!(
            elapsed.is_some(),
            "seed {seed}: not bootstrapped within 1.2 s"
        );
        assert!(
            is_leaving(&cluster.health_record(new_host, &back_end(30))),
            "seed {seed}"
        );
    }
}

#[test]
fn node_without_peers_ends_bootstrap() {
    let mut cluster = Cluster::new(30, Network::default());
    cluster.install(bundle(BACK_ENDS, REGIONS));
    let without_seeds = cluster.start(0, 0, &[]);
    assert!(
        cluster.processes[without_seeds]
            .parts
            .health
            .is_bootstrapped()
    );
    let without_live_seed = cluster.start(1, 1, &[5]);
    assert!(
        !cluster.processes[without_live_seed]
            .parts
            .health
            .is_bootstrapped()
    );
    cluster.run(seconds(1.1));
    assert!(
        cluster.processes[without_live_seed]
            .parts
            .health
            .is_bootstrapped()
    );
}
