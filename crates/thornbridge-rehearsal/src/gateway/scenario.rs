//! What a run is made of.

use super::fault::{GatewayFault, TimedFault};
use super::network::Span;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_config::routes::{
    CallerLimits, GatherTarget, Repeatability, Route, RouteConfiguration, RouteTarget,
    RouteVersion, RoutedService,
};
use thornbridge_core::gateway::GatewayParameters;
use thornbridge_proto::ServiceName;

/// The load of one route.
#[derive(Clone, Debug)]
pub struct RouteLoad {
    /// Path prefix of the route.
    pub prefix: String,
    /// Requests a second.
    pub rate: f64,
    /// Mean work at a server.
    pub work: Duration,
    /// Time that callers wait.
    pub caller_timeout: Duration,
}

/// When nodes start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStarts {
    /// One after the other, so far apart.
    Each(Duration),
    /// In any order, all within this time.
    Within(Duration),
}

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct GatewayScenario {
    /// Seed of every random draw.
    pub seed: u64,
    /// Gateways in each zone.
    pub nodes: Vec<u32>,
    /// Region of each zone, by number; zones that are not listed are in the first region.
    pub regions: Vec<usize>,
    /// When nodes start.
    pub starts: NodeStarts,
    /// Shards of the gather.
    pub shards: u32,
    /// Servers of each shard; they stand in the zones in turn.
    pub replicas: u32,
    /// Slots of a server.
    pub slots: u32,
    /// Connections that a server takes.
    pub connections: u32,
    /// Length of a server's pause, and the time between two.
    pub pause: (Duration, Duration),
    /// Servers of the plain service.
    pub plain_servers: u32,
    /// Load.
    pub loads: Vec<RouteLoad>,
    /// Share of the callers that come from the first zone; `None`: as many as from each other one.
    pub first_zone_share: Option<f64>,
    /// Whether the plain route's requests may be repeated.
    pub plain_repeatable: bool,
    /// Extra attempts for each request, and beside those in 10 s.
    pub budget: (f64, f64),
    /// Time to drain.
    pub drain: Duration,
    /// Time for a configuration to be in force.
    pub apply: Duration,
    /// Time after which servers of an evacuated zone get nothing.
    pub evacuate: Duration,
    /// Time that callers come for, after two seconds for the start.
    pub length: Duration,
    /// Faults, by time since the first caller.
    pub faults: Vec<TimedFault>,
    /// Share of a processor core that a node has; `None`: its work takes no time.
    pub processor_share: Option<f64>,
    /// Tunable values of the gateways.
    pub parameters: GatewayParameters,
}

/// Host of every route.
pub(super) const HOST: &str = "search.example";
/// Prefix of the gather.
pub(super) const GATHER_PREFIX: &str = "/all/";
/// Prefix of the plain route.
pub(super) const PLAIN_PREFIX: &str = "/one/";
/// Time limit of the gather's requests.
const GATHER_LIMIT: Duration = Duration::from_millis(1_500);
/// Time limit of plain requests.
const PLAIN_LIMIT: Duration = Duration::from_millis(6_000);

impl GatewayScenario {
    /// Eight nodes in three zones over 20 shards of two servers that pause, and a plain service.
    pub fn small_teams(seed: u64) -> Self {
        let mut parameters = GatewayParameters::default();
        parameters.budget.ratio = 0.2;
        parameters.budget.slack = 56.0;
        Self {
            seed,
            nodes: vec![3, 3, 2],
            regions: Vec::new(),
            starts: NodeStarts::Each(Duration::from_millis(20)),
            shards: 20,
            replicas: 2,
            slots: 2,
            connections: 26,
            pause: (Duration::from_millis(120), Duration::from_secs(3)),
            plain_servers: 5,
            loads: vec![
                RouteLoad {
                    prefix: GATHER_PREFIX.to_owned(),
                    rate: 60.0,
                    work: Duration::from_millis(9),
                    caller_timeout: Duration::from_millis(1_500),
                },
                RouteLoad {
                    prefix: PLAIN_PREFIX.to_owned(),
                    rate: 20.0,
                    work: Duration::from_millis(90),
                    caller_timeout: Duration::from_millis(6_000),
                },
            ],
            first_zone_share: None,
            plain_repeatable: true,
            budget: (0.2, 56.0),
            drain: Duration::from_secs(3),
            apply: Duration::from_secs(3),
            evacuate: Duration::from_secs(3),
            length: Duration::from_secs(20),
            faults: Vec::new(),
            processor_share: None,
            parameters,
        }
    }

