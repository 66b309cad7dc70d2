//! Cost and convergence time of membership and health sharing by cluster size, in virtual time.
//!
//! `cargo bench -p thornbridge-core --bench control_scale [-- 40 160 690]`. Bytes are those of
//! the encoded peer messages, without TCP and IP headers. Processor time is that of this process,
//! divided by nodes and virtual seconds; it includes the virtual network and the encoding of each
//! message.

#[path = "../tests/members/bundles.rs"]
mod bundles;
// Shared with the tests, which use the items that are unused here.
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
    let converged = cluster.run_until(seconds(600.0), Cluster::converged);
    println!("{size} nodes, 20 starts a second: converged {converged:?} after the last start");
    let simultaneous = measure_simultaneous_start(size);
    println!("  all started at once: {simultaneous}");

    let quiet = measure_window(&mut cluster, QUIET_SECONDS, |_| {});
    println!("  quiet, membership alone: {quiet}");
    let resident = resident_bytes().saturating_sub(resident_before) / size as u64;
    println!("  resident memory: {resident} B a node");
    measure_members(&mut cluster, size);
    measure_replacements(&mut cluster, size);
    measure_health(&mut cluster, size);
    measure_split(&mut cluster);
}

/// Replaces a node every 20 s.
fn measure_replacements(cluster: &mut Cluster, size: usize) {
    let bytes_before = bytes(cluster);
    for sample in 0..6 {
        let victim = 100.min(size / 2) + sample;
        cluster.leave(victim);
        cluster.run(seconds(2.0));
        cluster.crash(victim);
        cluster.start(size + sample, sample % REGIONS, &[0, 1, 2]);
        cluster.run(seconds(18.0));
    }
    let nodes = cluster.running().len() as f64;
    let per_second = (bytes(cluster) - bytes_before) / nodes / 120.0;
    let converged = cluster.converged();
    println!(
        "  a replacement each 20 s, for 120 s: {per_second:.0} B/s a node, converged {converged}"
    );
}

fn measure_split(cluster: &mut Cluster) {
    cluster.network.regions_split = true;
    let split = measure_window(cluster, 120.0, |_| {});
    println!("  regions split, first 120 s: {split}");
    cluster.network.regions_split = false;
    for minute in 1..=10 {
        let healing = measure_window(cluster, 60.0, |_| {});
        let converged = cluster.converged();
        println!("  healing, minute {minute}: {healing}, converged {converged}");
        if converged {
            return;
        }
    }
}

/// Processor time of this process; zero if the system does not report it.
fn processor_time() -> Duration {
    let statistics = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanoseconds = statistics.split_whitespace().next();
    Duration::from_nanos(nanoseconds.and_then(|text| text.parse().ok()).unwrap_or(0))
}

/// Resident memory of this process, with all its nodes; 0 if the system does not report it.
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
        let elapsed = cluster.run_until(seconds(30.0), |cluster| cluster.all_observe(victim, None));
        crashes.push(elapsed);
        cluster.run(seconds(5.0));
        let leaver = 3 + SAMPLES + sample;
        cluster.leave(leaver);
        let leaving = Some(MemberState::Leaving);
        let elapsed = cluster.run_until(seconds(30.0), |cluster| {
            cluster.all_observe(leaver, leaving)
        });
        leaves.push(elapsed);
        cluster.crash(leaver);
        cluster.run(seconds(5.0));
    }
    println!("  crash known everywhere: {}", summary(crashes));
    println!("  leaving known everywhere: {}", summary(leaves));

    let rack_size = size / 17;
    let lost = measure_window(cluster, 30.0, |cluster| {
        for victim in 30..30 + rack_size {
            cluster.crash(victim);
        }
    });
    println!(
        "  rack of {rack_size} lost, 30 s: {lost}, converged {}",
        cluster.converged()
    );
}

