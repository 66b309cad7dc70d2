//! Gateway process: listeners, signals, start and reload.

use super::answer_delay::AnswerDelays;
use super::body_memory::BodyMemory;
use super::callers::{self, CallerContext};
use super::driver::{DriverInputs, DriverOutputs, GatewayDriver, GatewayInput};
use super::headers::HeaderNames;
use super::metrics::{GatewayMetrics, GaugeValues};
use super::pages;
use super::planned_stop::StopSchedule;
use super::settings::{GatewaySettings, ReadSettings};
use super::store::{StoreClient, StoreProtocol};
use super::store_calls::StoreCalls;
use crate::caller_table::{CallerTable, TableLimits};
use crate::input;
use crate::peers::{PeerParameters, Peers};
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use thornbridge_core::gateway::{Gateway, GatewayParameters, GatewaySetup};
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Capacity of the driver's input queue.
const INPUT_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the driver's queue of inputs from peers.
const PEER_QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of connections waiting to be accepted, for each listener.
const LISTEN_BACKLOG: u32 = 1_024;
/// Parts of the process's memory, of which callers' requests may hold one.
const REQUEST_PARTS: usize = 4;
/// Parts of the process's memory, of which answers that callers have not read yet may hold one.
const ANSWER_PARTS: usize = 8;
/// Parts of the process's memory, of which the system may hold one for connections of callers.
const SOCKET_BUFFER_PARTS: usize = 8;
/// Parts of the process's memory, of which connections of callers may hold one.
const CONNECTION_PARTS: usize = 8;
/// Side of the listener for callers.
const CALLERS: &str = "callers";
/// Receive buffer of connections that wait to be accepted.
const BACKLOG_BUFFER_BYTES: u32 = 16 * 1_024;
/// Interval between reads of the settings file.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Error while starting a gateway.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// A listening socket cannot be opened.
    #[snafu(display("cannot listen for {side} on {address}"))]
    Listen {
        /// Interface of the listener, such as `callers` or `peers`.
        side: &'static str,
        /// Address in the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot install a handler for signal {signal}"))]
    Signals {
        /// Name of the signal.
        signal: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs a gateway until SIGTERM or SIGINT, then performs a planned stop.
///
/// Reloads the settings on SIGHUP and when their file changes.
pub async fn run_gateway(
    settings: GatewaySettings,
    names: HeaderNames,
    store: Arc<dyn StoreProtocol>,
    read_settings: ReadSettings,
) -> Result<(), GatewayError> {
    let mut events = ProcessEvents::install()?;
    let listeners = GatewayListeners::bind(&settings)?;
    log::info!(
        node = settings.name.as_str(),
        zone = settings.placement.zone.as_str(),
        callers:% = settings.caller_address,
        peers:% = settings.peer_address,
        store:% = store.address(),
        seeds = settings.seeds.len();
        "node starts"
    );
    let mut active = ActiveSettings {
        parameters: settings.parameters.clone(),
        stop_grace: settings.stop_grace,
        problems: None,
    };
    let running = RunningGateway::start(settings, names, store, listeners);
    loop {
        match events.next().await {
            ProcessEvent::Stop => break,
            ProcessEvent::Reload => {
                log::info!("settings reload requested by SIGHUP");
                running.reload(&read_settings, &mut active).await;
            }
            ProcessEvent::PollSettings => running.reload(&read_settings, &mut active).await,
        }
    }
    running.stop(StopSchedule::within(active.stop_grace)).await;
    log::info!("node ends");
    Ok(())
}

/// Active values of the settings that a reload can change.
#[derive(Clone, Debug, PartialEq)]
struct ActiveSettings {
    parameters: GatewayParameters,
    stop_grace: Duration,
    /// Problems found by the last reload; logged when they change.
    problems: Option<String>,
}

/// Signals and settings polls.
struct ProcessEvents {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hang_up: tokio::signal::unix::Signal,
    settings_poll: tokio::time::Interval,
}

#[derive(Clone, Copy, Debug)]
enum ProcessEvent {
    Stop,
    Reload,
    PollSettings,
}

impl ProcessEvents {
    fn install() -> Result<Self, GatewayError> {
        let install = |kind, signal_name| {
            signal(kind).context(SignalsSnafu {
                signal: signal_name,
            })
        };
        Ok(Self {
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install(SignalKind::interrupt(), "SIGINT")?,
            hang_up: install(SignalKind::hangup(), "SIGHUP")?,
            settings_poll: tokio::time::interval(SETTINGS_POLL_INTERVAL),
        })
    }

    async fn next(&mut self) -> ProcessEvent {
        tokio::select! {
            _ = self.terminate.recv() => ProcessEvent::Stop,
            _ = self.interrupt.recv() => ProcessEvent::Stop,
            _ = self.hang_up.recv() => ProcessEvent::Reload,
            _ = self.settings_poll.tick() => ProcessEvent::PollSettings,
        }
    }
}

/// Listening sockets of a gateway.
#[derive(Debug)]
pub struct GatewayListeners {
    /// Callers.
    pub callers: TcpListener,
    /// Readiness endpoint.
    pub readiness: TcpListener,
    /// Peers.
    pub peers: TcpListener,
    /// Metrics endpoint, if enabled.
    pub metrics: Option<TcpListener>,
}

impl GatewayListeners {
    /// Binds the addresses in the settings.
    pub fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        let metrics = settings.metrics_address;
        Ok(Self {
            callers: listen_for_callers(settings.caller_address)?,
            readiness: listen("readiness", settings.readiness_address)?,
            peers: listen("peers", settings.peer_address)?,
            metrics: metrics
                .map(|address| listen("metrics", address))
                .transpose()?,
        })
    }

    /// Binds free ports on the loopback interface, for tests.
    pub fn bind_loopback() -> Result<Self, GatewayError> {
        let any_port = SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0));
        Ok(Self {
            callers: listen_for_callers(any_port)?,
            readiness: listen("readiness", any_port)?,
            peers: listen("peers", any_port)?,
            metrics: Some(listen("metrics", any_port)?),
        })
    }
}