    /// Eighteen nodes with a twentieth of a core each, over 40 shards: gathers are divided.
    pub fn many_small_nodes(seed: u64) -> Self {
        let mut scenario = Self::small_teams(seed);
        scenario.nodes = vec![6, 6, 6];
        scenario.shards = 40;
        scenario.replicas = 3;
        scenario.connections = 40;
        scenario.loads[0].rate = 25.0;
        scenario.length = Duration::from_secs(12);
        scenario.budget.1 = 200.0;
        scenario.parameters.budget.slack = 200.0;
        scenario.parameters.set_processor_share(0.05);
        scenario
    }

    /// Eighteen nodes whose work takes time on 0.12 of a core, over 135 shards: a whole gather takes
    /// one of them 112 ms.
    pub fn wide_gathers_on_slow_nodes(seed: u64) -> Self {
        let share = 0.12;
        let mut scenario = Self::many_small_nodes(seed);
        scenario.shards = 135;
        scenario.loads[0].rate = 12.0;
        scenario.loads[1].rate = 5.0;
        scenario.processor_share = Some(share);
        scenario.parameters.set_processor_share(share);
        scenario
    }

    /// So many nodes in six zones of three regions, started within 0.3 s, over servers of which each
    /// node needs few; without callers. A version follows, and a server that leaves.
    pub fn whole_fleet(seed: u64, nodes: u32) -> Self {
        let mut scenario = Self::small_teams(seed);
        scenario.nodes = vec![nodes / 6; 6];
        scenario.regions = vec![0, 1, 2, 0, 1, 2];
        scenario.starts = NodeStarts::Within(Duration::from_millis(300));
        scenario.replicas = 12;
        scenario.connections = 195;
        scenario.plain_servers = 24;
        scenario.loads.clear();
        scenario.length = Duration::from_secs(6);
        scenario.parameters.set_processor_share(0.12);
        let replace = GatewayFault::Replace {
            server: 0,
            silent: false,
        };
        scenario.faults = vec![
            TimedFault::at(1.0, GatewayFault::NewVersion),
            TimedFault::at(2.0, replace),
        ];
        scenario
    }

    /// Region of a zone.
    pub(super) fn region(&self, zone: usize) -> usize {
        self.regions.get(zone).copied().unwrap_or_default()
    }

    /// What lies between two zones.
    pub(super) fn span(&self, from: usize, to: usize) -> Span {
        match (from == to, self.region(from) == self.region(to)) {
            (true, _) => Span::Zone,
            (false, true) => Span::Zones,
            (false, false) => Span::Regions,
        }
    }

    /// Zone of the next caller.
    pub(super) fn draw_zone(&self, random: &mut Pcg64Mcg) -> usize {
        let first = self.first_zone_share.map(|share| random.random_bool(share));
        match first {
            None => random.random_range(0..self.nodes.len()),
            Some(true) => 0,
            Some(false) => random.random_range(1..self.nodes.len()),
        }
    }

    /// The same with these faults.
    pub fn with_faults(mut self, faults: Vec<TimedFault>) -> Self {
        self.faults = faults;
        self
    }

    /// The configuration of a version whose gather is over this generation of shards.
    pub(super) fn configuration(&self, version: u64, generation: u32) -> RouteConfiguration {
        let shards: Vec<ServiceName> = (0..self.shards)
            .map(|shard| shard_service(generation, shard))
            .collect();
        let plain = ServiceName::new("plain");
        let services = shards.iter().chain([&plain]);
        let services = services.map(|name| RoutedService {
            name: name.clone(),
            connections: self.connections,
            warm_up: None,
        });
        let repeatability = match self.plain_repeatable {
            true => Repeatability::Repeatable,
            false => Repeatability::AtMostOnce,
        };
        RouteConfiguration {
            version: RouteVersion(version),
            services: services.collect(),
            routes: vec![
                Route {
                    name: "gather".to_owned(),
                    host: HOST.to_owned(),
                    prefix: GATHER_PREFIX.to_owned(),
                    target: RouteTarget::Gather(GatherTarget {
                        shards,
                        records: 50,
                        least_share: 0.89,
                    }),
                    repeatability: Repeatability::Repeatable,
                    time_limit: GATHER_LIMIT,
                    latency_objective: Duration::from_millis(100),
                    priority: 1,
                    attempts: 2,
                    home_regions: Vec::new(),
                },
                Route {
                    name: "plain".to_owned(),
                    host: HOST.to_owned(),
                    prefix: PLAIN_PREFIX.to_owned(),
                    target: RouteTarget::Service(plain),
                    repeatability,
                    time_limit: PLAIN_LIMIT,
                    latency_objective: Duration::from_millis(400),
                    priority: 2,
                    attempts: 2,
                    home_regions: Vec::new(),
                },
            ],
            limits: CallerLimits::default(),
        }
    }
}

/// Name of the service of a shard.
pub(super) fn shard_service(generation: u32, shard: u32) -> ServiceName {
    ServiceName::new(format!("shard-{generation}-{shard}"))
}
