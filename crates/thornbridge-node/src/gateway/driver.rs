//! Driver task of a gateway: owns the core, feeds it events and runs its actions.

use super::answer_delay::{AnswerDelays, DecidedAnswer};
use super::body_memory::BodyMemory;
use super::connection::{self, ConnectionContext, Job};
use super::headers::{HeaderNames, number_value};
use super::log_lines;
use super::metrics::{GatewayMetrics, GaugeValues};
use super::pending::PendingRequest;
use super::planned_stop::StopSchedule;
use super::store::StateWrite;
use super::store_calls::StoreCalls;
use crate::caller_table::CallerTable;
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

/// Maximum number of inputs received in one iteration, for each channel.
const MAX_BATCH: usize = 64;
/// Maximum time between two iterations.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// Time between iterations above which a pause of the process is reported to the core.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);
/// Interval between removals of unused peers from the link table.
const PEER_SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Request of a caller, with its body.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) caller: CallerId,
    pub(super) head: RequestHead,
    /// Method, target and end-to-end headers.
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    /// Whether the caller sent `Content-Length`; servers then receive it for an empty body, too.
    pub(super) sent_length: bool,
    pub(super) reply: oneshot::Sender<DecidedAnswer>,
}

/// Input of the driver.
#[derive(Debug)]
pub(super) enum GatewayInput {
    Event(Box<GatewayEvent>),
    Request(Box<CallerRequest>),
    Stop(StopSchedule),
    Reconfigure(Box<GatewayParameters>),
}

#[derive(Debug)]
struct ServerConnection {
    jobs: mpsc::UnboundedSender<Job>,
    task: AbortHandle,
}

/// State that the driver publishes to other tasks.
pub(super) struct DriverOutputs {
    pub(super) ready: watch::Sender<bool>,
    pub(super) limits: watch::Sender<CallerLimits>,
    pub(super) gauges: Arc<Mutex<GaugeValues>>,
    pub(super) metrics: Arc<GatewayMetrics>,
    pub(super) answer_delays: Arc<AnswerDelays>,
    pub(super) callers: Arc<CallerTable>,
}

/// Owner of the core and of the server connections.
pub(super) struct GatewayDriver {
    pub(super) gateway: Gateway,
    pub(super) clock: Clock,
    pub(super) names: Arc<HeaderNames>,
    pub(super) store: StoreCalls,
    pub(super) peers: Peers,
    pub(super) inputs: mpsc::Sender<GatewayInput>,
    pub(super) outputs: DriverOutputs,
    body_memory: Arc<BodyMemory>,
    pending: HashMap<CallerId, PendingRequest>,
    connections: HashMap<ConnectionId, ServerConnection>,
    connection_of_attempt: HashMap<AttemptId, ConnectionId>,
    /// Events that result from actions; handled after the core's current actions.
    follow_up: Vec<GatewayEvent>,
}

/// Channels that the driver receives from.
pub(super) struct DriverInputs {
    pub(super) inputs: mpsc::Receiver<GatewayInput>,
    pub(super) disconnected: mpsc::UnboundedReceiver<CallerId>,
    pub(super) peers: InputReceiver,
}

impl GatewayDriver {
    pub(super) fn new(
        gateway: Gateway,
        names: Arc<HeaderNames>,
        store: StoreCalls,
        peers: Peers,
        inputs: mpsc::Sender<GatewayInput>,
        outputs: DriverOutputs,
        body_memory: Arc<BodyMemory>,
    ) -> Self {
        Self {
            gateway,
            clock: Clock::start(),
            names,
            store,
            peers,
            inputs,
            outputs,
            body_memory,
            pending: HashMap::new(),
            connections: HashMap::new(),
            connection_of_attempt: HashMap::new(),
            follow_up: Vec::new(),
        }
    }

    /// Runs for the lifetime of the process.
    pub(super) async fn run(mut self, mut channels: DriverInputs) {
        let mut pauses = PauseDetector::new(self.clock.now(), PAUSE_THRESHOLD);
        let mut sweep = tokio::time::interval(PEER_SWEEP_INTERVAL);
        let timer = tokio::time::sleep(MAX_SLEEP);
        tokio::pin!(timer);
        let mut batch = Vec::with_capacity(MAX_BATCH);
        self.handle(GatewayEvent::Started);
        loop {
            self.finish_iteration();
            let due = self.gateway.next_timeout();
            let due = due.unwrap_or(thornbridge_core::Timestamp::MAX);
            timer.as_mut().reset(self.clock.instant(due, MAX_SLEEP));
            let mut disconnected = None;
            let mut peer_input = None;
            tokio::select! {
                biased;
                count = channels.inputs.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                caller = channels.disconnected.recv() => disconnected = caller,
                input = channels.peers.inputs.recv() => peer_input = input,
                () = &mut timer => {}
                _ = sweep.tick() => self.peers.remove_unused(),
            }
            self.clock.catch_up();
            if let Some(duration) = pauses.wake(self.clock.now()) {
                self.handle(GatewayEvent::Paused { duration });
            }
            for input in batch.drain(..) {
                self.handle_input(input);
            }
            if let Some(caller) = disconnected {
                self.caller_disconnected(caller);
            }
            // Receive from peers in every iteration: under load, the biased select would delay
            // messages that stop slices.
            let more = std::iter::from_fn(|| channels.peers.inputs.try_recv().ok());
            for input in peer_input.into_iter().chain(more).take(MAX_BATCH) {
                if let Input::Core(event) = input {
                    self.handle_peer_event(event);
                }
            }
        }
    }

