//! Load of a back end from its reports, which may be outdated or wrong.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::back_end::LoadReport;

/// Parameters of reported load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadParameters {
    /// Age at which a report has half its weight, as a share of the back end's latency. Compare M.
    /// Mitzenmacher, "How Useful Is Old Information?", 2000.
    pub half_age_share: f32,
    /// Minimum age at which a report has half its weight.
    pub least_half_age: Duration,
    /// Maximum load of other nodes that is taken from a report, as a multiple of the slots.
    pub greatest_claim: f32,
}

impl Default for LoadParameters {
    fn default() -> Self {
        Self {
            half_age_share: 0.25,
            least_half_age: Duration::from_millis(1),
            greatest_claim: 4.0,
        }
    }
}

/// Load of other nodes, from the latest report of a back end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedLoad {
    others_load: f32,
    received: Timestamp,
}

impl ReportedLoad {
    /// Records a report that arrived while `own` attempts of this node were at the back end.
    pub(super) fn record(&mut self, now: Timestamp, report: &LoadReport, own: u32) {
        let total_load = report.running.saturating_add(report.queued);
        self.others_load = total_load.saturating_sub(own) as f32;
        self.received = now;
    }

    /// Load of other nodes, decayed by the age of the report.
    pub(super) fn others_load(
        &self,
        parameters: &LoadParameters,
        now: Timestamp,
        slots: f32,
        latency: Duration,
    ) -> f32 {
        if self.others_load == 0.0 {
            return 0.0;
        }
        let least = parameters.least_half_age.as_secs_f32();
        let half_age = (latency.as_secs_f32() * parameters.half_age_share).max(least);
        let age = now.since(self.received).as_secs_f32();
        let freshness = half_age / (half_age + age);
        self.others_load.min(slots * parameters.greatest_claim) * freshness
    }
}
