//! The driver task of a gateway: owns the core, feeds it events, carries out its actions.

use super::answer_delay::{AnswerDelays, DecidedAnswer};
use super::connection::{self, ConnectionContext, Job};
use super::headers::{WireNames, number};
use super::log_lines;
use super::metrics::{GatewayMetrics, Standing};
use super::store::StoreClient;
use super::waiting::WaitingCaller;
use crate::clock::{Clock, PauseDetector};
use crate::input::{Input, InputReceiver};
use crate::peers::Peers;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Version};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use thornbridge_core::gateway::{
    ExchangeFailure, Gateway, GatewayAction, GatewayEvent, GatewayParameters, RequestHead,
};
use thornbridge_core::{CallerId, ConnectionId, Event};
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::slice::{SliceMessage, SliceTask};
use thornbridge_proto::{AttemptId, BackEndId};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// Inputs handled before the core's actions are carried out.
const BATCH: usize = 64;
/// Longest time between two wakes.
const LONGEST_SLEEP: Duration = Duration::from_millis(200);
/// Gap between wakes that is told as a pause.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Time between sweeps of the links to peers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// A caller's whole request.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) caller: CallerId,
    pub(super) head: RequestHead,
    /// Method, target and headers, without those that concern one connection only.
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    /// Whether the caller gave a length: then one is sent even where the body is empty.
    pub(super) sent_length: bool,
    pub(super) reply: oneshot::Sender<DecidedAnswer>,
}

/// One input of the driver.
#[derive(Debug)]
pub(super) enum GatewayInput {
    Event(Box<GatewayEvent>),
    Request(Box<CallerRequest>),
    Stop,
    Reconfigure(Box<GatewayParameters>),
}

#[derive(Debug)]
struct ServerConnection {
    jobs: mpsc::UnboundedSender<Job>,
    task: AbortHandle,
}

/// Where the driver tells of itself.
pub(super) struct Outlets {
    pub(super) ready: watch::Sender<bool>,
    pub(super) limits: watch::Sender<CallerLimits>,
    pub(super) standing: Arc<Mutex<Standing>>,
    pub(super) metrics: Arc<GatewayMetrics>,
    pub(super) delays: Arc<AnswerDelays>,
}

/// What the driver owns.
pub(super) struct GatewayDriver {
    pub(super) gateway: Gateway,
    pub(super) clock: Clock,
    pub(super) names: Arc<WireNames>,
    pub(super) store: StoreClient,
    pub(super) peers: Peers,
    pub(super) inputs: mpsc::Sender<GatewayInput>,
    pub(super) outlets: Outlets,
    waiting: HashMap<CallerId, WaitingCaller>,
    connections: HashMap<ConnectionId, ServerConnection>,
    of_attempt: HashMap<AttemptId, ConnectionId>,
    follow_up: Vec<GatewayEvent>,
}

/// The channels that bring inputs.
pub(super) struct Inlets {
    pub(super) inputs: mpsc::Receiver<GatewayInput>,
    pub(super) gone: mpsc::UnboundedReceiver<CallerId>,
    pub(super) peers: InputReceiver,
}

impl GatewayDriver {
    pub(super) fn new(
        gateway: Gateway,
        names: Arc<WireNames>,
        store: StoreClient,
        peers: Peers,
        inputs: mpsc::Sender<GatewayInput>,
        outlets: Outlets,
    ) -> Self {
        Self {
            gateway,
            clock: Clock::start(),
            names,
            store,
            peers,
            inputs,
            outlets,
            waiting: HashMap::new(),
            connections: HashMap::new(),
            of_attempt: HashMap::new(),
            follow_up: Vec::new(),
        }
    }

    /// Runs for as long as the process.
    pub(super) async fn run(mut self, mut inlets: Inlets) {
        let mut pauses = PauseDetector::new(self.clock.now(), PAUSE_THRESHOLD);
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        let timer = tokio::time::sleep(LONGEST_SLEEP);
        tokio::pin!(timer);
        let mut batch = Vec::with_capacity(BATCH);
        self.handle(GatewayEvent::Started);
        loop {
            self.settle();
            let due = self.gateway.next_timeout();
            let due = due.unwrap_or(thornbridge_core::Timestamp::MAX);
            timer.as_mut().reset(self.clock.instant(due, LONGEST_SLEEP));
            let mut gone = None;
            let mut peer = None;
            tokio::select! {
                biased;
                count = inlets.inputs.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                caller = inlets.gone.recv() => gone = caller,
                input = inlets.peers.inputs.recv() => peer = input,
                () = &mut timer => {}
                _ = sweep.tick() => self.peers.sweep(),
            }
            self.clock.catch_up();
            if let Some(duration) = pauses.wake(self.clock.now()) {
                self.handle(GatewayEvent::Paused { duration });
            }
            for input in batch.drain(..) {
                self.take(input);
            }
            if let Some(caller) = gone {
                self.caller_gone(caller);
            }
            // Peers are heard in each round: under load a slice that is to stop would go on.
            let more = std::iter::from_fn(|| inlets.peers.inputs.try_recv().ok());
            for input in peer.into_iter().chain(more).take(BATCH) {
                if let Input::Core(event) = input {
                    self.take_peer(event);
                }
            }
        }
    }

