//! Lifecycle of attempts: dispatched, waiting for a connection, sent, cancelled, ended.

use super::attempts::PendingAttempt;
use super::back_end::BackEndIndex;
use super::connections::ConnectionState;
use super::{AttemptOwner, FinishedAttempt, Router};
use crate::context::Context;
use crate::driver_action::{Action, ConnectionId};
use crate::event::AttemptFailure;
use std::time::Duration;
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport};
use thornbridge_proto::{AttemptId, BackEndId};

impl Router {
    /// Sends an attempt at once, or when a connection becomes free. The deadline of the attempt is
    /// now plus its remaining time.
    pub fn dispatch(
        &mut self,
        context: &mut Context<'_>,
        back_end: &BackEndId,
        owner: AttemptOwner,
        attempt: Attempt,
    ) {
        let Some(index) = self.back_ends.index(back_end) else {
            self.reject(back_end, owner, attempt);
            return;
        };
        let Some(state) = self
            .back_ends
            .get_mut(index)
            .filter(|state| state.takes_new_work())
        else {
            self.reject(back_end, owner, attempt);
            return;
        };
        state.in_flight += 1;
        let idle = state.pool.idle.pop();
        let id = attempt.attempt;
        self.attempts.insert(PendingAttempt {
            owner,
            deadline: context.now + attempt.time_left,
            attempt,
            back_end: index,
            dispatched_at: context.now,
            sent: None,
            cancelled: false,
            moved: false,
        });
        match idle {
            Some(connection) => {
                self.mark_in_use(index, connection);
                self.send(context, connection, id);
            }
            None => self.wait_for_connection(context, index, id),
        }
    }

    /// Cancels an attempt, which is then not returned as finished. An attempt that was sent
    /// occupies its connection and counts as in flight until the reply or the end of the grace
    /// period.
    pub fn cancel(&mut self, context: &mut Context<'_>, attempt: AttemptId) {
        let Some(pending) = self
            .attempts
            .get_mut(attempt)
            .filter(|pending| !pending.cancelled)
        else {
            return;
        };
        self.counters.attempts_cancelled += 1;
        let index = pending.back_end;
        let Some((connection, sent)) = pending.sent else {
            self.remove_waiting(index, attempt);
            return;
        };
        pending.cancelled = true;
        let request = pending.attempt.request;
        let grace_end = context.now + self.parameters.connections.cancel_grace;
        self.attempts.record_cancellation(attempt, grace_end);
        self.observe_latency_lower_bound(context.now, index, context.now.since(sent));
        if let Some(state) = self.back_ends.get(index) {
            context.act(Action::CancelAttempt {
                connection,
                address: state.address,
                request,
                attempt,
            });
        }
    }

    /// Handles a reply to an attempt.
    pub fn attempt_replied(
        &mut self,
        context: &mut Context<'_>,
        attempt: AttemptId,
        reply: BackEndReply,
        load: Option<LoadReport>,
    ) -> Option<FinishedAttempt> {
        // An attempt that is not on a connection cannot have a reply.
        let sent = self
            .attempts
            .get(attempt)
            .filter(|pending| pending.sent.is_some());
        let Some(pending) = sent else {
            self.counters.replies_foreign += 1;
            return None;
        };
        if !matches_attempt(&reply, &pending.attempt) {
            self.counters.replies_foreign += 1;
            return self.attempt_failed(context, attempt, AttemptFailure::MalformedReply);
        }
        let pending = self.remove_attempt(attempt)?;
        self.observe_reply(context, &pending, &reply, load.as_ref());
        if let Some((connection, _)) = pending.sent {
            self.release(context, connection);
        }
        let index = pending.back_end;
        let finished = self.finish(context, pending, Ok(reply));
        self.back_ends.remove_if_drained(index);
        finished
    }

    /// Handles the failure of an attempt that was sent.
    pub fn attempt_failed(
        &mut self,
        context: &mut Context<'_>,
        attempt: AttemptId,
        failure: AttemptFailure,
    ) -> Option<FinishedAttempt> {
        let (connection, _) = self.attempts.get(attempt)?.sent?;
        self.close(context, connection);
        if failure == AttemptFailure::NotSent && self.move_to_other_connection(context, attempt) {
            return None;
        }
        let pending = self.remove_attempt(attempt)?;
        let index = pending.back_end;
        self.counters.attempts_failed += 1;
        if failure != AttemptFailure::NotSent {
            self.observe_failure(context, index);
        }
        self.open_for_waiting(context, index);
        self.fail_waiting_if_unconnected(context, index);
        let finished = self.finish(context, pending, Err(failure));
        self.back_ends.remove_if_drained(index);
        finished
    }

    /// Fails the attempts that wait for a connection to a back end.
    pub(super) fn fail_waiting(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        for attempt in std::mem::take(&mut state.pool.waiting) {
            self.fail_unsent(context, attempt);
        }
    }

    /// Fails a waiting attempt at its deadline.
    pub(super) fn expire(&mut self, context: &mut Context<'_>, attempt: AttemptId) {
        self.counters.attempts_expired_waiting += 1;
        if let Some(pending) = self.attempts.get(attempt) {
            let index = pending.back_end;
            if let Some(state) = self.back_ends.get_mut(index) {
                state.pool.waiting.retain(|waiting| *waiting != attempt);
            }
        }
        self.fail_unsent(context, attempt);
    }

