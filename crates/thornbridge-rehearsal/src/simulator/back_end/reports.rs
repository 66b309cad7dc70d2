//! What a server says of itself, which may be late or false.

use super::super::conditions::{COLD_PERIOD, Conditions};
use super::BackEndModel;
use crate::fault::Fault;
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_proto::back_end::{LoadReport, Readiness};

/// Age of reports under [`Fault::LoadReportLag`].
const REPORT_LAG: Duration = Duration::from_secs(3);
/// Reports are kept this far apart for [`Fault::LoadReportLag`].
const REPORT_SPACING: Duration = Duration::from_millis(50);

impl BackEndModel {
    /// What the server says of itself, which may be late or false.
    pub fn report(&mut self, now: Timestamp, conditions: Conditions<'_>, full: bool) -> LoadReport {
        let place = &conditions.deployment.servers[self.server];
        let mut report = LoadReport {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: place.back_end.slots,
            readiness: self.readiness(now),
            snapshots: None,
        };
        if conditions.is_hit(Fault::LoadReportLie, self.server, now) {
            report.running = 0;
            report.queued = 0;
        }
        if conditions.schedule.is_active(Fault::LoadReportLag, now) {
            report = self.lagging(now, report);
        }
        if full {
            let catalogue = &conditions.deployment.services[place.service].catalogue;
            let held = self.held.iter().rev();
            let ids = held.map(|number| catalogue.snapshots[number.0 as usize].id.clone());
            report.snapshots = Some(ids.collect());
        }
        report
    }

    fn readiness(&self, now: Timestamp) -> Readiness {
        let cold = self
            .cold_since
            .is_some_and(|since| now.since(since) < COLD_PERIOD);
        if self.leaving_since.is_some() {
            Readiness::Leaving
        } else if cold {
            Readiness::Cold
        } else {
            Readiness::Ready
        }
    }

    /// The load figures of a while ago; readiness is never late, since it comes from the process
    /// manager and not from the sampled load.
    fn lagging(&mut self, now: Timestamp, current: LoadReport) -> LoadReport {
        let due = self
            .reports
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= REPORT_SPACING);
        if due {
            self.reports.push_back((now, current.clone()));
        }
        while self.reports.len() > 1 && now.since(self.reports[1].0) >= REPORT_LAG {
            self.reports.pop_front();
        }
        let old = self.reports.front().map(|(_, report)| report);
        LoadReport {
            running: old.map_or(0, |report| report.running),
            queued: old.map_or(0, |report| report.queued),
            ..current
        }
    }
}
