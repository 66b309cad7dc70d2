//! Who is in the cluster: failure detection, incarnations, leaving.
//!
//! SWIM over a bounded overlay: a node probes its [`overlay`] neighbours in random order, directly
//! and then through others; a member that does not answer is suspected, has time to refute, and
//! is then declared dead. News rides on probes and on short rounds of gossip, each update a
//! bounded number of times, so that nothing but probes is sent while nothing changes.
//!
//! Sources: A. Das, I. Gupta, A. Motivala, "SWIM", DSN 2002; "Lifeguard", 2017
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
use joining::Joining;
use local_health::LocalHealth;
use overlay::Neighbours;
use probe::ProbeBook;
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

/// Least time between two member lists that are published: each costs a walk over all members, and
/// as many change at once as start or fail together.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Records in one part of a member list: about 5 kB.
const MEMBER_LIST_PART: usize = 128;

/// The member list of one node.
#[derive(Debug)]
pub struct Membership {
    parameters: MembershipParameters,
    own: MemberRecord,
    table: MemberTable,
    neighbours: Neighbours,
    suspicions: Suspicions,
    probes: ProbeBook,
    queue: GossipQueue,
    budget: SendBudget,
    sync_budget: SendBudget,
    joining: Joining,
    sync: SyncSchedule,
    local_health: LocalHealth,
    counters: MembershipCounters,
    next_probe: Timestamp,
    next_gossip: Timestamp,
    next_dead_probe: Timestamp,
    wake_at: Timestamp,
    view_changed: bool,
    members_changed: bool,
    next_publish: Timestamp,
}

impl Membership {
    /// A cluster of one, with peers to join through.
    pub fn new(
        parameters: MembershipParameters,
        own: MemberRecord,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            joining: Joining::new(&parameters, own.endpoint.address, seeds),
            local_health: LocalHealth::new(parameters.local_health_limit),
            budget: SendBudget::new(
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
            probes: ProbeBook::default(),
            queue: GossipQueue::default(),
            sync: SyncSchedule::new(parameters.sync_interval, parameters.sync_interval_differing),
            counters: MembershipCounters::default(),
            next_probe: Timestamp::ZERO,
            next_gossip: Timestamp::ZERO,
            next_dead_probe: Timestamp::ZERO,
            wake_at: Timestamp::MAX,
            view_changed: true,
            members_changed: false,
            next_publish: Timestamp::ZERO,
            parameters,
        }
    }

    /// First call: joins.
    pub fn started(&mut self, context: &mut Context<'_>) {
        self.next_probe = context.now + self.parameters.probe_period;
        self.next_dead_probe = context.now + self.parameters.dead_probe_interval;
        let random = &mut *context.random;
        self.joining.alone(&self.parameters, context.now, random);
        self.join_if_due(context);
        self.publish(context);
    }

    /// Whether the platform's list of machines is wanted now; asked after each call. The list may
    /// be minutes late, so it only serves to find somebody to join through.
    pub fn wants_machines(&mut self, context: &mut Context<'_>) -> bool {
        let random = &mut *context.random;
        let wanted = self.joining.list_due(&self.parameters, context.now, random);
        self.counters.machine_lists_wanted += u64::from(wanted);
        wanted
    }

    /// The platform's list of machines.
    pub fn machines_listed(&mut self, context: &mut Context<'_>, machines: &[Machine]) {
        let staying = machines.iter().filter(|machine| !machine.leaving);
        let addresses = staying.map(|machine| machine.peer_address);
        self.joining.hinted(context.now, addresses);
        self.join_if_due(context);
        self.publish(context);
    }

    /// The members as they are known now.
    pub fn view(&self) -> MemberView {
        let neighbours = self.neighbours.all.iter();
        let neighbours = neighbours
            .filter_map(|node| self.table.get(*node))
            .map(|entry| entry.record.endpoint)
            .collect();
        self.table.view(&self.own).with_neighbours(neighbours)
    }

    /// Announces a planned stop.
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

