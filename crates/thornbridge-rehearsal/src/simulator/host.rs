//! One node of the simulation: the core's state machine and what its process holds.

use super::occurrence::Occurrence;
use std::collections::HashMap;
use thornbridge_core::{ConnectionId, Event, Node, Timestamp};
use thornbridge_proto::{AttemptId, Generation, NodeId};
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// A connection as the node's process sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostConnection {
    /// Server, by position.
    pub server: usize,
    /// What it is used for.
    pub state: ConnectionState,
}

/// Use of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Asked for.
    Opening,
    /// Open and unused.
    Idle,
    /// Running an attempt.
    Busy(AttemptId),
}

/// A process that is stopped and resumed.
#[derive(Debug)]
pub struct Pause {
    /// Since when.
    pub since: Timestamp,
    /// What waits for it.
    pub backlog: Vec<Occurrence>,
}

/// One simulated node process.
#[derive(Debug)]
pub struct Host {
    /// Run; raised whenever the process ends.
    pub run: u32,
    /// The state machine; absent while the process is down.
    pub node: Option<Node>,
    /// Identity of the present or last run.
    pub id: NodeId,
    /// When the present run started.
    pub started: Timestamp,
    /// Whether it takes callers.
    pub ready: bool,
    /// When it was asked to stop.
    pub stopping_since: Option<Timestamp>,
    /// Set while the process is stopped by a signal.
    pub pause: Option<Pause>,
    /// When the last pause ended.
    pub resumed: Option<Timestamp>,
    /// Connections to back ends.
    pub connections: HashMap<ConnectionId, HostConnection, Xxh3DefaultBuilder>,
    /// Requests taken and not answered.
    pub unanswered: usize,
    /// Generation in force as announced.
    pub generation: Option<Generation>,
    /// When the next timer is due.
    pub timer: Option<Timestamp>,
    /// Callers avoid it until then.
    pub avoided_until: Timestamp,
}

impl Host {
    /// A host whose process does not run.
    pub fn new() -> Self {
        Self {
            run: 0,
            node: None,
            id: NodeId(0),
            started: Timestamp::ZERO,
            ready: false,
            stopping_since: None,
            pause: None,
            resumed: None,
            connections: HashMap::default(),
            unanswered: 0,
            generation: None,
            timer: None,
            avoided_until: Timestamp::ZERO,
        }
    }

    /// Begins a run.
    pub fn begin(&mut self, now: Timestamp, id: NodeId, node: Node) {
        self.node = Some(node);
        self.id = id;
        self.started = now;
        self.ready = false;
        self.stopping_since = None;
        self.unanswered = 0;
        self.generation = None;
        self.timer = None;
    }

    /// Ends the run; gives the connections it held.
    pub fn end(&mut self) -> Vec<(ConnectionId, HostConnection)> {
        self.run += 1;
        self.node = None;
        self.ready = false;
        self.pause = None;
        self.timer = None;
        let mut held: Vec<_> = self.connections.drain().collect();
        held.sort_by_key(|(connection, _)| *connection);
        held
    }

    /// Whether the process runs, be it paused.
    pub fn is_up(&self) -> bool {
        self.node.is_some()
    }
}

impl Default for Host {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether an event belongs to control, for the measurement of its cost.
pub fn is_control(event: &Event) -> bool {
    use thornbridge_proto::peer::PeerMessage;
    match event {
        Event::PeerMessage { message, .. } => !matches!(message, PeerMessage::Action(_)),
        Event::Started
        | Event::PeerLinkDown { .. }
        | Event::PeerTasksUnsent { .. }
        | Event::PlatformReply { .. }
        | Event::WatchChanged { .. }
        | Event::WatchEnded { .. }
        | Event::ProbeReplied { .. }
        | Event::ProbeFailed { .. }
        | Event::ClockJumped { .. }
        | Event::StopRequested => true,
        _ => false,
    }
}