    fn handle(&mut self, event: GatewayEvent) {
        self.gateway.handle(self.clock.now(), event);
    }

    fn take(&mut self, input: GatewayInput) {
        match input {
            GatewayInput::Event(event) => {
                self.note_end(&event);
                self.handle(*event);
            }
            GatewayInput::Request(request) => self.take_request(*request),
            GatewayInput::Stop => self.handle(GatewayEvent::StopRequested),
            GatewayInput::Reconfigure(parameters) => {
                self.handle(GatewayEvent::Reconfigured { parameters });
            }
        }
        self.carry_out_all();
    }

    /// Forgets what an event says is over.
    fn note_end(&mut self, event: &GatewayEvent) {
        match event {
            GatewayEvent::ConnectionLost { connection } => {
                self.connections.remove(connection);
            }
            GatewayEvent::Replied { attempt, .. } => {
                self.of_attempt.remove(attempt);
            }
            GatewayEvent::Failed { attempt, .. } => {
                if let Some(connection) = self.of_attempt.remove(attempt) {
                    self.connections.remove(&connection);
                }
            }
            _ => {}
        }
    }

    fn take_request(&mut self, request: CallerRequest) {
        if request.reply.is_closed() {
            return;
        }
        let caller = request.caller;
        let CallerRequest {
            head,
            parts,
            body,
            sent_length,
            reply,
            ..
        } = request;
        let waiting = WaitingCaller::new(parts, body, sent_length, Some(reply));
        self.waiting.insert(caller, waiting);
        self.handle(GatewayEvent::Request { caller, head });
    }

    fn caller_gone(&mut self, caller: CallerId) {
        if self.waiting.remove(&caller).is_some() {
            self.handle(GatewayEvent::CallerDisconnected { caller });
        }
    }

    fn take_peer(&mut self, event: Event) {
        match event {
            Event::PeerMessage { from, message } => {
                self.handle(GatewayEvent::PeerMessage { from, message });
            }
            Event::PeerLinkDown { address } => {
                self.handle(GatewayEvent::PeerLinkDown { address });
            }
            _ => {}
        }
    }

    fn settle(&mut self) {
        if let Some(delay) = self.outlets.delays.take() {
            self.handle(GatewayEvent::AnswerDelayed { delay });
        }
        let due = self.gateway.next_timeout();
        if due.is_some_and(|due| due <= self.clock.now()) {
            self.handle(GatewayEvent::TimerDue);
        }
        self.carry_out_all();
        let standing = Standing {
            members: self.gateway.members(),
            instances: self.gateway.registered_instances(),
            suspects: self.gateway.quarantine_records(),
            version: self.gateway.configuration_version(),
            store_era: self.gateway.store_era(),
            in_flight: self.gateway.in_flight(),
            connections: self.connections.len(),
            ready: *self.outlets.ready.borrow(),
        };
        let mut told = self
            .outlets
            .standing
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *told = standing;
    }

    fn carry_out_all(&mut self) {
        loop {
            while let Some(action) = self.gateway.poll_action() {
                self.carry_out(action);
            }
            if self.follow_up.is_empty() {
                return;
            }
            for event in std::mem::take(&mut self.follow_up) {
                self.handle(event);
            }
        }
    }

