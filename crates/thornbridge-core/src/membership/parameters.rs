//! Parameters and counters of failure detection.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of failure detection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct MembershipParameters {
    /// Rings over the node's own region; each gives a member one prober and one target. Enough that
    /// a suspicion gets [`Self::suspicion_confirmations`] even if one prober has failed too.
    pub regional_rings: u32,
    /// Rings over all members, which also spread updates between regions.
    pub global_rings: u32,
    /// Period in which each target is probed once.
    pub probe_period: Duration,
    /// Timeout of a ping. Must be well above the longest round trip between regions, and well below
    /// the probe period.
    pub probe_timeout: Duration,
    /// Members that probe an unresponsive target indirectly (`k` of SWIM).
    pub indirect_probers: usize,
    /// Maximum of the local health score (`S` of Lifeguard).
    pub local_health_limit: u32,
    /// Lower bound of the suspicion timeout, whatever the size of the cluster.
    pub suspicion_minimum: Duration,
    /// Minimum suspicion timeout, as a multiple of `probe_period * log10(members)` (`alpha` of
    /// Lifeguard).
    pub suspicion_factor: f64,
    /// Timeout of an unconfirmed suspicion, as a multiple of the minimum (`beta` of Lifeguard).
    pub suspicion_maximum_factor: f64,
    /// Confirmations by other members after which the minimum applies (`K` of Lifeguard).
    pub suspicion_confirmations: usize,
    /// Each node sends an update `ceil(ln(members)) + transmission_margin` times.
    pub transmission_margin: u32,
    /// Interval between gossip rounds while updates are queued.
    pub gossip_interval: Duration,
    /// Neighbours per gossip round.
    pub gossip_fanout: usize,
    /// Maximum size of the updates on one message, in bytes.
    pub updates_limit_bytes: usize,
    /// Sustained rate of gossiped updates, in bytes per second.
    pub gossip_bytes_per_second: u32,
    /// Burst of gossiped updates, in bytes.
    pub gossip_burst_bytes: u32,
    /// Initial interval between attempts to join; doubles up to [`Self::join_interval_maximum`].
    pub join_interval: Duration,
    /// Maximum interval between attempts to join or to contact seeds that are not members.
    pub join_interval_maximum: Duration,
    /// Delay until a node that has not joined requests the platform's list of machines.
    pub machine_list_delay: Duration,
    /// Initial interval between these requests; doubles up to
    /// [`Self::machine_list_interval_maximum`].
    pub machine_list_interval: Duration,
    /// Maximum interval between requests for the list of machines.
    pub machine_list_interval_maximum: Duration,
    /// Times that each node sends a new member's record. Lower than for other updates, since
    /// records are larger; anti-entropy repairs what is missed.
    pub record_transmissions: u32,
    /// Sustained rate of members sent in exchanges, in bytes per second.
    pub sync_bytes_per_second: u32,
    /// Burst of members sent in exchanges, in bytes.
    pub sync_burst_bytes: u32,
    /// Interval between anti-entropy exchanges.
    pub sync_interval: Duration,
    /// Interval after an exchange that found a difference.
    pub sync_interval_differing: Duration,
    /// Maximum buckets of members sent per exchange.
    pub sync_buckets: usize,
    /// Interval between probes of dead members, to rediscover members after a network split.
    pub dead_probe_interval: Duration,
    /// Time after which a dead member is removed. Must exceed the longest network split to recover
    /// from.
    pub dead_retention: Duration,
    /// Delay of a timer above which the process is considered to have been paused.
    pub pause_threshold: Duration,
}

impl Default for MembershipParameters {
    fn default() -> Self {
        Self {
            regional_rings: 4,
            global_rings: 2,
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(250),
            indirect_probers: 3,
            local_health_limit: 8,
            suspicion_minimum: Duration::from_secs(1),
            suspicion_factor: 0.4,
            suspicion_maximum_factor: 3.0,
            suspicion_confirmations: 2,
            transmission_margin: 4,
            gossip_interval: Duration::from_millis(100),
            gossip_fanout: 3,
            updates_limit_bytes: 1_000,
            gossip_bytes_per_second: 2_000,
            gossip_burst_bytes: 16_000,
            join_interval: Duration::from_millis(500),
            join_interval_maximum: Duration::from_secs(30),
            machine_list_delay: Duration::from_secs(4),
            machine_list_interval: Duration::from_secs(10),
            machine_list_interval_maximum: Duration::from_secs(120),
            record_transmissions: 4,
            sync_bytes_per_second: 2_000,
            sync_burst_bytes: 64_000,
            sync_interval: Duration::from_secs(10),
            sync_interval_differing: Duration::from_secs(2),
            sync_buckets: 8,
            dead_probe_interval: Duration::from_secs(20),
            dead_retention: Duration::from_secs(2 * 60 * 60),
            pause_threshold: Duration::from_secs(1),
        }
    }
}

/// Counters of failure detection.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipCounters {
    /// Members that are not dead, including this node.
    pub members: u64,
    /// Members currently suspected.
    pub suspects: u64,
    /// Dead members not yet removed.
    pub dead_remembered: u64,
    /// Direct probes sent.
    pub probes: u64,
    /// Probes continued indirectly.
    pub indirect_probes: u64,
    /// Probes that failed directly and indirectly.
    pub probes_failed: u64,
    /// Suspicions raised by this node.
    pub suspicions_raised: u64,
    /// Members declared dead by this node.
    pub declared_dead: u64,
    /// Anti-entropy exchanges that found a difference.
    pub syncs_differing: u64,
    /// Times that this node refuted its own suspicion or death.
    pub refutations: u64,
    /// Dead members that became alive or leaving again.
    pub revived: u64,
    /// Join messages sent.
    pub joins_sent: u64,
    /// Requests for the platform's list of machines.
    pub machine_lists_wanted: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Current local health score; 0 is healthy.
    pub local_health: u64,
}
