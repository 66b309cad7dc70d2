//! What a back end did.

use serde::{Deserialize, Serialize};

/// Counters of one back end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackEndCounters {
    /// Work that arrived.
    pub arrived: u64,
    /// Work that arrived after it said that it was leaving.
    pub arrived_while_leaving: u64,
    /// Work that began to run.
    pub started: u64,
    /// Work that ran to its end.
    pub finished: u64,
    /// Work that was stopped, in the queue or while running, by a cancellation.
    pub cancelled: u64,
    /// Work whose connection went away before its reply.
    pub abandoned: u64,
    /// Work shed.
    pub shed: u64,
    /// Work whose deadline passed on arrival or in the queue.
    pub expired: u64,
    /// Work for a shard, layout or snapshot not held.
    pub not_held: u64,
    /// Probes answered.
    pub probes: u64,
    /// Work running now.
    pub running: u32,
    /// Work waiting now.
    pub queued: u32,
    /// Connections open now.
    pub connections: u32,
    /// Most connections open at once.
    pub most_connections: u32,
    /// Connections closed at once, since the limit was reached.
    pub refused_connections: u64,
}
