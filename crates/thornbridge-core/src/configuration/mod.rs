//! The active configuration of a node, and its dissemination.
//!
//! A few nodes hold reader leases ([`crate::lease`]) and read the platform; all others receive
//! configurations from peers. From either source, a generation is activated only if it is newer
//! than the active one, its approval is signed by a trusted key, and its content has the approved
//! digest.

mod active;
mod gossip;
mod parameters;
mod peers;
mod platform_reader;
mod register;

pub use active::{ActiveConfiguration, ActiveConfigurationError};
pub use parameters::{ConfigurationCounters, ConfigurationParameters};

use crate::context::Context;
use crate::driver_action::{Action, OperationId, StateChange, WatchId};
use crate::membership::MemberView;
use crate::signal::Signal;
use crate::time::Timestamp;
use gossip::{Gossip, LocalState};
use platform_reader::{PlatformReader, ReaderUpdate};
use register::{Register, Rejection};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::approval::TrustedKey;
use thornbridge_config::canonical::{SectionDelta, SectionSet};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::configuration::{
    ConfigurationMessage, GenerationRecord, GenerationSummary,
};
use thornbridge_proto::platform::{PlatformFailure, PlatformResponse, WatchChange, WatchEnd};
use thornbridge_proto::{Digest, Generation};

/// Configuration state of one node: register, gossip and platform reader.
#[derive(Debug)]
pub struct ConfigurationRegister {
    register: Register,
    gossip: Gossip,
    reader: PlatformReader,
    counters: ConfigurationCounters,
    last_rejection: Option<String>,
}

impl ConfigurationRegister {
    /// An empty register.
    pub fn new(parameters: ConfigurationParameters, trusted_keys: Vec<TrustedKey>) -> Self {
        Self {
            register: Register::new(trusted_keys, parameters.kept_generations),
            gossip: Gossip::new(parameters.clone()),
            reader: PlatformReader::new(parameters),
            counters: ConfigurationCounters::default(),
            last_rejection: None,
        }
    }

    /// The active configuration; `None` before the first.
    pub fn active(&self) -> Option<&Arc<ActiveConfiguration>> {
        self.register.active()
    }

    /// Counters since the start of the node.
    pub fn counters(&self) -> &ConfigurationCounters {
        &self.counters
    }

    /// Time since the last known platform contact of any reader.
    pub fn platform_age(&self, now: Timestamp) -> Option<Duration> {
        self.gossip.platform_age(now)
    }

    /// Whether this node's last platform request succeeded; `None` before the first.
    pub fn platform_reachable(&self) -> Option<bool> {
        self.reader.reachable()
    }

    /// Why no configuration is active; `None` when one is.
    pub fn unavailable_reason(&self) -> Option<String> {
        if self.active().is_some() {
            return None;
        }
        if let Some(rejection) = &self.last_rejection {
            return Some(format!(
                "the last received configuration was rejected: {rejection}"
            ));
        }
        let platform = match self.reader.reachable() {
            Some(true) => "the platform has no rollout",
            Some(false) => "the platform does not answer",
            None => "this node does not read the platform",
        };
        let (peers, requests) = (self.gossip.peer_count(), self.counters.requests_sent);
        Some(format!(
            "{platform}; no configuration received after {requests} requests to {peers} peers"
        ))
    }

    /// Records that the platform answered a reader at this time.
    pub fn record_platform_contact(&mut self, at: Timestamp) {
        self.gossip.record_platform_contact(at);
    }

    /// Starts or stops reading the platform when the reader lease is gained or lost.
    pub fn set_platform_reader(
        &mut self,
        context: &mut Context<'_>,
        reading: bool,
        standbys: Vec<SocketAddr>,
    ) {
        if reading == self.reader.is_active() && !reading {
            return;
        }
        self.gossip
            .set_standbys(if reading { standbys } else { Vec::new() });
        self.reader.set_active(context, reading);
    }

