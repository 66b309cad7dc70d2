//! What a gateway's process is given.

use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::keys::ClusterKey;
use thornbridge_core::gateway::{GatewayParameters, Placement};
use thornbridge_proto::NodeName;

/// Settings of a gateway's process.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Operator's name for the node.
    pub name: NodeName,
    /// Where it stands.
    pub placement: Placement,
    /// Where callers are served.
    pub caller_address: SocketAddr,
    /// Where readiness is told.
    pub readiness_address: SocketAddr,
    /// Where peers are served; the same that peers are told.
    pub peer_address: SocketAddr,
    /// Where metrics are served, and at which path.
    pub metrics_address: Option<SocketAddr>,
    /// Peers to join through.
    pub seeds: Vec<SocketAddr>,
    /// Key by which peers know each other.
    pub cluster_key: ClusterKey,
    /// Tunable values of the core.
    pub parameters: GatewayParameters,
    /// Time that a planned stop may take.
    pub stop_grace: Duration,
    /// Most descriptors that connections may use.
    pub connections: usize,
}

/// Reads the settings anew, as after a signal; the error names everything that is wrong.
pub type ReadSettings = Box<dyn Fn() -> Result<GatewaySettings, String> + Send>;
