//! Deterministic subsetting: which nodes connect to which back ends, and with how many connections.
//!
//! Every node computes the same assignment from the same member list, without messages. All nodes
//! connect to a back end whose connection limit allows it. Any other back end is assigned to as
//! many nodes as its limit allows: nodes choose among the replicas of each shard in rounds, so that
//! every node has one replica before any has two. A node prefers replicas in its own zone first and
//! in other zones then, and among these the highest rendezvous hash (D. Thaler and C. Ravishankar,
//! 1998) with bounded loads (V. Mirrokni et al., 2016).
//!
//! A share of each limit is kept in reserve, since the nodes' member lists differ for a while after
//! a change.

use serde::{Deserialize, Serialize};
use thornbridge_proto::{NodeId, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORD_BITS: usize = 64;

/// Parameters of subsetting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SubsetParameters {
    /// Share of each back end's connections that is not assigned, for nodes with another member
    /// list and for connections not closed yet.
    pub reserve: f64,
    /// Replicas of each shard that a node connects to, if possible.
    pub replicas_wanted: u32,
    /// Connections of a node to a back end that not all nodes can connect to.
    pub least_pool: u32,
    /// Maximum connections of a node to one back end.
    pub greatest_pool: u32,
}

impl Default for SubsetParameters {
    fn default() -> Self {
        Self {
            reserve: thornbridge_config::validation::CONNECTION_RESERVE,
            replicas_wanted: 3,
            least_pool: 1,
            greatest_pool: 64,
        }
    }
}

/// Node that may connect to back ends.
#[derive(Clone, Debug)]
pub(crate) struct SubsetNode {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneName,
    zone_bit: u64,
    hash: u64,
}

impl SubsetNode {
    pub(crate) fn new(node: NodeId, zone: ZoneName) -> Self {
        Self {
            node,
            zone_bit: zone_bit(&zone),
            zone,
            hash: xxh3_64(&node.0.to_le_bytes()),
        }
    }
}

/// Back end to assign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SubsetServer {
    /// Hash of the back end's id.
    pub(crate) hash: u64,
    pub(crate) zone: ZoneName,
    /// Maximum connections from all nodes together.
    pub(crate) connection_limit: u32,
}

/// Back ends, and the replica groups of the shards as indices of back ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Topology {
    pub(crate) servers: Vec<SubsetServer>,
    pub(crate) groups: Vec<Vec<u32>>,
}

/// Division of a back end's connections among the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Allocation {
    /// Each node has `pool` connections.
    AllNodes { pool: u32 },
    /// At most this many nodes have [`SubsetParameters::least_pool`] connections each.
    LimitedNodes { nodes: u32 },
}

/// Assignment in progress. [`Self::advance`] does a bounded part of the work.
#[derive(Debug)]
pub(crate) struct SubsetBuild {
    parameters: SubsetParameters,
    topology: Topology,
    nodes: Vec<SubsetNode>,
    allocations: Vec<Allocation>,
    /// Bit set of the assigned nodes of each back end.
    assigned: Vec<Vec<u64>>,
    /// Number of nodes assigned to each back end.
    node_counts: Vec<u32>,
    /// Index of the current replica group.
    group: usize,
    shard: Option<ShardAssignment>,
}

/// Progress on one shard. Pairs are stored node by node.
#[derive(Debug)]
struct ShardAssignment {
    /// Replicas with a limited number of nodes.
    limited: Vec<usize>,
    /// Zone bit of each limited replica.
    zones: Vec<u64>,
    /// Whether each limited replica has all nodes that its limit allows.
    full: Vec<bool>,
    /// Rendezvous hashes of all pairs of node and limited replica; the top bit is zero.
    hashes: Vec<u64>,
    /// Whether the replica is assigned to the node, for all pairs.
    held: Vec<bool>,
    /// Number of limited replicas assigned to each node.
    counts: Vec<u32>,
    /// Zone bits of the replicas assigned to each node.
    held_zones: Vec<u64>,
    /// Nodes in the order in which they choose; differs by shard, so that no node is always last.
    order: Vec<u32>,
    round: u32,
    /// Number of rounds: the limited replicas that each node should have.
    rounds: u32,
}

