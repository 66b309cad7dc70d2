//! Admission queue of one service, ordered by [`QueueOrder`] and indexed by expiry.
//!
//! The owner bounds the queue's length.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_proto::RequestId;

/// Order in which queued requests of equal priority run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// First come, first served.
    FirstCome,
    /// Earliest deadline first. C. L. Liu and J. W. Layland, "Scheduling Algorithms for
    /// Multiprogramming in a Hard-Real-Time Environment", JACM 1973.
    #[default]
    EarliestDeadline,
    /// Shortest predicted run time first. Long requests may starve until they expire.
    ShortestPredictedTime,
}

/// Sort key in the queue; lower runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    rank: Duration,
    arrival: u64,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub request: RequestId,
    /// Latest start that can still give a useful answer; the request expires then.
    pub latest_start: Timestamp,
    /// Deadline of the answer.
    pub deadline: Timestamp,
    /// Predicted run time.
    pub predicted_run_time: Duration,
    /// Arrival number, increasing over all services.
    pub arrival: u64,
}

/// Queued requests of one service.
#[derive(Debug)]
pub(super) struct RequestQueue {
    order: QueueOrder,
    requests: BTreeMap<QueueKey, QueuedRequest>,
    keys: BTreeMap<RequestId, QueueKey>,
    latest_starts: BTreeSet<(Timestamp, QueueKey)>,
}

impl RequestQueue {
    pub(super) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            latest_starts: BTreeSet::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of queued requests that would run before `queued`.
    pub(super) fn count_ahead_of(&self, queued: &QueuedRequest) -> usize {
        let key = self.key_of(queued);
        match self.order {
            QueueOrder::FirstCome => self.requests.len(),
            _ => self.requests.range(..key).count(),
        }
    }

    pub(super) fn push(&mut self, queued: QueuedRequest) {
        let key = self.key_of(&queued);
        self.keys.insert(queued.request, key);
        self.latest_starts.insert((queued.latest_start, key));
        self.requests.insert(key, queued);
    }

    /// Key of the next request to run.
    pub(super) fn head(&self) -> Option<QueueKey> {
        self.requests.keys().next().copied()
    }

    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        let key = self.head()?;
        self.take(key)
    }

    pub(super) fn remove(&mut self, request: RequestId) -> bool {
        let key = self.keys.get(&request).copied();
        key.and_then(|key| self.take(key)).is_some()
    }

    /// Earliest expiry of a queued request.
    pub(super) fn next_expiry(&self) -> Option<Timestamp> {
        self.latest_starts.first().map(|(time, _)| *time)
    }

    /// Removes a request that has expired, if any.
    pub(super) fn pop_expired(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        let (time, key) = *self.latest_starts.first()?;
        if time > now {
            return None;
        }
        self.take(key)
    }

    fn take(&mut self, key: QueueKey) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&key)?;
        self.keys.remove(&queued.request);
        self.latest_starts.remove(&(queued.latest_start, key));
        Some(queued)
    }

    fn key_of(&self, queued: &QueuedRequest) -> QueueKey {
        let rank = match self.order {
            QueueOrder::FirstCome => Duration::ZERO,
            QueueOrder::EarliestDeadline => queued.deadline.since_epoch(),
            QueueOrder::ShortestPredictedTime => queued.predicted_run_time,
        };
        QueueKey {
            rank,
            arrival: queued.arrival,
        }
    }
}