/// Listens for callers, with small buffers until their connections are accepted.
fn listen_for_callers(address: SocketAddr) -> Result<TcpListener, GatewayError> {
    bind(CALLERS, address, Some(BACKLOG_BUFFER_BYTES))
}

fn listen(side: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    bind(side, address, None)
}

fn bind(
    side: &'static str,
    address: SocketAddr,
    receive_buffer_bytes: Option<u32>,
) -> Result<TcpListener, GatewayError> {
    let bind = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        if let Some(bytes) = receive_buffer_bytes {
            // Where the system refuses the size the listener works without.
            let _ = socket.set_recv_buffer_size(bytes);
        }
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().context(ListenSnafu { side, address })
}

/// Gateway running in this process.
#[derive(Debug)]
pub struct RunningGateway {
    pub(super) inputs: mpsc::Sender<GatewayInput>,
    pub(super) caller_context: Arc<CallerContext>,
    pub(super) gauges: Arc<Mutex<GaugeValues>>,
    pub(super) peers: Peers,
}

impl RunningGateway {
    /// Starts a gateway on bound listeners.
    pub fn start(
        settings: GatewaySettings,
        names: HeaderNames,
        store: Arc<dyn StoreProtocol>,
        listeners: GatewayListeners,
    ) -> Self {
        let endpoint = PeerEndpoint {
            node: NodeId(rand::random()),
            address: settings.peer_address,
        };
        let (inputs, inputs_receiver) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let (disconnected, disconnected_receiver) = mpsc::unbounded_channel();
        let (peer_inputs, peer_receiver) = input::channel(PEER_QUEUE_CAPACITY);
        let peers = Peers::new(
            endpoint,
            settings.cluster_key.clone(),
            peer_parameters(),
            peer_inputs,
        );
        let (ready, ready_receiver) = watch::channel(false);
        let (limits, limits_receiver) = watch::channel(CallerLimits::default());
        let names = Arc::new(names);
        let answer_delays = Arc::new(AnswerDelays::default());
        let caller_context = Arc::new(CallerContext {
            names: Arc::clone(&names),
            inputs: inputs.clone(),
            disconnected,
            limits: limits_receiver,
            closing: AtomicBool::new(false),
            shutdown: CancellationToken::new(),
            reception_end: CancellationToken::new(),
            table: CallerTable::new(CALLERS, caller_limits(settings.memory_bytes)),
            requests_in_reception: AtomicUsize::new(0),
            max_connections: settings.max_caller_connections,
            connections_memory_bytes: settings.memory_bytes / CONNECTION_PARTS,
            next_caller_id: AtomicU64::new(1),
            answer_delays: Arc::clone(&answer_delays),
        });
        let metrics = Arc::new(GatewayMetrics::new());
        let gauges = Arc::new(Mutex::new(GaugeValues::default()));
        let body_memory = Arc::new(BodyMemory::of_process(settings.memory_bytes));
        let gateway = new_gateway(settings, endpoint);
        let outputs = DriverOutputs {
            ready,
            limits,
            gauges: Arc::clone(&gauges),
            metrics: Arc::clone(&metrics),
            answer_delays,
            callers: Arc::clone(&caller_context.table),
        };
        let store = StoreCalls::new(StoreClient::new(store), inputs.clone());
        let driver = GatewayDriver::new(
            gateway,
            names,
            store,
            peers.clone(),
            inputs.clone(),
            outputs,
            body_memory,
        );
        let channels = DriverInputs {
            inputs: inputs_receiver,
            disconnected: disconnected_receiver,
            peers: peer_receiver,
        };
        tokio::spawn(driver.run(channels));
        tokio::spawn(callers::listen(
            Arc::clone(&caller_context),
            listeners.callers,
        ));
        tokio::spawn(peers.clone().listen(listeners.peers));
        tokio::spawn(pages::serve(
            listeners.readiness,
            pages::readiness(ready_receiver),
        ));
        if let Some(listener) = listeners.metrics {
            let page = pages::metrics(metrics, Arc::clone(&gauges));
            tokio::spawn(pages::serve(listener, page));
        }
        Self {
            inputs,
            caller_context,
            gauges,
            peers,
        }
    }

