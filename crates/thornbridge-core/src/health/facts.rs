//! Facts about one back end, and conflict resolution between changes.
//!
//! Each fact is a last-writer-wins register, ordered by version, then by content or observer. A new
//! observation gets a version above all versions seen for that back end (a Lamport clock), so an
//! observation supersedes those it causally follows, and all nodes converge in whatever order
//! changes arrive. Concurrent observations that conflict are corrected by the next probe.

use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::peer::health::{BackEndKey, HealthChange, HealthFact, HealthRecord};
use thornbridge_proto::{BackEndId, NodeId, SnapshotId};
use xxhash_rust::xxh3::xxh3_64;

/// Kind of a fact; reachability is a separate fact per observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FactKind {
    /// Readiness that the back end reports.
    Readiness,
    /// Snapshots that the back end holds.
    Snapshots,
    /// Reachability as seen by this observer.
    Unreachable(NodeId),
}

/// Kind of the fact that a change sets.
pub fn kind_of(change: &HealthChange) -> FactKind {
    match change.fact {
        HealthFact::Readiness(_) => FactKind::Readiness,
        HealthFact::Snapshots(_) => FactKind::Snapshots,
        HealthFact::Unreachable(_) => FactKind::Unreachable(change.observer),
    }
}

/// Key of a back end: the hash of its id.
pub fn key_of(back_end: &BackEndId) -> BackEndKey {
    BackEndKey(xxh3_64(back_end.as_str().as_bytes()))
}

/// Version and writer of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stamp {
    version: u64,
    observer: NodeId,
}

/// Reachability reported by one observer.
#[derive(Clone, Debug)]
struct Vote {
    stamp: Stamp,
    unreachable: bool,
}

/// Facts about one back end.
#[derive(Clone, Debug)]
pub struct Facts {
    back_end: BackEndId,
    key: BackEndKey,
    readiness: Readiness,
    readiness_stamp: Option<Stamp>,
    snapshots: Vec<SnapshotId>,
    snapshots_stamp: Option<Stamp>,
    votes: Vec<Vote>,
    /// Highest version seen for this back end.
    clock: u64,
}

impl Facts {
    /// Creates the defaults: ready, reachable, snapshots unknown.
    pub fn new(back_end: BackEndId) -> Self {
        Self {
            key: key_of(&back_end),
            back_end,
            readiness: Readiness::Ready,
            readiness_stamp: None,
            snapshots: Vec::new(),
            snapshots_stamp: None,
            votes: Vec::new(),
            clock: 0,
        }
    }

    /// Readiness that the back end last reported.
    pub fn readiness(&self) -> Readiness {
        self.readiness
    }

    /// Snapshots that the back end holds, if known.
    pub fn snapshots(&self) -> Option<&[SnapshotId]> {
        self.snapshots_stamp.map(|_| self.snapshots.as_slice())
    }

    /// Whether this observer reports the back end as unreachable.
    pub fn is_unreachable_from(&self, observer: NodeId) -> bool {
        self.unreachable_from().any(|reporter| reporter == observer)
    }

    /// Observers that report the back end as unreachable.
    pub fn unreachable_from(&self) -> impl Iterator<Item = NodeId> {
        self.votes
            .iter()
            .filter(|vote| vote.unreachable)
            .map(|vote| vote.stamp.observer)
    }

    /// Raises the Lamport clock to a version seen elsewhere.
    pub fn advance_clock(&mut self, version: u64) {
        self.clock = self.clock.max(version);
    }

    /// Records an observation of this node under a version above all versions seen.
    pub fn observe(&mut self, observer: NodeId, fact: HealthFact) -> HealthChange {
        let change = HealthChange {
            back_end: self.key,
            version: self.clock + 1,
            observer,
            fact,
        };
        self.merge(&change);
        change
    }

    /// Merges a change. Returns whether it was newer than the current fact.
    pub fn merge(&mut self, change: &HealthChange) -> bool {
        self.clock = self.clock.max(change.version);
        let stamp = Stamp {
            version: change.version,
            observer: change.observer,
        };
        match &change.fact {
            HealthFact::Readiness(readiness) => self.merge_readiness(stamp, *readiness),
            HealthFact::Snapshots(snapshots) => self.merge_snapshots(stamp, snapshots),
            HealthFact::Unreachable(unreachable) => self.merge_vote(stamp, *unreachable),
        }
    }

