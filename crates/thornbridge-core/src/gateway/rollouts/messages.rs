//! Messages of roll-outs with peers: orders, reports and grants.

use super::control::{Context, Rollouts};
use crate::gateway::views::era::is_plausible_era;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::rollout::{
    RolloutGrant, RolloutMessage, RolloutOrders, RolloutReport, route_of_companions,
};

/// Interval at which orders that are not over are sent to a random peer.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Peers that are told of a change at once.
const PUSH_FANOUT: usize = 3;

impl Rollouts {
    /// Handles an empty quarantine message: the peer decodes messages of roll-outs.
    pub(in crate::gateway) fn announcement_received(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
    ) {
        let is_new = self
            .peers
            .announcement_received(context.now, context.actions, from);
        if is_new {
            self.peer_found(context, from.address);
        }
    }

    /// Notes who sent a message of any kind.
    pub(in crate::gateway) fn message_received(&mut self, from: PeerEndpoint) {
        self.peers.message_received(from);
    }

    /// Handles a message of roll-outs.
    pub(in crate::gateway) fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        message: RolloutMessage,
    ) {
        if self.peers.set_capable(from) {
            self.peer_found(context, from.address);
        }
        match message {
            RolloutMessage::Orders(orders) => self.peer_orders(context, from.address, &orders),
            RolloutMessage::Report(report) => self.peer_report(context, from.address, &report),
            RolloutMessage::Grant(grant) => self.granted(context, from.address, grant),
        }
    }

    /// Exchanges orders with a peer that was just found to decode them.
    fn peer_found(&mut self, context: &mut Context<'_>, peer: SocketAddr) {
        for rollout in self.active.values_mut() {
            rollout.reporter.reached(peer);
        }
        if self.asks() {
            self.ask(context, peer);
        }
        if self.orders.at().is_some() {
            self.send_orders(context, peer);
        }
    }

    /// Whether orders are exchanged periodically.
    pub(super) fn gossips(&self) -> bool {
        let has_peers = self.peers.addresses().next().is_some();
        has_peers && (self.asks() || !self.active.is_empty())
    }

    /// Whether this node wants to know what peers know.
    fn asks(&self) -> bool {
        let mut watched = self.watched.iter();
        self.orders.at().is_none() || watched.any(|service| self.established.is_guess(service))
    }

    /// Asks a peer for all that it knows, as a node without any orders.
    fn ask(&mut self, context: &mut Context<'_>, to: SocketAddr) {
        let message = RolloutMessage::Orders(RolloutOrders::default());
        self.peers.send(context.now, context.actions, to, message);
    }

    pub(super) fn gossip_if_due(&mut self, context: &mut Context<'_>) {
        if !self.gossips() || self.next_gossip > context.now {
            return;
        }
        self.next_gossip = context.now + GOSSIP_INTERVAL;
        let peers = self.random_peers(context, 1);
        for peer in peers {
            if self.asks() {
                self.ask(context, peer);
            }
            if !self.active.is_empty() {
                self.send_orders(context, peer);
            }
        }
    }

    /// Tells a few peers of changed orders.
    pub(super) fn push_orders(&mut self, context: &mut Context<'_>) {
        for peer in self.random_peers(context, PUSH_FANOUT) {
            self.send_orders(context, peer);
        }
    }

    fn random_peers(&self, context: &mut Context<'_>, peers: usize) -> Vec<SocketAddr> {
        let addresses: Vec<SocketAddr> = self.peers.addresses().collect();
        let chosen = addresses.choose_multiple(context.random, peers);
        chosen.copied().collect()
    }

    fn send_orders(&mut self, context: &mut Context<'_>, to: SocketAddr) {
        let known = self.watched.iter().filter_map(|service| {
            let version = self.established.certain(service)?;
            Some((service.clone(), version.clone()))
        });
        let orders = RolloutOrders {
            at: self.orders.at().unwrap_or_default(),
            orders: self.orders.to_wire(context.now),
            established: known.collect(),
        };
        let message = RolloutMessage::Orders(orders);
        self.peers.send(context.now, context.actions, to, message);
    }

    fn peer_orders(
        &mut self,
        context: &mut Context<'_>,
        from: SocketAddr,
        received: &RolloutOrders,
    ) {
        let revisions = received.orders.iter().map(|order| order.revision);
        let era = revisions.map(|revision| revision.era).max();
        let era = era.unwrap_or_default().max(received.at.era);
        let own_era = self.orders.at().map(|at| at.era);
        if !is_plausible_era(own_era, era) {
            return;
        }
        let mut told: BTreeSet<ServiceName> = BTreeSet::new();
        for (service, version) in &received.established {
            if self.established.told(context.now, service, version) {
                told.insert(service.clone());
            }
        }
        self.servers_changed(context, told);
        self.merge_orders(context, &received.orders, received.at);
        if self.orders.is_later_than(&received.orders, received.at) {
            self.send_orders(context, from);
        }
    }

    fn peer_report(&mut self, context: &mut Context<'_>, from: SocketAddr, report: &RolloutReport) {
        let known = self.orders.get(&report.order.service);
        let is_known = known.is_some_and(|order| order.id == report.order);
        let grant = self.conduct(context, from, report);
        let message = RolloutMessage::Grant(grant);
        self.peers.send(context.now, context.actions, from, message);
        if !is_known {
            self.send_orders(context, from);
        }
    }

    /// Reports to the conductor what this node saw.
    pub(super) fn report(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let Some(rollout) = self.active.get_mut(service) else {
            return;
        };
        rollout.reporter.check_silence(context.now);
        let target = rollout.reporter.choose(context.now, &rollout.candidates);
        let Some(target) = target else {
            return;
        };
        if target != self.own && !self.peers.is_capable(target) {
            rollout.reporter.tried(context.now);
            self.peers
                .announce_unless_recent(context.now, context.actions, target);
            return;
        }
        let Some(routes) = context.trials.take_report(context.now, rollout.service) else {
            return;
        };
        rollout.reporter.sent(context.now);
        let order = rollout.id.clone();
        let report = RolloutReport { order, routes };
        if target == self.own {
            let grant = self.conduct(context, target, &report);
            self.granted(context, target, grant);
        } else {
            let message = RolloutMessage::Report(report);
            self.peers
                .send(context.now, context.actions, target, message);
        }
    }

    /// Handles the conductor's answer to a report.
    fn granted(&mut self, context: &mut Context<'_>, from: SocketAddr, grant: RolloutGrant) {
        let service = &grant.order.service;
        let rollout = self.active.get_mut(service);
        let Some(rollout) = rollout.filter(|rollout| rollout.id == grant.order) else {
            return;
        };
        let reported_at = rollout.reporter.answered(from);
        if !grant.conducts {
            rollout.reporter.pass_over(context.now, from);
        }
        if let Some(state) = grant.decision {
            self.learn(context, service, state);
            return;
        }
        let Some(reported_at) = reported_at.filter(|_| grant.conducts) else {
            return;
        };
        let valid = Duration::from_millis(u64::from(grant.valid_ms));
        let valid = valid.saturating_sub(context.now.since(reported_at));
        if valid.is_zero() || grant.permits.is_empty() {
            return;
        }
        let key = rollout.service;
        let mut names = grant.permits.iter().map(|(name, _)| name.as_str());
        if names.any(|name| route_of_companions(name).is_some()) {
            let instance = grant.instance.as_ref();
            context
                .servers
                .open_for_companion(context.now, context.actions, key, instance);
        }
        context
            .trials
            .grant(context.now, key, &grant.permits, valid, grant.instance);
    }
}