    /// Reads the settings and applies changes. Invalid settings are logged and change nothing.
    async fn reload(&self, read_settings: &ReadSettings, active: &mut ActiveSettings) {
        let settings = match read_settings() {
            Ok(settings) => settings,
            Err(problems) => {
                if active.problems.as_ref() != Some(&problems) {
                    log::warn!(problems = problems.as_str(); "reload failed: active settings kept");
                }
                active.problems = Some(problems);
                return;
            }
        };
        let new = ActiveSettings {
            parameters: settings.parameters,
            stop_grace: settings.stop_grace,
            problems: None,
        };
        if new == *active {
            return;
        }
        *active = new;
        let parameters = Box::new(active.parameters.clone());
        let _ = self
            .inputs
            .send(GatewayInput::Reconfigure(parameters))
            .await;
    }
}

fn new_gateway(settings: GatewaySettings, endpoint: PeerEndpoint) -> Gateway {
    Gateway::new(GatewaySetup {
        endpoint,
        name: settings.name,
        placement: settings.placement,
        seeds: settings.seeds,
        seed: rand::random(),
        parameters: settings.parameters,
    })
}

/// Parts of the process's memory that callers may hold.
fn caller_limits(memory_bytes: usize) -> TableLimits {
    TableLimits {
        request_bytes: memory_bytes / REQUEST_PARTS,
        answer_bytes: memory_bytes / ANSWER_PARTS,
        socket_buffer_bytes: memory_bytes / SOCKET_BUFFER_PARTS,
    }
}

/// Short timeouts: budgets depend on the prompt detection of lost peers.
fn peer_parameters() -> PeerParameters {
    PeerParameters {
        hello_timeout: Duration::from_millis(1_000),
        write_timeout: Duration::from_millis(2_000),
        longest_backoff: Duration::from_millis(1_000),
        ..PeerParameters::default()
    }
}
