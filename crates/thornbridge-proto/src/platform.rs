//! The platform's object API: versions, compare-and-swap, watches. HTTP with JSON.
//!
//! `GET|PUT|DELETE /objects/{kind}/{name}`, `GET /objects/{kind}` (list),
//! `GET /objects/{kind}?watch=1&from=VERSION` (a stream of JSON lines), and
//! `GET /machines` (the lagging list of machines that are live or leaving).

use crate::ZoneName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of an object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectKind {
    /// A published bundle, named by version. Immutable.
    Bundle,
    /// A signed approval, named by version.
    Approval,
    /// The rollout register: one object, `current`.
    Rollout,
    /// History of rollouts, named by generation. Immutable.
    History,
    /// A lease, named after what it protects.
    Lease,
    /// The group that keeps claims on actions' keys: one object, `current`.
    ClaimGroup,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [ObjectKind; 6] = [
        Self::Bundle,
        Self::Approval,
        Self::Rollout,
        Self::History,
        Self::Lease,
        Self::ClaimGroup,
    ];

    /// Path segment of the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bundle => "bundle",
            Self::Approval => "approval",
            Self::Rollout => "rollout",
            Self::History => "history",
            Self::Lease => "lease",
            Self::ClaimGroup => "claim-group",
        }
    }

    /// Kind of a path segment.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// Position in the store's history of changes; one sequence for all objects.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ResourceVersion(pub u64);

/// One object as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Kind.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: String,
    /// Version of the last change.
    pub resource_version: ResourceVersion,
    /// JSON text of the object.
    pub body: String,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Precondition {
    /// No object of this name exists.
    Absent,
    /// The object still has this version.
    Version(ResourceVersion),
}

/// One request to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformRequest {
    /// Read one object.
    Get {
        /// Kind.
        kind: ObjectKind,
        /// Name.
        name: String,
    },
    /// Read all objects of a kind, and the version they are read at.
    List {
        /// Kind.
        kind: ObjectKind,
    },
    /// Compare-and-swap.
    Put {
        /// Kind.
        kind: ObjectKind,
        /// Name.
        name: String,
        /// JSON text.
        body: String,
        /// Condition.
        precondition: Precondition,
    },
    /// Read the list of machines.
    ListMachines,
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformResponse {
    /// The object; absent where there is none.
    Object(Option<StoredObject>),
    /// All objects of the kind.
    Objects {
        /// Objects, by name.
        objects: Vec<StoredObject>,
        /// Version of the read; a watch from here misses nothing.
        version: ResourceVersion,
    },
    /// The write took effect.
    Written {
        /// The object's new version.
        version: ResourceVersion,
    },
    /// The list of machines.
    Machines(Vec<Machine>),
}

/// Why the store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformFailure {
    /// The precondition does not hold; nothing changed.
    Conflict {
        /// The object as it stands, where the store shows it.
        current: Option<StoredObject>,
    },
    /// More readers than the store bears; nothing changed.
    TooManyReaders,
    /// The store refused the request; nothing changed.
    Refused {
        /// Its words.
        detail: String,
    },
    /// The request never left; nothing changed.
    Unreachable,
    /// No answer: the write may have taken effect.
    NoAnswer,
}

/// One change seen by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchChange {
    /// The object after the change; a deletion has an empty body.
    pub object: StoredObject,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Why a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchEnd {
    /// Connection lost or store down.
    Lost,
    /// The version asked for is no longer in the store's history: list again.
    Compacted,
    /// More readers than the store bears.
    TooManyReaders,
}

/// A machine as the platform's list shows it, possibly minutes late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Peer address of the node on it.
    pub peer_address: SocketAddr,
    /// Zone.
    pub zone: ZoneName,
    /// Whether the machine is leaving.
    pub leaving: bool,
}
