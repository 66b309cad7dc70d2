//! Deterministic subsetting: which servers of a service this node connects to.
//!
//! Guards against more nodes than a server accepts connections: if not every node can have one,
//! each server is assigned to as many nodes as its limit allows. Every node computes the same
//! assignment from the same member list, without messages ([`crate::routing::subset`]). Nodes are
//! identified by address, so that a restarted node gets the same subset.
//!
//! Until the member list has settled after startup, a node connects to one server of each service,
//! since all nodes may be starting at once.

use super::{Placement, ServerKey, Servers};
use crate::gateway::budget::ServiceKey;
use crate::routing::subset::{
    SubsetBuild, SubsetNode, SubsetParameters, SubsetServer, Topology, identity_hash, pair_hash,
};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::{BackEndId, NodeId, ZoneName};

/// Pairs of node and server evaluated in one step.
const PAIRS_PER_STEP: usize = 20_000;
/// Number of nodes assumed until the member list has settled; more than a cluster has.
const UNSETTLED_NODE_COUNT: u32 = 1 << 20;
/// Time after startup in which the member list still grows.
const MEMBER_LIST_SETTLING: Duration = Duration::from_millis(1_000);

/// Address and zone of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct MemberLocation {
    pub(in crate::gateway) address: SocketAddr,
    pub(in crate::gateway) zone: ZoneName,
}

/// Members that share the servers' connections, and services whose assignment is out of date.
#[derive(Debug)]
pub(super) struct Subset {
    own_node: NodeId,
    own_zone: ZoneName,
    nodes: Vec<SubsetNode>,
    stale_services: BTreeSet<ServiceKey>,
    settled: bool,
}

impl Subset {
    pub(super) fn new(own_address: SocketAddr, placement: &Placement) -> Self {
        let own_node = stable_node_id(own_address);
        Self {
            own_node,
            own_zone: placement.zone.clone(),
            nodes: vec![SubsetNode::new(own_node, placement.zone.clone())],
            stale_services: BTreeSet::new(),
            settled: false,
        }
    }

    /// Rank of a server in an order specific to this node, so that nodes connect to different ones.
    pub(super) fn rendezvous_rank(&self, server: &BackEndId) -> u64 {
        pair_hash(self.own_node.0, identity_hash(server.as_str()))
    }

    /// Marks the assignment of a service as out of date.
    pub(super) fn invalidate(&mut self, service: ServiceKey) {
        self.stale_services.insert(service);
    }
}

impl Servers {
    /// Sets the members, this node included, that share the servers' connections.
    pub(in crate::gateway) fn set_members(&mut self, now: Timestamp, members: Vec<MemberLocation>) {
        self.members.observe(now, members.len().max(1) as u64);
        let own_node = self.subset.own_node;
        let mut nodes: Vec<SubsetNode> = members
            .into_iter()
            .map(|member| SubsetNode::new(stable_node_id(member.address), member.zone))
            .collect();
        if !nodes.iter().any(|node| node.node == own_node) {
            nodes.push(SubsetNode::new(own_node, self.subset.own_zone.clone()));
        }
        self.subset.nodes = nodes;
        self.invalidate_all();
    }

    /// Recomputes outdated assignments, up to a bound of work per call.
    pub(super) fn reassign(&mut self, now: Timestamp) {
        let settled = now.since_epoch() >= MEMBER_LIST_SETTLING;
        if settled != self.subset.settled {
            self.subset.settled = settled;
            self.invalidate_all();
        }
        let mut evaluated = 0;
        while evaluated < PAIRS_PER_STEP {
            let Some(service) = self.subset.stale_services.pop_first() else {
                return;
            };
            evaluated += self.reassign_service(now, service);
        }
    }

    /// Recomputes the assignment of a service; returns the number of pairs evaluated.
    fn reassign_service(&mut self, now: Timestamp, service: ServiceKey) -> usize {
        let entry = &self.services[service.0 as usize];
        let Some(limit) = entry.connection_limit else {
            return 0;
        };
        let keys: Vec<ServerKey> = entry
            .servers
            .iter()
            .copied()
            .filter(|key| self.servers.get(key).is_some_and(|s| s.takes_requests()))
            .collect();
        let shares = match entry.ownership {
            Some(ownership) => vec![u32::from(ownership.is_owner); keys.len()],
            None => self.shares(now, &keys, limit),
        };
        for (key, share) in keys.iter().zip(shares) {
            if let Some(server) = self.servers.get_mut(key) {
                server.in_subset = share > 0;
            }
        }
        1 + keys.len() * self.subset.nodes.len()
    }

    /// Number of connections of this node to each of the servers.
    fn shares(&mut self, now: Timestamp, keys: &[ServerKey], limit: u32) -> Vec<u32> {
        let topology = Topology {
            servers: keys
                .iter()
                .filter_map(|key| self.servers.get(key))
                .map(|server| SubsetServer {
                    hash: identity_hash(server.id.as_str()),
                    zone: server.zone.clone(),
                    connection_limit: limit,
                })
                .collect(),
            groups: vec![(0..keys.len() as u32).collect()],
        };
        let settled = self.subset.settled;
        let node_count = match settled {
            true => self.members.maximum(now) as u32,
            false => UNSETTLED_NODE_COUNT,
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
        let mut build = SubsetBuild::new(parameters, topology, nodes, node_count);
        while !build.advance(PAIRS_PER_STEP) {}
        build.shares(self.subset.own_node)
    }

    fn invalidate_all(&mut self) {
        let services = 0..self.services.len() as u32;
        self.subset.stale_services = services.map(ServiceKey).collect();
    }
}

/// Identity of a node that is stable across restarts.
fn stable_node_id(address: SocketAddr) -> NodeId {
    NodeId(identity_hash(&address.to_string()))
}
