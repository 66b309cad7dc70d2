//! Quarantine of requests that crash the servers that run them.
//!
//! Requests are identified by a fingerprint that is the same for all retries by a caller. A
//! connection that breaks under a request counts as a crash caused by the request, unless a server
//! has answered the request.
//!
//! | stage | entered on | request is sent to |
//! | --- | --- | --- |
//! | suspected | first crash | one server at a time |
//! | probing | crash seen by this node that completes the required number | a few canary servers |
//! | quarantined | peer record that completes the required number | no server |
//! | cleared | answer of a server | any server |
//!
//! The required number counts crashes over all nodes. A probing request that is not answered in time
//! is refused like a quarantined one. Refused requests expire to the suspected stage. Without the
//! quarantine, a request that is retried at other nodes could crash all servers of a service.
//!
//! Unrelated requests that ran on a crashed server are suspected as well. Most are cleared by an
//! answer; those whose crashes are all explained by another quarantined request are not refused.
//!
//! | module | concern |
//! | --- | --- |
//! | `recently_answered` | requests that were answered recently |
//! | `record` | crash record of one request |
//! | `dissemination` | dissemination of records among members |

mod dissemination;
mod recently_answered;
mod record;

use super::action::GatewayAction;
use super::parameters::QuarantineParameters;
use super::telemetry::{GatewayChange, ViewOrigin};
use crate::time::Timestamp;
use dissemination::Dissemination;
use recently_answered::RecentlyAnswered;
use record::{Audience, Record, Stage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::quarantine::CrashRecord;

/// Maximum number of instances in a record: required crashes, canaries and some slack.
const MAX_INSTANCES_PER_RECORD: usize = 8;

/// To how many servers a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendPolicy {
    /// No restriction.
    Unrestricted,
    /// One server at a time.
    OneAtATime,
    /// No new attempts; an attempt in flight may still clear the request.
    AwaitInFlight,
    /// The request is refused.
    Refuse,
}

impl SendPolicy {
    /// Whether a new attempt may be made.
    pub(super) fn allows_new_attempts(self) -> bool {
        matches!(self, Self::Unrestricted | Self::OneAtATime)
    }
}

/// Crash records of all suspected, quarantined and cleared requests.
#[derive(Debug)]
pub(super) struct Quarantine {
    parameters: QuarantineParameters,
    records: BTreeMap<Fingerprint, Record>,
    answered: RecentlyAnswered,
    /// Scheduled announcements, by time.
    announcements: BTreeSet<(Timestamp, Fingerprint)>,
    dissemination: Dissemination,
    next_expiry: Timestamp,
}

impl Quarantine {
    pub(super) fn new(parameters: QuarantineParameters) -> Self {
        Self {
            parameters,
            records: BTreeMap::new(),
            answered: RecentlyAnswered::default(),
            announcements: BTreeSet::new(),
            dissemination: Dissemination::default(),
            next_expiry: Timestamp::ZERO,
        }
    }

