//! A member of the claim group: grants claims, and hands them over to the next group.
//!
//! A member grants claims only in an epoch in which it is *deciding*. It starts deciding once a
//! majority of the previous epoch's group has handed its claims over, and stops when it learns of a
//! later epoch. A claim that won a majority in one epoch is therefore known to every member that
//! decides in the next.

use super::claim_table::ClaimTable;
use super::group::{is_member, majority};
use super::outbox::Outbox;
use super::parameters::ActionParameters;
use crate::context::Context;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::{
    ActionEnd, ActionMessage, Claim, ClaimGroup, ClaimId, ClaimRecord, ClaimVerdict, GroupEpoch,
};
use thornbridge_proto::{Digest, NodeId};

/// Progress of the handover from one member of the previous epoch.
#[derive(Clone, Copy, Debug, Default)]
struct Handover {
    after: Option<Digest>,
    complete: bool,
}

/// Handover from the previous epoch.
#[derive(Debug)]
struct Joining {
    previous: Vec<PeerEndpoint>,
    handovers: BTreeMap<NodeId, Handover>,
    retry_at: Timestamp,
}

/// State of a node as a member of claim groups.
#[derive(Debug)]
pub(super) struct GroupMember {
    latest: Option<ClaimGroup>,
    table: ClaimTable,
    /// Epoch in which this node grants claims.
    deciding: Option<GroupEpoch>,
    /// Last epoch in which this node granted claims. Its table has every claim won before that
    /// epoch.
    last_deciding: Option<GroupEpoch>,
    joining: Option<Joining>,
    /// Members of `handover_epoch` that need no more records from this node.
    handed_over_to: BTreeSet<NodeId>,
    handover_epoch: GroupEpoch,
    page_records: usize,
    resend_interval: std::time::Duration,
    pub(super) grants: u64,
    /// Epochs in which this node started deciding.
    pub(super) groups_joined: u64,
}

impl GroupMember {
    pub(super) fn new(parameters: &ActionParameters) -> Self {
        Self {
            latest: None,
            table: ClaimTable::new(parameters),
            deciding: None,
            last_deciding: None,
            joining: None,
            handed_over_to: BTreeSet::new(),
            handover_epoch: GroupEpoch(0),
            page_records: parameters.page_records,
            resend_interval: parameters.resend_interval,
            grants: 0,
            groups_joined: 0,
        }
    }

    pub(super) fn latest(&self) -> Option<&ClaimGroup> {
        self.latest.as_ref()
    }

    /// Epoch in which this node grants claims.
    pub(super) fn deciding(&self) -> Option<GroupEpoch> {
        self.deciding
    }

    /// Whether this node may stop without losing claims: it is in no group, or a majority of its
    /// group's successor has received its claims.
    pub(super) fn has_handed_over(&self, own: NodeId) -> bool {
        let (Some(latest), Some(last)) = (&self.latest, self.last_deciding) else {
            return true;
        };
        let is_needed = is_member(&latest.previous, own) && last.0 + 1 == latest.epoch.0;
        let enough = self.handover_epoch == latest.epoch
            && self.handed_over_to.len() >= majority(latest.members.len());
        !is_member(&latest.members, own) && (enough || !is_needed)
    }

    /// Records that a member of a later epoch needs no more records from this node.
    pub(super) fn record_handover(&mut self, member: NodeId, epoch: GroupEpoch) {
        if epoch > self.handover_epoch {
            self.handover_epoch = epoch;
            self.handed_over_to.clear();
        }
        if epoch == self.handover_epoch {
            self.handed_over_to.insert(member);
        }
    }

    pub(super) fn claim_count(&self) -> usize {
        self.table.len()
    }

    /// Takes a group; true if it is newer than the latest known one.
    pub(super) fn update_group(
        &mut self,
        context: &mut Context<'_>,
        outbox: &mut Outbox,
        group: ClaimGroup,
    ) -> bool {
        let known = self.latest.as_ref().map(|latest| latest.epoch);
        if known.is_some_and(|known| known >= group.epoch) {
            return false;
        }
        self.deciding = None;
        self.joining = None;
        if is_member(&group.members, outbox.own().node) {
            self.joining = Some(Joining {
                previous: group.previous.clone(),
                handovers: BTreeMap::new(),
                retry_at: context.now,
            });
        }
        self.latest = Some(group);
        self.decide_if_handed_over(context, outbox);
        self.request_handovers(context, outbox);
        true
    }

