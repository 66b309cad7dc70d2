//! What a gateway wants done.

use super::event::ViewKind;
use super::notes::{GatewayChange, RequestNote};
use crate::driver_action::{CallerId, ConnectionId};
use bytes::Bytes;
use http::HeaderMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::slice::SliceTask;
use thornbridge_proto::peer::view::StoreRevision;
use thornbridge_proto::{AttemptId, BackEndId};

/// A read of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceRead {
    /// A page of all objects.
    List {
        /// Begin after this name.
        after: Option<String>,
    },
    /// Changes after a revision, or none after `wait`.
    Watch {
        /// Revision that is known.
        from: StoreRevision,
        /// Longest wait.
        wait: Duration,
    },
}

/// Why a request is refused or fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration has no such route.
    NoRoute,
    /// The caller gave no identity for its request.
    NoIdentity,
    /// No server of the service is known or takes requests.
    NoServer,
    /// The servers refused it.
    ServersBusy,
    /// This node has too much to do.
    Overloaded,
    /// Servers failed, and no attempt is left.
    ServersFailed,
    /// Too few shards answered, and no attempt is left.
    TooFewShards,
    /// No answer within the time.
    TimedOut,
    /// Servers crash when they run it.
    CrashesServers,
}

impl RefusalReason {
    /// Name for logs, metrics and the body of the answer.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoIdentity => "no_identity",
            Self::NoServer => "no_server",
            Self::ServersBusy => "servers_busy",
            Self::Overloaded => "overloaded",
            Self::ServersFailed => "servers_failed",
            Self::TooFewShards => "too_few_shards",
            Self::TimedOut => "timed_out",
            Self::CrashesServers => "crashes_servers",
        }
    }
}

/// What a refusal promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalPromise {
    /// The request did not run and will not.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It came too late to be answered, and may have run.
    TimedOut,
    /// The request is wrong.
    BadRequest,
    /// There is no such route.
    NotFound,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAnswer {
    /// A server's answer, unchanged.
    Forwarded {
        /// Status code.
        status: u16,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
    /// The merged records of the shards that answered.
    Gathered {
        /// Signatures of the parts.
        signatures: Vec<Bytes>,
        /// Shards that are left out.
        missing: usize,
        /// Records, the greatest first.
        records: Bytes,
    },
    /// No answer.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// What that promises.
        promise: RefusalPromise,
        /// When to come back.
        retry_after: Option<Duration>,
    },
}

/// Something that a driver carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAction {
    /// Open a connection; `ConnectionOpened` or `ConnectionLost` follows.
    Open {
        /// Handle.
        connection: ConnectionId,
        /// Where to.
        address: SocketAddr,
    },
    /// Close a connection; nothing follows, and an attempt on it has no end.
    Close {
        /// Handle.
        connection: ConnectionId,
    },
    /// Send a caller's request on an open, resting connection; `Replied` or `Failed` follows.
    Send {
        /// Connection.
        connection: ConnectionId,
        /// Attempt.
        attempt: AttemptId,
        /// Caller whose request it is.
        caller: CallerId,
        /// Instance that is expected there.
        instance: BackEndId,
        /// Time that is left.
        patience: Duration,
    },
    /// Answer a caller, which then is forgotten.
    Answer {
        /// Caller.
        caller: CallerId,
        /// Answer.
        answer: GatewayAnswer,
    },
    /// Read the store; `SourceReplied` follows.
    Read {
        /// View.
        kind: ViewKind,
        /// Number of the read.
        read: u64,
        /// What to read.
        what: SourceRead,
        /// Time after which it has failed.
        timeout: Duration,
    },
    /// Send a caller's request to the owner of a slice, with what it is asked to do.
    AskOwner {
        /// Owner.
        to: SocketAddr,
        /// Caller whose request it is.
        caller: CallerId,
        /// What to do.
        task: Box<SliceTask>,
    },
    /// Keep a request that another node relayed; attempts for it follow.
    Adopt {
        /// Handle.
        caller: CallerId,
        /// The request, as it came.
        relayed: SharedBytes,
    },
    /// A relayed request is over.
    Release {
        /// Handle.
        caller: CallerId,
    },
    /// Send to a peer, best effort.
    SendPeer {
        /// Peer.
        to: SocketAddr,
        /// Message.
        message: PeerMessage,
    },
    /// Readiness changed.
    SetReady {
        /// Whether callers are wanted.
        ready: bool,
    },
    /// Limits towards callers changed.
    SetLimits {
        /// Limits.
        limits: CallerLimits,
    },
    /// A request ended.
    Finished(RequestNote),
    /// A belief or state changed.
    Changed(GatewayChange),
}
