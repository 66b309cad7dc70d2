//! Actions that a node requests from its driver.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::back_end::Attempt;
use thornbridge_proto::caller::{ActionAnswer, QueryAnswer, Refusal};
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::platform::{ObjectKind, PlatformRequest, ResourceVersion};
use thornbridge_proto::{
    AttemptId, BackEndId, BundleVersion, Generation, NodeId, NodeName, RequestId, ServiceName,
};

macro_rules! handle_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

handle_type!(
    /// Driver-assigned id of a caller's request; never reused.
    CallerId
);
handle_type!(
    /// Id of a connection to a back end; never reused.
    ConnectionId
);
handle_type!(
    /// Id of a request to the platform; never reused.
    OperationId
);
handle_type!(
    /// Id of a watch on the platform; never reused.
    WatchId
);

/// An operation for the driver to execute.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Open a connection; answered by `ConnectionOpened` or `ConnectionLost`.
    OpenConnection {
        /// Id of the new connection.
        connection: ConnectionId,
        /// Back end.
        back_end: BackEndId,
        /// Address of the back end.
        address: SocketAddr,
    },
    /// Close a connection. No event follows.
    CloseConnection {
        /// Connection.
        connection: ConnectionId,
    },
    /// Send an attempt on an open, idle connection; answered by `AttemptReplied` or
    /// `AttemptFailed`.
    SendAttempt {
        /// Connection.
        connection: ConnectionId,
        /// Attempt.
        attempt: Attempt,
    },
    /// Cancel an attempt at its back end. The attempt's reply or failure event still follows.
    CancelAttempt {
        /// Connection of the attempt.
        connection: ConnectionId,
        /// Address of the back end.
        address: SocketAddr,
        /// Request of the attempt.
        request: RequestId,
        /// Attempt.
        attempt: AttemptId,
    },
    /// Request a back end's load report; answered by `ProbeReplied` or `ProbeFailed`.
    Probe {
        /// Back end.
        back_end: BackEndId,
        /// Address of the back end.
        address: SocketAddr,
    },
    /// Send a message to a peer, best effort; `PeerLinkDown` may follow.
    SendPeer {
        /// Peer address.
        to: SocketAddr,
        /// Message.
        message: PeerMessage,
    },
    /// Send a request to the platform's store; answered by `PlatformReply`.
    Platform {
        /// Id of the request.
        operation: OperationId,
        /// Request.
        request: PlatformRequest,
    },
    /// Watch objects of a kind for changes after a version.
    Watch {
        /// Id of the watch.
        watch: WatchId,
        /// Kind.
        kind: ObjectKind,
        /// Version after which changes are reported.
        from: ResourceVersion,
    },
    /// End a watch. No event follows.
    StopWatch {
        /// Watch.
        watch: WatchId,
    },
    /// Answer a query.
    AnswerQuery {
        /// Caller.
        caller: CallerId,
        /// Answer.
        answer: QueryAnswer,
    },
    /// Answer an action.
    AnswerAction {
        /// Caller.
        caller: CallerId,
        /// Answer.
        answer: ActionAnswer,
    },
    /// Refuse a request or report its failure.
    Refuse {
        /// Caller.
        caller: CallerId,
        /// Reason and details.
        refusal: Refusal,
    },
    /// Report a change of readiness.
    SetReady {
        /// Whether the node accepts requests.
        ready: bool,
    },
    /// Report the end of a planned stop: no request is in flight.
    Stopped,
    /// Log a state change.
    StateChanged(StateChange),
    /// Record an observation in the metrics.
    Observe(Observation),
}

/// A state change for the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateChange {
    /// A configuration generation became active on this node.
    #[serde(rename = "ConfigurationInForce")]
    ConfigurationActivated {
        /// Generation.
        generation: Generation,
        /// Version.
        version: BundleVersion,
    },
    /// A configuration was rejected.
    #[serde(rename = "ConfigurationRefused")]
    ConfigurationRejected {
        /// Reason.
        reason: String,
    },
    /// A member's state changed.
    MemberChanged {
        /// Member.
        node: NodeId,
        /// Name.
        name: NodeName,
        /// New state.
        state: thornbridge_proto::peer::membership::MemberState,
    },
    /// A back end became usable or unusable.
    BackEndChanged {
        /// Back end.
        back_end: BackEndId,
        /// Text of the new state.
        state: String,
    },
    /// A lease was gained or lost.
    LeaseChanged {
        /// Name of the lease.
        name: String,
        /// Whether this node holds the lease.
        held: bool,
        /// Fencing token.
        fencing_token: u64,
    },
    /// The platform became reachable or unreachable.
    PlatformChanged {
        /// Whether the platform answers.
        reachable: bool,
    },
    /// The lifecycle state of the node changed.
    Lifecycle {
        /// Text of the new state.
        state: String,
    },
}

/// An observation for the metrics.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Observation {
    /// A query or action was answered or refused.
    RequestFinished {
        /// Service.
        service: ServiceName,
        /// Time from arrival to response.
        latency: Duration,
        /// Coverage of the answer; absent for refusals and actions.
        coverage: Option<f64>,
        /// Reason of the refusal; absent for answers.
        refused: Option<thornbridge_proto::caller::RefusalReason>,
    },
}
