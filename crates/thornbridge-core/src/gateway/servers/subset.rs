//! Which servers of a service this node keeps connections to.
//!
//! Guards against more nodes than a server takes connections: where not every node can have one,
//! each server is given to as many nodes as it bears, and each node to as many replicas of a shard
//! as are left for it. Every node computes the same assignment from the same member list, without
//! a message ([`crate::routing::subset`]). A node is known by its address, so that one that starts
//! again gets what it had.
//!
//! Until the member list has settled a node keeps one server of each service: all nodes may be
//! starting at once.

use super::{Placement, ServerKey, Servers};
use crate::gateway::budget::ServiceKey;
use crate::routing::subset::{
    SubsetBuild, SubsetNode, SubsetParameters, SubsetServer, Topology, pair_hash, server_hash,
};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::{BackEndId, NodeId, ZoneName};

/// Pairs of node and server weighed in one go: about a millisecond.
const PAIRS_PER_STEP: usize = 20_000;
/// More nodes than there can be.
const MANY_NODES: u32 = 1 << 20;
/// Time after a start in which the member list still grows.
const LISTING: Duration = Duration::from_millis(1_000);

/// A member that shares the servers' connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Sharer {
    pub(in crate::gateway) address: SocketAddr,
    pub(in crate::gateway) zone: ZoneName,
}

/// Who shares the connections, and which services' assignments are out of date.
#[derive(Debug)]
pub(super) struct Subset {
    own: NodeId,
    own_zone: ZoneName,
    nodes: Vec<SubsetNode>,
    stale: BTreeSet<ServiceKey>,
    settled: bool,
}

impl Subset {
    pub(super) fn new(own: SocketAddr, placement: &Placement) -> Self {
        let own = identity(own);
        Self {
            own,
            own_zone: placement.zone.clone(),
            nodes: vec![SubsetNode::new(own, placement.zone.clone())],
            stale: BTreeSet::new(),
            settled: false,
        }
    }

    /// Place of a server in an order of this node's own, so that nodes begin with different ones.
    pub(super) fn order_of(&self, server: &BackEndId) -> u64 {
        pair_hash(self.own.0, server_hash(server.as_str()))
    }

    /// A server of the service came or went.
    pub(super) fn invalidate(&mut self, service: ServiceKey) {
        self.stale.insert(service);
    }
}

impl Servers {
    /// Members, this node included, that share the servers' connections.
    pub(in crate::gateway) fn set_sharers(&mut self, now: Timestamp, sharers: Vec<Sharer>) {
        self.members.observe(now, sharers.len().max(1) as u64);
        let own = self.subset.own;
        let mut nodes: Vec<SubsetNode> = sharers
            .into_iter()
            .map(|sharer| SubsetNode::new(identity(sharer.address), sharer.zone))
            .collect();
        if !nodes.iter().any(|node| node.node == own) {
            nodes.push(SubsetNode::new(own, self.subset.own_zone.clone()));
        }
        self.subset.nodes = nodes;
        self.invalidate_all();
    }

    /// Computes assignments that are out of date; a bounded number of them.
    pub(super) fn reassign(&mut self, now: Timestamp) {
        let settled = now.since_epoch() >= LISTING;
        if settled != self.subset.settled {
            self.subset.settled = settled;
            self.invalidate_all();
        }
        let mut weighed = 0;
        while weighed < PAIRS_PER_STEP {
            let Some(service) = self.subset.stale.pop_first() else {
                return;
            };
            weighed += self.reassign_service(now, service);
        }
    }

    /// Gives the number of pairs weighed.
    fn reassign_service(&mut self, now: Timestamp, service: ServiceKey) -> usize {
        let entry = &self.services[service.0 as usize];
        let Some(limit) = entry.connections else {
            return 0;
        };
        let keys: Vec<ServerKey> = entry
            .servers
            .iter()
            .copied()
            .filter(|key| self.servers.get(key).is_some_and(|s| s.takes_requests()))
            .collect();
        let shares = match entry.ownership {
            Some(ownership) => vec![u32::from(ownership.own); keys.len()],
            None => self.shares(now, &keys, limit),
        };
        for (key, share) in keys.iter().zip(shares) {
            if let Some(server) = self.servers.get_mut(key) {
                server.assigned = share > 0;
            }
        }
        1 + keys.len() * self.subset.nodes.len()
    }

    /// This node's connections to each of these servers.
    fn shares(&mut self, now: Timestamp, keys: &[ServerKey], limit: u32) -> Vec<u32> {
        let topology = Topology {
            servers: keys
                .iter()
                .filter_map(|key| self.servers.get(key))
                .map(|server| SubsetServer {
                    hash: server_hash(server.id.as_str()),
                    zone: server.zone.clone(),
                    connections: limit,
                })
                .collect(),
            groups: vec![(0..keys.len() as u32).collect()],
        };
        let settled = self.subset.settled;
        let sharers = match settled {
            true => self.members.maximum(now) as u32,
            false => MANY_NODES,
        };
        let replicas_wanted = match settled {
            true => self.parameters.replicas_wanted,
            false => 1,
        };
        let parameters = SubsetParameters {
            reserve: 1.0 - self.parameters.subset_share,
            replicas_wanted,
            ..SubsetParameters::default()
        };
        let nodes = self.subset.nodes.clone();
        let mut build = SubsetBuild::new(parameters, topology, nodes, sharers);
        while !build.advance(PAIRS_PER_STEP) {}
        build.shares(self.subset.own)
    }

    fn invalidate_all(&mut self) {
        let services = 0..self.services.len() as u32;
        self.subset.stale = services.map(ServiceKey).collect();
    }
}

/// A node's identity over its restarts.
fn identity(address: SocketAddr) -> NodeId {
    NodeId(server_hash(&address.to_string()))
}
