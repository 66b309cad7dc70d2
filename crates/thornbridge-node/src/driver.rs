//! The driver task: owns the core, feeds it events, carries out its actions.

use crate::back_ends::control::{ControlConnections, ControlLimits};
use crate::back_ends::{BackEndConnections, ConnectionLimits};
use crate::clock::{Clock, PauseDetector};
use crate::input::{
    CallerReply, CallerRequest, DriverGauges, Input, InputReceiver, InputSender, Inspection,
    TransportCounters, WaitingCallers,
};
use crate::logging;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::platform_operations::PlatformOperations;
use crate::settings::TransportParameters;
use std::sync::Arc;
use thornbridge_core::{Action, AttemptFailure, CallerId, ConnectionId, Event, Node, Timestamp};
use thornbridge_proto::back_end::Attempt;
use thornbridge_proto::peer::PeerMessage;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// Inputs handled before the core's actions are carried out.
const BATCH: usize = 256;

/// Where the driver tells of itself.
pub(crate) struct Signals {
    /// Measurements.
    pub(crate) metrics: Arc<Metrics>,
    /// Whether callers are taken.
    pub(crate) ready: watch::Sender<bool>,
    /// Cancelled when the core says that nothing is in flight any more.
    pub(crate) stopped: CancellationToken,
}

/// What the driver owns.
pub(crate) struct Driver {
    node: Node,
    clock: Clock,
    transport: TransportParameters,
    callers: WaitingCallers,
    connections: BackEndConnections,
    control: ControlConnections,
    platform: PlatformOperations,
    peers: Peers,
    counters: TransportCounters,
    signals: Signals,
    /// Events that arose while actions were carried out.
    follow_up: Vec<Event>,
}

impl Driver {
    /// A driver of a node that has not started.
    pub(crate) fn new(
        node: Node,
        transport: TransportParameters,
        platform: PlatformOperations,
        peers: Peers,
        inputs: InputSender,
        signals: Signals,
    ) -> Self {
        let control = ControlLimits {
            queue: transport.control_queue,
            timeout: transport.control_timeout,
            idle: transport.control_idle,
        };
        let limits = ConnectionLimits {
            connect_timeout: transport.connect_timeout,
            write_timeout: transport.write_timeout,
        };
        let connections = BackEndConnections::new(
            inputs.clone(),
            limits,
            transport.attempt_grace,
            Arc::clone(&signals.metrics),
        );
        Self {
            node,
            clock: Clock::start(),
            control: ControlConnections::new(control, inputs),
            transport,
            callers: WaitingCallers::new(),
            connections,
            platform,
            peers,
            counters: TransportCounters::default(),
            signals,
            follow_up: Vec::new(),
        }
    }

    /// Runs until `end`.
    pub(crate) async fn run(mut self, mut receiver: InputReceiver, end: CancellationToken) {
        let mut pauses = PauseDetector::new(self.clock.now(), self.transport.pause_threshold);
        let mut ticks = tokio::time::interval(self.transport.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let timer = tokio::time::sleep(self.transport.tick);
        tokio::pin!(timer);
        let mut batch = Vec::with_capacity(BATCH);
        self.handle(Event::Started);
        self.settle();
        loop {
            self.arm(timer.as_mut());
            let mut gone = None;
            let mut ticked = false;
            tokio::select! {
                () = end.cancelled() => break,
                _ = receiver.inputs.recv_many(&mut batch, BATCH) => {}
                caller = receiver.gone.recv() => gone = caller,
                () = &mut timer => {}
                _ = ticks.tick() => ticked = true,
            }
            self.clock.catch_up();
            if let Some(by) = pauses.wake(self.clock.now()) {
                self.counters.pauses += 1;
                self.handle(Event::ClockJumped { by });
            }
            for input in batch.drain(..) {
                self.take(input);
            }
            if let Some(caller) = gone {
                self.caller_gone(caller);
            }
            if ticked {
                self.cut_overdue();
                self.control.sweep();
                self.peers.remove_unused();
            }
            self.settle();
        }
        self.platform.stop_all();
    }

    fn arm(&self, timer: std::pin::Pin<&mut tokio::time::Sleep>) {
        let due = self.node.next_timeout().unwrap_or(Timestamp::MAX);
        let due: Instant = self.clock.instant(due, self.transport.tick);
        if timer.deadline() != due {
            timer.reset(due);
        }
    }

    fn handle(&mut self, event: Event) {
        self.node.handle(self.clock.now(), event);
    }

    /// Handles an event, timing it where it belongs to the control path.
    fn handle_timed(&mut self, event: Event) {
        if !is_control(&event) {
            self.handle(event);
            return;
        }
        let began = std::time::Instant::now();
        self.handle(event);
        self.signals.metrics.control_time(began.elapsed());
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Core(event) => self.handle_timed(event),
            Input::AttemptEnded { connection, event } => {
                let now = self.clock.now();
                self.connections.attempt_ended(now, connection, &event);
                self.handle(event);
            }
            Input::ConnectionLost { connection } => {
                if self.connections.lost(connection) {
                    self.handle(Event::ConnectionLost { connection });
                }
            }
            Input::WatchEnded { watch, event } => {
                if self.platform.watch_ended(watch) {
                    self.handle(event);
                }
            }
            Input::Caller {
                caller,
                request,
                reply,
            } => {
                // The news that it went away may have come first, on its own channel.
                if reply.is_closed() {
                    return;
                }
                self.callers.insert(caller, reply);
                self.handle(match request {
                    CallerRequest::Query(request) => Event::CallerQuery { caller, request },
                    CallerRequest::Action(request) => Event::CallerAction { caller, request },
                });
            }
            Input::Inspect(reply) => {
                // An operator that went away meanwhile needs no answer.
                let _ = reply.send(self.inspection());
            }
        }
    }

