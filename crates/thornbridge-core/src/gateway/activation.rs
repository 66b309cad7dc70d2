//! Validation, staging and activation of route configurations.

use super::Gateway;
use super::action::GatewayAction;
use super::routes::services_of;
use super::staging::Staged;
use super::telemetry::{GatewayChange, ViewOrigin};
use std::sync::Arc;
use thornbridge_config::routes::RouteConfiguration;

impl Gateway {
    /// Stages a configuration if it is valid and newer; returns whether it was staged.
    pub(super) fn stage_configuration(
        &mut self,
        configuration: RouteConfiguration,
        origin: ViewOrigin,
    ) -> bool {
        let version = configuration.version;
        if version.0 <= self.digest().configuration {
            return false;
        }
        let problems = configuration.problems();
        if !problems.is_empty() {
            let messages: Vec<String> = problems.iter().map(ToString::to_string).collect();
            self.report_rejected_object(format!("configuration {version}"), messages.join("; "));
            return false;
        }
        let services = services_of(&configuration, &mut self.servers);
        self.servers
            .configure(&mut self.actions, &configuration.services, services);
        self.staging
            .stage(self.now, Arc::new(configuration), origin);
        self.slices_outdated = true;
        self.update_slices();
        self.servers.keep_warm(self.now, &mut self.actions);
        true
    }

    /// Whether the staged configuration can be activated: its services have connections, the
    /// staging time is over, or no configuration is active.
    pub(super) fn staged_is_ready(&mut self) -> bool {
        let Some(staged) = self.staging.get() else {
            return false;
        };
        let timed_out = self.now.since(staged.since) >= self.parameters.views.staging;
        if timed_out || self.configuration.is_none() {
            return true;
        }
        let configuration = Arc::clone(&staged.configuration);
        let services = services_of(&configuration, &mut self.servers);
        services
            .into_iter()
            .all(|service| self.servers.is_warm(service) || !self.servers.has_server(service))
    }

    /// Activates the staged configuration.
    pub(super) fn activate_staged(&mut self) {
        let Some(staged) = self.staging.take() else {
            return;
        };
        let Staged {
            configuration,
            origin,
            since,
        } = staged;
        let replaced = self.routes.version;
        self.routes.apply(&configuration, &mut self.servers);
        self.slices_outdated = true;
        self.update_slices();
        let limits = configuration.limits;
        self.actions.push_back(GatewayAction::SetLimits { limits });
        let change = GatewayChange::ConfigurationActivated {
            version: configuration.version,
            replaced,
            origin,
            staged_for: self.now.since(since),
        };
        self.actions.push_back(GatewayAction::Changed(change));
        self.configuration = Some(configuration);
    }
}
