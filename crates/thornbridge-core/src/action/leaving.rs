//! Planned stop of a member of the claim group, delayed until its claims are stored elsewhere.

use super::ActionEngine;
use super::group::majority;
use crate::time::Timestamp;

/// A planned stop that is waiting for the group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    /// From when on the node may leave if the remaining members are a majority.
    notice_ends_at: Timestamp,
    /// When the node leaves in any case.
    times_out_at: Timestamp,
    notice_elapsed: bool,
}

impl Leaving {
    pub(super) fn next_timeout(&self) -> Timestamp {
        match self.notice_elapsed {
            false => self.notice_ends_at.min(self.times_out_at),
            true => self.times_out_at,
        }
    }
}

impl ActionEngine {
    /// Begins a planned stop. A member of the group waits until it is replaced or the remaining
    /// members are a majority.
    pub fn leave(&mut self, now: Timestamp) {
        let is_alone = self
            .view
            .as_ref()
            .is_none_or(|view| view.members().len() < 2);
        if !is_alone && !self.member.has_handed_over(self.outbox.own().node) {
            self.leaving = Some(Leaving {
                notice_ends_at: now + self.parameters.leaving_notice,
                times_out_at: now + self.parameters.handover_patience,
                notice_elapsed: false,
            });
        }
    }

    /// Ends the wait if it has timed out or the claims are safe without this node.
    pub(super) fn finish_leaving_if_ready(&mut self, now: Timestamp) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        if leaving.notice_ends_at <= now {
            leaving.notice_elapsed = true;
        }
        let notice_elapsed = leaving.notice_elapsed;
        let timed_out = leaving.times_out_at <= now;
        let handed_over = self.member.has_handed_over(self.outbox.own().node);
        if handed_over || timed_out || (notice_elapsed && self.remaining_members_are_majority()) {
            self.leaving = None;
        }
    }

    /// Whether the remaining members are a majority, so that one of them stores each claim that
    /// won.
    fn remaining_members_are_majority(&self) -> bool {
        let (Some(group), Some(view)) = (self.member.latest(), &self.view) else {
            return true;
        };
        let own = self.outbox.own().node;
        let remains = |node| {
            node != own
                && view
                    .accepting_work()
                    .any(|known| known.endpoint.node == node)
        };
        let remaining = group.members.iter().filter(|it| remains(it.node)).count();
        let is_deciding = self.member.deciding() == Some(group.epoch);
        is_deciding && remaining >= majority(group.members.len())
    }
}
