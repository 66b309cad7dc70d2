//! Change of what the versions of a service's servers get.

use super::Gateway;
use super::budget::ServiceKey;

impl Gateway {
    /// Moves what the latest changes of version roles left behind.
    pub(super) fn apply_changed_roles(&mut self) {
        let changed = self.rollouts.take_changed_roles();
        self.version_roles_changed(&changed);
    }

    /// Parts queued at servers that may not get them move to others, and idle connections to versions
    /// that get nothing are closed.
    pub(super) fn version_roles_changed(&mut self, services: &[ServiceKey]) {
        if services.is_empty() {
            return;
        }
        for service in services {
            self.servers
                .close_idle_of_unused(&mut self.actions, *service);
        }
        self.reassign_queued_parts();
    }
}
