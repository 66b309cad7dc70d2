//! Known servers, their connections, and server selection.
//!
//! Servers are selected by expected latency, so that slow, unresponsive and failing servers are
//! avoided. A draining server gets no new requests.

mod choosing;
mod cold;
mod connections;
mod displacing;
mod homes;
mod lifecycle;
mod queue;
mod registering;
mod rejections;
mod scarcity;
mod server;
mod subset;
mod versions;

pub(super) use choosing::{Choice, Selection};
pub(super) use cold::ColdShares;
pub(super) use connections::{AcquireOutcome, Connection};
pub(super) use lifecycle::ConnectionLoss;
#[cfg(test)]
pub(super) use queue::PartQueue;
pub(super) use queue::QueuedPart;
pub(super) use server::{Availability, Server};
pub(super) use subset::MemberLocation;
pub(super) use versions::{VersionRole, VersionRoles};

use super::action::GatewayAction;
use super::budget::ServiceKey;
use super::parameters::ServerParameters;
use super::slices::Ownership;
use super::window::MaximumWindow;
use crate::driver_action::ConnectionId;
use crate::time::Timestamp;
use scarcity::Scarcity;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use subset::Subset;
use thornbridge_config::routes::{RoutedService, WarmUp};
use thornbridge_proto::{BackEndId, RegionName, ServiceName, ZoneName};

/// Buckets of the window over which the maximum number of members is taken.
const MEMBER_WINDOW_BUCKETS: u32 = 20;

/// Key of a server; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServerKey(pub(super) u32);

/// Zone and region of this node, and the regions of all zones.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Zone of this node.
    pub zone: ZoneName,
    /// Region of this node.
    pub region: RegionName,
    /// Region of each zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
}

/// Servers and connection limits of a service.
#[derive(Debug, Default)]
struct ServiceEntry {
    name: Option<ServiceName>,
    /// Whether a configuration named it.
    is_named: bool,
    servers: Vec<ServerKey>,
    /// Connections that each server accepts from all nodes together, if configured.
    connection_limit: Option<u32>,
    /// How the servers warm up, if what cold ones get is bounded.
    warm_up: Option<WarmUp>,
    /// Connections that this node may have to each server, as last computed.
    own_connection_limit: u32,
    /// Owners that connect to the servers, if the service belongs to a group of shards.
    ownership: Option<Ownership>,
    /// What servers of each version get.
    roles: VersionRoles,
}

/// All known servers and the connections to them.
#[derive(Debug)]
pub(super) struct Servers {
    pub(super) parameters: ServerParameters,
    placement: Placement,
    members: MaximumWindow,
    subset: Subset,
    scarcity: Scarcity,
    next_key: u32,
    next_connection: u64,
    servers: BTreeMap<ServerKey, Server>,
    by_id: BTreeMap<BackEndId, ServerKey>,
    /// Server with the latest registry entry for each address.
    by_address: BTreeMap<SocketAddr, ServerKey>,
    /// Displaced servers that peers have not been notified of.
    newly_displaced: Vec<ServerKey>,
    service_names: BTreeMap<ServiceName, ServiceKey>,
    services: Vec<ServiceEntry>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// Services to whose servers connections are opened ahead of use.
    warm_services: BTreeSet<ServiceKey>,
    /// Zones whose servers get no requests.
    evacuated: BTreeSet<ZoneName>,
    cold_shares: ColdShares,
}

impl Servers {
    pub(super) fn new(
        parameters: ServerParameters,
        placement: Placement,
        own_address: SocketAddr,
    ) -> Self {
        let bucket_duration = parameters.members_memory / MEMBER_WINDOW_BUCKETS;
        let settling = parameters.settling;
        Self {
            subset: Subset::new(own_address, &placement),
            scarcity: Scarcity::new(parameters.scarcity_window),
            parameters,
            placement,
            members: MaximumWindow::new(bucket_duration, MEMBER_WINDOW_BUCKETS),
            next_key: 0,
            next_connection: 0,
            servers: BTreeMap::new(),
            by_id: BTreeMap::new(),
            by_address: BTreeMap::new(),
            newly_displaced: Vec::new(),
            service_names: BTreeMap::new(),
            services: Vec::new(),
            connections: BTreeMap::new(),
            warm_services: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            cold_shares: ColdShares::new(own_address, false, settling),
        }
    }

    /// Key of a service, which is added if it is new.
    pub(super) fn service_key(&mut self, name: &ServiceName) -> ServiceKey {
        if let Some(key) = self.service_names.get(name) {
            return *key;
        }
        let key = ServiceKey(self.services.len() as u32);
        self.services.push(ServiceEntry {
            name: Some(name.clone()),
            ..ServiceEntry::default()
        });
        self.service_names.insert(name.clone(), key);
        key
    }

