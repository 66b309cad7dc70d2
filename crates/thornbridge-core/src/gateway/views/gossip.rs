//! Exchange of views with peers by digests and pulls.
//!
//! A node sends its digest to a few peers when its views change, and periodically to a random peer.
//! A node that is behind a digest pulls the missing changes, preferably from a peer of its own zone
//! ([`super::zone_peers`]). Each node also polls a member before it in the reader order
//! ([`super::freshness`]), which replies with the time since the store confirmed its views.

use super::zone_peers::{ZonePeers, poll_targets};
use crate::gateway::action::GatewayAction;
use crate::gateway::parameters::ViewParameters;
use crate::gateway::servers::MemberLocation;
use crate::time::Timestamp;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::view::{RegistryDelta, StoreRevision, ViewDigest, ViewMessage};

/// Age difference from which a node replies to a digest of staler views.
const MIN_AGE_ADVANTAGE: Duration = Duration::from_millis(50);
/// Delay before the first retry of a pull; doubled with each retry.
const PULL_RETRY_BACKOFF: Duration = Duration::from_millis(400);
/// Retries after which the delay between pulls no longer grows.
const MAX_DOUBLINGS: u32 = 3;
/// Delay before a pull from a polled remote peer: a local peer may announce the change meanwhile.
const REMOTE_PULL_DELAY: Duration = Duration::from_millis(250);
/// Delay before a pull from a polled remote peer until every view has been received once.
const INITIAL_REMOTE_PULL_DELAY: Duration = Duration::from_millis(700);
/// Time between pulls from random peers until every view has been received once.
const INITIAL_PULL_INTERVAL: Duration = Duration::from_millis(200);
/// One in this many random peers is drawn from all zones instead of this node's zone.
const DRAWS_PER_REMOTE_PEER: u32 = 8;

/// Peer with newer views, and the next pull from it.
#[derive(Clone, Copy, Debug)]
struct PullTarget {
    peer: SocketAddr,
    digest: ViewDigest,
    pull_at: Timestamp,
    /// Pulls sent so far.
    pulls: u32,
}

/// The exchange of views with peers.
#[derive(Debug)]
pub(in crate::gateway) struct ViewGossip {
    parameters: ViewParameters,
    peers: ZonePeers,
    /// Members to poll, in order of preference.
    poll_targets: Vec<SocketAddr>,
    poll_index: usize,
    next_poll: Timestamp,
    /// Time of the last confirmation as of the previous poll.
    confirmed_at_last_poll: Option<Timestamp>,
    next_digest: Timestamp,
    pull_target: Option<PullTarget>,
    /// Next pull from a random peer until every view has been received once.
    next_initial_pull: Timestamp,
    /// Random draws of a peer so far.
    draws: u32,
    /// Earliest next pull from a remote peer: the reply to the last one may still be in flight.
    next_remote_pull: Timestamp,
}

impl ViewGossip {
    pub(in crate::gateway) fn new(parameters: ViewParameters) -> Self {
        Self {
            parameters,
            peers: ZonePeers::default(),
            poll_targets: Vec::new(),
            poll_index: 0,
            next_poll: Timestamp::ZERO,
            confirmed_at_last_poll: None,
            next_digest: Timestamp::ZERO,
            pull_target: None,
            next_initial_pull: Timestamp::ZERO,
            draws: 0,
            next_remote_pull: Timestamp::ZERO,
        }
    }

    /// Sets the members to exchange views with.
    pub(in crate::gateway) fn set_peers(
        &mut self,
        own: &MemberLocation,
        members: impl Iterator<Item = MemberLocation>,
    ) {
        self.peers = ZonePeers::new(own, members);
    }

    /// Sets the reader order and this node's position in it.
    pub(in crate::gateway) fn set_readers(
        &mut self,
        own: &MemberLocation,
        order: &[MemberLocation],
        rank: usize,
    ) {
        self.poll_targets = poll_targets(own, order, rank);
        self.poll_index = 0;
    }

    /// Draws a random peer: mostly of this node's zone, periodically of any zone.
    fn draw(&mut self, random: &mut Pcg64Mcg) -> Option<SocketAddr> {
        self.draws = self.draws.wrapping_add(1);
        match self.draws.is_multiple_of(DRAWS_PER_REMOTE_PEER) {
            true => self.peers.choose_any(random),
            false => self.peers.choose_local(random),
        }
    }

