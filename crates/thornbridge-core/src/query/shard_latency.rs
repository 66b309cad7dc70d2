//! Latency histograms of shards, for the hedge delay and for the decision to answer early.

use super::coverage_allowance::CoverageAllowance;
use std::time::Duration;
use thornbridge_proto::ShardId;

/// Histogram buckets for each doubling of the latency; a bucket is at most 19% wide.
const BUCKETS_PER_OCTAVE: u32 = 4;
/// Upper edge of the first bucket, in microseconds.
const FIRST_EDGE_US: u64 = 128;
/// Doublings covered above the first edge.
const OCTAVES: u32 = 16;
const BUCKETS: usize = (OCTAVES * BUCKETS_PER_OCTAVE) as usize + 1;
/// Number of observations in a shard's histogram at which its counts are halved.
const SHARD_WINDOW: u32 = 256;
/// Number of observations in a service's histogram at which its counts are halved.
const SERVICE_WINDOW: u32 = 8_192;
/// Number of observations from which a histogram is used.
const MIN_OBSERVATIONS: u32 = 32;
/// Number of observations after which the cached quantile is recomputed.
const OBSERVATIONS_PER_REFRESH: u32 = 16;
/// Maximum ratio of a shard's quantile to its service's. Bounds the hedge delay of a shard with one
/// slow replica.
const MAX_RATIO_TO_SERVICE: u32 = 2;

/// Latency histogram with logarithmic buckets and exponential decay by halving.
#[derive(Clone, Debug)]
pub(super) struct DecayedHistogram {
    counts: [u16; BUCKETS],
    total: u32,
    window: u32,
    cached_quantile: Duration,
    /// Observations since the cached quantile was computed.
    since_refresh: u32,
}

impl DecayedHistogram {
    pub(super) fn new(window: u32) -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
            window,
            cached_quantile: Duration::ZERO,
            since_refresh: 0,
        }
    }

    pub(super) fn record(&mut self, latency: Duration, quantile: f64) {
        let bucket = bucket_of(latency);
        self.counts[bucket] = self.counts[bucket].saturating_add(1);
        self.total += 1;
        if self.total >= self.window {
            self.halve();
        }
        self.since_refresh += 1;
        if self.since_refresh >= OBSERVATIONS_PER_REFRESH || self.total <= MIN_OBSERVATIONS {
            self.since_refresh = 0;
            self.cached_quantile = self.quantile(quantile);
        }
    }

    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += u32::from(*count);
        }
    }

    pub(super) fn has_enough_observations(&self) -> bool {
        self.total >= MIN_OBSERVATIONS
    }

    pub(super) fn cached_quantile(&self) -> Duration {
        self.cached_quantile
    }

    /// Quantile, interpolated linearly within its bucket.
    fn quantile(&self, quantile: f64) -> Duration {
        let wanted = (f64::from(self.total) * quantile).ceil();
        let mut below = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            let count = f64::from(*count);
            if count > 0.0 && below + count >= wanted {
                let lower = lower_edge(bucket);
                let width = upper_edge(bucket) - lower;
                return lower + width.mul_f64((wanted - below) / count);
            }
            below += count;
        }
        upper_edge(BUCKETS - 1)
    }

    /// Share of observations above `age`, interpolated linearly within its bucket.
    fn share_above(&self, age: Duration) -> f64 {
        let bucket = bucket_of(age);
        let above: u32 = self.counts[bucket + 1..]
            .iter()
            .map(|count| u32::from(*count))
            .sum();
        let lower = lower_edge(bucket).as_secs_f64();
        let upper = upper_edge(bucket).as_secs_f64();
        let rest = ((upper - age.as_secs_f64()) / (upper - lower)).clamp(0.0, 1.0);
        let within = f64::from(self.counts[bucket]) * rest;
        (f64::from(above) + within) / f64::from(self.total.max(1))
    }
}