fn measure_health(cluster: &mut Cluster, size: usize) {
    let back_ends = (size as f64 * BACK_ENDS_PER_NODE) as usize;
    let installed = measure_window(cluster, 60.0, |cluster| {
        cluster.install(bundle(back_ends, REGIONS));
    });
    println!("  first minute with {back_ends} back ends: {installed}");
    let quiet = measure_window(cluster, QUIET_SECONDS, |_| {});
    println!("  quiet, with health: {quiet}");
    let resident = resident_bytes() / size as u64;
    println!("  resident memory of the whole process: {resident} B a node");

    let mut leaves = Vec::new();
    for sample in 0..SAMPLES {
        let id = back_end(sample * 7);
        let model = cluster
            .back_ends
            .get_mut(&id)
            .expect("the back end is in the bundle");
        model.report.readiness = Readiness::Leaving;
        let elapsed = cluster.run_until(seconds(30.0), |cluster| {
            cluster.all_health_records(&id, |record| record.readiness == Readiness::Leaving)
        });
        leaves.push(elapsed);
    }
    println!(
        "  idle back end leaving, known everywhere: {}",
        summary(leaves)
    );

    for (name, step) in [("a tenth of", 10), ("all", 1)] {
        let label = format!("snapshot-of-{step}");
        let changed = measure_window(cluster, 120.0, |cluster| {
            for index in (0..back_ends).step_by(step) {
                let model = cluster.back_ends.get_mut(&back_end(index));
                let snapshots = vec![label.as_str().into()];
                model
                    .expect("the back end is in the bundle")
                    .report
                    .snapshots = Some(snapshots);
            }
        });
        let known = known_share(cluster, back_ends, step, &label);
        println!("  new snapshot on {name} back ends, 120 s: {changed}, known {known:.4}");
    }
}

/// Share of (node, changed back end) pairs in which the node knows the new snapshot.
fn known_share(cluster: &Cluster, back_ends: usize, step: usize, label: &str) -> f64 {
    let mut known = 0;
    let mut pairs = 0;
    for host in cluster.running() {
        for index in (0..back_ends).step_by(step) {
            let record = cluster.health_record(host, &back_end(index));
            let is_known = record
                .snapshots
                .is_some_and(|held| held[0].as_str() == label);
            pairs += 1;
            known += u64::from(is_known);
        }
    }
    known as f64 / pairs as f64
}

fn measure_simultaneous_start(size: usize) -> String {
    let mut cluster = Cluster::new(size as u64 + 1, Network::default());
    cluster.start_nodes(size, REGIONS, Duration::ZERO);
    let converged = cluster.run_until(seconds(600.0), Cluster::converged);
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
        "converged {converged:?}, {} B a node, highest {highest:?}",
        bytes / size as u64
    )
}

/// Traffic per node and second, and processor time, over an interval.
struct Window {
    bytes_per_second: f64,
    max_bytes_per_second: f64,
    health_bytes_per_second: f64,
    probes_per_second: f64,
    messages_per_second: f64,
    /// Share of a processor.
    processor_share: f64,
    largest_message_bytes: usize,
}

impl std::fmt::Display for Window {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:.0} B/s a node (highest {:.0}, for health {:.0}), {:.1} probes/s, {:.1} messages/s, largest {} B, processor {:.4}%",
            self.bytes_per_second,
            self.max_bytes_per_second,
            self.health_bytes_per_second,
            self.probes_per_second,
            self.messages_per_second,
            self.largest_message_bytes,
            self.processor_share * 100.0
        )
    }
}

fn measure_window(cluster: &mut Cluster, length: f64, action: impl FnOnce(&mut Cluster)) -> Window {
    for process in &mut cluster.processes {
        process.bytes_sent = 0;
        process.messages_sent = 0;
        process.health_bytes_sent = 0;
        process.probes_sent = 0;
        process.largest_message = 0;
    }
    let started = processor_time();
    action(cluster);
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
        bytes_per_second: bytes as f64 / nodes / length,
        max_bytes_per_second: highest.unwrap_or(0) as f64 / length,
        health_bytes_per_second: health as f64 / nodes / length,
        probes_per_second: probes as f64 / nodes / length,
        messages_per_second: messages as f64 / nodes / length,
        processor_share: processor / nodes / length,
        largest_message_bytes: largest.unwrap_or(0),
    }
}

fn summary(mut samples: Vec<Option<Duration>>) -> String {
    let missed = samples.iter().filter(|sample| sample.is_none()).count();
    samples.sort();
    let completed: Vec<Duration> = samples.into_iter().flatten().collect();
    let median = completed.get(completed.len() / 2);
    format!(
        "median {median:?}, longest {:?}, not within 30 s: {missed}",
        completed.last()
    )
}
