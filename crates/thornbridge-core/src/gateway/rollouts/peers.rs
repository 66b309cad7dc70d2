//! Peers that understand messages of roll-outs.
//!
//! Earlier builds cannot decode these messages. A run of a peer is known to decode them once it sent
//! one, or an empty quarantine message as an announcement, which earlier builds ignore and never send.

use crate::gateway::action::GatewayAction;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::quarantine::QuarantineMessage;
use thornbridge_proto::peer::rollout::RolloutMessage;
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

/// Least time between announcements to one peer.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Peers, and which of them decode messages of roll-outs.
#[derive(Debug, Default)]
pub(in crate::gateway) struct RolloutPeers {
    /// Runs that decode the messages, by address.
    capable: BTreeMap<SocketAddr, NodeId>,
    /// Runs whose announcement was answered, by address.
    answered: BTreeMap<SocketAddr, NodeId>,
    announced_at: BTreeMap<SocketAddr, Timestamp>,
    /// Other members.
    members: BTreeMap<SocketAddr, NodeId>,
}

impl RolloutPeers {
    /// Replaces the other members; forgets peers that are no longer members.
    pub(in crate::gateway) fn set_members(&mut self, members: &BTreeSet<PeerEndpoint>) {
        let members = members.iter().map(|member| (member.address, member.node));
        self.members = members.collect();
        let members = &self.members;
        self.capable
            .retain(|address, node| members.get(address) == Some(&*node));
        self.answered
            .retain(|address, node| members.get(address) == Some(&*node));
        self.announced_at
            .retain(|address, _| members.contains_key(address));
    }

    /// Notes who sent a message; forgets another run at the same address.
    pub(in crate::gateway) fn message_received(&mut self, from: PeerEndpoint) {
        let is_other_run = |node: &NodeId| *node != from.node;
        if self.capable.get(&from.address).is_some_and(is_other_run) {
            self.capable.remove(&from.address);
            self.announced_at.remove(&from.address);
        }
    }

    /// Notes that a peer decodes the messages; returns whether that is new.
    pub(in crate::gateway) fn set_capable(&mut self, from: PeerEndpoint) -> bool {
        self.capable.insert(from.address, from.node) != Some(from.node)
    }

    /// Handles the announcement of a peer; answers it once. Returns whether it is new.
    pub(in crate::gateway) fn announcement_received(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        from: PeerEndpoint,
    ) -> bool {
        if self.answered.insert(from.address, from.node) != Some(from.node) {
            self.announce(now, actions, from.address);
        }
        self.set_capable(from)
    }

    /// Whether the current run at an address decodes the messages.
    pub(in crate::gateway) fn is_capable(&self, address: SocketAddr) -> bool {
        let Some(node) = self.capable.get(&address) else {
            return false;
        };
        let member = self.members.get(&address);
        member.is_none_or(|member| member == node)
    }

    /// Sends a message to a peer that decodes it; otherwise drops it and announces this node.
    pub(in crate::gateway) fn send(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        to: SocketAddr,
        message: RolloutMessage,
    ) {
        if self.is_capable(to) {
            let message = PeerMessage::Rollout(message);
            actions.push_back(GatewayAction::SendPeer { to, message });
        } else {
            self.announce_unless_recent(now, actions, to);
        }
    }

    /// Announces this node to a peer, at most once in an interval.
    pub(in crate::gateway) fn announce_unless_recent(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        to: SocketAddr,
    ) {
        let announced = self.announced_at.get(&to);
        if announced.is_none_or(|at| now.since(*at) >= ANNOUNCEMENT_INTERVAL) {
            self.announce(now, actions, to);
        }
    }

    fn announce(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>, to: SocketAddr) {
        self.announced_at.insert(to, now);
        let records = Vec::new();
        let message = PeerMessage::Quarantine(QuarantineMessage { records });
        actions.push_back(GatewayAction::SendPeer { to, message });
    }

    /// Addresses of the other members.
    pub(in crate::gateway) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.keys().copied()
    }
}
