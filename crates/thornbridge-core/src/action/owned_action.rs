//! State of an action at the node that received it.

use super::planner::ActionPlan;
use crate::driver_action::CallerId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::{ActionEnd, Claim, ClaimGroup, ClaimId, GroupEpoch};
use thornbridge_proto::{AttemptId, BackEndId, NodeId, RequestId};

/// A caller waiting for an action's end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) caller: CallerId,
    pub(super) request: RequestId,
    pub(super) arrived_at: Timestamp,
    pub(super) deadline: Timestamp,
}

/// The group members' answers to a claim in one epoch.
#[derive(Debug, Default)]
pub(super) struct Votes {
    pub(super) epoch: GroupEpoch,
    pub(super) members: Vec<PeerEndpoint>,
    /// Whether each member that answered granted the claim.
    pub(super) answers: BTreeMap<NodeId, bool>,
    /// Claim that holds the key, as named by a member.
    pub(super) holder: Option<Claim>,
    pub(super) full: bool,
}

/// Phase of an action.
#[derive(Debug)]
pub(super) enum Phase {
    /// Queued by admission control.
    Queued,
    /// Claiming its key at the group.
    Claiming(Votes),
    /// Querying the owner of the claim that holds the key.
    QueryingOwner { holder: Claim, since: Timestamp },
    /// Waiting to claim again, since the claim that held the key will never run.
    Backoff { until: Timestamp },
    /// Owns its key; attempts run one at a time.
    Running {
        attempt: AttemptId,
        tried: Vec<BackEndId>,
        started_at: Timestamp,
    },
    /// Ended; retained for repeated requests and owner queries.
    Ended { end: ActionEnd, ended_at: Timestamp },
}

/// An action at the node that received it.
#[derive(Debug)]
pub(super) struct OwnedAction {
    pub(super) plan: Arc<ActionPlan>,
    /// First request with the key at this node; attempts carry its identifier.
    pub(super) request: RequestId,
    pub(super) claim: ClaimId,
    pub(super) phase: Phase,
    pub(super) waiters: Vec<Waiter>,
    /// Latest time at which an attempt is sent.
    pub(super) deadline: Timestamp,
    pub(super) next_check: Option<Timestamp>,
}

impl OwnedAction {
    /// The claim to send to the group.
    pub(super) fn as_claim(&self, owner: PeerEndpoint) -> Claim {
        Claim {
            id: self.claim,
            owner,
            key: self.plan.key,
            payload: self.plan.payload,
        }
    }

    /// Whether the action counts towards the concurrency limits.
    pub(super) fn is_admitted(&self) -> bool {
        !matches!(self.phase, Phase::Queued | Phase::Ended { .. })
    }

    /// Whether a planned stop waits for the action.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.phase, Phase::Ended { .. })
    }
}

impl Votes {
    pub(super) fn new(group: &ClaimGroup) -> Self {
        Self {
            epoch: group.epoch,
            members: group.members.clone(),
            ..Self::default()
        }
    }

    pub(super) fn granted(&self) -> usize {
        self.answers.values().filter(|granted| **granted).count()
    }

    /// Whether the members that may still grant are less than a majority.
    pub(super) fn is_lost(&self) -> bool {
        let denied = self.answers.len() - self.granted();
        self.members.len() - denied < super::group::majority(self.members.len())
    }

    pub(super) fn is_won(&self) -> bool {
        self.granted() >= super::group::majority(self.members.len())
    }
}
