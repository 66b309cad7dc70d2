//! Estimate of a route's work: the time that a server of average speed needs to process a request,
//! without the network round trip.

use super::parameters::ServerParameters;
use std::collections::VecDeque;
use std::time::Duration;

/// Observations after which the samples are sorted again.
const SORT_INTERVAL: u32 = 16;
/// Least number of samples for a quantile.
const MIN_SAMPLES: usize = 12;
/// Weight of the newest observation in the moving average.
const MEAN_WEIGHT: f64 = 0.03;

/// Mean and quantiles of the work of one route.
#[derive(Debug, Default)]
pub(super) struct WorkEstimate {
    mean: Option<f64>,
    samples: VecDeque<u64>,
    sorted: Vec<u64>,
    since_sorted: u32,
}

impl WorkEstimate {
    /// Records the work of one request, normalized to a server of average speed.
    pub(super) fn observe(&mut self, parameters: &ServerParameters, work: Duration) {
        let micros = work.as_micros() as u64;
        let mean = self.mean.unwrap_or(micros as f64);
        // Bounds outliers, such as pauses of a server, in the mean.
        let bounded = (micros as f64).min(mean.max(1_000.0) * 4.0);
        self.mean = Some(mean + (bounded - mean) * MEAN_WEIGHT);
        self.samples.push_back(micros);
        if self.samples.len() > parameters.work_samples {
            self.samples.pop_front();
        }
        self.since_sorted += 1;
        if self.since_sorted >= SORT_INTERVAL || self.sorted.len() < MIN_SAMPLES {
            self.since_sorted = 0;
            self.sorted.clear();
            self.sorted.extend(self.samples.iter().copied());
            self.sorted.sort_unstable();
        }
    }

    pub(super) fn mean(&self) -> Option<Duration> {
        let mean = self.mean?;
        Some(Duration::from_micros(mean as u64))
    }

    /// Quantile of the work, for a `share` from 0 to 1; `None` with too few samples.
    pub(super) fn quantile(&self, share: f64) -> Option<Duration> {
        if self.sorted.len() < MIN_SAMPLES {
            return None;
        }
        let index = ((self.sorted.len() - 1) as f64 * share).round() as usize;
        Some(Duration::from_micros(self.sorted[index]))
    }
}
