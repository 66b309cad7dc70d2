//! Each rule of the oracle, shown something that breaks it.

use super::{Arrival, Asked, Oracle, Rule, records, signature};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_core::gateway::{GatewayAnswer, RefusalReason, RefusalStatus};
use thornbridge_proto::ServiceName;

const REQUEST: u64 = 7;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name)
}

/// An oracle that saw one request, over the shards a and b of one version.
fn oracle(repeatable: bool) -> Oracle {
    let mut oracle = Oracle::default();
    let asked = Asked {
        at: at(0),
        repeatable,
        limit: Duration::from_secs(1),
        attempts: 2,
        refused_not_run: false,
        content: 0,
    };
    oracle.asked.insert(REQUEST, asked);
    let shards = BTreeSet::from([service("a"), service("b")]);
    oracle.versions.insert(1, shards);
    oracle
}

/// The records of these services, merged as they should be.
fn merged(services: &[&str]) -> Vec<u8> {
    let mut all: Vec<Vec<u8>> = services
        .iter()
        .flat_map(|name| {
            let body = records(&service(name), REQUEST);
            let chunks = body.chunks_exact(16).map(<[u8]>::to_vec);
            chunks.collect::<Vec<_>>()
        })
        .collect();
    all.sort();
    all.reverse();
    all.concat()
}

fn gathered(services: &[&str], request: u64, missing: usize, body: Vec<u8>) -> GatewayAnswer {
    let signatures = services.iter().map(|name| {
        let signed = signature(&service(name), request, 1);
        Bytes::from(signed)
    });
    GatewayAnswer::Gathered {
        signatures: signatures.collect(),
        missing,
        records: Bytes::from(body),
    }
}

fn rules(oracle: &Oracle) -> Vec<Rule> {
    oracle.broken.iter().map(|broken| broken.rule).collect()
}

fn after(answer: &GatewayAnswer, least_share: f64) -> Vec<Rule> {
    let mut oracle = oracle(true);
    oracle.answered(at(50), REQUEST, answer, least_share);
    rules(&oracle)
}

fn arrival(millis: u64, server: usize, ran: bool) -> Arrival {
    Arrival {
        at: at(millis),
        request: REQUEST,
        service: service("a"),
        server,
        ran,
    }
}

#[test]
fn a_sound_answer_breaks_nothing() {
    let whole = gathered(&["a", "b"], REQUEST, 0, merged(&["a", "b"]));
    assert_eq!(after(&whole, 0.9), []);
    let partial = gathered(&["b"], REQUEST, 1, merged(&["b"]));
    assert_eq!(after(&partial, 0.5), []);
}

#[test]
fn parts_of_another_request_are_seen() {
    let foreign = gathered(&["a", "b"], REQUEST + 1, 0, merged(&["a", "b"]));
    assert_eq!(after(&foreign, 0.9), [Rule::OwnAnswer]);
    let twice = gathered(&["a", "a"], REQUEST, 0, merged(&["a", "a"]));
    assert_eq!(after(&twice, 0.9), [Rule::OwnAnswer]);
    let forwarded = GatewayAnswer::Forwarded {
        status: 200,
        headers: Default::default(),
        body: Bytes::from_static(b"answer to 8"),
    };
    assert_eq!(after(&forwarded, 0.9), [Rule::OwnAnswer]);
}

#[test]
fn parts_of_two_versions_and_wrong_counts_are_seen() {
    let mixed = gathered(&["a", "c"], REQUEST, 0, merged(&["a", "c"]));
    assert_eq!(after(&mixed, 0.9), [Rule::OneVersion]);
    let miscounted = gathered(&["a"], REQUEST, 0, merged(&["a"]));
    assert_eq!(after(&miscounted, 0.5), [Rule::OneVersion]);
}

#[test]
fn too_few_parts_are_seen() {
    let few = gathered(&["a"], REQUEST, 1, merged(&["a"]));
    assert_eq!(after(&few, 0.9), [Rule::LeastShare]);
}

#[test]
fn records_out_of_order_or_left_out_are_seen() {
    let mut swapped = merged(&["a", "b"]);
    swapped.rotate_left(16);
    let swapped = gathered(&["a", "b"], REQUEST, 0, swapped);
    assert_eq!(after(&swapped, 0.9), [Rule::GreatestRecords]);
    let short = merged(&["a", "b"])[16..].to_vec();
    let short = gathered(&["a", "b"], REQUEST, 0, short);
    assert_eq!(after(&short, 0.9), [Rule::GreatestRecords]);
}

#[test]
fn an_answer_after_the_time_limit_is_seen() {
    let mut oracle = oracle(true);
    let whole = gathered(&["a", "b"], REQUEST, 0, merged(&["a", "b"]));
    oracle.answered(at(1_600), REQUEST, &whole, 0.9);
    assert_eq!(rules(&oracle), [Rule::TimeLimit]);
}

#[test]
fn more_time_than_is_left_is_seen() {
    let mut oracle = oracle(true);
    oracle.patience(at(900), REQUEST, Duration::from_millis(500));
    assert_eq!(rules(&oracle), []);
    oracle.patience(at(900), REQUEST, Duration::from_millis(700));
    assert_eq!(rules(&oracle), [Rule::Patience]);
}

#[test]
fn a_second_run_and_a_false_refusal_are_seen() {
    let mut oracle = oracle(false);
    oracle.arrivals = vec![arrival(1, 1, true), arrival(2, 1, true)];
    let refused = GatewayAnswer::Refused {
        reason: RefusalReason::ServersBusy,
        status: RefusalStatus::NotRun,
        retry_after: None,
    };
    oracle.answered(at(50), REQUEST, &refused, 0.9);
    oracle.finish((0.0, 100.0));
    assert_eq!(rules(&oracle), [Rule::AtMostOnce, Rule::RefusedNotRun]);
}

#[test]
fn more_servers_than_attempts_are_seen() {
    let mut oracle = oracle(true);
    oracle.arrivals = (0..3).map(|server| arrival(1, server, true)).collect();
    oracle.finish((0.0, 100.0));
    assert_eq!(rules(&oracle), [Rule::Attempts]);
    let mut shed = self::oracle(true);
    shed.arrivals = (0..3)
        .map(|server| arrival(1, server, server > 0))
        .collect();
    shed.finish((0.0, 100.0));
    assert_eq!(rules(&shed), []);
}

#[test]
fn extra_arrivals_beyond_the_budget_are_seen() {
    let mut oracle = oracle(true);
    oracle.arrivals = vec![
        arrival(1, 0, false),
        arrival(2, 1, false),
        arrival(3, 0, false),
    ];
    oracle.finish((0.2, 1.0));
    assert_eq!(rules(&oracle), [Rule::Budget]);
}
