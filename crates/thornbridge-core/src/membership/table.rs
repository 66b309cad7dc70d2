//! Member table, and precedence between updates.
//!
//! Updates of a member are ordered by incarnation, then by state in the order alive, suspect,
//! leaving, dead. Merging takes the maximum, which is commutative, associative and idempotent, so
//! all nodes converge in whatever order updates arrive.

use super::view::MemberView;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::{Incarnation, NodeId};

/// A member's record and local state.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Replicated record.
    pub record: MemberRecord,
    /// Time of the last state change on this node.
    pub state_changed_at: Timestamp,
    /// Whether the member announced a planned stop.
    pub announced_leaving: bool,
}

/// All known members except this node.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, Entry>,
}

/// Precedence of an update; the greater one wins.
pub fn precedence(incarnation: Incarnation, state: MemberState) -> (Incarnation, MemberState) {
    (incarnation, state)
}

impl MemberTable {
    /// Entry of a member.
    pub fn get(&self, node: NodeId) -> Option<&Entry> {
        self.entries.get(&node)
    }

    /// Adds an unknown member. Zone and region names are shared with a member at the same location,
    /// to save memory.
    pub fn insert(&mut self, now: Timestamp, mut record: MemberRecord) {
        if let Some(same_location) = self
            .entries
            .values()
            .find(|entry| entry.record.zone == record.zone && entry.record.region == record.region)
        {
            record.zone = same_location.record.zone.clone();
            record.region = same_location.record.region.clone();
        }
        let entry = Entry {
            announced_leaving: record.state == MemberState::Leaving,
            record,
            state_changed_at: now,
        };
        self.entries.insert(entry.record.endpoint.node, entry);
    }

    /// Applies a newer state to a known member. Returns the previous state; `None` if not applied.
    pub fn advance(
        &mut self,
        now: Timestamp,
        node: NodeId,
        incarnation: Incarnation,
        state: MemberState,
    ) -> Option<MemberState> {
        let entry = self.entries.get_mut(&node)?;
        let current = precedence(entry.record.incarnation, entry.record.state);
        if precedence(incarnation, state) <= current {
            return None;
        }
        let previous = entry.record.state;
        entry.record.incarnation = incarnation;
        entry.record.state = state;
        entry.state_changed_at = now;
        entry.announced_leaving |= state == MemberState::Leaving;
        Some(previous)
    }

    /// All members, including dead ones.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> + Clone {
        self.entries.values()
    }

    /// Members that are not dead.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> + Clone {
        self.entries
            .values()
            .map(|entry| &entry.record)
            .filter(|record| record.state != MemberState::Dead)
    }

    /// Member at an address, unless dead.
    pub fn member_at(&self, address: SocketAddr) -> Option<&MemberRecord> {
        self.present()
            .find(|record| record.endpoint.address == address)
    }

    /// Removes members that have been dead for at least `retention`.
    pub fn remove_expired_dead(&mut self, now: Timestamp, retention: Duration) {
        self.entries.retain(|_, entry| {
            entry.record.state != MemberState::Dead || now.since(entry.state_changed_at) < retention
        });
    }

    /// Member view for the other modules.
    pub fn view(&self, own: &MemberRecord) -> MemberView {
        MemberView::new(own.clone(), self.present().cloned().collect())
    }
}
