//! Events that a driver passes to a node.

use crate::driver_action::{CallerId, ConnectionId, OperationId, WatchId};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_proto::back_end::{BackEndReply, LoadReport};
use thornbridge_proto::caller::{ActionRequest, QueryRequest};
use thornbridge_proto::peer::slice::SliceId;
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::{PlatformFailure, PlatformResponse, WatchChange, WatchEnd};
use thornbridge_proto::{AttemptId, BackEndId};

/// An event reported by the driver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The node starts; must be the first event.
    Started,
    /// Query from a caller. Exactly one answer or refusal follows, unless the caller disconnects.
    CallerQuery {
        /// Id for the response.
        caller: CallerId,
        /// Query.
        request: QueryRequest,
    },
    /// Action from a caller. Exactly one answer or refusal follows, unless the caller disconnects.
    CallerAction {
        /// Id for the response.
        caller: CallerId,
        /// Action.
        request: ActionRequest,
    },
    /// A caller disconnected; no response is expected.
    #[serde(rename = "CallerGone")]
    CallerDisconnected {
        /// Id of the request.
        caller: CallerId,
    },
    /// A requested connection is open.
    ConnectionOpened {
        /// Connection.
        connection: ConnectionId,
    },
    /// A connection could not be opened or was lost. An attempt in flight on the connection is
    /// reported by [`Event::AttemptFailed`] before this event.
    ConnectionLost {
        /// Connection.
        connection: ConnectionId,
    },
    /// A complete, well-formed reply, not yet matched with the attempt.
    AttemptReplied {
        /// Attempt in flight on the connection.
        attempt: AttemptId,
        /// Reply.
        reply: BackEndReply,
        /// Load report from the reply's headers.
        load: Option<LoadReport>,
    },
    /// An attempt ended without a complete reply.
    AttemptFailed {
        /// Attempt.
        attempt: AttemptId,
        /// Kind of failure.
        failure: AttemptFailure,
    },
    /// A probe was answered.
    ProbeReplied {
        /// Back end.
        back_end: BackEndId,
        /// Load report of the back end.
        report: LoadReport,
    },
    /// A probe was not answered.
    ProbeFailed {
        /// Back end.
        back_end: BackEndId,
    },
    /// A message from a peer whose handshake was accepted.
    PeerMessage {
        /// Sender.
        from: PeerEndpoint,
        /// Message.
        message: PeerMessage,
    },
    /// A message to a peer could not be delivered, or its link broke.
    PeerLinkDown {
        /// Address of the peer.
        address: std::net::SocketAddr,
    },
    /// Slice tasks were dropped because no link to the peer could be opened; nothing of them left this
    /// node. Gateways only.
    PeerTasksUnsent {
        /// Address of the peer.
        address: std::net::SocketAddr,
        /// Slices of the tasks.
        slices: Vec<SliceId>,
    },
    /// The platform's store answered a request, or the request failed.
    PlatformReply {
        /// Id of the request.
        operation: OperationId,
        /// Response or failure.
        result: Result<PlatformResponse, PlatformFailure>,
    },
    /// A watch reported a change.
    WatchChanged {
        /// Watch.
        watch: WatchId,
        /// Change.
        change: WatchChange,
    },
    /// A watch ended.
    WatchEnded {
        /// Watch.
        watch: WatchId,
        /// Reason.
        end: WatchEnd,
    },
    /// The time of [`crate::Node::next_timeout`] has been reached.
    TimerDue,
    /// A planned stop was requested; [`crate::Action::Stopped`] follows when the node is idle.
    #[serde(rename = "StopAsked")]
    StopRequested,
    /// The process was paused or its clock jumped.
    ClockJumped {
        /// Approximate length of the pause or jump.
        by: Duration,
    },
}

/// Reason why an attempt ended without a complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptFailure {
    /// No byte was sent; the attempt did not run.
    NotSent,
    /// The connection broke before the complete reply was received.
    ConnectionBroken,
    /// The reply is malformed, too large or truncated.
    MalformedReply,
}