    /// Takes a peer's message.
    pub fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        message: MembershipMessage,
    ) {
        self.notice_pause(context);
        match message {
            MembershipMessage::Ping { sequence, updates } => {
                self.take_updates(context, updates);
                self.acknowledge(context, from, sequence);
                self.introduce_if_unknown(context, from);
            }
            MembershipMessage::Acknowledge { sequence, updates } => {
                self.take_updates(context, updates);
                self.acknowledged(context, from, sequence);
                self.introduce_if_unknown(context, from);
            }
            MembershipMessage::PingRequest { sequence, target } => {
                self.relay_ping(context, from, sequence, target);
            }
            MembershipMessage::IndirectResult { sequence, reached } => {
                self.indirect_result(context, sequence, reached);
            }
            MembershipMessage::Gossip { updates } => self.take_updates(context, updates),
            MembershipMessage::Join { member } => self.joined_by(context, from, member),
            MembershipMessage::MemberList { batch } => self.take_list(context, batch),
            MembershipMessage::Digest { digest } => self.take_digest(context, from, digest),
            MembershipMessage::BucketDigests { digests } => {
                self.take_bucket_digests(context, from, &digests);
            }
            MembershipMessage::Buckets { buckets, keys } => {
                self.take_buckets(context, from, &buckets, &keys);
            }
            MembershipMessage::Wanted { nodes } => self.wanted(context, from, &nodes),
            MembershipMessage::Newer { batch } => self.take_batch(context, batch.unpack()),
            MembershipMessage::IntroductionRequest => {
                let member = self.own.clone();
                let introduction = MembershipMessage::Introduction { member };
                send(context, from.address, introduction);
            }
            MembershipMessage::Introduction { member } => {
                if member.endpoint == from {
                    self.take_introduction(context, member);
                }
            }
        }
        self.publish(context);
    }

    /// A link to a peer broke.
    pub fn link_down(&mut self, context: &mut Context<'_>, address: SocketAddr) {
        self.notice_pause(context);
        self.probe_broken_link(context, address);
        self.publish(context);
    }

    /// The process was paused: what it believed of others is stale, and others may believe it dead.
    pub fn clock_jumped(&mut self, context: &mut Context<'_>) {
        self.wake_at = Timestamp::MAX;
        self.resumed(context);
        self.publish(context);
    }

    /// Counters.
    pub fn counters(&self) -> &MembershipCounters {
        &self.counters
    }

    /// When [`Self::timer_due`] wants to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let gossip =
            (!self.queue.is_empty() && !self.neighbours.all.is_empty()).then_some(self.next_gossip);
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

    /// Probes, gossips, joins and declares dead when it is time.
    pub fn timer_due(&mut self, context: &mut Context<'_>) {
        self.notice_pause(context);
        self.probes_due(context);
        self.suspicions_due(context);
        self.gossip_due(context);
        self.sync_due(context);
        self.join_if_due(context);
        self.publish(context);
    }

    /// A timer that comes much too late shows that the process was paused.
    fn notice_pause(&mut self, context: &mut Context<'_>) {
        let late = context.now.since(self.wake_at);
        self.wake_at = Timestamp::MAX;
        if late > self.parameters.pause_threshold {
            self.resumed(context);
        }
    }

    fn join_if_due(&mut self, context: &mut Context<'_>) {
        let table = &self.table;
        let is_member = |address| table.at(address).is_some();
        let due = self
            .joining
            .due(&self.parameters, context.now, context.random, is_member);
        let Some(address) = due else {
            return;
        };
        if self.joining.is_settled(&self.parameters) {
            let digest = self.digest();
            send(context, address, MembershipMessage::Digest { digest });
            return;
        }
        self.counters.joins_sent += 1;
        let member = self.own.clone();
        send(context, address, MembershipMessage::Join { member });
    }

    fn joined_by(&mut self, context: &mut Context<'_>, from: PeerEndpoint, member: MemberRecord) {
        if member.endpoint != from {
            return;
        }
        self.take_introduction(context, member);
        let mut members = vec![self.own.clone()];
        members.extend(self.table.present().cloned());
        for part in members.chunks(MEMBER_LIST_PART) {
            let batch = MemberBatch::pack(part);
            let list = MembershipMessage::MemberList { batch };
            send(context, from.address, list);
        }
    }

    fn gossip_due(&mut self, context: &mut Context<'_>) {
        if self.queue.is_empty() || context.now < self.next_gossip {
            return;
        }
        self.next_gossip = context.now + self.parameters.gossip_interval;
        let fanout = self.parameters.gossip_fanout;
        let chosen: Vec<_> = self
            .neighbours
            .all
            .choose_multiple(context.random, fanout)
            .copied()
            .collect();
        for neighbour in chosen {
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

    /// Brings neighbours and counters up to date, and tells the other modules of changes.
    fn publish(&mut self, context: &mut Context<'_>) {
        self.counters.local_health = u64::from(self.local_health.score());
        if self.view_changed && self.next_publish <= context.now {
            self.publish_view(context);
        }
        let wake_at = self.next_timeout().unwrap_or(Timestamp::MAX);
        self.wake_at = wake_at.max(context.now);
    }

    fn publish_view(&mut self, context: &mut Context<'_>) {
        self.view_changed = false;
        self.next_publish = context.now + PUBLISH_INTERVAL;
        if std::mem::take(&mut self.members_changed) {
            self.find_neighbours(context);
            if self.sync.next() == Timestamp::MAX {
                self.sync.hasten(context.now, context.random);
            }
        }
        let view = self.view();
        self.counters.members = view.members().len() as u64;
        self.counters.suspects = self.suspicions.len() as u64;
        let dead = |state| state == MemberState::Dead;
        let remembered = self.table.entries();
        self.counters.dead_remembered =
            remembered.filter(|entry| dead(entry.record.state)).count() as u64;
        context.signal(Signal::MembersChanged(Arc::new(view)));
    }

    fn find_neighbours(&mut self, context: &mut Context<'_>) {
        self.neighbours = overlay::neighbours(
            &self.own,
            self.table.present(),
            self.parameters.regional_rings,
            self.parameters.global_rings,
        );
        if self.neighbours.all.is_empty() {
            let random = &mut *context.random;
            self.joining.alone(&self.parameters, context.now, random);
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
