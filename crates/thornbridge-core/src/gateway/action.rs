//! Actions that a gateway requests of its driver.

use super::event::ViewKind;
use super::telemetry::{GatewayChange, RequestSummary};
use crate::driver_action::{CallerId, ConnectionId};
use bytes::Bytes;
use http::HeaderMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::rollout::RolloutState;
use thornbridge_proto::peer::slice::SliceTask;
use thornbridge_proto::peer::view::StoreRevision;
use thornbridge_proto::{AttemptId, BackEndId, ServerVersion, ServiceName};

/// Read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceRead {
    /// One page of all objects.
    List {
        /// Name after which the page begins.
        after: Option<String>,
    },
    /// Changes after a revision; empty if none occurs within `wait`.
    Watch {
        /// Revision of the current view.
        from: StoreRevision,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has been loaded yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The request has no identity.
    NoIdentity,
    /// No server of the service is available.
    NoServer,
    /// No server in the home regions of the route is available.
    NoServerAtHome,
    /// The last attempt was rejected by its server without running.
    ServersBusy,
    /// This node has too many requests in flight.
    Overloaded,
    /// Attempts failed and none is left.
    ServersFailed,
    /// Too few shards answered and no attempt is left.
    TooFewShards,
    /// The request timed out.
    TimedOut,
    /// The request is quarantined because servers crash when they run it.
    CrashesServers,
    /// This node stops before the request could be served.
    Stopping,
}

impl RefusalReason {
    /// Label for logs, metrics and the response body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoIdentity => "no_identity",
            Self::NoServer => "no_server",
            Self::NoServerAtHome => "no_server_at_home",
            Self::ServersBusy => "servers_busy",
            Self::Overloaded => "overloaded",
            Self::ServersFailed => "servers_failed",
            Self::TooFewShards => "too_few_shards",
            Self::TimedOut => "timed_out",
            Self::CrashesServers => "crashes_servers",
            Self::Stopping => "stopping",
        }
    }
}

/// Whether a refused request may have run, or what is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalStatus {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// The request timed out and may have run.
    TimedOut,
    /// The request is invalid.
    BadRequest,
    /// No route matches the request.
    NotFound,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAnswer {
    /// Reply of a server, forwarded unchanged.
    Forwarded {
        /// Status code.
        status: u16,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// Merged records of the shards that answered.
    Gathered {
        /// Server signatures of the shards' replies.
        signatures: Vec<Bytes>,
        /// Number of shards without a reply.
        missing: usize,
        /// Records in descending order.
        records: Bytes,
    },
    /// Refusal or failure.
    Refused {
        /// Reason.
        reason: RefusalReason,
        /// Whether the request may have run.
        status: RefusalStatus,
        /// Time after which the caller may retry.
        retry_after: Option<Duration>,
    },
}

/// Operation that the driver carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAction {
    /// Open a connection; answered by `ConnectionOpened` or `ConnectionLost`.
    Open {
        /// Connection handle.
        connection: ConnectionId,
        /// Server address.
        address: SocketAddr,
    },
    /// Close a connection. No event follows, neither for the connection nor for an attempt on it.
    Close {
        /// Connection handle.
        connection: ConnectionId,
    },
    /// Send a caller's request on an idle connection; answered by `Replied` or `Failed`.
    Send {
        /// Connection handle.
        connection: ConnectionId,
        /// Attempt.
        attempt: AttemptId,
        /// Caller whose request is sent.
        caller: CallerId,
        /// Instance expected at the address.
        instance: BackEndId,
        /// Remaining time that the caller waits.
        caller_timeout: Duration,
    },
    /// Answer a caller and drop its request.
    Answer {
        /// Caller handle.
        caller: CallerId,
        /// Answer.
        answer: GatewayAnswer,
    },
    /// Read the store; answered by `SourceReplied`.
    Read {
        /// View to read.
        kind: ViewKind,
        /// Sequence number of the read.
        read: u64,
        /// Kind of read.
        what: SourceRead,
        /// Time after which the read fails.
        timeout: Duration,
    },
    /// Write the state of a roll-out if its object still has a revision; answered by `StateWritten`.
    WriteState {
        /// Service of the roll-out.
        service: ServiceName,
        /// Sequence number of the write.
        write: u64,
        /// Revision of the object on which the write is based.
        based_on: StoreRevision,
        /// Version on trial.
        target: ServerVersion,
        /// State to write.
        state: RolloutState,
        /// Time after which the write fails.
        timeout: Duration,
    },
    /// Send a slice task with the caller's request to a slice owner.
    SendTask {
        /// Slice owner.
        to: SocketAddr,
        /// Caller whose request is relayed.
        caller: CallerId,
        /// Slice task.
        task: Box<SliceTask>,
    },
    /// Store a request relayed by a peer, for use by later attempts.
    KeepRelayed {
        /// Handle assigned to the request.
        caller: CallerId,
        /// Encoded request, as received.
        relayed: SharedBytes,
    },
    /// Drop a relayed request.
    ReleaseRelayed {
        /// Handle of the request.
        caller: CallerId,
    },
    /// Send a message to a peer; delivery is not guaranteed.
    SendPeer {
        /// Peer address.
        to: SocketAddr,
        /// Message.
        message: PeerMessage,
    },
    /// Report readiness.
    SetReady {
        /// Whether this node accepts requests.
        ready: bool,
    },
    /// Apply limits on caller connections and requests.
    SetLimits {
        /// Limits.
        limits: CallerLimits,
    },
    /// Log and count a finished request.
    Finished(RequestSummary),
    /// Log and count a state change.
    Changed(GatewayChange),
}