    /// Replaces the parameters; disabling the quarantine drops all records.
    pub(super) fn set_parameters(&mut self, parameters: QuarantineParameters) {
        self.parameters = parameters;
        if !self.parameters.enabled {
            self.records.clear();
            self.announcements.clear();
        }
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// To how many servers a request may be sent now.
    pub(super) fn send_policy(&self, now: Timestamp, fingerprint: Fingerprint) -> SendPolicy {
        let Some(record) = self.records.get(&fingerprint) else {
            return SendPolicy::Unrestricted;
        };
        match record.stage {
            Stage::Cleared => SendPolicy::Unrestricted,
            Stage::Suspected => SendPolicy::OneAtATime,
            Stage::Probing { .. } | Stage::Quarantined
                if self.is_explained(fingerprint, record) =>
            {
                SendPolicy::OneAtATime
            }
            Stage::Quarantined => SendPolicy::Refuse,
            Stage::Probing { since, .. } if now.since(since) >= self.parameters.testing => {
                SendPolicy::Refuse
            }
            Stage::Probing { canaries, .. } if canaries >= self.parameters.canaries => {
                SendPolicy::AwaitInFlight
            }
            Stage::Probing { .. } => SendPolicy::OneAtATime,
        }
    }

    /// Whether all crashes of a request are explained by another quarantined request: its record
    /// contains every instance of this one and more. The request then probably just ran on the same
    /// servers, and is sent to one server at a time.
    fn is_explained(&self, fingerprint: Fingerprint, record: &Record) -> bool {
        let mut others = self
            .records
            .iter()
            .filter(|(other, _)| **other != fingerprint);
        others.any(|(_, other)| {
            let has_more = other.instances.len() > record.instances.len();
            let mut instances = record.instances.iter();
            let quarantined = other.stage.has_enough_crashes();
            quarantined && has_more && instances.all(|instance| other.instances.contains(instance))
        })
    }

    /// Remaining time for which a quarantined request is refused.
    pub(super) fn remaining(&self, now: Timestamp, fingerprint: Fingerprint) -> Duration {
        let record = self.records.get(&fingerprint);
        let ends_at = record.map_or(now, |record| record.changed_at + self.parameters.kept);
        ends_at.since(now)
    }

    /// Counts an attempt of a request.
    pub(super) fn record_attempt(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && let Stage::Probing { canaries, .. } = &mut record.stage
        {
            *canaries += 1;
        }
    }

    /// Records that a connection broke under a request that no server has answered.
    pub(super) fn record_crash(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        instance: &BackEndId,
    ) {
        let required = self.parameters.crashes;
        let Some(record) = self.record_for_crash(now, now, fingerprint) else {
            return;
        };
        if !record.add(instance, MAX_INSTANCES_PER_RECORD) {
            return;
        }
        record.changed_at = now;
        if record.stage == Stage::Suspected && record.instances.len() >= required {
            record.stage = Stage::Probing {
                since: now,
                canaries: 0,
            };
        }
        self.schedule_announcement(now + self.parameters.telling, fingerprint);
    }

    /// Announces the record of an abandoned request at once, before the caller retries at another
    /// node.
    pub(super) fn record_abandoned(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let record = self.records.get(&fingerprint);
        if record.is_some_and(|record| record.announced_to < Audience::All) {
            self.schedule_announcement(now, fingerprint);
        }
    }

    /// Records that a server answered a request, which clears it.
    pub(super) fn record_answer(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let lifetime = self.parameters.answered_lifetime;
        self.answered.add(now, fingerprint, lifetime);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.stage == Stage::Cleared {
            return;
        }
        record.stage = Stage::Cleared;
        record.changed_at = now;
        if record.announced_to > Audience::None {
            self.schedule_announcement(now, fingerprint);
        }
    }

    /// Merges a record received from a peer.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        received: &CrashRecord,
    ) {
        let age = Duration::from_millis(u64::from(received.age_ms));
        if age >= self.parameters.kept {
            return;
        }
        if received.cleared {
            self.merge_cleared(now, actions, received.fingerprint, now - age);
            return;
        }
        let fingerprint = received.fingerprint;
        let required = self.parameters.crashes;
        let Some(record) = self.record_for_crash(now, now - age, fingerprint) else {
            return;
        };
        let already_quarantined = record.stage.has_enough_crashes();
        for instance in &received.instances {
            if record.add(instance, MAX_INSTANCES_PER_RECORD) {
                record.changed_at = record.changed_at.max(now - age);
            }
        }
        // A probing stage on this node continues: its duration is bounded and an answer may clear
        // the request.
        if record.stage == Stage::Suspected && record.instances.len() >= required {
            record.stage = Stage::Quarantined;
        }
        if already_quarantined || !record.stage.has_enough_crashes() {
            return;
        }
        if received.instances.len() < required {
            self.schedule_announcement(now + self.parameters.telling, fingerprint);
        } else {
            // The node that reached the decision announces it to all members.
            record.announced_to = Audience::All;
            actions.push_back(state_change(fingerprint, record, ViewOrigin::Peer));
        }
    }

