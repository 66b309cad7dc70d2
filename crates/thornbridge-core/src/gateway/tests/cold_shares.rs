//! The bound on what a cold server gets, summed over the nodes of a cluster.
//!
//! Every node sends whenever it may. The oracle counts what arrives at the server in each second.

use super::support::instance;
use crate::gateway::servers::{ColdShares, Placement, Selection, Servers};
use crate::gateway::telemetry::{GatewayChange, ViewOrigin};
use crate::gateway::{GatewayAction, ServerParameters, WarmUpBound};
use crate::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::{RoutedService, WarmUp};
use thornbridge_proto::peer::view::{InstanceState, StoreRevision};
use thornbridge_proto::{BackEndId, RegionName, ServiceName, ZoneName};

const STEP_MS: u64 = 10;
const DAY_MS: u64 = 14_000;
/// Longest time from a send to its arrival.
const LONGEST_WAY_MS: u64 = 250;
/// Time from the start of a node until those in sight know it, and it them.
const JOINED_MS: u64 = 2_500;
const SECOND_MS: u64 = 1_000;
/// Nodes of a cluster in which one more is covered by what the shares leave over.
const LARGE_CLUSTER: usize = 13;
/// More than any bound; ends a run in which nothing is held back.
const MAX_SENDS_PER_STEP: usize = 100;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (node >> 8) as u8, node as u8], 8_000))
}

fn servers_of(node: usize, rate: f64, bound: WarmUpBound, ids: &[String]) -> Servers {
    let zone = ZoneName::new("zone");
    let region = RegionName::new("region");
    let placement = Placement {
        zone: zone.clone(),
        region: region.clone(),
        regions: BTreeMap::from([(zone, region)]),
    };
    let parameters = ServerParameters {
        warm_up_bound: Some(bound),
        ..ServerParameters::default()
    };
    let mut servers = Servers::new(parameters, placement, address(node)).with_other_seeds(true);
    let service = RoutedService {
        name: ServiceName::new("s"),
        connections: 40,
        warm_up: Some(WarmUp {
            duration: Duration::from_secs(3),
            requests_per_s: rate,
        }),
    };
    servers.configure(&mut VecDeque::new(), &[service], BTreeSet::new());
    for id in ids {
        let mut cold = instance(id, "s", InstanceState::Ready);
        cold.cold_milliseconds = 600_000;
        let revision = StoreRevision::without_era(1);
        let (mut actions, origin) = (VecDeque::new(), ViewOrigin::Store);
        servers.upsert_instance(Timestamp::ZERO, &mut actions, &cold, revision, origin);
    }
    servers
}

/// A node of the cluster. Its own time begins at its start.
struct Node {
    servers: Servers,
    started_ms: u64,
    /// Whether the node is cut off from all others.
    is_cut_off: bool,
    /// Whether the node has met the others since its start.
    has_joined: bool,
}

struct Cluster {
    nodes: Vec<Node>,
    rate: f64,
    bound: WarmUpBound,
    has_grown: bool,
    random: Pcg64Mcg,
    /// Arrivals at the server by time.
    arrivals: Vec<u64>,
}

impl Cluster {
    fn new(count: usize, rate: f64, bound: WarmUpBound, seed: u64) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            rate,
            bound,
            has_grown: false,
            random: Pcg64Mcg::seed_from_u64(seed),
            arrivals: Vec::new(),
        };
        for number in 0..count {
            let servers = cluster.fresh_servers(number);
            cluster.nodes.push(Node {
                servers,
                started_ms: 0,
                is_cut_off: false,
                has_joined: false,
            });
        }
        cluster
    }

    fn fresh_servers(&self, number: usize) -> Servers {
        servers_of(number, self.rate, self.bound, &["cold".to_owned()])
    }

    fn local(&self, number: usize, at_ms: u64) -> Timestamp {
        Timestamp::ZERO + Duration::from_millis(at_ms - self.nodes[number].started_ms)
    }

    fn restart(&mut self, number: usize, at_ms: u64) {
        self.nodes[number].servers = self.fresh_servers(number);
        self.nodes[number].started_ms = at_ms;
        self.nodes[number].has_joined = false;
    }

    /// Nodes whose start is known learn of each other; others see any part of the cluster.
    fn spread_members(&mut self, at_ms: u64) {
        for number in 0..self.nodes.len() {
            let node = &self.nodes[number];
            if node.is_cut_off || at_ms - node.started_ms < JOINED_MS {
                continue;
            }
            let all = (0..self.nodes.len()).map(address);
            let now = self.local(number, at_ms);
            self.nodes[number].servers.meet_members(now, all);
            self.nodes[number].has_joined = true;
        }
    }

    /// A node that has met the others loses sight of most of them.
    fn lose_sight(&mut self, number: usize, at_ms: u64) {
        if !self.nodes[number].has_joined {
            return;
        }
        let kept = self.random.random_range(0..3);
        let now = self.local(number, at_ms);
        let servers = &mut self.nodes[number].servers;
        servers.meet_members(now, (0..kept).map(address));
    }

    fn send_where_allowed(&mut self, number: usize, at_ms: u64) {
        let now = self.local(number, at_ms);
        let servers = &mut self.nodes[number].servers;
        let service = servers.service_key(&ServiceName::new("s"));
        let selection = Selection {
            service,
            work: Duration::from_millis(10),
            excluded: &[],
            homes: &[],
        };
        for _ in 0..MAX_SENDS_PER_STEP {
            let Some(choice) = servers.choose(now, &mut self.random, &selection) else {
                return;
            };
            servers.record_send(now, choice.server);
            let way_ms = self.random.random_range(0..=LONGEST_WAY_MS);
            self.arrivals.push(at_ms + way_ms);
        }
    }

    fn run(&mut self) {
        for at_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
            if at_ms % 500 == 0 {
                self.spread_members(at_ms);
                self.disturb(at_ms);
            }
            for number in 0..self.nodes.len() {
                if self.random.random_bool(0.5) {
                    self.send_where_allowed(number, at_ms);
                }
            }
        }
    }

    fn disturb(&mut self, at_ms: u64) {
        let number = self.random.random_range(0..self.nodes.len());
        match self.random.random_range(0..5_u8) {
            0 => self.restart(number, at_ms),
            1 => self.nodes[number].is_cut_off ^= true,
            2 => self.lose_sight(number, at_ms),
            3 => self.join_if_large(at_ms),
            _ => {}
        }
    }

    /// Adds a node, once, to a cluster of which it is a small part. Nodes that are cut off do not hear
    /// of it.
    fn join_if_large(&mut self, at_ms: u64) {
        if self.has_grown || self.nodes.len() < LARGE_CLUSTER {
            return;
        }
        self.has_grown = true;
        let servers = self.fresh_servers(self.nodes.len());
        self.nodes.push(Node {
            servers,
            started_ms: at_ms,
            is_cut_off: false,
            has_joined: false,
        });
    }

    /// Most arrivals in any second.
    fn most_in_a_second(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let arrivals = &self.arrivals;
        let starts = arrivals.iter().enumerate();
        let counts = starts.map(|(first, start)| {
            let end = arrivals.partition_point(|at| *at < start + SECOND_MS);
            end - first
        });
        counts.max().unwrap_or(0)
    }
}

