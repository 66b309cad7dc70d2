//! Requests that crash the servers that run them, told by what stays the same from try to try.
//!
//! An attempt that ends with a broken connection is a crash that its request may have caused, as long
//! as no server answered the request. From the first on it is sent to one server at a time. After
//! three, by all nodes together, single servers may still get it for a moment, since one answer clears
//! it for good; then no server gets it any more, and its callers are refused at once.
//!
//! Guards against: one request that comes again at any node and takes all servers of an index down,
//! each time anew. One search that came each 0.7 s for 10 s crashed 308 times servers of 40 on eight nodes,
//! and 0.61 of the others were served; with this 21 times, and all were (simulator, seed 1).
//!
//! Others that ran beside it look the same at first. Nearly all are told apart by an answer: a search is
//! not suspected once any shard answered, and a plain request only after three servers in a row.
//!
//! | module | concern |
//! | --- | --- |
//! | `answered` | requests that servers answered lately |
//! | `record` | what is known of one request |
//! | `spreading` | who is told, and when |

mod answered;
mod record;
mod spreading;

use super::action::GatewayAction;
use super::notes::{GatewayChange, ViewOrigin};
use super::parameters::QuarantineParameters;
use crate::time::Timestamp;
use answered::AnsweredLately;
use record::{Audience, Record, Stage};
use spreading::Spreading;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::quarantine::CrashRecord;

/// Instances that are remembered of one request: those of its crashes, its tests, and some that ended
/// before it was known.
const INSTANCES_KEPT: usize = 8;

/// How a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Caution {
    /// As any other.
    None,
    /// To one server at a time.
    OneAtATime,
    /// To none: what is under way may still clear it.
    NoMore,
    /// To none: it is refused.
    Refuse,
}

impl Caution {
    /// Whether another try of it may begin.
    pub(super) fn allows_new_tries(self) -> bool {
        matches!(self, Self::None | Self::OneAtATime)
    }
}

/// All requests under which servers crashed.
#[derive(Debug)]
pub(super) struct Quarantine {
    parameters: QuarantineParameters,
    records: BTreeMap<Fingerprint, Record>,
    answered: AnsweredLately,
    /// When others are to be told of which.
    to_tell: BTreeSet<(Timestamp, Fingerprint)>,
    spreading: Spreading,
    next_sweep: Timestamp,
}

impl Quarantine {
    pub(super) fn new(parameters: QuarantineParameters) -> Self {
        Self {
            parameters,
            records: BTreeMap::new(),
            answered: AnsweredLately::default(),
            to_tell: BTreeSet::new(),
            spreading: Spreading::default(),
            next_sweep: Timestamp::ZERO,
        }
    }

    /// Takes new tunable values.
    pub(super) fn set_parameters(&mut self, parameters: QuarantineParameters) {
        self.parameters = parameters;
        if !self.parameters.enabled {
            self.records.clear();
            self.to_tell.clear();
        }
    }

    /// Requests that are remembered.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// How a request may be sent now.
    pub(super) fn caution(&self, now: Timestamp, fingerprint: Fingerprint) -> Caution {
        let Some(record) = self.records.get(&fingerprint) else {
            return Caution::None;
        };
        match record.stage {
            Stage::Cleared => Caution::None,
            Stage::Suspected => Caution::OneAtATime,
            Stage::Tested { .. } | Stage::Quarantined if self.is_explained(fingerprint, record) => {
                Caution::OneAtATime
            }
            Stage::Quarantined => Caution::Refuse,
            Stage::Tested { since, .. } if now.since(since) >= self.parameters.testing => {
                Caution::Refuse
            }
            Stage::Tested { canaries, .. } if canaries >= self.parameters.canaries => {
                Caution::NoMore
            }
            Stage::Tested { .. } => Caution::OneAtATime,
        }
    }

    /// Whether another request in quarantine had all servers that crashed under this one, and more: then
    /// this one merely ran beside it, and gets one server at a time until one crashes that the other
    /// had not.
    fn is_explained(&self, fingerprint: Fingerprint, record: &Record) -> bool {
        let mut others = self
            .records
            .iter()
            .filter(|(other, _)| **other != fingerprint);
        others.any(|(_, other)| {
            let more = other.instances.len() > record.instances.len();
            let mut own = record.instances.iter();
            let quarantined = other.stage.has_enough_crashes();
            quarantined && more && own.all(|instance| other.instances.contains(instance))
        })
    }

    /// How long a request that is refused will be.
    pub(super) fn lasts(&self, now: Timestamp, fingerprint: Fingerprint) -> Duration {
        let record = self.records.get(&fingerprint);
        let until = record.map_or(now, |record| record.changed + self.parameters.kept);
        until.since(now)
    }

    /// A request is sent to a server.
    pub(super) fn sent(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && let Stage::Tested { canaries, .. } = &mut record.stage
        {
            *canaries += 1;
        }
    }

    /// A server's connection broke while it had a request that no server has answered.
    pub(super) fn crashed(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        instance: &BackEndId,
    ) {
        let needed = self.parameters.crashes;
        let Some(record) = self.suspected(now, now, fingerprint) else {
            return;
        };
        if !record.add(instance, INSTANCES_KEPT) {
            return;
        }
        record.changed = now;
        if record.stage == Stage::Suspected && record.instances.len() >= needed {
            record.stage = Stage::Tested {
                since: now,
                canaries: 0,
            };
        }
        self.schedule_telling(now + self.parameters.telling, fingerprint);
    }

