//! Addresses that go to servers of another service.

use super::World;
use super::faults::{ENTRY_KEPT, FaultStep};
use crate::gateway::server::Condition;
use std::time::Duration;
use thornbridge_proto::ServiceName;

impl World {
    pub(super) fn reuse_addresses(
        &mut self,
        servers: &[usize],
        service: &ServiceName,
        after: Duration,
    ) {
        for server in servers.iter().copied() {
            self.servers[server].condition = Condition::Down;
            self.lose_connections(server);
            self.later(ENTRY_KEPT, FaultStep::RemoveEntry(server));
            let service = service.clone();
            self.later(after, FaultStep::TakeAddress { server, service });
        }
    }

    pub(super) fn take_address(&mut self, server: usize, service: ServiceName) {
        let old = &mut self.servers[server];
        old.condition = Condition::Ended;
        let (zone, address) = (old.zone, old.address);
        self.start_server(service, zone, Some(address));
    }
}
