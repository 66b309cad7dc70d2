//! Spreading among peers: announcements in rounds, requests, and low-rate anti-entropy.
//!
//! A node that accepts a generation announces it to a few random peers, several times at growing
//! intervals; a peer that has less asks for the difference to what it has. A steady, slow exchange
//! with random peers finds whoever was missed and spreads when the platform was last heard.
//!
//! Source: A. Demers et al., "Epidemic algorithms for replicated database maintenance",
//! PODC 1987 (rumour mongering backed by anti-entropy).

use super::parameters::{ConfigurationCounters, ConfigurationParameters};
use super::peers::Peers;
use crate::context::Context;
use crate::driver_action::Action;
use crate::membership::MemberView;
use crate::time::Timestamp;
use rand::Rng;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::configuration::{ConfigurationMessage, GenerationSummary};
use thornbridge_proto::{Digest, Generation};

/// Announcers remembered as sources of a generation that is wanted.
const SOURCES: usize = 4;

/// Least gain in freshness that counts when a peer tells of the platform; above any usual time
/// of a message between regions.
const PLATFORM_NEWS_GAIN: Duration = Duration::from_secs(1);

/// What a node tells and asks its peers.
#[derive(Debug)]
pub(super) struct Gossip {
    parameters: ConfigurationParameters,
    peers: Peers,
    standbys: Vec<SocketAddr>,
    accepted_at: Timestamp,
    next_round: Option<usize>,
    next_anti_entropy: Timestamp,
    next_standby: Timestamp,
    wanted: Option<Wanted>,
    wholes_from: Timestamp,
    wholes_sent: u32,
    platform_heard: Option<Timestamp>,
}

/// A configuration that is being asked for.
#[derive(Debug)]
struct Wanted {
    /// Newest generation heard of; absent while any will do.
    generation: Option<Generation>,
    sources: VecDeque<SocketAddr>,
    ask_at: Timestamp,
    asked: bool,
    attempts: u32,
    /// Ask for the whole bundle: a delta did not apply.
    whole: bool,
}

/// What the node has, as its messages state it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Own {
    pub(super) summary: Option<GenerationSummary>,
    pub(super) digest: Option<Digest>,
}

impl Own {
    fn generation(&self) -> Option<Generation> {
        self.summary.map(|summary| summary.generation)
    }
}

impl Gossip {
    pub(super) fn new(parameters: ConfigurationParameters) -> Self {
        Self {
            parameters,
            peers: Peers::default(),
            standbys: Vec::new(),
            accepted_at: Timestamp::ZERO,
            next_round: None,
            next_anti_entropy: Timestamp::ZERO,
            next_standby: Timestamp::ZERO,
            wanted: None,
            wholes_from: Timestamp::ZERO,
            wholes_sent: 0,
            platform_heard: None,
        }
    }

    /// Time since the platform answered a reader, as far as is known here.
    pub(super) fn platform_age(&self, now: Timestamp) -> Option<Duration> {
        self.platform_heard.map(|heard| now.since(heard))
    }

    pub(super) fn record_platform_contact(&mut self, at: Timestamp) {
        self.platform_heard = self.platform_heard.max(Some(at));
    }

    pub(super) fn peers_known(&self) -> usize {
        self.peers.count()
    }

    /// A peer heard the platform, or heard of it. Its age leaves out the message's way here, so
    /// that an echo of one's own news looks a little fresher; small gains are therefore none.
    pub(super) fn platform_heard_by_peer(&mut self, at: Timestamp) {
        let gain = |held: Timestamp| at.since(held) >= PLATFORM_NEWS_GAIN;
        if self.platform_heard.is_none_or(gain) {
            self.record_platform_contact(at);
        }
    }

    /// Nodes that a reader keeps informed; empty on other nodes.
    pub(super) fn set_standbys(&mut self, standbys: Vec<SocketAddr>) {
        self.standbys = standbys;
    }

    /// The members changed. A node without a configuration asks as soon as it knows a peer.
    pub(super) fn members_changed(&mut self, now: Timestamp, view: &MemberView, own: Own) {
        self.peers = Peers::of(view);
        if own.summary.is_none() && self.wanted.is_none() && !self.peers.is_empty() {
            self.wanted = Some(Wanted::new(None, now));
        }
    }

    /// A generation came into force here: announce it, and stop asking for it.
    pub(super) fn accepted(&mut self, now: Timestamp, generation: Generation) {
        self.accepted_at = now;
        self.next_round = Some(0);
        let satisfied = |wanted: &Wanted| wanted.generation.is_none_or(|want| want <= generation);
        if self.wanted.as_ref().is_some_and(satisfied) {
            self.wanted = None;
        } else if let Some(wanted) = &mut self.wanted {
            wanted.whole = false;
            wanted.asked = false;
            wanted.ask_at = now;
        }
    }

    /// A delta did not lead to what its record says: ask somebody for the whole bundle.
    pub(super) fn delta_failed(&mut self, now: Timestamp, generation: Generation) {
        let wanted = self
            .wanted
            .get_or_insert_with(|| Wanted::new(Some(generation), now));
        wanted.whole = true;
        wanted.asked = false;
        wanted.ask_at = now;
    }

    /// A peer has a generation that this node has not.
    pub(super) fn heard_of(&mut self, now: Timestamp, generation: Generation, from: SocketAddr) {
        let wanted = self.wanted.get_or_insert_with(|| Wanted::new(None, now));
        if wanted.generation < Some(generation) {
            wanted.generation = Some(generation);
            wanted.sources.clear();
        }
        if wanted.generation == Some(generation) && !wanted.sources.contains(&from) {
            wanted.sources.push_back(from);
            wanted.sources.truncate(SOURCES);
            if !wanted.asked {
                wanted.ask_at = now;
            }
        }
    }

