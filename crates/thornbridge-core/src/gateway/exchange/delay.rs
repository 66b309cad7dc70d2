//! How long answers wait in this node between the decision and their last byte.
//!
//! Guards against answers that are decided in time and leave too late: on a machine with a small
//! share of a processor an answer waits behind the replies that came in before it. The estimate is
//! that of RFC 6298, section 2: a smoothed mean and four times the smoothed deviation.

use std::time::Duration;

/// Weight of the newest observation in the mean (RFC 6298: alpha).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest observation in the deviation (RFC 6298: beta).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations that are kept as a reserve (RFC 6298: K).
const DEVIATIONS: f64 = 4.0;

/// Delay of answers, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::gateway) struct AnswerDelay {
    mean_s: f64,
    deviation_s: f64,
    observed: bool,
}

impl AnswerDelay {
    /// An answer waited this long.
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

    /// Whether anything was observed.
    pub(in crate::gateway) fn is_observed(&self) -> bool {
        self.observed
    }

    /// Time to keep for it.
    pub(in crate::gateway) fn reserve(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s)
    }
}
