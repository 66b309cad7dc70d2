//! Membership of many nodes in virtual time.

use crate::cluster::{Cluster, Network, seconds};
use thornbridge_proto::peer::membership::MemberState;

const LOSS_RATE: f64 = 0.01;

fn lossy() -> Network {
    Network {
        loss: LOSS_RATE,
        ..Network::default()
    }
}

#[test]
fn nodes_join_through_seeds() {
    for seed in 0..5 {
        let mut cluster = Cluster::new(seed, lossy());
        cluster.start_nodes(3, 1, seconds(0.0));
        let elapsed = cluster.run_until(seconds(5.0), Cluster::converged);
        assert!(elapsed.is_some(), "seed {seed}: not converged within 5 s");
    }
}

#[test]
fn crash_and_leave_are_known_within_three_seconds() {
    for (seed, reports_link_down) in [(1, false), (2, true), (3, false)] {
        let network = Network {
            reports_link_down,
            ..lossy()
        };
        let mut cluster = Cluster::new(seed, network);
        cluster.start_nodes(40, 2, seconds(0.05));
        cluster
            .run_until(seconds(60.0), Cluster::converged)
            .expect("the cluster converges");
        cluster.crash(7);
        let elapsed = cluster.run_until(seconds(3.0), |cluster| cluster.all_observe(7, None));
        assert!(
            elapsed.is_some(),
            "seed {seed}: crash not known to all within 3 s"
        );
        cluster.leave(8);
        let leaving = Some(MemberState::Leaving);
        let elapsed = cluster.run_until(seconds(3.0), |cluster| cluster.all_observe(8, leaving));
        assert!(
            elapsed.is_some(),
            "seed {seed}: leaving not known to all within 3 s"
        );
        cluster.run(seconds(10.0));
        assert!(
            cluster.all_observe(8, leaving),
            "seed {seed}: leaving reverted"
        );
        let pauses = cluster.processes.iter();
        let pauses: u64 = pauses
            .map(|process| process.parts.membership.counters().pauses)
            .sum();
        assert_eq!(
            pauses, 0,
            "seed {seed}: a pause was detected although no process was paused"
        );
    }
}

#[test]
fn resumed_node_rejoins_and_declares_no_member_dead() {
    let mut cluster = Cluster::new(4, lossy());
    cluster.start_nodes(20, 1, seconds(0.05));
    cluster
        .run_until(seconds(60.0), Cluster::converged)
        .expect("the cluster converges");
    cluster.pause(5);
    cluster.run(seconds(30.0));
    assert!(
        cluster.all_observe(5, None),
        "the paused node was not declared dead within 30 s"
    );
    cluster.resume(5);
    let elapsed = cluster.run_until(seconds(10.0), Cluster::converged);
    assert!(
        elapsed.is_some(),
        "not converged within 10 s of the resumption"
    );
    let declared_dead = cluster.processes[5]
        .parts
        .membership
        .counters()
        .declared_dead;
    assert_eq!(declared_dead, 0, "the paused node declared others dead");
}

#[test]
fn node_without_live_seeds_joins_through_machine_list() {
    let mut cluster = Cluster::new(5, lossy());
    cluster.start_nodes(6, 1, seconds(0.05));
    cluster.crash(0);
    cluster.run(seconds(20.0));
    let with_dead_seed = cluster.start(50, 0, &[0]);
    let without_seeds = cluster.start(51, 0, &[]);
    let elapsed = cluster.run_until(seconds(60.0), Cluster::converged);
    assert!(elapsed.is_some(), "not converged within 60 s");
    for host in [with_dead_seed, without_seeds] {
        let counters = cluster.processes[host].parts.membership.counters();
        let requests = counters.machine_lists_wanted;
        assert!(
            (1..=4).contains(&requests),
            "the list of machines was requested {requests} times"
        );
    }
    let counters = cluster.processes[1].parts.membership.counters();
    assert_eq!(
        counters.machine_lists_wanted, 0,
        "a node with peers requested the list of machines"
    );
}

#[test]
fn separately_formed_clusters_merge() {
    let mut cluster = Cluster::new(6, lossy());
    cluster.network.regions_split = true;
    cluster.start(0, 0, &[]);
    cluster.start(1, 0, &[0]);
    cluster.start(2, 1, &[0]);
    cluster.start(3, 1, &[2, 0]);
    cluster.run(seconds(30.0));
    assert!(!cluster.converged());
    cluster.network.regions_split = false;
    let elapsed = cluster.run_until(seconds(90.0), Cluster::converged);
    assert!(elapsed.is_some(), "not merged within 90 s");
}

#[test]
fn healing_of_region_split_uses_little_bandwidth() {
    const NODES: usize = 16;
    let mut cluster = Cluster::new(7, lossy());
    cluster.start_nodes(NODES, 2, seconds(0.05));
    cluster
        .run_until(seconds(60.0), Cluster::converged)
        .expect("the cluster converges");
    cluster.network.regions_split = true;
    cluster.run(seconds(60.0));
    for host in 0..NODES {
        assert_eq!(cluster.view(host).members().len(), NODES / 2, "host {host}");
    }
    cluster.run(seconds(3_540.0));
    let total_bytes_sent = |cluster: &Cluster| -> u64 {
        let processes = cluster.processes.iter();
        processes.map(|process| process.bytes_sent).sum()
    };
    let before = total_bytes_sent(&cluster);
    cluster.network.regions_split = false;
    let elapsed = cluster.run_until(seconds(300.0), Cluster::converged);
    let elapsed = elapsed.expect("the regions converge within five minutes");
    let bytes_per_second =
        (total_bytes_sent(&cluster) - before) as f64 / NODES as f64 / elapsed.as_secs_f64();
    assert!(
        bytes_per_second < 5_000.0,
        "{bytes_per_second} B/s per node while healing"
    );
}

#[test]
fn leaving_members_serve_indirect_probes() {
    let network = Network {
        loss: 0.02,
        ..Network::default()
    };
    let mut cluster = Cluster::new(8, network);
    cluster.start_nodes(6, 1, seconds(0.05));
    cluster.run(seconds(10.0));
    for host in 2..6 {
        cluster.leave(host);
    }
    cluster.run(seconds(300.0));
    for host in 0..2 {
        let counters = cluster.processes[host].parts.membership.counters();
        assert!(
            counters.indirect_probes > 0,
            "host {host}: expected indirect probes after lost pings"
        );
        assert_eq!(counters.suspicions_raised, 0, "host {host}");
    }
}
