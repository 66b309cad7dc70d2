//! Change of what the versions of a service's servers get.

use super::Gateway;
use super::budget::ServiceKey;
use super::servers::VersionRoles;

impl Gateway {
    /// Applies version roles to the servers of a service: parts queued at servers that may not get them
    /// move to others, and idle connections to versions that get nothing are closed.
    pub(super) fn apply_version_roles(&mut self, service: ServiceKey, roles: VersionRoles) {
        self.servers.set_version_roles(service, roles);
        self.servers
            .close_idle_of_unused(&mut self.actions, service);
        self.reassign_queued_parts();
    }
}
