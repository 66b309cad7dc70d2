//! Overlay that selects the members a node probes and gossips with.
//!
//! Each ring orders the members by a different hash, and each member probes its successor on every
//! ring. The number of probers and links per member is therefore independent of the size of the
//! cluster. The union of the rings is a random regular graph, on which gossip needs a logarithmic
//! number of hops.
//!
//! Reference: L. Suresh et al., "Stable and Consistent Membership at Scale with Rapid", USENIX ATC
//! 2018.

use thornbridge_proto::NodeId;
use thornbridge_proto::peer::membership::MemberRecord;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Neighbours of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Neighbours {
    /// Members that this node probes: its successors on the rings, without duplicates.
    pub targets: Vec<NodeId>,
    /// Targets and the members that probe this node, without duplicates.
    pub all: Vec<NodeId>,
}

/// Computes the neighbours of `own` among `members`, which may omit `own`.
pub fn neighbours<'a>(
    own: &MemberRecord,
    members: impl Iterator<Item = &'a MemberRecord> + Clone,
    regional_rings: u32,
    global_rings: u32,
) -> Neighbours {
    let mut found = Neighbours::default();
    for ring in 0..regional_rings + global_rings {
        let regional = ring < regional_rings;
        let ring_members = members
            .clone()
            .filter(|member| !regional || member.region == own.region)
            .map(|member| member.endpoint.node)
            .filter(|node| *node != own.endpoint.node);
        let (successor, predecessor) = adjacent(own.endpoint.node, ring, ring_members);
        if let Some(successor) = successor {
            push_unique(&mut found.targets, successor);
            push_unique(&mut found.all, successor);
        }
        if let Some(predecessor) = predecessor {
            push_unique(&mut found.all, predecessor);
        }
    }
    found
}

/// Successor and predecessor of `own` on a ring.
fn adjacent(
    own: NodeId,
    ring: u32,
    nodes: impl Iterator<Item = NodeId>,
) -> (Option<NodeId>, Option<NodeId>) {
    let own_position = position(own, ring);
    let mut successor: Option<(u64, NodeId)> = None;
    let mut predecessor: Option<(u64, NodeId)> = None;
    for node in nodes {
        let position = position(node, ring);
        let after = (position.wrapping_sub(own_position), node);
        let before = (own_position.wrapping_sub(position), node);
        if successor.is_none_or(|best| after < best) {
            successor = Some(after);
        }
        if predecessor.is_none_or(|best| before < best) {
            predecessor = Some(before);
        }
    }
    (
        successor.map(|(_, node)| node),
        predecessor.map(|(_, node)| node),
    )
}

fn position(node: NodeId, ring: u32) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(ring))
}

fn push_unique(nodes: &mut Vec<NodeId>, node: NodeId) {
    if !nodes.contains(&node) {
        nodes.push(node);
    }
}
