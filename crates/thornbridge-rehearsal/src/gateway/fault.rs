//! Faults, and planned work that may look like one.

use std::time::Duration;
use thornbridge_proto::ServiceName;

/// Something that happens to the deployment.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayFault {
    /// The store answers nothing: it refuses connections, or is silent.
    StoreDown {
        /// How long.
        lasts: Duration,
        /// Whether calls hang instead of failing at once.
        silent: bool,
        /// Whether entries of servers are lost and written again after it.
        lapse: bool,
    },
    /// The store is away, and comes back from a copy that is some time old, in a new era.
    StoreRestored {
        /// How long it is away.
        lasts: Duration,
        /// Age of the copy when the store went away.
        copy_age: Duration,
        /// Time until servers and operator have written again what is lost.
        written_after: Duration,
    },
    /// The store refuses all calls of this node.
    StoreRefuses {
        /// The node.
        node: usize,
        /// How long.
        lasts: Duration,
    },
    /// Waiting watches hear nothing, and then the history is gone.
    HistoryGone {
        /// How long they hear nothing.
        mute: Duration,
    },
    /// A share of the store's answers is lost.
    AnswersLost {
        /// The share, 0 to 1.
        share: f64,
        /// How long.
        lasts: Duration,
    },
    /// A new configuration with nothing changed but its version.
    NewVersion,
    /// Servers of new shards start; later a version names them, and the old ones drain.
    Repartition,
    /// A server drains and ends; another takes its place first.
    Replace {
        /// Position of the server.
        server: usize,
        /// Whether it says that it drains, or just vanishes from the registry.
        silent: bool,
    },
    /// A server crashes and comes back as another instance.
    Crash {
        /// Position of the server.
        server: usize,
        /// How long it is away.
        lasts: Duration,
        /// Whether it falls silent instead of refusing connections.
        dark: bool,
    },
    /// Servers crash, and their addresses go to servers of another service.
    ReuseAddresses {
        /// Positions of the servers.
        servers: Vec<usize>,
        /// Service of the servers that take the addresses.
        service: ServiceName,
        /// Time until they do.
        after: Duration,
    },
    /// Every n-th server works more slowly.
    Slow {
        /// Every n-th.
        every: usize,
        /// By this factor.
        factor: f64,
        /// How long.
        lasts: Duration,
    },
    /// All servers but every n-th reject a share of the requests, though they are not full.
    Reject {
        /// Every n-th is spared.
        spared_each: usize,
        /// The share, 0 to 1.
        share: f64,
        /// How long.
        lasts: Duration,
    },
    /// Servers lose the answer of a share of the requests they ran.
    ServersLoseAnswers {
        /// The share, 0 to 1.
        share: f64,
        /// How long.
        lasts: Duration,
    },
    /// Servers answer a share of the requests with another request's answer.
    SpoiltAnswers {
        /// The share, 0 to 1.
        share: f64,
        /// How long.
        lasts: Duration,
    },
    /// A node's process is killed and started again.
    KillNode {
        /// The node.
        node: usize,
        /// Time until it starts again.
        lasts: Duration,
    },
    /// All nodes lose power at once: servers do not notice their connections' end.
    PowerOff {
        /// Time until they start again.
        lasts: Duration,
    },
    /// A node hears nothing from its peers and they nothing from it.
    CutFromPeers {
        /// The node.
        node: usize,
        /// How long.
        lasts: Duration,
    },
    /// Each message between nodes takes longer, by a drawn time; those of one link stay in order.
    PeerLag {
        /// Longest lag.
        most: Duration,
        /// How long.
        lasts: Duration,
    },
    /// All connections between nodes and servers go silent for good, without a reset; new ones work.
    ServerConnectionsSilent,
    /// A caller sends a request that crashes each server that begins to run it. It comes again, the same
    /// each time, at any node; a server is back after a while.
    CrashingRequest {
        /// Position of the load that it is one of.
        load: usize,
        /// Time between two times that it comes.
        every: Duration,
        /// How long it comes for.
        lasts: Duration,
        /// Time that a server is away.
        away: Duration,
    },
    /// The operator wants nothing to be sent to the servers of a zone. They are cold after it.
    Evacuate {
        /// The zone.
        zone: usize,
        /// How long.
        lasts: Duration,
    },
    /// New callers come from other zones than before.
    CallersMove {
        /// Share of them that come from the first zone, 0 to 1.
        first_zone_share: f64,
    },
    /// A node's process stands still.
    Freeze {
        /// The node.
        node: usize,
        /// How long.
        lasts: Duration,
    },
}

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// Time since the first caller.
    pub at: Duration,
    /// The fault.
    pub fault: GatewayFault,
}

impl TimedFault {
    /// A fault that begins this many seconds after the first caller.
    pub fn at(seconds: f64, fault: GatewayFault) -> Self {
        Self {
            at: Duration::from_secs_f64(seconds),
            fault,
        }
    }
}
