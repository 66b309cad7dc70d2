//! Actions that may not be repeated: claims on their keys, kept by a quorum group of nodes.
//!
//! The node that takes an action claims its key at the members of the group. With a majority of
//! grants it is the key's owner, and it alone runs the action. See
//! `docs/design/0005-at-most-once-actions.md`.

use super::PeerEndpoint;
use crate::caller::{ConfigurationReference, Refusal};
use crate::{Digest, NodeId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Order of groups; each is decided once, in the platform's store.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupEpoch(pub u64);

/// The nodes that keep claims in one epoch. Object `current` of kind `claim-group` in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// Its place in the order.
    pub epoch: GroupEpoch,
    /// Its members. A majority decides.
    pub members: Vec<PeerEndpoint>,
    /// Members of the epoch before; none for the first. A majority of them hands its claims over
    /// before a member of this group grants anything.
    pub previous: Vec<PeerEndpoint>,
}

/// Identity of one claim; never used twice, not even for the same action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// Run of the node that claims.
    pub node: NodeId,
    /// Count of claims of that node, from 1.
    pub sequence: u64,
}

/// A claim as a member of the group keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identity.
    pub id: ClaimId,
    /// Owner, should the claim win: one run of one process, and where it is reached.
    pub owner: PeerEndpoint,
    /// Digest of service and key.
    pub key: Digest,
    /// Digest of the payload.
    pub payload: Digest,
}

/// How an action ended, as its owner tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ActionEnd {
    /// It ran.
    Done {
        /// What the back end answered.
        outcome: String,
        /// Configuration that it was routed under.
        configuration: ConfigurationReference,
    },
    /// It ran and failed, or it is not known whether it ran. Never sent again.
    Failed {
        /// What every request with the key is told.
        refusal: Refusal,
    },
}

/// A claim handed over to a later group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claim.
    pub claim: Claim,
    /// How it ended, where that is known.
    pub end: Option<ActionEnd>,
    /// Time since it was granted.
    pub age: Duration,
}

/// A member's answer to a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The key is the claim's, as far as this member can say.
    Granted,
    /// Another claim holds the key.
    Held {
        /// The other.
        claim: Claim,
        /// How it ended, where that is known.
        end: Option<ActionEnd>,
    },
    /// The member keeps no more claims for now.
    Full,
    /// The member does not decide in this epoch: not any more, or not yet.
    NotDeciding {
        /// Latest group it knows.
        latest: Option<ClaimGroup>,
    },
}

/// A message about actions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ActionMessage {
    /// To a member: grant this claim.
    Claim {
        /// Epoch that the claim is made in.
        epoch: GroupEpoch,
        /// The claim.
        claim: Claim,
    },
    /// From a member: what it says.
    Verdict {
        /// Epoch that the claim was made in.
        epoch: GroupEpoch,
        /// The claim.
        claim: ClaimId,
        /// Digest of service and key.
        key: Digest,
        /// Answer.
        verdict: ClaimVerdict,
    },
    /// To a member: this claim did not run and never will; forget it.
    Release {
        /// Digest of service and key.
        key: Digest,
        /// The claim.
        claim: ClaimId,
    },
    /// To a member: how a claimed action ended.
    Ended {
        /// The claim.
        claim: Claim,
        /// How.
        end: ActionEnd,
    },
    /// To an owner: how did your claim end?
    Ask {
        /// The claim.
        claim: ClaimId,
        /// Digest of service and key.
        key: Digest,
    },
    /// From an owner, or from a later run of a process at its address.
    Told {
        /// The claim.
        claim: ClaimId,
        /// Digest of service and key.
        key: Digest,
        /// What it knows.
        answer: OwnerAnswer,
    },
    /// To a member of the epoch before: decide no more, and hand over the records that follow.
    Seal {
        /// The epoch that takes over.
        epoch: GroupEpoch,
        /// Records up to this key have arrived; none where absent.
        after: Option<Digest>,
    },
    /// From a sealed member: a page of its claims, in the order of keys.
    Page {
        /// The epoch that takes over.
        epoch: GroupEpoch,
        /// As in the request.
        after: Option<Digest>,
        /// Records.
        records: Vec<ClaimRecord>,
        /// Whether there are no more.
        last: bool,
    },
    /// What is the latest group?
    AskGroup,
    /// The latest group that the sender knows.
    Group {
        /// The group.
        group: ClaimGroup,
    },
    /// From a member, in answer to [`Self::Group`] and to the members of the epoch before: it
    /// decides in this epoch.
    Deciding {
        /// Its epoch.
        epoch: GroupEpoch,
    },
}

/// What an owner says of one of its claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OwnerAnswer {
    /// It is not decided yet, or it runs.
    Running,
    /// It ended.
    Ended(ActionEnd),
    /// It did not run under this claim and never will.
    NeverRun,
    /// The process that claimed is gone, and this is a later one; or it has forgotten its older
    /// claims. It may have run.
    Gone,
}
