//! Attempts that were handed over and have not ended.

use super::AttemptOwner;
use super::back_end::BackEndIndex;
use super::hash::LookupMap;
use crate::driver_action::ConnectionId;
use crate::time::Timestamp;
use std::collections::{BTreeSet, VecDeque};
use thornbridge_proto::AttemptId;
use thornbridge_proto::back_end::Attempt;

/// One attempt.
#[derive(Debug)]
pub(super) struct PendingAttempt {
    pub(super) owner: AttemptOwner,
    pub(super) attempt: Attempt,
    pub(super) back_end: BackEndIndex,
    pub(super) dispatched_at: Timestamp,
    /// When its time left is over.
    pub(super) deadline: Timestamp,
    /// Connection it runs on and the time it was sent; absent while it waits for one.
    pub(super) sent: Option<(ConnectionId, Timestamp)>,
    /// Its owner gave it up.
    pub(super) cancelled: bool,
    /// It was already moved from a connection that broke before any byte left.
    pub(super) moved: bool,
}

/// All attempts by their identity.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_id: LookupMap<AttemptId, PendingAttempt>,
    waiting_deadlines: BTreeSet<(Timestamp, AttemptId)>,
    /// Cancelled ones that still occupy a connection, in order of the time they are awaited to.
    cancelled: VecDeque<(Timestamp, AttemptId)>,
    last_id: u64,
}

impl Attempts {
    pub(super) fn next_id(&mut self) -> AttemptId {
        self.last_id += 1;
        AttemptId(self.last_id)
    }

    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(super) fn get(&self, id: AttemptId) -> Option<&PendingAttempt> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: AttemptId) -> Option<&mut PendingAttempt> {
        self.by_id.get_mut(&id)
    }

    /// Takes in an attempt that is sent at once.
    pub(super) fn insert(&mut self, pending: PendingAttempt) {
        self.by_id.insert(pending.attempt.attempt, pending);
    }

    /// The attempt begins to wait for a connection.
    pub(super) fn begin_waiting(&mut self, id: AttemptId) {
        if let Some(pending) = self.by_id.get(&id) {
            self.waiting_deadlines.insert((pending.deadline, id));
        }
    }

    /// The attempt no longer waits.
    pub(super) fn end_waiting(&mut self, id: AttemptId) {
        if let Some(pending) = self.by_id.get(&id) {
            self.waiting_deadlines.remove(&(pending.deadline, id));
        }
    }

    /// The attempt ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<PendingAttempt> {
        let pending = self.by_id.remove(&id)?;
        if pending.sent.is_none() {
            self.waiting_deadlines.remove(&(pending.deadline, id));
        }
        Some(pending)
    }

    /// The attempt was cancelled; its connection is given up at `expires_at`.
    pub(super) fn record_cancellation(&mut self, id: AttemptId, expires_at: Timestamp) {
        self.cancelled.push_back((expires_at, id));
    }

    /// A waiting attempt whose time is over.
    pub(super) fn next_expired(&self, now: Timestamp) -> Option<AttemptId> {
        let (deadline, id) = self.waiting_deadlines.first()?;
        (*deadline <= now).then_some(*id)
    }

    /// A cancelled attempt whose reply is overdue.
    pub(super) fn next_unanswered_cancellation(&mut self, now: Timestamp) -> Option<AttemptId> {
        self.remove_ended();
        let (expires_at, id) = *self.cancelled.front()?;
        if expires_at > now {
            return None;
        }
        self.cancelled.pop_front();
        Some(id)
    }

    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let expiry = self.waiting_deadlines.first().map(|(time, _)| *time);
        let overdue = self.cancelled.front().map(|(time, _)| *time);
        [expiry, overdue].into_iter().flatten().min()
    }

    /// Forgets cancelled attempts at the front that have ended meanwhile.
    pub(super) fn remove_ended(&mut self) {
        while let Some((_, id)) = self.cancelled.front() {
            if self.by_id.contains_key(id) {
                return;
            }
            self.cancelled.pop_front();
        }
    }
}
