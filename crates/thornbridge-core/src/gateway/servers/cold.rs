//! Cold servers: a bound on the requests that each gets in any second, from all nodes together.
//!
//! The bound is divided among the members: each has a whole share of it, and the remainder goes to the
//! first of them in an order that differs from server to server. Every node computes the same shares
//! if all have met the same members; a member out of sight keeps its share, since it may still run.
//! A server of which this node has used its share gets no requests, whatever they are: first ones,
//! retries, hedges, queued parts and parts of slices.

use super::server::Server;
use super::{ServerKey, Servers};
use crate::gateway::action::GatewayAction;
use crate::gateway::budget::ServiceKey;
use crate::gateway::telemetry::GatewayChange;
use crate::routing::subset::{identity_hash, pair_hash};
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::{BackEndId, RegionName};

/// Window in which a node may use its share: a second, and the time that requests take to arrive.
const SHARE_WINDOW: Duration = Duration::from_millis(1_250);
/// Part of the bound that is not divided, for nodes that have not met all members.
const RESERVED_PART: f64 = 0.1;
/// Requests in a window that are not divided at least.
const LEAST_RESERVE: f64 = 1.0;
/// Servers named in one report of the log.
const MAX_REPORTED_SERVERS: usize = 8;

/// Shares of the members in the bounds of cold servers.
#[derive(Debug)]
pub(in crate::gateway) struct ColdShares {
    own_address: SocketAddr,
    /// Hashes of the members that this process has met, itself included.
    met: BTreeMap<SocketAddr, u64>,
    /// Whether other nodes are configured as seeds, so that the node is not alone.
    has_other_seeds: bool,
    /// When the members met are taken for all. Later while more of them are met after the start.
    settled_at: Timestamp,
}

impl ColdShares {
    pub(in crate::gateway) fn new(
        own_address: SocketAddr,
        has_other_seeds: bool,
        settling: Duration,
    ) -> Self {
        Self {
            own_address,
            met: BTreeMap::from([(own_address, address_hash(own_address))]),
            has_other_seeds,
            settled_at: Timestamp::ZERO + settling,
        }
    }

    /// Adds members to those that have shares.
    pub(in crate::gateway) fn meet(
        &mut self,
        now: Timestamp,
        settling: Duration,
        members: impl Iterator<Item = SocketAddr>,
    ) {
        let before = self.met.len();
        for address in members {
            self.met
                .entry(address)
                .or_insert_with(|| address_hash(address));
        }
        if self.met.len() > before && now < self.settled_at {
            self.settled_at = now + settling;
        }
    }

    /// Whether the shares hold: the previous process's requests have left the window, and all members
    /// in sight have been met.
    fn are_settled(&self, now: Timestamp) -> bool {
        now >= self.settled_at
    }

    /// Requests in a window that this node may send to a server, of the `divided` ones.
    pub(in crate::gateway) fn share(&self, server: &BackEndId, divided: u32) -> u32 {
        let is_unknown = self.has_other_seeds && self.met.len() < 2;
        if is_unknown {
            return 0;
        }
        let members = self.met.len() as u32;
        let remainder = (divided % members) as usize;
        let takes_more = remainder > 0 && self.members_before(server) < remainder;
        divided / members + u32::from(takes_more)
    }

    /// Number of members before this node in the order of a server.
    fn members_before(&self, server: &BackEndId) -> usize {
        let server = identity_hash(server.as_str());
        let rank = |address: SocketAddr, hash: u64| (pair_hash(hash, server), address);
        let own = rank(self.own_address, address_hash(self.own_address));
        let members = self.met.iter();
        members
            .filter(|(address, hash)| rank(**address, **hash) < own)
            .count()
    }
}

fn address_hash(address: SocketAddr) -> u64 {
    identity_hash(&address.to_string())
}

/// How long a server is cold, and what this node sent to it.
#[derive(Debug)]
pub(in crate::gateway) struct ColdState {
    until: Timestamp,
    /// Times of the sends in the last window, the oldest first.
    sends: VecDeque<Timestamp>,
    /// Whether the log last reported the server as limited.
    reported: bool,
}

impl ColdState {
    pub(in crate::gateway) fn new(until: Timestamp) -> Self {
        Self {
            until,
            sends: VecDeque::new(),
            reported: false,
        }
    }

    /// Treats the server as cold at least until the given time.
    pub(in crate::gateway) fn extend(&mut self, until: Timestamp) {
        self.until = self.until.max(until);
    }

