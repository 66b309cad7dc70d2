//! What news of a member changes here, and what is passed on.

use super::probe::ProbeReason;
use super::table::order;
use super::{Membership, send};
use crate::context::Context;
use crate::driver_action::{Action, StateChange};
use crate::gossip;
use crate::time::Timestamp;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::membership::{
    MemberBatch, MemberRecord, MemberState, MemberUpdate, MembershipMessage,
};
use thornbridge_proto::{Incarnation, NodeId, frame};

impl Membership {
    /// Takes updates that came with a message, and passes on those that are news.
    pub(super) fn take_updates(&mut self, context: &mut Context<'_>, updates: Vec<MemberUpdate>) {
        for update in updates {
            match update {
                MemberUpdate::Record(record) => self.take_record(context, record, true),
                MemberUpdate::State {
                    node,
                    incarnation,
                    state,
                } => self.take_state(context, node, incarnation, state),
                MemberUpdate::Suspicion {
                    node,
                    incarnation,
                    suspected_by,
                } => self.suspect(context, node, incarnation, suspected_by),
            }
        }
    }

    /// Takes a member list. Its members are not passed on: the sender has told others.
    pub(super) fn take_list(&mut self, context: &mut Context<'_>, batch: MemberBatch) {
        self.joining.joined(&self.parameters, context.now);
        self.take_batch(context, batch.unpack());
        self.sync.hasten(context.now, context.random);
    }

    /// Takes records, and passes on none.
    pub(super) fn take_batch(
        &mut self,
        context: &mut Context<'_>,
        records: impl IntoIterator<Item = MemberRecord>,
    ) {
        for record in records {
            self.take_record(context, record, false);
        }
    }

    /// Takes a member's record from itself. Another run at the same address is over.
    pub(super) fn take_introduction(&mut self, context: &mut Context<'_>, member: MemberRecord) {
        let PeerEndpoint { node, address } = member.endpoint;
        let replaced: Vec<(NodeId, Incarnation)> = self
            .table
            .present()
            .filter(|record| record.endpoint.address == address && record.endpoint.node != node)
            .map(|record| (record.endpoint.node, record.incarnation))
            .collect();
        for (node, incarnation) in replaced {
            self.declare_dead(context, node, incarnation);
        }
        self.take_record(context, member, true);
    }

    fn take_record(&mut self, context: &mut Context<'_>, record: MemberRecord, pass_on: bool) {
        let node = record.endpoint.node;
        let known = self.table.get(node).is_some() || node == self.own.endpoint.node;
        if known {
            self.take_state(context, node, record.incarnation, record.state);
            return;
        }
        if record.state == MemberState::Dead {
            return;
        }
        self.log_change(context, &record);
        if pass_on {
            self.enqueue(MemberUpdate::Record(record.clone()));
        }
        self.insert(context, record);
    }

    fn insert(&mut self, context: &mut Context<'_>, mut record: MemberRecord) {
        let suspected = record.state == MemberState::Suspect;
        let (node, incarnation) = (record.endpoint.node, record.incarnation);
        if suspected {
            record.state = MemberState::Alive;
        }
        self.table.insert(context.now, record);
        self.view_changed = true;
        self.members_changed = true;
        if suspected {
            self.suspect(context, node, incarnation, node);
        }
    }

    pub(super) fn take_state(
        &mut self,
        context: &mut Context<'_>,
        node: NodeId,
        incarnation: Incarnation,
        state: MemberState,
    ) {
        if node == self.own.endpoint.node {
            self.refute(incarnation, state);
            return;
        }
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let held = &entry.record;
        if order(incarnation, state) <= order(held.incarnation, held.state) {
            return;
        }
        match (held.state, state) {
            // This node has not seen it fail, so it looks for itself: after a network split
            // the other side's verdicts on this side must not empty this side's member list.
            (MemberState::Alive, MemberState::Dead) => {
                self.probes
                    .add_urgent(node, ProbeReason::DeadClaimed(incarnation));
            }
            (_, MemberState::Suspect) => self.suspect(context, node, incarnation, node),
            _ => self.advance(context, node, incarnation, state),
        }
    }