/// Latencies of one service and of its shards.
#[derive(Clone, Debug)]
pub(super) struct ShardLatencies {
    /// Coverage that a latency-first service may give up for lower latency.
    pub(super) allowance: CoverageAllowance,
    quantile: f64,
    service: DecayedHistogram,
    shards: Vec<DecayedHistogram>,
}

impl ShardLatencies {
    /// Creates empty histograms. [`Self::latency_quantile`] returns the given quantile.
    pub(super) fn new(quantile: f64, allowance: CoverageAllowance) -> Self {
        Self {
            allowance,
            quantile,
            service: DecayedHistogram::new(SERVICE_WINDOW),
            shards: Vec::new(),
        }
    }

    /// Adds histograms for the shards of a layout.
    pub(super) fn resize(&mut self, shards: usize) {
        if self.shards.len() < shards {
            self.shards
                .resize(shards, DecayedHistogram::new(SHARD_WINDOW));
        }
    }

    /// Records the latency of an attempt with hits, or the age of a slow cancelled one as a lower
    /// bound of its latency. Without the latter, stragglers would be underrepresented.
    pub(super) fn record(&mut self, shard: ShardId, latency: Duration) {
        self.service.record(latency, self.quantile);
        if let Some(histogram) = self.shards.get_mut(shard.0 as usize) {
            histogram.record(latency, self.quantile);
        }
    }

    /// Latency quantile of a shard's attempts; `None` before enough observations.
    pub(super) fn latency_quantile(&self, shard: ShardId) -> Option<Duration> {
        if !self.service.has_enough_observations() {
            return None;
        }
        let service_quantile = self.service.cached_quantile;
        let shard_quantile = self
            .shards
            .get(shard.0 as usize)
            .filter(|histogram| histogram.has_enough_observations())
            .map(|histogram| histogram.cached_quantile);
        let max_quantile = service_quantile * MAX_RATIO_TO_SERVICE;
        Some(shard_quantile.map_or(service_quantile, |latency| latency.min(max_quantile)))
    }

    /// Probability that an attempt of this age completes within a further time; 1 before enough
    /// observations.
    pub(super) fn completion_probability(
        &self,
        shard: ShardId,
        age: Duration,
        within: Duration,
    ) -> f64 {
        let histogram = match self.shards.get(shard.0 as usize) {
            Some(histogram) if histogram.has_enough_observations() => histogram,
            _ if self.service.has_enough_observations() => &self.service,
            _ => return 1.0,
        };
        let still_running = histogram.share_above(age);
        if still_running <= 0.0 {
            return 0.0;
        }
        let still_running_later = histogram.share_above(age + within);
        ((still_running - still_running_later) / still_running).clamp(0.0, 1.0)
    }
}

/// Index of the bucket of a latency.
pub(super) fn bucket_of(latency: Duration) -> usize {
    let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    if latency_us < FIRST_EDGE_US {
        return 0;
    }
    let octave = (latency_us / FIRST_EDGE_US).ilog2();
    let base = FIRST_EDGE_US.saturating_mul(1 << octave.min(OCTAVES));
    let step =
        (latency_us.saturating_sub(base)).saturating_mul(u64::from(BUCKETS_PER_OCTAVE)) / base;
    let bucket = 1 + octave as usize * BUCKETS_PER_OCTAVE as usize + step as usize;
    bucket.min(BUCKETS - 1)
}

/// Inclusive lower edge of a bucket.
pub(super) fn lower_edge(bucket: usize) -> Duration {
    match bucket.checked_sub(1) {
        Some(previous) => upper_edge(previous),
        None => Duration::ZERO,
    }
}

/// Exclusive upper edge of a bucket.
pub(super) fn upper_edge(bucket: usize) -> Duration {
    if bucket == 0 {
        return Duration::from_micros(FIRST_EDGE_US);
    }
    let octave = (bucket - 1) as u32 / BUCKETS_PER_OCTAVE;
    let step = (bucket - 1) as u64 % u64::from(BUCKETS_PER_OCTAVE) + 1;
    let base = FIRST_EDGE_US << octave;
    Duration::from_micros(base + base * step / u64::from(BUCKETS_PER_OCTAVE))
}
