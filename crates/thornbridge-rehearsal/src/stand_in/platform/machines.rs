//! The list of machines, shown late.

use std::time::Duration;
use thornbridge_proto::platform::Machine;
use tokio::time::Instant;

/// Lists kept; beyond it the oldest are forgotten.
const LISTS_KEPT: usize = 1_000;

/// The lists of machines there were, oldest first; never empty.
#[derive(Debug)]
pub struct MachineLists {
    lists: Vec<(Instant, Vec<Machine>)>,
}

impl MachineLists {
    /// One list since `now`.
    pub fn new(machines: Vec<Machine>, now: Instant) -> Self {
        Self {
            lists: vec![(now, machines)],
        }
    }

    /// The list is another from `now` on.
    pub fn set(&mut self, machines: Vec<Machine>, now: Instant) {
        if self.lists.len() >= LISTS_KEPT {
            self.lists.remove(0);
        }
        self.lists.push((now, machines));
    }

    /// The list as it was `lag` before `now`; the oldest known where that is too far back.
    pub fn shown(&self, lag: Duration, now: Instant) -> &[Machine] {
        let old_enough = |set: &Instant| now.saturating_duration_since(*set) >= lag;
        let shown = self.lists.iter().rev().find(|(set, _)| old_enough(set));
        let shown = shown.or(self.lists.first());
        shown.map_or(&[], |(_, machines)| machines.as_slice())
    }
}
