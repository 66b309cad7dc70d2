//! What a back end holds, and what a search of it finds.

use crate::scenario::SnapshotNumber;
use crate::simulator::corpus::{Searched, hits_of_answer, hits_of_shard};
use std::collections::BTreeMap;
use thornbridge_config::bundle::{Bundle, Service, ServiceKind};
use thornbridge_proto::back_end::{Attempt, Work};
use thornbridge_proto::caller::Hit;
use thornbridge_proto::{BackEndId, LayoutId, ServiceName, ShardId, SnapshotId};
use xxhash_rust::xxh3::xxh3_64;

/// Shards of one service on one back end.
#[derive(Clone, Debug)]
struct Holding {
    kind: ServiceKind,
    /// Newest first.
    snapshots: Vec<SnapshotId>,
    /// Layout of each snapshot.
    layout_of: BTreeMap<SnapshotId, LayoutId>,
    /// For each layout, the shards held here and how many there are.
    layouts: BTreeMap<LayoutId, (Vec<ShardId>, u32)>,
}

/// What one back end holds.
#[derive(Clone, Debug, Default)]
pub struct Index {
    services: BTreeMap<ServiceName, Holding>,
}

impl Index {
    /// What a bundle places on a back end.
    pub fn of_bundle(bundle: &Bundle, id: &BackEndId) -> Self {
        let here = bundle.services.iter();
        let here = here.filter(|service| service.back_end(id).is_some());
        let services = here
            .map(|service| (service.name.clone(), Holding::of_service(service, id)))
            .collect();
        Self { services }
    }

    /// Snapshots held, newest first.
    pub fn snapshots(&self) -> Vec<SnapshotId> {
        let holdings = self.services.values();
        holdings
            .flat_map(|holding| holding.snapshots.iter().cloned())
            .collect()
    }

    /// Whether the work can be done here.
    pub fn holds(&self, attempt: &Attempt) -> bool {
        let Some(holding) = self.services.get(&attempt.service) else {
            return false;
        };
        match &attempt.work {
            Work::Query {
                snapshot, layout, ..
            } => {
                holding.kind == ServiceKind::Query
                    && holding.layout_of.get(snapshot) == Some(layout)
                    && holding.holds_shard(layout, attempt.shard)
            }
            Work::Action { .. } => {
                let mut layouts = holding.layouts.keys();
                holding.kind == ServiceKind::Action
                    && layouts.any(|layout| holding.holds_shard(layout, attempt.shard))
            }
        }
    }

    /// What a search of one shard finds, best first.
    pub fn search(
        &self,
        service: &ServiceName,
        shard: ShardId,
        snapshot: &SnapshotId,
        text: &str,
        limit: u32,
    ) -> Vec<Hit> {
        let Some(shards) = self.shards_of(service, snapshot) else {
            return Vec::new();
        };
        let searched = searched(service, snapshot, shards, text);
        hits_of_shard(searched, shard, limit as usize)
    }

    fn shards_of(&self, service: &ServiceName, snapshot: &SnapshotId) -> Option<u32> {
        let holding = self.services.get(service)?;
        let layout = holding.layout_of.get(snapshot)?;
        holding.layouts.get(layout).map(|(_, shards)| *shards)
    }
}

impl Holding {
    fn of_service(service: &Service, id: &BackEndId) -> Self {
        let layouts = service.layouts.iter().map(|layout| {
            let held = layout.shards().filter(|(_, holders)| holders.contains(id));
            let held = held.map(|(shard, _)| shard).collect();
            (layout.id.clone(), (held, layout.shards.len() as u32))
        });
        let snapshots = service.snapshots.iter();
        Self {
            kind: service.kind,
            snapshots: snapshots
                .clone()
                .map(|snapshot| snapshot.id.clone())
                .collect(),
            layout_of: snapshots
                .map(|snapshot| (snapshot.id.clone(), snapshot.layout.clone()))
                .collect(),
            layouts: layouts.collect(),
        }
    }

    fn holds_shard(&self, layout: &LayoutId, shard: ShardId) -> bool {
        let layout = self.layouts.get(layout);
        layout.is_some_and(|(held, _)| held.contains(&shard))
    }
}

/// The one right answer with full coverage to a query of a snapshot; best first.
pub fn expected_hits(service: &Service, snapshot: &SnapshotId, text: &str, limit: u32) -> Vec<Hit> {
    expected_hits_of(service, snapshot, text, limit, |_| true)
}

/// The one right answer of the shards for which `answered` holds; best first.
pub fn expected_hits_of(
    service: &Service,
    snapshot: &SnapshotId,
    text: &str,
    limit: u32,
    answered: impl Fn(ShardId) -> bool,
) -> Vec<Hit> {
    let of_service = service.snapshots.iter().find(|one| one.id == *snapshot);
    let Some(layout) = of_service.and_then(|snapshot| service.layout_of(snapshot)) else {
        return Vec::new();
    };
    let searched = searched(&service.name, snapshot, layout.shards.len() as u32, text);
    hits_of_answer(searched, limit as usize, answered)
}

/// Names and texts enter the corpus as hashes, so that each service, snapshot and text has its
/// own documents.
fn searched<'a>(
    service: &ServiceName,
    snapshot: &'a SnapshotId,
    shards: u32,
    text: &str,
) -> Searched<'a> {
    Searched {
        service: xxh3_64(service.as_str().as_bytes()) as usize,
        query: xxh3_64(text.as_bytes()),
        snapshot: SnapshotNumber(xxh3_64(snapshot.as_str().as_bytes()) as u32),
        snapshot_id: snapshot,
        shards,
    }
}
