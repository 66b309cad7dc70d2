//! Cluster membership: failure detection, dissemination, and planned leaving.
//!
//! SWIM over a bounded overlay. A node probes its [`overlay`] neighbours in random order, directly,
//! then indirectly through other members. A member that does not answer is suspected, may refute
//! the suspicion with a higher incarnation, and is otherwise declared dead. Updates are piggybacked
//! on probes and sent in gossip rounds, each a bounded number of times, so that an unchanging
//! cluster sends only probes.
//!
//! References: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002; "Lifeguard", 2017
//! (arXiv:1707.00788).

mod anti_entropy;
mod gossip_queue;
mod joining;
mod local_health;
pub mod overlay;
mod parameters;
mod probe;
mod probing;
mod suspicion;
mod table;
mod updates;
mod view;

pub use parameters::{MembershipCounters, MembershipParameters};
pub use view::MemberView;

use crate::context::Context;
use crate::driver_action::Action;
use crate::gossip::{SendBudget, SyncSchedule};
use crate::signal::Signal;
use crate::time::Timestamp;
use gossip_queue::GossipQueue;
use joining::JoinSchedule;
use local_health::LocalHealth;
use overlay::Neighbours;
use probe::ProbeTracker;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use suspicion::Suspicions;
use table::MemberTable;
use thornbridge_proto::peer::membership::{
    MemberBatch, MemberRecord, MemberState, MemberUpdate, MembershipMessage,
};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::Machine;
use thornbridge_proto::{Incarnation, NodeId};

/// Minimum interval between two published member views, which batches simultaneous changes.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Records per message of a member list.
const RECORDS_PER_LIST_MESSAGE: usize = 128;

/// Membership of one node.
#[derive(Debug)]
pub struct Membership {
    parameters: MembershipParameters,
    own: MemberRecord,
    table: MemberTable,
    neighbours: Neighbours,
    suspicions: Suspicions,
    probes: ProbeTracker,
    gossip_queue: GossipQueue,
    gossip_budget: SendBudget,
    sync_budget: SendBudget,
    joining: JoinSchedule,
    sync: SyncSchedule,
    local_health: LocalHealth,
    counters: MembershipCounters,
    next_probe: Timestamp,
    next_gossip: Timestamp,
    next_dead_probe: Timestamp,
    /// Timeout last reported to the driver; a much later call reveals a pause.
    expected_wake: Timestamp,
    view_changed: bool,
    /// Whether members were added, died or revived, so that neighbours change.
    members_changed: bool,
    next_publish: Timestamp,
}

