//! Handling of peer messages about claims, owners and groups.

use super::ActionEngine;
use super::group::is_member;
use super::owned_action::Phase;
use crate::context::Context;
use crate::resources::Resources;
use rand::Rng;
use thornbridge_proto::Digest;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::action::{ActionMessage, ClaimGroup, ClaimId, OwnerAnswer};

impl ActionEngine {
    /// Handles a message from a peer.
    pub fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        from: PeerEndpoint,
        message: ActionMessage,
    ) {
        self.handle_message(context, resources, from, message);
        self.handle_own_messages(context, resources);
    }

    /// Handles queued messages from this node to itself.
    pub(super) fn handle_own_messages(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
    ) {
        let own = self.outbox.own();
        while let Some(message) = self.outbox.next_to_self() {
            self.handle_message(context, resources, own, message);
        }
    }

    fn handle_message(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        from: PeerEndpoint,
        message: ActionMessage,
    ) {
        match message {
            ActionMessage::Claim { epoch, claim } => {
                let (key, id) = (claim.key, claim.id);
                let verdict = self.member.claim(context.now, epoch, claim);
                let message = ActionMessage::Verdict {
                    epoch,
                    claim: id,
                    key,
                    verdict,
                };
                self.outbox.send(context, from, message);
            }
            ActionMessage::Verdict {
                epoch,
                claim,
                key,
                verdict,
            } => self.handle_verdict(context, resources, from, epoch, (key, claim), verdict),
            ActionMessage::Release { key, claim } => self.member.release(&key, claim),
            ActionMessage::Ended { claim, end } => self.member.record_end(context.now, claim, end),
            ActionMessage::Ask { claim, key } => self.answer_owner_query(context, from, claim, key),
            ActionMessage::Told { claim, key, answer } => {
                self.handle_owner_answer(context, resources, key, claim, answer);
            }
            ActionMessage::Seal { epoch, after } => {
                if let Some(page) = self.member.seal(context.now, from.node, epoch, after) {
                    self.outbox.send(context, from, page);
                }
                self.finish_leaving_if_ready(context.now);
            }
            ActionMessage::Page {
                epoch,
                after,
                records,
                last,
            } => {
                let page = (records, last);
                self.member
                    .handle_page(context, &mut self.outbox, from, epoch, after, page);
            }
            ActionMessage::AskGroup => self.exchange_groups(context, from, None),
            ActionMessage::Group { group } => self.handle_group(context, from, group),
            ActionMessage::Deciding { epoch } => {
                self.decider.record_deciding(from.node, epoch);
                self.member.record_handover(from.node, epoch);
                self.finish_leaving_if_ready(context.now);
            }
        }
    }

    /// Answers a peer's query on the end of a claim of this node.
    fn answer_owner_query(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        claim: ClaimId,
        key: Digest,
    ) {
        let may_be_removed = claim.sequence <= self.highest_removed_claim;
        let answer = if claim.node != self.outbox.own().node {
            OwnerAnswer::Gone
        } else {
            let action = self.owned.get(&key).filter(|action| action.claim == claim);
            match action.map(|action| &action.phase) {
                Some(Phase::Ended { end, .. }) => OwnerAnswer::Ended(end.clone()),
                Some(_) => OwnerAnswer::Running,
                None if may_be_removed => OwnerAnswer::Gone,
                None => OwnerAnswer::NeverRun,
            }
        };
        let message = ActionMessage::Told { claim, key, answer };
        self.outbox.send(context, from, message);
    }

    fn handle_group(&mut self, context: &mut Context<'_>, from: PeerEndpoint, group: ClaimGroup) {
        self.update_group(context, group);
        if let Some(epoch) = self.member.deciding() {
            let message = ActionMessage::Deciding { epoch };
            self.outbox.send(context, from, message);
        }
    }

    /// Takes a group; true if it is newer than the known one. Pending claims are restarted in a
    /// newer group at their next check.
    fn update_group(&mut self, context: &mut Context<'_>, group: ClaimGroup) -> bool {
        let newer = self.member.update_group(context, &mut self.outbox, group);
        self.finish_leaving_if_ready(context.now);
        newer
    }

    /// Takes a peer's group, or sends this node's group back if that one is newer.
    pub(super) fn exchange_groups(
        &mut self,
        context: &mut Context<'_>,
        peer: PeerEndpoint,
        peer_group: Option<ClaimGroup>,
    ) {
        let peer_epoch = peer_group.as_ref().map(|group| group.epoch);
        if let Some(group) = peer_group {
            self.update_group(context, group);
        }
        let newer = self
            .member
            .latest()
            .filter(|latest| peer_epoch.is_none_or(|epoch| epoch < latest.epoch));
        if let Some(group) = newer.cloned() {
            let message = ActionMessage::Group { group };
            self.outbox.send(context, peer, message);
        }
    }

    /// Requests the latest group from a random peer.
    pub(super) fn request_group(&mut self, context: &mut Context<'_>) {
        let Some(view) = &self.view else {
            return;
        };
        let own = self.outbox.own().node;
        let others: Vec<PeerEndpoint> = view
            .members()
            .iter()
            .map(|member| member.endpoint)
            .filter(|endpoint| endpoint.node != own)
            .collect();
        if others.is_empty() {
            return;
        }
        let chosen = others[context.random.random_range(0..others.len())];
        self.outbox.send(context, chosen, ActionMessage::AskGroup);
    }

    /// Sends a decided group to all nodes if this node did not know it.
    pub(super) fn announce_group(&mut self, context: &mut Context<'_>, group: ClaimGroup) {
        if !self.update_group(context, group.clone()) {
            return;
        }
        let Some(view) = self.view.clone() else {
            return;
        };
        let own = self.outbox.own();
        if self.member.deciding() == Some(group.epoch) {
            self.decider.record_deciding(own.node, group.epoch);
        }
        for member in view.members() {
            if member.endpoint.node != own.node {
                let group = group.clone();
                let message = ActionMessage::Group { group };
                self.outbox.send(context, member.endpoint, message);
            }
        }
    }

    /// Checks the group if this node reads the platform, and resends it to members that are not
    /// deciding yet.
    pub(super) fn check_group(&mut self, context: &mut Context<'_>) {
        let Some(view) = self.view.clone() else {
            return;
        };
        let latest = self.member.latest();
        let not_deciding_members = self
            .decider
            .check(context.now, &self.parameters, &view, latest);
        let Some(group) = latest.cloned() else {
            return;
        };
        let known: Vec<PeerEndpoint> = view.members().iter().map(|it| it.endpoint).collect();
        for member in not_deciding_members
            .into_iter()
            .filter(|it| is_member(&known, it.node))
        {
            let group = group.clone();
            let message = ActionMessage::Group { group };
            self.outbox.send(context, member, message);
        }
    }
}
