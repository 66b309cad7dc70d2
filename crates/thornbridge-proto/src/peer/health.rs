//! Health of back ends, spread as changes only.
//!
//! What is known of a back end is a few facts, each a register of its own: readiness, snapshots
//! held, and for each observer whether it reached the back end. A change sets one register; its
//! version is one more than the highest that its observer had seen on that back end.

use crate::back_end::Readiness;
use crate::{BackEndId, NodeId, SnapshotId};
use serde::{Deserialize, Serialize};

/// What is known of one back end, as the parts of one node tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthRecord {
    /// The back end.
    pub back_end: BackEndId,
    /// Whether it could be reached.
    pub reachable: bool,
    /// What it said of itself.
    pub readiness: Readiness,
    /// Snapshots it holds, newest first; absent where not known.
    pub snapshots: Option<Vec<SnapshotId>>,
    /// Node that saw it.
    pub observer: NodeId,
    /// Order of records on one back end: higher is newer.
    pub version: u64,
}

/// Hash of a back end's id. Half the size of an id in frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BackEndKey(pub u64);

/// One thing known of a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HealthFact {
    /// What it says of itself.
    Readiness(Readiness),
    /// Snapshots that it says it holds, newest first.
    Snapshots(Vec<SnapshotId>),
    /// Whether the change's observer, and nobody else, finds it unreachable.
    Unreachable(bool),
}

/// A fact became another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthChange {
    /// The back end.
    pub back_end: BackEndKey,
    /// Higher is newer.
    pub version: u64,
    /// Who saw it.
    pub observer: NodeId,
    /// What it is now.
    pub fact: HealthFact,
}

/// A fact of a [`HealthBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PackedFact {
    /// See [`HealthFact::Readiness`].
    #[serde(rename = "r")]
    Readiness(Readiness),
    /// See [`HealthFact::Snapshots`]: index into the batch's lists.
    #[serde(rename = "s")]
    Snapshots(u16),
    /// See [`HealthFact::Unreachable`].
    #[serde(rename = "u")]
    Unreachable(bool),
}

/// A change of a [`HealthBatch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedChange {
    /// The back end.
    pub back_end: BackEndKey,
    /// Higher is newer.
    pub version: u64,
    /// Index into the batch's observers.
    pub observer: u16,
    /// What it is now.
    pub fact: PackedFact,
}

/// Many changes, with observers and lists of snapshots written once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthBatch {
    /// Observers of the changes.
    pub observers: Vec<NodeId>,
    /// Lists of snapshots that the changes name.
    pub snapshot_lists: Vec<Vec<SnapshotId>>,
    /// Changes.
    pub changes: Vec<PackedChange>,
}

impl HealthBatch {
    /// Packs changes. Those beyond 65,536 different observers or lists are left out.
    pub fn pack<'a>(changes: impl IntoIterator<Item = &'a HealthChange>) -> Self {
        let mut batch = Self::default();
        for change in changes {
            if let Some(packed) = batch.packed(change) {
                batch.changes.push(packed);
            }
        }
        batch
    }

    /// The changes. One that names an observer or list that is not there is left out.
    pub fn unpack(self) -> Vec<HealthChange> {
        let Self {
            observers,
            snapshot_lists,
            changes,
        } = self;
        let unpacked = changes.into_iter().filter_map(|change| {
            let fact = match change.fact {
                PackedFact::Readiness(readiness) => HealthFact::Readiness(readiness),
                PackedFact::Unreachable(unreachable) => HealthFact::Unreachable(unreachable),
                PackedFact::Snapshots(index) => {
                    HealthFact::Snapshots(snapshot_lists.get(usize::from(index))?.clone())
                }
            };
            Some(HealthChange {
                back_end: change.back_end,
                version: change.version,
                observer: *observers.get(usize::from(change.observer))?,
                fact,
            })
        });
        unpacked.collect()
    }

    fn packed(&mut self, change: &HealthChange) -> Option<PackedChange> {
        let fact = match &change.fact {
            HealthFact::Readiness(readiness) => PackedFact::Readiness(*readiness),
            HealthFact::Unreachable(unreachable) => PackedFact::Unreachable(*unreachable),
            HealthFact::Snapshots(list) => {
                PackedFact::Snapshots(index_of(&mut self.snapshot_lists, list)?)
            }
        };
        Some(PackedChange {
            back_end: change.back_end,
            version: change.version,
            observer: index_of(&mut self.observers, &change.observer)?,
            fact,
        })
    }
}

/// Index of an item, which is added where it is not there yet.
fn index_of<T: Clone + PartialEq>(items: &mut Vec<T>, wanted: &T) -> Option<u16> {
    let known = items.iter().position(|item| item == wanted);
    let index = known.unwrap_or_else(|| {
        items.push(wanted.clone());
        items.len() - 1
    });
    u16::try_from(index).ok()
}

/// Buckets that the facts are divided into for anti-entropy.
pub const HEALTH_BUCKETS: usize = 64;

/// A message about back ends' health. Names are short in frames.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// Changes, each passed on by those to whom it is news.
    #[serde(rename = "c")]
    Changes {
        /// Changes.
        batch: HealthBatch,
    },
    /// A new node asks for all facts.
    #[serde(rename = "r")]
    Request,
    /// Anti-entropy: a digest of all facts of the sender. Not answered where the receiver's is
    /// the same.
    #[serde(rename = "d")]
    Digest {
        /// Digest.
        digest: u64,
    },
    /// The receiver's digest is another than the sender's; these are the sender's, by bucket.
    #[serde(rename = "b")]
    BucketDigests {
        /// One for each of [`HEALTH_BUCKETS`].
        digests: Vec<u64>,
    },
    /// What the sender knows in buckets that differ.
    #[serde(rename = "k")]
    Buckets {
        /// Which buckets.
        buckets: Vec<u8>,
        /// All of the sender's facts in them.
        batch: HealthBatch,
    },
    /// The first of all facts that a new node asked for, those that take back ends out of use
    /// ahead of the others. [`HealthMessage::Facts`] with the rest follow.
    #[serde(rename = "a")]
    FirstFacts {
        /// Facts.
        batch: HealthBatch,
    },
    /// Facts that the receiver lacks. Not passed on.
    #[serde(rename = "f")]
    Facts {
        /// Facts.
        batch: HealthBatch,
    },
}
