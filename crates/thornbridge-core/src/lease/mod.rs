//! Leases in the platform's store, with holder, renewal counter and fencing token.
//!
//! A lease is a stored object that is changed by compare-and-swap only. Each node measures time
//! with its own monotonic clock and compares no wall clocks. A candidate takes a lease after it has
//! itself seen no renewal for the lease's duration. A holder stops using the lease a margin before
//! its end, counted from the time at which it *sent* the last renewal known to have taken effect.
//!
//! A holder whose process was paused or whose clock is wrong may consider the lease held for too
//! long. Its writes then fail, since each one depends on the version it follows, and a successor
//! has changed that version and raised the fencing token.
//!
//! Source of fencing tokens: M. Burrows, "The Chubby lock service", OSDI 2006 (sequencers).

mod ranking;
mod reader_leases;
mod state_machine;

pub use ranking::reader_ranking;
pub use reader_leases::ReaderLeases;
pub use state_machine::{FencingToken, Lease};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseParameters {
    /// Duration of a lease: how long others wait after the last renewal that they saw. A shorter
    /// duration speeds up failover and costs more writes.
    pub duration: Duration,
    /// Interval between renewals. Several renewals fit into a duration.
    pub renew_interval: Duration,
    /// How long before its end a holder stops using the lease. Covers differences in clock rate,
    /// and the time between a check and the use that follows.
    pub margin: Duration,
    /// First backoff after a failure; doubled on each further one up to the duration, with jitter.
    pub retry_pause: Duration,
    /// Nodes in each region that read the platform.
    pub readers_per_region: usize,
    /// Additional candidates in each region while the platform is silent, in case the first ones
    /// cannot reach it. Bounds the load on an unavailable store.
    pub extra_candidates: usize,
    /// Silence of the platform after which one more candidate is allowed, and after each further
    /// interval the next.
    pub escalation_interval: Duration,
    /// How long after its start a node that has seeds but no peers waits before it becomes a
    /// candidate.
    pub join_grace: Duration,
}

impl Default for LeaseParameters {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(5),
            renew_interval: Duration::from_millis(1_500),
            margin: Duration::from_millis(500),
            retry_pause: Duration::from_millis(250),
            readers_per_region: 2,
            extra_candidates: 2,
            escalation_interval: Duration::from_secs(10),
            join_grace: Duration::from_secs(5),
        }
    }
}

/// Counters of leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseCounters {
    /// Leases acquired.
    pub gained: u64,
    /// Leases lost to another node or not renewed in time.
    pub lost: u64,
    /// Leases released.
    pub released: u64,
    /// Renewals that took effect.
    pub renewed: u64,
    /// Writes rejected because the lease had changed.
    pub conflicts: u64,
    /// Writes without an answer, whose outcome is unknown.
    pub in_doubt: u64,
    /// Requests sent to the platform.
    pub requests: u64,
}
