//! Registry changes: instances that register, restart, drain or vanish.

use super::server::{Availability, Server, cold_left};
use super::{ServerKey, Servers};
use crate::gateway::action::GatewayAction;
use crate::gateway::telemetry::{GatewayChange, ViewOrigin};
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::{Instance, InstanceState, StoreRevision};

impl Servers {
    /// Applies a new or changed registry entry.
    pub(in crate::gateway) fn upsert_instance(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        instance: &Instance,
        revision: StoreRevision,
        origin: ViewOrigin,
    ) {
        let availability = match instance.state {
            InstanceState::Ready => Availability::Ready,
            InstanceState::Draining | InstanceState::Held => Availability::Draining,
        };
        let is_registered = self.by_id.contains_key(&instance.id);
        let known = self.find_run(actions, instance, revision, origin);
        let has_restarted = is_registered && known.is_none();
        let key = known.unwrap_or_else(|| self.add(now, instance, revision));
        self.update_version(key, instance);
        let least_cold = match has_restarted {
            true => self.warm_up_time(self.servers[&key].service),
            false => Duration::ZERO,
        };
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.revision = revision;
        server
            .cold
            .extend(now + cold_left(instance).max(least_cold));
        if known.is_some() && server.availability == availability {
            return;
        }
        server.availability = availability;
        let service = server.service;
        self.servers_changed(service);
        actions.push_back(GatewayAction::Changed(GatewayChange::Instance {
            id: instance.id.clone(),
            service: instance.service.to_string(),
            state: availability.as_str(),
            revision,
            origin,
        }));
        self.close_idle_if_leaving(actions, key);
        if known.is_none() {
            self.resolve_address_conflict(actions, key, origin);
        }
    }

    /// Server of an entry; `None` if the instance is new or has restarted.
    ///
    /// After a restart, the server of the earlier run is marked as gone, so that its queued parts move
    /// to other servers and its connections and statistics are dropped.
    fn find_run(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        instance: &Instance,
        revision: StoreRevision,
        origin: ViewOrigin,
    ) -> Option<ServerKey> {
        let key = self.by_id.get(&instance.id).copied()?;
        let server = self.servers.get_mut(&key)?;
        if server.is_same_run(instance) {
            return Some(key);
        }
        server.availability = Availability::Gone;
        self.by_id.remove(&instance.id);
        let service = server.service;
        let service_name = server.service_name.to_string();
        self.servers_changed(service);
        actions.push_back(GatewayAction::Changed(GatewayChange::Instance {
            id: instance.id.clone(),
            service: service_name,
            state: "started_again",
            revision,
            origin,
        }));
        self.close_idle_if_leaving(actions, key);
        self.remove_if_unused(key);
        None
    }

    /// Applies the removal of a registry entry.
    ///
    /// `confirmed` is when the store last confirmed this node's views, which still held the entry.
    pub(in crate::gateway) fn remove_instance(
        &mut self,
        now: Timestamp,
        actions: &mut VecDeque<GatewayAction>,
        id: &BackEndId,
        revision: StoreRevision,
        origin: ViewOrigin,
        confirmed: Option<Timestamp>,
    ) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        // The entry may have been removed any time after the last confirmation.
        let latest = confirmed.unwrap_or(now) + self.parameters.vanished_unconfirmed;
        let until = latest.min(now + self.parameters.vanished_grace);
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.availability = match server.availability {
            Availability::Ready => Availability::Vanished { until },
            Availability::Vanished { .. } => return,
            Availability::Displaced | Availability::Draining | Availability::Gone => {
                Availability::Gone
            }
        };
        let (key_of_service, service) = (server.service, server.service_name.to_string());
        let state = server.availability.as_str();
        self.servers_changed(key_of_service);
        actions.push_back(GatewayAction::Changed(GatewayChange::Instance {
            id: id.clone(),
            service,
            state,
            revision,
            origin,
        }));
        self.close_idle_if_leaving(actions, key);
        self.remove_if_unused(key);
    }

    fn add(&mut self, now: Timestamp, instance: &Instance, revision: StoreRevision) -> ServerKey {
        let service = self.service_key(&instance.service);
        let key = ServerKey(self.next_key);
        self.next_key += 1;
        let distance = self.placement.distance_to(&instance.zone);
        let mut server = Server::new(now, instance, revision, service, distance);
        server.evacuated = self.evacuated.contains(&instance.zone);
        let roles = &self.services[service.0 as usize].roles;
        server.role = roles.role_of(&server.version);
        server.region = self.placement.region_of(&instance.zone).cloned();
        self.servers.insert(key, server);
        self.by_id.insert(instance.id.clone(), key);
        self.services[service.0 as usize].servers.push(key);
        self.subset.invalidate(service);
        key
    }
}