    fn caller_gone(&mut self, caller: CallerId) {
        if self.callers.remove(&caller).is_some() {
            self.counters.callers_gone += 1;
            self.handle(Event::CallerDisconnected { caller });
        }
    }

    /// Fires what is due and carries out actions until the core wants nothing more.
    fn settle(&mut self) {
        let due = self.node.next_timeout();
        if due.is_some_and(|due| due <= self.clock.now()) {
            self.handle(Event::TimerDue);
        }
        loop {
            while let Some(action) = self.node.poll_action() {
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

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::OpenConnection {
                connection,
                address,
                ..
            } => self.connections.open(connection, address),
            Action::CloseConnection { connection } => self.connections.close(connection),
            Action::SendAttempt {
                connection,
                attempt,
            } => self.send_attempt(connection, attempt),
            Action::CancelAttempt {
                address,
                request,
                attempt,
                ..
            } => self.control.cancel(address, request, attempt),
            Action::Probe { back_end, address } => {
                if !self.control.probe(address, back_end.clone()) {
                    self.follow_up.push(Event::ProbeFailed { back_end });
                }
            }
            Action::SendPeer { to, message } => {
                if !self.peers.send(to, &message) {
                    self.follow_up.push(Event::PeerLinkDown { address: to });
                }
            }
            Action::Platform { operation, request } => self.platform.start(operation, request),
            Action::Watch { watch, kind, from } => self.platform.watch(watch, kind, from),
            Action::StopWatch { watch } => self.platform.stop_watch(watch),
            Action::AnswerQuery { caller, answer } => {
                self.answer(caller, CallerReply::Query(answer));
            }
            Action::AnswerAction { caller, answer } => {
                self.answer(caller, CallerReply::Action(answer));
            }
            Action::Refuse { caller, refusal } => {
                self.answer(caller, CallerReply::Refusal(refusal));
            }
            Action::SetReady { ready } => {
                logging::readiness(ready);
                self.signals.ready.send_replace(ready);
            }
            Action::Stopped => self.signals.stopped.cancel(),
            Action::StateChanged(change) => logging::state_change(&change),
            Action::Observe(observation) => self.signals.metrics.observe(&observation),
        }
    }

    fn send_attempt(&mut self, connection: ConnectionId, attempt: Attempt) {
        let id = attempt.attempt;
        let now = self.clock.now();
        if self.connections.send(now, connection, attempt).is_err() {
            self.follow_up.push(Event::AttemptFailed {
                attempt: id,
                failure: AttemptFailure::NotSent,
            });
        }
    }

    fn cut_overdue(&mut self) {
        for event in self.connections.cut_overdue(self.clock.now()) {
            if matches!(event, Event::ConnectionLost { .. }) {
                self.counters.connections_cut += 1;
            }
            self.handle(event);
        }
    }

    fn answer(&mut self, caller: CallerId, reply: CallerReply) {
        if let Some(waiting) = self.callers.remove(&caller) {
            // A caller that went away this very moment needs no answer.
            let _ = waiting.send(reply);
        }
    }

    fn inspection(&self) -> Inspection {
        Inspection {
            status: self.node.status(),
            counters: self.node.counters(),
            driver: DriverGauges {
                callers_waiting: self.callers.len() as u64,
                back_end_connections: self.connections.len() as u64,
                attempts_running: self.connections.running() as u64,
                peer_links: self.peers.links() as u64,
            },
            transport: TransportCounters {
                cancellations_dropped: self.control.dropped(),
                peers: self.peers.counters(),
                ..self.counters
            },
        }
    }
}

fn is_control(event: &Event) -> bool {
    match event {
        Event::PeerMessage { message, .. } => !matches!(message, PeerMessage::Action(_)),
        Event::PlatformReply { .. }
        | Event::WatchChanged { .. }
        | Event::WatchEnded { .. }
        | Event::ProbeReplied { .. }
        | Event::ProbeFailed { .. }
        | Event::PeerLinkDown { .. }
        | Event::PeerTasksUnsent { .. } => true,
        _ => false,
    }
}
