//! Versions of a service's servers: which of them get requests during and after a roll-out.

use super::Servers;
use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use thornbridge_proto::{BackEndId, ServerVersion};

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
    /// Whether connections to servers of the version on trial are opened ahead of use.
    pub(in crate::gateway) warms_trial: bool,
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

impl Servers {
    /// Sets the roles of the versions of a service.
    pub(in crate::gateway) fn set_version_roles(
        &mut self,
        _service: ServiceKey,
        _roles: VersionRoles,
    ) {
    }

    /// Number of registered servers of each version of a service.
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

    /// Servers of the version on trial that take requests and are warm.
    pub(in crate::gateway) fn trial_instances(
        &self,
        _now: Timestamp,
        _service: ServiceKey,
    ) -> Vec<BackEndId> {
        Vec::new()
    }
}