    /// Updates the gossip peers.
    pub fn members_changed(&mut self, now: Timestamp, view: &MemberView) {
        let local = self.local_state();
        self.gossip.members_changed(now, view, local);
    }

    /// Time at which [`Self::timer_due`] is due.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [self.gossip.next_timeout(), self.reader.next_timeout()];
        timeouts.into_iter().flatten().min()
    }

    /// Sends the gossip messages and platform requests that are due.
    pub fn timer_due(&mut self, context: &mut Context<'_>, last_operation: &mut u64) {
        self.reader
            .timer_due(context, last_operation, &mut self.counters);
        self.run_gossip(context);
    }

    /// Handles a platform reply, unless the operation is of another component.
    pub fn platform_reply(
        &mut self,
        context: &mut Context<'_>,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
        last_operation: &mut u64,
    ) {
        if !self.reader.is_in_flight(operation) {
            return;
        }
        if result.is_ok() {
            self.gossip.record_platform_contact(context.now);
        }
        let update = self
            .reader
            .platform_reply(context, result, &mut self.counters);
        self.apply_reader_update(context, update, last_operation);
    }

    /// Handles a change reported by a watch.
    pub fn watch_changed(
        &mut self,
        context: &mut Context<'_>,
        watch: WatchId,
        change: &WatchChange,
        last_operation: &mut u64,
    ) {
        if self.reader.is_watching(watch) {
            self.gossip.record_platform_contact(context.now);
            let update = self.reader.watch_changed(watch, change);
            self.apply_reader_update(context, update, last_operation);
        }
    }

    /// Handles the end of a watch.
    pub fn watch_ended(&mut self, context: &mut Context<'_>, watch: WatchId, end: WatchEnd) {
        self.reader
            .watch_ended(context, watch, end, &mut self.counters);
    }

    /// Handles a message from a peer.
    pub fn peer_message(
        &mut self,
        context: &mut Context<'_>,
        from: PeerEndpoint,
        message: ConfigurationMessage,
    ) {
        match message {
            ConfigurationMessage::Announce {
                summary,
                platform_age_ms,
            } => self.handle_announcement(context, from.address, summary, platform_age_ms),
            ConfigurationMessage::Request { base, generation } => {
                self.handle_request(context, from.address, base, generation);
            }
            ConfigurationMessage::Delta {
                record,
                base,
                changed,
                removed,
            } => {
                let delta = SectionDelta { changed, removed };
                self.handle_delta(context, record, base, delta);
            }
            ConfigurationMessage::Whole { record, sections } => {
                let result = self.check_record(&record).and_then(|()| {
                    let sections = SectionSet::received(sections);
                    self.register.activate_sections(record, sections)
                });
                self.finish_activation(context, result);
            }
        }
        self.run_gossip(context);
    }

    fn local_state(&self) -> LocalState {
        LocalState {
            summary: self.register.summary(),
            digest: self.register.digest(),
        }
    }

    fn run_gossip(&mut self, context: &mut Context<'_>) {
        let local = self.local_state();
        self.gossip.timer_due(context, local, &mut self.counters);
    }

    fn check_record(&mut self, record: &GenerationRecord) -> Result<(), Rejection> {
        self.register.check(record, &mut self.counters)
    }

    fn apply_reader_update(
        &mut self,
        context: &mut Context<'_>,
        update: Option<ReaderUpdate>,
        last_operation: &mut u64,
    ) {
        match update {
            Some(ReaderUpdate::Record(record)) => match self.check_record(&record) {
                Ok(()) => {
                    self.reader
                        .fetch(context, record, last_operation, &mut self.counters);
                }
                Err(rejection) => self.reject(context, &rejection),
            },
            Some(ReaderUpdate::Bundle(record, published)) => {
                let result = self
                    .check_record(&record)
                    .and_then(|()| self.register.activate_bundle(record, published.bundle));
                self.finish_activation(context, result);
            }
            Some(ReaderUpdate::Malformed(reason)) => self.reject_with_reason(context, reason),
            None => {}
        }
        self.run_gossip(context);
    }

    fn handle_announcement(
        &mut self,
        context: &mut Context<'_>,
        from: SocketAddr,
        theirs: Option<GenerationSummary>,
        platform_age_ms: Option<u64>,
    ) {
        let now = context.now;
        let age = platform_age_ms.map(Duration::from_millis);
        let local = self.local_state();
        if self.gossip.is_peer_behind(now, local, theirs, age) {
            self.gossip
                .announce(context, from, local, &mut self.counters);
        }
        if let Some(age) = age {
            self.gossip.observe_peer_platform_contact(now - age);
        }
        let Some(theirs) = theirs else {
            return;
        };
        if let Err(rejection) = self.register.check_conflict(theirs) {
            self.reject(context, &rejection);
        }
        if self.register.generation() < Some(theirs.generation) {
            self.gossip.observe_generation(now, theirs.generation, from);
        }
    }

    fn handle_request(
        &mut self,
        context: &mut Context<'_>,
        from: SocketAddr,
        base: Option<Digest>,
        theirs: Option<Generation>,
    ) {
        let local = self.register.generation();
        if let Some(theirs) = theirs
            && local < Some(theirs)
        {
            self.gossip.observe_generation(context.now, theirs, from);
        }
        if local <= theirs {
            return;
        }
        if let Some(delta) = base.and_then(|base| self.register.delta_from(base)) {
            self.counters.deltas_sent += 1;
            gossip::send(context, from, delta);
        } else if !self.gossip.admit_whole_bundle(context.now) {
            self.counters.wholes_withheld += 1;
        } else if let Some(whole) = self.register.whole_bundle() {
            self.counters.wholes_sent += 1;
            gossip::send(context, from, whole);
        }
    }

    fn handle_delta(
        &mut self,
        context: &mut Context<'_>,
        record: GenerationRecord,
        base: Digest,
        delta: SectionDelta,
    ) {
        let generation = record.generation;
        let checked = self.check_record(&record);
        let valid = checked.is_ok();
        let result = checked.and_then(|()| self.register.apply_delta(record, base, delta));
        if valid && result.is_err() {
            self.counters.deltas_failed += 1;
            self.gossip.delta_failed(context.now, generation);
        }
        self.finish_activation(context, result);
    }

    fn finish_activation(
        &mut self,
        context: &mut Context<'_>,
        result: Result<Arc<ActiveConfiguration>, Rejection>,
    ) {
        match result {
            Ok(active) => self.activate(context, active),
            Err(rejection) => self.reject(context, &rejection),
        }
    }

    fn activate(&mut self, context: &mut Context<'_>, active: Arc<ActiveConfiguration>) {
        self.counters.accepted += 1;
        let generation = active.record.generation;
        context.act(Action::StateChanged(StateChange::ConfigurationActivated {
            generation,
            version: active.record.version.clone(),
        }));
        context.signal(Signal::ConfigurationActivated(active));
        self.gossip.generation_activated(context.now, generation);
    }

    /// Counts and reports a rejection. Older generations are expected from stale peers and readers,
    /// and are only counted.
    fn reject(&mut self, context: &mut Context<'_>, rejection: &Rejection) {
        match rejection {
            Rejection::NotNewer { .. } | Rejection::OtherBase { .. } => self.counters.stale += 1,
            Rejection::Conflicting { generation } => {
                self.counters.conflicting += 1;
                self.counters.refused += 1;
                if self.register.is_first_conflict(*generation) {
                    report_rejection(context, rejection.to_string());
                }
            }
            Rejection::Approval { .. } | Rejection::Content { .. } => {
                self.reject_with_reason(context, rejection.to_string());
            }
        }
    }

    fn reject_with_reason(&mut self, context: &mut Context<'_>, reason: String) {
        self.counters.refused += 1;
        self.last_rejection = Some(reason.clone());
        report_rejection(context, reason);
    }
}

fn report_rejection(context: &mut Context<'_>, reason: String) {
    context.act(Action::StateChanged(StateChange::ConfigurationRejected {
        reason,
    }));
}
