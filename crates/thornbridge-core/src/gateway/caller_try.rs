//! Infers whether a request is a caller's first try or a retry.
//!
//! Callers state how long they still wait. First tries on a route all state the same, longest
//! timeout; a retry states less, by the duration of earlier tries. The distinction matters while a
//! request cannot be served: a first try is refused at once with a time to retry, whereas a retry,
//! which the caller does not repeat, is held until its timeout.

use super::event::RequestHead;
use std::collections::BTreeMap;
use std::time::Duration;

/// Difference up to which two stated timeouts count as equal.
const TOLERANCE: Duration = Duration::from_millis(1);
/// Number of requests with the longest timeout after which they count as first tries.
const CONFIRMATIONS: u32 = 2;
/// Maximum number of request kinds tracked before the first configuration.
const MAX_KINDS: usize = 1_024;

/// Whether a request is its caller's first try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerTry {
    /// First try.
    First,
    /// Retry.
    Retry,
    /// Not enough requests observed yet.
    Unknown,
}

impl CallerTry {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Retry => "later",
            Self::Unknown => "unknown",
        }
    }
}

/// Timeouts stated by the callers of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ObservedTimeouts {
    longest: Duration,
    /// Number of requests that stated the longest timeout.
    longest_count: u32,
}

impl ObservedTimeouts {
    /// Records the timeout stated by a request.
    pub(super) fn observe(&mut self, timeout: Duration) {
        if timeout > self.longest.saturating_add(TOLERANCE) {
            self.longest = timeout;
            self.longest_count = 0;
        }
        if self.is_longest(timeout) {
            self.longest_count = self.longest_count.saturating_add(1);
        }
    }

    /// Duration of the earlier tries of a caller with this remaining timeout.
    pub(super) fn elapsed(&self, timeout: Duration) -> Duration {
        self.longest.saturating_sub(timeout)
    }

    /// Classifies a request by its stated timeout.
    pub(super) fn classify(&self, timeout: Duration) -> CallerTry {
        match self.is_longest(timeout) {
            true if self.longest_count >= CONFIRMATIONS => CallerTry::First,
            true => CallerTry::Unknown,
            false => CallerTry::Retry,
        }
    }

    fn is_longest(&self, timeout: Duration) -> bool {
        timeout.saturating_add(TOLERANCE) >= self.longest
    }
}

/// Stated timeouts per kind of request, used while no configuration is active. A kind is a host and
/// the first path segment, which approximates a route.
#[derive(Debug, Default)]
pub(super) struct TimeoutsByRequestKind {
    kinds: BTreeMap<(String, String), ObservedTimeouts>,
}

impl TimeoutsByRequestKind {
    /// Records the timeout stated by a request.
    pub(super) fn observe(&mut self, head: &RequestHead, timeout: Duration) {
        let kind = kind_of(head);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        self.kinds.entry(kind).or_default().observe(timeout);
    }

    /// Classifies a request by its stated timeout.
    pub(super) fn classify(&self, head: &RequestHead, timeout: Duration) -> CallerTry {
        let known = self.kinds.get(&kind_of(head));
        known.map_or(CallerTry::Unknown, |timeouts| timeouts.classify(timeout))
    }
}

fn kind_of(head: &RequestHead) -> (String, String) {
    let first_segment = head.path.split('/').nth(1).unwrap_or_default();
    (head.host.clone(), first_segment.to_owned())
}
