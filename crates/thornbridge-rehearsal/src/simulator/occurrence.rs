//! Everything that can be due in a simulation.

use super::back_end::ConnectionKey;
use super::platform::PlatformClient;
use thornbridge_core::{CallerId, ConnectionId, Event, OperationId, Timestamp, WatchId};
use thornbridge_proto::AttemptId;
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport};
use thornbridge_proto::caller::Executed;
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, ResourceVersion,
};

/// Something that is due.
#[derive(Debug)]
pub enum Occurrence {
    /// Something reaches a node's process, if it is still that run.
    Node {
        /// Position.
        node: usize,
        /// Run.
        run: u32,
        /// What.
        arrival: NodeArrival,
    },
    /// Something reaches a server.
    Server {
        /// Position.
        server: usize,
        /// What.
        arrival: ServerArrival,
    },
    /// Something reaches the platform.
    Platform {
        /// From whom.
        client: PlatformClient,
        /// What.
        arrival: PlatformArrival,
    },
    /// Something happens to a caller.
    Caller(CallerStep),
    /// A fault begins or ends, a process starts or stops.
    Life(Life),
    /// What an operator waited for.
    Operator {
        /// Position.
        operator: usize,
        /// The platform's answer, or nothing after a pause.
        answer: Option<Result<PlatformResponse, PlatformFailure>>,
    },
    /// Time to look whether something is overdue.
    Tick,
}

/// What reaches a node's process.
#[derive(Debug)]
pub enum NodeArrival {
    /// An event for the state machine as it is.
    Event(Event),
    /// A timer; void unless it is the one waited for.
    Timer {
        /// When it was set for.
        due: Timestamp,
    },
    /// A caller's request.
    Request {
        /// The try.
        caller: CallerId,
    },
    /// A connection was accepted.
    Connected {
        /// Handle.
        connection: ConnectionId,
    },
    /// A connection broke, or could not be opened.
    Broken {
        /// Handle.
        connection: ConnectionId,
    },
    /// A back end's reply.
    Reply {
        /// Handle.
        connection: ConnectionId,
        /// Reply.
        reply: BackEndReply,
        /// Load in its header.
        load: LoadReport,
    },
}

/// What reaches a server.
#[derive(Debug)]
pub enum ServerArrival {
    /// A node wants a connection.
    Connect(ConnectionKey),
    /// A node closed a connection, or died.
    Disconnect(ConnectionKey),
    /// An attempt.
    Attempt(ConnectionKey, Attempt),
    /// A cancellation.
    Cancel(ConnectionKey, AttemptId),
    /// A probe for load and health.
    Probe {
        /// Node, by position.
        node: usize,
        /// Run.
        run: u32,
    },
    /// A job of a run is done.
    Done {
        /// Run of the server.
        run: u32,
        /// Job.
        sequence: u64,
    },
}

/// What reaches the platform.
#[derive(Debug)]
pub enum PlatformArrival {
    /// A request.
    Request {
        /// Asker's handle.
        operation: OperationId,
        /// Request.
        request: PlatformRequest,
    },
    /// A watch.
    Watch {
        /// Asker's handle.
        watch: WatchId,
        /// Kind.
        kind: ObjectKind,
        /// From this version on.
        from: ResourceVersion,
    },
    /// The end of a watch.
    StopWatch {
        /// Asker's handle.
        watch: WatchId,
    },
}

/// What happens to a caller.
#[derive(Debug)]
pub enum CallerStep {
    /// A new request of a service.
    Arrives {
        /// Position.
        service: usize,
    },
    /// An impatient caller sends the action again through another node.
    Repeats {
        /// Number.
        request: u64,
    },
    /// A caller goes away.
    HangsUp {
        /// Number.
        request: u64,
    },
    /// An answer or a refusal arrives.
    Hears {
        /// The try.
        caller: CallerId,
        /// What.
        result: CallerResult,
    },
    /// The node cannot be reached, or does not answer any more.
    Loses {
        /// The try.
        caller: CallerId,
    },
}

/// What a caller hears from a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallerResult {
    /// An answer, with the coverage of a query.
    Answered {
        /// Coverage.
        coverage: Option<f64>,
    },
    /// A refusal or failure.
    Refused {
        /// Whether it ran.
        executed: Executed,
        /// Whether another node may well do better.
        elsewhere: bool,
    },
}

/// Faults and lives.
#[derive(Clone, Debug)]
pub enum Life {
    /// A window of the schedule begins.
    Begins(usize),
    /// A window of the schedule ends.
    Ends(usize),
    /// A node's process starts.
    StartNode(usize),
    /// A node is asked to stop.
    StopNode(usize),
    /// A paused node resumes.
    ResumeNode(usize),
    /// A server announces leaving, as a part of a restart.
    DrainServer(usize),
    /// A draining server's process ends.
    StopServer(usize),
    /// A server's process starts.
    StartServer(usize),
    /// A server has loaded a snapshot.
    HoldSnapshot {
        /// Server.
        server: usize,
        /// Number.
        snapshot: crate::scenario::SnapshotNumber,
    },
    /// An operator rolls out.
    RollOut(RollOutStep),
    /// Servers drop the snapshots that no bundle has named for a while.
    DropSnapshots,
}

/// Why an operator rolls out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RollOutStep {
    /// The same services under a new version.
    Plain,
    /// The newest snapshots come in beside the old ones.
    BringIn,
    /// Snapshots older than these are taken out.
    Retire(Vec<crate::scenario::SnapshotNumber>),
}
