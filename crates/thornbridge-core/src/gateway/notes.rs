//! What a gateway tells the log and the metrics: how requests ended, and what it believes now.

use super::action::RefusalReason;
use super::event::ViewKind;
use super::patience::CallerTry;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::RouteVersion;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::view::StoreRevision;
use thornbridge_proto::{BackEndId, ZoneName};

/// One attempt of one server, as a log line tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptNote {
    /// Server.
    pub server: BackEndId,
    /// Time from the request's arrival to sending.
    pub sent_after: Duration,
    /// Why it was sent.
    pub cause: AttemptCause,
    /// Its end, where it had one.
    pub outcome: AttemptOutcome,
    /// Time from sending to that end.
    pub took: Option<Duration>,
}

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptCause {
    /// The first for its shard or request.
    First,
    /// The first was slow.
    Hedge,
    /// An earlier one failed.
    Retry,
}

impl AttemptCause {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Never sent: it waited for a connection of the server when the request was answered.
    Waiting,
    /// Not at all, when the request was answered.
    Open,
    /// With a usable answer.
    Answered,
    /// With a failure of the server's own.
    ServerFailure,
    /// Refused: not run.
    NotRun,
    /// The address belongs to another instance.
    WrongInstance,
    /// Bytes that are no answer to it.
    Spoilt,
    /// The connection broke.
    Broken,
}

impl AttemptOutcome {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Open => "open",
            Self::Answered => "answered",
            Self::ServerFailure => "server_failure",
            Self::NotRun => "not_run",
            Self::WrongInstance => "wrong_instance",
            Self::Spoilt => "spoilt",
            Self::Broken => "broken",
        }
    }
}

/// How an owner that was asked for a slice stood when the request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SliceOutcome {
    /// It did not report.
    Asked,
    /// The same, for longer than it should.
    Silent,
    /// It reported, and not all of its shards were over.
    Reporting,
    /// It reported how all of its shards ended.
    Finished,
    /// It did not serve the slice.
    Refused,
    /// The link to it broke.
    Lost,
}

impl SliceOutcome {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Asked => "asked",
            Self::Silent => "silent",
            Self::Reporting => "reporting",
            Self::Finished => "finished",
            Self::Refused => "refused",
            Self::Lost => "lost",
        }
    }
}

/// One owner that was asked for a slice, as a log line tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SliceNote {
    /// Owner.
    pub owner: SocketAddr,
    /// Time from the request's arrival to asking.
    pub asked_after: Duration,
    /// How it stood at the end.
    pub outcome: SliceOutcome,
}

/// How a request ended, for the log and the metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestNote {
    /// Identity that the caller gave.
    pub id: String,
    /// What is the same in all tries of a request.
    pub fingerprint: Fingerprint,
    /// Route; empty where none was found.
    pub route: String,
    /// Version of the configuration that decided.
    pub version: RouteVersion,
    /// Revision of the registry at the end.
    pub registry: StoreRevision,
    /// Time from arrival to answer.
    pub took: Duration,
    /// Time from arrival at which an answer was due to be worth most.
    pub objective: Duration,
    /// Parts that answered.
    pub parts: usize,
    /// Parts that were asked.
    pub of: usize,
    /// Outcome in a word.
    pub outcome: &'static str,
    /// Attempts beyond each part's first, and those that did not simply succeed.
    pub notable: Vec<AttemptNote>,
    /// Attempts sent.
    pub attempts: usize,
    /// Extra attempts that the budget did not allow.
    pub denied: usize,
    /// Which try of its caller it was, as far as that could be told.
    pub caller_try: CallerTry,
    /// When a refused caller was told to come back.
    pub retry_after: Option<Duration>,
    /// The node whose caller's gather this was a slice of.
    pub coordinator: Option<SocketAddr>,
    /// Owners that were asked for slices.
    pub slices: Vec<SliceNote>,
}

impl RequestNote {
    /// The note of a request that was refused before anything was done for it.
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
            took: Duration::ZERO,
            objective: Duration::ZERO,
            parts: 0,
            of: 0,
            outcome: reason.as_str(),
            notable: Vec::new(),
            attempts: 0,
            denied: 0,
            caller_try: CallerTry::Unknown,
            retry_after: None,
            coordinator: None,
            slices: Vec::new(),
        }
    }

    /// The same, for a caller that is told to come back.
    pub(super) fn with_retry(mut self, caller_try: CallerTry, after: Option<Duration>) -> Self {
        self.caller_try = caller_try;
        self.retry_after = after;
        self
    }
}

