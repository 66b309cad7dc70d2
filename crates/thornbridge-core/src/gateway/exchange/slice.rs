//! Slices of a gather and their delegations, as tracked by the coordinator.

use super::Context;
use crate::gateway::action::GatewayAction;
use crate::gateway::slices::Plan;
use crate::gateway::telemetry::{SliceOutcome, SliceSummary};
use crate::time::Timestamp;
use bytes::Bytes;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage};

/// Maximum number of owners to which one slice is delegated.
pub(super) const MAX_DELEGATIONS: usize = 2;

/// Delegation of a slice to one owner, and its reports.
#[derive(Clone, Debug)]
pub(super) struct Delegation {
    pub(super) owner: SocketAddr,
    pub(super) id: SliceId,
    pub(super) sent_at: Timestamp,
    pub(super) outcome: SliceOutcome,
    /// Indices of the shards reported as answered, with their signatures.
    pub(super) answered: Vec<(usize, Bytes)>,
    /// Merged records of the answered shards, one entry per report.
    pub(super) records: Vec<Bytes>,
}

impl Delegation {
    pub(super) fn new(owner: SocketAddr, id: SliceId, sent_at: Timestamp) -> Self {
        Self {
            owner,
            id,
            sent_at,
            outcome: SliceOutcome::Pending,
            answered: Vec::new(),
            records: Vec::new(),
        }
    }

    /// Whether the owner may still send a report.
    pub(super) fn may_report(&self) -> bool {
        match self.outcome {
            SliceOutcome::Pending | SliceOutcome::Silent | SliceOutcome::Partial => true,
            SliceOutcome::Finished
            | SliceOutcome::Refused
            | SliceOutcome::Unsent
            | SliceOutcome::Lost => false,
        }
    }
}

/// A slice of a gather.
#[derive(Debug)]
pub(super) struct Slice {
    pub(super) plan: Arc<Plan>,
    pub(super) group: usize,
    pub(super) delegations: Vec<Delegation>,
    /// Delegation whose reports are used. Reported records cannot be attributed to shards, so
    /// reports of two owners are never combined.
    pub(super) source: Option<SliceId>,
    /// When an owner that has not reported counts as silent.
    pub(super) silent_at: Option<Timestamp>,
    /// Attempts granted per shard to all nodes together; bounded by the route's limit. Holds since no
    /// node makes an attempt that it was not granted.
    pub(super) granted_attempts: u32,
}

impl Slice {
    pub(super) fn new(plan: Arc<Plan>, group: usize) -> Self {
        Self {
            plan,
            group,
            delegations: Vec::new(),
            source: None,
            silent_at: None,
            granted_attempts: 0,
        }
    }

    /// Indices of the slice's shards in the gather.
    pub(super) fn shards(&self) -> Range<usize> {
        self.plan.groups[self.group].shards.clone()
    }

    /// Number of owners that the slice's tasks were sent to.
    pub(super) fn sent_delegations(&self) -> usize {
        let sent = self.delegations.iter();
        sent.filter(|delegation| delegation.outcome != SliceOutcome::Unsent)
            .count()
    }

    /// Owners to which the slice was delegated.
    pub(super) fn owners(&self) -> Vec<SocketAddr> {
        self.delegations
            .iter()
            .map(|delegation| delegation.owner)
            .collect()
    }

    /// Delegations whose owner may still report.
    pub(super) fn open_delegations(&self) -> impl Iterator<Item = &Delegation> {
        self.delegations
            .iter()
            .filter(|delegation| delegation.may_report())
    }

    /// Whether the slice was delegated to this owner under this id.
    pub(super) fn is_delegated_to(&self, owner: SocketAddr, id: SliceId) -> bool {
        let mut delegations = self.delegations.iter();
        delegations.any(|delegation| delegation.id == id && delegation.owner == owner)
    }

    /// Whether an owner that is not silent has yet to send its first report.
    pub(super) fn awaits_first_report(&self) -> bool {
        let mut delegations = self.delegations.iter();
        delegations.any(|delegation| delegation.outcome == SliceOutcome::Pending)
    }

    /// Whether an owner that is not silent may still report.
    pub(super) fn has_responsive_owner(&self) -> bool {
        let mut delegations = self.open_delegations();
        delegations.any(|delegation| delegation.outcome != SliceOutcome::Silent)
    }

    /// Whether any owner is silent.
    pub(super) fn has_silent_owner(&self) -> bool {
        let mut delegations = self.delegations.iter();
        delegations.any(|delegation| delegation.outcome == SliceOutcome::Silent)
    }

    pub(super) fn delegation_mut(&mut self, id: SliceId) -> Option<&mut Delegation> {
        self.delegations
            .iter_mut()
            .find(|delegation| delegation.id == id)
    }

    /// Delegation whose reports are used.
    pub(super) fn source(&self) -> Option<&Delegation> {
        let id = self.source?;
        self.delegations
            .iter()
            .find(|delegation| delegation.id == id)
    }

    /// Records of the source's reports.
    pub(super) fn records(&self) -> &[Bytes] {
        self.source().map_or(&[], |delegation| &delegation.records)
    }

    pub(super) fn set_outcome(&mut self, id: SliceId, outcome: SliceOutcome) {
        if let Some(delegation) = self.delegation_mut(id) {
            delegation.outcome = outcome;
        }
    }

    /// Delegations, for the log.
    pub(super) fn summaries(&self, arrived: Timestamp) -> impl Iterator<Item = SliceSummary> {
        let delegations = self.delegations.iter();
        delegations.map(move |delegation| SliceSummary {
            owner: delegation.owner,
            requested_after: delegation.sent_at.since(arrived),
            outcome: delegation.outcome,
        })
    }
}

/// Sends a slice message to the coordinator or an owner.
pub(super) fn send_message(context: &mut Context<'_>, to: SocketAddr, message: SliceMessage) {
    let message = PeerMessage::Slice(message);
    context
        .actions
        .push_back(GatewayAction::SendPeer { to, message });
}
