//! Steps of roll-outs for logs and metrics.

use std::time::Duration;
use thornbridge_proto::peer::rollout::{Outcomes, RolloutState};
use thornbridge_proto::peer::view::StoreRevision;
use thornbridge_proto::{ServerVersion, ServiceName};

/// Step of a roll-out, with what is known of it at this node.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutChange {
    /// Service.
    pub service: ServiceName,
    /// Version on trial.
    pub target: ServerVersion,
    /// Step.
    pub step: RolloutStep,
    /// State, decided or written; `None` if there is none.
    pub state: Option<RolloutState>,
    /// Why it was decided; empty for other steps.
    pub reason: &'static str,
    /// Route that decided; empty for all together.
    pub route: String,
    /// Outcomes at the version on trial, as far as this node conducts.
    pub trial: Outcomes,
    /// Outcomes at the version that serves, as far as this node conducts.
    pub stable: Outcomes,
    /// Outcomes of companions at the version on trial, as far as this node conducts.
    pub companions: Outcomes,
    /// Time since the order.
    pub elapsed: Duration,
    /// Revision of the order's object.
    pub revision: StoreRevision,
}

/// Step of a roll-out at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutStep {
    /// The order became known.
    Ordered,
    /// This node conducts the roll-out.
    Conducting,
    /// This node wrote that the version is on trial.
    ServingWritten,
    /// This node decided.
    Decided,
    /// The decision of another node became known.
    Learnt,
    /// This node wrote the final state.
    Written,
    /// The store holds a final state.
    Adopted,
    /// This node cannot write and leaves the roll-out to others.
    HandedOver,
    /// The order was withdrawn or replaced.
    Withdrawn,
}

impl RolloutStep {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "rollout_ordered",
            Self::Conducting => "rollout_conducting",
            Self::ServingWritten => "rollout_serving_written",
            Self::Decided => "rollout_decided",
            Self::Learnt => "rollout_learnt",
            Self::Written => "rollout_written",
            Self::Adopted => "rollout_adopted",
            Self::HandedOver => "rollout_handed_over",
            Self::Withdrawn => "rollout_withdrawn",
        }
    }
}
