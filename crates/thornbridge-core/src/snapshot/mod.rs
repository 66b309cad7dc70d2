//! Catalogue of the snapshots that back ends hold, and choice of the snapshot of a query.
//!
//! Snapshot and layout are chosen together when a query is planned and do not change while the
//! query runs.

#[cfg(test)]
mod tests;

use crate::configuration::ActiveConfiguration;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::{Layout, Service, Snapshot};
use thornbridge_proto::back_end::LoadReport;
use thornbridge_proto::peer::health::HealthRecord;
use thornbridge_proto::{BackEndId, LayoutId, ServiceName, SnapshotId};

/// Plan shared by the queries of one service. Immutable.
#[derive(Debug)]
pub struct ServicePlan {
    /// Configuration under which the plan was made.
    pub configuration: Arc<ActiveConfiguration>,
    /// Service of the plan.
    pub service: ServiceName,
    /// Snapshot of all hits.
    pub snapshot: SnapshotId,
    /// Layout of the snapshot.
    pub layout: LayoutId,
    /// Back ends assumed to hold the snapshot, by shard index.
    pub holders: Vec<Vec<BackEndId>>,
}

/// Snapshots of one back end.
#[derive(Debug, Default)]
struct BackEndSnapshots {
    /// Last reported list; absent before the first, when all snapshots are assumed held.
    reported: Option<Vec<SnapshotId>>,
    /// Snapshots that replies reported as not held, and until when this overrides the list.
    not_held: Vec<(SnapshotId, Timestamp)>,
}

impl BackEndSnapshots {
    fn holds(&self, now: Timestamp, snapshot: &SnapshotId) -> bool {
        let not_held = self
            .not_held
            .iter()
            .any(|(not_held, until)| not_held == snapshot && now < *until);
        let reported = self.reported.as_ref();
        !not_held && reported.is_none_or(|reported| reported.contains(snapshot))
    }
}

#[derive(Debug)]
struct CachedPlan {
    plan: Arc<ServicePlan>,
    /// Expiry of the first "not held" reply that may affect the plan.
    valid_until: Timestamp,
}

/// Snapshots of all back ends, and the cached plan of each service.
#[derive(Debug)]
pub struct SnapshotCatalogue {
    not_held_memory: Duration,
    back_ends: BTreeMap<BackEndId, BackEndSnapshots>,
    plans: BTreeMap<ServiceName, CachedPlan>,
}

impl SnapshotCatalogue {
    /// Creates an empty catalogue. "Not held" replies override reports for the given time.
    pub fn new(not_held_memory: Duration) -> Self {
        Self {
            not_held_memory,
            back_ends: BTreeMap::new(),
            plans: BTreeMap::new(),
        }
    }

    /// Drops all plans, and the back ends that are not in the new configuration.
    pub fn install(&mut self, active: &ActiveConfiguration) {
        self.plans.clear();
        self.back_ends
            .retain(|back_end, _| active.back_end(back_end).is_some());
    }

    /// Applies the snapshot list of a back end's load report.
    pub fn apply_load_report(&mut self, back_end: &BackEndId, report: &LoadReport) {
        if let Some(snapshots) = &report.snapshots {
            self.set_reported(back_end, snapshots);
        }
    }

    /// Applies the snapshot list of a health record.
    pub fn apply_health_record(&mut self, record: &HealthRecord) {
        if let Some(snapshots) = &record.snapshots {
            self.set_reported(&record.back_end, snapshots);
        }
    }

    fn set_reported(&mut self, back_end: &BackEndId, snapshots: &[SnapshotId]) {
        let back_end_snapshots = self.back_ends.entry(back_end.clone()).or_default();
        if back_end_snapshots.reported.as_deref() != Some(snapshots) {
            back_end_snapshots.reported = Some(snapshots.to_vec());
            self.plans.clear();
        }
    }

