//! Assignment of back ends to the nodes that probe them: in each region, the highest-ranked nodes
//! by rendezvous hashing.
//!
//! Reference: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
//! IEEE/ACM Transactions on Networking 6(1), 1998.

use crate::membership::MemberView;
use std::collections::BTreeMap;
use thornbridge_proto::peer::health::BackEndKey;
use thornbridge_proto::{NodeId, RegionName, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members, as needed to assign back ends to observers.
#[derive(Debug, Default)]
pub struct Observers {
    own: NodeId,
    own_region: Option<RegionName>,
    accepting_work: bool,
    /// Nodes of this node's region that take new work, including this node.
    region_nodes: Vec<NodeId>,
    /// Region of each member.
    regions: BTreeMap<NodeId, RegionName>,
    /// Region of each zone with members.
    zones: BTreeMap<ZoneName, RegionName>,
}

impl Observers {
    /// Creates the observers from a member list.
    pub fn new(view: &MemberView) -> Self {
        let own = view.own();
        let region_nodes: Vec<NodeId> = view
            .accepting_work()
            .filter(|member| member.region == own.region)
            .map(|member| member.endpoint.node)
            .collect();
        let members = view.members().iter();
        Self {
            own: own.endpoint.node,
            own_region: Some(own.region.clone()),
            accepting_work: region_nodes.contains(&own.endpoint.node),
            region_nodes,
            regions: members
                .clone()
                .map(|member| (member.endpoint.node, member.region.clone()))
                .collect(),
            zones: members
                .map(|member| (member.zone.clone(), member.region.clone()))
                .collect(),
        }
    }

    /// Id of this node.
    pub fn own(&self) -> NodeId {
        self.own
    }

    /// Whether a node is a member.
    pub fn is_member(&self, node: NodeId) -> bool {
        self.regions.contains_key(&node)
    }

    /// Whether this node is one of the `count` nodes of its region that probe a back end.
    pub fn is_assigned(&self, back_end: BackEndKey, count: usize) -> bool {
        if !self.accepting_work {
            return false;
        }
        let own = weight(self.own, back_end);
        let higher_ranked = self
            .region_nodes
            .iter()
            .filter(|node| weight(**node, back_end) > own)
            .take(count);
        higher_ranked.count() < count
    }

    /// Whether a zone lies in this node's region. A zone without members counts as local for every
    /// node, so that its back ends are probed at the short interval.
    pub fn is_local_zone(&self, zone: &ZoneName) -> bool {
        let region = self.zones.get(zone);
        region.is_none() || region == self.own_region.as_ref()
    }

    /// Number of `nodes` in this node's region.
    pub fn count_in_own_region(&self, nodes: impl Iterator<Item = NodeId>) -> usize {
        nodes
            .filter(|node| self.regions.get(node) == self.own_region.as_ref())
            .count()
    }

    /// Number of nodes in this region that may probe.
    pub fn observer_count(&self) -> usize {
        self.region_nodes.len()
    }
}

/// Rendezvous weight of a node for a back end.
fn weight(node: NodeId, back_end: BackEndKey) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), back_end.0)
}
