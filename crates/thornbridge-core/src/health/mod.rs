//! Sharing of back ends' health among nodes, as changes only.
//!
//! Probing is divided: in each region a few nodes probe a back end (`assignment`). What they
//! see is kept as facts (`facts`) that all nodes hold alike; a change is gossiped once, and
//! digests are compared now and then. Load is not shared, since it is old before it arrives.
//! A back end's own word (readiness, snapshots) is taken from any observer; that it cannot be
//! reached is believed of oneself, or where observers of the same region agree.

mod assignment;
mod facts;
mod learning;
mod observation;
mod parameters;
mod spreading;
mod watching;

pub use parameters::{HealthCounters, HealthParameters};

use crate::configuration::InForce;
use crate::context::Context;
use crate::gossip::{SendBudget, SyncSchedule, TransmissionQueue};
use crate::membership::MemberView;
use crate::signal::Signal;
use crate::time::Timestamp;
use assignment::Observers;
use facts::{FactName, Facts};
use learning::Learning;
use observation::{LeavingHold, Probing, PublishLimit};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::health::{BackEndKey, HealthChange, HealthFact, HealthRecord};
use thornbridge_proto::{BackEndId, ZoneName};

/// Changes of membership are gathered this long before probing is divided anew.
const ASSIGNMENT_DELAY: Duration = Duration::from_millis(500);

/// One back end of the configuration in force.
#[derive(Debug)]
struct Watched {
    id: BackEndId,
    address: SocketAddr,
    zone: ZoneName,
    facts: Facts,
    probing: Option<Probing>,
    hold: LeavingHold,
    readiness_limit: PublishLimit,
    snapshots_limit: PublishLimit,
}

/// Health sharing of one node.
#[derive(Debug)]
pub struct HealthSharing {
    parameters: HealthParameters,
    back_ends: BTreeMap<BackEndKey, Watched>,
    observers: Observers,
    neighbours: Vec<PeerEndpoint>,
    members: usize,
    schedule: BTreeSet<(Timestamp, BackEndKey)>,
    stretch: f64,
    assign_at: Option<Timestamp>,
    queue: TransmissionQueue<(BackEndKey, FactName), HealthChange>,
    budget: SendBudget,
    sync_budget: SendBudget,
    sync: SyncSchedule,
    next_gossip: Timestamp,
    expects_peers: bool,
    learning: Learning,
    counters: HealthCounters,
}

