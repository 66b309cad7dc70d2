//! Immutable member view for other modules.

use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};

/// Snapshot of the members, including this node, ordered by node id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    own: MemberRecord,
    members: Vec<MemberRecord>,
    neighbours: Vec<PeerEndpoint>,
}

impl MemberView {
    /// Creates a view of this node and the others.
    pub fn new(own: MemberRecord, others: Vec<MemberRecord>) -> Self {
        let mut members = others;
        members.push(own.clone());
        members.sort_by_key(|member| member.endpoint.node);
        Self {
            own,
            members,
            neighbours: Vec::new(),
        }
    }

    /// Sets the members that this node gossips with.
    pub fn with_neighbours(mut self, neighbours: Vec<PeerEndpoint>) -> Self {
        self.neighbours = neighbours;
        self
    }

    /// Members to gossip with, to which links are kept open. See
    /// [`overlay`](super::overlay).
    pub fn neighbours(&self) -> &[PeerEndpoint] {
        &self.neighbours
    }

    /// Record of this node.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// All members that are not dead.
    pub fn members(&self) -> &[MemberRecord] {
        &self.members
    }

    /// Members that take new work: alive or suspected, not leaving.
    pub fn accepting_work(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .iter()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Member with this id.
    pub fn member(&self, node: NodeId) -> Option<&MemberRecord> {
        self.members
            .binary_search_by_key(&node, |member| member.endpoint.node)
            .ok()
            .map(|index| &self.members[index])
    }
}