    /// Merges a peer's record of an answered request.
    fn merge_cleared(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        fingerprint: Fingerprint,
        cleared_at: Timestamp,
    ) {
        if !self.parameters.enabled {
            return;
        }
        let record = self.get_or_insert(now, fingerprint);
        let quarantined = record.stage.has_enough_crashes();
        record.stage = Stage::Cleared;
        record.changed_at = cleared_at;
        if quarantined {
            record.announced_to = Audience::All;
            actions.push_back(state_change(fingerprint, record, ViewOrigin::Peer));
        }
    }

    /// Record of a request to which a crash is to be added; `None` if an answer close to the time
    /// of the crash shows that the request did not cause it.
    fn record_for_crash(
        &mut self,
        now: Timestamp,
        crashed_at: Timestamp,
        fingerprint: Fingerprint,
    ) -> Option<&mut Record> {
        let lifetime = self.parameters.answered_lifetime;
        let answered = self.answered.contains(crashed_at, fingerprint, lifetime);
        if !self.parameters.enabled || answered {
            return None;
        }
        let record = self.get_or_insert(now, fingerprint);
        if record.stage == Stage::Cleared {
            if crashed_at.since(record.changed_at) < lifetime {
                return None;
            }
            // The answer is too old to exonerate the request: data on servers may have changed.
            *record = Record::new(now);
        }
        Some(record)
    }

    /// Record of a request. A missing record is created, which may evict another one.
    fn get_or_insert(&mut self, now: Timestamp, fingerprint: Fingerprint) -> &mut Record {
        let is_full = self.records.len() >= self.parameters.records_maximum;
        if is_full && !self.records.contains_key(&fingerprint) {
            self.evict_one();
        }
        self.records
            .entry(fingerprint)
            .or_insert_with(|| Record::new(now))
    }

    /// Evicts the record with the oldest change, preferring those that are not quarantined.
    fn evict_one(&mut self) {
        let eviction_order =
            |record: &Record| (record.stage.has_enough_crashes(), record.changed_at);
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| eviction_order(record));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Schedules an announcement, unless an earlier one is pending.
    fn schedule_announcement(&mut self, at: Timestamp, fingerprint: Fingerprint) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        let earlier = record.announce_at.filter(|earlier| *earlier <= at);
        if earlier.is_some() {
            return;
        }
        if let Some(replaced) = record.announce_at.replace(at) {
            self.announcements.remove(&(replaced, fingerprint));
        }
        self.announcements.insert((at, fingerprint));
    }

    /// Removes expired records. Quarantined requests return to the suspected stage instead.
    fn expire(&mut self, now: Timestamp) {
        let Self {
            records,
            parameters,
            ..
        } = self;
        records.retain(|_, record| {
            if now.since(record.changed_at) < parameters.kept {
                return true;
            }
            let quarantined = record.stage.has_enough_crashes();
            if quarantined {
                // A single further crash quarantines the request again.
                let kept = parameters.crashes.saturating_sub(1);
                let excess = record.instances.len().saturating_sub(kept);
                record.instances.drain(..excess);
                record.stage = Stage::Suspected;
                record.announced_to = Audience::None;
                record.changed_at = now;
            }
            quarantined
        });
    }
}

/// Action that reports the stage of a record.
fn state_change(fingerprint: Fingerprint, record: &Record, origin: ViewOrigin) -> GatewayAction {
    GatewayAction::Changed(GatewayChange::Quarantine {
        fingerprint,
        state: record.stage.as_str(),
        instances: record.instances.clone(),
        origin,
    })
}

/// Wire form of a record.
fn to_wire(now: Timestamp, fingerprint: Fingerprint, record: &Record) -> CrashRecord {
    let age = now.since(record.changed_at).as_millis();
    CrashRecord {
        fingerprint,
        instances: record.instances.clone(),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        cleared: record.stage == Stage::Cleared,
    }
}
