//! Random selection of gossip peers, mostly from the own region.

use crate::membership::MemberView;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use thornbridge_proto::peer::membership::MemberState;

/// Addresses of all other nodes that are not dead; leaving nodes included.
#[derive(Debug, Default)]
pub(super) struct Peers {
    all: Vec<SocketAddr>,
    own_region: Vec<SocketAddr>,
}

impl Peers {
    pub(super) fn of(view: &MemberView) -> Self {
        let own = view.own();
        let mut peers = Self::default();
        for member in view.members() {
            if member.endpoint.node == own.endpoint.node || member.state == MemberState::Dead {
                continue;
            }
            peers.all.push(member.endpoint.address);
            if member.region == own.region {
                peers.own_region.push(member.endpoint.address);
            }
        }
        peers
    }

    pub(super) fn count(&self) -> usize {
        self.all.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Draws one peer: from all regions with probability 1/`one_remote_in`, else from the own one.
    pub(super) fn draw(&self, random: &mut impl Rng, one_remote_in: u32) -> Option<SocketAddr> {
        let anywhere = random.random_ratio(1, one_remote_in.max(1));
        let pool = if anywhere || self.own_region.is_empty() {
            &self.all
        } else {
            &self.own_region
        };
        pool.choose(random).copied()
    }
}