    /// Grants or denies a claim.
    pub(super) fn claim(
        &mut self,
        now: Timestamp,
        epoch: GroupEpoch,
        claim: Claim,
    ) -> ClaimVerdict {
        if self.deciding != Some(epoch) {
            let latest = self.latest.clone();
            return ClaimVerdict::NotDeciding { latest };
        }
        let verdict = self.table.claim(now, claim);
        if verdict == ClaimVerdict::Granted {
            self.grants += 1;
        }
        verdict
    }

    /// Removes a claim that did not run and never will.
    pub(super) fn release(&mut self, key: &Digest, claim: ClaimId) {
        self.table.release(key, claim);
    }

    /// Records the end of a claim.
    pub(super) fn record_end(&mut self, now: Timestamp, claim: Claim, end: ActionEnd) {
        if self.last_deciding.is_some() || self.joining.is_some() {
            self.table.record_end(now, claim, end);
        }
    }

    /// Stops deciding in epochs before `epoch`, and returns a page of claims for its member. `None`
    /// if this node did not decide in the previous epoch, since its table may then lack claims.
    pub(super) fn seal(
        &mut self,
        now: Timestamp,
        from: NodeId,
        epoch: GroupEpoch,
        after: Option<Digest>,
    ) -> Option<ActionMessage> {
        let before = GroupEpoch(epoch.0.saturating_sub(1));
        if self.deciding.is_some_and(|deciding| deciding < epoch) {
            self.deciding = None;
        }
        if self.last_deciding.is_none_or(|last| last < before) {
            return None;
        }
        let page = self.table.page(now, after, self.page_records);
        if page.last {
            self.record_handover(from, epoch);
        }
        Some(ActionMessage::Page {
            epoch,
            after,
            records: page.records,
            last: page.last,
        })
    }

    /// Merges a page from a member of the previous epoch.
    pub(super) fn handle_page(
        &mut self,
        context: &mut Context<'_>,
        outbox: &mut Outbox,
        from: PeerEndpoint,
        epoch: GroupEpoch,
        after: Option<Digest>,
        page: (Vec<ClaimRecord>, bool),
    ) {
        let is_latest = self
            .latest
            .as_ref()
            .is_some_and(|group| group.epoch == epoch);
        let Some(joining) = self.joining.as_mut().filter(|_| is_latest) else {
            return;
        };
        if !is_member(&joining.previous, from.node) {
            return;
        }
        let handover = joining.handovers.entry(from.node).or_default();
        if handover.complete || handover.after != after {
            return;
        }
        let (records, last) = page;
        handover.after = records.last().map(|record| record.claim.key).or(after);
        handover.complete = last;
        let next = handover.after;
        for record in records {
            self.table.merge_record(context.now, record);
        }
        if !last {
            let message = ActionMessage::Seal { epoch, after: next };
            outbox.send(context, from, message);
        }
        self.decide_if_handed_over(context, outbox);
    }

    /// Starts deciding once a majority has handed over, and notifies the members that hand over,
    /// which may be waiting to leave.
    fn decide_if_handed_over(&mut self, context: &mut Context<'_>, outbox: &mut Outbox) {
        let (Some(joining), Some(latest)) = (&self.joining, &self.latest) else {
            return;
        };
        let complete = joining.handovers.values().filter(|it| it.complete).count();
        if joining.previous.is_empty() || complete >= majority(joining.previous.len()) {
            let epoch = latest.epoch;
            for member in &joining.previous {
                outbox.send(context, *member, ActionMessage::Deciding { epoch });
            }
            self.deciding = Some(epoch);
            self.last_deciding = self.deciding;
            self.joining = None;
            self.groups_joined += 1;
        }
    }

    /// Requests the next page from the members of the previous epoch whose handover is incomplete.
    fn request_handovers(&mut self, context: &mut Context<'_>, outbox: &mut Outbox) {
        let (Some(joining), Some(latest)) = (&mut self.joining, &self.latest) else {
            return;
        };
        joining.retry_at = context.now + self.resend_interval;
        for member in &joining.previous {
            let handover = joining.handovers.get(&member.node);
            let handover = handover.copied().unwrap_or_default();
            if !handover.complete {
                let message = ActionMessage::Seal {
                    epoch: latest.epoch,
                    after: handover.after,
                };
                outbox.send(context, *member, message);
            }
        }
    }

    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.joining.as_ref().map(|joining| joining.retry_at)
    }

    pub(super) fn timer_due(&mut self, context: &mut Context<'_>, outbox: &mut Outbox) {
        if self.next_timeout().is_some_and(|due| due <= context.now) {
            self.request_handovers(context, outbox);
        }
    }
}
