//! Configuration dissemination: reaches every node, never goes back, and few nodes use the platform.

use crate::cluster::{Cluster, Conditions, Host, roll_out, seconds};
use crate::sample;

/// A cluster of two regions in which generation 1 is active.
fn settled_cluster(seed: u64, count: usize, conditions: Conditions) -> Cluster {
    let mut cluster = Cluster::new(seed, conditions);
    roll_out(&mut cluster, sample::bundle("v1", &["search"]));
    cluster.start_many(count, 2, seconds(0.02));
    let took = cluster.run_until(seconds(30.0), |cluster| cluster.all_have(1));
    assert!(took.is_some(), "a configuration reaches every node");
    cluster.run(seconds(20.0));
    cluster
}

#[test]
fn generation_is_active_everywhere_despite_loss_and_crashes() {
    let conditions = Conditions {
        loss: 0.01,
        ..Conditions::default()
    };
    let mut cluster = settled_cluster(1, 40, conditions);
    for host in [3, 17, 30] {
        cluster.crash(host);
    }
    roll_out(&mut cluster, sample::bundle("v2", &["search"]));
    let took = cluster.run_until(seconds(30.0), |cluster| cluster.all_have(2));
    assert!(
        took.is_some_and(|took| took <= seconds(4.0)),
        "took {took:?}"
    );
}

#[test]
fn platform_user_count_does_not_grow_with_cluster_size() {
    for count in [6, 24, 60] {
        let mut cluster = settled_cluster(2, count, Conditions::default());
        cluster.platform_requests.clear();
        roll_out(&mut cluster, sample::bundle("v2", &["search"]));
        cluster.run(seconds(60.0));
        assert!(cluster.all_have(2));
        assert_eq!(
            cluster.readers().len(),
            4,
            "two readers in each of two regions"
        );
        let users = cluster.platform_users().len();
        assert!(
            users <= 8,
            "{users} of {count} nodes sent platform requests"
        );
    }
}

#[test]
fn readers_are_replaced_after_crash_pause_and_leave() {
    let mut cluster = settled_cluster(3, 20, Conditions::default());
    let first = cluster.readers();
    cluster.crash(first[0]);
    cluster.pause(first[1]);
    cluster.leave(first[2]);
    cluster.run(seconds(0.1));
    let are_replaced = |cluster: &Cluster| {
        let readers = cluster.readers();
        readers.len() == 4 && !readers.contains(&first[2])
    };
    let took = cluster.run_until(seconds(60.0), are_replaced);
    assert!(
        took.is_some_and(|took| took <= seconds(20.0)),
        "took {took:?}"
    );
    roll_out(&mut cluster, sample::bundle("v2", &["search"]));
    let took = cluster.run_until(seconds(10.0), |cluster| cluster.all_have(2));
    assert!(
        took.is_some_and(|took| took <= seconds(4.0)),
        "took {took:?}"
    );
}

#[test]
fn resumed_reader_does_not_restore_old_generation() {
    let mut cluster = settled_cluster(4, 12, Conditions::default());
    let reader = cluster.readers()[0];
    cluster.pause(reader);
    for version in ["v2", "v3"] {
        roll_out(&mut cluster, sample::bundle(version, &["search"]));
        cluster.run(seconds(8.0));
    }
    assert!(cluster.all_have(3));
    cluster.resume(reader);
    let took = cluster.run_until(seconds(20.0), |cluster| cluster.all_have(3));
    assert!(took.is_some());
}

#[test]
fn new_node_gets_configuration_from_peers_without_platform() {
    let mut cluster = settled_cluster(5, 8, Conditions::default());
    cluster.set_platform_down(true);
    cluster.run(seconds(60.0));
    let new = cluster.start(100, 1);
    let took = cluster.run_until(seconds(10.0), |cluster| cluster.generation(new).is_some());
    assert!(
        took.is_some_and(|took| took <= seconds(3.0)),
        "took {took:?}"
    );
    let age = |cluster: &Cluster, host: Host| {
        let configuration = &cluster.processes[host].control.configuration;
        configuration.platform_age(cluster.now)
    };
    cluster.run(seconds(30.0));
    assert!(age(&cluster, new).is_some_and(|age| age >= seconds(90.0)));
    cluster.set_platform_down(false);
    roll_out(&mut cluster, sample::bundle("v2", &["search"]));
    let took = cluster.run_until(seconds(60.0), |cluster| cluster.all_have(2));
    assert!(
        took.is_some_and(|took| took <= seconds(10.0)),
        "took {took:?}"
    );
}

#[test]
fn generations_advance_during_and_after_region_split() {
    let mut cluster = settled_cluster(6, 16, Conditions::default());
    cluster.conditions.regions_split = true;
    cluster.run(seconds(60.0));
    roll_out(&mut cluster, sample::bundle("v2", &["search"]));
    let took = cluster.run_until(seconds(60.0), |cluster| cluster.all_have(2));
    assert!(took.is_some(), "each region has its own readers");
    cluster.conditions.regions_split = false;
    roll_out(&mut cluster, sample::bundle("v3", &["search"]));
    let took = cluster.run_until(seconds(60.0), |cluster| cluster.all_have(3));
    assert!(took.is_some());
}

#[test]
fn region_without_platform_gets_generation_from_other_region() {
    let mut cluster = settled_cluster(7, 16, Conditions::default());
    for host in cluster.running() {
        cluster.processes[host].platform_unreachable = cluster.processes[host].region == 1;
    }
    cluster.run(seconds(30.0));
    roll_out(&mut cluster, sample::bundle("v2", &["search"]));
    let took = cluster.run_until(seconds(10.0), |cluster| cluster.all_have(2));
    assert!(
        took.is_some_and(|took| took <= seconds(4.0)),
        "took {took:?}"
    );
}

#[test]
fn generation_spreads_despite_silent_watch_compaction_and_lost_replies() {
    let mut cluster = settled_cluster(8, 10, Conditions::default());
    cluster.conditions.watches_silent = true;
    roll_out(&mut cluster, sample::bundle("v2", &["search"]));
    let took = cluster.run_until(seconds(10.0), |cluster| cluster.all_have(2));
    assert!(
        took.is_some_and(|took| took <= seconds(4.0)),
        "took {took:?}"
    );
    cluster.conditions.watches_silent = false;
    cluster.compact();
    cluster.conditions.reply_loss = 0.3;
    roll_out(&mut cluster, sample::bundle("v3", &["search"]));
    let took = cluster.run_until(seconds(60.0), |cluster| cluster.all_have(3));
    assert!(took.is_some());
}

#[test]
fn node_without_configuration_retries_pulls_often() {
    let mut cluster = Cluster::new(9, Conditions::default());
    cluster.start_many(3, 1, seconds(0.1));
    cluster.run(seconds(20.0));
    let requests = |cluster: &Cluster| {
        let configuration = &cluster.processes[2].control.configuration;
        configuration.counters().requests_sent
    };
    let before = requests(&cluster);
    cluster.run(seconds(10.0));
    let requests = requests(&cluster) - before;
    assert!(requests >= 15, "{requests} requests in 10 s");
}