    fn handle(&mut self, event: GatewayEvent) {
        self.gateway.handle(self.clock.now(), event);
    }

    fn handle_input(&mut self, input: GatewayInput) {
        match input {
            GatewayInput::Event(event) => {
                self.remove_ended(&event);
                self.handle(*event);
            }
            GatewayInput::Request(request) => self.handle_request(*request),
            GatewayInput::Stop(schedule) => self.handle(GatewayEvent::StopRequested {
                serve_for: schedule.serve_for,
                answer_within: schedule.answer_within,
            }),
            GatewayInput::Reconfigure(parameters) => {
                self.handle(GatewayEvent::Reconfigured { parameters });
            }
        }
        self.run_actions();
    }

    /// Removes the attempt or connection that ends with an event.
    fn remove_ended(&mut self, event: &GatewayEvent) {
        match event {
            GatewayEvent::ConnectionLost { connection } => {
                self.connections.remove(connection);
            }
            GatewayEvent::Replied { attempt, .. } => {
                self.connection_of_attempt.remove(attempt);
            }
            GatewayEvent::Failed { attempt, .. } => {
                if let Some(connection) = self.connection_of_attempt.remove(attempt) {
                    self.connections.remove(&connection);
                }
            }
            _ => {}
        }
    }

    fn handle_request(&mut self, request: CallerRequest) {
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
        let pending = PendingRequest::new(parts, body, sent_length, Some(reply));
        self.pending.insert(caller, pending);
        self.handle(GatewayEvent::Request { caller, head });
    }

    fn caller_disconnected(&mut self, caller: CallerId) {
        if self.pending.remove(&caller).is_some() {
            self.handle(GatewayEvent::CallerDisconnected { caller });
        }
    }

    fn handle_peer_event(&mut self, event: Event) {
        match event {
            Event::PeerMessage { from, message } => {
                self.handle(GatewayEvent::PeerMessage { from, message });
            }
            Event::PeerTasksUnsent { address, slices } => {
                let owner = address;
                self.handle(GatewayEvent::OwnerUnreachable { owner, slices });
            }
            Event::PeerLinkDown { address } => {
                self.handle(GatewayEvent::PeerLinkDown { address });
            }
            _ => {}
        }
    }

    fn finish_iteration(&mut self) {
        if let Some(delay) = self.outputs.answer_delays.take_newest() {
            self.handle(GatewayEvent::AnswerDelayed { delay });
        }
        let due = self.gateway.next_timeout();
        if due.is_some_and(|due| due <= self.clock.now()) {
            self.handle(GatewayEvent::TimerDue);
        }
        self.run_actions();
        let gauges = GaugeValues {
            members: self.gateway.members(),
            instances: self.gateway.registered_instances(),
            quarantine_records: self.gateway.quarantine_records(),
            configuration_version: self.gateway.configuration_version(),
            store_era: self.gateway.store_era(),
            in_flight: self.gateway.in_flight(),
            connections: self.connections.len(),
            ready: *self.outputs.ready.borrow(),
            callers: self.outputs.callers.usage(),
        };
        let mut published = self
            .outputs
            .gauges
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *published = gauges;
    }

    fn run_actions(&mut self) {
        loop {
            while let Some(action) = self.gateway.poll_action() {
                self.run_action(action);
            }
            if self.follow_up.is_empty() {
                return;
            }
            for event in std::mem::take(&mut self.follow_up) {
                self.handle(event);
            }
        }
    }

