//! Probing: selection of targets, and evaluation of acknowledgements and timeouts.

use super::probe::{PendingProbe, ProbePhase, ProbeReason, RelayedProbe};
use super::{Membership, send};
use crate::context::Context;
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::membership::{
    MemberRecord, MemberState, MemberUpdate, MembershipMessage,
};

/// Urgent probes sent per step, so that a burst of updates does not cause a burst of probes.
const MAX_URGENT_PROBES: usize = 4;

impl Membership {
    /// Handles expired probes and sends due ones.
    pub(super) fn probes_due(&mut self, context: &mut Context<'_>) {
        for relayed in self.probes.take_expired_relayed(context.now) {
            let sequence = relayed.request_sequence;
            let reached = false;
            let result = MembershipMessage::IndirectResult { sequence, reached };
            send(context, relayed.requester, result);
        }
        for probe in self.probes.take_expired(context.now) {
            match probe.phase {
                ProbePhase::Direct => self.probe_indirectly(context, probe),
                ProbePhase::Indirect { .. } => self.probe_failed(context, probe),
            }
        }
        self.probe_next(context);
        self.probe_dead(context);
    }

    fn probe_next(&mut self, context: &mut Context<'_>) {
        if context.now < self.next_probe || self.neighbours.targets.is_empty() {
            return;
        }
        let targets = self.neighbours.targets.len() as u32;
        let interval = self.parameters.probe_period / targets;
        self.next_probe = context.now + self.local_health.scale(interval);
        if let Some(target) = self.next_of_round(context) {
            self.probe(context, target, ProbeReason::Regular);
        }
        self.probe_urgent(context);
    }

    fn probe_urgent(&mut self, context: &mut Context<'_>) {
        for _ in 0..MAX_URGENT_PROBES {
            let Some((node, reason)) = self.probes.next_urgent() else {
                return;
            };
            self.probe(context, node, reason);
        }
    }

    fn next_of_round(&mut self, context: &mut Context<'_>) -> Option<NodeId> {
        if let Some(target) = self.probes.next_of_round() {
            return Some(target);
        }
        let mut targets = self.neighbours.targets.clone();
        targets.shuffle(context.random);
        self.probes.start_round(targets);
        self.probes.next_of_round()
    }