fn config() -> Config {
    Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(25),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_second_brings_a_cold_server_more_than_its_bound_from_all_nodes(
        count in 2..40_usize,
        rate in 0.5..30.0_f64,
        overage in 1.0..2.0_f64,
        slack in 0.0..10.0_f64,
        seed in any::<u64>(),
    ) {
        let bound = WarmUpBound { overage, slack };
        let mut cluster = Cluster::new(count, rate, bound, seed);
        cluster.run();
        let most = cluster.most_in_a_second();
        prop_assert!(most as f64 <= rate * overage + slack, "{most} arrived");
    }
}

/// Shares of all members that know `known(node)`.
fn sum_of_shares(
    members: usize,
    divided: u32,
    server: &str,
    known: impl Fn(usize) -> std::ops::Range<usize>,
) -> u32 {
    let server = BackEndId::new(server);
    let shares = (0..members).map(|node| {
        let mut shares = ColdShares::new(address(node), true, Duration::ZERO);
        shares.meet(Timestamp::ZERO, Duration::ZERO, known(node).map(address));
        shares.share(&server, divided)
    });
    shares.sum()
}

#[test]
fn shares_of_many_nodes_add_up_to_a_small_bound() {
    for server in 0..50 {
        let sum = sum_of_shares(72, 9, &format!("s{server}"), |_| 0..72);
        assert_eq!(sum, 9);
    }
}

#[test]
fn node_that_has_met_no_other_has_no_share() {
    let shares = ColdShares::new(address(0), true, Duration::ZERO);
    assert_eq!(shares.share(&BackEndId::new("s"), 9), 0);
}

#[test]
fn single_node_has_the_whole_bound() {
    let shares = ColdShares::new(address(0), false, Duration::ZERO);
    assert_eq!(shares.share(&BackEndId::new("s"), 9), 9);
}

/// Half of the nodes have not heard of one that joined.
#[test]
fn shares_stay_within_the_bound_where_one_member_is_not_known_to_all() {
    for server in 0..50 {
        let known = |node| 0..(if node % 2 == 0 { 72 } else { 71 });
        let sum = sum_of_shares(72, 9, &format!("s{server}"), known);
        assert!(sum <= 10, "{sum} of 10");
    }
}

#[test]
fn many_cold_servers_are_reported_once_with_few_names() {
    let ids: Vec<String> = (0..40).map(|number| format!("s{number}")).collect();
    let bound = WarmUpBound {
        overage: 1.0,
        slack: 0.0,
    };
    let mut servers = servers_of(0, 4.0, bound, &ids);
    let mut actions = VecDeque::new();
    servers.report_cold(Timestamp::ZERO, &mut actions);
    servers.report_cold(Timestamp::ZERO, &mut actions);
    let reports: Vec<GatewayAction> = actions.into();
    let [
        GatewayAction::Changed(GatewayChange::ColdServers {
            limited,
            begun,
            examples,
            ..
        }),
    ] = reports.as_slice()
    else {
        panic!("expected one report: {reports:?}");
    };
    assert_eq!((*limited, *begun), (40, 40));
    assert!(examples.len() <= 8);
}
