//! The deployment of a size: two regions of three zones, services of 95 shards and 2 replicas.

use crate::scenario::{
    Deployment, NetworkDelays, Scenario, ServiceScenario, ServiceTime, ZoneModel,
};
use std::time::Duration;
use thornbridge_config::bundle::{Completeness, CompletenessPolicy, ServiceKind};

const ZONES: [(&str, &str); 6] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
    ("east-a", "east"),
    ("east-b", "east"),
    ("east-c", "east"),
];
/// A query reaches 190 servers at the target size: 95 shards, each with a hedge's worth of replicas.
const SHARDS_PER_SERVICE: u32 = 95;
const REPLICAS: u32 = 2;
const SLOTS: u32 = 4;
const CONNECTIONS: u32 = 110;
/// Two leased readers in each region, and as many again while leases change hands.
const PLATFORM_READERS: u32 = 8;

/// Nodes and servers of a size.
pub fn deployment(nodes: u32, servers_per_node: f64) -> Deployment {
    let servers = (f64::from(nodes) * servers_per_node).round() as u32;
    let scenario = Scenario {
        name: format!("scale-{nodes}"),
        nodes_per_zone: nodes.div_ceil(ZONES.len() as u32),
        platform_readers: PLATFORM_READERS,
        network: NetworkDelays {
            same_zone: Duration::from_micros(200),
            between_zones: Duration::from_millis(1),
            between_regions: Duration::from_millis(15),
            to_callers: Duration::from_millis(1),
            jitter: 0.1,
        },
        zones: zones(),
        services: services(servers),
    };
    Deployment::new(scenario, Some(nodes), &[])
}

fn zones() -> Vec<ZoneModel> {
    ZONES
        .iter()
        .map(|(name, region)| ZoneModel {
            name: (*name).into(),
            region: (*region).into(),
        })
        .collect()
}

/// Whole services, and a smaller one for what is left.
fn services(servers: u32) -> Vec<ServiceScenario> {
    let mut shards = (servers / REPLICAS).max(1);
    let mut services = Vec::new();
    while shards > 0 {
        let taken = shards.min(SHARDS_PER_SERVICE);
        services.push(service(services.len(), taken));
        shards -= taken;
    }
    services
}

fn service(index: usize, shards: u32) -> ServiceScenario {
    ServiceScenario {
        name: format!("search-{index}").into(),
        kind: ServiceKind::Query,
        shards,
        replicas: REPLICAS,
        slots: SLOTS,
        connections: CONNECTIONS,
        priority: 5,
        completeness: Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::from_millis(87),
            hard_deadline: Duration::from_millis(300),
            minimum_coverage: 0.9,
        },
        service_time: ServiceTime {
            median: Duration::from_millis(12),
            work_sigma: 0.3,
            server_sigma: 0.1,
            tail_probability: 0.01,
            tail_shape: 1.5,
            tail_cap: 12.0,
        },
    }
}