    /// Closes the connection of a cancelled attempt that got no reply in its grace period.
    pub(super) fn abandon(&mut self, context: &mut Context<'_>, attempt: AttemptId) {
        let sent = self.attempts.get(attempt).and_then(|pending| pending.sent);
        let Some((connection, _)) = sent else {
            return;
        };
        self.counters.attempts_abandoned += 1;
        self.close(context, connection);
        if let Some(pending) = self.remove_attempt(attempt) {
            self.observe_failure(context, pending.back_end);
            self.open_for_waiting(context, pending.back_end);
            self.fail_waiting_if_unconnected(context, pending.back_end);
            self.back_ends.remove_if_drained(pending.back_end);
        }
    }

    /// Sends an attempt on a free connection that is marked as in use.
    pub(super) fn send(
        &mut self,
        context: &mut Context<'_>,
        connection: ConnectionId,
        attempt: AttemptId,
    ) {
        let Some(pending) = self.attempts.get_mut(attempt) else {
            return;
        };
        pending.sent = Some((connection, context.now));
        // The time spent waiting for a connection is deducted.
        pending.attempt.time_left = pending.deadline.since(context.now);
        let attempt_sent = pending.attempt.clone();
        self.connections
            .set_state(connection, ConnectionState::Busy(attempt));
        self.counters.attempts_sent += 1;
        context.act(Action::SendAttempt {
            connection,
            attempt: attempt_sent,
        });
    }

    fn wait_for_connection(
        &mut self,
        context: &mut Context<'_>,
        index: BackEndIndex,
        attempt: AttemptId,
    ) {
        self.counters.attempts_waited += 1;
        self.attempts.begin_waiting(attempt);
        if let Some(state) = self.back_ends.get_mut(index) {
            state.pool.waiting.push_back(attempt);
        }
        self.open_for_waiting(context, index);
        self.fail_waiting_if_unconnected(context, index);
    }

    /// Removes a cancelled attempt that waits for a connection.
    fn remove_waiting(&mut self, index: BackEndIndex, attempt: AttemptId) {
        if let Some(state) = self.back_ends.get_mut(index) {
            state.pool.waiting.retain(|waiting| *waiting != attempt);
        }
        self.remove_attempt(attempt);
        self.back_ends.remove_if_drained(index);
    }

    /// Moves an attempt, once, to another connection after its connection broke before any byte was
    /// sent. Returns whether the attempt was moved.
    fn move_to_other_connection(&mut self, context: &mut Context<'_>, attempt: AttemptId) -> bool {
        let Some(pending) = self.attempts.get_mut(attempt) else {
            return false;
        };
        let index = pending.back_end;
        let Some(state) = self.back_ends.get_mut(index) else {
            return false;
        };
        let has_other_connection = state.takes_new_work() && state.pool.established() > 0;
        if pending.cancelled
            || pending.moved
            || !has_other_connection
            || pending.deadline <= context.now
        {
            return false;
        }
        pending.moved = true;
        pending.sent = None;
        self.counters.attempts_moved += 1;
        match state.pool.idle.pop() {
            Some(connection) => {
                self.mark_in_use(index, connection);
                self.send(context, connection, attempt);
            }
            None => {
                // The attempt is older than the waiting ones.
                state.pool.waiting.push_front(attempt);
                self.attempts.begin_waiting(attempt);
                self.open_for_waiting(context, index);
            }
        }
        true
    }

    /// Fails an attempt that was never sent.
    fn fail_unsent(&mut self, context: &mut Context<'_>, attempt: AttemptId) {
        if let Some(pending) = self.remove_attempt(attempt) {
            let finished = self.finish(context, pending, Err(AttemptFailure::NotSent));
            self.finished.extend(finished);
        }
    }

    /// Fails an attempt whose back end is unknown or takes no new work.
    fn reject(&mut self, back_end: &BackEndId, owner: AttemptOwner, attempt: Attempt) {
        self.finished.push_back(FinishedAttempt {
            owner,
            attempt,
            back_end: back_end.clone(),
            latency: Duration::ZERO,
            result: Err(AttemptFailure::NotSent),
        });
    }

    fn remove_attempt(&mut self, attempt: AttemptId) -> Option<PendingAttempt> {
        let pending = self.attempts.remove(attempt)?;
        if let Some(state) = self.back_ends.get_mut(pending.back_end) {
            state.in_flight -= 1;
        }
        Some(pending)
    }

    fn finish(
        &self,
        context: &Context<'_>,
        pending: PendingAttempt,
        result: Result<BackEndReply, AttemptFailure>,
    ) -> Option<FinishedAttempt> {
        if pending.cancelled {
            return None;
        }
        let state = self.back_ends.get(pending.back_end)?;
        Some(FinishedAttempt {
            owner: pending.owner,
            latency: context.now.since(pending.dispatched_at),
            attempt: pending.attempt,
            back_end: state.id.clone(),
            result,
        })
    }
}

/// Whether a reply echoes the ids of the attempt that its connection carries.
fn matches_attempt(reply: &BackEndReply, attempt: &Attempt) -> bool {
    reply.attempt == attempt.attempt
        && reply.request == attempt.request
        && reply.shard == attempt.shard
}
