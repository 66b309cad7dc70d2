//! Adaptive concurrency limit, driven by latency and shed requests.
//!
//! Latency is sampled in windows. A window whose median exceeds the target, or in which requests
//! were shed, lowers the limit in proportion to the excess. A window in which the limit held
//! requests back, without any excess, raises the limit. The target is a multiple of the baseline
//! (a sliding minimum of the latency), but at least a share of the service's target latency.
//!
//! The increase is proportional to the square root of the limit, so that nodes sharing back ends
//! converge to equal limits. A limit below one is enforced by pacing: starts are spaced by
//! `latency / limit`, since many nodes in front of few slots overload them with one request each.
//!
//! References:
//! - D. Bansal and H. Balakrishnan, "Binomial Congestion Control Algorithms", INFOCOM 2001.
//! - G. Kumar et al., "Swift: Delay is Simple and Effective for Congestion Control in the
//!   Datacenter", SIGCOMM 2020 (control law, pacing below one).
//! - N. Cardwell et al., "BBR", ACM Queue 2016 (sliding minimum).

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Latency samples kept per window; further samples are dropped.
const SAMPLES_PER_WINDOW: usize = 64;
/// Buckets of the sliding minimum.
const BASELINE_BUCKETS: u32 = 6;

/// Parameters of an adaptive concurrency limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AdaptiveLimitParameters {
    /// Initial limit.
    pub initial: f64,
    /// Lower bound of the limit. Above zero, so that requests still run and sample the latency.
    pub minimum: f64,
    /// Minimum length of a window. Must be long enough for a change of the limit to show in the
    /// latency.
    pub window: Duration,
    /// Finished requests that complete a window.
    pub window_samples: u32,
    /// Length at which a window ends with fewer samples, so that a low limit can recover.
    pub longest_window: Duration,
    /// Multiple of the baseline latency that is acceptable as normal queueing.
    pub tolerance: f64,
    /// Share of the service's target latency up to which the median is acceptable, whatever the
    /// baseline is. Below one, since half of the requests exceed the median.
    pub target_share: f64,
    /// Added to the multiple of the baseline, so that jitter on tiny latencies is tolerated.
    pub allowance: Duration,
    /// Share of overloaded requests in a window above which the limit is lowered.
    pub overload_share: f64,
    /// Largest decrease per window, as a share of the limit.
    pub greatest_decrease: f64,
    /// Factor from the relative excess to the relative decrease.
    pub decrease_gain: f64,
    /// Increase per saturated window, as a multiple of the limit's square root.
    pub growth: f64,
    /// Period that the sliding minimum of the latency covers.
    pub baseline_memory: Duration,
}

impl Default for AdaptiveLimitParameters {
    fn default() -> Self {
        Self {
            initial: 64.0,
            minimum: 0.02,
            window: Duration::from_millis(100),
            window_samples: 8,
            longest_window: Duration::from_millis(300),
            tolerance: 3.0,
            target_share: 0.6,
            allowance: Duration::from_millis(2),
            overload_share: 0.05,
            greatest_decrease: 0.3,
            decrease_gain: 0.5,
            growth: 0.4,
            baseline_memory: Duration::from_secs(30),
        }
    }
}

/// A finished request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSample {
    /// Load-dependent latency, if measured.
    pub latency: Option<Duration>,
    /// Whether the request was shed or timed out because of overload.
    pub overloaded: bool,
}

/// Samples of the current window.
#[derive(Debug, Default)]
struct Window {
    started: Timestamp,
    latencies_us: Vec<u32>,
    finished: u32,
    overloaded: u32,
    saturated: bool,
}

/// Adaptive limit on concurrent requests.
#[derive(Debug)]
pub struct AdaptiveLimit {
    parameters: AdaptiveLimitParameters,
    maximum: f64,
    target_latency: Duration,
    limit: f64,
    window: Window,
    baseline: SlidingMinimum,
}

impl AdaptiveLimit {
    /// Creates a limit of at most `maximum` for a service with this target latency.
    pub fn new(
        parameters: AdaptiveLimitParameters,
        maximum: f64,
        target_latency: Duration,
        now: Timestamp,
    ) -> Self {
        let baseline = SlidingMinimum::new(parameters.baseline_memory / BASELINE_BUCKETS);
        Self {
            limit: parameters.initial.min(maximum),
            parameters,
            maximum,
            target_latency,
            window: Window {
                started: now,
                ..Window::default()
            },
            baseline,
        }
    }

