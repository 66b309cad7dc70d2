//! Connections to servers: how many, when to open one, and which one carries the next attempt.
//!
//! Guards against two things: more connections than a server takes from all nodes together, and
//! churn, since opening one costs the server a slot for a moment.

use super::queue::Waiting;
use super::server::{Availability, Resting, Server};
use super::{ServerKey, Servers};
use crate::driver_action::{CallerId, ConnectionId};
use crate::gateway::action::GatewayAction;
use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::AttemptId;

/// Connections to a server whose limit is not known.
const UNKNOWN_CONNECTIONS: u32 = 2;
/// Part of the announced rest that is left unused: the server counts from an earlier moment.
const KEEP_ALIVE_RESERVE: f64 = 0.3;
/// Most that is left unused of it: the way, and a stall of this node.
const KEEP_ALIVE_RESERVE_MAXIMUM: Duration = Duration::from_millis(500);

/// Nodes that may take themselves for one of the owners, for each that is: a guess at how far member
/// lists differ.
const OWNERS_RESERVE: u32 = 2;

/// Time after a start in which connections are opened ahead of use though servers refuse many.
const SCARCE_AFTER: Duration = Duration::from_millis(1_500);
/// A connection that is open or opening.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Connection {
    pub(in crate::gateway) server: ServerKey,
    /// When it was opened; `None` while it opens.
    pub(super) opened: Option<Timestamp>,
    /// Until when it is proved before it carries anything.
    pub(super) proving: Option<Timestamp>,
    /// Whether it ever carried an answer.
    pub(in crate::gateway) used: bool,
    pub(in crate::gateway) attempt: Option<AttemptId>,
}

/// What became of the wish for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum OpenOutcome {
    /// This one rests.
    Resting(ConnectionId),
    /// One is opening, or will be free.
    Wait,
}

impl Servers {
    /// Connections that this node may have to a server.
    fn connection_limit(&mut self, now: Timestamp, service: ServiceKey) -> u32 {
        let limit = self.compute_connection_limit(now, service);
        self.services[service.0 as usize].own_connections = limit;
        limit
    }

    fn compute_connection_limit(&mut self, now: Timestamp, service: ServiceKey) -> u32 {
        if now.since_epoch() < self.parameters.settling {
            return 1;
        }
        let known = self.services[service.0 as usize].connections;
        let Some(all) = known else {
            return UNKNOWN_CONNECTIONS;
        };
        let members = match self.services[service.0 as usize].ownership {
            Some(ownership) => f64::from(ownership.owners * OWNERS_RESERVE),
            None => self.members.maximum(now).max(1) as f64,
        };
        let share = f64::from(all) * self.parameters.connection_share / members;
        (share as u32).clamp(1, self.parameters.connections_maximum)
    }

    /// A resting connection of the server; opens one where none rests and one more is allowed.
    pub(in crate::gateway) fn connection_for(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) -> OpenOutcome {
        self.close_rested(now, actions, key);
        let Some(server) = self.servers.get_mut(&key) else {
            return OpenOutcome::Wait;
        };
        if let Some(resting) = server.resting.pop() {
            return OpenOutcome::Resting(resting.connection);
        }
        let wanted = server.waiting.len() as u32 + 1;
        if server.opening < wanted {
            self.open(now, actions, key);
        }
        OpenOutcome::Wait
    }

    /// Opens a connection for what waits for one, where more wait than open.
    pub(in crate::gateway) fn open_for_waiting(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        let server = self.servers.get(&key);
        if server.is_some_and(|server| server.opening < server.waiting.len() as u32) {
            self.open(now, actions, key);
        }
    }

