//! What happens to a gateway.

use super::parameters::GatewayParameters;
use crate::driver_action::{CallerId, ConnectionId};
use bytes::Bytes;
use http::HeaderMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::RouteConfiguration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::slice::SliceId;
use thornbridge_proto::peer::view::{Instance, StoreRevision};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{BackEndId, ZoneName};

/// The part of a caller's request that decisions need. The driver keeps the rest.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Identity that the caller gave this request; passed on unchanged.
    pub id: Option<String>,
    /// What stays the same when the caller sends the request again.
    pub fingerprint: Fingerprint,
    /// Host, in lower case and without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Time that the caller waits, where it said so.
    pub patience: Option<Duration>,
    /// Whether it is the first request of its connection: the caller spent a round trip more.
    pub first_on_connection: bool,
}

/// What a server said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// What an answer is, by the headers that the driver was told to look for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// A server's answer to this request, whole.
    Answer,
    /// The server says that it did not run the request.
    NotRun,
    /// The address belongs to another instance now; the request was not run.
    WrongInstance,
    /// Not a server's answer to this request: another request's, altered, or not signed.
    Spoilt,
}

/// A whole answer of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReply {
    /// Status code.
    pub status: u16,
    /// Headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Signature of the server, where there is one.
    pub signature: Option<Bytes>,
    /// Whole body.
    pub body: Bytes,
    /// What the answer is.
    pub verdict: ReplyVerdict,
    /// Load, where the server told it.
    pub load: Option<ServerLoad>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
    /// Time that the server keeps the connection while it rests, where it said so.
    pub keep_alive: Option<Duration>,
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// Nothing of it left: it certainly did not run.
    NotSent,
    /// It may have run.
    MayHaveRun,
}

/// Objects of the store that a gateway reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ViewKind {
    /// The route configuration.
    Configuration,
    /// The registry of instances.
    Registry,
    /// Zones whose servers are to get nothing.
    Evacuations,
}

impl ViewKind {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Registry => "registry",
            Self::Evacuations => "evacuations",
        }
    }
}

/// One object that came from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewObject {
    /// The route configuration.
    Configuration(RouteConfiguration),
    /// An instance.
    Instance(StoreRevision, Instance),
    /// An instance that is gone.
    Departed(StoreRevision, BackEndId),
    /// An order to send nothing to the servers of a zone.
    Evacuated(ZoneName),
    /// Such an order was taken back.
    EvacuationOver(ZoneName),
    /// An object that cannot be used; what is wrong with it.
    Unusable {
        /// Its name; empty where not even that can be read.
        name: String,
        /// Revision of its last change; 0 where it cannot be read.
        revision: StoreRevision,
        /// Why.
        reason: String,
    },
}

impl ViewObject {
    /// The same object, with its revision in this era.
    fn in_era(self, era: u64) -> Self {
        match self {
            Self::Instance(revision, instance) => Self::Instance(revision.in_era(era), instance),
            Self::Departed(revision, id) => Self::Departed(revision.in_era(era), id),
            Self::Unusable {
                name,
                revision,
                reason,
            } => Self::Unusable {
                name,
                revision: revision.in_era(era),
                reason,
            },
            other => other,
        }
    }
}

/// Why the store did not answer a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceFailure {
    /// The history that was asked for is gone: read everything again.
    HistoryGone,
    /// Refused for now: too many calls, or the store is not able.
    Refused,
    /// No answer in time, or the connection broke.
    Unreachable,
    /// An answer that cannot be understood.
    Malformed,
    /// The answer is of an era of the store that is over.
    EndedEra,
}

impl SourceFailure {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HistoryGone => "history_gone",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Malformed => "malformed",
            Self::EndedEra => "ended_era",
        }
    }
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceReply {
    /// A page of a list.
    Page {
        /// Objects.
        objects: Vec<ViewObject>,
        /// Name after which the next page begins; `None` for the last one.
        next: Option<String>,
        /// Revision of the store.
        at: StoreRevision,
    },
    /// Changes after the revision that was asked for.
    Changes {
        /// Objects, in order.
        objects: Vec<ViewObject>,
        /// Continue from here.
        at: StoreRevision,
    },
}

impl SourceReply {
    /// The same reply, with its revisions in this era.
    pub fn in_era(self, era: u64) -> Self {
        let stamp = |objects: Vec<ViewObject>| {
            let objects = objects.into_iter();
            objects.map(|object| object.in_era(era)).collect()
        };
        match self {
            Self::Page { objects, next, at } => Self::Page {
                objects: stamp(objects),
                next,
                at: at.in_era(era),
            },
            Self::Changes { objects, at } => Self::Changes {
                objects: stamp(objects),
                at: at.in_era(era),
            },
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEvent {
    /// Answers waited this long after they were decided, before they were written.
    AnswerDelayed {
        /// The time.
        by: Duration,
    },
    /// First event.
    Started,
    /// A caller's whole request came.
    Request {
        /// Handle.
        caller: CallerId,
        /// What is decided by.
        head: RequestHead,
    },
    /// The caller went away without waiting for its answer.
    CallerGone {
        /// Handle.
        caller: CallerId,
    },
    /// A connection is open.
    ConnectionOpened {
        /// Handle.
        connection: ConnectionId,
        /// Time that opening took.
        took: Duration,
    },
    /// A connection could not be opened, or ended while it carried no attempt.
    ConnectionLost {
        /// Handle.
        connection: ConnectionId,
    },
    /// A server answered.
    Replied {
        /// Attempt.
        attempt: AttemptId,
        /// Answer.
        reply: Box<ServerReply>,
    },
    /// An attempt ended without an answer; its connection is gone.
    Failed {
        /// Attempt.
        attempt: AttemptId,
        /// How.
        failure: ExchangeFailure,
    },
    /// The store answered a read.
    SourceReplied {
        /// Which view the read was for.
        kind: ViewKind,
        /// Number of the read.
        read: u64,
        /// Answer.
        result: Result<SourceReply, SourceFailure>,
    },
    /// A peer sent a message.
    PeerMessage {
        /// Sender.
        from: PeerEndpoint,
        /// Message.
        message: PeerMessage,
    },
    /// The request of a task could not be relayed: nothing left this node.
    TaskNotSent {
        /// Owner that was to be asked.
        owner: SocketAddr,
        /// Slice.
        slice: SliceId,
    },
    /// A request that a node relayed cannot be used.
    RelayUnusable {
        /// Handle under which it was to be kept.
        caller: CallerId,
    },
    /// A link to a peer broke.
    PeerLinkDown {
        /// Peer.
        address: SocketAddr,
    },
    /// A timer is due.
    TimerDue,
    /// A planned stop begins.
    StopAsked,
    /// The operator changed the settings.
    Reconfigured {
        /// Tunable values from now on. Those of membership stay as they were.
        parameters: Box<GatewayParameters>,
    },
    /// The process did not run for a while.
    Paused {
        /// How long.
        by: Duration,
    },
}
