//! Which try of its caller a request is, judged by the time that its caller still waits.
//!
//! Callers state the patience that is left. The first tries of a route all state the same, and the
//! most; a later one states less by what the earlier ones took. That matters to a request that
//! cannot be served yet: a first try is told at once when to come back, while a later one, which
//! has no other, is kept for as long as it may still be served.

use super::event::RequestHead;
use std::collections::BTreeMap;
use std::time::Duration;

/// Difference below which two callers state the same patience.
const TOLERANCE: Duration = Duration::from_millis(1);
/// Requests with the most patience after which it is believed to be that of first tries.
const CONFIRMING: u32 = 2;
/// Kinds of requests that are told apart while no configuration is known.
const KINDS_MAXIMUM: usize = 1_024;

/// Which try of its caller a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerTry {
    /// The first.
    First,
    /// A later one.
    Later,
    /// It cannot be told yet.
    Unknown,
}

impl CallerTry {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Later => "later",
            Self::Unknown => "unknown",
        }
    }
}

/// The patience that the callers of one kind of request state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedPatience {
    longest: Duration,
    /// Requests that stated the longest.
    stated: u32,
}

impl StatedPatience {
    /// A caller said that it waits this long.
    pub(super) fn observe(&mut self, patience: Duration) {
        if patience > self.longest + TOLERANCE {
            self.longest = patience;
            self.stated = 0;
        }
        if self.is_longest(patience) {
            self.stated = self.stated.saturating_add(1);
        }
    }

    /// What earlier tries of this caller took.
    pub(super) fn spent(&self, patience: Duration) -> Duration {
        self.longest.saturating_sub(patience)
    }

    /// Which try a request with this patience is.
    pub(super) fn judge(&self, patience: Duration) -> CallerTry {
        match self.is_longest(patience) {
            true if self.stated >= CONFIRMING => CallerTry::First,
            true => CallerTry::Unknown,
            false => CallerTry::Later,
        }
    }

    fn is_longest(&self, patience: Duration) -> bool {
        patience + TOLERANCE >= self.longest
    }
}

/// Stated patience by kind of request, while no configuration tells routes apart: by host and the
/// first segment of the path, in which the prefixes of routes differ at the latest.
#[derive(Debug, Default)]
pub(super) struct PatienceByKind {
    kinds: BTreeMap<(String, String), StatedPatience>,
}

impl PatienceByKind {
    /// A request came.
    pub(super) fn observe(&mut self, head: &RequestHead, patience: Duration) {
        let kind = kind_of(head);
        if self.kinds.len() >= KINDS_MAXIMUM && !self.kinds.contains_key(&kind) {
            return;
        }
        self.kinds.entry(kind).or_default().observe(patience);
    }

    /// Which try a request with this patience is.
    pub(super) fn judge(&self, head: &RequestHead, patience: Duration) -> CallerTry {
        let known = self.kinds.get(&kind_of(head));
        known.map_or(CallerTry::Unknown, |stated| stated.judge(patience))
    }
}

fn kind_of(head: &RequestHead) -> (String, String) {
    let first = head.path.split('/').nth(1).unwrap_or_default();
    (head.host.clone(), first.to_owned())
}