    /// Key of a service, if it is known.
    pub(super) fn find_service(&self, name: &ServiceName) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Names of all services.
    pub(super) fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        self.service_names.keys()
    }

    pub(super) fn service_name(&self, key: ServiceKey) -> Option<&ServiceName> {
        self.services.get(key.0 as usize)?.name.as_ref()
    }

    /// Sets the owners of services; services without owners are shared by all members.
    pub(super) fn set_ownership(&mut self, owned: &BTreeMap<ServiceKey, Ownership>) {
        for index in 0..self.services.len() as u32 {
            let key = ServiceKey(index);
            let ownership = owned.get(&key).copied();
            let entry = &mut self.services[index as usize];
            if entry.ownership != ownership {
                entry.ownership = ownership;
                self.subset.invalidate(key);
            }
        }
    }

    /// Applies the connection limits of a configuration, and the services of its routes, which are
    /// kept warm.
    pub(super) fn configure(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        services: &[RoutedService],
        warm: BTreeSet<ServiceKey>,
    ) {
        for service in &warm {
            self.name_service(actions, *service);
        }
        for service in services {
            let key = self.service_key(&service.name);
            self.name_service(actions, key);
            let entry = &mut self.services[key.0 as usize];
            entry.warm_up = service.warm_up;
            if entry.connection_limit != Some(service.connections) {
                entry.connection_limit = Some(service.connections);
                self.subset.invalidate(key);
            }
        }
        self.warm_services = warm;
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn get(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut Server> {
        self.servers.get_mut(&key)
    }

    pub(super) fn of_service(&self, service: ServiceKey) -> impl Iterator<Item = &Server> {
        let keys = &self.services[service.0 as usize].servers;
        keys.iter().filter_map(|key| self.servers.get(key))
    }

    /// Whether a service has a server that takes requests.
    pub(super) fn has_server(&self, service: ServiceKey) -> bool {
        self.of_service(service).any(Server::takes_requests)
    }

    /// Whether a service has servers that would get requests, all of them in evacuated zones.
    pub(super) fn is_evacuated(&self, service: ServiceKey) -> bool {
        let mut staying = self
            .of_service(service)
            .filter(|server| !server.is_leaving() && server.version_serves())
            .peekable();
        let any = !self.evacuated.is_empty() && staying.peek().is_some();
        any && staying.all(|server| server.evacuated)
    }

    /// Whether a server of the service has an open connection, or only other nodes own the service.
    pub(super) fn is_warm(&self, service: ServiceKey) -> bool {
        let ownership = self.services[service.0 as usize].ownership;
        if ownership.is_some_and(|ownership| !ownership.is_owner) {
            return true;
        }
        self.of_service(service)
            .any(|server| server.takes_requests() && server.open > 0)
    }

    /// Round trip to the nearest other server of the same service.
    pub(super) fn nearest_other_round_trip(&self, key: ServerKey) -> Option<Duration> {
        let service = self.servers.get(&key)?.service;
        let keys = self.services[service.0 as usize].servers.iter();
        let others = keys.filter(|other| **other != key);
        let others = others.filter_map(|other| self.servers.get(other));
        let available = others.filter(|server| server.takes_requests());
        available.map(Server::round_trip).min()
    }

    /// Number of servers that may get requests.
    pub(super) fn available_count(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.takes_requests()).count()
    }

    /// Evacuates a zone or ends its evacuation; returns the number of its servers.
    ///
    /// Servers count as cold after an evacuation.
    pub(super) fn set_evacuated(
        &mut self,
        now: Timestamp,
        zone: &ZoneName,
        evacuated: bool,
    ) -> usize {
        match evacuated {
            true => self.evacuated.insert(zone.clone()),
            false => self.evacuated.remove(zone),
        };
        let cold_after = self.parameters.cold_after_evacuation;
        let servers = self.servers.values_mut();
        let mut changed = 0;
        for server in servers.filter(|server| server.zone == *zone) {
            changed += 1;
            server.evacuated = evacuated;
            if !evacuated {
                let warm_up = self.services[server.service.0 as usize].warm_up;
                let warm_up = warm_up.map_or(Duration::ZERO, |warm_up| warm_up.duration);
                server.extend_cold_start(now + cold_after);
                server.cold.extend(now + cold_after.max(warm_up));
            }
            self.subset.invalidate(server.service);
        }
        changed
    }

    /// Servers with queued parts that they may not get.
    pub(super) fn unavailable_with_queued(&self) -> Vec<ServerKey> {
        let unavailable = |server: &Server| server.must_move_queue() && !server.queue.is_empty();
        let servers = self.servers.iter();
        let found = servers.filter(|(_, server)| unavailable(server));
        found.map(|(key, _)| *key).collect()
    }

    /// End of the next grace period or probation.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let vanishing = self.servers.values().filter_map(Server::vanished_until);
        vanishing.chain(self.scarcity.next_timeout()).min()
    }

    /// Marks vanished servers as gone whose grace period is over.
    pub(super) fn timer_due(&mut self, now: Timestamp, actions: &mut VecDeque<GatewayAction>) {
        let is_expired =
            |server: &Server| server.vanished_until().is_some_and(|until| until <= now);
        let expired: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(_, server)| is_expired(server))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            if let Some(server) = self.servers.get_mut(&key) {
                server.availability = Availability::Gone;
                let service = server.service;
                self.servers_changed(service);
            }
            self.close_idle_if_leaving(actions, key);
            self.remove_if_unused(key);
        }
    }

    /// Removes a gone server once it has no attempts, connections or queued parts.
    pub(super) fn remove_if_unused(&mut self, key: ServerKey) {
        let Some(server) = self.servers.get(&key) else {
            return;
        };
        let is_unused = server.availability == Availability::Gone
            && server.in_flight.is_empty()
            && server.open + server.opening == 0
            && server.queue.is_empty();
        if !is_unused {
            return;
        }
        let service = server.service;
        // A later run of the server may have registered under the same identity.
        if self.by_id.get(&server.id) == Some(&key) {
            self.by_id.remove(&server.id);
        }
        if self.by_address.get(&server.address) == Some(&key) {
            self.by_address.remove(&server.address);
        }
        self.servers.remove(&key);
        self.services[service.0 as usize]
            .servers
            .retain(|other| *other != key);
    }
}

impl Placement {
    fn distance_to(&self, zone: &ZoneName) -> server::Distance {
        if *zone == self.zone {
            return server::Distance::SameZone;
        }
        match self.regions.get(zone) {
            Some(region) if *region == self.region => server::Distance::SameRegion,
            _ => server::Distance::OtherRegion,
        }
    }
}
