//! Health of a back end: readiness and reachability, from replies, load reports, connections,
//! probes and peers.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::SnapshotId;
use thornbridge_proto::back_end::{LoadReport, Readiness};
use thornbridge_proto::peer::health::HealthRecord;

/// Parameters of health tracking.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HealthViewParameters {
    /// Time for which a leaving back end does not become ready again, since replies, probes and
    /// records of peers may be delayed.
    pub leaving_memory: Duration,
    /// Time after a reply for which reports that the back end is unreachable are ignored.
    pub own_evidence: Duration,
    /// Consecutive failed probes after which a back end is unreachable.
    pub failed_probes: u32,
}

impl Default for HealthViewParameters {
    fn default() -> Self {
        Self {
            leaving_memory: Duration::from_secs(5),
            own_evidence: Duration::from_secs(2),
            failed_probes: 2,
        }
    }
}

/// Health of one back end, as known to this node.
#[derive(Clone, Debug, Default)]
pub(super) struct HealthView {
    readiness: Readiness,
    leaving_seen_at: Option<Timestamp>,
    /// Version of the latest record when the back end was last seen leaving.
    leaving_version: u64,
    /// Readiness from a newer record that arrived too soon after the back end was seen leaving.
    deferred_readiness: Option<Readiness>,
    unreachable: bool,
    /// Reported unreachable by a peer, without a recent reply to this node.
    reported_unreachable: bool,
    failed_probes: u32,
    last_reply_at: Option<Timestamp>,
    snapshots: Option<Vec<SnapshotId>>,
    /// Version of the latest record.
    version: u64,
}

impl HealthView {
    /// Whether the back end is leaving and takes no new work.
    pub(super) fn is_leaving(&self) -> bool {
        self.readiness == Readiness::Leaving
    }

    /// Whether this node cannot reach the back end.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Whether a peer cannot reach the back end and this node has no recent reply from it.
    pub(super) fn is_reported_unreachable(&self) -> bool {
        self.reported_unreachable
    }

    /// Readiness last reported by the back end.
    pub(super) fn readiness(&self) -> Readiness {
        self.readiness
    }

    /// Snapshots reported by the back end.
    pub(super) fn snapshots(&self) -> Option<&[SnapshotId]> {
        self.snapshots.as_deref()
    }

    /// Records a reply to an attempt; returns whether the health changed.
    pub(super) fn record_reply(&mut self, now: Timestamp) -> bool {
        self.last_reply_at = Some(now);
        self.failed_probes = 0;
        self.reported_unreachable = false;
        std::mem::take(&mut self.unreachable)
    }

    /// Records a reported readiness; returns whether it changed.
    pub(super) fn record_readiness(
        &mut self,
        parameters: &HealthViewParameters,
        now: Timestamp,
        readiness: Readiness,
    ) -> bool {
        if readiness == Readiness::Leaving {
            self.leaving_seen_at = Some(now);
            self.leaving_version = self.version;
            self.deferred_readiness = None;
        } else if self.recently_leaving(parameters, now) {
            return false;
        } else {
            self.leaving_seen_at = None;
        }
        let changed = self.readiness != readiness;
        self.readiness = readiness;
        changed
    }

    /// Records a load report; returns whether the health changed.
    pub(super) fn record_load_report(
        &mut self,
        parameters: &HealthViewParameters,
        now: Timestamp,
        report: &LoadReport,
    ) -> bool {
        let mut changed = self.record_readiness(parameters, now, report.readiness);
        if report.snapshots.is_some() && report.snapshots != self.snapshots {
            self.snapshots = report.snapshots.clone();
            changed = true;
        }
        changed
    }

    /// Records that no connection is open and none can be opened; returns whether the health
    /// changed.
    pub(super) fn record_connect_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.unreachable, true)
    }

    /// Records an opened connection; returns whether the health changed.
    pub(super) fn record_connected(&mut self) -> bool {
        self.failed_probes = 0;
        std::mem::take(&mut self.unreachable)
    }

    /// Records a reply to a probe; returns whether the health changed.
    pub(super) fn record_probe_reply(
        &mut self,
        parameters: &HealthViewParameters,
        now: Timestamp,
        report: &LoadReport,
    ) -> bool {
        self.failed_probes = 0;
        self.reported_unreachable = false;
        let became_reachable = std::mem::take(&mut self.unreachable);
        self.record_load_report(parameters, now, report) || became_reachable
    }

    /// Records a failed probe; returns whether the health changed.
    pub(super) fn record_probe_failure(
        &mut self,
        parameters: &HealthViewParameters,
        now: Timestamp,
    ) -> bool {
        self.failed_probes += 1;
        let threshold_reached = self.failed_probes >= parameters.failed_probes;
        if !threshold_reached || self.recently_replied(parameters, now) {
            return false;
        }
        !std::mem::replace(&mut self.unreachable, true)
    }

    /// Applies a record of a peer, unless a newer one is known.
    pub(super) fn apply_record(
        &mut self,
        parameters: &HealthViewParameters,
        now: Timestamp,
        record: &HealthRecord,
    ) {
        if record.version < self.version {
            return;
        }
        let newer = record.version > self.leaving_version;
        self.version = record.version;
        self.record_readiness(parameters, now, record.readiness);
        if newer && record.readiness != Readiness::Leaving && self.is_leaving() {
            // A record is received once only, so its readiness is kept until it can be applied.
            self.deferred_readiness = Some(record.readiness);
        }
        if record.snapshots.is_some() {
            self.snapshots.clone_from(&record.snapshots);
        }
        self.reported_unreachable = !record.reachable && !self.recently_replied(parameters, now);
    }

    /// Applies a deferred readiness when the back end has not been seen leaving for long enough.
    /// Returns whether one was applied.
    pub(super) fn apply_deferred_readiness(
        &mut self,
        parameters: &HealthViewParameters,
        now: Timestamp,
    ) -> bool {
        if self.deferred_readiness.is_none() || self.recently_leaving(parameters, now) {
            return false;
        }
        let Some(readiness) = self.deferred_readiness.take() else {
            return false;
        };
        self.leaving_seen_at = None;
        self.readiness = readiness;
        true
    }

    /// Increments and returns the version, for a new record.
    pub(super) fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn recently_leaving(&self, parameters: &HealthViewParameters, now: Timestamp) -> bool {
        self.leaving_seen_at
            .is_some_and(|seen_at| now.since(seen_at) < parameters.leaving_memory)
    }

    fn recently_replied(&self, parameters: &HealthViewParameters, now: Timestamp) -> bool {
        self.last_reply_at
            .is_some_and(|replied_at| now.since(replied_at) < parameters.own_evidence)
    }
}
