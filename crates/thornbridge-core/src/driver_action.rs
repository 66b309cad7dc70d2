//! What a node wants done.

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
    /// A driver's handle for a waiting caller; never used twice.
    CallerId
);
handle_type!(
    /// The core's handle for one connection to a back end; never used twice.
    ConnectionId
);
handle_type!(
    /// The core's handle for one request to the platform; never used twice.
    OperationId
);
handle_type!(
    /// The core's handle for one watch on the platform; never used twice.
    WatchId
);

/// Something that a driver carries out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Open a connection; answered by `ConnectionOpened` or `ConnectionLost`.
    OpenConnection {
        /// Handle.
        connection: ConnectionId,
        /// Whose.
        back_end: BackEndId,
        /// Where to.
        address: SocketAddr,
    },
    /// Close a connection. No event follows.
    CloseConnection {
        /// Handle.
        connection: ConnectionId,
    },
    /// Send an attempt on an open, idle connection; answered by `AttemptReplied` or `AttemptFailed`.
    SendAttempt {
        /// Handle.
        connection: ConnectionId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Ask the back end to stop an attempt. The attempt's own event still follows.
    CancelAttempt {
        /// Connection it runs on.
        connection: ConnectionId,
        /// Address of the back end.
        address: SocketAddr,
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask a back end for its load and health; answered by `ProbeReplied` or `ProbeFailed`.
    Probe {
        /// The back end.
        back_end: BackEndId,
        /// Where.
        address: SocketAddr,
    },
    /// Send to a peer, best effort; `PeerLinkDown` may follow.
    SendPeer {
        /// Peer address.
        to: SocketAddr,
        /// Message.
        message: PeerMessage,
    },
    /// Ask the platform's store; answered by `PlatformReply`.
    Platform {
        /// Handle.
        operation: OperationId,
        /// Request.
        request: PlatformRequest,
    },
    /// Watch objects of a kind after a version.
    Watch {
        /// Handle.
        watch: WatchId,
        /// Kind.
        kind: ObjectKind,
        /// Changes after this one are wanted.
        from: ResourceVersion,
    },
    /// End a watch. No event follows.
    StopWatch {
        /// Handle.
        watch: WatchId,
    },
    /// Answer a query.
    AnswerQuery {
        /// Whom.
        caller: CallerId,
        /// Answer.
        answer: QueryAnswer,
    },
    /// Answer an action.
    AnswerAction {
        /// Whom.
        caller: CallerId,
        /// Answer.
        answer: ActionAnswer,
    },
    /// Refuse a request, or say that it failed.
    Refuse {
        /// Whom.
        caller: CallerId,
        /// Why.
        refusal: Refusal,
    },
    /// Readiness changed.
    SetReady {
        /// Whether the node takes callers.
        ready: bool,
    },
    /// The planned stop is complete: nothing is in flight.
    Stopped,
    /// A change of state, for the log.
    StateChanged(StateChange),
    /// A measurement, for metrics.
    Observe(Observation),
}

/// A change of state worth a line in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StateChange {
    /// A generation came into force here.
    #[serde(rename = "ConfigurationInForce")]
    ConfigurationActivated {
        /// Generation.
        generation: Generation,
        /// Version.
        version: BundleVersion,
    },
    /// A configuration was refused.
    #[serde(rename = "ConfigurationRefused")]
    ConfigurationRejected {
        /// Why.
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
        /// The back end.
        back_end: BackEndId,
        /// New state in words.
        state: String,
    },
    /// A lease was gained or lost.
    LeaseChanged {
        /// What it protects.
        name: String,
        /// Whether this node holds it now.
        held: bool,
        /// Fencing token.
        fencing_token: u64,
    },
    /// The platform became reachable or unreachable.
    PlatformChanged {
        /// Whether it answers.
        reachable: bool,
    },
    /// The node's own life: started, ready, leaving.
    Lifecycle {
        /// New state in words.
        state: String,
    },
}

/// A measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Observation {
    /// A query or action ended.
    RequestFinished {
        /// Service.
        service: ServiceName,
        /// Time from arrival to answer.
        latency: Duration,
        /// Coverage of the answer; absent for refusals and actions.
        coverage: Option<f64>,
        /// Why it was refused, where it was.
        refused: Option<thornbridge_proto::caller::RefusalReason>,
    },
}