    fn run_action(&mut self, action: GatewayAction) {
        match action {
            GatewayAction::Open {
                connection,
                address,
            } => self.open_connection(connection, address),
            GatewayAction::Close { connection } => self.close_connection(connection),
            GatewayAction::Send {
                connection,
                attempt,
                caller,
                instance,
                caller_timeout,
            } => self.send_attempt(connection, attempt, caller, &instance, caller_timeout),
            GatewayAction::Answer { caller, answer } => {
                let pending = self.pending.remove(&caller);
                if let Some(reply) = pending.and_then(|pending| pending.reply) {
                    // Fails if the caller has just disconnected.
                    let _ = reply.send(DecidedAnswer::now(answer));
                }
            }
            GatewayAction::SendTask { to, caller, task } => self.send_task(to, caller, *task),
            GatewayAction::KeepRelayed { caller, relayed } => self.keep_relayed(caller, &relayed),
            GatewayAction::ReleaseRelayed { caller } => {
                self.pending.remove(&caller);
            }
            GatewayAction::Read {
                kind,
                read,
                what,
                timeout,
            } => self.store.read(kind, read, what, timeout),
            GatewayAction::SendPeer { to, message } => self.send_peer(to, &message),
            GatewayAction::WriteState {
                service,
                write,
                based_on,
                target,
                state,
                timeout,
            } => {
                let state_write = StateWrite {
                    service,
                    based_on,
                    target,
                    state,
                };
                self.store.write(write, state_write, timeout);
            }
            GatewayAction::SetReady { ready } => {
                log::info!(ready; "readiness changed");
                self.outputs.ready.send_replace(ready);
            }
            GatewayAction::SetLimits { limits } => {
                self.outputs.limits.send_replace(limits);
            }
            GatewayAction::Finished(summary) => {
                log_lines::log_request(&summary);
                self.outputs.metrics.record_request(&summary);
            }
            GatewayAction::Changed(change) => {
                log_lines::log_change(&change);
                self.outputs.metrics.record_change(&change);
            }
        }
    }

    fn send_peer(&mut self, to: SocketAddr, message: &PeerMessage) {
        if !self.peers.send(to, message) {
            let link_down = GatewayEvent::PeerLinkDown { address: to };
            self.follow_up.push(link_down);
        }
    }

    fn send_task(&mut self, to: SocketAddr, caller: CallerId, task: SliceTask) {
        let Some(pending) = self.pending.get_mut(&caller) else {
            return;
        };
        let (owner, slice) = (to, task.slice);
        let not_sent = GatewayEvent::TaskNotSent { owner, slice };
        if !pending.is_relayable() {
            self.follow_up.push(not_sent);
            return;
        }
        let request = match pending.encode_for_relay() {
            Ok(request) => request,
            Err(error) => {
                log::warn!(owner:% = to, error:% = error; "cannot encode request for slice owner");
                self.follow_up.push(not_sent);
                return;
            }
        };
        let message = PeerMessage::Slice(SliceMessage::Ask { task, request });
        self.send_peer(to, &message);
    }

    fn keep_relayed(&mut self, caller: CallerId, relayed: &SharedBytes) {
        match PendingRequest::from_relayed(relayed) {
            Ok(pending) => {
                self.pending.insert(caller, pending);
            }
            Err(error) => {
                log::warn!(error:% = error; "relayed request rejected: malformed");
                self.follow_up.push(GatewayEvent::RelayMalformed { caller });
            }
        }
    }

    fn open_connection(&mut self, connection: ConnectionId, address: SocketAddr) {
        let (jobs, receiver) = mpsc::unbounded_channel();
        let context = ConnectionContext {
            names: Arc::clone(&self.names),
            metrics: Arc::clone(&self.outputs.metrics),
            body_memory: Arc::clone(&self.body_memory),
            inputs: self.inputs.clone(),
        };
        let running = connection::run(connection, address, context, receiver);
        let task = tokio::spawn(running).abort_handle();
        self.connections
            .insert(connection, ServerConnection { jobs, task });
    }

    fn close_connection(&mut self, connection: ConnectionId) {
        if let Some(open) = self.connections.remove(&connection) {
            open.task.abort();
        }
    }

    fn send_attempt(
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
            self.connection_of_attempt.insert(attempt, connection);
            return;
        }
        self.close_connection(connection);
        let failure = ExchangeFailure::NotSent;
        self.follow_up
            .push(GatewayEvent::Failed { attempt, failure });
    }

    /// Builds the request to send to a server; `None` if the caller is gone or a header is
    /// missing or invalid.
    fn job(
        &self,
        attempt: AttemptId,
        caller: CallerId,
        instance: &BackEndId,
        caller_timeout: Duration,
    ) -> Option<Job> {
        let pending = self.pending.get(&caller)?;
        let mut request = Request::new(Full::new(pending.body.clone()));
        *request.method_mut() = pending.parts.method.clone();
        *request.uri_mut() = pending.parts.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let mut headers = pending.parts.headers.clone();
        let names = &self.names;
        let request_id = headers.get(&names.request_id)?.clone();
        headers.insert(
            &names.caller_timeout,
            number_value(caller_timeout.as_millis() as u64),
        );
        let instance = HeaderValue::from_str(instance.as_str()).ok()?;
        headers.insert(&names.expected_instance, instance);
        if pending.sent_length || !pending.body.is_empty() {
            headers.insert(CONTENT_LENGTH, number_value(pending.body.len() as u64));
        }
        *request.headers_mut() = headers;
        Some(Job {
            attempt,
            request_id,
            request,
        })
    }
}
