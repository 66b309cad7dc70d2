//! Parameters of query execution: hedge, retry and wait policies.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of query execution.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueryParameters {
    /// When a hedge is sent.
    pub hedge: HedgePolicy,
    /// When an attempt is sent after a failed one.
    pub retry: RetryPolicy,
    /// When a query is answered without all shards.
    pub wait: WaitPolicy,
    /// Expected one-way network latency from a back end; subtracted from the timeout of attempts.
    /// Default 1 ms: one way between the zones of a region.
    pub network_time: Duration,
    /// Minimum interval between two checks of a query's unresolved shards. Default 1 ms: an order of
    /// magnitude below the shortest objective, and long enough for a check to cost less than replies.
    pub look_interval: Duration,
    /// Maximum resends of one shard outside the extra-load budget, after attempts that did not run.
    /// Default 3: such attempts cost a back end next to nothing, but are bounded.
    pub free_resends_per_shard: u8,
    /// Time for which a "not held" reply overrides load reports. Default 1 s: longer than the usual
    /// lag of reports.
    pub not_held_memory: Duration,
}

/// When a hedge is sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "policy")]
pub enum HedgePolicy {
    /// No hedges.
    Never,
    /// After an observed latency quantile, within the extra-load budget.
    /// See J. Dean, L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013.
    AfterQuantile {
        /// Quantile, 0 to 1.
        quantile: f64,
        /// Minimum time from an attempt to its hedge.
        minimum_delay: Duration,
        /// Delay before enough observations, as a share of the service's target, 0 to 1.
        initial_share_of_target: f64,
        /// Whether to use the latency of the shard's best replica instead of the shard's replies.
        of_best_replica: bool,
    },
}

/// When an attempt is sent after a failed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "policy")]
pub enum RetryPolicy {
    /// At another replica, within the extra-load budget.
    Budgeted {
        /// Maximum attempts for one shard of one query, without resends.
        attempts_per_shard: u8,
    },
    /// Fixed number of retries without a budget.
    Fixed {
        /// Maximum retries for one shard of one query.
        retries: u8,
    },
}

/// When a query is answered without all shards.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "policy")]
pub enum WaitPolicy {
    /// Follow the service's completeness policy.
    AsService {
        /// A latency-first query is answered before its target once fewer shards than this are
        /// expected to answer by then; 0 waits for the target.
        least_expected_shards: f64,
        /// Mean share of coverage that a latency-first service may give up to answer its slowest
        /// queries earlier, 0 to 1. Each answer still has the minimum coverage.
        coverage_allowance: f64,
        /// Latency quantile of the service's answers from which a query may be answered early under
        /// the coverage allowance, 0 to 1.
        cut_quantile: f64,
    },
    /// Wait for every shard until the hard deadline.
    AllUntilHardDeadline,
}

impl Default for QueryParameters {
    fn default() -> Self {
        Self {
            hedge: HedgePolicy::AfterQuantile {
                quantile: 0.95,
                minimum_delay: Duration::from_millis(1),
                initial_share_of_target: 0.5,
                of_best_replica: true,
            },
            retry: RetryPolicy::Budgeted {
                attempts_per_shard: 3,
            },
            wait: WaitPolicy::AsService {
                least_expected_shards: 0.05,
                coverage_allowance: 0.008,
                cut_quantile: 0.96,
            },
            network_time: Duration::from_millis(1),
            look_interval: Duration::from_millis(1),
            free_resends_per_shard: 3,
            not_held_memory: Duration::from_secs(1),
        }
    }
}

impl QueryParameters {
    /// Baseline for comparisons: no hedges, wait for all shards until the hard deadline, two
    /// retries without a budget.
    pub fn baseline() -> Self {
        Self {
            hedge: HedgePolicy::Never,
            retry: RetryPolicy::Fixed { retries: 2 },
            wait: WaitPolicy::AllUntilHardDeadline,
            ..Self::default()
        }
    }
}
