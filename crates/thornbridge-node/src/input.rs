//! What reaches the driver task: core events, and requests that carry their own reply channel.

use crate::peers::PeerCounters;
use serde::Serialize;
use std::collections::BTreeMap;
use thornbridge_core::counters::Counters;
use thornbridge_core::status::StatusReport;
use thornbridge_core::{CallerId, ConnectionId, Event, WatchId};
use thornbridge_proto::caller::{ActionAnswer, ActionRequest, QueryAnswer, QueryRequest, Refusal};
use tokio::sync::{mpsc, oneshot};

/// What a waiting caller gets.
#[derive(Debug)]
pub(crate) enum CallerReply {
    /// Answer to a query.
    Query(QueryAnswer),
    /// Answer to an action.
    Action(ActionAnswer),
    /// No answer.
    Refusal(Refusal),
}

/// A request of a caller.
#[derive(Debug)]
pub(crate) enum CallerRequest {
    /// A query.
    Query(QueryRequest),
    /// An action.
    Action(ActionRequest),
}

/// What operators read: a copy of the core's view.
#[derive(Debug)]
pub(crate) struct Inspection {
    /// Status.
    pub(crate) status: StatusReport,
    /// Counters.
    pub(crate) counters: Counters,
    /// Sizes of the driver's own tables.
    pub(crate) driver: DriverGauges,
    /// Counters of the sockets.
    pub(crate) transport: TransportCounters,
}

/// What the sockets counted.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct TransportCounters {
    /// Cancellations dropped because a back end's control queue was full.
    pub(crate) cancellations_dropped: u64,
    /// Connections cut because their attempt outlived its deadline by far.
    pub(crate) connections_cut: u64,
    /// Callers that went away before their answer.
    pub(crate) callers_gone: u64,
    /// Pauses of the process that were noticed.
    pub(crate) pauses: u64,
    /// Links to peers.
    pub(crate) peers: PeerCounters,
}

/// Sizes of the driver's own tables.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DriverGauges {
    /// Callers that wait for an answer.
    pub(crate) callers_waiting: u64,
    /// Connections to back ends, open or opening.
    pub(crate) back_end_connections: u64,
    /// Attempts on those connections.
    pub(crate) attempts_running: u64,
    /// Authenticated links to peers.
    pub(crate) peer_links: u64,
}

/// One input of the driver.
#[derive(Debug)]
pub(crate) enum Input {
    /// Passed to the core as it stands.
    Core(Event),
    /// The attempt on a connection ended.
    AttemptEnded {
        /// The connection.
        connection: ConnectionId,
        /// The event for the core.
        event: Event,
    },
    /// A connection ended; its handle is dropped.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// A watch ended by itself; its handle is dropped.
    WatchEnded {
        /// The watch.
        watch: WatchId,
        /// The event for the core.
        event: Event,
    },
    /// A caller asks.
    Caller {
        /// Handle.
        caller: CallerId,
        /// Request.
        request: CallerRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<CallerReply>,
    },
    /// An operator asks.
    Inspect(oneshot::Sender<Inspection>),
}

/// Senders into the driver, cloned into every adapter.
#[derive(Clone, Debug)]
pub(crate) struct InputSender {
    /// Bounded: whoever brings work waits when the driver is behind.
    inputs: mpsc::Sender<Input>,
    /// Unbounded, since a caller goes away in a destructor that cannot wait. At most one entry
    /// for each request taken through the bounded queue.
    gone: mpsc::UnboundedSender<CallerId>,
}

/// The driver's ends.
#[derive(Debug)]
pub(crate) struct InputReceiver {
    pub(crate) inputs: mpsc::Receiver<Input>,
    pub(crate) gone: mpsc::UnboundedReceiver<CallerId>,
}

/// A pair of ends; `capacity` bounds the inputs that wait.
pub(crate) fn channel(capacity: usize) -> (InputSender, InputReceiver) {
    let (inputs, inputs_receiver) = mpsc::channel(capacity);
    let (gone, gone_receiver) = mpsc::unbounded_channel();
    let sender = InputSender { inputs, gone };
    let receiver = InputReceiver {
        inputs: inputs_receiver,
        gone: gone_receiver,
    };
    (sender, receiver)
}

/// The driver has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DriverEnded;

impl InputSender {
    /// Hands an input over, waiting while the driver is behind.
    pub(crate) async fn send(&self, input: Input) -> Result<(), DriverEnded> {
        self.inputs.send(input).await.map_err(|_| DriverEnded)
    }

    /// Hands a core event over.
    pub(crate) async fn event(&self, event: Event) -> Result<(), DriverEnded> {
        self.send(Input::Core(event)).await
    }

    /// Says that a caller went away.
    pub(crate) fn caller_gone(&self, caller: CallerId) {
        // A driver that has ended has no work left to cancel.
        let _ = self.gone.send(caller);
    }

    /// Asks the driver for its view.
    pub(crate) async fn inspect(&self) -> Result<Inspection, DriverEnded> {
        let (reply, receiver) = oneshot::channel();
        self.send(Input::Inspect(reply)).await?;
        receiver.await.map_err(|_| DriverEnded)
    }
}

/// Callers that wait for an answer.
pub(crate) type WaitingCallers = BTreeMap<CallerId, oneshot::Sender<CallerReply>>;
