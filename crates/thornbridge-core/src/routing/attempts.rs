//! Attempts that were dispatched and have not ended.

use super::AttemptOwner;
use super::back_end::BackEndIndex;
use super::hash::LookupMap;
use crate::driver_action::ConnectionId;
use crate::time::Timestamp;
use std::collections::{BTreeSet, VecDeque};
use thornbridge_proto::AttemptId;
use thornbridge_proto::back_end::Attempt;

#[derive(Debug)]
pub(super) struct PendingAttempt {
    pub(super) owner: AttemptOwner,
    pub(super) attempt: Attempt,
    pub(super) back_end: BackEndIndex,
    pub(super) dispatched_at: Timestamp,
    /// Deadline for the reply, from the attempt's remaining time at dispatch.
    pub(super) deadline: Timestamp,
    /// Connection and time of sending; `None` while the attempt waits for a connection.
    pub(super) sent: Option<(ConnectionId, Timestamp)>,
    /// Cancelled by its owner.
    pub(super) cancelled: bool,
    /// Already moved once to another connection of the back end.
    pub(super) moved: bool,
}

/// Table of attempts.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_id: LookupMap<AttemptId, PendingAttempt>,
    waiting_deadlines: BTreeSet<(Timestamp, AttemptId)>,
    /// Cancelled attempts that still occupy a connection, with the end of their grace period, in
    /// order of that time.
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

    /// Adds an attempt that does not wait for a connection.
    pub(super) fn insert(&mut self, pending: PendingAttempt) {
        self.by_id.insert(pending.attempt.attempt, pending);
    }

    /// Marks an attempt as waiting for a connection.
    pub(super) fn begin_waiting(&mut self, id: AttemptId) {
        if let Some(pending) = self.by_id.get(&id) {
            self.waiting_deadlines.insert((pending.deadline, id));
        }
    }

    /// Marks an attempt as no longer waiting.
    pub(super) fn end_waiting(&mut self, id: AttemptId) {
        if let Some(pending) = self.by_id.get(&id) {
            self.waiting_deadlines.remove(&(pending.deadline, id));
        }
    }

    /// Removes an attempt that ended.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<PendingAttempt> {
        let pending = self.by_id.remove(&id)?;
        if pending.sent.is_none() {
            self.waiting_deadlines.remove(&(pending.deadline, id));
        }
        Some(pending)
    }

    /// Records the cancellation of an attempt that was sent; its grace period ends at `expires_at`.
    pub(super) fn record_cancellation(&mut self, id: AttemptId, expires_at: Timestamp) {
        self.cancelled.push_back((expires_at, id));
    }

    /// First waiting attempt whose deadline has passed.
    pub(super) fn next_expired(&self, now: Timestamp) -> Option<AttemptId> {
        let (deadline, id) = self.waiting_deadlines.first()?;
        (*deadline <= now).then_some(*id)
    }

    /// Removes and returns a cancelled attempt without a reply at the end of its grace period.
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
        let grace_end = self.cancelled.front().map(|(time, _)| *time);
        [expiry, grace_end].into_iter().flatten().min()
    }

    /// Removes attempts that have ended from the front of the cancelled ones.
    pub(super) fn remove_ended(&mut self) {
        while let Some((_, id)) = self.cancelled.front() {
            if self.by_id.contains_key(id) {
                return;
            }
            self.cancelled.pop_front();
        }
    }
}
