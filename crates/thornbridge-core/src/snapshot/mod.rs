//! Which back ends hold which snapshots, and which snapshot a query is planned on.
//!
//! A layout belongs to a snapshot: both are chosen together, once, when a query is planned, and
//! stay for its whole life whatever is learned or rolled out meanwhile.

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

/// What every query planned on one service now has in common. Shared, never changed.
#[derive(Debug)]
pub struct ServicePlan {
    /// Configuration it was made under.
    pub configuration: Arc<ActiveConfiguration>,
    /// The service.
    pub service: ServiceName,
    /// The snapshot that every hit comes from.
    pub snapshot: SnapshotId,
    /// The layout of that snapshot.
    pub layout: LayoutId,
    /// For each shard, from 0, the back ends believed to hold the snapshot.
    pub holders: Vec<Vec<BackEndId>>,
}

/// What is believed of one back end.
#[derive(Debug, Default)]
struct Holding {
    /// The list it last gave; absent before any: then it is assumed to hold all.
    listed: Option<Vec<SnapshotId>>,
    /// Snapshots that it denied to hold, and until when that is believed over the list.
    denied: Vec<(SnapshotId, Timestamp)>,
}

impl Holding {
    fn holds(&self, now: Timestamp, snapshot: &SnapshotId) -> bool {
        let denied = self
            .denied
            .iter()
            .any(|(denied, until)| denied == snapshot && now < *until);
        let listed = self.listed.as_ref();
        !denied && listed.is_none_or(|listed| listed.contains(snapshot))
    }
}

#[derive(Debug)]
struct CachedPlan {
    plan: Arc<ServicePlan>,
    /// When a denial that the plan rests on is over.
    valid_until: Timestamp,
}

/// Knowledge of holders, and the plan in use for each service.
#[derive(Debug)]
pub struct SnapshotCatalogue {
    not_held_memory: Duration,
    holdings: BTreeMap<BackEndId, Holding>,
    plans: BTreeMap<ServiceName, CachedPlan>,
}

impl SnapshotCatalogue {
    /// Nothing is known; "not held" replies will be believed over reports for this long.
    pub fn new(not_held_memory: Duration) -> Self {
        Self {
            not_held_memory,
            holdings: BTreeMap::new(),
            plans: BTreeMap::new(),
        }
    }

    /// Forgets back ends that a new configuration does not have.
    pub fn install(&mut self, active: &ActiveConfiguration) {
        self.plans.clear();
        self.holdings
            .retain(|back_end, _| active.back_end(back_end).is_some());
    }

    /// Takes a back end's own report.
    pub fn reported(&mut self, back_end: &BackEndId, report: &LoadReport) {
        if let Some(snapshots) = &report.snapshots {
            self.listed(back_end, snapshots);
        }
    }

    /// Takes news from health sharing.
    pub fn health_learnt(&mut self, record: &HealthRecord) {
        if let Some(snapshots) = &record.snapshots {
            self.listed(&record.back_end, snapshots);
        }
    }

    fn listed(&mut self, back_end: &BackEndId, snapshots: &[SnapshotId]) {
        let holding = self.holdings.entry(back_end.clone()).or_default();
        if holding.listed.as_deref() != Some(snapshots) {
            holding.listed = Some(snapshots.to_vec());
            self.plans.clear();
        }
    }

    /// A back end replied that it does not hold a snapshot.
    pub fn denied(&mut self, now: Timestamp, back_end: &BackEndId, snapshot: &SnapshotId) {
        let until = now + self.not_held_memory;
        let holding = self.holdings.entry(back_end.clone()).or_default();
        let was_held = holding.holds(now, snapshot);
        holding.denied.retain(|(_, until)| now < *until);
        holding.denied.retain(|(denied, _)| denied != snapshot);
        holding.denied.push((snapshot.clone(), until));
        if was_held {
            self.plans.clear();
        }
    }

    /// The plan for queries that arrive now: the newest snapshot that every shard has a holder
    /// of; where there is none, the best covered one, and of equals the newest.
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
            valid_until: self.next_change(now, service),
        };
        self.plans.insert(service.name.clone(), cached);
        Some(plan)
    }

    /// The snapshot, with its layout, that a plan made now would be of.
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
            if best.is_none_or(|(most, _, _)| coverage > most) {
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
        let holding = self.holdings.get(back_end);
        holding.is_none_or(|holding| holding.holds(now, snapshot))
    }

    /// When the first denial by a back end of the service is over.
    fn next_change(&self, now: Timestamp, service: &Service) -> Timestamp {
        let holdings = service
            .back_ends
            .iter()
            .filter_map(|back_end| self.holdings.get(&back_end.id));
        holdings
            .flat_map(|holding| &holding.denied)
            .map(|(_, until)| *until)
            .filter(|until| now < *until)
            .min()
            .unwrap_or(Timestamp::MAX)
    }
}