    /// Sends a digest to the current poll target, or to the next one if no newer confirmation arrived
    /// since the previous poll.
    fn poll(&mut self, actions: &mut VecDeque<GatewayAction>, own: ViewStatus) {
        if own.confirmed_at <= self.confirmed_at_last_poll {
            self.poll_index += 1;
        }
        self.confirmed_at_last_poll = own.confirmed_at;
        let index = self.poll_index % self.poll_targets.len();
        actions.push_back(send_digest(self.poll_targets[index], own));
    }

    /// When [`Self::timer_due`] is due next.
    pub(in crate::gateway) fn next_timeout(&self, own: ViewDigest) -> Option<Timestamp> {
        let initial_pull = self
            .needs_initial_pull(own)
            .then_some(self.next_initial_pull);
        let digest = (!self.peers.is_empty()).then_some(self.next_digest);
        let target = self.pull_target.as_ref();
        let pull = target.map(|target| self.pull_allowed_at(target.peer, target.pull_at));
        let poll = (!self.poll_targets.is_empty()).then_some(self.next_poll);
        [initial_pull, digest, pull, poll]
            .into_iter()
            .flatten()
            .min()
    }

    /// Sends the polls, digests and pulls that are due.
    pub(in crate::gateway) fn timer_due(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        view: ViewStatus,
    ) {
        let own = view.digest;
        if !self.poll_targets.is_empty() && self.next_poll <= now {
            self.next_poll = now + self.parameters.poll_interval;
            self.poll(actions, view);
        }
        if !self.peers.is_empty() && self.next_digest <= now {
            self.next_digest = now + self.parameters.digest_interval;
            let peer = self.draw(random);
            actions.extend(peer.map(|peer| send_digest(peer, view)));
        }
        if self.needs_initial_pull(own) && self.next_initial_pull <= now {
            self.next_initial_pull = now + INITIAL_PULL_INTERVAL;
            let peer = self.draw(random);
            let peer = peer.filter(|peer| self.pull_allowed_at(*peer, now) <= now);
            if let Some(peer) = peer {
                self.pull(now, actions, peer, own);
            }
        }
        let Some(target) = self.pull_target else {
            return;
        };
        if !is_behind(own, target.digest) {
            self.pull_target = None;
        } else if self.pull_allowed_at(target.peer, target.pull_at) <= now {
            self.pull(now, actions, target.peer, own);
            let doublings = target.pulls.min(MAX_DOUBLINGS);
            // A later digest replaces a target that does not answer.
            self.pull_target = Some(PullTarget {
                pull_at: now + PULL_RETRY_BACKOFF * 2_u32.pow(doublings),
                pulls: target.pulls + 1,
                ..target
            });
        }
    }

    /// Time of a pull that is due at `due`, subject to the spacing of remote pulls.
    fn pull_allowed_at(&self, peer: SocketAddr, due: Timestamp) -> Timestamp {
        match self.peers.is_local(peer) {
            true => due,
            false => due.max(self.next_remote_pull),
        }
    }

    /// Requests the changes that a peer has and this node lacks.
    fn pull(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        peer: SocketAddr,
        own: ViewDigest,
    ) {
        if !self.peers.is_local(peer) {
            self.next_remote_pull = now + PULL_RETRY_BACKOFF;
        }
        actions.push_back(send(peer, ViewMessage::Pull(own)));
    }

    /// Whether a view was never received and no pull target can be used right away.
    fn needs_initial_pull(&self, own: ViewDigest) -> bool {
        let target_is_deferred =
            |target: &PullTarget| target.pulls == 0 && !self.peers.is_nearest(target.peer);
        let no_target_due = self.pull_target.as_ref().is_none_or(target_is_deferred);
        no_target_due && self.is_missing_view(own) && !self.peers.is_empty()
    }

    /// Whether a view was never received.
    fn is_missing_view(&self, own: ViewDigest) -> bool {
        let unknown = StoreRevision::default();
        let evacuations = self.parameters.evacuations && own.evacuations == unknown;
        own.configuration == 0 || own.registry == unknown || evacuations
    }

    /// Announces changed views to a few local peers, and to one peer of each other zone unless the
    /// change came from a local peer. `from`: the peer that sent the change; `None` for the store.
    pub(in crate::gateway) fn announce(
        &mut self,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        own: ViewStatus,
        from: Option<SocketAddr>,
    ) {
        for peer in self.announcement_targets(random, from) {
            actions.push_back(send_digest(peer, own));
        }
    }