    /// Opens a connection where it is allowed.
    fn open(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) -> bool {
        let Some(server) = self.servers.get(&key) else {
            return false;
        };
        let service = server.service;
        let limit = self.connection_limit(now, service);
        let Some(server) = self.servers.get(&key) else {
            return false;
        };
        let live = server.live_connections(&self.parameters, now);
        if now < server.connect_after || live + server.opening >= limit {
            return false;
        }
        self.next_connection += 1;
        let connection = ConnectionId(self.next_connection);
        let entry = Connection {
            server: key,
            opened: None,
            proving: None,
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

    /// Opens a connection to the servers of the services that are kept warm, and closes those that
    /// have rested for long enough. A server whose last connection was closed for want of use gets
    /// a new one only when it is needed, or when its service has no other.
    pub(in crate::gateway) fn keep_warm(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
    ) {
        self.reassign(now);
        for index in 0..self.services.len() as u32 {
            self.connection_limit(now, ServiceKey(index));
        }
        let services: Vec<ServiceKey> = self.kept_warm.iter().copied().collect();
        let change = self.scarcity.change(now);
        actions.extend(change.map(GatewayAction::Changed));
        // Few are left: they are opened for requests only.
        let scarce = now.since_epoch() >= SCARCE_AFTER && self.scarcity.is_scarce(now);
        for service in services.into_iter().filter(|_| !scarce) {
            for key in self.cold_servers(now, service) {
                self.open(now, actions, key);
            }
        }
        let all: Vec<ServerKey> = self.servers.keys().copied().collect();
        for key in all {
            self.close_rested(now, actions, key);
        }
    }

    /// Servers of a service to which a connection is to be opened ahead of use. Guards against
    /// connections that grow with nodes times servers, most of which are never used.
    fn cold_servers(&self, now: Timestamp, service: ServiceKey) -> Vec<ServerKey> {
        let keys = &self.services[service.0 as usize].servers;
        let found = keys
            .iter()
            .filter_map(|key| Some((*key, self.servers.get(key)?)));
        let kept = found.filter(|(_, server)| {
            let ready = server.availability == Availability::Ready && server.takes_requests();
            server.assigned && ready
        });
        let (connected, cold): (Vec<_>, Vec<_>) =
            kept.partition(|(_, server)| server.open + server.opening > 0);
        let room = self
            .parameters
            .servers_ahead
            .saturating_sub(connected.len());
        if room == 0 {
            return Vec::new();
        }
        let mut cold: Vec<(ServerKey, &Server)> = cold
            .into_iter()
            .filter(|(_, server)| server.connect_after <= now)
            .collect();
        cold.sort_by_cached_key(|(_, server)| {
            let order = self.subset.order_of(&server.id);
            (!server.wanted, server.distance, order)
        });
        // Those that are not wanted come last: one of them where there is no other.
        let unwanted = usize::from(connected.is_empty());
        let wanted = cold.iter().filter(|(_, server)| server.wanted).count();
        let keys = cold.into_iter().map(|(key, _)| key);
        keys.take(wanted.max(unwanted).min(room)).collect()
    }

    /// Takes a connection off the tables.
    pub(super) fn remove_connection(&mut self, connection: ConnectionId) -> Option<Connection> {
        let entry = self.connections.remove(&connection)?;
        if let Some(until) = entry.proving {
            self.scarcity.forget(connection, until);
        }
        let server = self.servers.get_mut(&entry.server)?;
        if entry.opened.is_some() {
            server.open = server.open.saturating_sub(1);
        } else {
            server.opening = server.opening.saturating_sub(1);
        }
        server
            .resting
            .retain(|resting| resting.connection != connection);
        Some(entry)
    }

    /// The connection and server of an attempt.
    pub(in crate::gateway) fn occupy(&mut self, connection: ConnectionId, attempt: AttemptId) {
        let Some(entry) = self.connections.get_mut(&connection) else {
            return;
        };
        entry.attempt = Some(attempt);
        if let Some(server) = self.servers.get_mut(&entry.server) {
            server.wanted = true;
        }
    }

    /// An attempt ended and its connection may carry another.
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
        server.refusals = 0;
        let spare = server.open > 1 || !server.assigned;
        let own = match spare {
            _ if scarce => self.parameters.scarce_idle_time,
            true => self.parameters.spare_idle_time,
            false => self.parameters.idle_time,
        };
        let named = keep_alive.map(usable_rest);
        let rest = named.map_or(own, |named| named.min(own));
        server.resting.push(Resting {
            connection,
            since: now,
            until: now + rest,
        });
        self.close_idle_if_leaving(actions, key);
    }

    /// Closes a connection and forgets it.
    pub(in crate::gateway) fn close(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        connection: ConnectionId,
    ) {
        actions.push_back(GatewayAction::Close { connection });
        self.forget_connection(connection);
    }

    /// A connection ended with its attempt.
    pub(in crate::gateway) fn forget_connection(&mut self, connection: ConnectionId) {
        if let Some(entry) = self.remove_connection(connection) {
            self.forget_if_over(entry.server);
        }
    }

    /// A server that leaves needs no resting connection. One of an evacuated zone does: it is back
    /// within seconds, and opening anew costs it a slot.
    pub(super) fn close_idle_if_leaving(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        if !server.is_leaving() {
            return;
        }
        for resting in std::mem::take(&mut server.resting) {
            self.close(actions, resting.connection);
        }
    }

    /// Closes connections that the server is about to close, and those that may be dead.
    fn close_rested(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        let Some(server) = self.servers.get(&key) else {
            return;
        };
        let parameters = &self.parameters;
        let rested = server
            .resting
            .iter()
            .filter(|resting| resting.until <= now || server.may_be_dead(parameters, now, resting));
        let rested: Vec<ConnectionId> = rested.map(|resting| resting.connection).collect();
        for connection in rested {
            self.close(actions, connection);
            if let Some(server) = self.servers.get_mut(&key) {
                server.wanted &= server.open > 0;
            }
        }
    }

    /// The next part that waits for a connection of the server.
    pub(in crate::gateway) fn next_waiting(
        &mut self,
        now: Timestamp,
        key: ServerKey,
    ) -> Option<Waiting> {
        self.servers.get_mut(&key)?.waiting.pop(now)
    }

    /// Takes a part off the queue of a server.
    pub(in crate::gateway) fn stop_waiting(
        &mut self,
        key: ServerKey,
        caller: CallerId,
        leg: usize,
    ) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.waiting.remove(caller, leg);
        }
    }
}

/// Part of an announced rest in which the connection may carry another attempt.
fn usable_rest(announced: Duration) -> Duration {
    let reserve = announced.mul_f64(KEEP_ALIVE_RESERVE);
    announced.saturating_sub(reserve.min(KEEP_ALIVE_RESERVE_MAXIMUM))
}
