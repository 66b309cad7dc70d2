//! Sharing of back ends' health.

use crate::bundles::{back_end, bundle};
use crate::cluster::{Cluster, Network, seconds};
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::peer::health::HealthRecord;

const NODES: usize = 20;
const BACK_ENDS: usize = 96;
const REGIONS: usize = 2;

fn formed(seed: u64) -> Cluster {
    let network = Network {
        loss: 0.01,
        ..Network::default()
    };
    let mut cluster = Cluster::new(seed, network);
    cluster.start_many(NODES, REGIONS, seconds(0.05));
    cluster
        .run_until(seconds(60.0), Cluster::agreed)
        .expect("the cluster forms");
    cluster.install(bundle(BACK_ENDS, REGIONS));
    cluster.run(seconds(15.0));
    cluster
}

fn say(cluster: &mut Cluster, index: usize, readiness: Readiness) {
    let model = cluster.back_ends.get_mut(&back_end(index));
    model.expect("it exists").report.readiness = readiness;
}

fn leaving(record: &HealthRecord) -> bool {
    record.readiness == Readiness::Leaving
}

fn published(cluster: &Cluster) -> u64 {
    let processes = cluster.processes.iter();
    processes
        .map(|process| process.parts.health.counters().published)
        .sum()
}

#[test]
fn a_leaving_back_end_is_known_everywhere_within_three_seconds() {
    for seed in 0..5 {
        let mut cluster = formed(seed);
        say(&mut cluster, 5, Readiness::Leaving);
        let id = back_end(5);
        let took = cluster.run_until(seconds(3.0), |cluster| cluster.all_believe(&id, leaving));
        assert!(took.is_some(), "seed {seed}: leaving not known");
    }
}

#[test]
fn a_lagging_health_endpoint_does_not_undo_leaving() {
    let mut cluster = formed(10);
    let id = back_end(7);
    let mut seen = cluster.believed(3, &id);
    seen.readiness = Readiness::Leaving;
    cluster.drive(3, |parts, context| {
        parts.health.apply_observation(context, &seen)
    });
    let spread = cluster.run_until(seconds(1.0), |cluster| cluster.all_believe(&id, leaving));
    assert!(spread.is_some(), "a reply's header is news for all");
    cluster.run(seconds(8.0));
    assert!(
        cluster.all_believe(&id, leaving),
        "probes that lag undid it"
    );
    let back = cluster.run_until(seconds(15.0), |cluster| {
        cluster.all_believe(&id, |record| !leaving(record))
    });
    assert!(
        back.is_some(),
        "a back end that goes on taking work is used again"
    );
}

#[test]
fn one_node_with_a_broken_link_takes_nothing_out_elsewhere() {
    let mut cluster = formed(11);
    for model in cluster.back_ends.values_mut() {
        model.cut_from.push(4);
    }
    cluster.run(seconds(30.0));
    let unreachable_from = cluster.processes[4].parts.health.counters().unreachable;
    assert!(unreachable_from > 0, "the node itself must notice");
    for index in 0..BACK_ENDS {
        for host in (0..NODES).filter(|host| *host != 4) {
            let record = cluster.believed(host, &back_end(index));
            assert!(
                record.reachable,
                "host {host} believes the node with the broken link"
            );
        }
    }
}

#[test]
fn a_dead_back_end_is_known_everywhere_and_so_is_its_return() {
    let mut cluster = formed(12);
    let id = back_end(20);
    cluster.back_ends.get_mut(&id).unwrap().down = true;
    let took = cluster.run_until(seconds(20.0), |cluster| {
        cluster.all_believe(&id, |record| !record.reachable)
    });
    assert!(took.is_some(), "observers agree, so all must know");
    cluster.back_ends.get_mut(&id).unwrap().down = false;
    let took = cluster.run_until(seconds(20.0), |cluster| {
        cluster.all_believe(&id, |record| record.reachable)
    });
    assert!(took.is_some(), "its return must be known");
}

