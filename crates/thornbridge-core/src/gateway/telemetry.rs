//! Telemetry of a gateway: request summaries and state changes for logs and metrics.

use super::action::RefusalReason;
use super::caller_try::CallerTry;
use super::event::{InvalidReply, ViewKind};
use super::rollouts::telemetry::RolloutChange;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::RouteVersion;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::view::StoreRevision;
use thornbridge_proto::{BackEndId, ServiceName, ZoneName};

/// Summary of one attempt at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSummary {
    /// Server.
    pub server: BackEndId,
    /// Time from arrival of the request until the attempt was sent.
    pub sent_after: Duration,
    /// Why the attempt was made.
    pub cause: AttemptCause,
    /// Outcome.
    pub outcome: AttemptOutcome,
    /// Time from sending until the outcome; `None` if still open.
    pub duration: Option<Duration>,
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// First attempt for the request or shard.
    First,
    /// An earlier attempt was slow.
    Hedge,
    /// An earlier attempt failed.
    Retry,
    /// Sent beside the first attempt to the same server, to see it with two requests at once.
    Companion,
}

impl AttemptCause {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Companion => "companion",
        }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Not sent: still queued for a connection when the request was answered.
    Waiting,
    /// Still in flight when the request was answered.
    Open,
    /// The server sent a usable reply.
    Answered,
    /// The server replied with an error.
    ServerFailure,
    /// The server rejected the request without running it.
    NotRun,
    /// Another instance has taken over the address.
    WrongInstance,
    /// The reply did not belong to the request or failed verification.
    Invalid(InvalidReply),
    /// The connection broke.
    Broken,
    /// The reply exceeded a limit of this node.
    Overlong,
}

impl AttemptOutcome {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Open => "open",
            Self::Answered => "answered",
            Self::ServerFailure => "server_failure",
            Self::NotRun => "not_run",
            Self::WrongInstance => "wrong_instance",
            Self::Invalid(reason) => reason.as_str(),
            Self::Broken => "broken",
            Self::Overlong => "overlong",
        }
    }
}

/// State of a slice owner when the request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SliceOutcome {
    /// No report was received yet.
    Pending,
    /// No report was received within the expected time.
    Silent,
    /// A report was received, but some shards were still open.
    Partial,
    /// The outcome of all shards was reported.
    Finished,
    /// The owner refused the slice.
    Refused,
    /// The task could not be sent.
    Unsent,
    /// The link to the owner broke.
    Lost,
}

impl SliceOutcome {
    /// Whether the owner certainly ran nothing.
    pub(super) fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::Unsent)
    }

    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pending => "asked",
            Self::Silent => "silent",
            Self::Partial => "reporting",
            Self::Finished => "finished",
            Self::Refused => "refused",
            Self::Unsent => "unsent",
            Self::Lost => "lost",
        }
    }
}

/// Summary of one slice owner's part in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceSummary {
    /// Slice owner.
    pub owner: SocketAddr,
    /// Time from arrival of the request until the task was sent.
    pub requested_after: Duration,
    /// State when the request ended.
    pub outcome: SliceOutcome,
}

/// Summary of a finished request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestSummary {
    /// Request identity set by the caller.
    pub id: String,
    /// Hash of the request that is the same for all tries by the caller.
    pub fingerprint: Fingerprint,
    /// Route; empty if none matched.
    pub route: String,
    /// Version of the configuration that was applied.
    pub version: RouteVersion,
    /// Registry revision when the request ended.
    pub registry: StoreRevision,
    /// Time from arrival until the answer.
    pub duration: Duration,
    /// Time from arrival by which the answer was due.
    pub answer_due: Duration,
    /// Number of parts that were answered.
    pub parts_answered: usize,
    /// Number of parts: one, or one per shard of a gather.
    pub parts_requested: usize,
    /// Outcome label.
    pub outcome: &'static str,
    /// Extra attempts, and first attempts that did not succeed.
    pub notable_attempts: Vec<AttemptSummary>,
    /// Number of attempts sent.
    pub attempts_sent: usize,
    /// Number of extra attempts denied by the budget.
    pub extra_attempts_denied: usize,
    /// Number of parts that found no server but cold ones that are held back.
    pub parts_held_back: usize,
    /// Whether the request is its caller's first try or a retry.
    pub caller_try: CallerTry,
    /// Time after which a refused caller may retry.
    pub retry_after: Option<Duration>,
    /// Coordinator of the gather, if the request was a slice of one.
    pub coordinator: Option<SocketAddr>,
    /// Slice owners that received tasks.
    pub slices: Vec<SliceSummary>,
}

impl RequestSummary {
    /// Summary of a request that was refused before any attempt was made.
    pub(super) fn unstarted(
        id: String,
        fingerprint: Fingerprint,
        route: String,
        version: RouteVersion,
        registry: StoreRevision,
        reason: RefusalReason,
    ) -> Self {
        Self {
            id,
            fingerprint,
            route,
            version,
            registry,
            duration: Duration::ZERO,
            answer_due: Duration::ZERO,
            parts_answered: 0,
            parts_requested: 0,
            outcome: reason.as_str(),
            notable_attempts: Vec::new(),
            attempts_sent: 0,
            extra_attempts_denied: 0,
            parts_held_back: 0,
            caller_try: CallerTry::Unknown,
            retry_after: None,
            coordinator: None,
            slices: Vec::new(),
        }
    }