    /// Sets a member's state, if that is newer, and passes it on.
    fn advance(
        &mut self,
        context: &mut Context<'_>,
        node: NodeId,
        incarnation: Incarnation,
        state: MemberState,
    ) {
        let Some(before) = self.table.advance(context.now, node, incarnation, state) else {
            return;
        };
        if state != MemberState::Suspect {
            self.suspicions.clear(node);
            self.enqueue(MemberUpdate::State {
                node,
                incarnation,
                state,
            });
        }
        self.view_changed = true;
        let gone = MemberState::Dead;
        if (before == gone) != (state == gone) {
            self.members_changed = true;
        }
        if before == gone {
            self.counters.revived += 1;
        }
        if before != state
            && let Some(entry) = self.table.get(node)
        {
            self.log_change(context, &entry.record);
        }
    }

    /// Holds a member suspect, on this node's own probe or on another's word.
    pub(super) fn suspect(
        &mut self,
        context: &mut Context<'_>,
        node: NodeId,
        incarnation: Incarnation,
        suspected_by: NodeId,
    ) {
        if node == self.own.endpoint.node {
            self.refute(incarnation, MemberState::Suspect);
            return;
        }
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let held = order(entry.record.incarnation, entry.record.state);
        if order(incarnation, MemberState::Suspect) < held {
            return;
        }
        let members = self.counters.members as usize;
        let news = self.suspicions.suspect(
            &self.parameters,
            context.now,
            members,
            (node, incarnation),
            suspected_by,
        );
        self.advance(context, node, incarnation, MemberState::Suspect);
        if news {
            self.enqueue(MemberUpdate::Suspicion {
                node,
                incarnation,
                suspected_by,
            });
            if self.neighbours.targets.contains(&node) {
                self.probes.add_urgent(node, ProbeReason::Regular);
            }
        }
    }

    /// Declares dead the suspects whose time is over.
    pub(super) fn suspicions_due(&mut self, context: &mut Context<'_>) {
        for node in self.suspicions.expired(context.now) {
            if let Some(entry) = self.table.get(node) {
                let incarnation = entry.record.incarnation;
                self.declare_dead(context, node, incarnation);
            }
        }
    }

    /// Declares a member dead on this node's own judgement.
    pub(super) fn declare_dead(
        &mut self,
        context: &mut Context<'_>,
        node: NodeId,
        incarnation: Incarnation,
    ) {
        self.counters.declared_dead += 1;
        self.advance(context, node, incarnation, MemberState::Dead);
    }

    /// Answers news of this node's own failure with a higher incarnation.
    fn refute(&mut self, incarnation: Incarnation, state: MemberState) {
        let own = order(self.own.incarnation, self.own.state);
        if order(incarnation, state) <= own {
            return;
        }
        self.counters.refutations += 1;
        self.local_health.worsen(1);
        self.own.incarnation = Incarnation(incarnation.0 + 1);
        self.view_changed = true;
        self.announce_own_state();
    }

    /// Asks a sender that is not known for its record.
    pub(super) fn introduce_if_unknown(&mut self, context: &mut Context<'_>, from: PeerEndpoint) {
        if self.table.get(from.node).is_none() && from.node != self.own.endpoint.node {
            send(
                context,
                from.address,
                MembershipMessage::IntroductionRequest,
            );
        }
    }

    /// Updates to send to a member: first what it must refute, then what waits.
    pub(super) fn updates_for(&mut self, now: Timestamp, node: NodeId) -> Vec<MemberUpdate> {
        let limit = self.parameters.updates_limit_bytes;
        let allowance = self.budget.allowance(now, limit);
        let mut updates = self.queue.take(allowance);
        if let Some(entry) = self.table.get(node)
            && matches!(entry.record.state, MemberState::Suspect | MemberState::Dead)
        {
            updates.push(MemberUpdate::State {
                node,
                incarnation: entry.record.incarnation,
                state: entry.record.state,
            });
        }
        let bytes = frame::encode(&updates).map_or(0, |encoded| encoded.len());
        self.budget.spend(bytes);
        updates
    }

    /// Queues an update for gossip.
    pub(super) fn enqueue(&mut self, update: MemberUpdate) {
        let members = self.counters.members as usize;
        let all = gossip::transmissions(self.parameters.transmission_margin, members);
        let transmissions = match update {
            MemberUpdate::Record(_) => self.parameters.record_transmissions.min(all),
            MemberUpdate::State { .. } | MemberUpdate::Suspicion { .. } => all,
        };
        self.queue.push(update, transmissions);
    }

    fn log_change(&self, context: &mut Context<'_>, record: &MemberRecord) {
        context.act(Action::StateChanged(StateChange::MemberChanged {
            node: record.endpoint.node,
            name: record.name.clone(),
            state: record.state,
        }));
    }
}
