//! Settings of a gateway process.

use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::keys::ClusterKey;
use thornbridge_core::gateway::{GatewayParameters, Placement};
use thornbridge_proto::NodeName;

/// Settings of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the node, chosen by its operator.
    pub name: NodeName,
    /// Location of the node.
    pub placement: Placement,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Address on which peers are served; also advertised to peers.
    pub peer_address: SocketAddr,
    /// Address of the metrics endpoint; `None` disables metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Peers that are contacted first, to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Key with which peers authenticate each other.
    pub cluster_key: ClusterKey,
    /// Tunables of the core.
    pub parameters: GatewayParameters,
    /// Maximum duration of a planned stop.
    pub stop_grace: Duration,
    /// Maximum number of caller connections.
    pub max_caller_connections: usize,
    /// Memory that the process may hold, in bytes.
    pub memory_bytes: usize,
}

/// Reads the settings again, for a reload. The error lists all problems found.
pub type ReadSettings = Box<dyn Fn() -> Result<GatewaySettings, String> + Send>;
