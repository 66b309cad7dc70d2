//! Comparing views with peers: digests, and pulls of what is lacking.
//!
//! A node tells a few peers at once when it learnt something, and one peer drawn at random once in a
//! while; whoever is behind pulls what it lacks, from a peer of its zone where one has it
//! ([`super::neighbourhood`]). Beside that, each node polls one of the members that stand before it
//! in the order of readers ([`super::freshness`]), which answers with how long ago the store
//! confirmed its views.

use super::neighbourhood::{Neighbourhood, polled_by};
use crate::gateway::action::GatewayAction;
use crate::gateway::parameters::ViewParameters;
use crate::gateway::servers::Sharer;
use crate::time::Timestamp;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::view::{StoreRevision, ViewDigest, ViewMessage};

/// How much fresher its views must be for a node to answer a digest.
const FRESHER: Duration = Duration::from_millis(50);
/// Time until a pull that brought nothing is made again; doubled with each.
const PULL_AGAIN: Duration = Duration::from_millis(400);
/// Pulls in a row beyond which that time does not grow: a whole registry may be on its way over a
/// link that others use, too.
const MOST_DOUBLINGS: u32 = 3;
/// Time that a node leaves to peers of its zone to tell what it heard from a farther one that it
/// polls: one of the zone was told unasked, and pulls at once.
const FAR_PATIENCE: Duration = Duration::from_millis(250);
/// The same while a view is not known at all: peers of the zone are asked meanwhile.
const FAR_PATIENCE_FOR_ALL: Duration = Duration::from_millis(700);
/// Time until a node that lacks a view asks another peer.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// Digests and pulls, drawn at random, of which one may go beyond the zone.
const FAR_EACH: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Behind {
    peer: SocketAddr,
    digest: ViewDigest,
    pull_at: Timestamp,
    /// Pulls that were made.
    pulls: u32,
}

/// The exchange of views with peers.
#[derive(Debug)]
pub(in crate::gateway) struct PeerViews {
    parameters: ViewParameters,
    peers: Neighbourhood,
    /// Members that are polled, and the one that is.
    polled: Vec<SocketAddr>,
    poll_index: usize,
    next_poll: Timestamp,
    /// Confirmation that was known at the last poll.
    confirmed_at_poll: Option<Timestamp>,
    next_digest: Timestamp,
    behind: Option<Behind>,
    /// When a node that knows nothing yet asks a peer again.
    next_pull: Timestamp,
    /// Peers drawn at random so far.
    drawn: u32,
    /// When a peer beyond the zone may be pulled from again: a whole view may be on its way.
    next_far_pull: Timestamp,
}

impl PeerViews {
    pub(in crate::gateway) fn new(parameters: ViewParameters) -> Self {
        Self {
            parameters,
            peers: Neighbourhood::default(),
            polled: Vec::new(),
            poll_index: 0,
            next_poll: Timestamp::ZERO,
            confirmed_at_poll: None,
            next_digest: Timestamp::ZERO,
            behind: None,
            next_pull: Timestamp::ZERO,
            drawn: 0,
            next_far_pull: Timestamp::ZERO,
        }
    }

    /// Takes the members to compare with.
    pub(in crate::gateway) fn set_peers(
        &mut self,
        own: &Sharer,
        members: impl Iterator<Item = Sharer>,
    ) {
        self.peers = Neighbourhood::new(own, members);
    }

    /// Takes the order of readers and this node's place in it.
    pub(in crate::gateway) fn set_readers(&mut self, own: &Sharer, order: &[Sharer], rank: usize) {
        self.polled = polled_by(own, order, rank);
        self.poll_index = 0;
    }

    /// A peer drawn at random: of this node's zone, and sometimes any.
    fn draw(&mut self, random: &mut Pcg64Mcg) -> Option<SocketAddr> {
        self.drawn = self.drawn.wrapping_add(1);
        match self.drawn.is_multiple_of(FAR_EACH) {
            true => self.peers.any(random),
            false => self.peers.any_near(random),
        }
    }

    /// Asks a member before this one how fresh its views are; another one where the last did not
    /// help.
    fn poll(&mut self, actions: &mut VecDeque<GatewayAction>, own: ViewAge) {
        if own.confirmed <= self.confirmed_at_poll {
            self.poll_index += 1;
        }
        self.confirmed_at_poll = own.confirmed;
        let index = self.poll_index % self.polled.len();
        actions.push_back(send_digest(self.polled[index], own));
    }

    /// When [`Self::timer_due`] wants to be called.
    pub(in crate::gateway) fn next_timeout(&self, own: ViewDigest) -> Option<Timestamp> {
        let ask = self.asks_anyone(own).then_some(self.next_pull);
        let digest = (!self.peers.is_empty()).then_some(self.next_digest);
        let behind = self.behind.as_ref();
        let pull = behind.map(|behind| self.pull_from_at(behind.peer, behind.pull_at));
        let poll = (!self.polled.is_empty()).then_some(self.next_poll);
        [ask, digest, pull, poll].into_iter().flatten().min()
    }

