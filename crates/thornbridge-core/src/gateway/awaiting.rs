//! Requests that came before any configuration was known.
//!
//! A node that has just started knows a configuration within milliseconds, unless the store is
//! away. Then a caller's first try is told when to come back: at once where it is known to be the
//! first, else after a bounded part of its patience. A later try waits until its caller leaves,
//! since its caller does not come again.

use super::event::RequestHead;
use super::patience::{CallerTry, PatienceByKind};
use crate::driver_action::CallerId;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Patience of a caller that gives none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(3);
/// Time after a start in which the views come where the store answers.
const VIEWS_COME: Duration = Duration::from_millis(150);
/// Part of a caller's patience after which a later try is over: it could not be served any more.
const LATER_TRY_SHARE: f64 = 0.97;

/// A request that waits for a configuration.
#[derive(Clone, Debug)]
pub(super) struct AwaitingRequest {
    pub(super) caller: CallerId,
    pub(super) head: RequestHead,
    pub(super) arrived: Timestamp,
    until: Timestamp,
}

impl AwaitingRequest {
    fn patience(&self) -> Duration {
        self.head.patience.unwrap_or(DEFAULT_PATIENCE)
    }

    /// When its caller cannot be served any more.
    fn over(&self) -> Timestamp {
        self.arrived + self.patience().mul_f64(LATER_TRY_SHARE)
    }
}

/// All requests that wait for a configuration.
#[derive(Debug, Default)]
pub(super) struct Awaiting {
    requests: BTreeMap<CallerId, AwaitingRequest>,
    patience: PatienceByKind,
}

impl Awaiting {
    /// Takes a request, for this share of its patience where it is not a later try. Gives it back
    /// where its caller is to be told at once to come back.
    #[must_use]
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        head: RequestHead,
        share: f64,
    ) -> Option<AwaitingRequest> {
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
        self.patience.observe(&head, patience);
        let request = AwaitingRequest {
            caller,
            head,
            arrived: now,
            until: now + patience.mul_f64(share),
        };
        let first = self.judge(&request) == CallerTry::First;
        if first && now.since_epoch() >= VIEWS_COME {
            return Some(request);
        }
        self.requests.insert(caller, request);
        None
    }

    /// Which try of its caller a request is.
    pub(super) fn judge(&self, request: &AwaitingRequest) -> CallerTry {
        self.patience.judge(&request.head, request.patience())
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

    /// Those that have waited for long enough. A later try waits on.
    pub(super) fn take_overdue(&mut self, now: Timestamp) -> Vec<AwaitingRequest> {
        let patience = &self.patience;
        for request in self.requests.values_mut() {
            let over = request.over();
            if request.until > now || request.until >= over {
                continue;
            }
            if patience.judge(&request.head, request.patience()) == CallerTry::Later {
                request.until = over;
            }
        }
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
