//! Faults of one back end.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::SnapshotId;

/// All faults in effect. The default is none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackEndFaults {
    /// How many times slower it runs.
    pub straggler_factor: f64,
    /// Work that begins to run stays running until this is lifted. Unlike a slow back end it
    /// lets a test have work in flight for as long as it needs, whatever the machine's speed.
    pub hold: bool,
    /// What becomes of replies to work.
    pub reply: ReplyFault,
    /// Every request, probes included, is taken and never answered.
    pub hang: bool,
    /// All work is shed.
    pub shed: bool,
    /// It says that it is cold and runs slower by the configured factor.
    pub cold: bool,
    /// It says that it is leaving and refuses new work.
    pub leaving: bool,
    /// Its listener and connections are closed; lifted, it listens at the same address again.
    pub dead: bool,
    /// Age of the load that it reports.
    #[serde(with = "humantime_serde")]
    pub load_lag: Duration,
    /// Load that it reports in place of its own.
    pub load_lie: Option<LoadLie>,
    /// Snapshots held; all of the bundle where absent.
    pub held_snapshots: Option<Vec<SnapshotId>>,
}

impl Default for BackEndFaults {
    fn default() -> Self {
        Self {
            straggler_factor: 1.0,
            hold: false,
            reply: ReplyFault::None,
            hang: false,
            shed: false,
            cold: false,
            leaving: false,
            dead: false,
            load_lag: Duration::ZERO,
            load_lie: None,
            held_snapshots: None,
        }
    }
}

/// What becomes of a reply to work that ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplyFault {
    /// Nothing.
    #[default]
    None,
    /// It never comes; the connection stays open.
    Lost,
    /// The connection is cut after half of the body.
    Half,
    /// The connection is cut before the reply.
    Cut,
    /// The body is not JSON.
    Malformed,
    /// It is for another request.
    WrongRequest,
    /// It is of another snapshot, and its hits too.
    WrongSnapshot,
    /// It says that the work ran and failed.
    Failed,
}

/// A load that is not the real one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadLie {
    /// Requests said to be running.
    pub running: u32,
    /// Requests said to be waiting.
    pub queued: u32,
}
