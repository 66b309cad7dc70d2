//! Tracking of probes in flight and queued. [`super::probing`] holds the probing logic.

use crate::time::Timestamp;
use std::collections::VecDeque;
use std::net::SocketAddr;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::{Incarnation, NodeId};

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeReason {
    /// Regular probe of the current round.
    Regular,
    /// Verifies a report that the member is dead at this incarnation.
    VerifyDead(Incarnation),
    /// Checks whether a dead member is reachable again, as after a network split.
    RetryDead,
}

/// Phase of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePhase {
    /// Pinged directly.
    Direct,
    /// Pinged through other members too.
    Indirect {
        /// Ping requests sent.
        requests_sent: u32,
        /// Members that reported that the target did not answer them.
        nacks: u32,
    },
}

/// A probe in flight.
#[derive(Clone, Debug)]
pub struct PendingProbe {
    /// Sequence number of the ping.
    pub sequence: u64,
    /// Probed member.
    pub target: PeerEndpoint,
    /// Reason of the probe.
    pub reason: ProbeReason,
    /// Current phase.
    pub phase: ProbePhase,
    /// End of the current phase.
    pub deadline: Timestamp,
}

/// A ping on behalf of another member.
#[derive(Clone, Debug)]
pub struct RelayedProbe {
    /// Sequence number of the relayed ping.
    pub sequence: u64,
    /// Target of the ping.
    pub target: PeerEndpoint,
    /// Member that requested the ping.
    pub requester: SocketAddr,
    /// Sequence number of the ping request.
    pub request_sequence: u64,
    /// When the target counts as not reached.
    pub deadline: Timestamp,
}

/// All probes of one node.
#[derive(Debug, Default)]
pub struct ProbeTracker {
    last_sequence: u64,
    /// Remaining targets of the round, last first.
    round: Vec<NodeId>,
    urgent: VecDeque<(NodeId, ProbeReason)>,
    pending: Vec<PendingProbe>,
    relayed: Vec<RelayedProbe>,
}

impl ProbeTracker {
    /// Allocates a sequence number.
    pub fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Takes the next target of the round; `None` at its end.
    pub fn next_of_round(&mut self) -> Option<NodeId> {
        self.round.pop()
    }

    /// Starts a round over these targets, from the last to the first.
    pub fn start_round(&mut self, targets: Vec<NodeId>) {
        self.round = targets;
    }

    /// Queues a probe ahead of the round, unless the member has one queued or in flight.
    pub fn add_urgent(&mut self, node: NodeId, reason: ProbeReason) {
        let queued = self.urgent.iter().any(|(queued, _)| *queued == node);
        if !queued && !self.is_probing(node) {
            self.urgent.push_back((node, reason));
        }
    }

    /// Takes the next urgent probe.
    pub fn next_urgent(&mut self) -> Option<(NodeId, ProbeReason)> {
        self.urgent.pop_front()
    }

    /// Whether a probe of this member is in flight.
    pub fn is_probing(&self, node: NodeId) -> bool {
        self.pending.iter().any(|probe| probe.target.node == node)
    }

    /// Adds a probe in flight.
    pub fn add(&mut self, probe: PendingProbe) {
        self.pending.push(probe);
    }

    /// Adds a ping sent on behalf of another member.
    pub fn add_relayed(&mut self, probe: RelayedProbe) {
        self.relayed.push(probe);
    }

    /// Removes the probe with this sequence number, if it satisfies `matches`.
    pub fn take(
        &mut self,
        sequence: u64,
        matches: impl Fn(&PendingProbe) -> bool,
    ) -> Option<PendingProbe> {
        let index = self
            .pending
            .iter()
            .position(|probe| probe.sequence == sequence && matches(probe))?;
        Some(self.pending.swap_remove(index))
    }

    /// The probe with this sequence number.
    pub fn get_mut(&mut self, sequence: u64) -> Option<&mut PendingProbe> {
        self.pending
            .iter_mut()
            .find(|probe| probe.sequence == sequence)
    }

    /// Removes the relayed ping that this target acknowledged.
    pub fn take_relayed(&mut self, sequence: u64, target: NodeId) -> Option<RelayedProbe> {
        let index = self
            .relayed
            .iter()
            .position(|probe| probe.sequence == sequence && probe.target.node == target)?;
        Some(self.relayed.swap_remove(index))
    }

    /// Removes the probes whose phase ended.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<PendingProbe> {
        extract_if(&mut self.pending, |probe| probe.deadline <= now)
    }

    /// Removes the probes of an address that are in the direct phase.
    pub fn take_direct_to(&mut self, address: SocketAddr) -> Vec<PendingProbe> {
        extract_if(&mut self.pending, |probe| {
            probe.target.address == address && probe.phase == ProbePhase::Direct
        })
    }

    /// Removes the relayed pings that were not acknowledged in time.
    pub fn take_expired_relayed(&mut self, now: Timestamp) -> Vec<RelayedProbe> {
        extract_if(&mut self.relayed, |probe| probe.deadline <= now)
    }

    /// Discards all probes, except the rest of the round.
    pub fn clear(&mut self) {
        self.urgent.clear();
        self.pending.clear();
        self.relayed.clear();
    }

    /// Earliest end of a phase.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let pending = self.pending.iter().map(|probe| probe.deadline);
        let relayed = self.relayed.iter().map(|probe| probe.deadline);
        pending.chain(relayed).min()
    }
}

fn extract_if<T>(list: &mut Vec<T>, matches: impl Fn(&T) -> bool) -> Vec<T> {
    let (extracted, remaining) = std::mem::take(list).into_iter().partition(matches);
    *list = remaining;
    extracted
}
