//! A running node: its listeners, its driver, and the order in which it starts and stops.

use crate::driver::{Driver, Signals};
use crate::error::{BindSnafu, LocalAddressSnafu, NodeError, SignalSnafu};
use crate::input;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::platform::PlatformClient;
use crate::platform_operations::PlatformOperations;
use crate::server::serve;
use crate::settings::NodeRuntimeSettings;
use crate::{callers, operators};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use thornbridge_config::settings::NodeSettings;
use thornbridge_core::counters::Counters;
use thornbridge_core::{Event, Node, NodeSetup};
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// The sockets that a node listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: TcpListener,
    /// For operators.
    pub operator: TcpListener,
    /// For peers.
    pub peer: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        Ok(Self {
            caller: bind("callers", settings.caller_address).await?,
            operator: bind("operators", settings.operator_address).await?,
            peer: bind("peers", settings.peer_address).await?,
        })
    }

    /// Binds free ports of the loopback interface.
    pub async fn on_loopback() -> Result<Self, NodeError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Ok(Self {
            caller: bind("callers", any).await?,
            operator: bind("operators", any).await?,
            peer: bind("peers", any).await?,
        })
    }
}

async fn bind(side: &'static str, address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { side, address })
}

/// How a node's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// A planned stop: everything in flight was finished.
    Finished,
    /// A second signal: ended at once.
    Aborted,
}

/// A node that runs in this process.
#[derive(Debug)]
pub struct RunningNode {
    id: NodeId,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
    inputs: input::InputSender,
    stop_now: CancellationToken,
    ready: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl RunningNode {
    /// Starts a node on sockets that are already bound.
    pub async fn start(
        settings: NodeRuntimeSettings,
        listeners: Listeners,
    ) -> Result<Self, NodeError> {
        let caller_address = local_address("callers", &listeners.caller)?;
        let operator_address = local_address("operators", &listeners.operator)?;
        let peer_address = local_address("peers", &listeners.peer)?;
        let id = NodeId(rand::random());
        let advertised = settings.node.advertised_peer_address;
        let endpoint = PeerEndpoint {
            node: id,
            address: advertised.unwrap_or(peer_address),
        };
        let (inputs, receiver) = input::channel(settings.transport.input_queue);
        let stop_now = CancellationToken::new();
        let (ready_sender, ready) = watch::channel(false);
        let advertised = settings.node.advertised_operator_address;
        let process = Process {
            settings,
            endpoint,
            operator_address: advertised.unwrap_or(operator_address),
            inputs: inputs.clone(),
            ready: ready_sender,
            stop_now: stop_now.clone(),
        };
        Ok(Self {
            id,
            caller_address,
            operator_address,
            peer_address,
            inputs,
            stop_now,
            ready,
            task: tokio::spawn(process.run(receiver, listeners)),
        })
    }

    /// This run's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Where callers are served.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Where peers are served.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Waits until the node takes callers; `false` when it ended before.
    pub async fn wait_ready(&self) -> bool {
        let mut ready = self.ready.clone();
        ready.wait_for(|ready| *ready).await.is_ok()
    }

    /// A copy of the core's counters; absent when the node has ended.
    pub async fn counters(&self) -> Option<Counters> {
        let inspection = self.inputs.inspect().await.ok()?;
        Some(inspection.counters)
    }

    /// Asks for a planned stop; [`Self::wait`] tells when it is done.
    pub async fn stop(&self) {
        // A node that has already ended needs no stop.
        let _ = self.inputs.event(Event::StopRequested).await;
    }

    /// Ends at once, as a crash would: no announcement, nothing finished.
    pub fn abort(&self) {
        self.stop_now.cancel();
    }

    /// Waits for the end of the node.
    pub async fn wait(&mut self) {
        // The only error is a task that was aborted, which is an end as well.
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.stop_now.cancel();
    }
}

fn local_address(side: &'static str, listener: &TcpListener) -> Result<SocketAddr, NodeError> {
    listener.local_addr().context(LocalAddressSnafu { side })
}

/// Everything that one node runs.
struct Process {
    settings: NodeRuntimeSettings,
    endpoint: PeerEndpoint,
    operator_address: SocketAddr,
    inputs: input::InputSender,
    ready: watch::Sender<bool>,
    stop_now: CancellationToken,
}

impl Process {
    async fn run(self, receiver: input::InputReceiver, listeners: Listeners) {
        let stop_now = self.stop_now.clone();
        let mut tasks = self.start(receiver, listeners);
        tokio::select! {
            () = stop_now.cancelled() => {}
            () = tasks.finish() => {}
        }
        tasks.abort();
    }

