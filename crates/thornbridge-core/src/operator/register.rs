//! Reads and writes of the rollout register.

use super::OperatorError;
use super::exchange::{self, NextStep};
use thornbridge_config::objects::{ROLLOUT_NAME, Rollout};
use thornbridge_proto::platform::{ObjectKind, Precondition, ResourceVersion, StoredObject};
use thornbridge_proto::{ChangeId, Generation};

/// Register content with the resource version for a conditional write.
#[derive(Clone, Debug)]
pub(super) struct StoredRegister {
    pub(super) rollout: Rollout,
    pub(super) resource_version: ResourceVersion,
}

impl StoredRegister {
    /// Whether the change activated the generation or wrote the register last.
    pub(super) fn is_by(&self, change: &ChangeId) -> bool {
        self.rollout.current.change == *change || self.rollout.written_by == *change
    }
}

/// Request for the register.
pub(super) fn read() -> NextStep {
    exchange::get(ObjectKind::Rollout, ROLLOUT_NAME)
}

/// Compare-and-swap request for the register.
pub(super) fn write(base: Option<&StoredRegister>, rollout: &Rollout) -> NextStep {
    let precondition = match base {
        Some(stored) => Precondition::Version(stored.resource_version),
        None => Precondition::Absent,
    };
    exchange::put(ObjectKind::Rollout, ROLLOUT_NAME, rollout, precondition)
}

/// Decodes the register; `None` before the first rollout.
pub(super) fn decode(
    object: Option<StoredObject>,
) -> Result<Option<StoredRegister>, OperatorError> {
    let Some(object) = object else {
        return Ok(None);
    };
    Ok(Some(StoredRegister {
        rollout: exchange::decode(&object)?,
        resource_version: object.resource_version,
    }))
}

/// Generation after the one in the register.
pub(super) fn next_generation(base: Option<&StoredRegister>) -> Result<Generation, OperatorError> {
    let last = base.map_or(Generation(0), |stored| stored.rollout.current.generation);
    let next = last.0.checked_add(1);
    next.map(Generation)
        .ok_or(OperatorError::NoGenerationLeft { last })
}
