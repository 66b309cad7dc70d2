//! The gateway's process: its sockets, its signals, and the order in which it starts and stops.

use super::answer_delay::AnswerDelays;
use super::callers::{self, Callers};
use super::driver::{GatewayDriver, GatewayInput, Inlets, Outlets};
use super::headers::WireNames;
use super::metrics::{GatewayMetrics, Standing};
use super::pages::{self, Page};
use super::settings::{GatewaySettings, ReadSettings};
use super::store::{StoreClient, StoreProtocol};
use crate::input;
use crate::peers::{PeerParameters, Peers};
use hyper::StatusCode;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use thornbridge_core::gateway::{Gateway, GatewayParameters, GatewaySetup};
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Inputs that wait for the driver.
const INPUT_QUEUE: usize = 4_096;
/// Inputs from peers that wait for the driver.
const PEER_QUEUE: usize = 1_024;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time that a stopping node still serves, so that whoever sends it callers notices.
const LEAST_STOP: Duration = Duration::from_millis(3_000);
/// Part of the grace of a stop that is left for the last bytes.
const STOP_RESERVE: Duration = Duration::from_millis(700);
/// Time for callers to take the last bytes of their answers.
const FLUSH: Duration = Duration::from_millis(400);
/// Time between looks at the settings file.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Time between looks at what still runs during a stop.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// A gateway could not start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen for {side} on {address}"))]
    Listen {
        /// Who was to be served.
        side: &'static str,
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The process's signals cannot be taken.
    #[snafu(display("cannot take signal {signal}"))]
    Signals {
        /// Name of the signal.
        signal: &'static str,
        /// Cause.
        source: std::io::Error,
    },
}

/// Runs a gateway until SIGTERM or SIGINT and the planned stop that follows.
pub async fn run_gateway(
    settings: GatewaySettings,
    names: WireNames,
    store: Arc<dyn StoreProtocol>,
    read_settings: ReadSettings,
) -> Result<(), GatewayError> {
    let mut signals = Signals::take()?;
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
    let mut in_force = InForce {
        parameters: settings.parameters.clone(),
        stop_grace: settings.stop_grace,
        problems: None,
    };
    let running = RunningGateway::start(settings, names, store, listeners);
    loop {
        match signals.next().await {
            Signal::Stop => break,
            Signal::Reload => {
                log::info!("settings are read anew: asked to");
                running.reload(&read_settings, &mut in_force).await;
            }
            // The file may also change without a word.
            Signal::Look => running.reload(&read_settings, &mut in_force).await,
        }
    }
    running.stop(in_force.stop_grace).await;
    log::info!("node ends");
    Ok(())
}

/// What of the settings can change while the process runs.
#[derive(Clone, Debug, PartialEq)]
struct InForce {
    parameters: GatewayParameters,
    stop_grace: Duration,
    /// What was wrong with the file when it was last read.
    problems: Option<String>,
}

struct Signals {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    hang_up: tokio::signal::unix::Signal,
    look: tokio::time::Interval,
}

#[derive(Clone, Copy, Debug)]
enum Signal {
    Stop,
    Reload,
    Look,
}

impl Signals {
    fn take() -> Result<Self, GatewayError> {
        let take = |kind, signal_name| {
            signal(kind).context(SignalsSnafu {
                signal: signal_name,
            })
        };
        Ok(Self {
            terminate: take(SignalKind::terminate(), "SIGTERM")?,
            interrupt: take(SignalKind::interrupt(), "SIGINT")?,
            hang_up: take(SignalKind::hangup(), "SIGHUP")?,
            look: tokio::time::interval(SETTINGS_LOOK),
        })
    }

    async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.terminate.recv() => Signal::Stop,
            _ = self.interrupt.recv() => Signal::Stop,
            _ = self.hang_up.recv() => Signal::Reload,
            _ = self.look.tick() => Signal::Look,
        }
    }
}

/// The sockets that a gateway listens on.
#[derive(Debug)]
pub struct GatewayListeners {
    /// For callers.
    pub callers: TcpListener,
    /// For whoever asks whether callers are wanted.
    pub readiness: TcpListener,
    /// For peers.
    pub peers: TcpListener,
    /// For metrics.
    pub metrics: Option<TcpListener>,
}

impl GatewayListeners {
    /// Binds the addresses of the settings.
    pub fn bind(settings: &GatewaySettings) -> Result<Self, GatewayError> {
        let metrics = settings.metrics_address;
        Ok(Self {
            callers: listen("callers", settings.caller_address)?,
            readiness: listen("readiness", settings.readiness_address)?,
            peers: listen("peers", settings.peer_address)?,
            metrics: metrics
                .map(|address| listen("metrics", address))
                .transpose()?,
        })
    }

    /// Binds free ports of the loopback interface, for tests.
    pub fn on_loopback() -> Result<Self, GatewayError> {
        let any = SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0));
        Ok(Self {
            callers: listen("callers", any)?,
            readiness: listen("readiness", any)?,
            peers: listen("peers", any)?,
            metrics: Some(listen("metrics", any)?),
        })
    }
}

fn listen(side: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    let bound = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().context(ListenSnafu { side, address })
}

/// A gateway that runs in this process.
#[derive(Debug)]
pub struct RunningGateway {
    inputs: mpsc::Sender<GatewayInput>,
    callers: Arc<Callers>,
    standing: Arc<Mutex<Standing>>,
    peers: Peers,
}

