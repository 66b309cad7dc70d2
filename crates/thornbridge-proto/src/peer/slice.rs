//! Slices: parts of a gather that one node, its coordinator, lets other nodes answer.
//!
//! A coordinator sends each owner of a slice one [`SliceMessage::Ask`]; the owner asks the shards'
//! servers, merges their records and answers with reports, each about shards that no earlier one
//! named. A task comes with one attempt for each shard; the coordinator grants more when it is asked.
//! A lost message costs its slice, or the second attempts of it: nothing is sent again.

use crate::byte_string::SharedBytes;
use crate::fingerprint::Fingerprint;
use crate::{RegionName, ServiceName};
use serde::{Deserialize, Serialize};

/// Identity of a slice at its coordinator; never used twice by one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SliceId(pub u64);

/// What an owner is asked to do. Times count from when it takes the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceTask {
    /// Identity.
    pub slice: SliceId,
    /// Identity that the caller gave its request.
    pub request_id: String,
    /// What is the same in all tries of the request.
    pub fingerprint: Fingerprint,
    /// Host of the route.
    pub host: String,
    /// Prefix of the route.
    pub prefix: String,
    /// Version of the configuration that named the shards.
    pub version: u64,
    /// Shards, by service.
    pub shards: Vec<ServiceName>,
    /// Records that are wanted, the greatest.
    pub records: u32,
    /// Most attempts for each shard, those of other nodes included, until more are granted.
    pub attempts: u32,
    /// Attempts that other nodes may have made for each shard.
    pub prior_attempts: u32,
    /// Time within which an answer is worth most, in microseconds.
    pub objective_us: u64,
    /// When what is in is reported, in microseconds.
    pub report_in_us: u64,
    /// Time before which no second attempt is made, in microseconds.
    pub second_after_us: u64,
    /// When the slice is over, in microseconds.
    pub ends_in_us: u64,
    /// Regions outside of which no server may get the request; empty where any may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<RegionName>,
}

/// What an owner has of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceReport {
    /// Shards that answered, by their place in the task, with their server's signature.
    pub answered: Vec<(u16, SharedBytes)>,
    /// The greatest records of these, greatest first.
    pub records: SharedBytes,
    /// Shards that cannot answer any more, and what became of their requests.
    pub failed: Vec<(u16, ShardFailure)>,
    /// Shards whose request has not left the owner: it waits for a connection.
    pub waiting: u16,
    /// Whether it is the last report.
    pub finished: bool,
    /// Whether the owner does not serve the slice at all: nothing of it ran or will.
    pub refused: bool,
    /// Time since the owner took the task, in microseconds.
    pub elapsed_us: u64,
}

impl SliceReport {
    /// Nothing of the slice ran or will.
    pub fn refusal() -> Self {
        Self {
            finished: true,
            refused: true,
            ..Self::default()
        }
    }
}

/// What became of the request for a shard that cannot answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardFailure {
    /// It reached no server.
    #[serde(rename = "u")]
    Unsent,
    /// It reached servers, and all of them said that they did not run it.
    #[serde(rename = "r")]
    Rejected,
    /// A server may have run it.
    #[serde(rename = "m")]
    MayHaveRun,
}

/// Why a coordinator wants no more of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SliceStop {
    /// The caller has its answer.
    #[serde(rename = "a")]
    Answered,
    /// The caller went away: servers are to stop.
    #[serde(rename = "g")]
    CallerGone,
}

/// Messages about slices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SliceMessage {
    /// From a coordinator to an owner.
    #[serde(rename = "a")]
    Ask {
        /// What to do.
        task: SliceTask,
        /// The caller's request, as [`RelayedRequest`] in `rmp-serde`.
        request: SharedBytes,
    },
    /// From an owner to its coordinator.
    #[serde(rename = "r")]
    Report {
        /// Slice.
        slice: SliceId,
        /// What there is.
        report: SliceReport,
    },
    /// The same, from an owner that asks for further attempts.
    #[serde(rename = "q")]
    ReportAndRequest {
        /// Slice.
        slice: SliceId,
        /// What there is.
        report: SliceReport,
    },
    /// From a coordinator to an owner that asked for further attempts.
    #[serde(rename = "g")]
    Grant {
        /// Slice.
        slice: SliceId,
        /// Attempts that the owner may make for each shard, the first included.
        attempts: u32,
        /// Shards, by their place in the task, for each of which the coordinator pays one extra
        /// attempt out of its own budget; a shard may be named more than once.
        lent: Vec<u16>,
    },
    /// From a coordinator to an owner.
    #[serde(rename = "s")]
    Stop {
        /// Slice.
        slice: SliceId,
        /// Why.
        reason: SliceStop,
    },
}

/// A caller's HTTP request, on its way to an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers, without those that concern one connection only.
    pub headers: Vec<(String, SharedBytes)>,
    /// Body.
    pub body: SharedBytes,
    /// Whether the caller gave a length.
    pub sent_length: bool,
}