    /// Records a reply that a back end does not hold a snapshot.
    pub fn record_not_held(&mut self, now: Timestamp, back_end: &BackEndId, snapshot: &SnapshotId) {
        let until = now + self.not_held_memory;
        let back_end_snapshots = self.back_ends.entry(back_end.clone()).or_default();
        let was_held = back_end_snapshots.holds(now, snapshot);
        back_end_snapshots
            .not_held
            .retain(|(_, until)| now < *until);
        back_end_snapshots
            .not_held
            .retain(|(not_held, _)| not_held != snapshot);
        back_end_snapshots.not_held.push((snapshot.clone(), until));
        if was_held {
            self.plans.clear();
        }
    }

    /// Plan for queries that arrive now. Uses the newest snapshot with a holder for every shard; if
    /// there is none, the one with the best coverage, newest first.
    pub fn plan(
        &mut self,
        now: Timestamp,
        active: &Arc<ActiveConfiguration>,
        service: &Service,
    ) -> Option<Arc<ServicePlan>> {
        if let Some(cached) = self.plans.get(&service.name)
            && now < cached.valid_until
            && Arc::ptr_eq(&cached.plan.configuration, active)
        {
            return Some(Arc::clone(&cached.plan));
        }
        let (snapshot, layout) = self.choose(now, service)?;
        let plan = Arc::new(ServicePlan {
            configuration: Arc::clone(active),
            service: service.name.clone(),
            snapshot: snapshot.id.clone(),
            layout: layout.id.clone(),
            holders: self.holders(now, snapshot, layout),
        });
        let cached = CachedPlan {
            plan: Arc::clone(&plan),
            valid_until: self.next_expiry(now, service),
        };
        self.plans.insert(service.name.clone(), cached);
        Some(plan)
    }

    /// Snapshot and layout of a plan made now.
    pub fn choose<'a>(
        &self,
        now: Timestamp,
        service: &'a Service,
    ) -> Option<(&'a Snapshot, &'a Layout)> {
        let mut best: Option<(f64, &Snapshot, &Layout)> = None;
        for snapshot in &service.snapshots {
            let Some(layout) = service.layout_of(snapshot) else {
                continue;
            };
            let coverage = self.coverage(now, snapshot, layout);
            if best.is_none_or(|(best_coverage, _, _)| coverage > best_coverage) {
                best = Some((coverage, snapshot, layout));
            }
            if coverage >= 1.0 {
                break;
            }
        }
        best.map(|(_, snapshot, layout)| (snapshot, layout))
    }

    fn coverage(&self, now: Timestamp, snapshot: &Snapshot, layout: &Layout) -> f64 {
        let held = layout
            .shards
            .iter()
            .filter(|replicas| {
                replicas
                    .iter()
                    .any(|back_end| self.holds(now, back_end, &snapshot.id))
            })
            .count();
        held as f64 / layout.shards.len().max(1) as f64
    }

    fn holders(&self, now: Timestamp, snapshot: &Snapshot, layout: &Layout) -> Vec<Vec<BackEndId>> {
        let holders_of = |replicas: &Vec<BackEndId>| {
            replicas
                .iter()
                .filter(|back_end| self.holds(now, back_end, &snapshot.id))
                .cloned()
                .collect()
        };
        layout.shards.iter().map(holders_of).collect()
    }

    fn holds(&self, now: Timestamp, back_end: &BackEndId, snapshot: &SnapshotId) -> bool {
        let back_end_snapshots = self.back_ends.get(back_end);
        back_end_snapshots.is_none_or(|back_end_snapshots| back_end_snapshots.holds(now, snapshot))
    }

    /// Expiry of the earliest "not held" reply of a back end of the service.
    fn next_expiry(&self, now: Timestamp, service: &Service) -> Timestamp {
        let back_ends = service
            .back_ends
            .iter()
            .filter_map(|back_end| self.back_ends.get(&back_end.id));
        back_ends
            .flat_map(|back_end_snapshots| &back_end_snapshots.not_held)
            .map(|(_, until)| *until)
            .filter(|until| now < *until)
            .min()
            .unwrap_or(Timestamp::MAX)
    }
}
