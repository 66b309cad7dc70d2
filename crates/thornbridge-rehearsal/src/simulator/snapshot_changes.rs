//! New snapshots and layouts: loaded server by server, brought in and taken out by rollouts.

use super::Simulator;
use super::occurrence::{Life, Occurrence, RollOutStep};
use crate::fault::FaultWindow;
use crate::scenario::{SnapshotNumber, hash_parts, unit};
use std::time::Duration;

/// Servers keep a snapshot this long after the bundle without it.
const SNAPSHOT_KEPT: Duration = Duration::from_secs(8);

impl Simulator {
    pub(super) fn change_snapshots(&mut self, window: &FaultWindow, repartition: bool) {
        let length = window.ends.since(window.begins);
        let mut newest = Vec::new();
        for service in 0..self.setup.deployment.services.len() {
            let snapshot = self.add_snapshot(service, repartition);
            newest.push(snapshot);
            for server in self.setup.deployment.services[service].servers.clone() {
                let parts = [server as u64, u64::from(snapshot.0)];
                let delay = length.mul_f64(0.3 * unit(hash_parts(window.seed, &parts)));
                let life = Life::HoldSnapshot { server, snapshot };
                self.after(delay, Occurrence::Life(life));
            }
        }
        let bring_in = Life::RollOut(RollOutStep::BringIn);
        let retire = Life::RollOut(RollOutStep::Retire(newest));
        self.after(length.mul_f64(0.15), Occurrence::Life(bring_in));
        self.after(length.mul_f64(0.6), Occurrence::Life(retire));
    }

    fn add_snapshot(&mut self, service: usize, repartition: bool) -> SnapshotNumber {
        let deployment = &self.setup.deployment;
        let model = &deployment.services[service];
        let present = model.catalogue.layout_of(model.catalogue.newest());
        let shards = present.shards.len() as u32;
        let wanted = match repartition {
            true if shards == model.scenario.shards => shards + shards / 2,
            true => model.scenario.shards,
            false => shards,
        };
        let (layout, holders) = deployment.layout(model, wanted);
        let id = layout.id.clone();
        let catalogue = &mut self.setup.deployment.services[service].catalogue;
        catalogue.add_layout(layout, holders);
        catalogue.add_snapshot(id)
    }

    pub(super) fn schedule_snapshot_drop(&mut self) {
        self.after(SNAPSHOT_KEPT, Occurrence::Life(Life::DropSnapshots));
    }

    pub(super) fn drop_snapshots(&mut self) {
        for (place, model) in self
            .setup
            .deployment
            .servers
            .iter()
            .zip(&mut self.back_ends)
        {
            let served = &self.operators.served[place.service];
            let oldest = served.last().copied().unwrap_or(SnapshotNumber(0));
            model.held.retain(|snapshot| *snapshot >= oldest);
        }
    }
}
