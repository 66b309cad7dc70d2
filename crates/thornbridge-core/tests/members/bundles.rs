//! Configuration bundles for the tests.

use std::time::Duration;
use thornbridge_config::bundle::{
    BUNDLE_FORMAT, BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind,
    ServiceLimits, Snapshot,
};
use thornbridge_proto::BackEndId;

/// Id of the back end with this index.
pub fn back_end(index: usize) -> BackEndId {
    format!("server-{index:04}").into()
}

/// A bundle with one service of `back_ends` back ends, spread over the zones of `regions` regions.
pub fn bundle(back_ends: usize, regions: usize) -> Bundle {
    let servers = (0..back_ends).map(|index| BackEnd {
        id: back_end(index),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: format!("zone-{}-{}", index % regions, index / regions % 3).into(),
        slots: 2,
        connections: 100,
    });
    Bundle {
        format: BUNDLE_FORMAT,
        version: "v1".into(),
        deployment: "test".to_owned(),
        maximum_nodes: 1_000,
        services: vec![Service {
            name: "search".into(),
            kind: ServiceKind::Query,
            priority: 0,
            completeness: Completeness {
                policy: CompletenessPolicy::LatencyFirst,
                target: Duration::from_millis(80),
                hard_deadline: Duration::from_millis(200),
                minimum_coverage: 0.5,
            },
            limits: ServiceLimits::default(),
            back_ends: servers.collect(),
            layouts: vec![Layout {
                id: "layout-1".into(),
                shards: (0..back_ends).map(|index| vec![back_end(index)]).collect(),
            }],
            snapshots: vec![Snapshot {
                id: "snapshot-1".into(),
                layout: "layout-1".into(),
            }],
        }],
    }
}
