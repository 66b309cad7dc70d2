//! One service over given back ends, rolled out on a platform, and settings of a node for it.
//! Shared by the tests and the benchmark.

use assert_matches::assert_matches;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::approval::{self, TrustedKey};
use thornbridge_config::bundle::{
    BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind, ServiceLimits,
    Snapshot,
};
use thornbridge_config::canonical;
use thornbridge_config::keys::{ApprovalKey, ClusterKey};
use thornbridge_config::objects::{PublishedBundle, ROLLOUT_NAME, Rollout, RolloutOrigin};
use thornbridge_config::settings::NodeSettings;
use thornbridge_node::{NodeRuntimeSettings, PlatformClient};
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::platform::{ObjectKind, PlatformRequest, PlatformResponse, Precondition};
use thornbridge_proto::{BackEndId, ChangeId, Generation, LayoutId, SnapshotId};
use thornbridge_rehearsal::stand_in::platform::{self, PlatformConfig, RunningPlatform};

/// Deadline of the service: longer than any test waits for an answer.
const DEADLINE: Duration = Duration::from_secs(20);

/// Sizes of the service.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Shards, dealt to the servers in turn.
    pub shards: usize,
    /// Slots of each server.
    pub slots: u32,
    /// Nodes that share each server's 16 connections.
    pub maximum_nodes: u32,
}

/// A bundle of one query service over these servers, without replicas.
pub fn bundle_of(addresses: &[SocketAddr], shape: Shape) -> Bundle {
    let id = |index: usize| BackEndId::from(format!("b{index}"));
    let server = |(index, address): (usize, &SocketAddr)| BackEnd {
        id: id(index),
        address: *address,
        zone: "z1".into(),
        slots: shape.slots,
        connections: 16,
    };
    let service = Service {
        name: "search".into(),
        kind: ServiceKind::Query,
        priority: 0,
        completeness: Completeness {
            policy: CompletenessPolicy::CoverageFirst,
            target: DEADLINE,
            hard_deadline: DEADLINE,
            minimum_coverage: 0.0,
        },
        limits: ServiceLimits::default(),
        back_ends: addresses.iter().enumerate().map(server).collect(),
        layouts: vec![Layout {
            id: LayoutId::from("l1"),
            shards: (0..shape.shards)
                .map(|shard| vec![id(shard % addresses.len())])
                .collect(),
        }],
        snapshots: vec![Snapshot {
            id: SnapshotId::from("s1"),
            layout: LayoutId::from("l1"),
        }],
    };
    Bundle {
        format: 1,
        version: "v1".into(),
        deployment: "test".to_owned(),
        maximum_nodes: shape.maximum_nodes,
        services: vec![service],
    }
}

/// A platform with the bundle approved and rolled out, and settings of a node that uses it.
pub async fn platform_with(bundle: Bundle) -> (RunningPlatform, NodeRuntimeSettings) {
    let any = "127.0.0.1:0".parse().unwrap();
    let platform = platform::start(PlatformConfig::default(), any)
        .await
        .unwrap();
    let key = ApprovalKey::generate("ops").unwrap();
    let settings = settings(platform.address(), key.trusted_key());
    let (key_id, signing_key) = key.into_parts();
    let version = bundle.version.clone();
    let digest = canonical::digest(&bundle).unwrap();
    let change = ChangeId::from("c1");
    let rollout = Rollout {
        current: GenerationRecord {
            generation: Generation(1),
            version: version.clone(),
            digest,
            change: change.clone(),
            key_id,
            signature: approval::sign(&signing_key, &version, &digest),
        },
        hold: None,
        origin: RolloutOrigin {
            author: "test".to_owned(),
            automation: false,
            at_unix_ms: None,
        },
        written_by: change.clone(),
    };
    let published = PublishedBundle {
        bundle,
        digest,
        change,
    };
    let client = PlatformClient::new(platform.address(), "test", Duration::from_secs(20));
    create(&client, ObjectKind::Bundle, version.as_str(), &published).await;
    create(&client, ObjectKind::Rollout, ROLLOUT_NAME, &rollout).await;
    (platform, settings)
}

async fn create<T: Serialize>(client: &PlatformClient, kind: ObjectKind, name: &str, object: &T) {
    let written = client
        .execute(&PlatformRequest::Put {
            kind,
            name: name.to_owned(),
            body: serde_json::to_string(object).unwrap(),
            precondition: Precondition::Absent,
        })
        .await;
    assert_matches!(written, Ok(PlatformResponse::Written { .. }));
}

fn settings(platform_address: SocketAddr, key: TrustedKey) -> NodeRuntimeSettings {
    let any = "127.0.0.1:0".parse().unwrap();
    let node = NodeSettings {
        name: "n1".into(),
        zone: "z1".into(),
        region: "r1".into(),
        caller_address: any,
        operator_address: any,
        peer_address: any,
        advertised_peer_address: None,
        advertised_operator_address: None,
        platform_address,
        seeds: Vec::new(),
        caller_connections: None,
        caller_memory_mb: None,
        cluster_key_file: "unused".into(),
        trusted_keys: vec![key],
    };
    NodeRuntimeSettings::new(node, ClusterKey::generate().unwrap())
}