    fn start(self, receiver: input::InputReceiver, listeners: Listeners) -> ProcessTasks {
        let transport = &self.settings.transport;
        let stopped = CancellationToken::new();
        let driver_end = CancellationToken::new();
        let metrics = Arc::new(Metrics::new());
        let peers = Peers::new(
            self.endpoint,
            self.settings.cluster_key.clone(),
            self.settings.peers.clone(),
            self.inputs.clone(),
        );
        let driver = self.driver(peers.clone(), Arc::clone(&metrics), stopped.clone());
        let operators = serve(
            "operators",
            listeners.operator,
            operators::routes(self.inputs.clone(), metrics),
            transport.server_limits(
                transport.operator_connections,
                transport.operator_memory_bytes,
            ),
            driver_end.clone(),
        );
        let callers = serve(
            "callers",
            listeners.caller,
            callers::routes(self.inputs.clone(), transport.body_read_timeout),
            transport.server_limits(transport.caller_connections, transport.caller_memory_bytes),
            stopped.clone(),
        );
        ProcessTasks {
            driver: tokio::spawn(driver.run(receiver, driver_end.clone())),
            operators: tokio::spawn(operators),
            callers: tokio::spawn(callers),
            peer_listener: tokio::spawn(peers.clone().listen(listeners.peer)),
            peers,
            stopped,
            driver_end,
        }
    }

    fn driver(&self, peers: Peers, metrics: Arc<Metrics>, stopped: CancellationToken) -> Driver {
        let settings = &self.settings.node;
        let setup = NodeSetup {
            endpoint: self.endpoint,
            operator_address: self.operator_address,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            seeds: settings.seeds.clone(),
            trusted_keys: settings.trusted_keys.clone(),
            seed: rand::random(),
            parameters: self.settings.parameters.clone(),
        };
        let transport = self.settings.transport.clone();
        let reader = self.endpoint.node.to_string();
        let client = PlatformClient::new(
            settings.platform_address,
            &reader,
            transport.platform_timeout,
        );
        let platform = PlatformOperations::new(client, self.inputs.clone(), transport.watch_idle);
        Driver::new(
            Node::new(setup),
            transport,
            platform,
            peers,
            self.inputs.clone(),
            Signals {
                metrics,
                ready: self.ready.clone(),
                stopped,
            },
        )
    }
}

/// Printed after `ready` on standard output once a node's process listens, for whoever started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReady {
    /// This run's identity.
    pub node: NodeId,
    /// Where callers are served.
    pub caller_address: SocketAddr,
    /// Where operators are served.
    pub operator_address: SocketAddr,
    /// Where peers are served.
    pub peer_address: SocketAddr,
}

fn print_ready(node: &RunningNode) -> std::io::Result<()> {
    let ready = NodeReady {
        node: node.id,
        caller_address: node.caller_address,
        operator_address: node.operator_address,
        peer_address: node.peer_address,
    };
    let json = serde_json::to_string(&ready)?;
    let mut output = std::io::stdout().lock();
    writeln!(output, "ready {json}")?;
    output.flush()
}

/// The tasks of a node.
struct ProcessTasks {
    driver: JoinHandle<()>,
    operators: JoinHandle<()>,
    callers: JoinHandle<()>,
    peer_listener: JoinHandle<()>,
    peers: Peers,
    stopped: CancellationToken,
    driver_end: CancellationToken,
}

impl ProcessTasks {
    /// Waits for the core's planned stop, and ends what serves it in order.
    async fn finish(&mut self) {
        tokio::select! {
            () = self.stopped.cancelled() => {}
            _ = &mut self.driver => return,
        }
        // The driver runs on while the last responses leave, so that a request that comes on a
        // connection still open is refused truthfully.
        let _ = (&mut self.callers).await;
        self.peers.close().await;
        self.driver_end.cancel();
        let _ = (&mut self.driver).await;
        let _ = (&mut self.operators).await;
    }

    /// Ends whatever still runs.
    fn abort(&self) {
        for task in [
            &self.driver,
            &self.operators,
            &self.callers,
            &self.peer_listener,
        ] {
            task.abort();
        }
        self.peers.abort();
    }
}

/// Runs a node until SIGTERM or SIGINT and the planned stop that follows. A second signal ends
/// it at once.
pub async fn run(settings: NodeRuntimeSettings) -> Result<StopOutcome, NodeError> {
    let mut terminate =
        signal(SignalKind::terminate()).context(SignalSnafu { signal: "SIGTERM" })?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context(SignalSnafu { signal: "SIGINT" })?;
    let listeners = Listeners::bind(&settings.node).await?;
    let mut node = RunningNode::start(settings, listeners).await?;
    log::info!(
        node:% = node.id(),
        callers:% = node.caller_address(),
        operators:% = node.operator_address(),
        peers:% = node.peer_address();
        "listening"
    );
    if let Err(error) = print_ready(&node) {
        log::warn!(error:% = error; "cannot print the addresses to standard output");
    }
    let mut signals = 0;
    loop {
        tokio::select! {
            () = node.wait() => return Ok(StopOutcome::Finished),
            _ = terminate.recv() => signals += 1,
            _ = interrupt.recv() => signals += 1,
        }
        if signals > 1 {
            node.abort();
            return Ok(StopOutcome::Aborted);
        }
        node.stop().await;
    }
}
