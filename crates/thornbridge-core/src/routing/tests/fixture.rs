//! Bundles, member lists and settings for the routing tests.

use crate::configuration::ActiveConfiguration;
use crate::membership::MemberView;
use proptest::test_runner::{Config, RngSeed};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::{
    BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind, ServiceLimits,
    Snapshot,
};
use thornbridge_config::canonical;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::{BackEndId, ChangeId, Generation, Incarnation, NodeId};

pub const CONNECTIONS: u32 = 6;
pub const MAXIMUM_NODES: u32 = 2;
/// Connection share of one node with the default reserve and [`MAXIMUM_NODES`] nodes.
pub const CONNECTION_SHARE: usize = 2;

pub fn proptest_config(cases: u32) -> Config {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    Config {
        cases: if long { cases * 100 } else { cases },
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

pub fn back_end_id(shard: usize, replica: usize) -> BackEndId {
    BackEndId::new(format!("s{shard}-r{replica}"))
}

pub fn bundle(shards: usize, replicas: usize, connections: u32, maximum_nodes: u32) -> Bundle {
    let back_end = |shard: usize, replica: usize| BackEnd {
        id: back_end_id(shard, replica),
        address: ([127, 0, 0, 1], 1000 + (shard * replicas + replica) as u16).into(),
        zone: format!("zone-{}", (shard + replica) % 3).into(),
        slots: 4,
        connections,
    };
    let back_ends = (0..shards)
        .flat_map(|shard| (0..replicas).map(move |replica| back_end(shard, replica)))
        .collect();
    let service = Service {
        name: "search".into(),
        kind: ServiceKind::Query,
        priority: 0,
        completeness: Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::from_millis(50),
            hard_deadline: Duration::from_millis(200),
            minimum_coverage: 0.5,
        },
        limits: ServiceLimits::default(),
        back_ends,
        layouts: vec![Layout {
            id: "layout".into(),
            shards: (0..shards)
                .map(|shard| {
                    (0..replicas)
                        .map(|replica| back_end_id(shard, replica))
                        .collect()
                })
                .collect(),
        }],
        snapshots: vec![Snapshot {
            id: "snapshot".into(),
            layout: "layout".into(),
        }],
    };
    Bundle {
        format: 1,
        version: "1".into(),
        deployment: "test".into(),
        maximum_nodes,
        services: vec![service],
    }
}

pub fn active_configuration(bundle: Bundle) -> Arc<ActiveConfiguration> {
    let record = GenerationRecord {
        generation: Generation(1),
        version: bundle.version.clone(),
        digest: canonical::digest(&bundle).unwrap(),
        change: ChangeId::new("change"),
        key_id: "key".to_owned(),
        signature: Vec::new(),
    };
    Arc::new(ActiveConfiguration::new(record, bundle).unwrap())
}

pub fn member(node: u64, zone: usize) -> MemberRecord {
    MemberRecord {
        endpoint: PeerEndpoint {
            node: NodeId(node),
            address: ([10, 0, (node >> 8) as u8, node as u8], 7000).into(),
        },
        operator_address: ([10, 0, (node >> 8) as u8, node as u8], 7001).into(),
        name: format!("node-{node}").into(),
        zone: format!("zone-{}", zone % 3).into(),
        region: "region".into(),
        incarnation: Incarnation(0),
        state: MemberState::Alive,
    }
}

pub fn member_view(nodes: u64) -> Arc<MemberView> {
    let others = (2..=nodes)
        .map(|node| member(node, node as usize))
        .collect();
    Arc::new(MemberView::new(member(1, 1), others))
}
