//! Objects that the system keeps in the platform's store, as JSON.

use crate::bundle::Bundle;
use serde::{Deserialize, Serialize};
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::{ChangeId, Digest, NodeId};

/// Name of the one rollout object.
pub const ROLLOUT_NAME: &str = "current";

/// A published bundle. Kind `bundle`, named by version; created once, never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishedBundle {
    /// The bundle.
    pub bundle: Bundle,
    /// Its digest.
    pub digest: Digest,
    /// Change that created it.
    pub change: ChangeId,
}

/// The rollout register. Kind `rollout`, name [`ROLLOUT_NAME`]; changed by compare-and-swap only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// What is in force.
    pub current: GenerationRecord,
    /// Operator who keeps automation out, where there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<RolloutHold>,
    /// Who put the current generation in force.
    pub origin: RolloutOrigin,
    /// Change that wrote the register last: a rollout, a hold or a release.
    pub written_by: ChangeId,
}

/// Who put a generation in force, and when. For the history only: nothing is decided by it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrigin {
    /// Operator or automation, by name.
    pub author: String,
    /// Whether it was automation.
    #[serde(default)]
    pub automation: bool,
    /// Wall-clock time at the operator's machine, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_unix_ms: Option<u64>,
}

/// One generation's entry in the history. Kind `history`, named by generation; created once.
/// It is a function of the register's content, so that whoever finds it missing can write it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutHistory {
    /// Generation, version, digest, approval and change.
    pub record: GenerationRecord,
    /// Who and when.
    pub origin: RolloutOrigin,
}

impl Rollout {
    /// The history's entry of the generation in force.
    pub fn history(&self) -> RolloutHistory {
        RolloutHistory {
            record: self.current.clone(),
            origin: self.origin.clone(),
        }
    }
}

/// Automation is kept out until released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutHold {
    /// Who holds.
    pub holder: String,
    /// Why.
    pub reason: String,
}

/// A lease in the store. Kind `lease`, named after what it protects.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseObject {
    /// Holder; absent when released.
    pub holder: Option<NodeId>,
    /// Raised by each change of holder: a fencing token.
    pub fencing_token: u64,
    /// How long after a renewal others wait before they take over, in milliseconds.
    pub duration_ms: u64,
    /// Raised by each renewal, so that watchers see it without comparing clocks.
    pub renewal: u64,
    /// Change that wrote it.
    pub change: ChangeId,
}
