//! Parameters and counters of health sharing.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of health sharing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HealthParameters {
    /// Time that a new node requests facts from peers before it accepts callers without them.
    pub learning_limit: Duration,
    /// Interval between these requests.
    pub learning_interval: Duration,
    /// Nodes of each region that probe a back end. More than one, so that a broken link is not
    /// taken for a broken back end.
    pub observers_per_region: usize,
    /// Interval between probes of a back end in the node's own region. Bounds the time until a
    /// leaving back end without traffic is detected.
    pub probe_interval: Duration,
    /// Interval between probes of a back end in another region, which nodes there probe more often.
    pub remote_probe_interval: Duration,
    /// Delay until a failed probe is retried.
    pub confirm_interval: Duration,
    /// Consecutive failed probes after which this node finds a back end unreachable.
    pub failed_probes: u32,
    /// Time after which a probe without a result from the driver counts as failed.
    pub probe_timeout: Duration,
    /// Maximum probes per second and node; with too few nodes, the intervals grow instead.
    pub probes_per_second: f64,
    /// Observers of this node's region that must agree before a back end counts as unreachable for
    /// nodes that do not probe it.
    pub agreeing_observers: usize,
    /// Hold-down of a leaving back end, in which reports of readiness are ignored as stale.
    pub leaving_hold: Duration,
    /// Consecutive probes that must report readiness after the hold-down.
    pub ready_probes: u32,
    /// Minimum interval between two published changes of one fact. Doubles while the fact keeps
    /// changing, so that a flapping back end causes little traffic.
    pub publish_interval: Duration,
    /// Upper bound of the doubled interval.
    pub publish_interval_maximum: Duration,
    /// Each node sends a change `ceil(ln(members)) + transmission_margin` times. The probability
    /// that some node misses the change is about `exp(-transmission_margin)`: 1 in 3,000 with 8, 1 in
    /// 55 with 4. Anti-entropy repairs that.
    pub transmission_margin: u32,
    /// Times that each node sends a change of snapshots. Low, since such changes come in bursts and
    /// are not urgent; anti-entropy repairs what is missed.
    pub snapshot_transmissions: u32,
    /// Interval between gossip rounds while changes are queued.
    pub gossip_interval: Duration,
    /// Neighbours per gossip round.
    pub gossip_fanout: usize,
    /// Maximum size of the changes in one message, in bytes.
    pub message_limit_bytes: usize,
    /// Sustained rate of gossiped changes, in bytes per second.
    pub gossip_bytes_per_second: u32,
    /// Burst of gossiped changes, in bytes.
    pub gossip_burst_bytes: u32,
    /// Interval between anti-entropy exchanges.
    pub sync_interval: Duration,
    /// Interval after an exchange that found a difference.
    pub sync_interval_differing: Duration,
    /// Maximum buckets of facts sent per exchange.
    pub sync_buckets: usize,
    /// Sustained rate of facts sent in exchanges, in bytes per second.
    pub sync_bytes_per_second: u32,
    /// Burst of facts sent in exchanges, in bytes.
    pub sync_burst_bytes: u32,
}

impl Default for HealthParameters {
    fn default() -> Self {
        Self {
            learning_limit: Duration::from_secs(1),
            learning_interval: Duration::from_millis(200),
            observers_per_region: 2,
            probe_interval: Duration::from_millis(1_800),
            remote_probe_interval: Duration::from_secs(10),
            confirm_interval: Duration::from_millis(300),
            failed_probes: 3,
            probe_timeout: Duration::from_secs(2),
            probes_per_second: 50.0,
            agreeing_observers: 2,
            leaving_hold: Duration::from_secs(10),
            ready_probes: 3,
            publish_interval: Duration::from_secs(1),
            publish_interval_maximum: Duration::from_secs(60),
            transmission_margin: 8,
            snapshot_transmissions: 4,
            gossip_interval: Duration::from_millis(100),
            gossip_fanout: 3,
            message_limit_bytes: 1_000,
            gossip_bytes_per_second: 1_000,
            gossip_burst_bytes: 32_000,
            sync_interval: Duration::from_secs(15),
            sync_interval_differing: Duration::from_secs(3),
            sync_buckets: 8,
            sync_bytes_per_second: 1_000,
            sync_burst_bytes: 32_000,
        }
    }
}

/// Counters of health sharing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthCounters {
    /// Back ends that this node probes.
    pub observed: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that failed.
    pub probes_failed: u64,
    /// Changes observed and published by this node.
    pub published: u64,
    /// Changes received from peers.
    pub learnt: u64,
    /// Observations not published because of the rate limit or the hold-down of a leaving back end.
    pub held_back: u64,
    /// Times that this node found a back end unreachable.
    pub unreachable: u64,
    /// Anti-entropy exchanges that found a difference.
    pub syncs_differing: u64,
}