    /// A request is given up. Its caller may come back at another node within milliseconds, so that
    /// others are told at once: a search then crashes the servers of its shards once, not twice (21
    /// instead of 39 in the simulator, seed 1).
    pub(super) fn given_up(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let record = self.records.get(&fingerprint);
        if record.is_some_and(|record| record.told < Audience::All) {
            self.schedule_telling(now, fingerprint);
        }
    }

    /// A server answered a request.
    pub(super) fn answered(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        let lifetime = self.parameters.answered_lifetime;
        self.answered.add(now, fingerprint, lifetime);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if record.stage == Stage::Cleared {
            return;
        }
        record.stage = Stage::Cleared;
        record.changed = now;
        if record.told > Audience::Nobody {
            self.schedule_telling(now, fingerprint);
        }
    }

    /// A peer told what it knows.
    pub(super) fn learnt(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        theirs: &CrashRecord,
    ) {
        let age = Duration::from_millis(u64::from(theirs.age_ms));
        if age >= self.parameters.kept {
            return;
        }
        if theirs.cleared {
            self.learnt_cleared(now, actions, theirs.fingerprint, now - age);
            return;
        }
        let fingerprint = theirs.fingerprint;
        let needed = self.parameters.crashes;
        let Some(record) = self.suspected(now, now - age, fingerprint) else {
            return;
        };
        let before = record.stage.has_enough_crashes();
        for instance in &theirs.instances {
            if record.add(instance, INSTANCES_KEPT) {
                record.changed = record.changed.max(now - age);
            }
        }
        // A test that is under way here goes on: it is bounded, and may clear the request.
        if record.stage == Stage::Suspected && record.instances.len() >= needed {
            record.stage = Stage::Quarantined;
        }
        if before || !record.stage.has_enough_crashes() {
            return;
        }
        if theirs.instances.len() < needed {
            self.schedule_telling(now + self.parameters.telling, fingerprint);
        } else {
            // Whoever decided it told everybody.
            record.told = Audience::All;
            actions.push_back(change(fingerprint, record, ViewOrigin::Peer));
        }
    }

    /// A server of another node answered a request.
    fn learnt_cleared(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        fingerprint: Fingerprint,
        at: Timestamp,
    ) {
        if !self.parameters.enabled {
            return;
        }
        let record = self.record(now, fingerprint);
        let quarantined = record.stage.has_enough_crashes();
        record.stage = Stage::Cleared;
        record.changed = at;
        if quarantined {
            record.told = Audience::All;
            actions.push_back(change(fingerprint, record, ViewOrigin::Peer));
        }
    }

    /// The record of a request under which a server crashed at a time; `None` where an answer about then
    /// refutes that the request caused it.
    fn suspected(
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
        let record = self.record(now, fingerprint);
        if record.stage == Stage::Cleared {
            if crashed_at.since(record.changed) < lifetime {
                return None;
            }
            // What servers hold may have changed since they answered it.
            *record = Record::new(now);
        }
        Some(record)
    }

    /// The record of a request; where there is none, one is made, and another one may have to go.
    fn record(&mut self, now: Timestamp, fingerprint: Fingerprint) -> &mut Record {
        let full = self.records.len() >= self.parameters.records_maximum;
        if full && !self.records.contains_key(&fingerprint) {
            self.forget_one();
        }
        self.records
            .entry(fingerprint)
            .or_insert_with(|| Record::new(now))
    }

    /// Forgets the record that changed longest ago; one that is quarantined only where all are.
    fn forget_one(&mut self) {
        let order = |record: &Record| (record.stage.has_enough_crashes(), record.changed);
        let oldest = self.records.iter().min_by_key(|(_, record)| order(record));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    fn schedule_telling(&mut self, at: Timestamp, fingerprint: Fingerprint) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        let earlier = record.tell_at.filter(|earlier| *earlier <= at);
        if earlier.is_some() {
            return;
        }
        if let Some(later) = record.tell_at.replace(at) {
            self.to_tell.remove(&(later, fingerprint));
        }
        self.to_tell.insert((at, fingerprint));
    }

    /// Forgets what is too old. A request in quarantine may be sent again, to one server.
    fn sweep(&mut self, now: Timestamp) {
        let Self {
            records,
            parameters,
            ..
        } = self;
        records.retain(|_, record| {
            if now.since(record.changed) < parameters.kept {
                return true;
            }
            let quarantined = record.stage.has_enough_crashes();
            if quarantined {
                // One crash more puts it back.
                let known = parameters.crashes.saturating_sub(1);
                let spare = record.instances.len().saturating_sub(known);
                record.instances.drain(..spare);
                record.stage = Stage::Suspected;
                record.told = Audience::Nobody;
                record.changed = now;
            }
            quarantined
        });
    }
}

/// A change of a record, for the log.
fn change(fingerprint: Fingerprint, record: &Record, origin: ViewOrigin) -> GatewayAction {
    GatewayAction::Changed(GatewayChange::Quarantine {
        fingerprint,
        state: record.stage.as_str(),
        instances: record.instances.clone(),
        origin,
    })
}

/// A record as peers are told it.
fn wire(now: Timestamp, fingerprint: Fingerprint, record: &Record) -> CrashRecord {
    let age = now.since(record.changed).as_millis();
    CrashRecord {
        fingerprint,
        instances: record.instances.clone(),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        cleared: record.stage == Stage::Cleared,
    }
}
