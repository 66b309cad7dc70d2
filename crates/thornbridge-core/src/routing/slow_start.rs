//! Slow start: gradual increase of the load on a back end that is new, has returned or is cold.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::back_end::Readiness;

/// Parameters of slow start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SlowStartParameters {
    /// Time from the start to full weight.
    pub ramp: Duration,
    /// Initial weight; enough to fill caches.
    pub least_weight: f32,
    /// Weight while the back end reports itself cold.
    pub cold_weight: f32,
    /// Maximum time for which a back end counts as cold.
    pub longest_cold: Duration,
}

impl Default for SlowStartParameters {
    fn default() -> Self {
        Self {
            ramp: Duration::from_secs(5),
            least_weight: 0.1,
            cold_weight: 0.3,
            longest_cold: Duration::from_secs(60),
        }
    }
}

/// Slow start of one back end.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowStart {
    started_at: Option<Timestamp>,
    cold_since: Option<Timestamp>,
}

impl SlowStart {
    /// Starts the ramp.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.started_at = Some(now);
    }

    /// Records the readiness that the back end reported.
    pub(super) fn record_readiness(&mut self, now: Timestamp, readiness: Readiness) {
        match readiness {
            Readiness::Cold => self.cold_since = self.cold_since.or(Some(now)),
            Readiness::Ready | Readiness::Leaving => self.cold_since = None,
        }
    }

    /// Probability that the back end is chosen without restriction, above 0 and up to 1.
    pub(super) fn weight(&self, parameters: &SlowStartParameters, now: Timestamp) -> f32 {
        self.ramp_weight(parameters, now)
            .min(self.cold_weight(parameters, now))
    }

    fn ramp_weight(&self, parameters: &SlowStartParameters, now: Timestamp) -> f32 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let progress =
            now.since(started_at).as_secs_f32() / parameters.ramp.as_secs_f32().max(1e-3);
        progress.clamp(parameters.least_weight, 1.0)
    }

    fn cold_weight(&self, parameters: &SlowStartParameters, now: Timestamp) -> f32 {
        match self.cold_since {
            Some(since) if now.since(since) < parameters.longest_cold => parameters.cold_weight,
            _ => 1.0,
        }
    }
}
