//! Opening, reusing and closing connections.

use super::Router;
use super::back_end::BackEndIndex;
use super::connections::{Connection, ConnectionState};
use crate::context::Context;
use crate::driver_action::{Action, ConnectionId};
use crate::event::AttemptFailure;

impl Router {
    /// Handles an opened connection.
    pub fn connection_opened(&mut self, context: &mut Context<'_>, connection: ConnectionId) {
        let Some(tracked) = self.connections.get(connection) else {
            return;
        };
        if tracked.state != ConnectionState::Opening {
            return;
        }
        self.connections
            .set_state(connection, ConnectionState::Idle);
        if let Some(state) = self.back_ends.get_mut(tracked.back_end) {
            state.pool.opening -= 1;
            state.pool.backoff.reset();
        }
        self.observe_connected(context, tracked.back_end);
        self.release(context, connection);
        self.back_ends.remove_if_drained(tracked.back_end);
    }

    /// Handles a connection that was lost or could not be opened. If the back end has no other
    /// connection, its waiting attempts fail and are returned by [`Self::poll_finished`].
    pub fn connection_lost(&mut self, context: &mut Context<'_>, connection: ConnectionId) {
        let Some(lost) = self.remove_connection(connection) else {
            return;
        };
        match lost.state {
            ConnectionState::Opening if lost.retired => {}
            ConnectionState::Opening => self.connect_failed(context, lost.back_end),
            ConnectionState::Idle => self.counters.connections_lost += 1,
            ConnectionState::Busy(attempt) => {
                self.counters.connections_lost += 1;
                // Fails the attempt if the driver has not reported its failure before.
                let broken = AttemptFailure::ConnectionBroken;
                let finished = self.attempt_failed(context, attempt, broken);
                self.finished.extend(finished);
            }
        }
        self.open_for_waiting(context, lost.back_end);
        self.fail_waiting_if_unconnected(context, lost.back_end);
        self.back_ends.remove_if_drained(lost.back_end);
    }

    /// Opens connections for waiting attempts, up to the connection share.
    pub(super) fn open_for_waiting(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        while let Some(state) = self.back_ends.get(index) {
            let waiting = state.pool.waiting.len() as u32;
            if state.pool.opening >= waiting || !self.try_open(context, index) {
                return;
            }
        }
    }

    /// Opens the minimum number of warm connections, up to the connection share.
    pub(super) fn open_warm_connections(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let warm = self.parameters.connections.warm;
        while let Some(state) = self.back_ends.get(index) {
            if state.pool.open() >= warm || !self.try_open(context, index) {
                return;
            }
        }
    }

    /// Gives a free connection to the next waiting attempt, or makes it idle, or closes it.
    pub(super) fn release(&mut self, context: &mut Context<'_>, connection: ConnectionId) {
        let Some(tracked) = self.connections.get(connection) else {
            return;
        };
        let Some(state) = self.back_ends.get_mut(tracked.back_end) else {
            return;
        };
        let surplus = !state.takes_new_work() || state.pool.open() > state.connection_share;
        if tracked.retired || surplus {
            self.close(context, connection);
            self.open_for_waiting(context, tracked.back_end);
            return;
        }
        if let Some(attempt) = state.pool.waiting.pop_front() {
            self.attempts.end_waiting(attempt);
            self.send(context, connection, attempt);
            return;
        }
        state.pool.remove_in_use(connection);
        state.pool.idle.push(connection);
        self.connections
            .set_state(connection, ConnectionState::Idle);
    }

    /// Marks a connection that was removed from the idle ones as in use.
    pub(super) fn mark_in_use(&mut self, index: BackEndIndex, connection: ConnectionId) {
        if let Some(state) = self.back_ends.get_mut(index) {
            state.pool.in_use.push(connection);
            state.pool.record_use();
        }
    }

    /// Closes a connection in any state.
    pub(super) fn close(&mut self, context: &mut Context<'_>, connection: ConnectionId) {
        if self.remove_connection(connection).is_some() {
            self.counters.connections_closed += 1;
            context.act(Action::CloseConnection { connection });
        }
    }

    /// Closes idle connections above the connection share.
    pub(super) fn close_surplus(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        while let Some(state) = self.back_ends.get(index) {
            let kept = if state.takes_new_work() {
                state.connection_share
            } else {
                0
            };
            if state.pool.open() <= kept {
                return;
            }
            let Some(connection) = state.pool.idle.first().copied() else {
                return;
            };
            self.close(context, connection);
        }
    }

    /// Closes idle connections to a previous address; the others are closed when they become free.
    pub(super) fn retire_connections(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let Some(state) = self.back_ends.get(index) else {
            return;
        };
        let in_use = state.pool.in_use.clone();
        for connection in state.pool.idle.clone() {
            self.close(context, connection);
        }
        for connection in in_use {
            self.connections.retire(connection);
        }
    }

    /// Fails waiting attempts if no connection is open or being opened.
    pub(super) fn fail_waiting_if_unconnected(
        &mut self,
        context: &mut Context<'_>,
        index: BackEndIndex,
    ) {
        let unconnected = self
            .back_ends
            .get(index)
            .is_some_and(|state| state.pool.open() == 0);
        if unconnected {
            self.fail_waiting(context, index);
        }
    }

    fn try_open(&mut self, context: &mut Context<'_>, index: BackEndIndex) -> bool {
        let Some(state) = self.back_ends.get_mut(index) else {
            return false;
        };
        let allowed = state.takes_new_work()
            && state.pool.open() < state.connection_share
            && state.pool.backoff.allows(context.now);
        if !allowed {
            return false;
        }
        let connection = self.connections.insert_opening(index);
        state.pool.in_use.push(connection);
        state.pool.opening += 1;
        state.pool.record_use();
        self.counters.connections_opened += 1;
        context.act(Action::OpenConnection {
            connection,
            back_end: state.id.clone(),
            address: state.address,
        });
        true
    }

    fn connect_failed(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        self.counters.connections_refused += 1;
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        let parameters = &self.parameters.connections;
        let retry_at = state
            .pool
            .backoff
            .record_failure(parameters, context.now, context.random);
        self.reconnects.insert((retry_at, index));
        if state.pool.established() == 0 {
            self.observe_unreachable(context, index);
        }
    }

    /// Removes a connection from the table and from its pool.
    fn remove_connection(&mut self, connection: ConnectionId) -> Option<Connection> {
        let tracked = self.connections.remove(connection)?;
        if let Some(state) = self.back_ends.get_mut(tracked.back_end) {
            if !state.pool.remove_in_use(connection) {
                state.pool.idle.retain(|idle| *idle != connection);
            }
            if tracked.state == ConnectionState::Opening {
                state.pool.opening -= 1;
            }
        }
        Some(tracked)
    }
}
