//! Parameters and counters of routing.

use super::back_end_limit::BackEndLimitParameters;
use super::balancer::BalancerParameters;
use super::connections::ConnectionParameters;
use super::health::HealthViewParameters;
use super::latency::LatencyParameters;
use super::load::LoadParameters;
use super::outlier::OutlierParameters;
use super::slow_start::SlowStartParameters;
use super::subset::SubsetParameters;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RoutingParameters {
    /// Load balancing.
    pub balancer: BalancerParameters,
    /// Assignment of nodes to back ends.
    pub subset: SubsetParameters,
    /// Connection pools.
    pub connections: ConnectionParameters,
    /// Latency estimates.
    pub latency: LatencyParameters,
    /// Reported load.
    pub load: LoadParameters,
    /// Health tracking.
    pub health: HealthViewParameters,
    /// Slow start.
    pub slow_start: SlowStartParameters,
    /// Outlier detection.
    pub outlier: OutlierParameters,
    /// Adaptive limit on attempts at one back end.
    pub limit: BackEndLimitParameters,
    /// Time between housekeeping passes: ejections by latency, ends of ejections, idle connections.
    pub housekeeping_interval: Duration,
    /// Delay after a change of the member list before the subset is computed again, to batch
    /// changes.
    pub subset_delay: Duration,
    /// Time for which a node that vanished without leaving still counts in the division of
    /// connections. Longer than expected network partitions, since the other side keeps its
    /// connections.
    pub lost_node_memory: Duration,
    /// Time after the first member list for which the configured maximum number of nodes is
    /// assumed, since most members are not known yet.
    pub settling: Duration,
}

impl Default for RoutingParameters {
    fn default() -> Self {
        Self {
            balancer: BalancerParameters::default(),
            subset: SubsetParameters::default(),
            connections: ConnectionParameters::default(),
            latency: LatencyParameters::default(),
            load: LoadParameters::default(),
            health: HealthViewParameters::default(),
            slow_start: SlowStartParameters::default(),
            outlier: OutlierParameters::default(),
            limit: BackEndLimitParameters::default(),
            housekeeping_interval: Duration::from_secs(1),
            subset_delay: Duration::from_millis(500),
            lost_node_memory: Duration::from_secs(70 * 60),
            settling: Duration::from_secs(3),
        }
    }
}

/// Counters of routing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingCounters {
    /// Attempts sent on a connection.
    pub attempts_sent: u64,
    /// Attempts that waited for a connection.
    pub attempts_waited: u64,
    /// Attempts whose deadline passed while they waited for a connection.
    pub attempts_expired_waiting: u64,
    /// Attempts cancelled by their owner.
    pub attempts_cancelled: u64,
    /// Cancelled attempts without a reply in the grace period.
    pub attempts_abandoned: u64,
    /// Attempts moved to another connection because theirs broke before any byte was sent.
    pub attempts_moved: u64,
    /// Attempts that failed.
    pub attempts_failed: u64,
    /// Attempts that the back end shed.
    pub attempts_shed: u64,
    /// Replies to unknown attempts, or with the ids of another attempt.
    pub replies_foreign: u64,
    /// Choices that failed because no back end was usable.
    pub no_replica: u64,
    /// Choices of a back end that is ejected or reported unreachable.
    pub doubtful_choices: u64,
    /// Connections opened.
    pub connections_opened: u64,
    /// Connections that could not be opened.
    pub connections_refused: u64,
    /// Open connections that were lost.
    pub connections_lost: u64,
    /// Connections closed by this node.
    pub connections_closed: u64,
    /// Ejections.
    pub ejections: u64,
    /// Ejections prevented by the maximum share or for lack of another healthy replica.
    pub ejections_denied: u64,
    /// Back ends that started leaving.
    pub leaving_seen: u64,
    /// Computations of the subset.
    pub subsets_computed: u64,
    /// Shards of which this node is connected to fewer than two replicas although there are more. A
    /// gauge.
    pub shards_short_of_replicas: u64,
    /// Shards of which this node is connected to no replica. A gauge.
    pub shards_out_of_reach: u64,
}
