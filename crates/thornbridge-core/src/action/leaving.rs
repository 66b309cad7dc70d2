//! A planned stop of a member of the claim group: it goes once its claims are safe without it.

use super::ActionEngine;
use super::group::majority;
use crate::time::Timestamp;

/// A planned stop that waits for the group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    /// When it is looked whether the rest of the group suffices.
    notice_ends: Timestamp,
    /// When waiting ends whatever is reached.
    patience_ends: Timestamp,
    noticed: bool,
}

impl Leaving {
    pub(super) fn next_timeout(&self) -> Timestamp {
        match self.noticed {
            false => self.notice_ends.min(self.patience_ends),
            true => self.patience_ends,
        }
    }
}

impl ActionEngine {
    /// A planned stop begins. A member of the group waits to be replaced, or to hear that the
    /// others can hand over without it.
    pub fn leave(&mut self, now: Timestamp) {
        let alone = self
            .view
            .as_ref()
            .is_none_or(|view| view.members().len() < 2);
        if !alone && !self.member.has_handed_over(self.outbox.own().node) {
            self.leaving = Some(Leaving {
                notice_ends: now + self.parameters.leaving_notice,
                patience_ends: now + self.parameters.handover_patience,
                noticed: false,
            });
        }
    }

    /// Ends the wait where nothing is left to wait for.
    pub(super) fn leave_if_possible(&mut self, now: Timestamp) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        if leaving.notice_ends <= now {
            leaving.noticed = true;
        }
        let noticed = leaving.noticed;
        let impatient = leaving.patience_ends <= now;
        let handed_over = self.member.has_handed_over(self.outbox.own().node);
        if handed_over || impatient || (noticed && self.rest_of_group_suffices()) {
            self.leaving = None;
        }
    }

    /// Whether the members that stay are a majority: each claim that won is known to one of them.
    fn rest_of_group_suffices(&self) -> bool {
        let (Some(group), Some(view)) = (self.member.latest(), &self.view) else {
            return true;
        };
        let own = self.outbox.own().node;
        let stays = |node| {
            node != own
                && view
                    .accepting_work()
                    .any(|known| known.endpoint.node == node)
        };
        let staying = group.members.iter().filter(|it| stays(it.node)).count();
        let decided = self.member.deciding() == Some(group.epoch);
        decided && staying >= majority(group.members.len())
    }
}