    fn probe(&mut self, context: &mut Context<'_>, node: NodeId, reason: ProbeReason) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let eligible = match reason {
            ProbeReason::RetryDead => entry.record.state == MemberState::Dead,
            ProbeReason::Regular | ProbeReason::VerifyDead(_) => {
                entry.record.state != MemberState::Dead
            }
        };
        if !eligible || self.probes.is_probing(node) {
            return;
        }
        let target = entry.record.endpoint;
        let sequence = self.probes.next_sequence();
        let timeout = self.local_health.scale(self.parameters.probe_timeout);
        self.probes.add(PendingProbe {
            sequence,
            target,
            reason,
            phase: ProbePhase::Direct,
            deadline: context.now + timeout,
        });
        self.counters.probes += 1;
        let mut updates = self.updates_for(context.now, node);
        if let ProbeReason::VerifyDead(incarnation) = reason {
            let state = MemberState::Dead;
            updates.push(MemberUpdate::State {
                node,
                incarnation,
                state,
            });
        }
        let ping = MembershipMessage::Ping { sequence, updates };
        send(context, target.address, ping);
    }

    fn probe_indirectly(&mut self, context: &mut Context<'_>, mut probe: PendingProbe) {
        if probe.reason == ProbeReason::RetryDead {
            return;
        }
        let target = probe.target;
        let probers = self.select_indirect_probers(context, target.node);
        if probers.is_empty() {
            self.probe_failed(context, probe);
            return;
        }
        self.counters.indirect_probes += 1;
        let sequence = probe.sequence;
        for prober in &probers {
            let request = MembershipMessage::PingRequest { sequence, target };
            send(context, *prober, request);
        }
        // Twice the timeout, since the other member waits for one timeout before it reports a
        // failure.
        let timeout = self.local_health.scale(self.parameters.probe_timeout) * 2;
        probe.deadline = context.now + timeout;
        probe.phase = ProbePhase::Indirect {
            requests_sent: probers.len() as u32,
            nacks: 0,
        };
        self.probes.add(probe);
    }

    /// Chooses members to probe a target indirectly: neighbours, whose links are open, if there are
    /// enough, else any members. Includes leaving members, since these still answer.
    fn select_indirect_probers(
        &self,
        context: &mut Context<'_>,
        target: NodeId,
    ) -> Vec<SocketAddr> {
        let count = self.parameters.indirect_probers;
        let may_probe = |record: &&MemberRecord| {
            record.endpoint.node != target && record.state != MemberState::Suspect
        };
        let address_of_record = |record: &MemberRecord| record.endpoint.address;
        let present = self.table.present().filter(may_probe);
        let near = present
            .clone()
            .filter(|record| self.neighbours.all.contains(&record.endpoint.node));
        let neighbours: Vec<SocketAddr> = near.map(address_of_record).collect();
        if neighbours.len() >= count {
            return neighbours
                .choose_multiple(context.random, count)
                .copied()
                .collect();
        }
        let members: Vec<SocketAddr> = present.map(address_of_record).collect();
        members
            .choose_multiple(context.random, count)
            .copied()
            .collect()
    }

    fn probe_failed(&mut self, context: &mut Context<'_>, probe: PendingProbe) {
        self.counters.probes_failed += 1;
        if let ProbePhase::Indirect {
            requests_sent,
            nacks,
        } = probe.phase
        {
            // Missing nacks suggest that this node itself is slow or disconnected.
            self.local_health
                .worsen(requests_sent.saturating_sub(nacks));
        }
        let node = probe.target.node;
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let incarnation = entry.record.incarnation;
        match (entry.record.state, probe.reason) {
            (MemberState::Dead, _) => {}
            (MemberState::Leaving, _) | (_, ProbeReason::VerifyDead(_)) => {
                self.declare_dead(context, node, incarnation);
            }
            (MemberState::Alive | MemberState::Suspect, _) => {
                self.counters.suspicions_raised += 1;
                let own = self.own.endpoint.node;
                self.suspect(context, node, incarnation, own);
            }
        }
    }

    /// Acknowledges a ping.
    pub(super) fn acknowledge(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        sequence: u64,
    ) {
        let updates = self.updates_for(context.now, from.node);
        let acknowledgement = MembershipMessage::Acknowledge { sequence, updates };
        send(context, from.address, acknowledgement);
    }

    /// Handles an acknowledgement of a ping.
    pub(super) fn handle_acknowledgement(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        sequence: u64,
    ) {
        if let Some(relayed) = self.probes.take_relayed(sequence, from.node) {
            let sequence = relayed.request_sequence;
            let reached = true;
            let result = MembershipMessage::IndirectResult { sequence, reached };
            send(context, relayed.requester, result);
        } else if self
            .probes
            .take(sequence, |probe| probe.target.node == from.node)
            .is_some()
        {
            self.local_health.improve();
        }
    }

    /// Pings a target on behalf of another member.
    pub(super) fn relay_ping(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        request_sequence: u64,
        target: PeerEndpoint,
    ) {
        let sequence = self.probes.next_sequence();
        self.probes.add_relayed(RelayedProbe {
            sequence,
            target,
            requester: from.address,
            request_sequence,
            deadline: context.now + self.parameters.probe_timeout,
        });
        let updates = self.updates_for(context.now, target.node);
        let ping = MembershipMessage::Ping { sequence, updates };
        send(context, target.address, ping);
    }

    /// Handles the result of a ping request.
    pub(super) fn handle_indirect_result(
        &mut self,
        context: &mut Context<'_>,
        sequence: u64,
        reached: bool,
    ) {
        let indirect = |probe: &PendingProbe| probe.phase != ProbePhase::Direct;
        if reached {
            if self.probes.take(sequence, indirect).is_some() {
                self.local_health.improve();
            }
            return;
        }
        let Some(probe) = self.probes.get_mut(sequence) else {
            return;
        };
        let ProbePhase::Indirect {
            requests_sent,
            nacks,
        } = &mut probe.phase
        else {
            return;
        };
        *nacks += 1;
        if nacks >= requests_sent
            && let Some(probe) = self.probes.take(sequence, indirect)
        {
            self.probe_failed(context, probe);
        }
    }

    /// Probes the peer of a broken link; a broken link alone does not prove a failure.
    pub(super) fn probe_broken_link(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        for probe in self.probes.take_direct_to(address) {
            self.probe_indirectly(context, probe);
        }
        let Some(node) = self
            .table
            .member_at(address)
            .map(|record| record.endpoint.node)
        else {
            return;
        };
        if self.neighbours.all.contains(&node) {
            self.probes.add_urgent(node, ProbeReason::Regular);
            self.probe_urgent(context);
        }
    }

    /// Probes a random dead member, if due, to detect the end of a network split.
    fn probe_dead(&mut self, context: &mut Context<'_>) {
        if context.now < self.next_dead_probe {
            return;
        }
        self.next_dead_probe = context.now + self.parameters.dead_probe_interval;
        let retention = self.parameters.dead_retention;
        self.table.remove_expired_dead(context.now, retention);
        let dead: Vec<NodeId> = self
            .table
            .entries()
            .filter(|entry| entry.record.state == MemberState::Dead && !entry.announced_leaving)
            .map(|entry| entry.record.endpoint.node)
            .collect();
        if let Some(node) = dead.choose(context.random) {
            self.probe(context, *node, ProbeReason::RetryDead);
        }
    }

    /// Discards probes from before a pause, and probes all targets again.
    pub(super) fn handle_resume(&mut self, context: &mut Context<'_>) {
        self.counters.pauses += 1;
        self.probes.clear();
        self.suspicions.restart(context.now);
        self.local_health.worsen(1);
        for target in self.neighbours.targets.clone() {
            self.probe(context, target, ProbeReason::Regular);
        }
    }
}
