//! A store that comes back from a copy, and what is written again after it.

use super::faults::{ENTRY_KEPT, FaultStep};
use super::{World, zone_name};
use crate::gateway::server::Condition;
use std::time::Duration;
use thornbridge_core::Timestamp;

impl World {
    pub(super) fn store_restored(
        &mut self,
        lasts: Duration,
        copy_age: Duration,
        written_after: Duration,
    ) {
        let made_by = self.now.since_epoch().saturating_sub(copy_age);
        let made_by = Timestamp::from_epoch(made_by);
        self.store_down(lasts, false, false);
        self.later(lasts, FaultStep::StoreRestored { made_by });
        self.later(lasts + written_after, FaultStep::WriteAgain);
        self.later(lasts + ENTRY_KEPT, FaultStep::UnwrittenLapse);
    }

    /// Servers and operator write again what the store lost.
    pub(super) fn write_again(&mut self) {
        for server in 0..self.servers.len() {
            let server = &self.servers[server];
            let lives = server.condition == Condition::Up;
            if lives && (server.leaving_since.is_none() || server.tells_leaving) {
                self.store.put_server(server.instance());
            }
        }
        let configuration = self.scenario.configuration(self.version, self.generation);
        self.store.put_configuration(configuration);
        for zone in 0..self.scenario.nodes.len() {
            let evacuated = self.evacuated_since.contains_key(&zone);
            self.store.set_evacuated(zone_name(zone), evacuated);
        }
        self.tell_watches();
    }

    /// Entries go that came back with a copy and that no server writes.
    pub(super) fn unwritten_lapse(&mut self) {
        for id in self.store.server_ids() {
            let mut servers = self.servers.iter();
            let server = servers.find(|server| server.id == id);
            let lives = server.is_some_and(|server| server.condition == Condition::Up);
            let leaves = server.is_some_and(|server| server.leaving_since.is_some());
            let told = server.is_some_and(|server| server.tells_leaving);
            if !lives || (leaves && !told) {
                self.store.remove_server(&id);
            }
        }
        self.tell_watches();
    }
}
