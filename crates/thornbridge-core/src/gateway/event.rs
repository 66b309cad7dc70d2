//! Input events of a gateway.

use super::parameters::GatewayParameters;
use crate::driver_action::{CallerId, ConnectionId};
use bytes::Bytes;
use http::HeaderMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::routes::RouteConfiguration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::rollout::RolloutOrder;
use thornbridge_proto::peer::slice::SliceId;
use thornbridge_proto::peer::view::{Instance, StoreRevision};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{BackEndId, ServiceName, ZoneName};

/// Head of a caller's request. The driver keeps headers and body.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// Request identity set by the caller; forwarded unchanged.
    pub id: Option<String>,
    /// Hash of the request that is the same for all tries by the caller.
    pub fingerprint: Fingerprint,
    /// Host in lower case, without port.
    pub host: String,
    /// Path without the query string.
    pub path: String,
    /// Remaining time that the caller waits, if stated.
    pub caller_timeout: Option<Duration>,
    /// Whether this is the first request of its connection, which cost the caller a round trip.
    pub first_on_connection: bool,
}

/// Load reported by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests being processed.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// How long work takes on the server's machine now, where 100 is usual; `None` if not reported.
    pub work_time_percent: Option<u32>,
}

/// Classification of a reply by its headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// Complete reply of the server to this request.
    Answer,
    /// The server reports that it did not run the request.
    NotRun,
    /// Another instance has taken over the address; the request did not run.
    WrongInstance,
    /// Not a reply of the server to this request.
    Invalid(InvalidReply),
}

/// Why a reply cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidReply {
    /// It carries the id of another request.
    OtherRequest,
    /// It carries no request id, and the connection may owe an answer to an earlier request.
    NoRequestId,
    /// Its status is that of no answer (RFC 9110, section 15).
    Status,
    /// Its body is encoded.
    Encoded,
    /// It carries no signature.
    Unsigned,
}

impl InvalidReply {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherRequest => "other_request",
            Self::NoRequestId => "no_request_id",
            Self::Status => "status",
            Self::Encoded => "encoded",
            Self::Unsigned => "unsigned",
        }
    }
}

/// Complete reply of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReply {
    /// Status code.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Signature of the server, if any.
    pub signature: Option<Bytes>,
    /// Complete body.
    pub body: Bytes,
    /// Classification.
    pub verdict: ReplyVerdict,
    /// Load, if the server reported it.
    pub load: Option<ServerLoad>,
    /// Whether the connection can be reused.
    pub reusable: bool,
    /// Idle timeout of the connection, if the server stated one.
    pub keep_alive: Option<Duration>,
}

/// Why an attempt ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// Nothing was sent; the request did not run.
    NotSent,
    /// The request may have run.
    MayHaveRun,
    /// The response exceeded a limit of this node; the request may have run.
    Overlong,
}

/// Kind of view read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ViewKind {
    /// Route configuration.
    Configuration,
    /// Registry of instances.
    Registry,
    /// Zones whose servers receive no requests.
    Evacuations,
    /// Roll-outs of server versions.
    Rollouts,
}

impl ViewKind {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Registry => "registry",
            Self::Evacuations => "evacuations",
            Self::Rollouts => "rollouts",
        }
    }
}

/// Object read from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewObject {
    /// Route configuration.
    Configuration(RouteConfiguration),
    /// Instance that was added or changed.
    Instance(StoreRevision, Instance),
    /// Instance that was removed.
    InstanceRemoved(StoreRevision, BackEndId),
    /// Zone whose servers must receive no requests.
    EvacuationStarted(ZoneName),
    /// Zone whose evacuation ended.
    EvacuationEnded(ZoneName),
    /// Roll-out that was ordered or changed.
    Rollout(RolloutOrder),
    /// Roll-out whose order was withdrawn.
    RolloutWithdrawn(StoreRevision, ServiceName),
    /// Object that cannot be used.
    Unusable {
        /// Object name; empty if unreadable.
        name: String,
        /// Revision of the last change; 0 if unreadable.
        revision: StoreRevision,
        /// What is wrong with the object.
        reason: String,
    },
}

impl ViewObject {
    /// Returns the object with its revision assigned to `era`.
    fn in_era(self, era: u64) -> Self {
        match self {
            Self::Instance(revision, instance) => Self::Instance(revision.in_era(era), instance),
            Self::InstanceRemoved(revision, id) => Self::InstanceRemoved(revision.in_era(era), id),
            Self::Rollout(order) => Self::Rollout(RolloutOrder {
                revision: order.revision.in_era(era),
                ..order
            }),
            Self::RolloutWithdrawn(revision, service) => {
                Self::RolloutWithdrawn(revision.in_era(era), service)
            }
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

/// Why a read of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceFailure {
    /// The requested revision has been compacted; a full list is required.
    HistoryCompacted,
    /// The store refused the call: rate limit exceeded or unavailable.
    Refused,
    /// The read timed out or the connection broke.
    Unreachable,
    /// The reply could not be parsed.
    Malformed,
    /// The reply belongs to an earlier store era.
    StaleEra,
}

impl SourceFailure {
    /// Label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HistoryCompacted => "history_gone",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Malformed => "malformed",
            Self::StaleEra => "ended_era",
        }
    }
}