    /// Sets the maximum limit and the target latency.
    pub fn reconfigure(&mut self, maximum: f64, target_latency: Duration) {
        self.maximum = maximum;
        self.target_latency = target_latency;
        self.limit = self.limit.min(maximum);
    }

    /// Current limit; below one, starts are paced.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Requests that may run concurrently, at least one.
    pub fn concurrency(&self) -> u32 {
        self.limit.max(1.0) as u32
    }

    /// Minimum interval between two starts; zero unless the limit is below one.
    pub fn pacing_gap(&self, expected_latency: Duration) -> Duration {
        if self.limit >= 1.0 {
            return Duration::ZERO;
        }
        expected_latency.div_f64(self.limit)
    }

    /// Records that the limit held back a request in this window.
    pub fn mark_saturated(&mut self) {
        self.window.saturated = true;
    }

    /// Records a finished request. Returns whether the limit was lowered.
    pub fn record(&mut self, now: Timestamp, sample: LimitSample) -> bool {
        self.window.finished += 1;
        self.window.overloaded += u32::from(sample.overloaded);
        if let Some(latency) = sample.latency
            && self.window.latencies_us.len() < SAMPLES_PER_WINDOW
        {
            let micros = u32::try_from(latency.as_micros()).unwrap_or(u32::MAX);
            self.window.latencies_us.push(micros);
        }
        let age = now.since(self.window.started);
        let complete = self.window.finished >= self.parameters.window_samples
            || self.window.overloaded > 0
            || age >= self.parameters.longest_window;
        if age < self.parameters.window || !complete {
            return false;
        }
        self.close_window(now)
    }

    /// Adjusts the limit and starts the next window. Returns whether the limit was lowered.
    fn close_window(&mut self, now: Timestamp) -> bool {
        let median = median(&mut self.window.latencies_us);
        if let Some(median) = median {
            self.baseline.add(now, median);
        }
        let excess = self.overload_excess().max(self.latency_excess(median));
        if excess > 0.0 {
            let decrease =
                (excess * self.parameters.decrease_gain).min(self.parameters.greatest_decrease);
            self.limit = (self.limit * (1.0 - decrease)).max(self.parameters.minimum);
        } else if self.window.saturated {
            let increased = self.limit + self.parameters.growth * self.limit.sqrt();
            self.limit = increased.min(self.maximum);
        }
        self.window.latencies_us.clear();
        self.window.finished = 0;
        self.window.overloaded = 0;
        self.window.saturated = false;
        self.window.started = now;
        excess > 0.0
    }

    fn overload_excess(&self) -> f64 {
        let share = f64::from(self.window.overloaded) / f64::from(self.window.finished.max(1));
        if share > self.parameters.overload_share {
            share
        } else {
            0.0
        }
    }

    /// Share of the median that exceeds the target.
    fn latency_excess(&self, median: Option<u32>) -> f64 {
        let (Some(median), Some(baseline)) = (median, self.baseline.get()) else {
            return 0.0;
        };
        let allowance = self.parameters.allowance.as_micros() as f64;
        let from_baseline = f64::from(baseline) * self.parameters.tolerance + allowance;
        let from_target = self.target_latency.as_micros() as f64 * self.parameters.target_share;
        let target = from_baseline.max(from_target);
        let median = f64::from(median);
        ((median - target) / median.max(1.0)).max(0.0)
    }
}

fn median(values: &mut [u32]) -> Option<u32> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    Some(*values.select_nth_unstable(middle).1)
}

/// Minimum over a sliding window, kept in time buckets.
#[derive(Debug)]
struct SlidingMinimum {
    bucket_length: Duration,
    minima: VecDeque<u32>,
    bucket_started: Timestamp,
}

impl SlidingMinimum {
    fn new(bucket_length: Duration) -> Self {
        Self {
            bucket_length: bucket_length.max(Duration::from_millis(1)),
            minima: VecDeque::with_capacity(BASELINE_BUCKETS as usize),
            bucket_started: Timestamp::ZERO,
        }
    }

    fn add(&mut self, now: Timestamp, value: u32) {
        let starts_bucket =
            self.minima.is_empty() || now.since(self.bucket_started) >= self.bucket_length;
        if starts_bucket {
            if self.minima.len() == BASELINE_BUCKETS as usize {
                self.minima.pop_front();
            }
            self.minima.push_back(value);
            self.bucket_started = now;
        } else if let Some(last) = self.minima.back_mut() {
            *last = (*last).min(value);
        }
    }

    fn get(&self) -> Option<u32> {
        self.minima.iter().min().copied()
    }
}
