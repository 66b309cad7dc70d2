//! Which configuration is in force here, and how it is learnt and spread.
//!
//! A few nodes hold reader leases ([`crate::lease`]) and read the platform; all others learn from
//! peers. Whatever the way, a generation is accepted only when it is newer than the one in force,
//! its approval is signed by a trusted key, and its content has the approved digest.

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
use gossip::{Gossip, Own};
use platform_reader::{News, PlatformReader};
use register::{Refusal, Register};
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

/// The configuration of one node: register, gossip, and, on a reader, the platform.
#[derive(Debug)]
pub struct ConfigurationRegister {
    register: Register,
    gossip: Gossip,
    reader: PlatformReader,
    counters: ConfigurationCounters,
    last_refusal: Option<String>,
}

impl ConfigurationRegister {
    /// An empty register.
    pub fn new(parameters: ConfigurationParameters, trusted_keys: Vec<TrustedKey>) -> Self {
        Self {
            register: Register::new(trusted_keys, parameters.kept_generations),
            gossip: Gossip::new(parameters.clone()),
            reader: PlatformReader::new(parameters),
            counters: ConfigurationCounters::default(),
            last_refusal: None,
        }
    }

    /// The configuration in force here.
    pub fn active(&self) -> Option<&Arc<ActiveConfiguration>> {
        self.register.active()
    }

    /// Counters.
    pub fn counters(&self) -> &ConfigurationCounters {
        &self.counters
    }

    /// Time since the platform answered a reader, as far as is known here.
    pub fn platform_age(&self, now: Timestamp) -> Option<Duration> {
        self.gossip.platform_age(now)
    }

    /// Whether the platform answered this node last time; absent where it never asked.
    pub fn platform_reachable(&self) -> Option<bool> {
        self.reader.reachable()
    }

    /// Why there is no configuration yet, in words; absent when there is one.
    pub fn unavailable_reason(&self) -> Option<String> {
        if self.active().is_some() {
            return None;
        }
        if let Some(refusal) = &self.last_refusal {
            return Some(format!("the last one seen was refused: {refusal}"));
        }
        let platform = match self.reader.reachable() {
            Some(true) => "the platform answers and names none",
            Some(false) => "the platform does not answer",
            None => "this node does not read the platform",
        };
        let (peers, asked) = (self.gossip.peers_known(), self.counters.requests_sent);
        Some(format!(
            "{platform}; {peers} peers known, asked {asked} times, none had one"
        ))
    }

    /// The platform was heard at this time, by this node or, as a peer tells, by another.
    pub fn record_platform_contact(&mut self, at: Timestamp) {
        self.gossip.record_platform_contact(at);
    }

    /// Reads the platform from now on, or no more, as the node's reader lease says.
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

    /// The members changed.
    pub fn members_changed(&mut self, now: Timestamp, view: &MemberView) {
        let own = self.own();
        self.gossip.members_changed(now, view, own);
    }