/// Successful reply of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceReply {
    /// One page of a list.
    Page {
        /// Objects of the page.
        objects: Vec<ViewObject>,
        /// Name after which the next page begins; `None` on the last page.
        next: Option<String>,
        /// Store revision of the list.
        at: StoreRevision,
    },
    /// Changes since the requested revision.
    Changes {
        /// Changed objects, in revision order.
        objects: Vec<ViewObject>,
        /// Revision from which to continue.
        at: StoreRevision,
    },
}

impl SourceReply {
    /// Returns the reply with its revisions assigned to `era`.
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

/// Result of a conditional write of a roll-out's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateWriteReply {
    /// The state was written; the object has this revision now.
    Written(StoreRevision),
    /// The object changed since the revision on which the write was based; as it is now.
    Conflict(Option<RolloutOrder>),
    /// The object no longer exists.
    Missing,
}

impl StateWriteReply {
    /// Returns the reply with its revisions assigned to `era`.
    pub fn in_era(self, era: u64) -> Self {
        match self {
            Self::Written(revision) => Self::Written(revision.in_era(era)),
            Self::Conflict(order) => Self::Conflict(order.map(|order| RolloutOrder {
                revision: order.revision.in_era(era),
                ..order
            })),
            Self::Missing => Self::Missing,
        }
    }
}

/// Input of [`Gateway::handle`](super::Gateway::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEvent {
    /// The delay between deciding on an answer and writing it was measured.
    AnswerDelayed {
        /// Delay.
        delay: Duration,
    },
    /// The gateway starts; must be the first event.
    Started,
    /// A caller's request was received completely.
    Request {
        /// Caller handle.
        caller: CallerId,
        /// Head of the request.
        head: RequestHead,
    },
    /// The caller disconnected before it received an answer.
    CallerDisconnected {
        /// Caller handle.
        caller: CallerId,
    },
    /// A connection was opened.
    ConnectionOpened {
        /// Connection handle.
        connection: ConnectionId,
        /// Time taken to connect.
        connect_time: Duration,
    },
    /// A connection could not be opened, or closed while idle.
    ConnectionLost {
        /// Connection handle.
        connection: ConnectionId,
    },
    /// A server replied to an attempt.
    Replied {
        /// Attempt.
        attempt: AttemptId,
        /// Reply.
        reply: Box<ServerReply>,
    },
    /// An attempt failed and its connection is closed.
    Failed {
        /// Attempt.
        attempt: AttemptId,
        /// Failure.
        failure: ExchangeFailure,
    },
    /// A read of the store completed or failed.
    SourceReplied {
        /// View that was read.
        kind: ViewKind,
        /// Sequence number of the read.
        read: u64,
        /// Outcome of the read.
        result: Result<SourceReply, SourceFailure>,
    },
    /// A write of a roll-out's state completed or failed. After `Unreachable` it may still be done.
    StateWritten {
        /// Service of the roll-out.
        service: ServiceName,
        /// Sequence number of the write.
        write: u64,
        /// Outcome of the write.
        result: Result<StateWriteReply, SourceFailure>,
    },
    /// A message arrived from a peer.
    PeerMessage {
        /// Sender.
        from: PeerEndpoint,
        /// Message.
        message: PeerMessage,
    },
    /// A slice task could not be sent; nothing left this node.
    TaskNotSent {
        /// Slice owner that the task was addressed to.
        owner: SocketAddr,
        /// Slice.
        slice: SliceId,
    },
    /// No link to a slice owner could be opened; nothing of these slices' tasks left this node.
    OwnerUnreachable {
        /// Slice owner.
        owner: SocketAddr,
        /// Slices.
        slices: Vec<SliceId>,
    },
    /// A request relayed by a peer could not be decoded.
    RelayMalformed {
        /// Handle assigned to the relayed request.
        caller: CallerId,
    },
    /// The link to a peer broke.
    PeerLinkDown {
        /// Peer address.
        address: SocketAddr,
    },
    /// The time returned by [`Gateway::next_timeout`](super::Gateway::next_timeout) was reached.
    TimerDue,
    /// A planned stop was requested. The process ends soon after `answer_within`.
    StopRequested {
        /// Time for which requests are taken as before.
        serve_for: Duration,
        /// Time by which all requests are answered.
        answer_within: Duration,
    },
    /// The operator changed the settings.
    Reconfigured {
        /// New parameters; membership parameters are ignored.
        parameters: Box<GatewayParameters>,
    },
    /// The process resumed after a suspension.
    Paused {
        /// Length of the suspension.
        duration: Duration,
    },
}
