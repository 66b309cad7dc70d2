//! What callers send and what they get back: HTTP/1.1 with JSON bodies.

use crate::{
    BundleVersion, Digest, DocumentId, Generation, RequestId, ServiceName, ShardId, SnapshotId,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Body of `POST /v1/services/{service}/query`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryBody {
    /// Text to search for.
    pub query: String,
    /// Most hits wanted.
    pub limit: u32,
    /// Time allowed, in milliseconds; the service's hard deadline where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Least coverage that is worth an answer, 0 to 1; the service's floor where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub minimum_coverage: Option<f64>,
}

/// Body of `POST /v1/services/{service}/actions`. The key travels as `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActionBody {
    /// Opaque payload, passed to the back end as it stands.
    pub payload: String,
    /// Time allowed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

/// A query as the core sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryRequest {
    /// Service that is asked.
    pub service: ServiceName,
    /// Text to search for.
    pub query: String,
    /// Most hits wanted.
    pub limit: u32,
    /// Time allowed from arrival.
    pub timeout: Option<Duration>,
    /// Least coverage that is worth an answer, 0 to 1.
    pub minimum_coverage: Option<f64>,
}

/// An action as the core sees it: it may not be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionRequest {
    /// Service that is asked.
    pub service: ServiceName,
    /// The caller's key: two requests with one key are one action.
    pub key: String,
    /// Opaque payload.
    pub payload: String,
    /// Time allowed from arrival.
    pub timeout: Option<Duration>,
}

/// One hit of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    /// Identity; an answer holds each document once.
    pub document: DocumentId,
    /// Relevance; higher is better. Always finite.
    pub score: f64,
    /// Text to show.
    #[serde(default)]
    pub title: String,
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryAnswer {
    /// The request this answers.
    pub request_id: RequestId,
    /// The one snapshot that every hit comes from.
    pub snapshot: SnapshotId,
    /// Configuration that the query was planned under.
    pub configuration: ConfigurationReference,
    /// Which shards contributed.
    pub coverage: Coverage,
    /// Hits, best first.
    pub hits: Vec<Hit>,
}

/// Answer to an action that ran, now or under an earlier request with the same key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionAnswer {
    /// The request this answers.
    pub request_id: RequestId,
    /// What the back end answered.
    pub outcome: String,
    /// Whether this outcome was recorded for an earlier request with the same key.
    pub replayed: bool,
    /// Configuration that the action was routed under.
    pub configuration: ConfigurationReference,
}

/// Which configuration was in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationReference {
    /// Generation in force.
    pub generation: Generation,
    /// Bundle version of that generation.
    pub version: BundleVersion,
    /// Digest of that bundle.
    pub digest: Digest,
}

/// Which part of the index an answer covers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// `shards_answered / shards_total`.
    pub fraction: f64,
    /// Shards of the layout.
    pub shards_total: u32,
    /// Shards whose whole reply is in the answer.
    pub shards_answered: u32,
    /// Every shard that is not, with the reason.
    pub missing: Vec<MissingShard>,
}

/// A shard that did not contribute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it did not contribute.
    pub reason: MissingReason,
}

/// Why a shard did not contribute.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissingReason {
    /// Still running when the answer was returned.
    TooSlow,
    /// Every replica failed.
    Failed,
    /// Every replica shed the work.
    Shed,
    /// No replica holds the answer's snapshot.
    SnapshotNotHeld,
    /// No replica can take work: leaving, ejected or out of connections.
    NoReplica,
    /// Another attempt was not allowed by the budget of extra load.
    BudgetSpent,
}

/// Whether a refused or failed request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Executed {
    /// Certainly not: no byte left for a back end, or the back end said that it did not run it.
    No,
    /// It may have run.
    Unknown,
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The bundle has no such service.
    UnknownService,
    /// The service does not take this kind of request.
    WrongKind,
    /// The request is malformed or beyond a limit.
    Invalid,
    /// This node has no configuration yet.
    NotReady,
    /// This node is stopping.
    Leaving,
    /// The queue is full, or the wait would exceed the deadline.
    Overloaded,
    /// The deadline passed before enough shards answered.
    DeadlineExceeded,
    /// Less than the least coverage was reached.
    InsufficientCoverage,
    /// No snapshot is held by enough shards.
    NoSnapshot,
    /// No back end can take the request.
    NoBackEnd,
    /// The back end failed.
    BackEndFailed,
    /// The key was used with another payload.
    KeyReused,
    /// The action's owner is gone; it may have run and is not sent again.
    OutcomeUnknown,
    /// The same action is still running.
    InProgress,
}

/// A request that got no answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The request, where one was assigned.
    pub request_id: RequestId,
    /// Why.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub executed: Executed,
    /// When it makes sense to come back.
    pub retry_after: Option<Duration>,
    /// One sentence for the operator of the caller.
    pub detail: String,
}

/// `application/problem+json` (RFC 9457) with this project's members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// URI reference of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short title of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened this time.
    pub detail: String,
    /// Whether the request ran.
    pub executed: Executed,
    /// Machine-readable reason.
    pub reason: RefusalReason,
    /// The request, where one was assigned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
}
