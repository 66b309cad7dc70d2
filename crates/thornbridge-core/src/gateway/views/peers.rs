//! Comparing views with peers: digests, and pulls of what is lacking.
//!
//! A node tells a few peers at once when it learnt something, and one peer drawn at random once in a
//! while; whoever is behind pulls what it lacks. Beside that, each node polls one of the members
//! that stand before it in the order of readers ([`super::freshness`]), which answers with how long
//! ago the store confirmed its views.

use crate::gateway::action::GatewayAction;
use crate::gateway::parameters::ViewParameters;
use crate::time::Timestamp;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::view::{StoreRevision, ViewDigest, ViewMessage};

/// Members for each of which one relays what the reader knows.
const MEMBERS_A_RELAY: usize = 32;
/// How much fresher its views must be for a node to answer a digest.
const FRESHER: Duration = Duration::from_millis(50);
/// Time until a pull that brought nothing is made again.
const PULL_AGAIN: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Behind {
    peer: SocketAddr,
    digest: ViewDigest,
    pull_at: Timestamp,
}

/// The exchange of views with peers.
#[derive(Debug)]
pub(in crate::gateway) struct PeerViews {
    parameters: ViewParameters,
    peers: Vec<SocketAddr>,
    /// Members before this one in the order of readers that are polled, and the one that is.
    polled: Vec<SocketAddr>,
    poll_index: usize,
    next_poll: Timestamp,
    /// Confirmation that was known at the last poll.
    confirmed_at_poll: Option<Timestamp>,
    next_digest: Timestamp,
    behind: Option<Behind>,
    /// When a node that knows nothing yet asks a peer again.
    next_pull: Timestamp,
}

impl PeerViews {
    pub(in crate::gateway) fn new(parameters: ViewParameters) -> Self {
        Self {
            parameters,
            peers: Vec::new(),
            polled: Vec::new(),
            poll_index: 0,
            next_poll: Timestamp::ZERO,
            confirmed_at_poll: None,
            next_digest: Timestamp::ZERO,
            behind: None,
            next_pull: Timestamp::ZERO,
        }
    }

    /// Peers to compare with.
    pub(in crate::gateway) fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// Takes the order of readers and this node's place in it. The first members relay what the
    /// reader knows, so that it is not asked by all.
    pub(in crate::gateway) fn set_readers(&mut self, order: &[SocketAddr], rank: usize) {
        let relays = order.len().div_ceil(MEMBERS_A_RELAY);
        let before = &order[..rank.min(order.len())];
        self.polled = match rank {
            rank if rank <= relays => before.to_vec(),
            // A member each, and the others if that one does not answer.
            rank => {
                let mut polled = before[1..=relays].to_vec();
                polled.rotate_left(rank % relays);
                polled.push(before[0]);
                polled
            }
        };
        self.poll_index = 0;
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
        let asks = self.lacks_a_view(own) && !self.peers.is_empty();
        let ask = asks.then_some(self.next_pull);
        let digest = (!self.peers.is_empty()).then_some(self.next_digest);
        let pull = self.behind.map(|behind| behind.pull_at);
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
            if let Some(peer) = self.peers.choose(random) {
                actions.push_back(send_digest(*peer, view));
            }
        }
        if self.lacks_a_view(own) && !self.peers.is_empty() && self.next_pull <= now {
            self.next_pull = now + PULL_AGAIN;
            if let Some(peer) = self.peers.choose(random) {
                actions.push_back(send(*peer, ViewMessage::Pull(own)));
            }
        }
        let Some(behind) = self.behind else {
            return;
        };
        if !is_behind(own, behind.digest) {
            self.behind = None;
        } else if behind.pull_at <= now {
            actions.push_back(send(behind.peer, ViewMessage::Pull(own)));
            let pull_at = now + PULL_AGAIN;
            // A peer that does not answer is not asked for ever: the next digest names another.
            self.behind = Some(Behind { pull_at, ..behind });
        }
    }

    /// Whether a view is not known at all.
    fn lacks_a_view(&self, own: ViewDigest) -> bool {
        let unknown = StoreRevision::default();
        let evacuations = self.parameters.evacuations && own.evacuations == unknown;
        own.configuration == 0 || own.registry == unknown || evacuations
    }

    /// Tells a few peers of what is new here.
    pub(in crate::gateway) fn announce(
        &mut self,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        own: ViewAge,
    ) {
        let fanout = self.parameters.digest_fanout;
        for peer in self.peers.choose_multiple(random, fanout) {
            actions.push_back(send_digest(*peer, own));
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
        let pull_at = match self.behind {
            Some(behind) => behind.pull_at.min(now + PULL_AGAIN),
            None => now,
        };
        self.behind = Some(Behind {
            peer,
            digest: theirs,
            pull_at,
        });
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