    fn carry_out(&mut self, action: GatewayAction) {
        match action {
            GatewayAction::Open {
                connection,
                address,
            } => self.open(connection, address),
            GatewayAction::Close { connection } => self.close(connection),
            GatewayAction::Send {
                connection,
                attempt,
                caller,
                instance,
                caller_timeout,
            } => self.send(connection, attempt, caller, &instance, caller_timeout),
            GatewayAction::Answer { caller, answer } => {
                let waiting = self.waiting.remove(&caller);
                if let Some(reply) = waiting.and_then(|waiting| waiting.reply) {
                    // A caller that went away this very moment needs no answer.
                    let _ = reply.send(DecidedAnswer::now(answer));
                }
            }
            GatewayAction::SendTask { to, caller, task } => self.ask_owner(to, caller, *task),
            GatewayAction::KeepRelayed { caller, relayed } => self.adopt(caller, &relayed),
            GatewayAction::ReleaseRelayed { caller } => {
                self.waiting.remove(&caller);
            }
            GatewayAction::Read {
                kind,
                read,
                what,
                timeout,
            } => self.store.start(kind, read, what, timeout),
            GatewayAction::SendPeer { to, message } => self.send_peer(to, &message),
            GatewayAction::SetReady { ready } => {
                log::info!(ready; "readiness changed");
                self.outlets.ready.send_replace(ready);
            }
            GatewayAction::SetLimits { limits } => {
                self.outlets.limits.send_replace(limits);
            }
            GatewayAction::Finished(summary) => {
                log_lines::finished(&summary);
                self.outlets.metrics.finished(&summary);
            }
            GatewayAction::Changed(change) => {
                log_lines::changed(&change);
                self.outlets.metrics.changed(&change);
            }
        }
    }

    fn send_peer(&mut self, to: SocketAddr, message: &PeerMessage) {
        if !self.peers.send(to, message) {
            let down = GatewayEvent::PeerLinkDown { address: to };
            self.follow_up.push(down);
        }
    }

    fn ask_owner(&mut self, to: SocketAddr, caller: CallerId, task: SliceTask) {
        let Some(waiting) = self.waiting.get_mut(&caller) else {
            return;
        };
        let request = match waiting.relayed() {
            Ok(request) => request,
            Err(error) => {
                log::warn!(error:% = error; "request cannot be relayed");
                let (owner, slice) = (to, task.slice);
                let not_sent = GatewayEvent::TaskNotSent { owner, slice };
                self.follow_up.push(not_sent);
                return;
            }
        };
        let message = PeerMessage::Slice(SliceMessage::Ask { task, request });
        self.send_peer(to, &message);
    }

    fn adopt(&mut self, caller: CallerId, relayed: &SharedBytes) {
        match WaitingCaller::adopted(relayed) {
            Ok(waiting) => {
                self.waiting.insert(caller, waiting);
            }
            Err(error) => {
                log::warn!(error:% = error; "relayed request refused");
                self.follow_up.push(GatewayEvent::RelayMalformed { caller });
            }
        }
    }

    fn open(&mut self, connection: ConnectionId, address: SocketAddr) {
        let (jobs, receiver) = mpsc::unbounded_channel();
        let context = ConnectionContext {
            names: Arc::clone(&self.names),
            inputs: self.inputs.clone(),
        };
        let running = connection::run(connection, address, context, receiver);
        let task = tokio::spawn(running).abort_handle();
        self.connections
            .insert(connection, ServerConnection { jobs, task });
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(open) = self.connections.remove(&connection) {
            open.task.abort();
        }
    }

    fn send(
        &mut self,
        connection: ConnectionId,
        attempt: AttemptId,
        caller: CallerId,
        instance: &BackEndId,
        caller_timeout: Duration,
    ) {
        let job = self.job(attempt, caller, instance, caller_timeout);
        let open = self.connections.get(&connection);
        let sent = match (job, open) {
            (Some(job), Some(open)) => open.jobs.send(job).is_ok(),
            _ => false,
        };
        if sent {
            self.of_attempt.insert(attempt, connection);
            return;
        }
        self.close(connection);
        let failure = ExchangeFailure::NotSent;
        self.follow_up
            .push(GatewayEvent::Failed { attempt, failure });
    }

    /// The caller's request as it goes to a server.
    fn job(
        &self,
        attempt: AttemptId,
        caller: CallerId,
        instance: &BackEndId,
        caller_timeout: Duration,
    ) -> Option<Job> {
        let waiting = self.waiting.get(&caller)?;
        let mut request = Request::new(Full::new(waiting.body.clone()));
        *request.method_mut() = waiting.parts.method.clone();
        *request.uri_mut() = waiting.parts.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let mut headers = waiting.parts.headers.clone();
        let names = &self.names;
        let id = headers.get(&names.request_id)?.clone();
        headers.insert(
            &names.caller_timeout,
            number(caller_timeout.as_millis() as u64),
        );
        let instance = HeaderValue::from_str(instance.as_str()).ok()?;
        headers.insert(&names.expected_instance, instance);
        if waiting.sent_length || !waiting.body.is_empty() {
            headers.insert(CONTENT_LENGTH, number(waiting.body.len() as u64));
        }
        *request.headers_mut() = headers;
        Some(Job {
            attempt,
            id,
            request,
        })
    }
}
