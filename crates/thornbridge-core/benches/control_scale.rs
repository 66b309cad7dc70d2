//! Cost and speed of membership and health sharing at several sizes, in virtual time.
//!
//! `cargo bench -p thornbridge-core --bench control_scale [-- 40 160 690]`. Bytes are those of
//! the encoded peer messages, without TCP and IP headers. Processor time is what this process
//! spent on a processor, divided by nodes and virtual seconds; it includes the share of the
//! virtual network and the encoding of each message.

#[path = "../tests/members/bundles.rs"]
mod bundles;
// Shared with the tests, which use more of it.
#[allow(dead_code)]
#[path = "../tests/members/cluster.rs"]
mod cluster;

use bundles::{back_end, bundle};
use cluster::{Cluster, Network, seconds};
use std::time::Duration;
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::peer::membership::MemberState;

const DEFAULT_SIZES: [usize; 3] = [40, 160, 690];
const LOSS: f64 = 0.01;
const REGIONS: usize = 2;
const BACK_ENDS_PER_NODE: f64 = 4.8;
const QUIET_SECONDS: f64 = 60.0;
const SAMPLES: usize = 10;

fn main() {
    let mut sizes: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    if sizes.is_empty() {
        sizes = DEFAULT_SIZES.to_vec();
    }
    for size in sizes {
        measure(size);
    }
}

fn measure(size: usize) {
    let network = Network {
        loss: LOSS,
        ..Network::default()
    };
    let resident_before = resident_bytes();
    let mut cluster = Cluster::new(size as u64, network);
    cluster.start_nodes(size, REGIONS, Duration::from_millis(50));
    let formed = cluster.run_until(seconds(600.0), Cluster::converged);
    println!("{size} nodes, 20 starts a second: agreed {formed:?} after the last start");
    let together = forms_at_once(size);
    println!("  all started at once: {together}");

    let quiet = window(&mut cluster, QUIET_SECONDS, |_| {});
    println!("  quiet, membership alone: {quiet}");
    let resident = resident_bytes().saturating_sub(resident_before) / size as u64;
    println!("  resident memory: {resident} B a node");
    measure_members(&mut cluster, size);
    measure_replacements(&mut cluster, size);
    measure_health(&mut cluster, size);
    measure_split(&mut cluster);
}

/// One replacement in 20 s, nine times the rate of 480 a day.
fn measure_replacements(cluster: &mut Cluster, size: usize) {
    let started = bytes(cluster);
    for sample in 0..6 {
        let victim = 100.min(size / 2) + sample;
        cluster.leave(victim);
        cluster.run(seconds(2.0));
        cluster.crash(victim);
        cluster.start(size + sample, sample % REGIONS, &[0, 1, 2]);
        cluster.run(seconds(18.0));
    }
    let nodes = cluster.running().len() as f64;
    let per_second = (bytes(cluster) - started) / nodes / 120.0;
    let agreed = cluster.converged();
    println!("  a replacement each 20 s, for 120 s: {per_second:.0} B/s a node, agreed {agreed}");
}

fn measure_split(cluster: &mut Cluster) {
    cluster.network.regions_split = true;
    let split = window(cluster, 120.0, |_| {});
    println!("  regions split, first 120 s: {split}");
    cluster.network.regions_split = false;
    for minute in 1..=10 {
        let healing = window(cluster, 60.0, |_| {});
        let agreed = cluster.converged();
        println!("  healing, minute {minute}: {healing}, agreed {agreed}");
        if agreed {
            return;
        }
    }
}

/// Time that this process has spent on a processor; zero where the system does not tell.
fn processor_time() -> Duration {
    let statistics = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanoseconds = statistics.split_whitespace().next();
    Duration::from_nanos(nanoseconds.and_then(|text| text.parse().ok()).unwrap_or(0))
}

/// Resident memory of this process, with all its nodes; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statistics = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = statistics.split_whitespace().nth(1);
    let pages = resident.and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn bytes(cluster: &Cluster) -> f64 {
    let processes = cluster.processes.iter();
    processes.map(|process| process.bytes_sent).sum::<u64>() as f64
}

fn measure_members(cluster: &mut Cluster, size: usize) {
    let mut crashes = Vec::new();
    let mut leaves = Vec::new();
    for sample in 0..SAMPLES {
        let victim = 3 + sample;
        cluster.crash(victim);
        let seen = cluster.run_until(seconds(30.0), |cluster| cluster.all_observe(victim, None));
        crashes.push(seen);
        cluster.run(seconds(5.0));
        let leaver = 3 + SAMPLES + sample;
        cluster.leave(leaver);
        let leaving = Some(MemberState::Leaving);
        let seen = cluster.run_until(seconds(30.0), |cluster| {
            cluster.all_observe(leaver, leaving)
        });
        leaves.push(seen);
        cluster.crash(leaver);
        cluster.run(seconds(5.0));
    }
    println!("  crash known everywhere: {}", spread(crashes));
    println!("  leaving known everywhere: {}", spread(leaves));

    let rack = size / 17;
    let lost = window(cluster, 30.0, |cluster| {
        for victim in 30..30 + rack {
            cluster.crash(victim);
        }
    });
    println!(
        "  rack of {rack} lost, 30 s: {lost}, agreed {}",
        cluster.converged()
    );
}

