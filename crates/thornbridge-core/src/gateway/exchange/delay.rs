//! Estimator of delays: of answers in this node, from the decision to the last byte, and of slices
//! beyond the time that their owners report.
//!
//! Reserving the expected delay keeps answers from being late on a busy processor. The estimator is
//! that of RFC 6298, section 2: a smoothed mean plus four smoothed deviations.

use std::time::Duration;

/// Weight of the newest observation in the mean (RFC 6298: alpha).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest observation in the deviation (RFC 6298: beta).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations added to the mean (RFC 6298: K).
const DEVIATION_FACTOR: f64 = 4.0;

/// Estimator of one kind of delay.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::gateway) struct DelayEstimator {
    mean_s: f64,
    deviation_s: f64,
    observed: bool,
}

impl DelayEstimator {
    /// Records an observed delay.
    pub(in crate::gateway) fn observe(&mut self, delay: Duration) {
        let delay_s = delay.as_secs_f64();
        if !self.observed {
            self.observed = true;
            self.mean_s = delay_s;
            self.deviation_s = delay_s / 2.0;
            return;
        }
        let error_s = (delay_s - self.mean_s).abs();
        self.deviation_s += (error_s - self.deviation_s) * DEVIATION_WEIGHT;
        self.mean_s += (delay_s - self.mean_s) * MEAN_WEIGHT;
    }

    pub(in crate::gateway) fn is_observed(&self) -> bool {
        self.observed
    }

    /// Time to reserve for the delay.
    pub(in crate::gateway) fn reserve(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATION_FACTOR * self.deviation_s)
    }
}
