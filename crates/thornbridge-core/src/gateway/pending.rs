//! Requests that arrive before any configuration is known.
//!
//! A starting node learns the configuration within milliseconds unless the store is unavailable. A
//! caller's first try is refused with a retry time: at once if it is known to be the first,
//! otherwise after a share of its patience. A caller's retry is kept until its patience ends,
//! because the caller will not retry again.

use super::caller_try::{CallerTry, PatienceByKind};
use super::event::RequestHead;
use crate::driver_action::CallerId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Assumed patience of a caller that states none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);
/// Time after start within which the views arrive if the store answers.
const VIEW_LOAD_TIME: Duration = Duration::from_millis(150);
/// Share of the patience after which a caller's retry cannot be served any more.
const RETRY_PATIENCE_SHARE: f64 = 0.97;

/// A request that waits for a configuration.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) caller: CallerId,
    pub(super) head: RequestHead,
    pub(super) arrived: Timestamp,
    expires_at: Timestamp,
}

impl PendingRequest {
    fn patience(&self) -> Duration {
        self.head.patience.unwrap_or(DEFAULT_PATIENCE)
    }

    /// When the request cannot be served any more.
    fn patience_deadline(&self) -> Timestamp {
        self.arrived + self.patience().mul_f64(RETRY_PATIENCE_SHARE)
    }
}

/// Requests that wait for a configuration.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<CallerId, PendingRequest>,
    patience: PatienceByKind,
}

impl PendingRequests {
    /// Adds a request that waits for `share` of its patience unless it is a caller's retry. Returns
    /// the request if its caller is to be refused at once.
    #[must_use]
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        head: RequestHead,
        share: f64,
    ) -> Option<PendingRequest> {
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
        self.patience.observe(&head, patience);
        let request = PendingRequest {
            caller,
            head,
            arrived: now,
            expires_at: now + patience.mul_f64(share),
        };
        let first = self.classify(&request) == CallerTry::First;
        if first && now.since_epoch() >= VIEW_LOAD_TIME {
            return Some(request);
        }
        self.requests.insert(caller, request);
        None
    }

    /// Which try of its caller a request is.
    pub(super) fn classify(&self, request: &PendingRequest) -> CallerTry {
        self.patience.judge(&request.head, request.patience())
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes the request of a caller that disconnected.
    pub(super) fn caller_gone(&mut self, caller: CallerId) {
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
    /// patience.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<PendingRequest> {
        let patience = &self.patience;
        for request in self.requests.values_mut() {
            let patience_deadline = request.patience_deadline();
            if request.expires_at > now || request.expires_at >= patience_deadline {
                continue;
            }
            if patience.judge(&request.head, request.patience()) == CallerTry::Retry {
                request.expires_at = patience_deadline;
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
