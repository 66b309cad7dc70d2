//! What grows with the number of nodes, from their start on, without callers.
//!
//! What users saw: 985 nodes opened 717,095 connections for 148,608 attempts, and moved 0.3 GB between
//! regions. Causes: each node connected to every server that let it, and got whole views from peers
//! drawn at random among all.

use thornbridge_rehearsal::gateway::{GatewayReport, GatewayScenario, PeerTopic, Span, run};

const NODES: u32 = 24;
const SEEDS: u64 = 4;

fn fleet(seed: u64, nodes: u32) -> GatewayReport {
    checked(GatewayScenario::whole_fleet(seed, nodes))
}

fn checked(scenario: GatewayScenario) -> GatewayReport {
    let report = run(scenario);
    assert!(report.broken.is_empty(), "{:?}", report.broken);
    report
}

/// Sums of some count over a few seeds, for so many nodes and for twice as many.
fn for_twice_the_nodes(count: impl Fn(&GatewayReport) -> u64) -> (u64, u64) {
    let sum = |nodes| (1..=SEEDS).map(|seed| count(&fleet(seed, nodes))).sum();
    (sum(NODES), sum(2 * NODES))
}

/// Each node opens a few connections a service, however many servers there are.
#[test]
fn connections_do_not_grow_with_servers() {
    let mut twice = GatewayScenario::whole_fleet(1, NODES);
    twice.replicas *= 2;
    twice.plain_servers *= 2;
    let (once, twice) = (fleet(1, NODES).opened, checked(twice).opened);
    assert!(twice * 10 <= once * 11, "{once} and {twice}");
}

/// Views cross regions a few times each, however many nodes there are.
#[test]
fn views_cross_regions_about_as_often_with_twice_the_nodes() {
    let views = [PeerTopic::Registry, PeerTopic::Configuration];
    let crossing = |report: &GatewayReport| report.bytes_across(Span::Regions, &views);
    let (once, twice) = for_twice_the_nodes(crossing);
    assert!(twice * 10 <= once * 15, "{once} and {twice}");
}

/// Few nodes read the store when all start, however many there are.
#[test]
fn calls_to_the_store_do_not_grow_with_nodes() {
    let (once, twice) = for_twice_the_nodes(|report| report.store_calls);
    assert!(twice * 10 <= once * 13, "{once} and {twice}");
}