impl RunningGateway {
    /// Starts a gateway on sockets that are already bound.
    pub fn start(
        settings: GatewaySettings,
        names: WireNames,
        store: Arc<dyn StoreProtocol>,
        listeners: GatewayListeners,
    ) -> Self {
        let endpoint = PeerEndpoint {
            node: NodeId(rand::random()),
            address: settings.peer_address,
        };
        let (inputs, inputs_receiver) = mpsc::channel(INPUT_QUEUE);
        let (gone, gone_receiver) = mpsc::unbounded_channel();
        let (peer_inputs, peer_receiver) = input::channel(PEER_QUEUE);
        let peers = Peers::new(
            endpoint,
            settings.cluster_key.clone(),
            peer_parameters(),
            peer_inputs,
        );
        let (ready, ready_receiver) = watch::channel(false);
        let (limits, limits_receiver) = watch::channel(CallerLimits::default());
        let names = Arc::new(names);
        let delays = Arc::new(AnswerDelays::default());
        let callers = Arc::new(Callers {
            names: Arc::clone(&names),
            inputs: inputs.clone(),
            gone,
            limits: limits_receiver,
            closing: AtomicBool::new(false),
            ended: CancellationToken::new(),
            connections: AtomicUsize::new(0),
            connections_maximum: settings.connections,
            next_caller: AtomicU64::new(1),
            delays: Arc::clone(&delays),
        });
        let metrics = Arc::new(GatewayMetrics::new());
        let standing = Arc::new(Mutex::new(Standing::default()));
        let gateway = gateway_of(settings, endpoint);
        let outlets = Outlets {
            ready,
            limits,
            standing: Arc::clone(&standing),
            metrics: Arc::clone(&metrics),
            delays,
        };
        let store = StoreClient::new(store, inputs.clone());
        let driver = GatewayDriver::new(
            gateway,
            names,
            store,
            peers.clone(),
            inputs.clone(),
            outlets,
        );
        let inlets = Inlets {
            inputs: inputs_receiver,
            gone: gone_receiver,
            peers: peer_receiver,
        };
        tokio::spawn(driver.run(inlets));
        tokio::spawn(callers::listen(Arc::clone(&callers), listeners.callers));
        tokio::spawn(peers.clone().listen(listeners.peers));
        tokio::spawn(pages::serve(
            listeners.readiness,
            readiness_page(ready_receiver),
        ));
        if let Some(listener) = listeners.metrics {
            let page = metrics_page(metrics, Arc::clone(&standing));
            tokio::spawn(pages::serve(listener, page));
        }
        Self {
            inputs,
            callers,
            standing,
            peers,
        }
    }

    /// Reads the settings, and takes what changed. Wrong ones change nothing.
    async fn reload(&self, read_settings: &ReadSettings, in_force: &mut InForce) {
        let settings = match read_settings() {
            Ok(settings) => settings,
            Err(problems) => {
                if in_force.problems.as_ref() != Some(&problems) {
                    log::warn!(problems = problems.as_str(); "settings kept: new ones are wrong");
                }
                in_force.problems = Some(problems);
                return;
            }
        };
        let new = InForce {
            parameters: settings.parameters,
            stop_grace: settings.stop_grace,
            problems: None,
        };
        if new == *in_force {
            return;
        }
        *in_force = new;
        let parameters = Box::new(in_force.parameters.clone());
        let _ = self
            .inputs
            .send(GatewayInput::Reconfigure(parameters))
            .await;
    }

    /// Announces that it leaves, finishes what it has, and closes what rests.
    pub async fn stop(self, grace: Duration) {
        let began = tokio::time::Instant::now();
        let latest = began + grace.saturating_sub(STOP_RESERVE);
        let earliest = (began + LEAST_STOP).min(latest);
        log::info!(grace_ms = grace.as_millis() as u64; "node stops");
        let _ = self.inputs.send(GatewayInput::Stop).await;
        self.callers.closing.store(true, Ordering::Relaxed);
        loop {
            let now = tokio::time::Instant::now();
            let over = now >= earliest && self.in_flight() == 0;
            if over || now >= latest {
                break;
            }
            tokio::time::sleep(STOP_LOOK).await;
        }
        self.callers.ended.cancel();
        let flushed = async {
            while self.callers.connections.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(STOP_LOOK / 10).await;
            }
        };
        // Callers that do not take their bytes in this time lose them.
        let _ = tokio::time::timeout(FLUSH, flushed).await;
        self.peers.abort();
    }

    fn in_flight(&self) -> usize {
        let standing = self.standing.lock().unwrap_or_else(PoisonError::into_inner);
        standing.in_flight
    }
}

fn gateway_of(settings: GatewaySettings, endpoint: PeerEndpoint) -> Gateway {
    Gateway::new(GatewaySetup {
        endpoint,
        name: settings.name,
        placement: settings.placement,
        seeds: settings.seeds,
        seed: rand::random(),
        parameters: settings.parameters,
    })
}

/// Links to peers that are cut off show soon: budgets depend on who is there.
fn peer_parameters() -> PeerParameters {
    PeerParameters {
        hello_timeout: Duration::from_millis(1_000),
        write_timeout: Duration::from_millis(2_000),
        longest_backoff: Duration::from_millis(1_000),
        ..PeerParameters::default()
    }
}

fn readiness_page(ready: watch::Receiver<bool>) -> Page {
    Arc::new(move || match *ready.borrow() {
        true => (StatusCode::OK, "ready\n".to_owned()),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    })
}

fn metrics_page(metrics: Arc<GatewayMetrics>, standing: Arc<Mutex<Standing>>) -> Page {
    Arc::new(move || {
        let standing = *standing.lock().unwrap_or_else(PoisonError::into_inner);
        (StatusCode::OK, metrics.encode(&standing))
    })
}
