//! What a node process is given: the operator's settings, and the tunable values of transports.

use crate::error::{ClusterKeySnafu, NodeError};
use crate::peers::PeerParameters;
use crate::server::ServerLimits;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::time::Duration;
use thornbridge_config::keys::ClusterKey;
use thornbridge_config::settings::NodeSettings;
use thornbridge_core::Parameters;

const BYTES_PER_MB: usize = 1_000_000;

/// Everything a node needs to run.
#[derive(Clone, Debug)]
pub struct NodeRuntimeSettings {
    /// Operator's settings.
    pub node: NodeSettings,
    /// Key by which peers authenticate each other.
    pub cluster_key: ClusterKey,
    /// Tunable values of the core.
    pub parameters: Parameters,
    /// Tunable values of the sockets towards callers, operators, back ends and the platform.
    pub transport: TransportParameters,
    /// Tunable values of the links to peers.
    pub peers: PeerParameters,
}

impl NodeRuntimeSettings {
    /// Settings with the default tunable values; the cluster key is read from its file.
    pub fn load(node: NodeSettings) -> Result<Self, NodeError> {
        let cluster_key = ClusterKey::read(&node.cluster_key_file).context(ClusterKeySnafu)?;
        Ok(Self::new(node, cluster_key))
    }

    /// Settings with the default tunable values and a key already read.
    pub fn new(node: NodeSettings, cluster_key: ClusterKey) -> Self {
        let defaults = TransportParameters::default();
        let transport = TransportParameters {
            caller_connections: node
                .caller_connections
                .unwrap_or(defaults.caller_connections),
            caller_memory_bytes: node
                .caller_memory_mb
                .map_or(defaults.caller_memory_bytes, |mb| mb * BYTES_PER_MB),
            ..defaults
        };
        Self {
            node,
            cluster_key,
            parameters: Parameters::default(),
            transport,
            peers: PeerParameters::default(),
        }
    }
}

/// Tunable values of the sockets. They bound time and memory; they make no decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransportParameters {
    /// Inputs that wait for the driver. Beyond it, whoever brings work waits; 8,192 is a few
    /// milliseconds of the core's work.
    pub input_queue: usize,
    /// Most connections from callers; beyond it those that are held for the longest are closed for
    /// new ones.
    pub caller_connections: usize,
    /// Bytes that callers may make the process hold: requests, answers, and the system's buffers.
    pub caller_memory_bytes: usize,
    /// Most connections from operators.
    pub operator_connections: usize,
    /// The same as for callers.
    pub operator_memory_bytes: usize,
    /// Time a client has for the head of a request, also while a connection is idle.
    pub head_read_timeout: Duration,
    /// Time a client has for the body of a request. A body is at most 64 KiB.
    pub body_read_timeout: Duration,
    /// Time that sent bytes may stay unacknowledged, and a client may leave a response untaken,
    /// before the connection is cut.
    pub write_timeout: Duration,
    /// Time to open a connection to a back end. One costs about 1 ms; beyond this the server is
    /// taken for gone.
    pub connect_timeout: Duration,
    /// Time beyond its deadline after which an attempt's connection is cut. The core has long
    /// cancelled by then; this only frees the socket of a server that never answers.
    pub attempt_grace: Duration,
    /// Time to wait for a probe or a cancellation's acknowledgement.
    pub control_timeout: Duration,
    /// Cancellations and probes that wait for one back end's control connection.
    pub control_queue: usize,
    /// Time after which an idle control connection is closed.
    pub control_idle: Duration,
    /// Time to wait for the platform's answer.
    pub platform_timeout: Duration,
    /// Time without a byte on a watch after which it is taken for lost.
    pub watch_idle: Duration,
    /// Longest time between two wakes of the driver.
    pub tick: Duration,
    /// Gap between two wakes that is reported to the core as a pause. Well above the tick and
    /// scheduling noise, well below a lease's duration.
    pub pause_threshold: Duration,
    /// Time that a planned stop gives a connection without a request yet to bring one, which is
    /// then refused in words. A request follows its connection within a round trip.
    pub first_request_grace: Duration,
    /// Time that a planned stop waits for clients to take the last bytes of their responses.
    pub flush_timeout: Duration,
}

impl TransportParameters {
    /// Limits of a server of ours that takes this many connections.
    pub(crate) fn server_limits(&self, connections: usize, memory_bytes: usize) -> ServerLimits {
        ServerLimits {
            connections,
            memory_bytes,
            head_read_timeout: self.head_read_timeout,
            write_timeout: self.write_timeout,
            first_request_grace: self.first_request_grace,
            flush_timeout: self.flush_timeout,
        }
    }
}

impl Default for TransportParameters {
    fn default() -> Self {
        Self {
            input_queue: 8_192,
            caller_connections: 4_096,
            caller_memory_bytes: 64 * BYTES_PER_MB,
            operator_connections: 64,
            operator_memory_bytes: 4 * BYTES_PER_MB,
            head_read_timeout: Duration::from_secs(30),
            body_read_timeout: Duration::from_secs(5),
            write_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(1),
            attempt_grace: Duration::from_millis(500),
            control_timeout: Duration::from_secs(1),
            control_queue: 256,
            control_idle: Duration::from_secs(5),
            platform_timeout: Duration::from_secs(5),
            watch_idle: Duration::from_secs(30),
            tick: Duration::from_millis(100),
            pause_threshold: Duration::from_millis(500),
            first_request_grace: Duration::from_millis(500),
            flush_timeout: Duration::from_secs(5),
        }
    }
}