impl SubsetBuild {
    /// Starts an assignment for the live nodes. `expected_nodes`, if larger, includes nodes that
    /// are not visible but may still hold connections.
    pub(crate) fn new(
        parameters: SubsetParameters,
        topology: Topology,
        mut nodes: Vec<SubsetNode>,
        expected_nodes: u32,
    ) -> Self {
        nodes.sort_by_key(|node| node.node);
        let node_count = expected_nodes.max(nodes.len() as u32).max(1);
        let allocations: Vec<Allocation> = topology
            .servers
            .iter()
            .map(|server| allocate(&parameters, server.connection_limit, node_count))
            .collect();
        let words = nodes.len().div_ceil(WORD_BITS);
        let assigned = allocations
            .iter()
            .map(|allocation| match allocation {
                Allocation::AllNodes { .. } => Vec::new(),
                Allocation::LimitedNodes { .. } => vec![0; words],
            })
            .collect();
        Self {
            node_counts: vec![0; topology.servers.len()],
            parameters,
            topology,
            nodes,
            allocations,
            assigned,
            group: 0,
            shard: None,
        }
    }

    /// Runs rounds until about `budget` pairs of node and back end are evaluated; returns whether
    /// the assignment is complete.
    pub(crate) fn advance(&mut self, budget: usize) -> bool {
        let mut evaluated = 0;
        while self.group < self.topology.groups.len() {
            if evaluated >= budget {
                return false;
            }
            evaluated += self.next_round();
        }
        true
    }

    /// Connections of a node to each back end; 0 if not assigned.
    pub(crate) fn shares(&self, node: NodeId) -> Vec<u32> {
        let position = self
            .nodes
            .binary_search_by_key(&node, |member| member.node)
            .ok();
        (0..self.allocations.len())
            .map(|server| match self.allocations[server] {
                Allocation::AllNodes { pool } => pool,
                Allocation::LimitedNodes { .. } => match position {
                    Some(position) if self.is_assigned(server, position) => {
                        self.parameters.least_pool
                    }
                    _ => 0,
                },
            })
            .collect()
    }

    /// Connections to each back end that all nodes connect to; `None` for the others.
    pub(crate) fn unrestricted_shares(&self) -> impl Iterator<Item = Option<u32>> {
        self.allocations.iter().map(|allocation| match allocation {
            Allocation::AllNodes { pool } => Some(*pool),
            Allocation::LimitedNodes { .. } => None,
        })
    }

    /// Runs one round of one shard; returns the number of pairs evaluated.
    fn next_round(&mut self) -> usize {
        let mut shard = self.shard.take().unwrap_or_else(|| self.begin_shard());
        let evaluated = 1 + shard.limited.len() * self.nodes.len();
        if shard.round < shard.rounds && shard.full.contains(&false) {
            for turn in 0..shard.order.len() {
                self.assign_next_replica(shard.order[turn] as usize, &mut shard);
            }
            shard.round += 1;
        }
        if shard.round < shard.rounds && shard.full.contains(&false) {
            self.shard = Some(shard);
        } else {
            self.group += 1;
        }
        evaluated
    }

    fn begin_shard(&self) -> ShardAssignment {
        let group = &self.topology.groups[self.group];
        let limited: Vec<usize> = group
            .iter()
            .map(|server| *server as usize)
            .filter(|server| matches!(self.allocations[*server], Allocation::LimitedNodes { .. }))
            .collect();
        let unrestricted = (group.len() - limited.len()) as u32;
        let mut shard = ShardAssignment {
            zones: limited
                .iter()
                .map(|server| zone_bit(&self.topology.servers[*server].zone))
                .collect(),
            rounds: self.parameters.replicas_wanted.saturating_sub(unrestricted),
            full: limited.iter().map(|server| self.is_full(*server)).collect(),
            limited,
            hashes: Vec::new(),
            held: Vec::new(),
            counts: Vec::new(),
            held_zones: Vec::new(),
            order: Vec::new(),
            round: 0,
        };
        if shard.limited.is_empty() {
            shard.rounds = 0;
        }
        if shard.rounds > 0 {
            self.initialize_pairs(&mut shard);
        }
        shard
    }