    /// Sets the fields that concern retries by the caller.
    pub(super) fn with_retry(mut self, caller_try: CallerTry, after: Option<Duration>) -> Self {
        self.caller_try = caller_try;
        self.retry_after = after;
        self
    }
}

/// State change of the gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayChange {
    /// Servers started or stopped refusing a significant share of connections.
    Scarcity {
        /// Whether connections are refused now.
        scarce: bool,
        /// Connections refused recently.
        refused: u64,
        /// Connections opened recently, including refused ones.
        opened: u64,
    },
    /// A configuration became active.
    ConfigurationActivated {
        /// New version.
        version: RouteVersion,
        /// Previous version.
        replaced: RouteVersion,
        /// Origin of the configuration.
        origin: ViewOrigin,
        /// Time from receipt to activation.
        staged_for: Duration,
    },
    /// An object from the store was rejected.
    ObjectRejected {
        /// Object name.
        name: String,
        /// Reason.
        reason: String,
    },
    /// An instance changed its state.
    Instance {
        /// Instance.
        id: BackEndId,
        /// Service.
        service: String,
        /// New state.
        state: &'static str,
        /// Revision of the change.
        revision: StoreRevision,
        /// Origin of the change.
        origin: ViewOrigin,
    },
    /// Evacuation of a zone started or ended.
    Evacuation {
        /// Zone.
        zone: ZoneName,
        /// Whether the zone is evacuated now.
        evacuated: bool,
        /// Number of known servers in the zone.
        servers: usize,
        /// Revision of the evacuation view.
        revision: StoreRevision,
        /// Origin of the change.
        origin: ViewOrigin,
    },
    /// The registry was loaded for the first time.
    RegistryLoaded {
        /// Number of registry entries.
        instances: usize,
        /// Revision of the registry view.
        revision: StoreRevision,
        /// Origin of the view.
        origin: ViewOrigin,
    },
    /// The store started a new era: after a restore from a backup it reuses revision numbers.
    StoreEra {
        /// Registry revision before the change.
        ended: StoreRevision,
        /// Registry revision after the change.
        begun: StoreRevision,
        /// Number of entries added, changed or removed.
        changed: usize,
        /// Number of registry entries.
        instances: usize,
        /// Origin of the view.
        origin: ViewOrigin,
    },
    /// Reads of a view started to fail or recovered.
    StoreReachability {
        /// View.
        kind: ViewKind,
        /// Whether reads succeed now.
        reachable: bool,
        /// Failure, if reads fail.
        failure: Option<super::event::SourceFailure>,
        /// Time since the last successful read.
        age: Duration,
    },
    /// A server started or stopped being avoided.
    ServerAvoidance {
        /// Server.
        id: BackEndId,
        /// Whether the server is avoided now.
        avoided: bool,
        /// Cause.
        cause: &'static str,
    },
    /// Cold servers started or stopped being limited.
    ColdServers {
        /// Servers that are limited now.
        limited: usize,
        /// Servers that are limited since the last report.
        begun: usize,
        /// Servers that are limited no longer.
        ended: usize,
        /// Some of the servers that changed.
        examples: Vec<BackEndId>,
    },
    /// This node started or stopped reading the store itself.
    StoreReader {
        /// Whether this node reads the store now.
        reads: bool,
        /// Rank in the order of readers.
        rank: usize,
        /// Time since the store last confirmed the views; `None` if it never did.
        age: Option<Duration>,
    },
    /// Most slice owners of a gather were silent; this node suspends division for a while.
    OwnersSilent {
        /// Number of owners that did not report in time.
        silent: usize,
        /// Number of slices of the gather.
        slices: usize,
        /// How long gathers are not divided.
        duration: Duration,
    },
    /// A request was suspected of crashing servers, quarantined or cleared.
    Quarantine {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// New state.
        state: &'static str,
        /// Instances that crashed while running the request, oldest first.
        instances: Vec<BackEndId>,
        /// Origin of the decision.
        origin: ViewOrigin,
    },
    /// A roll-out went a step on.
    Rollout(RolloutChange),
    /// The number of members that share the budgets changed.
    Members {
        /// Number of members.
        members: usize,
    },
    /// The number of nodes among which the budget slack is divided changed.
    BudgetMembers {
        /// Number of nodes; `None` while unknown.
        members: Option<usize>,
    },
    /// Use of a service's budget of extra attempts by this node, over a window.
    BudgetUsage {
        /// Service.
        service: ServiceName,
        /// Requests counted in the window.
        requests: u64,
        /// Requests counted in the window before.
        previous_requests: u64,
        /// Extra attempts taken.
        extra: u64,
        /// Denials; an attempt that waits may be denied repeatedly.
        denied: u64,
        /// Attempts that reached a server of another service.
        misdirected: u64,
        /// Number of nodes that share the slack; `None` while unknown.
        members: Option<usize>,
    },
    /// The lifecycle state of this node changed.
    Lifecycle {
        /// New state.
        state: &'static str,
    },
}

/// Origin of a view or state change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewOrigin {
    /// Read from the store.
    Store,
    /// Received from a peer.
    Peer,
    /// Determined by this node.
    Own,
}

impl ViewOrigin {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Own => "own",
        }
    }
}
