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
    mean_us: Option<f64>,
    samples_us: VecDeque<u64>,
    sorted_us: Vec<u64>,
    observations_since_sort: u32,
}

impl WorkEstimate {
    /// Records the work of one request, normalized to a server of average speed.
    pub(super) fn observe(&mut self, parameters: &ServerParameters, work: Duration) {
        let work_us = work.as_micros() as u64;
        let mean_us = self.mean_us.unwrap_or(work_us as f64);
        // Bounds outliers, such as pauses of a server, in the mean.
        let bounded_us = (work_us as f64).min(mean_us.max(1_000.0) * 4.0);
        self.mean_us = Some(mean_us + (bounded_us - mean_us) * MEAN_WEIGHT);
        self.samples_us.push_back(work_us);
        if self.samples_us.len() > parameters.work_samples {
            self.samples_us.pop_front();
        }
        self.observations_since_sort += 1;
        if self.observations_since_sort >= SORT_INTERVAL || self.sorted_us.len() < MIN_SAMPLES {
            self.observations_since_sort = 0;
            self.sorted_us.clear();
            self.sorted_us.extend(self.samples_us.iter().copied());
            self.sorted_us.sort_unstable();
        }
    }

    pub(super) fn mean(&self) -> Option<Duration> {
        let mean_us = self.mean_us?;
        Some(Duration::from_micros(mean_us as u64))
    }

    /// Quantile of the work, for a `share` from 0 to 1; `None` with too few samples.
    pub(super) fn quantile(&self, share: f64) -> Option<Duration> {
        if self.sorted_us.len() < MIN_SAMPLES {
            return None;
        }
        let index = ((self.sorted_us.len() - 1) as f64 * share).round() as usize;
        Some(Duration::from_micros(self.sorted_us[index]))
    }
}