    /// Hashes all pairs, and takes over assignments made for other shards of the same back ends.
    fn initialize_pairs(&self, shard: &mut ShardAssignment) {
        let pairs = shard.limited.len() * self.nodes.len();
        shard.hashes.reserve_exact(pairs);
        shard.held.reserve_exact(pairs);
        for (position, node) in self.nodes.iter().enumerate() {
            let (mut count, mut zones) = (0, 0);
            for (replica, server) in shard.limited.iter().enumerate() {
                let held = self.is_assigned(*server, position);
                let hash = pair_hash(node.hash, self.topology.servers[*server].hash);
                shard.hashes.push(hash >> 1);
                shard.held.push(held);
                if held {
                    count += 1;
                    zones |= shard.zones[replica];
                }
            }
            shard.counts.push(count);
            shard.held_zones.push(zones);
        }
        let seed = self.topology.servers[shard.limited[0]].hash;
        shard.order = (0..self.nodes.len() as u32).collect();
        shard
            .order
            .sort_by_cached_key(|position| pair_hash(seed, self.nodes[*position as usize].hash));
    }

    /// Assigns the node its next replica, if one is left. The node's own zone is preferred for the
    /// first replica, a new zone for the others; ties are decided by hash.
    fn assign_next_replica(&mut self, position: usize, shard: &mut ShardAssignment) {
        if shard.counts[position] > shard.round {
            return;
        }
        let replica_count = shard.limited.len();
        let pairs = position * replica_count..(position + 1) * replica_count;
        let own_zone = self.nodes[position].zone_bit;
        let held_zones = shard.held_zones[position];
        let is_first = shard.round == 0;
        let hashes = &shard.hashes[pairs.clone()];
        let held = &mut shard.held[pairs];
        let mut best = None;
        let mut best_rank = 0;
        for (replica, hash) in hashes.iter().enumerate() {
            let zone = shard.zones[replica];
            let own = is_first & (zone == own_zone);
            let new = !is_first & (zone & held_zones == 0);
            let rank = (u64::from(own | new) << 63) | hash;
            let available = !held[replica] & !shard.full[replica];
            if available & (best.is_none() | (rank > best_rank)) {
                best = Some(replica);
                best_rank = rank;
            }
        }
        let Some(replica) = best else {
            return;
        };
        held[replica] = true;
        let server = shard.limited[replica];
        shard.counts[position] += 1;
        shard.held_zones[position] |= shard.zones[replica];
        self.assigned[server][position / WORD_BITS] |= 1 << (position % WORD_BITS);
        self.node_counts[server] += 1;
        shard.full[replica] = self.is_full(server);
    }

    fn is_assigned(&self, server: usize, position: usize) -> bool {
        let words = &self.assigned[server];
        words
            .get(position / WORD_BITS)
            .is_some_and(|word| word >> (position % WORD_BITS) & 1 == 1)
    }

    fn is_full(&self, server: usize) -> bool {
        match self.allocations[server] {
            Allocation::AllNodes { .. } => true,
            Allocation::LimitedNodes { nodes } => self.node_counts[server] >= nodes,
        }
    }
}

/// Bit of a zone. Two zones may share a bit, which only weakens the preference by zone.
fn zone_bit(zone: &ZoneName) -> u64 {
    1 << (xxh3_64(zone.as_str().as_bytes()) % 64)
}

/// Hash of an id, as for [`SubsetServer::hash`].
pub(crate) fn identity_hash(identity: &str) -> u64 {
    xxh3_64(identity.as_bytes())
}

/// Rendezvous hash of a node and a back end.
pub(crate) fn pair_hash(node: u64, server: u64) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), server)
}

fn allocate(parameters: &SubsetParameters, connection_limit: u32, node_count: u32) -> Allocation {
    let available = (f64::from(connection_limit) * (1.0 - parameters.reserve)) as u32;
    let available = available.max(1).min(connection_limit);
    if available >= node_count {
        let pool = (available / node_count).min(parameters.greatest_pool);
        return Allocation::AllNodes { pool };
    }
    let nodes = available / parameters.least_pool.max(1);
    Allocation::LimitedNodes { nodes }
}
