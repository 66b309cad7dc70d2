//! Timers of queries, ordered by time; at most one for each query.

use crate::time::Timestamp;
use std::collections::BTreeSet;

/// Timers by due time and the query's sequence number.
#[derive(Debug, Default)]
pub(super) struct Timers {
    entries: BTreeSet<(Timestamp, u64)>,
}

impl Timers {
    /// Replaces a query's timer.
    pub(super) fn reset(&mut self, sequence: u64, old: Option<Timestamp>, new: Option<Timestamp>) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.entries.remove(&(old, sequence));
        }
        if let Some(new) = new {
            self.entries.insert((new, sequence));
        }
    }

    /// Due time of the earliest timer.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.entries.first().map(|(time, _)| *time)
    }

    /// Query of the earliest timer, if due. Does not remove the timer.
    pub(super) fn due(&self, now: Timestamp) -> Option<u64> {
        let (time, sequence) = self.entries.first()?;
        (*time <= now).then_some(*sequence)
    }
}
