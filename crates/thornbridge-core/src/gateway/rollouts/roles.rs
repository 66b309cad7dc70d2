//! Version roles: which servers get requests, as orders, decisions and registered versions say.

use super::control::{Context, Rollouts};
use super::established::VersionCounts;
use super::orders::KnownOrder;
use crate::gateway::servers::VersionRoles;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use thornbridge_proto::peer::rollout::{RolloutId, RolloutState};
use thornbridge_proto::{ServerVersion, ServiceName};

/// Share of the time allowed after which connections to the version on trial are opened ahead of use.
const WARM_UP_SHARE: f64 = 0.75;

impl Rollouts {
    /// Updates the roles of the versions of services whose servers changed.
    pub(in crate::gateway) fn servers_changed(
        &mut self,
        context: &mut Context<'_>,
        services: BTreeSet<ServiceName>,
    ) {
        for service in services {
            self.refresh_roles(context, &service);
        }
    }

    /// Updates the roles of all services.
    pub(super) fn refresh_all_roles(&mut self, context: &mut Context<'_>) {
        let services: Vec<ServiceName> = context.servers.service_names().cloned().collect();
        for service in services {
            self.refresh_roles(context, &service);
        }
    }

    /// Updates the roles where they may change with time or with servers that left.
    pub(in crate::gateway) fn maintain(&mut self, context: &mut Context<'_>) {
        for service in self.watched.clone() {
            self.refresh_roles(context, &service);
        }
    }

    pub(super) fn refresh_roles(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let Some(key) = context.servers.find_service(service) else {
            return;
        };
        let mut counts = context.servers.versions_of(key);
        counts.remove(&ServerVersion::default());
        // A version that is on trial must not be taken for the one that serves.
        let knows_orders = self.orders.at().is_some();
        if knows_orders {
            self.observe(context.now, service, &counts);
        }
        let roles = self.derive_roles(context.now, service, &counts);
        if let Some(version) = roles.established.as_ref().filter(|_| knows_orders) {
            self.established.guess(context.now, service, version);
        }
        if context.servers.set_version_roles(key, roles) {
            self.changed_roles.push(key);
        }
    }

    /// Notes the version that serves if there is only one.
    fn observe(&mut self, now: Timestamp, service: &ServiceName, counts: &VersionCounts) {
        let target = self.orders.get(service).map(|order| &order.id.target);
        let completed = self.outcome(service) == Some(RolloutState::Complete);
        let sole = counts.keys().next().filter(|_| counts.len() == 1);
        match sole.filter(|sole| completed || Some(*sole) != target) {
            Some(sole) => self.established.observe_sole(now, service, sole),
            None => self.established.observe_no_sole(service),
        }
        self.established.confirm_guess(now, service);
        let watched = counts.len() > 1 || self.established.is_being_replaced(service);
        match watched {
            true => self.watched.insert(service.clone()),
            false => self.watched.remove(service),
        };
    }

    fn derive_roles(
        &self,
        now: Timestamp,
        service: &ServiceName,
        counts: &VersionCounts,
    ) -> VersionRoles {
        let Some(order) = self.orders.get(service) else {
            return self.roles_without_order(service, counts);
        };
        let target = &order.id.target;
        match self.outcome(service) {
            Some(RolloutState::Complete) => only_serving(target),
            Some(RolloutState::RolledBack) => VersionRoles {
                established: self.established.version(service, counts, Some(target)),
                rejected: Some(target.clone()),
                ..VersionRoles::default()
            },
            // A version that serves already stays in use.
            Some(RolloutState::Serving) | None
                if self.established.certain(service) == Some(target) =>
            {
                only_serving(target)
            }
            Some(RolloutState::Serving) | None => self.trial_roles(now, order, counts),
        }
    }

    fn roles_without_order(&self, service: &ServiceName, counts: &VersionCounts) -> VersionRoles {
        if counts.len() <= 1 {
            return VersionRoles::default();
        }
        VersionRoles {
            established: self.established.version(service, counts, None),
            ..VersionRoles::default()
        }
    }

    fn trial_roles(
        &self,
        now: Timestamp,
        order: &KnownOrder,
        counts: &VersionCounts,
    ) -> VersionRoles {
        let RolloutId {
            service, target, ..
        } = &order.id;
        VersionRoles {
            established: self.established.version(service, counts, Some(target)),
            trial: Some(target.clone()),
            rejected: None,
            warm_trial: now >= order.share_over_at(WARM_UP_SHARE),
        }
    }
}

/// Roles after a roll-out to a version completed.
fn only_serving(version: &ServerVersion) -> VersionRoles {
    VersionRoles {
        established: Some(version.clone()),
        ..VersionRoles::default()
    }
}
