//! Harness for divided gathers: a node with peers, and messages from them.

use super::support::{Harness, gather, millis, peer, route, two_servers_per_shard};
use crate::driver_action::CallerId;
use crate::gateway::GatewayAnswer;
use std::net::SocketAddr;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::ServiceName;
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceReport, SliceStop, SliceTask};

pub const SHARDS: usize = 36;
/// Share of shards required for a successful answer.
pub const REQUIRED_SHARE: f64 = 0.9;
/// Number of members besides the node under test.
pub const PEERS: u8 = 20;
/// Share of a core on which a gather over [`SHARDS`] is divided.
pub const SMALL_CORE_SHARE: f64 = 0.05;

/// Node with peers, and a route that gathers from [`SHARDS`] shards of two servers each.
pub fn node_with_peers(processor_share: f64) -> Harness {
    let names: Vec<String> = (0..SHARDS).map(|shard| format!("shard-{shard}")).collect();
    let shards: Vec<&str> = names.iter().map(String::as_str).collect();
    let target = gather(&shards, REQUIRED_SHARE);
    let mut search = route("/search/", target, Repeatability::Repeatable);
    search.latency_objective = millis(200);
    let servers = two_servers_per_shard(&shards);
    let servers: Vec<(&str, &str)> = servers
        .iter()
        .map(|(id, shard)| (id.as_str(), *shard))
        .collect();
    let mut harness = Harness::serving(vec![search], &servers);
    harness.join_peers_with_processor_share(processor_share, PEERS);
    harness
}

pub fn endpoint(address: SocketAddr) -> PeerEndpoint {
    let all = (1..=PEERS).map(peer);
    let mut found = all.filter(|peer| peer.address == address);
    found.next().expect("a peer with this address")
}

/// Report that answers these shards of a task with records filled with `byte`.
pub fn report_of(task: &SliceTask, indices: std::ops::Range<usize>, byte: u8) -> SliceReport {
    let signature = |index: usize| format!("{}", task.shards[index]).into_bytes();
    let answered = indices.clone().map(|index| {
        let signature = SharedBytes::from(signature(index));
        (index as u16, signature)
    });
    SliceReport {
        answered: answered.collect(),
        records: vec![byte; 16 * indices.len().min(2)].into(),
        finished: indices.len() == task.shards.len(),
        ..SliceReport::default()
    }
}

pub fn report(harness: &mut Harness, owner: SocketAddr, task: &SliceTask, report: SliceReport) {
    let slice = task.slice;
    let message = SliceMessage::Report { slice, report };
    harness.slice_message(endpoint(owner), message);
}

/// Sends a complete report for each task.
pub fn report_all(harness: &mut Harness, tasks: &[(SocketAddr, SliceTask)]) {
    for (owner, task) in tasks {
        let complete_report = report_of(task, 0..task.shards.len(), b'1');
        report(harness, *owner, task, complete_report);
    }
}

pub fn missing_shards(harness: &Harness, caller: CallerId) -> Option<usize> {
    match harness.answers.get(&caller)? {
        GatewayAnswer::Gathered {
            missing,
            signatures,
            ..
        } => {
            let mut distinct = signatures.clone();
            distinct.sort();
            distinct.dedup();
            assert_eq!(distinct.len(), signatures.len(), "a part is signed twice");
            assert_eq!(signatures.len() + missing, SHARDS);
            Some(*missing)
        }
        _ => None,
    }
}

pub fn stops(harness: &Harness, slice: SliceId) -> Vec<SliceStop> {
    let messages = harness.slice_messages.iter();
    let stops = messages.filter_map(|(_, message)| match message {
        SliceMessage::Stop { slice: id, reason } if *id == slice => Some(*reason),
        _ => None,
    });
    stops.collect()
}

pub fn task(shards: &[&str], prior_attempts: u32) -> SliceTask {
    SliceTask {
        slice: SliceId(7),
        request_id: "request".to_owned(),
        fingerprint: Fingerprint::default(),
        host: "host".to_owned(),
        prefix: "/search/".to_owned(),
        version: 1,
        shards: shards.iter().map(|name| ServiceName::new(*name)).collect(),
        records: 2,
        attempts: 2,
        prior_attempts,
        objective_us: 200_000,
        report_in_us: 100_000,
        second_after_us: 50_000,
        ends_in_us: 900_000,
        home_regions: Vec::new(),
    }
}

pub fn receive_task(harness: &mut Harness, task: SliceTask) {
    let request = SharedBytes::default();
    harness.slice_message(peer(1), SliceMessage::Ask { task, request });
}

pub fn reports(harness: &Harness) -> Vec<SliceReport> {
    let messages = harness.slice_messages.iter();
    let reports = messages.filter_map(|(_, message)| match message {
        SliceMessage::Report { report, .. } | SliceMessage::ReportAndRequest { report, .. } => {
            Some(report.clone())
        }
        _ => None,
    });
    reports.collect()
}

/// Sends a report that requests further attempts.
pub fn report_and_request(
    harness: &mut Harness,
    owner: SocketAddr,
    task: &SliceTask,
    report: SliceReport,
) {
    let slice = task.slice;
    let message = SliceMessage::ReportAndRequest { slice, report };
    harness.slice_message(endpoint(owner), message);
}

/// Attempts granted for a slice, in order.
pub fn grants(harness: &Harness, slice: SliceId) -> Vec<u32> {
    let messages = harness.slice_messages.iter();
    let grants = messages.filter_map(|(_, message)| match message {
        SliceMessage::Grant {
            slice: id,
            attempts,
            ..
        } if *id == slice => Some(*attempts),
        _ => None,
    });
    grants.collect()
}

/// Sends a grant for the slice of [`task`].
pub fn grant(harness: &mut Harness, attempts: u32) {
    grant_lending(harness, attempts, Vec::new());
}

/// Sends a grant with lent attempts, by shard index.
pub fn grant_lending(harness: &mut Harness, attempts: u32, lent: Vec<u16>) {
    let grant = SliceMessage::Grant {
        slice: SliceId(7),
        attempts,
        lent,
    };
    harness.slice_message(peer(1), grant);
}
