//! Shares of the parts of a split.

use super::support::{Harness, RECORD, answer, millis, route, verdict};
use crate::gateway::budget::ServiceKey;
use crate::gateway::routes::RouteStatistics;
use crate::gateway::{RefusalStatus, ReplyVerdict};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use thornbridge_config::routes::{Repeatability, RouteTarget, WeightedService};
use thornbridge_proto::ServiceName;

const NODES: u64 = 70;
const REQUESTS_PER_NODE: usize = 4;
const SHARE_TOLERANCE: f64 = 0.05;

/// Shares of the parts over nodes that have few requests each.
fn shares_of(weights: &[f64]) -> Vec<f64> {
    let parts = weights.iter().enumerate();
    let parts: Vec<(ServiceKey, f64)> = parts
        .map(|(index, weight)| (ServiceKey(index as u32), *weight))
        .collect();
    let mut counts = vec![0_u32; weights.len()];
    for seed in 0..NODES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut statistics = RouteStatistics::default();
        for _ in 0..REQUESTS_PER_NODE {
            counts[statistics.next_part(&mut random, &parts)] += 1;
        }
    }
    let total = NODES as f64 * REQUESTS_PER_NODE as f64;
    counts
        .iter()
        .map(|count| f64::from(*count) / total)
        .collect()
}

fn assert_shares(weights: &[f64]) {
    let total: f64 = weights.iter().sum();
    let shares = shares_of(weights);
    for (weight, share) in weights.iter().zip(&shares) {
        let off = (weight / total - share).abs();
        assert!(off <= SHARE_TOLERANCE, "{weights:?}: {shares:?}");
    }
}

#[test]
fn part_with_little_weight_gets_its_share_from_nodes_with_few_requests() {
    assert_shares(&[9.0, 1.0]);
}

#[test]
fn equal_parts_get_equal_shares_from_nodes_with_few_requests() {
    assert_shares(&[1.0, 1.0, 1.0]);
}

fn part(service: &str, weight: f64) -> WeightedService {
    WeightedService {
        service: ServiceName::new(service),
        weight,
    }
}

/// A gateway with a split of `a` and `b`, half each; services with a server are given.
fn serving(with_servers: &[&str]) -> Harness {
    let target = RouteTarget::Split(vec![part("a", 1.0), part("b", 1.0)]);
    let routes = vec![route("/", target, Repeatability::Repeatable)];
    let servers: Vec<(&str, &str)> = with_servers.iter().map(|name| (*name, *name)).collect();
    Harness::serving(routes, &servers)
}

/// Number of requests sent to each of `a` and `b`, and refused, of twenty.
fn outcomes(harness: &mut Harness) -> [usize; 3] {
    let mut counts = [0; 3];
    for _ in 0..20 {
        let caller = harness.send_request("/x");
        harness.advance(millis(1));
        match harness.sent_for(caller).pop() {
            Some(sent) if sent.instance == "a" => {
                counts[0] += 1;
                harness.reply(sent.attempt, answer(RECORD));
            }
            Some(sent) => {
                counts[1] += 1;
                harness.reply(sent.attempt, verdict(ReplyVerdict::NotRun));
            }
            None => counts[2] += 1,
        }
        harness.advance(millis(1_500));
    }
    counts
}

#[test]
fn request_of_a_part_without_servers_is_not_moved_to_another_part() {
    let mut harness = serving(&["a"]);
    assert_eq!(outcomes(&mut harness), [10, 0, 10]);
}

#[test]
fn request_of_a_full_part_is_not_moved_to_another_part() {
    let mut harness = serving(&["a", "b"]);
    assert_eq!(outcomes(&mut harness), [10, 10, 0]);
    let to_a = harness.sent.iter().filter(|sent| sent.instance == "a");
    assert_eq!(to_a.count(), 10);
}

#[test]
fn request_of_a_full_part_is_refused() {
    let mut harness = serving(&["a", "b"]);
    let mut refused = 0;
    for _ in 0..20 {
        let caller = harness.send_request("/x");
        let sent = harness.sent_for(caller).remove(0);
        let reply = match sent.instance.as_str() {
            "a" => answer(RECORD),
            _ => verdict(ReplyVerdict::NotRun),
        };
        harness.reply(sent.attempt, reply);
        harness.advance(millis(1_500));
        refused += usize::from(harness.refusal_status(caller) == Some(RefusalStatus::NotRun));
    }
    assert_eq!(refused, 10);
}
