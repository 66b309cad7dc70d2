//! What happens to a node.

use crate::driver_action::{CallerId, ConnectionId, OperationId, WatchId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::back_end::{BackEndReply, LoadReport};
use thornbridge_proto::caller::{ActionRequest, QueryRequest};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::{PlatformFailure, PlatformResponse, WatchChange, WatchEnd};
use thornbridge_proto::{AttemptId, BackEndId};

/// Something that happened, as a driver tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// First event of a node's life.
    Started,
    /// A caller asks; exactly one answer or refusal for `caller` follows, unless it goes away.
    CallerQuery {
        /// Driver's handle for the answer.
        caller: CallerId,
        /// The query.
        request: QueryRequest,
    },
    /// A caller asks for an action.
    CallerAction {
        /// Driver's handle for the answer.
        caller: CallerId,
        /// The action.
        request: ActionRequest,
    },
    /// A caller hung up; no answer is wanted any more.
    #[serde(rename = "CallerGone")]
    CallerDisconnected {
        /// Driver's handle.
        caller: CallerId,
    },
    /// A connection asked for is open.
    ConnectionOpened {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be opened, or an idle or busy one was lost. Attempts that ran on
    /// it fail by an [`Event::AttemptFailed`] of their own, before this event.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A complete, well-formed reply. Its echoes are not yet checked against the attempt.
    AttemptReplied {
        /// The attempt that the connection was running.
        attempt: AttemptId,
        /// The reply.
        reply: BackEndReply,
        /// Load report in its headers.
        load: Option<LoadReport>,
    },
    /// An attempt ended without a whole reply.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        failure: AttemptFailure,
    },
    /// A probe was answered.
    ProbeReplied {
        /// The back end.
        back_end: BackEndId,
        /// What it says of itself.
        report: LoadReport,
    },
    /// A probe was not answered.
    ProbeFailed {
        /// The back end.
        back_end: BackEndId,
    },
    /// A message from a peer whose hello was accepted.
    PeerMessage {
        /// Sender.
        from: PeerEndpoint,
        /// Message.
        message: PeerMessage,
    },
    /// A message to this address could not be delivered, or its link broke.
    PeerLinkDown {
        /// The peer's address.
        address: std::net::SocketAddr,
    },
    /// The platform's store answered, or will not.
    PlatformReply {
        /// Which operation.
        operation: OperationId,
        /// Answer or failure.
        result: Result<PlatformResponse, PlatformFailure>,
    },
    /// A watch saw a change.
    WatchChanged {
        /// The watch.
        watch: WatchId,
        /// The change.
        change: WatchChange,
    },
    /// A watch ended.
    WatchEnded {
        /// The watch.
        watch: WatchId,
        /// Why.
        end: WatchEnd,
    },
    /// [`crate::Node::next_timeout`] has come.
    TimerDue,
    /// A planned stop was asked for: finish, then [`crate::Action::Stopped`].
    #[serde(rename = "StopAsked")]
    StopRequested,
    /// The process was paused or its clock jumped by about this much.
    ClockJumped {
        /// Time that passed unseen.
        by: Duration,
    },
}

/// How an attempt ended without a whole reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptFailure {
    /// No byte of it left: it certainly did not run.
    NotSent,
    /// It left, and the connection broke before the whole reply came.
    ConnectionBroken,
    /// It left, and the reply is malformed, too large, or truncated.
    MalformedReply,
}
