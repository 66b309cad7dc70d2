//! Latency estimate of a back end: geometric mean for ranking, histogram for quantiles.
//!
//! Uses only addition, multiplication, division and bit operations, since the platform's `log2` and
//! `exp2` may round differently elsewhere and a seeded run must be reproducible on any machine.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Histogram buckets per doubling of latency.
const BUCKETS_PER_DOUBLING: f32 = 4.0;
/// Number of buckets, from 1 µs to about 17 s.
const BUCKETS: usize = 96;
/// Samples after which all counts are halved, so that old samples decay.
const SAMPLES_UNTIL_HALVED: u16 = 200;
const MANTISSA_BITS: u32 = 23;
const MICROS_PER_SECOND: f32 = 1e6;
const EXPONENT_BIAS: f32 = 127.0;

/// Parameters of latency estimates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LatencyParameters {
    /// Minimum weight of a new sample in the mean.
    pub weight: f32,
    /// Age at which half of an estimate's distance from the mean of its service has decayed, so
    /// that a back end that was slow gets attempts again.
    pub forgetting: Duration,
    /// Minimum samples for quantiles.
    pub quantile_samples: u32,
}

impl Default for LatencyParameters {
    fn default() -> Self {
        Self {
            weight: 0.1,
            forgetting: Duration::from_secs(2),
            quantile_samples: 20,
        }
    }
}

/// Latency of one back end, or of all back ends of a service.
#[derive(Clone, Debug)]
pub(super) struct LatencyEstimate {
    mean_log2_us: f32,
    samples: u32,
    updated: Timestamp,
    bucket_counts: [u8; BUCKETS],
    /// Sum of `bucket_counts`.
    counted_samples: u16,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self {
            mean_log2_us: 0.0,
            samples: 0,
            updated: Timestamp::ZERO,
            bucket_counts: [0; BUCKETS],
            counted_samples: 0,
        }
    }
}

impl LatencyEstimate {
    /// Records the latency of an attempt. `baseline` is the value that the old estimate decays towards.
    pub(super) fn record(
        &mut self,
        parameters: &LatencyParameters,
        now: Timestamp,
        latency: Duration,
        baseline: Option<f32>,
    ) {
        let value = log2_us(latency);
        self.update_mean(parameters, now, value, baseline);
        self.record_bucket(value);
    }

    /// Records a lower bound of a latency, as from a cancelled attempt. Only raises the estimate.
    pub(super) fn record_lower_bound(
        &mut self,
        parameters: &LatencyParameters,
        now: Timestamp,
        elapsed: Duration,
        baseline: Option<f32>,
    ) {
        let value = log2_us(elapsed);
        if self
            .decayed_log2_us(parameters, now, baseline)
            .is_some_and(|estimate| value > estimate)
        {
            self.update_mean(parameters, now, value, baseline);
        }
    }

    /// Log2 of the mean in µs, decayed towards `baseline` by its age.
    pub(super) fn decayed_log2_us(
        &self,
        parameters: &LatencyParameters,
        now: Timestamp,
        baseline: Option<f32>,
    ) -> Option<f32> {
        if self.samples == 0 {
            return baseline;
        }
        let Some(baseline) = baseline else {
            return Some(self.mean_log2_us);
        };
        let freshness = self.freshness(parameters, now);
        Some(baseline + (self.mean_log2_us - baseline) * freshness)
    }

    /// Log2 of the mean in µs, without decay.
    pub(super) fn mean_log2_us(&self) -> Option<f32> {
        (self.samples > 0).then_some(self.mean_log2_us)
    }

    /// Number of samples in the mean.
    pub(super) fn samples(&self) -> u32 {
        self.samples
    }

    /// Upper bound of the bucket of a quantile (0 to 1); `None` with too few samples.
    pub(super) fn quantile(
        &self,
        parameters: &LatencyParameters,
        quantile: f64,
    ) -> Option<Duration> {
        if u32::from(self.counted_samples) < parameters.quantile_samples {
            return None;
        }
        let target_rank = f64::from(self.counted_samples) * quantile.clamp(0.0, 1.0);
        let mut rank = 0.0;
        for (bucket, count) in self.bucket_counts.iter().enumerate() {
            rank += f64::from(*count);
            if rank >= target_rank && *count > 0 {
                return Some(duration_from_log2_us(
                    (bucket as f32 + 1.0) / BUCKETS_PER_DOUBLING,
                ));
            }
        }
        None
    }

    fn freshness(&self, parameters: &LatencyParameters, now: Timestamp) -> f32 {
        let half_life = parameters.forgetting.as_secs_f32().max(1e-3);
        1.0 / (1.0 + now.since(self.updated).as_secs_f32() / half_life)
    }

    fn update_mean(
        &mut self,
        parameters: &LatencyParameters,
        now: Timestamp,
        value: f32,
        baseline: Option<f32>,
    ) {
        let old = self
            .decayed_log2_us(parameters, now, baseline)
            .unwrap_or(value);
        let average_weight = 1.0 / (self.samples as f32 + 1.0);
        let staleness = 1.0 - self.freshness(parameters, now);
        let weight = parameters
            .weight
            .max(average_weight)
            .max(staleness.min(0.5));
        self.mean_log2_us = old + (value - old) * weight;
        self.samples = self.samples.saturating_add(1);
        self.updated = now;
    }

    fn record_bucket(&mut self, log2_us: f32) {
        let bucket = (log2_us * BUCKETS_PER_DOUBLING) as usize;
        let count = &mut self.bucket_counts[bucket.min(BUCKETS - 1)];
        *count = count.saturating_add(1);
        self.counted_samples += 1;
        if self.counted_samples >= SAMPLES_UNTIL_HALVED {
            self.bucket_counts.iter_mut().for_each(|count| *count /= 2);
            self.counted_samples = self
                .bucket_counts
                .iter()
                .map(|count| u16::from(*count))
                .sum();
        }
    }
}

/// Log2 of a latency in µs, linear between powers of two.
pub(super) fn log2_us(latency: Duration) -> f32 {
    approximate_log2(latency.as_secs_f32() * MICROS_PER_SECOND)
}

/// Log2 of a ratio of at least 1, linear between powers of two.
pub(super) fn approximate_log2(ratio: f32) -> f32 {
    ratio.max(1.0).to_bits() as f32 / (1u32 << MANTISSA_BITS) as f32 - EXPONENT_BIAS
}

/// Inverse of [`log2_us`], in µs.
pub(super) fn micros_from_log2_us(log2_us: f32) -> f32 {
    let bits = (log2_us.clamp(0.0, 40.0) + EXPONENT_BIAS) * (1u32 << MANTISSA_BITS) as f32;
    f32::from_bits(bits as u32)
}

/// Inverse of [`log2_us`].
pub(super) fn duration_from_log2_us(log2_us: f32) -> Duration {
    Duration::from_nanos((micros_from_log2_us(log2_us) * 1_000.0) as u64)
}
