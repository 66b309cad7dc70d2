//! Cost and latency of dissemination by cluster size, in virtual time, with message loss. Every
//! second change coincides with the crash of a node, which is replaced later.
//!
//! `THORNBRIDGE_LONG` adds the larger sizes of docs/CAPACITY.md.

use crate::cluster::{Cluster, Conditions, roll_out, seconds};
use crate::sample;
use std::time::Duration;
use thornbridge_config::bundle::{BackEnd, Bundle};
use thornbridge_config::canonical::SectionSet;

const SERVICES: usize = 5;
const SHARDS: usize = 190;
const CHANGE_INTERVAL: Duration = Duration::from_secs(97);
const CHANGES: usize = 6;

/// A bundle that divides the servers among the services and their shards.
fn bundle(servers: usize) -> Bundle {
    let names: Vec<String> = (0..SERVICES)
        .map(|index| format!("service-{index}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut bundle = sample::bundle("v1", &names);
    for service in &mut bundle.services {
        let back_ends = (0..servers / SERVICES).map(|index| BackEnd {
            id: format!("{}-server-{index:04}", service.name)
                .as_str()
                .into(),
            address: ([10, 200, (index >> 8) as u8, index as u8], 9_000).into(),
            zone: format!("zone-{}", index % 6).into(),
            slots: 5,
            connections: 70,
        });
        service.back_ends = back_ends.collect();
        let shards = SHARDS.min(service.back_ends.len());
        let mut layout = vec![Vec::new(); shards];
        for (index, back_end) in service.back_ends.iter().enumerate() {
            layout[index % shards].push(back_end.id.clone());
        }
        service.layouts[0].shards = layout;
    }
    bundle
}

/// Applies a change: a new snapshot for even counts, a replaced server for odd ones.
fn change(bundle: &mut Bundle, count: usize) {
    bundle.version = format!("v{}", count + 2).into();
    let service = &mut bundle.services[count % SERVICES];
    if count.is_multiple_of(2) {
        service.snapshots[0].id = format!("snapshot-{}", count + 2).into();
        return;
    }
    let position = 7 * count % service.back_ends.len();
    let new = format!("{}-replacement-{count}", service.name);
    let old = std::mem::replace(&mut service.back_ends[position].id, new.as_str().into());
    for shard in &mut service.layouts[0].shards {
        for id in shard.iter_mut().filter(|id| **id == old) {
            *id = new.as_str().into();
        }
    }
}

/// Results of a run, printed with [`std::fmt::Debug`].
#[derive(Debug)]
#[allow(dead_code, reason = "some fields are only printed")]
struct Cost {
    nodes: usize,
    bundle_bytes: usize,
    max_activation_time: Duration,
    mean_bytes_per_second: f64,
    max_bytes_per_second: f64,
    other_bytes_per_second: f64,
    /// Largest number of nodes that sent platform requests within ten seconds.
    platform_users: usize,
    deltas: u64,
    wholes: u64,
    announcements: u64,
    signatures_per_node: f64,
    /// Largest platform age over all nodes, while the platform is available.
    max_platform_age: Duration,
}

fn measure(nodes: usize, seed: u64) -> Cost {
    let conditions = Conditions {
        loss: 0.01,
        ..Conditions::default()
    };
    let mut cluster = Cluster::new(seed, conditions);
    let mut bundle = bundle(nodes * 48 / 10);
    let bundle_bytes = SectionSet::of(&bundle).unwrap().total_bytes();
    roll_out(&mut cluster, bundle.clone());
    cluster.start_many(nodes, 2, seconds(2.0 / nodes as f64));
    cluster.run_until(seconds(60.0), |cluster| cluster.all_have(1));
    cluster.run(seconds(60.0));
    let start = cluster.now;
    let sent_before: Vec<(u64, u64)> = bytes(&cluster);
    let counters_before = counters(&cluster);
    cluster.platform_requests.clear();
    let mut max_activation_time = Duration::ZERO;
    for count in 0..CHANGES {
        change(&mut bundle, count);
        if count % 2 == 1 {
            cluster.crash(3 + count);
        }
        roll_out(&mut cluster, bundle.clone());
        let generation = count as u64 + 2;
        let took = cluster.run_until(seconds(30.0), |cluster| cluster.all_have(generation));
        max_activation_time =
            max_activation_time.max(took.expect("the change is active on every node"));
        cluster.run(CHANGE_INTERVAL / 2);
        if count % 2 == 1 {
            cluster.start(nodes + count, count % 2);
        }
        cluster.run(CHANGE_INTERVAL / 2 - took.unwrap());
    }
    let elapsed = cluster.now.since(start).as_secs_f64();
    let sent_now = bytes(&cluster);
    let configuration: Vec<f64> = sent_now
        .iter()
        .enumerate()
        .map(|(host, now)| {
            (now.0 - sent_before.get(host).map_or(0, |sent| sent.0)) as f64 / elapsed
        })
        .collect();
    let other: u64 = sent_now.iter().map(|sent| sent.1).sum();
    let other_before: u64 = sent_before.iter().map(|sent| sent.1).sum();
    let counters_now = counters(&cluster);
    let platform_ages = cluster.running().into_iter().map(|host| {
        let configuration = &cluster.processes[host].control.configuration;
        configuration
            .platform_age(cluster.now)
            .unwrap_or(Duration::MAX)
    });
    Cost {
        max_platform_age: platform_ages.max().unwrap_or_default(),
        nodes,
        bundle_bytes,
        max_activation_time,
        mean_bytes_per_second: configuration.iter().sum::<f64>() / nodes as f64,
        max_bytes_per_second: configuration.iter().copied().fold(0.0, f64::max),
        other_bytes_per_second: (other - other_before) as f64 / elapsed / nodes as f64,
        platform_users: cluster.max_platform_users(),
        deltas: counters_now[0] - counters_before[0],
        wholes: counters_now[1] - counters_before[1],
        announcements: counters_now[2] - counters_before[2],
        signatures_per_node: (counters_now[3] - counters_before[3]) as f64 / nodes as f64,
    }
}

fn bytes(cluster: &Cluster) -> Vec<(u64, u64)> {
    let processes = cluster.processes.iter();
    processes
        .map(|process| (process.configuration_bytes, process.other_bytes))
        .collect()
}

fn counters(cluster: &Cluster) -> [u64; 4] {
    let mut sum = [0; 4];
    for process in &cluster.processes {
        let counters = process.control.configuration.counters();
        sum[0] += counters.deltas_sent;
        sum[1] += counters.wholes_sent;
        sum[2] += counters.announcements_sent;
        sum[3] += counters.signatures_checked;
    }
    sum
}

#[test]
fn change_activates_within_four_seconds_at_bounded_cost() {
    let sizes: &[usize] = match std::env::var_os("THORNBRIDGE_LONG") {
        Some(_) => &[40, 160, 690],
        None => &[40],
    };
    for nodes in sizes {
        let cost = measure(*nodes, 11);
        println!("{cost:?}");
        assert!(cost.max_activation_time <= seconds(4.0));
        assert!(cost.mean_bytes_per_second <= 1_500.0);
        assert!(cost.platform_users <= 8);
    }
}