impl HealthSharing {
    /// Health sharing without back ends, on a node that expects to find peers or not.
    pub fn new(parameters: HealthParameters, expects_peers: bool) -> Self {
        Self {
            budget: SendBudget::new(
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
            members: 1,
            schedule: BTreeSet::new(),
            stretch: 1.0,
            assign_at: None,
            queue: TransmissionQueue::default(),
            next_gossip: Timestamp::ZERO,
            expects_peers,
            learning: Learning::Idle,
            counters: HealthCounters::default(),
        }
    }

    /// Takes a new configuration. Back ends that are not in it are forgotten.
    pub fn install(&mut self, context: &mut Context<'_>, in_force: &InForce) {
        let mut before = std::mem::take(&mut self.back_ends);
        for back_end in in_force.bundle.back_ends() {
            let key = facts::key_of(&back_end.id);
            let kept = before.remove(&key);
            let mut watched = kept.unwrap_or_else(|| Watched::new(back_end.id.clone(), back_end));
            watched.address = back_end.address;
            watched.zone = back_end.zone.clone();
            self.back_ends.insert(key, watched);
        }
        for (key, gone) in before {
            if let Some(probing) = gone.probing {
                self.schedule.remove(&(probing.due, key));
            }
        }
        self.assign(context);
        self.sync.hasten(context.now, context.random);
        self.learning.begin(&self.parameters, context.now);
        if !self.expects_peers && self.neighbours.is_empty() {
            self.learning = Learning::Done;
        }
        self.learn(context);
    }

    /// Takes a new member list.
    pub fn members_changed(&mut self, context: &mut Context<'_>, view: &MemberView) {
        self.observers = Observers::new(view);
        self.neighbours = view.neighbours().to_vec();
        self.members = view.members().len();
        if self.assign_at.is_none() {
            self.assign_at = Some(context.now + ASSIGNMENT_DELAY);
        }
        if self.sync.next() == Timestamp::MAX && !self.neighbours.is_empty() {
            self.sync.plan(context.now, context.random);
        }
        self.learn(context);
    }

    /// Whether this node knows which back ends leave, as far as its peers do.
    pub fn is_informed(&self) -> bool {
        self.learning == Learning::Done
    }

    /// Counters.
    pub fn counters(&self) -> &HealthCounters {
        &self.counters
    }

    /// What is known of a back end, as this node believes it.
    pub fn record(&self, back_end: &BackEndId) -> Option<HealthRecord> {
        let watched = self.back_ends.get(&facts::key_of(back_end))?;
        Some(self.record_of(watched))
    }

    /// When [`Self::timer_due`] wants to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let probe = self.schedule.first().map(|(due, _)| *due);
        let linked = !self.neighbours.is_empty();
        let gossip = (linked && !self.queue.is_empty()).then_some(self.next_gossip);
        let sync = linked.then_some(self.sync.next());
        let learning = self.learning.next_timeout(linked);
        [probe, gossip, sync, learning, self.assign_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Probes and gossips when it is time.
    pub fn timer_due(&mut self, context: &mut Context<'_>) {
        if self.assign_at.is_some_and(|due| due <= context.now) {
            self.assign(context);
        }
        self.learn(context);
        self.probes_due(context);
        self.gossip_due(context);
        self.sync_due(context);
    }

    /// The process was paused: probes under way mean nothing.
    pub fn clock_jumped(&mut self, context: &mut Context<'_>) {
        self.restart_probes(context);
        self.sync.hasten(context.now, context.random);
    }

    fn record_of(&self, watched: &Watched) -> HealthRecord {
        watched
            .facts
            .record(self.observers.own(), self.is_reachable(&watched.facts))
    }

    /// Own failures count at once; those of others where enough of this region agree.
    fn is_reachable(&self, facts: &Facts) -> bool {
        if facts.is_unreachable_from(self.observers.own()) {
            return false;
        }
        let agreeing = self.observers.in_own_region(facts.unreachable_from());
        let wanted = self.parameters.agreeing_observers;
        agreeing < wanted.min(self.observers.count_in_region()).max(1)
    }

    /// Tells the other parts of this node what it believes of a back end.
    fn tell(&self, context: &mut Context<'_>, key: BackEndKey) {
        if let Some(watched) = self.back_ends.get(&key) {
            context.signal(Signal::BackEndHealth(self.record_of(watched)));
        }
    }
}

impl Watched {
    fn new(id: BackEndId, back_end: &thornbridge_config::bundle::BackEnd) -> Self {
        Self {
            facts: Facts::new(id.clone()),
            id,
            address: back_end.address,
            zone: back_end.zone.clone(),
            probing: None,
            hold: LeavingHold::default(),
            readiness_limit: PublishLimit::default(),
            snapshots_limit: PublishLimit::default(),
        }
    }

    /// Notes a change of a fact, whoever saw it: all observers of a back end that contradicts
    /// itself slow down together.
    fn note_change(&mut self, parameters: &HealthParameters, now: Timestamp, fact: &HealthFact) {
        match fact {
            HealthFact::Readiness(readiness) => {
                self.readiness_limit.changed(parameters, now);
                self.follow(now, *readiness);
            }
            HealthFact::Snapshots(_) => self.snapshots_limit.changed(parameters, now),
            HealthFact::Unreachable(_) => {}
        }
    }

    /// Starts, keeps or ends the hold of a back end that leaves.
    fn follow(&mut self, now: Timestamp, readiness: Readiness) {
        match readiness {
            Readiness::Leaving => self.hold.leaving(now),
            Readiness::Ready | Readiness::Cold => self.hold.ended(),
        }
    }

    /// Whether a word that it takes work is to be published now.
    fn may_return(&mut self, parameters: &HealthParameters, now: Timestamp) -> bool {
        self.hold.believes(parameters, now) && self.readiness_limit.allows(now)
    }
}
