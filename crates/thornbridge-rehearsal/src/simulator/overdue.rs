//! A regular look at what is overdue: stops, and the spread of configurations.

use super::occurrence::Occurrence;
use super::platform::MACHINE_LIST_PERIOD;
use super::{Simulator, TICK_PERIOD};
use crate::fault::Fault;
use crate::oracle::NodeReach;
use std::time::Duration;
use thornbridge_core::Timestamp;

/// A node that was asked to stop must end within this: the longest request, and some.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Time after a disturbance until configurations spread at their usual pace again: a lost
/// reader's lease runs out and another takes it, broken links and watches are opened again.
const RECOVERY: Duration = Duration::from_secs(10);

impl Simulator {
    /// Looks whether something is overdue.
    pub(super) fn tick(&mut self) {
        self.after(TICK_PERIOD, Occurrence::Tick);
        let ticks = self.now.since_epoch().as_millis() / TICK_PERIOD.as_millis();
        let listing = MACHINE_LIST_PERIOD.as_millis() / TICK_PERIOD.as_millis();
        if ticks.is_multiple_of(listing) {
            self.list_machines();
        }
        let calm_since = self.calm_since();
        for node in 0..self.hosts.len() {
            let stopping = self.hosts[node].stopping_since;
            let overdue = stopping.is_some_and(|since| self.now.since(since) > STOP_LIMIT);
            if self.hosts[node].is_up() && overdue {
                self.hosts[node].stopping_since = Some(self.now);
                let name = self.setup.deployment.nodes[node].name.clone();
                self.oracle.stop_overdue(self.now, name.as_str());
            }
            let reach = self.reach_since(node, calm_since);
            self.oracle.check_spread(self.now, node, reach);
        }
    }

    /// Since when a node runs, and neither it, nor the platform, nor nodes that others may
    /// depend on are disturbed.
    pub(super) fn reach(&self, node: usize) -> NodeReach {
        self.reach_since(node, self.calm_since())
    }

    fn reach_since(&self, node: usize, calm_since: Option<Timestamp>) -> NodeReach {
        let host = &self.hosts[node];
        let run = host.run;
        let usable = host.is_up() && host.pause.is_none() && host.stopping_since.is_none();
        let reachable_since = calm_since.filter(|_| usable).map(|calm| {
            calm.max(host.started)
                .max(host.resumed.unwrap_or(Timestamp::ZERO))
        });
        NodeReach {
            run,
            reachable_since,
        }
    }

    /// Since when nothing that configurations spread through is disturbed; `None` while it is.
    fn calm_since(&self) -> Option<Timestamp> {
        let mut since = Timestamp::ZERO;
        for window in &self.schedule.windows {
            if window.begins <= self.now && disturbs_spread(window.fault) {
                if self.now < window.ends + RECOVERY {
                    return None;
                }
                since = since.max(window.ends + RECOVERY);
            }
        }
        for host in &self.hosts {
            since = since.max(host.stopping_since.unwrap_or(Timestamp::ZERO));
            if host.run > 0 {
                since = since.max(host.started);
            }
        }
        Some(since)
    }
}

fn disturbs_spread(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::StoreDown
            | Fault::StoreSlow
            | Fault::StoreLostAnswer
            | Fault::PausedLease
            | Fault::NodeCrash
            | Fault::NodeRestart
            | Fault::ZoneLoss
            | Fault::RegionSplit
    )
}
