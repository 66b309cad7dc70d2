//! Servers whose address another server has.
//!
//! After a server ended, its address may be given to another server before the registry entry is
//! removed. A request that is sent there is rejected, but it arrives at another service, whose budget
//! of extra attempts it was not charged to. A displaced server gets no requests until its entry
//! changes.
//!
//! Of two entries with one address the later one counts, but only between services that a configuration
//! named: an entry of any other service may be that of another writer, and says nothing about who
//! answers there. The server's own answer does.

use super::server::Availability;
use super::{ServerKey, Servers};
use crate::gateway::action::GatewayAction;
use crate::gateway::budget::ServiceKey;
use crate::gateway::telemetry::{GatewayChange, ViewOrigin};
use std::collections::VecDeque;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::StoreRevision;

impl Servers {
    /// Records that an attempt found another server at the address.
    pub(in crate::gateway) fn found_displaced(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        if self.displace(actions, key, ViewOrigin::Own) {
            self.newly_displaced.push(key);
        }
    }

    /// Registry entries of the servers that this node found displaced since the last call.
    pub(in crate::gateway) fn take_newly_displaced(&mut self) -> Vec<(StoreRevision, BackEndId)> {
        let keys = std::mem::take(&mut self.newly_displaced);
        keys.into_iter()
            .filter_map(|key| self.entry_of(key))
            .collect()
    }

    /// Registry entries of all displaced servers.
    pub(in crate::gateway) fn displaced(&self) -> Vec<(StoreRevision, BackEndId)> {
        let servers = self.servers.values();
        let displaced = servers.filter(|server| server.availability == Availability::Displaced);
        displaced
            .map(|server| (server.revision, server.id.clone()))
            .collect()
    }

    /// Applies a peer's report of a displaced server; returns whether it was news. A report on an
    /// entry that has changed since is ignored.
    pub(in crate::gateway) fn reported_displaced(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        revision: StoreRevision,
        id: &BackEndId,
    ) -> bool {
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        let server = self.servers.get(&key);
        let is_current = server.is_some_and(|server| server.revision <= revision);
        is_current && self.displace(actions, key, ViewOrigin::Peer)
    }

    /// Settles the address conflicts of a service that a configuration names for the first time.
    pub(super) fn name_service(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        service: ServiceKey,
    ) {
        let entry = &mut self.services[service.0 as usize];
        if std::mem::replace(&mut entry.is_named, true) {
            return;
        }
        for key in entry.servers.clone() {
            self.resolve_address_conflict(actions, key, ViewOrigin::Own);
        }
    }

    /// Displaces the server that had the address of a newly registered server, or the new one if the
    /// other's entry is later.
    pub(super) fn resolve_address_conflict(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
        origin: ViewOrigin,
    ) {
        let server = self.servers.get(&key);
        let Some(server) = server.filter(|server| !server.is_leaving()) else {
            return;
        };
        if !self.services[server.service.0 as usize].is_named {
            return;
        }
        let (address, revision) = (server.address, server.revision);
        let known = self.by_address.get(&address).copied();
        let other = known.filter(|other| *other != key);
        let later = other
            .and_then(|other| self.servers.get(&other))
            .filter(|other| !other.is_leaving() && other.revision > revision);
        let displaced = match later {
            Some(_) => Some(key),
            None => {
                self.by_address.insert(address, key);
                other
            }
        };
        if let Some(displaced) = displaced {
            self.displace(actions, displaced, origin);
        }
    }

    /// Marks a server as displaced; returns `false` if it took no requests before.
    fn displace(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
        origin: ViewOrigin,
    ) -> bool {
        let Some(server) = self.servers.get_mut(&key) else {
            return false;
        };
        server.availability = match server.availability {
            Availability::Ready => Availability::Displaced,
            Availability::Vanished { .. } => Availability::Gone,
            Availability::Displaced | Availability::Draining | Availability::Gone => return false,
        };
        let service = server.service;
        actions.push_back(GatewayAction::Changed(GatewayChange::Instance {
            id: server.id.clone(),
            service: server.service_name.to_string(),
            state: Availability::Displaced.as_str(),
            revision: server.revision,
            origin,
        }));
        self.servers_changed(service);
        self.close_idle_if_leaving(actions, key);
        self.remove_if_unused(key);
        true
    }

    fn entry_of(&self, key: ServerKey) -> Option<(StoreRevision, BackEndId)> {
        let server = self.servers.get(&key)?;
        Some((server.revision, server.id.clone()))
    }
}