fn measure_health(cluster: &mut Cluster, size: usize) {
    let back_ends = (size as f64 * BACK_ENDS_PER_NODE) as usize;
    let installed = window(cluster, 60.0, |cluster| {
        cluster.install(bundle(back_ends, REGIONS));
    });
    println!("  first minute with {back_ends} back ends: {installed}");
    let quiet = window(cluster, QUIET_SECONDS, |_| {});
    println!("  quiet, with health: {quiet}");
    let resident = resident_bytes() / size as u64;
    println!("  resident memory of the whole process: {resident} B a node");

    let mut leaves = Vec::new();
    for sample in 0..SAMPLES {
        let id = back_end(sample * 7);
        let model = cluster.back_ends.get_mut(&id).expect("it is in the bundle");
        model.report.readiness = Readiness::Leaving;
        let seen = cluster.run_until(seconds(30.0), |cluster| {
            cluster.all_health_records(&id, |record| record.readiness == Readiness::Leaving)
        });
        leaves.push(seen);
    }
    println!(
        "  idle back end leaving, known everywhere: {}",
        spread(leaves)
    );

    for (name, share) in [("a tenth of", 10), ("all", 1)] {
        let label = format!("snapshot-of-{share}");
        let changed = window(cluster, 120.0, |cluster| {
            for index in (0..back_ends).step_by(share) {
                let model = cluster.back_ends.get_mut(&back_end(index));
                let snapshots = vec![label.as_str().into()];
                model.expect("it is in the bundle").report.snapshots = Some(snapshots);
            }
        });
        let known = known_share(cluster, back_ends, share, &label);
        println!("  new snapshot on {name} back ends, 120 s: {changed}, known {known:.4}");
    }
}

/// Share of pairs of a node and a changed back end where the node knows the new snapshot.
fn known_share(cluster: &Cluster, back_ends: usize, share: usize, label: &str) -> f64 {
    let mut known = 0;
    let mut pairs = 0;
    for host in cluster.running() {
        for index in (0..back_ends).step_by(share) {
            let record = cluster.health_record(host, &back_end(index));
            let holds = record
                .snapshots
                .is_some_and(|held| held[0].as_str() == label);
            pairs += 1;
            known += u64::from(holds);
        }
    }
    known as f64 / pairs as f64
}

fn forms_at_once(size: usize) -> String {
    let mut cluster = Cluster::new(size as u64 + 1, Network::default());
    cluster.start_nodes(size, REGIONS, Duration::ZERO);
    let agreed = cluster.run_until(seconds(600.0), Cluster::converged);
    let bytes: u64 = cluster
        .processes
        .iter()
        .map(|process| process.bytes_sent)
        .sum();
    let highest = cluster
        .processes
        .iter()
        .map(|process| process.bytes_sent)
        .max();
    format!(
        "agreed {agreed:?}, {} B a node, highest {highest:?}",
        bytes / size as u64
    )
}

struct Window {
    bytes: f64,
    bytes_maximum: f64,
    health_bytes: f64,
    probes: f64,
    messages: f64,
    processor: f64,
    largest: usize,
}

impl std::fmt::Display for Window {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:.0} B/s a node (highest {:.0}, for health {:.0}), {:.1} probes/s, {:.1} messages/s, largest {} B, processor {:.4}%",
            self.bytes,
            self.bytes_maximum,
            self.health_bytes,
            self.probes,
            self.messages,
            self.largest,
            self.processor * 100.0
        )
    }
}

fn window(cluster: &mut Cluster, length: f64, begin: impl FnOnce(&mut Cluster)) -> Window {
    for process in &mut cluster.processes {
        process.bytes_sent = 0;
        process.messages_sent = 0;
        process.health_bytes_sent = 0;
        process.probes_sent = 0;
        process.largest_message = 0;
    }
    let started = processor_time();
    begin(cluster);
    cluster.run(seconds(length));
    let processor = (processor_time() - started).as_secs_f64();
    let running = cluster.running();
    let nodes = running.len() as f64;
    let of = |host: &usize| &cluster.processes[*host];
    let bytes: u64 = running.iter().map(|host| of(host).bytes_sent).sum();
    let health: u64 = running.iter().map(|host| of(host).health_bytes_sent).sum();
    let probes: u64 = running.iter().map(|host| of(host).probes_sent).sum();
    let highest = running.iter().map(|host| of(host).bytes_sent).max();
    let messages: u64 = running.iter().map(|host| of(host).messages_sent).sum();
    let largest = running.iter().map(|host| of(host).largest_message).max();
    Window {
        bytes: bytes as f64 / nodes / length,
        bytes_maximum: highest.unwrap_or(0) as f64 / length,
        health_bytes: health as f64 / nodes / length,
        probes: probes as f64 / nodes / length,
        messages: messages as f64 / nodes / length,
        processor: processor / nodes / length,
        largest: largest.unwrap_or(0),
    }
}

fn spread(mut samples: Vec<Option<Duration>>) -> String {
    let missed = samples.iter().filter(|sample| sample.is_none()).count();
    samples.sort();
    let seen: Vec<Duration> = samples.into_iter().flatten().collect();
    let median = seen.get(seen.len() / 2);
    format!(
        "median {median:?}, longest {:?}, not within 30 s: {missed}",
        seen.last()
    )
}