    /// All facts that have been set, as changes.
    pub fn changes(&self) -> Vec<HealthChange> {
        let readiness = self
            .readiness_stamp
            .map(|stamp| self.change(stamp, HealthFact::Readiness(self.readiness)));
        let snapshots = self
            .snapshots_stamp
            .map(|stamp| self.change(stamp, HealthFact::Snapshots(self.snapshots.clone())));
        let votes = self
            .votes
            .iter()
            .map(|vote| self.change(vote.stamp, HealthFact::Unreachable(vote.unreachable)));
        readiness
            .into_iter()
            .chain(snapshots)
            .chain(votes)
            .collect()
    }

    /// Drops the votes of observers that `present` rejects.
    pub fn retain_observers(&mut self, present: impl Fn(NodeId) -> bool) {
        self.votes.retain(|vote| present(vote.stamp.observer));
    }

    /// Digest of the facts. Withdrawn votes are left out, since nodes drop them at different times.
    pub fn digest(&self) -> u64 {
        let readiness = self.readiness_stamp.map(|stamp| (0, stamp));
        let snapshots = self.snapshots_stamp.map(|stamp| (1, stamp));
        let votes = self.votes.iter().filter(|vote| vote.unreachable);
        let votes = votes.map(|vote| (2, vote.stamp));
        let all = readiness.into_iter().chain(snapshots).chain(votes);
        all.map(|(kind, stamp)| stamp_digest(self.key, kind, stamp))
            .fold(0, |left, right| left ^ right)
    }

    /// Health record for the other modules of this node.
    pub fn record(&self, observer: NodeId, reachable: bool) -> HealthRecord {
        HealthRecord {
            back_end: self.back_end.clone(),
            reachable,
            readiness: self.readiness,
            snapshots: self.snapshots().map(<[_]>::to_vec),
            observer,
            version: self.clock,
        }
    }

    fn change(&self, stamp: Stamp, fact: HealthFact) -> HealthChange {
        HealthChange {
            back_end: self.key,
            version: stamp.version,
            observer: stamp.observer,
            fact,
        }
    }

    /// At equal versions, leaving wins: sending no work for a while is cheaper than sending work to
    /// a back end that is leaving.
    fn merge_readiness(&mut self, stamp: Stamp, readiness: Readiness) -> bool {
        let rank = |stamp: Stamp, readiness: Readiness| {
            let leaving = readiness == Readiness::Leaving;
            (stamp.version, leaving, stamp.observer)
        };
        let current = self.readiness_stamp;
        let newer =
            current.is_none_or(|current| rank(stamp, readiness) > rank(current, self.readiness));
        if newer {
            self.readiness = readiness;
            self.readiness_stamp = Some(stamp);
        }
        newer
    }

    fn merge_snapshots(&mut self, stamp: Stamp, snapshots: &[SnapshotId]) -> bool {
        let rank = |stamp: Stamp| (stamp.version, stamp.observer);
        let newer = self
            .snapshots_stamp
            .is_none_or(|current| rank(stamp) > rank(current));
        if newer {
            self.snapshots = snapshots.to_vec();
            self.snapshots_stamp = Some(stamp);
        }
        newer
    }

    fn merge_vote(&mut self, stamp: Stamp, unreachable: bool) -> bool {
        let mut votes = self.votes.iter_mut();
        let current = votes.find(|vote| vote.stamp.observer == stamp.observer);
        match current {
            Some(current) if stamp.version <= current.stamp.version => false,
            Some(current) => {
                *current = Vote { stamp, unreachable };
                true
            }
            None => {
                self.votes.push(Vote { stamp, unreachable });
                true
            }
        }
    }
}

fn stamp_digest(key: BackEndKey, kind: u8, stamp: Stamp) -> u64 {
    let mut bytes = [0; 25];
    bytes[..8].copy_from_slice(&key.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&stamp.version.to_le_bytes());
    bytes[16..24].copy_from_slice(&stamp.observer.0.to_le_bytes());
    bytes[24] = kind;
    xxh3_64(&bytes)
}
