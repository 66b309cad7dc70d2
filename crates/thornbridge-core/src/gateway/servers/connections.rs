//! Connection pool: limits per server, connecting ahead of use, and idle timeouts.
//!
//! Guards against exceeding a server's connection limit, which all nodes share, and against
//! connection churn: accepting a connection occupies a slot of the server for a moment.

use super::queue::QueuedPart;
use super::server::{Availability, IdleConnection, Server};
use super::{ServerKey, Servers};
use crate::driver_action::{CallerId, ConnectionId};
use crate::gateway::action::GatewayAction;
use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::AttemptId;

/// Connections to each server of a service without a configured limit.
const DEFAULT_CONNECTION_LIMIT: u32 = 2;
/// Share of an announced keep-alive time left unused, since the server starts counting earlier.
const KEEP_ALIVE_MARGIN_SHARE: f64 = 0.3;
/// Upper bound of the unused keep-alive time; covers network delay and stalls of this node.
const MAX_KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Factor on the number of owners: member lists differ, so more nodes may consider themselves owners.
const OWNER_COUNT_FACTOR: u32 = 2;
/// Time after startup during which connections are opened ahead of use even if they are scarce.
const SCARCITY_STARTUP_GRACE: Duration = Duration::from_millis(1_500);

/// An open or opening connection.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Connection {
    pub(in crate::gateway) server: ServerKey,
    /// When the connection was established; `None` while it is opening.
    pub(super) opened_at: Option<Timestamp>,
    /// End of the probation, during which the connection carries no request.
    pub(super) probation_until: Option<Timestamp>,
    /// Whether the connection ever carried an answer.
    pub(in crate::gateway) used: bool,
    pub(in crate::gateway) attempt: Option<AttemptId>,
}

/// Result of acquiring a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum AcquireOutcome {
    /// An idle connection is available.
    Idle(ConnectionId),
    /// No connection is idle; one is opening or will be released.
    Pending,
}

impl Servers {
    /// Updates and returns the number of connections that this node may have to each server.
    pub(super) fn connection_limit(&mut self, now: Timestamp, service: ServiceKey) -> u32 {
        let limit = self.compute_connection_limit(now, service);
        self.services[service.0 as usize].own_connection_limit = limit;
        limit
    }

    fn compute_connection_limit(&mut self, now: Timestamp, service: ServiceKey) -> u32 {
        if now.since_epoch() < self.parameters.settling {
            return 1;
        }
        let configured = self.services[service.0 as usize].connection_limit;
        let Some(total) = configured else {
            return DEFAULT_CONNECTION_LIMIT;
        };
        let members = match self.services[service.0 as usize].ownership {
            Some(ownership) => f64::from(ownership.owners * OWNER_COUNT_FACTOR),
            None => self.members.maximum(now).max(1) as f64,
        };
        let share = f64::from(total) * self.parameters.connection_share / members;
        (share as u32).clamp(1, self.parameters.connections_maximum)
    }

    /// Takes an idle connection of the server, or opens one if the limit allows it.
    pub(in crate::gateway) fn acquire_connection(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) -> AcquireOutcome {
        self.close_expired_idle(now, actions, key);
        let Some(server) = self.servers.get_mut(&key) else {
            return AcquireOutcome::Pending;
        };
        if let Some(idle) = server.idle.pop() {
            return AcquireOutcome::Idle(idle.connection);
        }
        let needed = server.queue.len() as u32 + 1;
        if server.opening < needed {
            self.open(now, actions, key);
        }
        AcquireOutcome::Pending
    }

    /// Opens a connection if more parts are queued than connections are opening.
    pub(in crate::gateway) fn open_for_queued(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        let server = self.servers.get(&key);
        if server.is_some_and(|server| server.opening < server.queue.len() as u32) {
            self.open(now, actions, key);
        }
    }

    /// Opens a connection if backoff and limit allow it; returns whether it did.
    fn open(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) -> bool {
        let Some(server) = self.servers.get(&key) else {
            return false;
        };
        let limit = self.connection_limit(now, server.service);
        self.open_within(now, actions, key, limit)
    }