#[test]
fn new_and_resumed_nodes_learn_all_facts_from_peers() {
    let mut cluster = formed(13);
    cluster.pause(6);
    for index in 0..BACK_ENDS {
        let model = cluster.back_ends.get_mut(&back_end(index)).unwrap();
        model.report.snapshots = Some(vec![format!("snapshot-{}", index % 3).as_str().into()]);
    }
    say(&mut cluster, 30, Readiness::Leaving);
    cluster.run(seconds(60.0));
    cluster.resume(6);
    let new = cluster.start(NODES, 0, &[0, 1]);
    cluster.run(seconds(30.0));
    for index in 0..BACK_ENDS {
        let id = back_end(index);
        let known = cluster.believed(0, &id);
        for host in [6, new] {
            let record = cluster.believed(host, &id);
            assert_eq!(record.snapshots, known.snapshots, "host {host}, {id}");
            assert_eq!(record.readiness, known.readiness, "host {host}, {id}");
        }
        assert!(known.snapshots.is_some(), "{id} was never learnt");
    }
}

#[test]
fn a_back_end_that_contradicts_itself_is_published_ever_less() {
    let mut cluster = formed(14);
    let before = published(&cluster);
    for round in 0..600 {
        let said = [Readiness::Ready, Readiness::Cold][round % 2];
        say(&mut cluster, 2, said);
        cluster.run(seconds(1.0));
    }
    let changes = published(&cluster) - before;
    assert!(
        (1..100).contains(&changes),
        "{changes} changes in ten minutes"
    );
}

#[test]
fn a_back_end_that_left_the_bundle_is_forgotten() {
    let mut cluster = formed(15);
    cluster.install(bundle(BACK_ENDS - 1, REGIONS));
    cluster.run(seconds(5.0));
    let gone = back_end(BACK_ENDS - 1);
    for process in &cluster.processes {
        assert_eq!(process.parts.health.record(&gone), None);
    }
}

#[test]
fn what_the_router_is_told_is_what_is_believed() {
    let mut cluster = formed(16);
    say(&mut cluster, 9, Readiness::Cold);
    cluster.back_ends.get_mut(&back_end(10)).unwrap().down = true;
    cluster.run(seconds(20.0));
    for host in 0..NODES {
        for (id, told) in cluster.processes[host].told.clone() {
            let believed = cluster.believed(host, &id);
            assert_eq!(told.readiness, believed.readiness, "host {host}, {id}");
            assert_eq!(told.reachable, believed.reachable, "host {host}, {id}");
        }
    }
}

#[test]
fn a_new_node_knows_who_leaves_before_it_is_informed() {
    for seed in 0..5 {
        let mut cluster = formed(20 + seed);
        say(&mut cluster, 30, Readiness::Leaving);
        cluster.run(seconds(4.0));
        let new = cluster.start(NODES, 0, &[0, 1]);
        let informed = |cluster: &Cluster| cluster.processes[new].parts.health.is_bootstrapped();
        assert!(!informed(&cluster), "nobody has told it anything yet");
        let took = cluster.run_until(seconds(1.2), informed);
        assert!(took.is_some(), "seed {seed}: it must not wait for ever");
        assert!(
            leaving(&cluster.believed(new, &back_end(30))),
            "seed {seed}"
        );
    }
}

#[test]
fn a_node_without_peers_does_not_wait_for_them() {
    let mut cluster = Cluster::new(30, Network::default());
    cluster.install(bundle(BACK_ENDS, REGIONS));
    let first = cluster.start(0, 0, &[]);
    assert!(cluster.processes[first].parts.health.is_bootstrapped());
    let lost = cluster.start(1, 1, &[5]);
    assert!(!cluster.processes[lost].parts.health.is_bootstrapped());
    cluster.run(seconds(1.1));
    assert!(cluster.processes[lost].parts.health.is_bootstrapped());
}
