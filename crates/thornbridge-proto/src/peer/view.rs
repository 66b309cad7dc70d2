//! Replicated views: the route configuration, the registry of server instances and the evacuated
//! zones, each at a revision.
//!
//! One node reads them from the platform's store for all. Nodes compare revisions and pull what they
//! lack, and tell each other how long ago the store confirmed what they have; one that hears of no
//! recent confirmation reads the store itself. A node never replaces a view by an older one; which
//! one is older goes by the era of the store first ([`StoreRevision`]).

use super::packed_registry::PackedRegistry;
use crate::{BackEndId, ServerVersion, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A place in the history of the platform's store: an era, and a revision in it.
///
/// The revision rises with every change of any object. A store that comes back from a copy begins
/// a new era, in which it gives revisions out again; whatever it says then is newer than all that
/// it said before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Era of the store; 0 where it tells none.
    pub era: u64,
    /// Revision in that era.
    pub number: u64,
}

impl StoreRevision {
    /// A revision of a store that tells no era.
    pub const fn without_era(number: u64) -> Self {
        Self { era: 0, number }
    }

    /// The same revision in an era.
    pub const fn in_era(self, era: u64) -> Self {
        Self { era, ..self }
    }
}

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// Takes requests.
    #[serde(rename = "r")]
    Ready,
    /// Will end soon: takes nothing new.
    #[serde(rename = "d")]
    Draining,
    /// Its entry had gone, and came back with a copy of the store: takes nothing unless it stays.
    #[serde(rename = "h")]
    Held,
}

/// One run of a server, as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Identity; a server that starts again may have the one that it had.
    pub id: BackEndId,
    /// When this run of it started, in Unix milliseconds; 0 where it does not say.
    pub born_ms: u64,
    /// Service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Version of its software; empty where it is unknown.
    pub version: ServerVersion,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: InstanceState,
    /// Milliseconds that it stays slow, counted from its start.
    pub cold_milliseconds: u32,
}

/// The revisions that a node has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// Version of the route configuration; 0 where none is known.
    pub configuration: u64,
    /// Revision up to which the registry is known; 0 where it is not.
    pub registry: StoreRevision,
    /// Revision as of which the evacuated zones are known; 0 where they are not.
    pub evacuations: StoreRevision,
}

/// Registry entries that changed after a revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(into = "PackedRegistry", try_from = "PackedRegistry")]
pub struct RegistryDelta {
    /// The receiver must know everything up to here; `None` for the whole registry.
    pub since: Option<StoreRevision>,
    /// Everything is known up to here once the delta is taken.
    pub upto: StoreRevision,
    /// Instances added or changed, with the revision of the change.
    pub present: Vec<(StoreRevision, Instance)>,
    /// Instances that went away, with the revision of that.
    pub departed: Vec<(StoreRevision, BackEndId)>,
}

impl RegistryDelta {
    /// Entries whose addresses other servers have, as nodes found; `None` if there are none.
    ///
    /// The delta spans no change of the store. Nodes that do not know such deltas remove the entries.
    pub fn of_displaced(entries: Vec<(StoreRevision, BackEndId)>) -> Option<Self> {
        let latest = entries.iter().map(|(revision, _)| *revision).max()?;
        Some(Self {
            since: Some(latest),
            upto: latest,
            present: Vec::new(),
            departed: entries,
        })
    }

    /// The entries of a delta of displaced servers; `None` for a delta of changes in the store.
    pub fn as_displaced(&self) -> Option<&[(StoreRevision, BackEndId)]> {
        (self.since == Some(self.upto)).then_some(&self.departed)
    }
}

/// The zones whose servers are to get nothing, all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Revision as of which these are all.
    pub at: StoreRevision,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

/// Messages about views.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewMessage {
    /// What the sender has. Whoever has less answers with [`Self::Pull`]; whoever has more
    /// answers with its own digest.
    #[serde(rename = "d")]
    Digest {
        /// What it has.
        digest: ViewDigest,
        /// Milliseconds since the store confirmed that; the greatest number where it never did.
        age_ms: u32,
    },
    /// The sender has this and wants what is newer.
    #[serde(rename = "p")]
    Pull(ViewDigest),
    /// A whole route configuration, as `rmp-serde` of `thornbridge_config::routes`.
    #[serde(rename = "c")]
    Configuration {
        /// Its version.
        version: u64,
        /// Encoded configuration.
        encoded: Vec<u8>,
    },
    /// Registry entries.
    #[serde(rename = "r")]
    Registry(RegistryDelta),
    /// All evacuated zones.
    #[serde(rename = "e")]
    Evacuations(EvacuatedZones),
}
