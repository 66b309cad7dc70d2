//! Parameters and counters of configuration dissemination.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of dissemination.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigurationParameters {
    /// Peers that a new generation is announced to in each push round.
    pub push_fanout: usize,
    /// Times of the push rounds after activation. Later rounds are further apart, since few nodes
    /// are left to reach.
    pub push_rounds: Vec<Duration>,
    /// One in this many peers is drawn from all regions, the others from the own region, whose
    /// links are faster.
    pub one_remote_in: u32,
    /// Mean interval between anti-entropy announcements to a random peer.
    pub anti_entropy_interval: Duration,
    /// A peer is answered if its last platform contact is older than this node's by at least this.
    pub platform_news_gap: Duration,
    /// Interval between a reader's announcements to its standby readers.
    pub standby_interval: Duration,
    /// Timeout of the first pull request; doubled after each one.
    pub pull_timeout: Duration,
    /// Longest timeout of a pull request.
    pub pull_timeout_maximum: Duration,
    /// Longest timeout of a pull request while the node has no configuration and cannot serve.
    pub first_pull_timeout_maximum: Duration,
    /// Replaced generations whose section digests are kept as bases for deltas: enough for a region
    /// that was cut off for an hour to need no whole bundles.
    pub kept_generations: usize,
    /// Rate limit on whole bundles sent to peers. A node that gets none requests one elsewhere.
    pub whole_bundles_per_second: u32,
    /// Interval between a reader's reads of the rollout register; bounds the delay of a change when
    /// the watch is silent.
    pub check_interval: Duration,
    /// Initial backoff of a reader after a failed request; doubled each time, with jitter.
    pub reader_pause: Duration,
    /// Longest backoff of a reader.
    pub reader_pause_maximum: Duration,
}

impl Default for ConfigurationParameters {
    fn default() -> Self {
        Self {
            push_fanout: 3,
            push_rounds: [0, 100, 250, 500, 1_000, 2_000]
                .map(Duration::from_millis)
                .to_vec(),
            one_remote_in: 4,
            anti_entropy_interval: Duration::from_secs(5),
            platform_news_gap: Duration::from_secs(5),
            standby_interval: Duration::from_secs(3),
            pull_timeout: Duration::from_millis(300),
            pull_timeout_maximum: Duration::from_secs(3),
            first_pull_timeout_maximum: Duration::from_millis(500),
            kept_generations: 64,
            whole_bundles_per_second: 8,
            check_interval: Duration::from_secs(2),
            reader_pause: Duration::from_millis(200),
            reader_pause_maximum: Duration::from_secs(5),
        }
    }
}

/// Counters of dissemination.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationCounters {
    /// Generations activated.
    pub accepted: u64,
    /// Configurations rejected: invalid signature, digest or content, or a conflicting record.
    pub refused: u64,
    /// Rejected records of the active generation with different content.
    pub conflicting: u64,
    /// Older generations and deltas to another base, ignored.
    pub stale: u64,
    /// Signatures verified.
    pub signatures_checked: u64,
    /// Announcements sent.
    pub announcements_sent: u64,
    /// Pull requests sent to peers.
    pub requests_sent: u64,
    /// Deltas sent to peers.
    pub deltas_sent: u64,
    /// Whole bundles sent to peers.
    pub wholes_sent: u64,
    /// Whole bundles not sent because of the rate limit.
    pub wholes_withheld: u64,
    /// Deltas that did not apply.
    pub deltas_failed: u64,
    /// Pull requests that timed out.
    pub requests_unanswered: u64,
    /// Requests sent to the platform.
    pub platform_requests: u64,
    /// Requests to the platform that failed.
    pub platform_failures: u64,
    /// Platform watches opened.
    pub watches_opened: u64,
}
