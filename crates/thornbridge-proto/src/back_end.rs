//! What nodes and back ends say to each other: HTTP/1.1, headers for the context, JSON bodies.
//!
//! `POST /shards/{shard}/query` with a [`QueryWork`] and `POST /shards/{shard}/action` with an
//! [`ActionWork`] run work. The body of the response is a [`BackEndReply`] in every case; its
//! status is 200 for hits and done, 503 for shed and leaving, 404 for not held, 504 for expired,
//! 499 for cancelled, 500 for failed. A reply echoes request, attempt, shard and snapshot, so
//! that one that belongs to something else is recognised and dropped.
//! `DELETE /requests/{request}/attempts/{attempt}` asks to stop an attempt; the attempt's own
//! reply still follows. `GET /load` gives running, queued and slots, `GET /health` readiness and
//! snapshots, each as a [`LoadReport`].

use crate::caller::Hit;
use crate::{AttemptId, LayoutId, RequestId, ServiceName, ShardId, SnapshotId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Header: time left for the work, in whole microseconds.
pub const DEADLINE_HEADER: &str = "thornbridge-deadline-us";
/// Header: the request the attempt belongs to.
pub const REQUEST_HEADER: &str = "thornbridge-request";
/// Header: the attempt.
pub const ATTEMPT_HEADER: &str = "thornbridge-attempt";
/// Header: the service asked.
pub const SERVICE_HEADER: &str = "thornbridge-service";
/// Header: the snapshot to search.
pub const SNAPSHOT_HEADER: &str = "thornbridge-snapshot";
/// Header: the layout the shard belongs to.
pub const LAYOUT_HEADER: &str = "thornbridge-layout";
/// Header: an action's key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Response header: a [`LoadReport`] as JSON.
pub const LOAD_HEADER: &str = "thornbridge-load";

/// One attempt to run a sub-request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// This attempt.
    pub attempt: AttemptId,
    /// The caller's request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// Time left, less the expected network time back.
    pub time_left: Duration,
    /// The work.
    pub work: Work,
}

/// What an attempt asks a back end to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Search one shard.
    Query {
        /// Snapshot to search; a back end without it says so.
        snapshot: SnapshotId,
        /// Layout that the shard number belongs to.
        layout: LayoutId,
        /// Text to search for, shared by all attempts of a query.
        query: std::sync::Arc<str>,
        /// Most hits wanted.
        limit: u32,
    },
    /// Run an action that may not be repeated.
    Action {
        /// The caller's key.
        key: std::sync::Arc<str>,
        /// Opaque payload.
        payload: std::sync::Arc<str>,
    },
}

/// Body of a query attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryWork {
    /// Text to search for.
    pub query: String,
    /// Most hits wanted.
    pub limit: u32,
}

/// Body of an action attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionWork {
    /// Opaque payload.
    pub payload: String,
}

/// A back end's complete, well-formed reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndReply {
    /// Echo of the request.
    pub request: RequestId,
    /// Echo of the attempt.
    pub attempt: AttemptId,
    /// Echo of the shard.
    pub shard: ShardId,
    /// What came of it.
    pub outcome: ReplyOutcome,
}

/// What came of an attempt, as the back end tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", try_from = "FlatOutcome")]
pub enum ReplyOutcome {
    /// The shard was searched.
    Hits {
        /// The snapshot that was searched.
        snapshot: SnapshotId,
        /// Hits, best first.
        hits: Vec<Hit>,
    },
    /// The action ran.
    Done {
        /// Opaque result.
        outcome: String,
    },
    /// Not run: too busy.
    Shed {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Not run: the back end is leaving.
    Leaving,
    /// Not run: the snapshot, layout or shard is not held here.
    NotHeld,
    /// Not run: the deadline had passed on arrival or in the queue.
    Expired,
    /// Not run, or stopped midway: cancelled by the node. Never an answer.
    Cancelled,
    /// Ran and failed.
    Failed {
        /// The back end's words.
        detail: String,
    },
}

/// A [`ReplyOutcome`] as it is read: all members side by side. The derived form of a tagged enum
/// first copies everything into a tree, with an allocation for each string.
#[derive(Deserialize)]
struct FlatOutcome {
    kind: OutcomeKind,
    snapshot: Option<SnapshotId>,
    hits: Option<Vec<Hit>>,
    outcome: Option<String>,
    retry_after_ms: Option<u64>,
    detail: Option<String>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum OutcomeKind {
    Hits,
    Done,
    Shed,
    Leaving,
    NotHeld,
    Expired,
    Cancelled,
    Failed,
}

/// A member that the kind of outcome needs is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct MissingMember(&'static str);

impl std::fmt::Display for MissingMember {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "missing field `{}`", self.0)
    }
}

impl TryFrom<FlatOutcome> for ReplyOutcome {
    type Error = MissingMember;

    fn try_from(flat: FlatOutcome) -> Result<Self, MissingMember> {
        Ok(match flat.kind {
            OutcomeKind::Hits => Self::Hits {
                snapshot: flat.snapshot.ok_or(MissingMember("snapshot"))?,
                hits: flat.hits.ok_or(MissingMember("hits"))?,
            },
            OutcomeKind::Done => Self::Done {
                outcome: flat.outcome.ok_or(MissingMember("outcome"))?,
            },
            OutcomeKind::Shed => Self::Shed {
                retry_after_ms: flat.retry_after_ms.ok_or(MissingMember("retry_after_ms"))?,
            },
            OutcomeKind::Leaving => Self::Leaving,
            OutcomeKind::NotHeld => Self::NotHeld,
            OutcomeKind::Expired => Self::Expired,
            OutcomeKind::Cancelled => Self::Cancelled,
            OutcomeKind::Failed => Self::Failed {
                detail: flat.detail.ok_or(MissingMember("detail"))?,
            },
        })
    }
}

/// Whether a back end takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// Takes work.
    #[default]
    Ready,
    /// Started lately: caches are cold, slower than usual.
    Cold,
    /// Finishes what it has, takes nothing new.
    Leaving,
}

/// What a back end says of itself, in a response header and on `/load`. May lag or mislead.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
    /// Slots.
    pub slots: u32,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// Snapshots held, newest first. Absent: unknown, as in the short header form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub snapshots: Option<Vec<SnapshotId>>,
}
