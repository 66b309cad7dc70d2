//! Connection lifecycle: probation after opening, and classification of lost connections.
//!
//! A server over its connection limit accepts a connection and resets it at once. A request already
//! written to such a connection may have run, so that a retry would count against the budget.

use super::connections::Connection;
use super::server::IdleConnection;
use super::{ServerKey, Servers};
use crate::driver_action::ConnectionId;
use crate::time::Timestamp;
use std::time::Duration;

/// Time beyond a round trip within which a server over its limit resets a fresh connection.
const PROBATION_MARGIN: Duration = Duration::from_millis(4);
/// Longest round trip taken into account by a probation.
const MAX_PROBATION_ROUND_TRIP: Duration = Duration::from_millis(60);
/// Time after opening within which the loss of an unused connection counts as a refusal.
const REFUSAL_WINDOW: Duration = Duration::from_millis(400);

/// Classification of a lost connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum ConnectionLoss {
    /// The connection could not be opened.
    Unreachable,
    /// The connection was reset right after opening: the server is over its connection limit.
    Refused,
    /// The connection was closed after it had been used, or had been idle for some time.
    Idle,
}

impl Connection {
    fn classify_loss(&self, now: Timestamp) -> ConnectionLoss {
        match self.opened_at {
            None => ConnectionLoss::Unreachable,
            Some(at) if !self.used && now.since(at) < REFUSAL_WINDOW => ConnectionLoss::Refused,
            Some(_) => ConnectionLoss::Idle,
        }
    }
}

impl Servers {
    /// Records that a connection opened; returns its server if the connection is usable at once.
    pub(in crate::gateway) fn connection_opened(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        connect_time: Duration,
    ) -> Option<ServerKey> {
        let settling = now.since_epoch() < self.parameters.settling;
        let on_probation = settling || self.scarcity.has_refusals(now);
        self.scarcity.opened(now);
        let entry = self.connections.get_mut(&connection)?;
        entry.opened_at = Some(now);
        let key = entry.server;
        let server = self.servers.get_mut(&key)?;
        server.opening = server.opening.saturating_sub(1);
        server.open += 1;
        server.observe_round_trip(connect_time);
        if on_probation {
            let until = now + connect_time.min(MAX_PROBATION_ROUND_TRIP) + PROBATION_MARGIN;
            entry.probation_until = Some(until);
            self.scarcity.begin_probation(connection, until);
            return None;
        }
        self.add_idle(now, connection, key);
        Some(key)
    }

    /// Makes connections available whose probation is over; returns their servers.
    pub(in crate::gateway) fn end_probation(&mut self, now: Timestamp) -> Vec<ServerKey> {
        let mut servers = Vec::new();
        while let Some(connection) = self.scarcity.pop_ended_probation(now) {
            let Some(entry) = self.connections.get_mut(&connection) else {
                continue;
            };
            entry.probation_until = None;
            let key = entry.server;
            self.add_idle(now, connection, key);
            servers.push(key);
        }
        servers
    }

    fn add_idle(&mut self, now: Timestamp, connection: ConnectionId, key: ServerKey) {
        let idle_time = match self.scarcity.is_scarce(now) {
            true => self.parameters.scarce_idle_time,
            false => self.parameters.idle_time,
        };
        if let Some(server) = self.servers.get_mut(&key) {
            server.idle.push(IdleConnection {
                connection,
                idle_since: now,
                idle_until: now + idle_time,
            });
        }
    }

    /// Records a connection that was lost without an attempt; returns its server and the
    /// classification of the loss.
    pub(in crate::gateway) fn connection_lost(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
    ) -> Option<(ServerKey, ConnectionLoss)> {
        let entry = self.remove_connection(connection)?;
        let loss = entry.classify_loss(now);
        if loss == ConnectionLoss::Refused {
            self.scarcity.refused(now);
        }
        let parameters = &self.parameters;
        let server = self.servers.get_mut(&entry.server)?;
        if loss == ConnectionLoss::Unreachable {
            server.add_failure_cost(parameters, now, parameters.unreachable_cost);
        }
        if !entry.used && entry.opened_at.is_some() {
            server.preconnect = false;
        }
        if !entry.used {
            let longest = match entry.opened_at.is_some() {
                true => parameters.refused_pause_maximum,
                false => parameters.reconnect_pause_maximum,
            };
            server.connect_failed(now, parameters.reconnect_pause, longest);
        }
        Some((entry.server, loss))
    }

    /// Records a connection that broke while it carried an attempt.
    pub(in crate::gateway) fn connection_broken(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
    ) {
        let known = self.connections.get(&connection);
        if known.is_some_and(|entry| entry.classify_loss(now) == ConnectionLoss::Refused) {
            self.scarcity.refused(now);
        }
        self.discard_connection(connection);
    }
}