    /// Sends a digest and a pull where they are due.
    pub(in crate::gateway) fn timer_due(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        view: ViewAge,
    ) {
        let own = view.digest;
        if !self.polled.is_empty() && self.next_poll <= now {
            self.next_poll = now + self.parameters.poll_interval;
            self.poll(actions, view);
        }
        if !self.peers.is_empty() && self.next_digest <= now {
            self.next_digest = now + self.parameters.digest_interval;
            let peer = self.draw(random);
            actions.extend(peer.map(|peer| send_digest(peer, view)));
        }
        if self.asks_anyone(own) && self.next_pull <= now {
            self.next_pull = now + ASK_AGAIN;
            let peer = self.draw(random);
            let peer = peer.filter(|peer| self.pull_from_at(*peer, now) <= now);
            if let Some(peer) = peer {
                self.pull(now, actions, peer, own);
            }
        }
        let Some(behind) = self.behind else {
            return;
        };
        if !is_behind(own, behind.digest) {
            self.behind = None;
        } else if self.pull_from_at(behind.peer, behind.pull_at) <= now {
            self.pull(now, actions, behind.peer, own);
            let doublings = behind.pulls.min(MOST_DOUBLINGS);
            // A peer that does not answer is not asked for ever: the next digest names another.
            self.behind = Some(Behind {
                pull_at: now + PULL_AGAIN * 2_u32.pow(doublings),
                pulls: behind.pulls + 1,
                ..behind
            });
        }
    }

    /// When a peer may be pulled from, where that is due at a time.
    fn pull_from_at(&self, peer: SocketAddr, due: Timestamp) -> Timestamp {
        match self.peers.is_in_zone(peer) {
            true => due,
            false => due.max(self.next_far_pull),
        }
    }

    /// Pulls from a peer.
    fn pull(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        peer: SocketAddr,
        own: ViewDigest,
    ) {
        if !self.peers.is_in_zone(peer) {
            self.next_far_pull = now + PULL_AGAIN;
        }
        actions.push_back(send(peer, ViewMessage::Pull(own)));
    }

    /// Whether a view is lacking, and no peer is known from which it is to be had now.
    fn asks_anyone(&self, own: ViewDigest) -> bool {
        let later = |behind: &Behind| behind.pulls == 0 && !self.peers.is_near(behind.peer);
        let nobody = self.behind.as_ref().is_none_or(later);
        nobody && self.lacks_a_view(own) && !self.peers.is_empty()
    }

    /// Whether a view is not known at all.
    fn lacks_a_view(&self, own: ViewDigest) -> bool {
        let unknown = StoreRevision::default();
        let evacuations = self.parameters.evacuations && own.evacuations == unknown;
        own.configuration == 0 || own.registry == unknown || evacuations
    }

    /// Tells a few peers of what is new here, and one of each other zone where it came from beyond
    /// this one.
    pub(in crate::gateway) fn announce(
        &mut self,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        own: ViewAge,
        from: Option<SocketAddr>,
    ) {
        let fanout = self.parameters.digest_fanout;
        for peer in self.peers.near().choose_multiple(random, fanout) {
            actions.push_back(send_digest(*peer, own));
        }
        if from.is_some_and(|peer| self.peers.is_in_zone(peer)) {
            return;
        }
        for peer in self.peers.one_of_each_other_zone(random) {
            actions.push_back(send_digest(peer, own));
        }
    }

    /// A peer told what it has.
    pub(in crate::gateway) fn digest(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        peer: SocketAddr,
        theirs: ViewDigest,
        their_age: Duration,
        view: ViewAge,
    ) {
        let own = view.digest;
        let ahead = is_behind(theirs, own) && !is_behind(own, theirs);
        let fresher = view.age_at(now) + FRESHER <= their_age;
        if ahead || (fresher && !is_behind(own, theirs)) {
            actions.push_back(send_digest(peer, view));
        }
        if !is_behind(own, theirs) {
            return;
        }
        let patience = self.patience_with(peer, own);
        self.behind = Some(self.behind_of(now + patience, peer, theirs));
    }

    /// Time to wait before a peer is pulled from.
    fn patience_with(&self, peer: SocketAddr, own: ViewDigest) -> Duration {
        if self.peers.is_near(peer) || !self.polled.contains(&peer) {
            return Duration::ZERO;
        }
        match self.lacks_a_view(own) {
            true => FAR_PATIENCE_FOR_ALL,
            false => FAR_PATIENCE,
        }
    }

    /// From whom to pull, and when, now that this peer has what is lacking and may be asked then.
    fn behind_of(&self, pull_at: Timestamp, peer: SocketAddr, digest: ViewDigest) -> Behind {
        let fresh = Behind {
            peer,
            digest,
            pull_at,
            pulls: 0,
        };
        let Some(known) = self.behind else {
            return fresh;
        };
        let farther = self.peers.is_near(known.peer) && !self.peers.is_near(peer);
        if farther && !is_behind(known.digest, digest) {
            return known;
        }
        let pull_at = match known.pulls {
            0 => known.pull_at.min(pull_at),
            _ => known.pull_at.min(pull_at + PULL_AGAIN),
        };
        Behind {
            pull_at,
            pulls: known.pulls,
            ..fresh
        }
    }
}

/// What a node has, and when the store confirmed it.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct ViewAge {
    pub(in crate::gateway) digest: ViewDigest,
    pub(in crate::gateway) confirmed: Option<Timestamp>,
    pub(in crate::gateway) now: Timestamp,
}

impl ViewAge {
    fn age_at(&self, now: Timestamp) -> Duration {
        self.confirmed.map_or(Duration::MAX / 2, |at| now.since(at))
    }
}

/// Whether some view is older than the other's.
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

/// Tells a peer what this node has.
pub(in crate::gateway) fn send_digest(to: SocketAddr, view: ViewAge) -> GatewayAction {
    let age = view.age_at(view.now).as_millis();
    let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
    let digest = view.digest;
    send(to, ViewMessage::Digest { digest, age_ms })
}
