//! Versions of a service's servers: which of them get requests during and after a roll-out.

use super::server::{Availability, Server};
use super::{ServerKey, Servers};
use crate::gateway::action::GatewayAction;
use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use thornbridge_proto::peer::view::Instance;
use thornbridge_proto::{BackEndId, ServerVersion};

/// Connections of a request and its companion.
const REQUEST_AND_COMPANION: u32 = 2;

/// What servers of a version get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum VersionRole {
    /// All requests.
    Serving,
    /// Requests with a permit.
    Trial,
    /// Nothing, unless no other server of the service remains: nobody ordered the version.
    Held,
    /// Nothing.
    Rejected,
}

/// Roles of the versions of one service. By default, every version serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::gateway) struct VersionRoles {
    /// Version that serves; `None` if every version without another role does.
    pub(in crate::gateway) established: Option<ServerVersion>,
    /// Version on trial.
    pub(in crate::gateway) trial: Option<ServerVersion>,
    /// Version that was rolled back.
    pub(in crate::gateway) rejected: Option<ServerVersion>,
    /// Whether connections to servers of the version on trial are opened ahead of use, so that they
    /// bear the load of the service when the version takes over.
    pub(in crate::gateway) warm_trial: bool,
}

impl VersionRoles {
    /// Role of servers of a version.
    pub(in crate::gateway) fn role_of(&self, version: &ServerVersion) -> VersionRole {
        if self.trial.as_ref() == Some(version) {
            return VersionRole::Trial;
        }
        if self.rejected.as_ref() == Some(version) {
            return VersionRole::Rejected;
        }
        match &self.established {
            Some(established) if established != version => VersionRole::Held,
            _ => VersionRole::Serving,
        }
    }
}

impl Server {
    /// Whether the server's version gets requests without permits.
    pub(super) fn version_serves(&self) -> bool {
        match self.role {
            VersionRole::Serving => true,
            VersionRole::Held => self.stands_in,
            VersionRole::Trial | VersionRole::Rejected => false,
        }
    }

    /// Whether the server's version is on trial.
    pub(in crate::gateway) fn is_on_trial(&self) -> bool {
        self.role == VersionRole::Trial
    }

    /// Whether the server gets requests with permits.
    pub(in crate::gateway) fn takes_trials(&self) -> bool {
        self.is_on_trial() && self.availability == Availability::Ready && !self.evacuated
    }

    /// Whether the server gets queued parts, those with permits at least.
    pub(in crate::gateway) fn takes_queued(&self) -> bool {
        self.takes_requests() || self.takes_trials()
    }

    /// Whether queued parts must move to other servers.
    pub(super) fn must_move_queue(&self) -> bool {
        self.queue_void || !self.takes_queued()
    }

    /// Whether the server is leaving, or its version gets no requests.
    pub(super) fn is_unused(&self) -> bool {
        self.is_leaving() || !(self.version_serves() || self.is_on_trial())
    }

    /// Changes the role; parts queued under another one move unless every request may now be sent.
    fn set_role(&mut self, role: VersionRole) {
        if role == self.role {
            return;
        }
        self.role = role;
        self.stands_in = false;
        self.queue_void = role != VersionRole::Serving && !self.queue.is_empty();
    }
}

impl Servers {
    /// Sets what servers of each version of a service get; whether that changes anything. Queued parts
    /// that have to move are found by [`Self::unavailable_with_queued`].
    pub(in crate::gateway) fn set_version_roles(
        &mut self,
        service: ServiceKey,
        roles: VersionRoles,
    ) -> bool {
        let entry = &mut self.services[service.0 as usize];
        if entry.roles == roles {
            return false;
        }
        entry.roles = roles;
        for key in &entry.servers {
            if let Some(server) = self.servers.get_mut(key) {
                server.set_role(entry.roles.role_of(&server.version));
            }
        }
        self.servers_changed(service);
        true
    }

    /// Lets every version serve; returns the services for which that is a change.
    pub(in crate::gateway) fn reset_version_roles(&mut self) -> Vec<ServiceKey> {
        let services = (0..self.services.len()).map(|index| ServiceKey(index as u32));
        let services: Vec<ServiceKey> = services.collect();
        let mut changed = services;
        changed.retain(|service| self.set_version_roles(*service, VersionRoles::default()));
        changed
    }

    /// What servers of each version of a service get.
    #[cfg(test)]
    pub(in crate::gateway) fn version_roles(&self, service: ServiceKey) -> &VersionRoles {
        &self.services[service.0 as usize].roles
    }

    /// Numbers of registered servers by version, without those that are leaving.
    pub(in crate::gateway) fn versions_of(
        &self,
        service: ServiceKey,
    ) -> BTreeMap<ServerVersion, usize> {
        let mut versions = BTreeMap::new();
        for server in self
            .of_service(service)
            .filter(|server| !server.is_leaving())
        {
            *versions.entry(server.version.clone()).or_default() += 1;
        }
        versions
    }

    /// Servers of the version on trial that get requests and are warm.
    pub(in crate::gateway) fn trial_instances(
        &self,
        now: Timestamp,
        service: ServiceKey,
    ) -> Vec<BackEndId> {
        let servers = self.of_service(service);
        let warm = servers.filter(|server| server.takes_trials() && !server.is_cold(now));
        warm.map(|server| server.id.clone()).collect()
    }

    /// Opens connections for a request and its companion at a server of a version on trial, also beyond
    /// this node's limit: few nodes send companions at a time. `None`: no server is named, and connections
    /// are opened on demand.
    pub(in crate::gateway) fn open_for_companion(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        service: ServiceKey,
        instance: Option<&BackEndId>,
    ) {
        let keys = &self.services[service.0 as usize].servers;
        let mut keys = keys.iter().copied();
        let is_named = |key: &ServerKey| {
            let server = self.servers.get(key);
            server.is_some_and(|server| server.takes_trials() && Some(&server.id) == instance)
        };
        let Some(key) = keys.find(is_named) else {
            return;
        };
        let connected = self.servers.get(&key);
        let connected = connected.map_or(0, |server| server.open + server.opening);
        let limit = self.connection_limit(now, service);
        for _ in connected..REQUEST_AND_COMPANION {
            self.open_within(now, actions, key, limit.max(REQUEST_AND_COMPANION));
        }
    }

    /// Closes the idle connections to servers of a service that get no requests.
    pub(in crate::gateway) fn close_idle_of_unused(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        service: ServiceKey,
    ) {
        for key in self.services[service.0 as usize].servers.clone() {
            self.close_idle_if_leaving(actions, key);
        }
    }

    /// Takes the version from a registry entry, unless the entry came from a node that does not know it.
    pub(super) fn update_version(&mut self, key: ServerKey, instance: &Instance) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let is_unknown = instance.version == ServerVersion::default();
        if is_unknown || server.version == instance.version {
            return;
        }
        server.version = instance.version.clone();
        let service = server.service;
        let role = self.services[service.0 as usize]
            .roles
            .role_of(&server.version);
        if server.role != role {
            server.set_role(role);
            self.servers_changed(service);
        }
    }

    /// Updates what follows from the roles and availability of a service's servers.
    pub(super) fn servers_changed(&mut self, service: ServiceKey) {
        self.subset.invalidate(service);
        let entry = &self.services[service.0 as usize];
        if entry.roles.established.is_none() {
            return;
        }
        let serves = |server: &Server| server.role == VersionRole::Serving && !server.is_leaving();
        let stands_in = !self.of_service(service).any(serves);
        for key in &entry.servers {
            if let Some(server) = self.servers.get_mut(key) {
                server.stands_in = stands_in;
            }
        }
    }
}
