//! Whether a back end takes work: from its replies, its reports, its connections, and peers.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::SnapshotId;
use thornbridge_proto::back_end::{LoadReport, Readiness};
use thornbridge_proto::peer::health::HealthRecord;

/// Tunable values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HealthViewParameters {
    /// How long a word of leaving stands against words of being ready: replies, probes and peers'
    /// records may be older than it although they come later.
    pub leaving_memory: Duration,
    /// A peer's word that a back end is unreachable is not believed this long after a reply to
    /// this node: its own eyes count more.
    pub own_evidence: Duration,
    /// Probes without an answer, one after the other, that make a back end unreachable.
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

/// What this node believes of one back end.
#[derive(Clone, Debug, Default)]
pub(super) struct HealthView {
    readiness: Readiness,
    leaving_seen_at: Option<Timestamp>,
    /// Version of the last record known when it was seen leaving.
    leaving_version: u64,
    /// A newer record calls it ready, but not long enough after it was seen leaving.
    deferred_readiness: Option<Readiness>,
    unreachable: bool,
    reported_unreachable: bool,
    failed_probes: u32,
    last_reply: Option<Timestamp>,
    snapshots: Option<Vec<SnapshotId>>,
    version: u64,
}

impl HealthView {
    /// Leaving: gets no new work whatever else is known.
    pub(super) fn is_leaving(&self) -> bool {
        self.readiness == Readiness::Leaving
    }

    /// This node itself cannot reach it.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// A peer cannot reach it, and this node has no better knowledge.
    pub(super) fn is_reported_unreachable(&self) -> bool {
        self.reported_unreachable
    }

    /// What it last said of itself.
    pub(super) fn readiness(&self) -> Readiness {
        self.readiness
    }

    /// Snapshots it said it holds.
    pub(super) fn snapshots(&self) -> Option<&[SnapshotId]> {
        self.snapshots.as_deref()
    }

    /// It answered an attempt. True where this is news.
    pub(super) fn record_reply(&mut self, now: Timestamp) -> bool {
        self.last_reply = Some(now);
        self.failed_probes = 0;
        self.reported_unreachable = false;
        std::mem::take(&mut self.unreachable)
    }

    /// It said how it is. True where this is news.
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

    /// It reported its load. True where this is news.
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

    /// No connection to it could be opened, and none is open. True where this is news.
    pub(super) fn record_connect_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.unreachable, true)
    }

    /// A connection was opened. True where this is news.
    pub(super) fn record_connected(&mut self) -> bool {
        self.failed_probes = 0;
        std::mem::take(&mut self.unreachable)
    }

    /// A probe was answered. True where this is news.
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

    /// A probe was not answered. True where this is news.
    pub(super) fn record_probe_failure(
        &mut self,
        parameters: &HealthViewParameters,
        now: Timestamp,
    ) -> bool {
        self.failed_probes += 1;
        let enough = self.failed_probes >= parameters.failed_probes;
        if !enough || self.recently_replied(parameters, now) {
            return false;
        }
        !std::mem::replace(&mut self.unreachable, true)
    }

    /// A record came through health sharing. Older ones than those known say nothing.
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
            // Records come once: this one is kept until it may be believed.
            self.deferred_readiness = Some(record.readiness);
        }
        if record.snapshots.is_some() {
            self.snapshots.clone_from(&record.snapshots);
        }
        self.reported_unreachable = !record.reachable && !self.recently_replied(parameters, now);
    }

    /// Believes a record that came too soon after the back end was seen leaving, once that is
    /// long enough ago. True where it is no longer leaving.
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

    /// The record that tells peers of the present state. Raises the version.
    pub(super) fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    fn recently_leaving(&self, parameters: &HealthViewParameters, now: Timestamp) -> bool {
        self.leaving_seen_at
            .is_some_and(|leaving_seen_at| now.since(leaving_seen_at) < parameters.leaving_memory)
    }

    fn recently_replied(&self, parameters: &HealthViewParameters, now: Timestamp) -> bool {
        self.last_reply
            .is_some_and(|reply| now.since(reply) < parameters.own_evidence)
    }
}
