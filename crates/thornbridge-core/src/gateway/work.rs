//! What is learnt of the work of a route's requests at a server of usual speed.

use super::parameters::ServerParameters;
use std::collections::VecDeque;
use std::time::Duration;

/// Observations after which the sorted copy is made anew.
const REFRESH_EVERY: u32 = 16;
/// Observations below which nothing is said.
const LEAST_SAMPLES: usize = 12;
/// Weight of the newest observation in the mean.
const MEAN_WEIGHT: f64 = 0.03;

/// The work of one route.
#[derive(Debug, Default)]
pub(super) struct WorkEstimate {
    mean: Option<f64>,
    samples: VecDeque<u64>,
    sorted: Vec<u64>,
    since_sorted: u32,
}

impl WorkEstimate {
    /// A server of usual speed took this long, without the way there and back.
    pub(super) fn observe(&mut self, parameters: &ServerParameters, work: Duration) {
        let micros = work.as_micros() as u64;
        let mean = self.mean.unwrap_or(micros as f64);
        // A pause or a stall says nothing about the work: it is bounded in the mean.
        let bounded = (micros as f64).min(mean.max(1_000.0) * 4.0);
        self.mean = Some(mean + (bounded - mean) * MEAN_WEIGHT);
        self.samples.push_back(micros);
        if self.samples.len() > parameters.work_samples {
            self.samples.pop_front();
        }
        self.since_sorted += 1;
        if self.since_sorted >= REFRESH_EVERY || self.sorted.len() < LEAST_SAMPLES {
            self.since_sorted = 0;
            self.sorted.clear();
            self.sorted.extend(self.samples.iter().copied());
            self.sorted.sort_unstable();
        }
    }

    /// Mean work.
    pub(super) fn mean(&self) -> Option<Duration> {
        let mean = self.mean?;
        Some(Duration::from_micros(mean as u64))
    }

    /// The work that this share (0 to 1) of requests stays under.
    pub(super) fn quantile(&self, share: f64) -> Option<Duration> {
        if self.sorted.len() < LEAST_SAMPLES {
            return None;
        }
        let index = ((self.sorted.len() - 1) as f64 * share).round() as usize;
        Some(Duration::from_micros(self.sorted[index]))
    }
}
