//! Budget of coverage that a latency-first service may give up for lower latency.
//!
//! Each answer credits the service's allowance to a balance and debits the answer's missing
//! coverage. A slow query may be answered early while the balance covers its missing shards, so
//! mean missing coverage due to early answers stays below the allowance.

use super::shard_latency::DecayedHistogram;
use std::time::Duration;

/// Bound of the balance in both directions, which limits bursts of incomplete answers.
const MAX_BALANCE: f64 = 0.5;
/// Number of observations at which the latency counts are halved.
const LATENCY_WINDOW: u32 = 2_048;

/// Coverage budget of one service.
#[derive(Clone, Debug)]
pub(super) struct CoverageAllowance {
    allowance: f64,
    quantile: f64,
    balance: f64,
    latencies: DecayedHistogram,
}

impl CoverageAllowance {
    pub(super) fn new(allowance: f64, quantile: f64) -> Self {
        Self {
            allowance,
            quantile,
            balance: 0.0,
            latencies: DecayedHistogram::new(LATENCY_WINDOW),
        }
    }

    /// Records an answer's latency and missing share of coverage.
    pub(super) fn record_answer(&mut self, latency: Duration, missing: f64) {
        self.latencies.record(latency, self.quantile);
        let balance = self.balance + self.allowance - missing;
        self.balance = balance.clamp(-MAX_BALANCE, MAX_BALANCE);
    }

    /// Time from arrival after which a query may be answered early; `None` if the allowance is zero
    /// or before enough observations.
    pub(super) fn cut_after(&self) -> Option<Duration> {
        let enabled = self.allowance > 0.0 && self.latencies.has_enough_observations();
        enabled.then_some(self.latencies.cached_quantile())
    }

    /// Whether the balance covers this missing share of coverage.
    pub(super) fn covers(&self, missing: f64) -> bool {
        self.balance >= missing
    }
}
