//! Comparing views with peers: digests, and pulls of what is lacking.
//!
//! A node tells a few peers at once when it learnt something from the store, and one peer drawn
//! at random once in a while. Whoever is behind for longer than the store's own answer should
//! take pulls what it lacks. So news reaches a node that the store does not serve within about a
//! digest's interval, and costs others a few dozen bytes a second.

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

/// Time that the store's own answer may take before a peer is asked instead.
const PULL_DELAY: Duration = Duration::from_millis(120);
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
            next_digest: Timestamp::ZERO,
            behind: None,
            next_pull: Timestamp::ZERO,
        }
    }

    /// Peers to compare with.
    pub(in crate::gateway) fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// When [`Self::timer_due`] wants to be called.
    pub(in crate::gateway) fn next_timeout(&self, own: ViewDigest) -> Option<Timestamp> {
        let asks = knows_nothing(own) && !self.peers.is_empty();
        let ask = asks.then_some(self.next_pull);
        let digest = (!self.peers.is_empty()).then_some(self.next_digest);
        let pull = self.behind.map(|behind| behind.pull_at);
        [ask, digest, pull].into_iter().flatten().min()
    }

    /// Sends a digest and a pull where they are due.
    pub(in crate::gateway) fn timer_due(
        &mut self,
        now: Timestamp,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        own: ViewDigest,
    ) {
        if !self.peers.is_empty() && self.next_digest <= now {
            self.next_digest = now + self.parameters.digest_interval;
            if let Some(peer) = self.peers.choose(random) {
                actions.push_back(send(*peer, ViewMessage::Digest(own)));
            }
        }
        if knows_nothing(own) && !self.peers.is_empty() && self.next_pull <= now {
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

    /// Tells a few peers of what is new here.
    pub(in crate::gateway) fn announce(
        &mut self,
        random: &mut Pcg64Mcg,
        actions: &mut VecDeque<GatewayAction>,
        own: ViewDigest,
    ) {
        let fanout = self.parameters.digest_fanout;
        for peer in self.peers.choose_multiple(random, fanout) {
            actions.push_back(send(*peer, ViewMessage::Digest(own)));
        }
    }

    /// A peer told what it has.
    pub(in crate::gateway) fn digest(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        peer: SocketAddr,
        theirs: ViewDigest,
        own: ViewDigest,
    ) {
        if is_behind(theirs, own) && !is_behind(own, theirs) {
            // It hears of it, and pulls if the store does not tell it.
            actions.push_back(send(peer, ViewMessage::Digest(own)));
        }
        if !is_behind(own, theirs) {
            return;
        }
        // A node that knows nothing has nobody to wait for.
        let delay = match own == ViewDigest::default() {
            true => Duration::ZERO,
            false => PULL_DELAY,
        };
        let pull_at = match self.behind {
            Some(behind) => behind.pull_at.min(now + PULL_AGAIN),
            None => now + delay,
        };
        self.behind = Some(Behind {
            peer,
            digest: theirs,
            pull_at,
        });
    }
}

/// Whether a view is not known at all.
fn knows_nothing(own: ViewDigest) -> bool {
    own.configuration == 0 || own.registry == StoreRevision::default()
}

fn is_behind(own: ViewDigest, other: ViewDigest) -> bool {
    own.configuration < other.configuration || own.registry < other.registry
}

fn send(to: SocketAddr, message: ViewMessage) -> GatewayAction {
    GatewayAction::SendPeer {
        to,
        message: PeerMessage::View(message),
    }
}