/// A change of what the gateway believes or does, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayChange {
    /// Servers begin or cease to refuse a good part of the connections.
    Scarcity {
        /// Whether they do.
        scarce: bool,
        /// Connections that were refused lately.
        refused: u64,
        /// Connections that were opened lately, refused ones included.
        opened: u64,
    },
    /// A configuration is in force.
    ConfigurationInForce {
        /// Version.
        version: RouteVersion,
        /// Version before.
        replaced: RouteVersion,
        /// Where it came from.
        origin: ViewOrigin,
        /// Time from learning to force.
        staged_for: Duration,
    },
    /// An object of the store is kept out.
    ObjectRefused {
        /// Name.
        name: String,
        /// Why.
        reason: String,
    },
    /// An instance changed.
    Instance {
        /// Instance.
        id: BackEndId,
        /// Service.
        service: String,
        /// New state.
        state: &'static str,
        /// Revision of the change.
        revision: StoreRevision,
        /// Where it came from.
        origin: ViewOrigin,
    },
    /// The servers of a zone are to get nothing, or that is over.
    Evacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether they are to get nothing now.
        evacuated: bool,
        /// Servers of the zone that this node knows.
        servers: usize,
        /// Revision as of which the evacuated zones are known.
        revision: StoreRevision,
        /// Where it came from.
        origin: ViewOrigin,
    },
    /// The registry is known for the first time.
    RegistryKnown {
        /// Entries.
        instances: usize,
        /// Revision up to which it is known.
        revision: StoreRevision,
        /// Where it came from.
        origin: ViewOrigin,
    },
    /// The store began a new era: it came back from a copy, and gives revisions out again.
    StoreEra {
        /// Revision up to which the registry was known before.
        ended: StoreRevision,
        /// Revision up to which it is known now.
        begun: StoreRevision,
        /// Entries that are new, changed or gone with it.
        changed: usize,
        /// Entries.
        instances: usize,
        /// Where it came from.
        origin: ViewOrigin,
    },
    /// Reading a view of the store began to fail, or works again.
    Source {
        /// View.
        kind: ViewKind,
        /// Whether it works.
        reachable: bool,
        /// Why it does not.
        failure: Option<super::event::SourceFailure>,
        /// Age of the last answer.
        age: Duration,
    },
    /// A server is avoided, or is no longer.
    Trust {
        /// Server.
        id: BackEndId,
        /// Whether it is avoided now.
        avoided: bool,
        /// Why.
        cause: &'static str,
    },
    /// This node begins to read the store itself, or leaves that to others.
    Reading {
        /// Whether it reads.
        reads: bool,
        /// Its place in the order of readers.
        rank: usize,
        /// Age of its views since the store last confirmed them; `None` where it never did.
        age: Option<Duration>,
    },
    /// Most owners of a gather are silent: this node's gathers are not divided for a while.
    OwnersMissing {
        /// Owners that did not report in time.
        silent: usize,
        /// Slices of the gather.
        slices: usize,
        /// How long.
        lasts: Duration,
    },
    /// A request is suspected of crashing servers, kept from them, or cleared.
    Quarantine {
        /// The request.
        fingerprint: Fingerprint,
        /// New state.
        state: &'static str,
        /// Instances that ended while they had it, the newest last.
        instances: Vec<BackEndId>,
        /// Who decided that.
        origin: ViewOrigin,
    },
    /// Members that share the budgets.
    Members {
        /// Number.
        members: usize,
    },
    /// Nodes by which this one divides the slack of its budgets; `None` while it cannot know.
    BudgetSharers {
        /// Number.
        sharers: Option<usize>,
    },
    /// The node's own life.
    Lifecycle {
        /// New state.
        state: &'static str,
    },
}

/// Where a view or a belief came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewOrigin {
    /// The store.
    Store,
    /// A peer.
    Peer,
    /// This node.
    Own,
}

impl ViewOrigin {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Own => "own",
        }
    }
}
