//! Sample bundles, keys and rollout requests.

use std::time::Duration;
use thornbridge_config::approval::{SigningKey, TrustedKey};
use thornbridge_config::bundle::{
    BUNDLE_FORMAT, BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind,
    Snapshot,
};
use thornbridge_config::objects::RolloutOrigin;
use thornbridge_core::operator::RolloutRequest;
use thornbridge_proto::BundleVersion;

pub const KEY_ID: &str = "ops";

pub fn signing_key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

pub fn trusted_keys() -> Vec<TrustedKey> {
    vec![TrustedKey::of(KEY_ID, &signing_key())]
}

/// A bundle with the named services, each with one back end.
pub fn bundle(version: &str, services: &[&str]) -> Bundle {
    Bundle {
        format: BUNDLE_FORMAT,
        version: version.into(),
        deployment: "test".to_owned(),
        maximum_nodes: 10,
        services: services.iter().map(|name| service(name)).collect(),
    }
}

fn service(name: &str) -> Service {
    let id = format!("{name}-0");
    Service {
        name: name.into(),
        kind: ServiceKind::Query,
        priority: 0,
        completeness: Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::from_millis(40),
            hard_deadline: Duration::from_millis(400),
            minimum_coverage: 0.5,
        },
        limits: Default::default(),
        back_ends: vec![BackEnd {
            id: id.as_str().into(),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: "zone-a".into(),
            slots: 2,
            connections: 100,
        }],
        layouts: vec![Layout {
            id: "layout-1".into(),
            shards: vec![vec![id.as_str().into()]],
        }],
        snapshots: vec![Snapshot {
            id: "snapshot-1".into(),
            layout: "layout-1".into(),
        }],
    }
}

/// A rollout request of an operator, without an expected generation.
pub fn rollout(version: BundleVersion) -> RolloutRequest {
    RolloutRequest {
        version,
        origin: RolloutOrigin {
            author: "operator".to_owned(),
            automation: false,
            at_unix_ms: Some(1),
        },
        expected: None,
        trusted_keys: trusted_keys(),
    }
}
