//! Application of member updates, and selection of updates to gossip.

use super::probe::ProbeReason;
use super::table::precedence;
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
    /// Applies updates from a message, and gossips those that were newer.
    pub(super) fn apply_updates(&mut self, context: &mut Context<'_>, updates: Vec<MemberUpdate>) {
        for update in updates {
            match update {
                MemberUpdate::Record(record) => self.apply_record(context, record, true),
                MemberUpdate::State {
                    node,
                    incarnation,
                    state,
                } => self.apply_state(context, node, incarnation, state),
                MemberUpdate::Suspicion {
                    node,
                    incarnation,
                    suspected_by,
                } => self.suspect(context, node, incarnation, suspected_by),
            }
        }
    }

    /// Applies a member list, without gossiping its records.
    pub(super) fn handle_member_list(&mut self, context: &mut Context<'_>, batch: MemberBatch) {
        self.joining.mark_joined(&self.parameters, context.now);
        self.apply_records(context, batch.unpack());
        self.sync.hasten(context.now, context.random);
    }

    /// Applies records, without gossiping them.
    pub(super) fn apply_records(
        &mut self,
        context: &mut Context<'_>,
        records: impl IntoIterator<Item = MemberRecord>,
    ) {
        for record in records {
            self.apply_record(context, record, false);
        }
    }

    /// Applies a record received from the member itself. Other members at the same address are
    /// declared dead, since only one process can use the address.
    pub(super) fn handle_introduction(&mut self, context: &mut Context<'_>, member: MemberRecord) {
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
        self.apply_record(context, member, true);
    }

    fn apply_record(&mut self, context: &mut Context<'_>, record: MemberRecord, gossip: bool) {
        let node = record.endpoint.node;
        let known = self.table.get(node).is_some() || node == self.own.endpoint.node;
        if known {
            self.apply_state(context, node, record.incarnation, record.state);
            return;
        }
        if record.state == MemberState::Dead {
            return;
        }
        self.report_state_change(context, &record);
        if gossip {
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

    pub(super) fn apply_state(
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
        let current = &entry.record;
        if precedence(incarnation, state) <= precedence(current.incarnation, current.state) {
            return;
        }
        match (current.state, state) {
            // Verifies the report with a probe, so that after a network split, death reports of the
            // other side do not remove reachable members.
            (MemberState::Alive, MemberState::Dead) => {
                self.probes
                    .add_urgent(node, ProbeReason::VerifyDead(incarnation));
            }
            (_, MemberState::Suspect) => self.suspect(context, node, incarnation, node),
            _ => self.advance(context, node, incarnation, state),
        }
    }

    /// Applies a state, if newer, and gossips it.
    fn advance(
        &mut self,
        context: &mut Context<'_>,
        node: NodeId,
        incarnation: Incarnation,
        state: MemberState,
    ) {
        let Some(previous) = self.table.advance(context.now, node, incarnation, state) else {
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
        let dead = MemberState::Dead;
        if (previous == dead) != (state == dead) {
            self.members_changed = true;
        }
        if previous == dead {
            self.counters.revived += 1;
        }
        if previous != state
            && let Some(entry) = self.table.get(node)
        {
            self.report_state_change(context, &entry.record);
        }
    }

    /// Raises or confirms a suspicion, after an own failed probe or another member's report.
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
        let current = precedence(entry.record.incarnation, entry.record.state);
        if precedence(incarnation, MemberState::Suspect) < current {
            return;
        }
        let members = self.counters.members as usize;
        let changed = self.suspicions.suspect(
            &self.parameters,
            context.now,
            members,
            (node, incarnation),
            suspected_by,
        );
        self.advance(context, node, incarnation, MemberState::Suspect);
        if changed {
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

    /// Declares members dead whose suspicion expired.
    pub(super) fn suspicions_due(&mut self, context: &mut Context<'_>) {
        for node in self.suspicions.take_expired(context.now) {
            if let Some(entry) = self.table.get(node) {
                let incarnation = entry.record.incarnation;
                self.declare_dead(context, node, incarnation);
            }
        }
    }

    /// Declares a member dead.
    pub(super) fn declare_dead(
        &mut self,
        context: &mut Context<'_>,
        node: NodeId,
        incarnation: Incarnation,
    ) {
        self.counters.declared_dead += 1;
        self.advance(context, node, incarnation, MemberState::Dead);
    }

    /// Refutes a report of this node's failure with a higher incarnation.
    fn refute(&mut self, incarnation: Incarnation, state: MemberState) {
        let own = precedence(self.own.incarnation, self.own.state);
        if precedence(incarnation, state) <= own {
            return;
        }
        self.counters.refutations += 1;
        self.local_health.worsen(1);
        self.own.incarnation = Incarnation(incarnation.0 + 1);
        self.view_changed = true;
        self.announce_own_state();
    }

    /// Requests the record of an unknown sender.
    pub(super) fn request_introduction_if_unknown(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
    ) {
        if self.table.get(from.node).is_none() && from.node != self.own.endpoint.node {
            send(
                context,
                from.address,
                MembershipMessage::IntroductionRequest,
            );
        }
    }

    /// Updates to piggyback on a message to a member, including its own suspicion or death, so that
    /// it can refute.
    pub(super) fn updates_for(&mut self, now: Timestamp, node: NodeId) -> Vec<MemberUpdate> {
        let limit = self.parameters.updates_limit_bytes;
        let allowance = self.gossip_budget.allowance(now, limit);
        let mut updates = self.gossip_queue.take(allowance);
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
        self.gossip_budget.spend(bytes);
        updates
    }

    /// Queues an update for gossip.
    pub(super) fn enqueue(&mut self, update: MemberUpdate) {
        let members = self.counters.members as usize;
        let transmissions_to_all =
            gossip::transmissions(self.parameters.transmission_margin, members);
        let transmissions = match update {
            MemberUpdate::Record(_) => self
                .parameters
                .record_transmissions
                .min(transmissions_to_all),
            MemberUpdate::State { .. } | MemberUpdate::Suspicion { .. } => transmissions_to_all,
        };
        self.gossip_queue.push(update, transmissions);
    }

    fn report_state_change(&self, context: &mut Context<'_>, record: &MemberRecord) {
        context.act(Action::StateChanged(StateChange::MemberChanged {
            node: record.endpoint.node,
            name: record.name.clone(),
            state: record.state,
        }));
    }
}