    /// Whether a peer's news calls for an answer: it has less, or knows less of the platform.
    pub(super) fn has_news_for(
        &self,
        now: Timestamp,
        own: Own,
        theirs: Option<GenerationSummary>,
        their_platform_age: Option<Duration>,
    ) -> bool {
        if own.generation() > theirs.map(|summary| summary.generation) {
            return true;
        }
        match (self.platform_age(now), their_platform_age) {
            (Some(_), None) => true,
            (Some(own), Some(theirs)) => own + self.parameters.platform_news_gap < theirs,
            (None, _) => false,
        }
    }

    /// Whether another whole bundle may be sent now.
    pub(super) fn may_send_whole(&mut self, now: Timestamp) -> bool {
        if now.since(self.wholes_from) >= Duration::from_secs(1) {
            self.wholes_from = now;
            self.wholes_sent = 0;
        }
        let may = self.wholes_sent < self.parameters.whole_bundles_per_second;
        self.wholes_sent += u32::from(may);
        may
    }

    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        if self.peers.is_empty() {
            return None;
        }
        let standby = (!self.standbys.is_empty()).then_some(self.next_standby);
        let ask = self.wanted.as_ref().map(|wanted| wanted.ask_at);
        let timeouts = [self.round_at(), Some(self.next_anti_entropy), standby, ask];
        timeouts.into_iter().flatten().min()
    }

    pub(super) fn timer_due(
        &mut self,
        context: &mut Context<'_>,
        own: Own,
        counters: &mut ConfigurationCounters,
    ) {
        if self.peers.is_empty() {
            return;
        }
        self.push(context, own, counters);
        self.ask(context, own, counters);
        self.exchange(context, own, counters);
        self.inform_standbys(context, own, counters);
    }

    pub(super) fn announce(
        &self,
        context: &mut Context<'_>,
        to: SocketAddr,
        own: Own,
        counters: &mut ConfigurationCounters,
    ) {
        counters.announcements_sent += 1;
        let age = self.platform_age(context.now);
        let message = ConfigurationMessage::Announce {
            summary: own.summary,
            platform_age_ms: age.map(|age| age.as_millis() as u64),
        };
        send(context, to, message);
    }

    fn round_at(&self) -> Option<Timestamp> {
        let after = self.parameters.push_rounds.get(self.next_round?)?;
        Some(self.accepted_at + *after)
    }

    fn push(&mut self, context: &mut Context<'_>, own: Own, counters: &mut ConfigurationCounters) {
        while self.round_at().is_some_and(|at| context.now >= at) {
            self.next_round = self.next_round.map(|round| round + 1);
            for _ in 0..self.parameters.push_fanout {
                if let Some(peer) = self.draw(context) {
                    self.announce(context, peer, own, counters);
                }
            }
        }
    }

    fn ask(&mut self, context: &mut Context<'_>, own: Own, counters: &mut ConfigurationCounters) {
        let drawn = self.draw(context);
        let Some(wanted) = &mut self.wanted else {
            return;
        };
        if context.now < wanted.ask_at {
            return;
        }
        counters.requests_unanswered += u64::from(wanted.asked);
        let Some(peer) = wanted.sources.pop_front().or(drawn) else {
            return;
        };
        let longest = match own.summary {
            Some(_) => self.parameters.pull_timeout_maximum,
            None => self.parameters.first_pull_timeout_maximum,
        };
        let timeout = wanted.timeout(self.parameters.pull_timeout, longest);
        let jitter = context.random.random_range(0.75..1.25);
        wanted.ask_at = context.now + timeout.mul_f64(jitter);
        wanted.asked = true;
        wanted.attempts += 1;
        counters.requests_sent += 1;
        let message = ConfigurationMessage::Request {
            base: own.digest.filter(|_| !wanted.whole),
            generation: own.generation(),
        };
        send(context, peer, message);
    }

    fn exchange(
        &mut self,
        context: &mut Context<'_>,
        own: Own,
        counters: &mut ConfigurationCounters,
    ) {
        if context.now < self.next_anti_entropy {
            return;
        }
        let jitter = context.random.random_range(0.5..1.5);
        let interval = self.parameters.anti_entropy_interval.mul_f64(jitter);
        self.next_anti_entropy = context.now + interval;
        let worth_telling = own.summary.is_some() || self.platform_heard.is_some();
        if worth_telling && let Some(peer) = self.draw(context) {
            self.announce(context, peer, own, counters);
        }
    }

    fn inform_standbys(
        &mut self,
        context: &mut Context<'_>,
        own: Own,
        counters: &mut ConfigurationCounters,
    ) {
        if context.now < self.next_standby || self.standbys.is_empty() {
            return;
        }
        self.next_standby = context.now + self.parameters.standby_interval;
        for standby in self.standbys.clone() {
            self.announce(context, standby, own, counters);
        }
    }

    fn draw(&self, context: &mut Context<'_>) -> Option<SocketAddr> {
        self.peers
            .draw(context.random, self.parameters.one_remote_in)
    }
}

impl Wanted {
    fn new(generation: Option<Generation>, now: Timestamp) -> Self {
        Self {
            generation,
            sources: VecDeque::new(),
            ask_at: now,
            asked: false,
            attempts: 0,
            whole: false,
        }
    }

    fn timeout(&self, first: Duration, longest: Duration) -> Duration {
        let factor = 1 << self.attempts.min(8);
        first.saturating_mul(factor).min(longest)
    }
}

pub(super) fn send(context: &mut Context<'_>, to: SocketAddr, message: ConfigurationMessage) {
    context.act(Action::SendPeer {
        to,
        message: PeerMessage::Configuration(message),
    });
}