impl Membership {
    /// Creates the membership of a single node, with seeds to join through.
    pub fn new(
        parameters: MembershipParameters,
        own: MemberRecord,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            joining: JoinSchedule::new(&parameters, own.endpoint.address, seeds),
            local_health: LocalHealth::new(parameters.local_health_limit),
            gossip_budget: SendBudget::new(
                parameters.gossip_bytes_per_second,
                parameters.gossip_burst_bytes,
            ),
            sync_budget: SendBudget::new(
                parameters.sync_bytes_per_second,
                parameters.sync_burst_bytes,
            ),
            own,
            table: MemberTable::default(),
            neighbours: Neighbours::default(),
            suspicions: Suspicions::default(),
            probes: ProbeTracker::default(),
            gossip_queue: GossipQueue::default(),
            sync: SyncSchedule::new(parameters.sync_interval, parameters.sync_interval_differing),
            counters: MembershipCounters::default(),
            next_probe: Timestamp::ZERO,
            next_gossip: Timestamp::ZERO,
            next_dead_probe: Timestamp::ZERO,
            expected_wake: Timestamp::MAX,
            view_changed: true,
            members_changed: false,
            next_publish: Timestamp::ZERO,
            parameters,
        }
    }

    /// Starts joining. Must be called first.
    pub fn started(&mut self, context: &mut Context<'_>) {
        self.next_probe = context.now + self.parameters.probe_period;
        self.next_dead_probe = context.now + self.parameters.dead_probe_interval;
        let random = &mut *context.random;
        self.joining.restart(&self.parameters, context.now, random);
        self.join_if_due(context);
        self.publish(context);
    }

    /// Whether to request the platform's list of machines now; call after each event. The list may
    /// be stale, so it only provides addresses to join through.
    pub fn machine_list_due(&mut self, context: &mut Context<'_>) -> bool {
        let random = &mut *context.random;
        let due = self
            .joining
            .machine_list_due(&self.parameters, context.now, random);
        self.counters.machine_lists_wanted += u64::from(due);
        due
    }

    /// Handles the platform's list of machines.
    pub fn machine_list_received(&mut self, context: &mut Context<'_>, machines: &[Machine]) {
        let not_leaving = machines.iter().filter(|machine| !machine.leaving);
        let addresses = not_leaving.map(|machine| machine.peer_address);
        self.joining.set_discovered(context.now, addresses);
        self.join_if_due(context);
        self.publish(context);
    }

    /// Current member view.
    pub fn view(&self) -> MemberView {
        let neighbours = self.neighbours.all.iter();
        let neighbours = neighbours
            .filter_map(|node| self.table.get(*node))
            .map(|entry| entry.record.endpoint)
            .collect();
        self.table.view(&self.own).with_neighbours(neighbours)
    }

    /// Announces a planned stop to all neighbours.
    pub fn leave(&mut self, context: &mut Context<'_>) {
        if self.own.state == MemberState::Leaving {
            return;
        }
        self.own.state = MemberState::Leaving;
        self.own.incarnation = Incarnation(self.own.incarnation.0 + 1);
        self.view_changed = true;
        self.announce_own_state();
        for neighbour in self.neighbours.all.clone() {
            self.gossip_to(context, neighbour);
        }
        self.publish(context);
    }

    /// Handles a message from a peer.
    pub fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        message: MembershipMessage,
    ) {
        self.detect_pause(context);
        match message {
            MembershipMessage::Ping { sequence, updates } => {
                self.apply_updates(context, updates);
                self.acknowledge(context, from, sequence);
                self.request_introduction_if_unknown(context, from);
            }
            MembershipMessage::Acknowledge { sequence, updates } => {
                self.apply_updates(context, updates);
                self.handle_acknowledgement(context, from, sequence);
                self.request_introduction_if_unknown(context, from);
            }
            MembershipMessage::PingRequest { sequence, target } => {
                self.relay_ping(context, from, sequence, target);
            }
            MembershipMessage::IndirectResult { sequence, reached } => {
                self.handle_indirect_result(context, sequence, reached);
            }
            MembershipMessage::Gossip { updates } => self.apply_updates(context, updates),
            MembershipMessage::Join { member } => self.handle_join(context, from, member),
            MembershipMessage::MemberList { batch } => self.handle_member_list(context, batch),
            MembershipMessage::Digest { digest } => self.handle_digest(context, from, digest),
            MembershipMessage::BucketDigests { digests } => {
                self.handle_bucket_digests(context, from, &digests);
            }
            MembershipMessage::Buckets { buckets, keys } => {
                self.handle_buckets(context, from, &buckets, &keys);
            }
            MembershipMessage::Wanted { nodes } => self.handle_wanted(context, from, &nodes),
            MembershipMessage::Newer { batch } => self.apply_records(context, batch.unpack()),
            MembershipMessage::IntroductionRequest => {
                let member = self.own.clone();
                let introduction = MembershipMessage::Introduction { member };
                send(context, from.address, introduction);
            }
            MembershipMessage::Introduction { member } => {
                if member.endpoint == from {
                    self.handle_introduction(context, member);
                }
            }
        }
        self.publish(context);
    }

    /// Handles a broken link to a peer.
    pub fn link_down(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        self.detect_pause(context);
        self.probe_broken_link(context, address);
        self.publish(context);
    }

    /// Handles a pause of the process: pending probes are stale, and peers may have declared this
    /// node dead.
    pub fn clock_jumped(&mut self, context: &mut Context<'_>) {
        self.expected_wake = Timestamp::MAX;
        self.handle_resume(context);
        self.publish(context);
    }

    /// Counters of failure detection.
    pub fn counters(&self) -> &MembershipCounters {
        &self.counters
    }

    /// When [`Self::timer_due`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let gossip = (!self.gossip_queue.is_empty() && !self.neighbours.all.is_empty())
            .then_some(self.next_gossip);
        let probe = (!self.neighbours.targets.is_empty()).then_some(self.next_probe);
        let sync = (!self.neighbours.all.is_empty()).then_some(self.sync.next());
        let dead = (self.counters.dead_remembered > 0).then_some(self.next_dead_probe);
        let publish = self.view_changed.then_some(self.next_publish);
        let timeouts = [
            publish,
            gossip,
            probe,
            dead,
            sync,
            self.joining.next_timeout(),
            self.probes.next_timeout(),
            self.suspicions.next_timeout(),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Runs what is due: probes, suspicions, gossip, anti-entropy and joining.
    pub fn timer_due(&mut self, context: &mut Context<'_>) {
        self.detect_pause(context);
        self.probes_due(context);
        self.suspicions_due(context);
        self.gossip_due(context);
        self.sync_due(context);
        self.join_if_due(context);
        self.publish(context);
    }

    /// Detects a pause of the process from a timer that is much too late.
    fn detect_pause(&mut self, context: &mut Context<'_>) {
        let delay = context.now.since(self.expected_wake);
        self.expected_wake = Timestamp::MAX;
        if delay > self.parameters.pause_threshold {
            self.handle_resume(context);
        }
    }

    fn join_if_due(&mut self, context: &mut Context<'_>) {
        let table = &self.table;
        let is_member = |address| table.member_at(address).is_some();
        let due =
            self.joining
                .next_address_due(&self.parameters, context.now, context.random, is_member);
        let Some(address) = due else {
            return;
        };
        if self.joining.is_at_maximum_interval(&self.parameters) {
            let digest = self.digest();
            send(context, address, MembershipMessage::Digest { digest });
            return;
        }
        self.counters.joins_sent += 1;
        let member = self.own.clone();
        send(context, address, MembershipMessage::Join { member });
    }

    fn handle_join(&mut self, context: &mut Context<'_>, from: PeerEndpoint, member: MemberRecord) {
        if member.endpoint != from {
            return;
        }
        self.handle_introduction(context, member);
        let mut members = vec![self.own.clone()];
        members.extend(self.table.present().cloned());
        for records in members.chunks(RECORDS_PER_LIST_MESSAGE) {
            let batch = MemberBatch::pack(records);
            let list = MembershipMessage::MemberList { batch };
            send(context, from.address, list);
        }
    }

    fn gossip_due(&mut self, context: &mut Context<'_>) {
        if self.gossip_queue.is_empty() || context.now < self.next_gossip {
            return;
        }
        self.next_gossip = context.now + self.parameters.gossip_interval;
        let fanout = self.parameters.gossip_fanout;
        let recipients: Vec<_> = self
            .neighbours
            .all
            .choose_multiple(context.random, fanout)
            .copied()
            .collect();
        for neighbour in recipients {
            self.gossip_to(context, neighbour);
        }
    }

    fn gossip_to(&mut self, context: &mut Context<'_>, node: NodeId) {
        let Some(address) = self.address_of(node) else {
            return;
        };
        let updates = self.updates_for(context.now, node);
        if !updates.is_empty() {
            send(context, address, MembershipMessage::Gossip { updates });
        }
    }

    fn announce_own_state(&mut self) {
        self.enqueue(MemberUpdate::State {
            node: self.own.endpoint.node,
            incarnation: self.own.incarnation,
            state: self.own.state,
        });
    }

    /// Updates counters and the expected wake time, and publishes a changed view if due.
    fn publish(&mut self, context: &mut Context<'_>) {
        self.counters.local_health = u64::from(self.local_health.score());
        if self.view_changed && self.next_publish <= context.now {
            self.publish_view(context);
        }
        let expected_wake = self.next_timeout().unwrap_or(Timestamp::MAX);
        self.expected_wake = expected_wake.max(context.now);
    }

    fn publish_view(&mut self, context: &mut Context<'_>) {
        self.view_changed = false;
        self.next_publish = context.now + PUBLISH_INTERVAL;
        if std::mem::take(&mut self.members_changed) {
            self.update_neighbours(context);
            if self.sync.next() == Timestamp::MAX {
                self.sync.hasten(context.now, context.random);
            }
        }
        let view = self.view();
        self.counters.members = view.members().len() as u64;
        self.counters.suspects = self.suspicions.len() as u64;
        let dead = |state| state == MemberState::Dead;
        let entries = self.table.entries();
        self.counters.dead_remembered =
            entries.filter(|entry| dead(entry.record.state)).count() as u64;
        context.signal(Signal::MembersChanged(Arc::new(view)));
    }

    fn update_neighbours(&mut self, context: &mut Context<'_>) {
        self.neighbours = overlay::neighbours(
            &self.own,
            self.table.present(),
            self.parameters.regional_rings,
            self.parameters.global_rings,
        );
        if self.neighbours.all.is_empty() {
            let random = &mut *context.random;
            self.joining.restart(&self.parameters, context.now, random);
        }
    }

    fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        Some(self.table.get(node)?.record.endpoint.address)
    }
}

fn send(context: &mut Context<'_>, to: SocketAddr, message: MembershipMessage) {
    context.act(Action::SendPeer {
        to,
        message: PeerMessage::Membership(message),
    });
}