    pub(in crate::gateway) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Counts a request that is sent now.
    pub(in crate::gateway) fn record_send(&mut self, now: Timestamp) {
        while self.sends.front().is_some_and(|at| has_left(now, *at)) {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
    }

    /// Whether a share leaves room for another request.
    pub(in crate::gateway) fn has_room(&self, now: Timestamp, share: u32) -> bool {
        let recent = self.sends.iter().filter(|at| !has_left(now, **at));
        recent.count() < share as usize
    }
}

/// Whether a send has left the window.
fn has_left(now: Timestamp, sent_at: Timestamp) -> bool {
    now.since(sent_at) > SHARE_WINDOW
}

impl Servers {
    /// Declares whether other nodes are configured as seeds.
    pub(in crate::gateway) fn with_other_seeds(mut self, has_other_seeds: bool) -> Self {
        self.cold_shares.has_other_seeds = has_other_seeds;
        self
    }

    /// Adds members, whatever their state, to those that have shares in the bounds.
    pub(in crate::gateway) fn meet_members(
        &mut self,
        now: Timestamp,
        members: impl Iterator<Item = SocketAddr>,
    ) {
        let settling = self.parameters.settling;
        self.cold_shares.meet(now, settling, members);
    }

    /// Requests in a window that all nodes may send to a cold server of a service; `None` if it is not
    /// bounded.
    fn divided_bound(&self, service: ServiceKey) -> Option<u32> {
        let bound = self.parameters.warm_up_bound?;
        let warm_up = self.services[service.0 as usize].warm_up?;
        let allowed = warm_up.requests_per_s * bound.overage + bound.slack;
        let reserve = (allowed * RESERVED_PART).max(LEAST_RESERVE);
        Some((allowed - reserve).max(0.0) as u32)
    }

    /// Time for which a server that has restarted or returned is cold; zero if it is not bounded.
    pub(super) fn warm_up_time(&self, service: ServiceKey) -> Duration {
        let warm_up = self.services[service.0 as usize].warm_up;
        warm_up.map_or(Duration::ZERO, |warm_up| warm_up.duration)
    }

    /// Whether a server is cold and this node has used its share.
    pub(in crate::gateway) fn is_held_back(&self, now: Timestamp, server: &Server) -> bool {
        if !server.cold.is_cold(now) {
            return false;
        }
        let Some(divided) = self.divided_bound(server.service) else {
            return false;
        };
        if !self.cold_shares.are_settled(now) {
            return true;
        }
        let share = self.cold_shares.share(&server.id, divided);
        !server.cold.has_room(now, share)
    }

    /// Whether a server that would get requests is held back.
    pub(in crate::gateway) fn has_held_back(
        &self,
        now: Timestamp,
        service: ServiceKey,
        homes: &[RegionName],
    ) -> bool {
        self.of_service(service).any(|server| {
            server.takes_requests() && server.is_at_home(homes) && self.is_held_back(now, server)
        })
    }

    /// Counts a request that is sent to a server now.
    pub(in crate::gateway) fn record_send(&mut self, now: Timestamp, key: ServerKey) {
        if self.parameters.warm_up_bound.is_none() {
            return;
        }
        let Some(service) = self.servers.get(&key).map(|server| server.service) else {
            return;
        };
        if self.divided_bound(service).is_none() {
            return;
        }
        if let Some(server) = self.servers.get_mut(&key) {
            server.cold.record_send(now);
        }
    }

    /// Reports servers that are limited since the last call, or no longer, in one line.
    pub(in crate::gateway) fn report_cold(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
    ) {
        let changed = self.changed_limits(now);
        if changed.is_empty() {
            return;
        }
        let mut examples = Vec::new();
        let mut begun = 0;
        for key in &changed {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            server.cold.reported = !server.cold.reported;
            begun += usize::from(server.cold.reported);
            if examples.len() < MAX_REPORTED_SERVERS {
                examples.push(server.id.clone());
            }
        }
        let limited = self.servers.values().filter(|server| server.cold.reported);
        let change = GatewayChange::ColdServers {
            limited: limited.count(),
            begun,
            ended: changed.len() - begun,
            examples,
        };
        actions.push_back(GatewayAction::Changed(change));
    }

    /// Servers whose limit began or ended since the last report.
    fn changed_limits(&self, now: Timestamp) -> Vec<ServerKey> {
        let is_limited = |server: &Server| {
            let bounded = self.divided_bound(server.service).is_some();
            bounded && server.cold.is_cold(now)
        };
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| is_limited(server) != server.cold.reported)
            .map(|(key, _)| *key)
            .collect()
    }
}
