//! Requests that arrive before any configuration is known.
//!
//! A starting node learns the configuration within milliseconds unless the store is unavailable. A
//! caller's first try is refused with a retry time: at once if it is known to be the first,
//! otherwise after a share of the caller timeout. A caller's retry is kept until its timeout ends,
//! because the caller will not retry again.

use super::caller_try::{CallerTry, TimeoutsByRequestKind};
use super::event::RequestHead;
use crate::driver_action::CallerId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Caller timeout assumed if the caller states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after start within which the views arrive if the store answers.
const VIEW_LOAD_GRACE: Duration = Duration::from_millis(150);
/// Share of the caller timeout after which a caller's retry cannot be served any more.
const RETRY_TIMEOUT_SHARE: f64 = 0.97;

/// A request that waits for a configuration.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) caller: CallerId,
    pub(super) head: RequestHead,
    pub(super) arrived: Timestamp,
    expires_at: Timestamp,
}

impl PendingRequest {
    fn caller_timeout(&self) -> Duration {
        self.head.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT)
    }

    /// When the request cannot be served any more.
    fn timeout_deadline(&self) -> Timestamp {
        self.arrived + self.caller_timeout().mul_f64(RETRY_TIMEOUT_SHARE)
    }
}

/// Requests that wait for a configuration.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<CallerId, PendingRequest>,
    timeouts: TimeoutsByRequestKind,
}

impl PendingRequests {
    /// Adds a request that waits for `share` of its caller timeout unless it is a caller's retry.
    /// Returns the request if its caller is to be refused at once.
    #[must_use]
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        head: RequestHead,
        share: f64,
    ) -> Option<PendingRequest> {
        let caller_timeout = head.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        self.timeouts.observe(&head, caller_timeout);
        let request = PendingRequest {
            caller,
            head,
            arrived: now,
            expires_at: now + caller_timeout.mul_f64(share),
        };
        let first = self.classify(&request) == CallerTry::First;
        if first && now.since_epoch() >= VIEW_LOAD_GRACE {
            return Some(request);
        }
        self.requests.insert(caller, request);
        None
    }

    /// Which try of its caller a request is.
    pub(super) fn classify(&self, request: &PendingRequest) -> CallerTry {
        self.timeouts
            .classify(&request.head, request.caller_timeout())
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes the request of a caller that disconnected.
    pub(super) fn caller_disconnected(&mut self, caller: CallerId) {
        self.requests.remove(&caller);
    }

    /// When the next request expires.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.requests
            .values()
            .map(|request| request.expires_at)
            .min()
    }

    /// Removes and returns the expired requests. A caller's retry is extended to the end of its
    /// caller timeout.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<PendingRequest> {
        let timeouts = &self.timeouts;
        for request in self.requests.values_mut() {
            let timeout_deadline = request.timeout_deadline();
            if request.expires_at > now || request.expires_at >= timeout_deadline {
                continue;
            }
            if timeouts.classify(&request.head, request.caller_timeout()) == CallerTry::Retry {
                request.expires_at = timeout_deadline;
            }
        }
        let expired = self
            .requests
            .values()
            .filter(|request| request.expires_at <= now);
        let expired: Vec<CallerId> = expired.map(|request| request.caller).collect();
        let ids = expired.iter();
        ids.filter_map(|caller| self.requests.remove(caller))
            .collect()
    }

    /// Removes and returns all requests.
    pub(super) fn take_all(&mut self) -> Vec<PendingRequest> {
        std::mem::take(&mut self.requests).into_values().collect()
    }
}
