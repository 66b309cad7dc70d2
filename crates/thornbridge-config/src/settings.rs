//! Settings of one node: addresses, zone, seeds, keys. TOML, or flags of the same names.

use crate::approval::TrustedKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use thornbridge_proto::{NodeName, RegionName, ZoneName};

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name shown to operators.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators: health, metrics, status.
    pub operator_address: SocketAddr,
    /// Address for peers to listen on.
    pub peer_address: SocketAddr,
    /// Address that peers are told; the listening one where absent.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address that operators are told; the listening one where absent.
    #[serde(default)]
    pub advertised_operator_address: Option<SocketAddr>,
    /// Platform's address.
    pub platform_address: SocketAddr,
    /// Peers to join through.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Most connections from callers at once; 4,096 where absent.
    #[serde(default)]
    pub caller_connections: Option<usize>,
    /// Memory that callers may make the node hold, in MB; 64 where absent.
    #[serde(default)]
    pub caller_memory_mb: Option<usize>,
    /// File with the cluster key that authenticates peers; must not be readable by others.
    pub cluster_key_file: PathBuf,
    /// Keys that may approve bundles.
    pub trusted_keys: Vec<TrustedKey>,
}
