//! The life of an attempt: handed over, waiting, sent, cancelled, ended.

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
    /// Sends an attempt, at once or as soon as a connection is free. Its time left runs from now.
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

    /// Gives up an attempt; its end is not reported to the owner any more. One that was sent
    /// keeps its connection, and counts as in flight, until its reply comes.
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

    /// A reply came.
    pub fn replied(
        &mut self,
        context: &mut Context<'_>,
        attempt: AttemptId,
        reply: BackEndReply,
        load: Option<LoadReport>,
    ) -> Option<FinishedAttempt> {
        // A reply to an attempt that waits to be sent (again) cannot be its reply.
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
            return self.failed(context, attempt, AttemptFailure::MalformedReply);
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

    /// An attempt failed.
    pub fn failed(
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

    /// Ends attempts that wait for a connection to this back end, none of which was sent.
    pub(super) fn fail_waiting(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        for attempt in std::mem::take(&mut state.pool.waiting) {
            self.fail_unsent(context, attempt);
        }
    }

    /// Ends a waiting attempt whose time is over.
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

    /// Closes the connection of a cancelled attempt whose reply did not come.
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

    /// Puts an attempt on a free, engaged connection.
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
        // Time spent waiting for the connection is no longer there for the back end.
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

    /// A waiting attempt is not wanted any more.
    fn remove_waiting(&mut self, index: BackEndIndex, attempt: AttemptId) {
        if let Some(state) = self.back_ends.get_mut(index) {
            state.pool.waiting.retain(|waiting| *waiting != attempt);
        }
        self.remove_attempt(attempt);
        self.back_ends.remove_if_drained(index);
    }

    /// Lets an attempt whose connection broke before any byte left wait for another one, once.
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
                // It came before those that wait now.
                state.pool.waiting.push_front(attempt);
                self.attempts.begin_waiting(attempt);
                self.open_for_waiting(context, index);
            }
        }
        true
    }

    /// Ends an attempt that was never sent.
    fn fail_unsent(&mut self, context: &mut Context<'_>, attempt: AttemptId) {
        if let Some(pending) = self.remove_attempt(attempt) {
            let finished = self.finish(context, pending, Err(AttemptFailure::NotSent));
            self.finished.extend(finished);
        }
    }

    /// Refuses an attempt that its back end may not get.
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

/// Whether a reply belongs to the attempt that its connection was running.
fn matches_attempt(reply: &BackEndReply, attempt: &Attempt) -> bool {
    reply.attempt == attempt.attempt
        && reply.request == attempt.request
        && reply.shard == attempt.shard
}
