//! Configuration gossip: push rounds, pull requests, and low-rate anti-entropy.
//!
//! A node that accepts a generation announces it to random peers in several rounds at growing
//! intervals. A peer with an older generation requests a delta to its own. Periodic anti-entropy
//! with random peers reaches the nodes that missed the rounds, and spreads the time of the last
//! platform contact.
//!
//! See A. Demers et al., "Epidemic algorithms for replicated database maintenance",
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

/// Most announcers remembered as sources of a generation.
const MAX_PULL_SOURCES: usize = 4;

/// Smallest gain in freshness that is taken over from a peer; larger than the message delay.
const MIN_PLATFORM_AGE_GAIN: Duration = Duration::from_secs(1);

/// Gossip state of one node.
#[derive(Debug)]
pub(super) struct Gossip {
    parameters: ConfigurationParameters,
    peers: Peers,
    standbys: Vec<SocketAddr>,
    activated_at: Timestamp,
    next_push_round: Option<usize>,
    next_anti_entropy: Timestamp,
    next_standby_announcement: Timestamp,
    pull: Option<PendingPull>,
    bundle_window_start: Timestamp,
    bundles_in_window: u32,
    last_platform_contact: Option<Timestamp>,
}

/// A configuration that is requested from peers until it arrives.
#[derive(Debug)]
struct PendingPull {
    /// Newest announced generation; `None` while any generation will do.
    generation: Option<Generation>,
    sources: VecDeque<SocketAddr>,
    next_request: Timestamp,
    requested: bool,
    attempts: u32,
    /// Request the whole bundle, because a delta did not apply.
    needs_whole_bundle: bool,
}

/// Summary and digest of the active configuration, as sent to peers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalState {
    pub(super) summary: Option<GenerationSummary>,
    pub(super) digest: Option<Digest>,
}