    /// Announces displaced servers, by their registry entries, to the same peers as a changed view.
    pub(in crate::gateway) fn announce_displaced(
        &mut self,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        entries: Vec<(StoreRevision, BackEndId)>,
        from: Option<SocketAddr>,
    ) {
        let Some(delta) = RegistryDelta::of_displaced(entries) else {
            return;
        };
        for peer in self.announcement_targets(random, from) {
            actions.push_back(send(peer, ViewMessage::Registry(delta.clone())));
        }
    }

    fn announcement_targets(
        &self,
        random: &mut Pcg64Mcg,
        from: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let fanout = self.parameters.digest_fanout;
        let local = self.peers.local().choose_multiple(random, fanout);
        let mut targets: Vec<SocketAddr> = local.copied().collect();
        if !from.is_some_and(|peer| self.peers.is_local(peer)) {
            targets.extend(self.peers.one_per_remote_zone(random));
        }
        targets
    }

    /// Handles a peer's digest: replies if the peer is behind, selects a pull target if this node is.
    pub(in crate::gateway) fn handle_digest(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        peer: SocketAddr,
        peer_digest: ViewDigest,
        peer_age: Duration,
        view: ViewStatus,
    ) {
        let own = view.digest;
        let peer_is_behind = is_behind(peer_digest, own) && !is_behind(own, peer_digest);
        let peer_is_staler = view.age_at(now) + MIN_AGE_ADVANTAGE <= peer_age;
        if peer_is_behind || (peer_is_staler && !is_behind(own, peer_digest)) {
            actions.push_back(send_digest(peer, view));
        }
        if !is_behind(own, peer_digest) {
            return;
        }
        let delay = self.pull_delay(peer, own);
        self.pull_target = Some(self.choose_pull_target(now + delay, peer, peer_digest));
    }

    /// Delay before a pull from a peer.
    fn pull_delay(&self, peer: SocketAddr, own: ViewDigest) -> Duration {
        if self.peers.is_nearest(peer) || !self.poll_targets.contains(&peer) {
            return Duration::ZERO;
        }
        match self.is_missing_view(own) {
            true => INITIAL_REMOTE_PULL_DELAY,
            false => REMOTE_PULL_DELAY,
        }
    }

    /// Chooses between the current pull target and a peer with newer views.
    fn choose_pull_target(
        &self,
        pull_at: Timestamp,
        peer: SocketAddr,
        digest: ViewDigest,
    ) -> PullTarget {
        let new_target = PullTarget {
            peer,
            digest,
            pull_at,
            pulls: 0,
        };
        let Some(current) = self.pull_target else {
            return new_target;
        };
        let is_farther = self.peers.is_nearest(current.peer) && !self.peers.is_nearest(peer);
        if is_farther && !is_behind(current.digest, digest) {
            return current;
        }
        let pull_at = match current.pulls {
            0 => current.pull_at.min(pull_at),
            _ => current.pull_at.min(pull_at + PULL_RETRY_BACKOFF),
        };
        PullTarget {
            pull_at,
            pulls: current.pulls,
            ..new_target
        }
    }
}

/// Digest of this node's views, and when the store last confirmed them.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct ViewStatus {
    pub(in crate::gateway) digest: ViewDigest,
    pub(in crate::gateway) confirmed_at: Option<Timestamp>,
    pub(in crate::gateway) now: Timestamp,
}

impl ViewStatus {
    fn age_at(&self, now: Timestamp) -> Duration {
        self.confirmed_at
            .map_or(Duration::MAX / 2, |at| now.since(at))
    }
}

/// Whether any view in `own` is older than in `other`.
pub(super) fn is_behind(own: ViewDigest, other: ViewDigest) -> bool {
    own.configuration < other.configuration
        || own.registry < other.registry
        || own.evacuations < other.evacuations
}

fn send(to: SocketAddr, message: ViewMessage) -> GatewayAction {
    GatewayAction::SendPeer {
        to,
        message: PeerMessage::View(message),
    }
}

/// Sends this node's digest to a peer.
pub(in crate::gateway) fn send_digest(to: SocketAddr, view: ViewStatus) -> GatewayAction {
    let age = view.age_at(view.now).as_millis();
    let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
    let digest = view.digest;
    send(to, ViewMessage::Digest { digest, age_ms })
}