    /// When [`Self::timer_due`] wants to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [self.gossip.next_timeout(), self.reader.next_timeout()];
        timeouts.into_iter().flatten().min()
    }

    /// Announces, asks and reads what is due.
    pub fn timer_due(&mut self, context: &mut Context<'_>, last_operation: &mut u64) {
        self.reader
            .timer_due(context, last_operation, &mut self.counters);
        self.gossip_due(context);
    }

    /// Takes the platform's answer, if it is to this register's question.
    pub fn platform_reply(
        &mut self,
        context: &mut Context<'_>,
        operation: OperationId,
        result: &Result<PlatformResponse, PlatformFailure>,
        last_operation: &mut u64,
    ) {
        if !self.reader.awaits(operation) {
            return;
        }
        if result.is_ok() {
            self.gossip.record_platform_contact(context.now);
        }
        let news = self
            .reader
            .platform_reply(context, result, &mut self.counters);
        self.take_news(context, news, last_operation);
    }

    /// A watch saw a change.
    pub fn watch_changed(
        &mut self,
        context: &mut Context<'_>,
        watch: WatchId,
        change: &WatchChange,
        last_operation: &mut u64,
    ) {
        if self.reader.is_watching(watch) {
            self.gossip.record_platform_contact(context.now);
            let news = self.reader.watch_changed(watch, change);
            self.take_news(context, news, last_operation);
        }
    }

    /// A watch ended.
    pub fn watch_ended(&mut self, context: &mut Context<'_>, watch: WatchId, end: WatchEnd) {
        self.reader
            .watch_ended(context, watch, end, &mut self.counters);
    }

    /// Takes a peer's message.
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
            } => self.announced(context, from.address, summary, platform_age_ms),
            ConfigurationMessage::Request { base, generation } => {
                self.requested(context, from.address, base, generation);
            }
            ConfigurationMessage::Delta {
                record,
                base,
                changed,
                removed,
            } => {
                let delta = SectionDelta { changed, removed };
                self.delta_received(context, record, base, delta);
            }
            ConfigurationMessage::Whole { record, sections } => {
                let result = self.checked(&record).and_then(|()| {
                    let sections = SectionSet::received(sections);
                    self.register.accept_sections(record, sections)
                });
                self.conclude(context, result);
            }
        }
        self.gossip_due(context);
    }

    fn own(&self) -> Own {
        Own {
            summary: self.register.summary(),
            digest: self.register.digest(),
        }
    }

    fn gossip_due(&mut self, context: &mut Context<'_>) {
        let own = self.own();
        self.gossip.timer_due(context, own, &mut self.counters);
    }

    fn checked(&mut self, record: &GenerationRecord) -> Result<(), Refusal> {
        self.register.check(record, &mut self.counters)
    }

    fn take_news(
        &mut self,
        context: &mut Context<'_>,
        news: Option<News>,
        last_operation: &mut u64,
    ) {
        match news {
            Some(News::Record(record)) => match self.checked(&record) {
                Ok(()) => {
                    self.reader
                        .fetch(context, record, last_operation, &mut self.counters);
                }
                Err(refusal) => self.refuse(context, &refusal),
            },
            Some(News::Bundle(record, published)) => {
                let result = self
                    .checked(&record)
                    .and_then(|()| self.register.accept_bundle(record, published.bundle));
                self.conclude(context, result);
            }
            Some(News::Malformed(reason)) => self.tell_refused(context, reason),
            None => {}
        }
        self.gossip_due(context);
    }

    fn announced(
        &mut self,
        context: &mut Context<'_>,
        from: SocketAddr,
        theirs: Option<GenerationSummary>,
        platform_age_ms: Option<u64>,
    ) {
        let now = context.now;
        let age = platform_age_ms.map(Duration::from_millis);
        let own = self.own();
        if self.gossip.has_news_for(now, own, theirs, age) {
            self.gossip.announce(context, from, own, &mut self.counters);
        }
        if let Some(age) = age {
            self.gossip.platform_heard_by_peer(now - age);
        }
        let Some(theirs) = theirs else {
            return;
        };
        if let Err(refusal) = self.register.check_same(theirs) {
            self.refuse(context, &refusal);
        }
        if self.register.generation() < Some(theirs.generation) {
            self.gossip.heard_of(now, theirs.generation, from);
        }
    }

    fn requested(
        &mut self,
        context: &mut Context<'_>,
        from: SocketAddr,
        base: Option<Digest>,
        theirs: Option<Generation>,
    ) {
        let own = self.register.generation();
        if let Some(theirs) = theirs
            && own < Some(theirs)
        {
            self.gossip.heard_of(context.now, theirs, from);
        }
        if own <= theirs {
            return;
        }
        if let Some(delta) = base.and_then(|base| self.register.delta_from(base)) {
            self.counters.deltas_sent += 1;
            gossip::send(context, from, delta);
        } else if !self.gossip.may_send_whole(context.now) {
            self.counters.wholes_withheld += 1;
        } else if let Some(whole) = self.register.whole() {
            self.counters.wholes_sent += 1;
            gossip::send(context, from, whole);
        }
    }

    fn delta_received(
        &mut self,
        context: &mut Context<'_>,
        record: GenerationRecord,
        base: Digest,
        delta: SectionDelta,
    ) {
        let generation = record.generation;
        let checked = self.checked(&record);
        let valid = checked.is_ok();
        let result = checked.and_then(|()| self.register.accept_delta(record, base, delta));
        if valid && result.is_err() {
            self.counters.deltas_failed += 1;
            self.gossip.delta_failed(context.now, generation);
        }
        self.conclude(context, result);
    }

    fn conclude(
        &mut self,
        context: &mut Context<'_>,
        result: Result<Arc<ActiveConfiguration>, Refusal>,
    ) {
        match result {
            Ok(active) => self.install(context, active),
            Err(refusal) => self.refuse(context, &refusal),
        }
    }

    fn install(&mut self, context: &mut Context<'_>, active: Arc<ActiveConfiguration>) {
        self.counters.accepted += 1;
        let generation = active.record.generation;
        context.act(Action::StateChanged(StateChange::ConfigurationActivated {
            generation,
            version: active.record.version.clone(),
        }));
        context.signal(Signal::ConfigurationActivated(active));
        self.gossip.accepted(context.now, generation);
    }

    /// An older generation is no fault: a peer or a stale reader is behind. Everything else is.
    fn refuse(&mut self, context: &mut Context<'_>, refusal: &Refusal) {
        match refusal {
            Refusal::NotNewer { .. } | Refusal::OtherBase { .. } => self.counters.stale += 1,
            Refusal::Conflicting { generation } => {
                self.counters.conflicting += 1;
                self.counters.refused += 1;
                if self.register.is_first_conflict(*generation) {
                    tell(context, refusal.to_string());
                }
            }
            Refusal::Approval { .. } | Refusal::Content { .. } => {
                self.tell_refused(context, refusal.to_string());
            }
        }
    }

    fn tell_refused(&mut self, context: &mut Context<'_>, reason: String) {
        self.counters.refused += 1;
        self.last_refusal = Some(reason.clone());
        tell(context, reason);
    }
}

fn tell(context: &mut Context<'_>, reason: String) {
    context.act(Action::StateChanged(StateChange::ConfigurationRejected {
        reason,
    }));
}