impl LocalState {
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
            activated_at: Timestamp::ZERO,
            next_push_round: None,
            next_anti_entropy: Timestamp::ZERO,
            next_standby_announcement: Timestamp::ZERO,
            pull: None,
            bundle_window_start: Timestamp::ZERO,
            bundles_in_window: 0,
            last_platform_contact: None,
        }
    }

    /// Time since the last known platform contact of any reader.
    pub(super) fn platform_age(&self, now: Timestamp) -> Option<Duration> {
        self.last_platform_contact.map(|contact| now.since(contact))
    }

    pub(super) fn record_platform_contact(&mut self, at: Timestamp) {
        self.last_platform_contact = self.last_platform_contact.max(Some(at));
    }

    pub(super) fn peer_count(&self) -> usize {
        self.peers.count()
    }

    /// Takes a platform contact that a peer reports, unless the gain in freshness is small: the
    /// age omits the message delay, so an echo of this node's own contact looks slightly fresher.
    pub(super) fn observe_peer_platform_contact(&mut self, at: Timestamp) {
        let gains = |known: Timestamp| at.since(known) >= MIN_PLATFORM_AGE_GAIN;
        if self.last_platform_contact.is_none_or(gains) {
            self.record_platform_contact(at);
        }
    }

    /// Standby readers that this reader announces to regularly; empty on other nodes.
    pub(super) fn set_standbys(&mut self, standbys: Vec<SocketAddr>) {
        self.standbys = standbys;
    }

    /// Updates the peers. A node without a configuration requests one as soon as it has a peer.
    pub(super) fn members_changed(&mut self, now: Timestamp, view: &MemberView, local: LocalState) {
        self.peers = Peers::of(view);
        if local.summary.is_none() && self.pull.is_none() && !self.peers.is_empty() {
            self.pull = Some(PendingPull::new(None, now));
        }
    }

    /// Starts the announcement of an activated generation and ends its pull.
    pub(super) fn generation_activated(&mut self, now: Timestamp, generation: Generation) {
        self.activated_at = now;
        self.next_push_round = Some(0);
        let satisfied =
            |pull: &PendingPull| pull.generation.is_none_or(|least| least <= generation);
        if self.pull.as_ref().is_some_and(satisfied) {
            self.pull = None;
        } else if let Some(pull) = &mut self.pull {
            pull.needs_whole_bundle = false;
            pull.requested = false;
            pull.next_request = now;
        }
    }

    /// Requests the whole bundle of a generation whose delta did not apply.
    pub(super) fn delta_failed(&mut self, now: Timestamp, generation: Generation) {
        let pull = self
            .pull
            .get_or_insert_with(|| PendingPull::new(Some(generation), now));
        pull.needs_whole_bundle = true;
        pull.requested = false;
        pull.next_request = now;
    }

    /// Starts or updates the pull of a newer generation that a peer has.
    pub(super) fn observe_generation(
        &mut self,
        now: Timestamp,
        generation: Generation,
        from: SocketAddr,
    ) {
        let pull = self.pull.get_or_insert_with(|| PendingPull::new(None, now));
        if pull.generation < Some(generation) {
            pull.generation = Some(generation);
            pull.sources.clear();
        }
        if pull.generation == Some(generation) && !pull.sources.contains(&from) {
            pull.sources.push_back(from);
            pull.sources.truncate(MAX_PULL_SOURCES);
            if !pull.requested {
                pull.next_request = now;
            }
        }
    }

    /// Whether a peer has an older generation or a much older platform contact than this node.
    pub(super) fn is_peer_behind(
        &self,
        now: Timestamp,
        local: LocalState,
        theirs: Option<GenerationSummary>,
        their_platform_age: Option<Duration>,
    ) -> bool {
        if local.generation() > theirs.map(|summary| summary.generation) {
            return true;
        }
        match (self.platform_age(now), their_platform_age) {
            (Some(_), None) => true,
            (Some(ours), Some(theirs)) => ours + self.parameters.platform_news_gap < theirs,
            (None, _) => false,
        }
    }

    /// Whether the rate limit admits another whole bundle now; counts it if so.
    pub(super) fn admit_whole_bundle(&mut self, now: Timestamp) -> bool {
        if now.since(self.bundle_window_start) >= Duration::from_secs(1) {
            self.bundle_window_start = now;
            self.bundles_in_window = 0;
        }
        let admitted = self.bundles_in_window < self.parameters.whole_bundles_per_second;
        self.bundles_in_window += u32::from(admitted);
        admitted
    }

    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        if self.peers.is_empty() {
            return None;
        }
        let standby = (!self.standbys.is_empty()).then_some(self.next_standby_announcement);
        let request = self.pull.as_ref().map(|pull| pull.next_request);
        let timeouts = [
            self.next_push_at(),
            Some(self.next_anti_entropy),
            standby,
            request,
        ];
        timeouts.into_iter().flatten().min()
    }

    pub(super) fn timer_due(
        &mut self,
        context: &mut Context<'_>,
        local: LocalState,
        counters: &mut ConfigurationCounters,
    ) {
        if self.peers.is_empty() {
            return;
        }
        self.push(context, local, counters);
        self.pull(context, local, counters);
        self.run_anti_entropy(context, local, counters);
        self.announce_to_standbys(context, local, counters);
    }

    pub(super) fn announce(
        &self,
        context: &mut Context<'_>,
        to: SocketAddr,
        local: LocalState,
        counters: &mut ConfigurationCounters,
    ) {
        counters.announcements_sent += 1;
        let age = self.platform_age(context.now);
        let message = ConfigurationMessage::Announce {
            summary: local.summary,
            platform_age_ms: age.map(|age| age.as_millis() as u64),
        };
        send(context, to, message);
    }

    fn next_push_at(&self) -> Option<Timestamp> {
        let after = self.parameters.push_rounds.get(self.next_push_round?)?;
        Some(self.activated_at + *after)
    }

    fn push(
        &mut self,
        context: &mut Context<'_>,
        local: LocalState,
        counters: &mut ConfigurationCounters,
    ) {
        while self.next_push_at().is_some_and(|at| context.now >= at) {
            self.next_push_round = self.next_push_round.map(|round| round + 1);
            for _ in 0..self.parameters.push_fanout {
                if let Some(peer) = self.random_peer(context) {
                    self.announce(context, peer, local, counters);
                }
            }
        }
    }

    fn pull(
        &mut self,
        context: &mut Context<'_>,
        local: LocalState,
        counters: &mut ConfigurationCounters,
    ) {
        let random_peer = self.random_peer(context);
        let Some(pull) = &mut self.pull else {
            return;
        };
        if context.now < pull.next_request {
            return;
        }
        counters.requests_unanswered += u64::from(pull.requested);
        let Some(peer) = pull.sources.pop_front().or(random_peer) else {
            return;
        };
        let maximum = match local.summary {
            Some(_) => self.parameters.pull_timeout_maximum,
            None => self.parameters.first_pull_timeout_maximum,
        };
        let timeout = pull.timeout(self.parameters.pull_timeout, maximum);
        let jitter = context.random.random_range(0.75..1.25);
        pull.next_request = context.now + timeout.mul_f64(jitter);
        pull.requested = true;
        pull.attempts += 1;
        counters.requests_sent += 1;
        let message = ConfigurationMessage::Request {
            base: local.digest.filter(|_| !pull.needs_whole_bundle),
            generation: local.generation(),
        };
        send(context, peer, message);
    }

    fn run_anti_entropy(
        &mut self,
        context: &mut Context<'_>,
        local: LocalState,
        counters: &mut ConfigurationCounters,
    ) {
        if context.now < self.next_anti_entropy {
            return;
        }
        let jitter = context.random.random_range(0.5..1.5);
        let interval = self.parameters.anti_entropy_interval.mul_f64(jitter);
        self.next_anti_entropy = context.now + interval;
        let has_state = local.summary.is_some() || self.last_platform_contact.is_some();
        if has_state && let Some(peer) = self.random_peer(context) {
            self.announce(context, peer, local, counters);
        }
    }

    fn announce_to_standbys(
        &mut self,
        context: &mut Context<'_>,
        local: LocalState,
        counters: &mut ConfigurationCounters,
    ) {
        if context.now < self.next_standby_announcement || self.standbys.is_empty() {
            return;
        }
        self.next_standby_announcement = context.now + self.parameters.standby_interval;
        for standby in self.standbys.clone() {
            self.announce(context, standby, local, counters);
        }
    }

    fn random_peer(&self, context: &mut Context<'_>) -> Option<SocketAddr> {
        self.peers
            .draw(context.random, self.parameters.one_remote_in)
    }
}

impl PendingPull {
    fn new(generation: Option<Generation>, now: Timestamp) -> Self {
        Self {
            generation,
            sources: VecDeque::new(),
            next_request: now,
            requested: false,
            attempts: 0,
            needs_whole_bundle: false,
        }
    }

    fn timeout(&self, first: Duration, maximum: Duration) -> Duration {
        let factor = 1 << self.attempts.min(8);
        first.saturating_mul(factor).min(maximum)
    }
}

pub(super) fn send(context: &mut Context<'_>, to: SocketAddr, message: ConfigurationMessage) {
    context.act(Action::SendPeer {
        to,
        message: PeerMessage::Configuration(message),
    });
}
