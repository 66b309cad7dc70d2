//! Sharing of back-end health among nodes.
//!
//! In each region, a few nodes probe a back end (`assignment`). Their observations are facts
//! (`facts`) replicated to all nodes: each change is gossiped, and anti-entropy repairs what gossip
//! missed (`dissemination`). Load is not shared, since it would be stale on arrival.
//!
//! What a back end reports itself (readiness, snapshots) is accepted from any observer. A back end
//! counts as unreachable where this node's own probes fail, or enough observers of this node's
//! region agree.

mod assignment;
mod bootstrap;
mod dissemination;
mod facts;
mod observation;
mod parameters;
mod probing;

pub use parameters::{HealthCounters, HealthParameters};

use crate::configuration::ActiveConfiguration;
use crate::context::Context;
use crate::gossip::{SendBudget, SyncSchedule, TransmissionQueue};
use crate::membership::MemberView;
use crate::signal::Signal;
use crate::time::Timestamp;
use assignment::Observers;
use bootstrap::Bootstrap;
use facts::{FactKind, Facts};
use observation::{LeavingHold, ProbeState, PublishRateLimit};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::health::{BackEndKey, HealthChange, HealthFact, HealthRecord};
use thornbridge_proto::{BackEndId, ZoneName};

/// Delay between a membership change and the reassignment of back ends, to batch changes.
const REASSIGNMENT_DELAY: Duration = Duration::from_millis(500);

/// A back end of the active configuration.
#[derive(Debug)]
struct MonitoredBackEnd {
    id: BackEndId,
    address: SocketAddr,
    zone: ZoneName,
    facts: Facts,
    /// Set while this node is assigned to probe the back end.
    probe_state: Option<ProbeState>,
    leaving_hold: LeavingHold,
    readiness_rate_limit: PublishRateLimit,
    snapshots_rate_limit: PublishRateLimit,
}

/// Health sharing of one node.
#[derive(Debug)]
pub struct HealthSharing {
    parameters: HealthParameters,
    back_ends: BTreeMap<BackEndKey, MonitoredBackEnd>,
    observers: Observers,
    neighbours: Vec<PeerEndpoint>,
    member_count: usize,
    probe_schedule: BTreeSet<(Timestamp, BackEndKey)>,
    /// Factor on probe intervals that keeps this node within its probe rate.
    interval_factor: f64,
    reassign_at: Option<Timestamp>,
    gossip_queue: TransmissionQueue<(BackEndKey, FactKind), HealthChange>,
    gossip_budget: SendBudget,
    sync_budget: SendBudget,
    sync: SyncSchedule,
    next_gossip: Timestamp,
    expects_peers: bool,
    bootstrap: Bootstrap,
    counters: HealthCounters,
}

impl HealthSharing {
    /// Creates health sharing without back ends; `expects_peers` if the node has seeds.
    pub fn new(parameters: HealthParameters, expects_peers: bool) -> Self {
        Self {
            gossip_budget: SendBudget::new(
                parameters.gossip_bytes_per_second,
                parameters.gossip_burst_bytes,
            ),
            sync_budget: SendBudget::new(
                parameters.sync_bytes_per_second,
                parameters.sync_burst_bytes,
            ),
            sync: SyncSchedule::new(parameters.sync_interval, parameters.sync_interval_differing),
            parameters,
            back_ends: BTreeMap::new(),
            observers: Observers::default(),
            neighbours: Vec::new(),
            member_count: 1,
            probe_schedule: BTreeSet::new(),
            interval_factor: 1.0,
            reassign_at: None,
            gossip_queue: TransmissionQueue::default(),
            next_gossip: Timestamp::ZERO,
            expects_peers,
            bootstrap: Bootstrap::Idle,
            counters: HealthCounters::default(),
        }
    }

    /// Installs a configuration. Facts about removed back ends are dropped.
    pub fn install(&mut self, context: &mut Context<'_>, active: &ActiveConfiguration) {
        let mut previous = std::mem::take(&mut self.back_ends);
        for back_end in active.bundle.back_ends() {
            let key = facts::key_of(&back_end.id);
            let existing = previous.remove(&key);
            let mut monitored =
                existing.unwrap_or_else(|| MonitoredBackEnd::new(back_end.id.clone(), back_end));
            monitored.address = back_end.address;
            monitored.zone = back_end.zone.clone();
            self.back_ends.insert(key, monitored);
        }
        for (key, removed) in previous {
            if let Some(probe_state) = removed.probe_state {
                self.probe_schedule.remove(&(probe_state.due, key));
            }
        }
        self.assign_back_ends(context);
        self.sync.hasten(context.now, context.random);
        self.bootstrap.start(&self.parameters, context.now);
        if !self.expects_peers && self.neighbours.is_empty() {
            self.bootstrap = Bootstrap::Done;
        }
        self.request_facts_due(context);
    }

