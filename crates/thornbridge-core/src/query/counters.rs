//! Counters of query execution.

use serde::{Deserialize, Serialize};

/// Counts of queries and attempts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryCounters {
    /// Queries received.
    pub received: u64,
    /// Queries answered.
    pub answered: u64,
    /// Queries answered without all shards.
    pub answered_partly: u64,
    /// Queries answered early because the missing shards were not expected in time.
    pub answered_early: u64,
    /// Queries refused or failed.
    pub refused: u64,
    /// Queries whose caller disconnected before the answer.
    pub abandoned: u64,
    /// First attempts sent to a shard.
    pub first_attempts: u64,
    /// Attempts sent while another attempt of the shard was in flight.
    pub hedges: u64,
    /// Hedges that answered before the earlier attempt.
    pub hedges_won: u64,
    /// Attempts sent after an attempt that may have run, expired or was shed.
    pub retries: u64,
    /// Attempts sent in place of an attempt that did not run.
    pub resends: u64,
    /// Hedges and retries delayed by the extra-load budget.
    pub budget_waits: u64,
    /// Attempts cancelled because another answered or the query ended.
    pub cancelled: u64,
    /// Replies and failures of attempts that were no longer in flight.
    pub late_replies: u64,
    /// Discarded replies with hits of another snapshot.
    pub wrong_snapshot_replies: u64,
    /// Discarded replies that are malformed, have a non-finite score, have no hits, or belong to
    /// another attempt.
    pub malformed_replies: u64,
}
