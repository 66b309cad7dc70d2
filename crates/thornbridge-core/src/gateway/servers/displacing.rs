//! Servers whose address another server has.
//!
//! After a server ended, its address may be given to another server before the registry entry is
//! removed. A request that is sent there is rejected, but it arrives at another service, whose budget
//! of extra attempts it was not charged to. A displaced server gets no requests until its entry
//! changes.

use super::server::Availability;
use super::{ServerKey, Servers};
use crate::gateway::action::GatewayAction;
use crate::gateway::telemetry::{GatewayChange, ViewOrigin};
use std::collections::VecDeque;

impl Servers {
    /// Records that an attempt found another server at the address.
    pub(in crate::gateway) fn found_displaced(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
    ) {
        self.displace(actions, key, ViewOrigin::Own);
    }

    /// Marks a server as displaced.
    fn displace(
        &mut self,
        actions: &mut VecDeque<GatewayAction>,
        key: ServerKey,
        origin: ViewOrigin,
    ) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        server.availability = match server.availability {
            Availability::Ready => Availability::Displaced,
            Availability::Vanished { .. } => Availability::Gone,
            Availability::Displaced | Availability::Draining | Availability::Gone => return,
        };
        self.subset.invalidate(server.service);
        actions.push_back(GatewayAction::Changed(GatewayChange::Instance {
            id: server.id.clone(),
            service: server.service_name.to_string(),
            state: Availability::Displaced.as_str(),
            revision: server.revision,
            origin,
        }));
        self.close_idle_if_leaving(actions, key);
    }
}