    /// Applies a new member list.
    pub fn members_changed(&mut self, context: &mut Context<'_>, view: &MemberView) {
        self.observers = Observers::new(view);
        self.neighbours = view.neighbours().to_vec();
        self.member_count = view.members().len();
        if self.reassign_at.is_none() {
            self.reassign_at = Some(context.now + REASSIGNMENT_DELAY);
        }
        if self.sync.next() == Timestamp::MAX && !self.neighbours.is_empty() {
            self.sync.plan(context.now, context.random);
        }
        self.request_facts_due(context);
    }

    /// Whether the bootstrap has ended.
    pub fn is_bootstrapped(&self) -> bool {
        self.bootstrap == Bootstrap::Done
    }

    /// Counters of health sharing.
    pub fn counters(&self) -> &HealthCounters {
        &self.counters
    }

    /// Health of a back end as seen by this node.
    pub fn record(&self, back_end: &BackEndId) -> Option<HealthRecord> {
        let monitored = self.back_ends.get(&facts::key_of(back_end))?;
        Some(self.record_of(monitored))
    }

    /// When [`Self::timer_due`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let probe = self.probe_schedule.first().map(|(due, _)| *due);
        let has_neighbours = !self.neighbours.is_empty();
        let gossip = (has_neighbours && !self.gossip_queue.is_empty()).then_some(self.next_gossip);
        let sync = has_neighbours.then_some(self.sync.next());
        let bootstrap = self.bootstrap.next_timeout(has_neighbours);
        [probe, gossip, sync, bootstrap, self.reassign_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Runs what is due: reassignment, bootstrap, probes, gossip and anti-entropy.
    pub fn timer_due(&mut self, context: &mut Context<'_>) {
        if self.reassign_at.is_some_and(|due| due <= context.now) {
            self.assign_back_ends(context);
        }
        self.request_facts_due(context);
        self.probes_due(context);
        self.gossip_due(context);
        self.sync_due(context);
    }

    /// Handles a pause of the process: discards probes in flight.
    pub fn clock_jumped(&mut self, context: &mut Context<'_>) {
        self.restart_probes(context);
        self.sync.hasten(context.now, context.random);
    }

    fn record_of(&self, monitored: &MonitoredBackEnd) -> HealthRecord {
        monitored
            .facts
            .record(self.observers.own(), self.is_reachable(&monitored.facts))
    }

    /// Own failed probes suffice; votes of others need enough observers of this region to agree.
    fn is_reachable(&self, facts: &Facts) -> bool {
        if facts.is_unreachable_from(self.observers.own()) {
            return false;
        }
        let agreeing = self.observers.count_in_own_region(facts.unreachable_from());
        let required = self.parameters.agreeing_observers;
        agreeing < required.min(self.observers.observer_count()).max(1)
    }

    /// Signals a back end's health to the other modules of this node.
    fn signal_health(&self, context: &mut Context<'_>, key: BackEndKey) {
        if let Some(monitored) = self.back_ends.get(&key) {
            context.signal(Signal::BackEndHealthUpdated(self.record_of(monitored)));
        }
    }
}

impl MonitoredBackEnd {
    fn new(id: BackEndId, back_end: &thornbridge_config::bundle::BackEnd) -> Self {
        Self {
            facts: Facts::new(id.clone()),
            id,
            address: back_end.address,
            zone: back_end.zone.clone(),
            probe_state: None,
            leaving_hold: LeavingHold::default(),
            readiness_rate_limit: PublishRateLimit::default(),
            snapshots_rate_limit: PublishRateLimit::default(),
        }
    }

    /// Records a change of a fact, observed here or at a peer, so that all observers of a flapping
    /// back end back off.
    fn record_change(&mut self, parameters: &HealthParameters, now: Timestamp, fact: &HealthFact) {
        match fact {
            HealthFact::Readiness(readiness) => {
                self.readiness_rate_limit.record_change(parameters, now);
                self.update_leaving_hold(now, *readiness);
            }
            HealthFact::Snapshots(_) => self.snapshots_rate_limit.record_change(parameters, now),
            HealthFact::Unreachable(_) => {}
        }
    }

    /// Starts, keeps or ends the hold-down of a leaving back end.
    fn update_leaving_hold(&mut self, now: Timestamp, readiness: Readiness) {
        match readiness {
            Readiness::Leaving => self.leaving_hold.leaving_reported(now),
            Readiness::Ready | Readiness::Cold => self.leaving_hold.reset(),
        }
    }

    /// Whether to accept and publish a report of readiness.
    fn accepts_ready(&mut self, parameters: &HealthParameters, now: Timestamp) -> bool {
        self.leaving_hold.accepts_ready(parameters, now) && self.readiness_rate_limit.allows(now)
    }
}
