//! Parameters and counters of actions.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of actions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ActionParameters {
    /// Maximum members of a claim group. Five members tolerate the loss of two.
    pub group_members: usize,
    /// How long a member retains a claim, unless its table is full. A request repeated later runs
    /// again. People and daily jobs repeat within a day.
    pub retention: Duration,
    /// Minimum time that a member retains a claim. A full member evicts ended claims older than
    /// this, and otherwise grants nothing: running twice is worse than a refusal. A person who waits
    /// for an answer gives up and asks again well within it.
    pub least_retention: Duration,
    /// How long an owner retains an ended action, so that the group can record its end. An owner never
    /// reports an action as not run because it forgot the action.
    pub owner_retention: Duration,
    /// Maximum claims in the table of a member, and maximum actions at a node. The default allows 55
    /// new keys a second for the cluster at the least retention, in some 60 MB.
    pub maximum_claims: usize,
    /// Maximum outcome size that is replicated to the group; only the owner retains a longer
    /// outcome.
    pub maximum_outcome_bytes: usize,
    /// Interval between resends of an unanswered message; several round trips between regions.
    pub resend_interval: Duration,
    /// Interval between checks of the group at a node that reads the platform.
    pub group_check_interval: Duration,
    /// Interval between checks of the group while a change is in progress; a few round trips.
    pub group_change_interval: Duration,
    /// How long a member must be unavailable before it is replaced, so that a suspicion that is
    /// soon refuted changes no group.
    pub replacement_delay: Duration,
    /// How long a majority of a group must be unavailable before a successor is created without its
    /// claims. Applies only if an operator deleted the group in the store.
    pub lost_group_patience: Duration,
    /// How long an owner missing from the member list is queried before the outcome counts as
    /// unknown. Allows for a node that has just joined.
    pub unknown_owner_patience: Duration,
    /// How long after its deadline an attempt may still end before its outcome counts as unknown.
    pub attempt_grace: Duration,
    /// Maximum time that a leaving member waits for its replacement.
    pub handover_patience: Duration,
    /// How long a leaving member waits if the remaining members are a majority, to learn whether
    /// others leave as well.
    pub leaving_notice: Duration,
    /// Entries in one page of a handover, which must fit into a frame: 2,000 take some 600 KiB.
    pub page_records: usize,
}

impl Default for ActionParameters {
    fn default() -> Self {
        Self {
            group_members: 5,
            retention: Duration::from_secs(24 * 60 * 60),
            least_retention: Duration::from_secs(60 * 60),
            owner_retention: Duration::from_secs(60),
            maximum_claims: 200_000,
            maximum_outcome_bytes: 1_024,
            resend_interval: Duration::from_millis(50),
            group_check_interval: Duration::from_secs(1),
            group_change_interval: Duration::from_millis(100),
            replacement_delay: Duration::from_secs(2),
            lost_group_patience: Duration::from_secs(10),
            unknown_owner_patience: Duration::from_millis(500),
            attempt_grace: Duration::from_secs(1),
            handover_patience: Duration::from_secs(5),
            leaving_notice: Duration::from_millis(300),
            page_records: 2_000,
        }
    }
}

/// Counters of actions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActionCounters {
    /// Actions received from callers.
    pub received: u64,
    /// Actions answered with the outcome of their own run.
    pub answered: u64,
    /// Actions answered with the outcome recorded under their key.
    pub replayed: u64,
    /// Actions refused or failed.
    pub refused: u64,
    /// Actions refused or failed with an unknown outcome.
    pub outcome_unknown: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts sent after one that certainly did not run.
    pub resent: u64,
    /// Claims won.
    pub claims_won: u64,
    /// Claims lost to another request with the same key.
    pub claims_lost: u64,
    /// Claims granted as a member of the group.
    pub grants: u64,
    /// Claims currently stored as a member of the group.
    pub claims_kept: u64,
    /// Groups in which this node started deciding.
    pub groups_joined: u64,
    /// Groups written to the platform by this node.
    pub groups_decided: u64,
}