    /// Opens a connection if backoff and this limit allow it; returns whether it did.
    pub(super) fn open_within(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
        limit: u32,
    ) -> bool {
        let Some(server) = self.servers.get(&key) else {
            return false;
        };
        let live = server.live_connections(&self.parameters, now);
        if now < server.reconnect_at || live + server.opening >= limit {
            return false;
        }
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        let entry = Connection {
            server: key,
            opened_at: None,
            probation_until: None,
            used: false,
            attempt: None,
        };
        self.connections.insert(connection, entry);
        if let Some(server) = self.servers.get_mut(&key) {
            server.opening += 1;
            let address = server.address;
            actions.push_back(GatewayAction::Open {
                connection,
                address,
            });
        }
        true
    }

    /// Opens connections ahead of use for all warm services, and closes expired idle connections.
    ///
    /// A server whose last connection expired idle, or was lost unused, is connected to again only on
    /// demand, or if its service has no other connection.
    pub(in crate::gateway) fn keep_warm(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
    ) {
        self.reassign(now);
        for index in 0..self.services.len() as u32 {
            self.connection_limit(now, ServiceKey(index));
        }
        let services: Vec<ServiceKey> = self.warm_services.iter().copied().collect();
        let change = self.scarcity.take_change(now);
        actions.extend(change.map(GatewayAction::Changed));
        // Scarce connections are opened on demand only.
        let scarce = now.since_epoch() >= SCARCITY_STARTUP_GRACE && self.scarcity.is_scarce(now);
        for service in services.into_iter().filter(|_| !scarce) {
            for key in self.preconnect_candidates(now, service, Server::takes_requests) {
                self.open(now, actions, key);
            }
            if !self.services[service.0 as usize].roles.warm_trial {
                continue;
            }
            for key in self.preconnect_candidates(now, service, Server::takes_trials) {
                self.open(now, actions, key);
            }
        }
        let all: Vec<ServerKey> = self.servers.keys().copied().collect();
        for key in all {
            self.close_idle_if_leaving(actions, key);
            self.close_expired_idle(now, actions, key);
        }
    }

    /// Servers of a service to connect to ahead of use among those that are `usable`, at most
    /// `servers_ahead` connected in total.
    ///
    /// Guards against a number of mostly unused connections that grows with nodes times servers.
    fn preconnect_candidates(
        &self,
        now: Timestamp,
        service: ServiceKey,
        usable: impl Fn(&Server) -> bool,
    ) -> Vec<ServerKey> {
        let keys = &self.services[service.0 as usize].servers;
        let found = keys
            .iter()
            .filter_map(|key| Some((*key, self.servers.get(key)?)));
        let eligible = found.filter(|(_, server)| {
            let ready = server.availability == Availability::Ready && usable(server);
            server.in_subset && ready
        });
        let (connected, unconnected): (Vec<_>, Vec<_>) =
            eligible.partition(|(_, server)| server.open + server.opening > 0);
        let room = self
            .parameters
            .servers_ahead
            .saturating_sub(connected.len());
        if room == 0 {
            return Vec::new();
        }
        let mut candidates: Vec<(ServerKey, &Server)> = unconnected
            .into_iter()
            .filter(|(_, server)| server.reconnect_at <= now)
            .collect();
        candidates.sort_by_cached_key(|(_, server)| {
            let rank = self.subset.rendezvous_rank(&server.id);
            (!server.preconnect, server.distance, rank)
        });
        // Without any connection, one server is connected to even if none is marked `preconnect`.
        let least = usize::from(connected.is_empty());
        let marked = candidates
            .iter()
            .filter(|(_, server)| server.preconnect)
            .count();
        let keys = candidates.into_iter().map(|(key, _)| key);
        keys.take(marked.max(least).min(room)).collect()
    }

    /// Removes a connection from the table and from its server.
    pub(super) fn remove_connection(&mut self, connection: ConnectionId) -> Option<Connection> {
        let entry = self.connections.remove(&connection)?;
        if let Some(until) = entry.probation_until {
            self.scarcity.cancel_probation(connection, until);
        }
        let server = self.servers.get_mut(&entry.server)?;
        if entry.opened_at.is_some() {
            server.open = server.open.saturating_sub(1);
        } else {
            server.opening = server.opening.saturating_sub(1);
        }
        server.idle.retain(|idle| idle.connection != connection);
        Some(entry)
    }

