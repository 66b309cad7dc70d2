//! Requests that came before any configuration was known.
//!
//! A node that has just started knows a configuration within milliseconds, unless the store is
//! away. Its callers wait for a bounded part of their patience; then they are told when to come
//! back, with enough time left for that.

use super::event::RequestHead;
use crate::driver_action::CallerId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Patience of a caller that gives none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);

/// A request that waits for a configuration.
#[derive(Clone, Debug)]
pub(super) struct AwaitingRequest {
    pub(super) caller: CallerId,
    pub(super) head: RequestHead,
    pub(super) arrived: Timestamp,
    until: Timestamp,
}

/// All requests that wait for a configuration.
#[derive(Debug, Default)]
pub(super) struct Awaiting {
    requests: BTreeMap<CallerId, AwaitingRequest>,
}

impl Awaiting {
    /// Takes a request, for this share of its patience.
    pub(super) fn add(&mut self, now: Timestamp, caller: CallerId, head: RequestHead, share: f64) {
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
        let request = AwaitingRequest {
            caller,
            head,
            arrived: now,
            until: now + patience.mul_f64(share),
        };
        self.requests.insert(caller, request);
    }

    /// Requests that wait.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// The caller went away.
    pub(super) fn caller_gone(&mut self, caller: CallerId) {
        self.requests.remove(&caller);
    }

    /// When the next one has waited for long enough.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.requests.values().map(|request| request.until).min()
    }

    /// Those that have waited for long enough.
    pub(super) fn take_overdue(&mut self, now: Timestamp) -> Vec<AwaitingRequest> {
        let overdue = self
            .requests
            .values()
            .filter(|request| request.until <= now);
        let overdue: Vec<CallerId> = overdue.map(|request| request.caller).collect();
        let taken = overdue.iter();
        taken
            .filter_map(|caller| self.requests.remove(caller))
            .collect()
    }

    /// All of them, as they came.
    pub(super) fn take_all(&mut self) -> Vec<AwaitingRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }
}
