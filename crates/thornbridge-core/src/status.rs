//! Status report for operators: the body of `/v1/status`.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::caller::ConfigurationReference;
use thornbridge_proto::peer::membership::MemberRecord;
use thornbridge_proto::{BackEndId, NodeId, NodeName, ServiceName, SnapshotId};

/// Status of a node and its view of the cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Node id of this run.
    pub node: NodeId,
    /// Node name.
    pub name: NodeName,
    /// Whether the node accepts requests, and the reason if not.
    pub readiness: NodeReadiness,
    /// Active configuration; absent before the first.
    pub configuration: Option<ConfigurationReference>,
    /// Reason why there is no configuration; absent if there is one.
    pub configuration_obstacle: Option<String>,
    /// Member list, including this node.
    pub members: Vec<MemberRecord>,
    /// Leases as seen by this node.
    pub leases: Vec<LeaseStatus>,
    /// Time since the last contact with the platform, directly or through peers.
    pub platform_staleness: Option<Duration>,
    /// Whether the platform answered this node's last request; absent if there was none.
    pub platform_reachable: Option<bool>,
    /// Back ends that are not fully usable.
    pub back_ends: Vec<BackEndStatus>,
    /// Services.
    pub services: Vec<ServiceStatus>,
}

/// Whether a node accepts requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum NodeReadiness {
    /// The node accepts requests.
    Ready,
    /// No configuration received yet.
    NoConfiguration,
    /// Waiting for the health state of back ends from a peer.
    LearningHealth,
    /// The node is stopping.
    Leaving,
}

/// Status of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Name of the lease.
    pub name: String,
    /// Last known holder.
    pub holder: Option<NodeId>,
    /// Whether this node is the holder.
    pub held_here: bool,
    /// Last known fencing token.
    pub fencing_token: u64,
}

/// Status of a back end that is not fully usable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackEndStatus {
    /// Back end.
    pub back_end: BackEndId,
    /// State: `leaving`, `ejected`, `unreachable`, `cold`.
    pub state: String,
}

/// Status of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service.
    pub service: ServiceName,
    /// Requests in flight on this node.
    pub in_flight: u32,
    /// Requests queued on this node.
    pub queued: u32,
    /// Current limit of requests in flight on this node.
    pub concurrency_limit: u32,
    /// Snapshot of a query planned now.
    pub snapshot: Option<SnapshotId>,
}