    /// Marks a connection as carrying an attempt.
    pub(in crate::gateway) fn occupy(&mut self, connection: ConnectionId, attempt: AttemptId) {
        let Some(entry) = self.connections.get_mut(&connection) else {
            return;
        };
        entry.attempt = Some(attempt);
        if let Some(server) = self.servers.get_mut(&entry.server) {
            server.preconnect = true;
        }
    }

    /// Returns a connection to the pool after its attempt ended.
    ///
    /// `keep_alive` is the idle time that the server announced, if any.
    pub(in crate::gateway) fn release(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        connection: ConnectionId,
        keep_alive: Option<Duration>,
    ) {
        let scarce = self.scarcity.is_scarce(now);
        let Some(entry) = self.connections.get_mut(&connection) else {
            return;
        };
        entry.attempt = None;
        entry.used = true;
        let key = entry.server;
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.consecutive_connect_failures = 0;
        let spare = server.open > 1 || !server.in_subset;
        let idle_limit = match spare {
            _ if scarce => self.parameters.scarce_idle_time,
            true => self.parameters.spare_idle_time,
            false => self.parameters.idle_time,
        };
        let announced = keep_alive.map(usable_keep_alive);
        let idle_time = announced.map_or(idle_limit, |announced| announced.min(idle_limit));
        server.idle.push(IdleConnection {
            connection,
            idle_since: now,
            idle_until: now + idle_time,
        });
        self.close_idle_if_leaving(actions, key);
    }

    /// Closes a connection and removes it.
    pub(in crate::gateway) fn close(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        connection: ConnectionId,
    ) {
        actions.push_back(GatewayAction::Close { connection });
        self.discard_connection(connection);
    }

    /// Removes a closed connection, and its server if that is gone and unused.
    pub(in crate::gateway) fn discard_connection(&mut self, connection: ConnectionId) {
        if let Some(entry) = self.remove_connection(connection) {
            self.remove_if_unused(entry.server);
        }
    }

    /// Closes the idle connections of a server that is displaced, draining or gone, or whose version
    /// gets no requests.
    ///
    /// Servers of evacuated zones keep theirs: an evacuation may end within seconds, and
    /// reconnecting would occupy slots.
    pub(in crate::gateway) fn close_idle_if_leaving(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        if !server.is_unused() {
            return;
        }
        for idle in std::mem::take(&mut server.idle) {
            self.close(actions, idle.connection);
        }
    }

    /// Closes idle connections whose idle time is over or that may be dead.
    fn close_expired_idle(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        let Some(server) = self.servers.get(&key) else {
            return;
        };
        let parameters = &self.parameters;
        let expired = server
            .idle
            .iter()
            .filter(|idle| idle.idle_until <= now || server.may_be_dead(parameters, now, idle));
        let expired: Vec<ConnectionId> = expired.map(|idle| idle.connection).collect();
        for connection in expired {
            self.close(actions, connection);
            if let Some(server) = self.servers.get_mut(&key) {
                server.preconnect &= server.open > 0;
            }
        }
    }

    /// Takes the next part off the server's queue.
    pub(in crate::gateway) fn dequeue(
        &mut self,
        now: Timestamp,
        key: ServerKey,
    ) -> Option<QueuedPart> {
        let server = self.servers.get_mut(&key)?;
        let part = server.queue.pop(now);
        server.queue_void &= !server.queue.is_empty();
        part
    }

    /// Removes a part from the server's queue.
    pub(in crate::gateway) fn remove_queued(
        &mut self,
        key: ServerKey,
        caller: CallerId,
        part: usize,
    ) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.queue.remove(caller, part);
        }
    }
}

/// Part of an announced keep-alive time in which the connection may carry another attempt.
fn usable_keep_alive(announced: Duration) -> Duration {
    let margin = announced.mul_f64(KEEP_ALIVE_MARGIN_SHARE);
    announced.saturating_sub(margin.min(MAX_KEEP_ALIVE_MARGIN))
}
