//! The state machine of one node: passes events, signals and results between its parts.

mod reporting;
#[cfg(test)]
pub(crate) mod tests;

use crate::action::ActionEngine;
use crate::context::Context;
use crate::control::ControlPlane;
use crate::driver_action::{Action, CallerId, StateChange};
use crate::event::Event;
use crate::limits::{Limits, Release};
use crate::parameters::Parameters;
use crate::query::QueryEngine;
use crate::resources::Resources;
use crate::routing::{AttemptOwner, FinishedAttempt, Router};
use crate::signal::Signal;
use crate::status::NodeReadiness;
use crate::time::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use thornbridge_config::approval::TrustedKey;
use thornbridge_proto::caller::{Executed, Refusal, RefusalReason};
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{Incarnation, NodeName, RegionName, RequestId, ZoneName};

/// Identity, peers and parameters of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSetup {
    /// Node id of this run and advertised peer address.
    pub endpoint: PeerEndpoint,
    /// Address for operators, advertised to the other members.
    pub operator_address: SocketAddr,
    /// Name assigned by the operator.
    pub name: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Addresses of peers to join.
    pub seeds: Vec<SocketAddr>,
    /// Keys whose signatures approve bundles.
    pub trusted_keys: Vec<TrustedKey>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Parameters of all modules.
    pub parameters: Parameters,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Running,
    Leaving,
    Stopped,
}

/// State machine of one node.
#[derive(Debug)]
pub struct Node {
    setup: NodeSetup,
    /// Time of the last event.
    now: Timestamp,
    random: Pcg64Mcg,
    actions: VecDeque<Action>,
    signals: VecDeque<Signal>,
    lifecycle: Lifecycle,
    ready: bool,
    control: ControlPlane,
    router: Router,
    limits: Limits,
    released: Release,
    queries: QueryEngine,
    action_engine: ActionEngine,
}

impl Node {
    /// Creates a node that has not started. The first event must be [`Event::Started`].
    pub fn new(setup: NodeSetup) -> Self {
        let own = MemberRecord {
            endpoint: setup.endpoint,
            operator_address: setup.operator_address,
            name: setup.name.clone(),
            zone: setup.zone.clone(),
            region: setup.region.clone(),
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        let parameters = &setup.parameters;
        let control = ControlPlane::new(
            parameters,
            own,
            setup.seeds.clone(),
            setup.trusted_keys.clone(),
        );
        Self {
            now: Timestamp::ZERO,
            random: Pcg64Mcg::seed_from_u64(setup.seed),
            actions: VecDeque::new(),
            signals: VecDeque::new(),
            lifecycle: Lifecycle::Running,
            ready: false,
            control,
            router: Router::new(parameters.routing.clone()),
            limits: Limits::new(parameters.limits.clone()),
            released: Release::default(),
            queries: QueryEngine::new(parameters.query.clone(), setup.endpoint.node),
            action_engine: ActionEngine::new(parameters.action.clone(), setup.endpoint),
            setup,
        }
    }

    /// Handles one event. `now` must not decrease.
    pub fn handle(&mut self, now: Timestamp, event: Event) {
        self.now = now;
        let mut context = Context::new(now, &mut self.random, &mut self.actions, &mut self.signals);
        let context = &mut context;
        let resources = &mut Resources {
            router: &mut self.router,
            limits: &mut self.limits,
            released: &mut self.released,
        };
        match event {
            Event::Started => self.control.started(context),
            Event::CallerQuery { caller, request } => {
                if self.lifecycle == Lifecycle::Running {
                    self.queries.start(context, resources, caller, request);
                } else {
                    let id = self.queries.next_request_id();
                    refuse_leaving(context, caller, id);
                }
            }
            Event::CallerAction { caller, request } => {
                let id = self.queries.next_request_id();
                if self.lifecycle == Lifecycle::Running {
                    self.action_engine
                        .start(context, resources, caller, id, request);
                } else {
                    refuse_leaving(context, caller, id);
                }
            }
            Event::CallerDisconnected { caller } => {
                if !self.queries.caller_disconnected(context, resources, caller) {
                    self.action_engine.caller_disconnected(caller);
                }
            }
            Event::ConnectionOpened { connection } => {
                self.router.connection_opened(context, connection);
            }
            Event::ConnectionLost { connection } => {
                self.router.connection_lost(context, connection);
            }
            Event::AttemptReplied {
                attempt,
                reply,
                load,
            } => {
                let finished = self.router.attempt_replied(context, attempt, reply, load);
                self.dispatch_finished(now, finished);
            }
            Event::AttemptFailed { attempt, failure } => {
                let finished = self.router.attempt_failed(context, attempt, failure);
                self.dispatch_finished(now, finished);
            }
            Event::ProbeReplied { back_end, report } => {
                self.router.probe_replied(context, &back_end, &report);
                self.queries.apply_load_report(&back_end, &report);
                let health = &mut self.control.health;
                health.probe_replied(context, &back_end, &report);
            }
            Event::ProbeFailed { back_end } => {
                self.router.probe_failed(context, &back_end);
                self.control.health.probe_failed(context, &back_end);
            }
            Event::PeerMessage {
                from,
                message: PeerMessage::Action(message),
            } => {
                self.action_engine
                    .peer_message(context, resources, from, message);
            }
            Event::PeerMessage { from, message } => {
                self.control.peer_message(context, from, message);
            }
            Event::PeerLinkDown { address } => self.control.link_down(context, address),
            Event::PeerTasksUnsent { .. } => {}
            Event::PlatformReply { operation, result } => {
                self.control.platform_reply(context, operation, &result);
                self.action_engine
                    .platform_reply(context, resources, operation, &result);
            }
            Event::WatchChanged { watch, change } => {
                self.control.watch_changed(context, watch, &change);
            }
            Event::WatchEnded { watch, end } => self.control.watch_ended(context, watch, end),
            Event::TimerDue => self.timer_due(now),
            Event::StopRequested => self.stop_requested(now),
            Event::ClockJumped { .. } => self.control.clock_jumped(context),
        }
        self.process_pending(now);
    }

    /// Next action for the driver to execute; `None` if there is none.
    pub fn poll_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Time by which [`Event::TimerDue`] must be handled.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [
            self.control.next_timeout(),
            self.router.next_timeout(),
            self.limits.next_timeout(),
            self.queries.next_timeout(),
            self.action_engine.next_timeout(),
        ];
        timeouts.into_iter().flatten().min()
    }

    fn context(&mut self, now: Timestamp) -> Context<'_> {
        Context::new(now, &mut self.random, &mut self.actions, &mut self.signals)
    }

    fn timer_due(&mut self, now: Timestamp) {
        let mut context = Context::new(now, &mut self.random, &mut self.actions, &mut self.signals);
        self.control.timer_due(&mut context);
        let resources = &mut Resources {
            router: &mut self.router,
            limits: &mut self.limits,
            released: &mut self.released,
        };
        self.queries.timer_due(&mut context, resources);
        self.action_engine.timer_due(&mut context, resources);
        let release = self.limits.timer_due(&context);
        self.released.extend(release);
        self.router.timer_due(&mut context);
    }

    fn stop_requested(&mut self, now: Timestamp) {
        if self.lifecycle != Lifecycle::Running {
            return;
        }
        self.lifecycle = Lifecycle::Leaving;
        let mut context = Context::new(now, &mut self.random, &mut self.actions, &mut self.signals);
        self.control.leave(&mut context);
        self.action_engine.leave(now);
        context.act(Action::StateChanged(StateChange::Lifecycle {
            state: "leaving".to_owned(),
        }));
    }

    fn dispatch_finished(
        &mut self,
        now: Timestamp,
        finished: impl IntoIterator<Item = FinishedAttempt>,
    ) {
        for finished in finished {
            let mut context =
                Context::new(now, &mut self.random, &mut self.actions, &mut self.signals);
            let resources = &mut Resources {
                router: &mut self.router,
                limits: &mut self.limits,
                released: &mut self.released,
            };
            match finished.owner {
                AttemptOwner::Query => {
                    self.queries
                        .attempt_finished(&mut context, resources, finished);
                }
                AttemptOwner::Action => {
                    self.action_engine
                        .attempt_finished(&mut context, resources, finished);
                }
            }
        }
    }

    /// Dispatches pending signals, finished attempts and releases until there are none, then
    /// reports changes of readiness and the end of a planned stop.
    fn process_pending(&mut self, now: Timestamp) {
        loop {
            if let Some(signal) = self.signals.pop_front() {
                self.dispatch_signal(now, signal);
            } else if let Some(finished) = self.router.poll_finished() {
                self.dispatch_finished(now, [finished]);
            } else if !self.released.is_empty() {
                self.dispatch_release(now);
            } else {
                break;
            }
        }
        self.poll_action_platform_requests(now);
        let ready = self.readiness() == NodeReadiness::Ready;
        if ready != self.ready {
            self.ready = ready;
            self.context(now).act(Action::SetReady { ready });
        }
        let busy = self.queries.in_flight() + self.action_engine.in_flight() > 0;
        if self.lifecycle == Lifecycle::Leaving && !busy {
            self.lifecycle = Lifecycle::Stopped;
            self.context(now).act(Action::Stopped);
        }
    }

    /// Passes the lease state to the action engine and sends the engine's next request to the
    /// platform.
    fn poll_action_platform_requests(&mut self, now: Timestamp) {
        let holds_lease = self.control.readers.held_token(now).is_some();
        self.action_engine.set_platform_reader(now, holds_lease);
        let control = &mut self.control;
        let request = self
            .action_engine
            .poll_platform_request(|| control.next_operation());
        if let Some((operation, request)) = request {
            self.context(now)
                .act(Action::Platform { operation, request });
        }
    }

    /// Runs and refuses queued requests that the limits have released.
    fn dispatch_release(&mut self, now: Timestamp) {
        let release = std::mem::take(&mut self.released);
        let mut context = Context::new(now, &mut self.random, &mut self.actions, &mut self.signals);
        let resources = &mut Resources {
            router: &mut self.router,
            limits: &mut self.limits,
            released: &mut self.released,
        };
        for request in release.run {
            if self.queries.owns(request) {
                self.queries.run(&mut context, resources, request);
            } else {
                self.action_engine.run(&mut context, resources, request);
            }
        }
        for (request, refusal) in release.refuse {
            if self.queries.owns(request) {
                self.queries.refuse_queued(&mut context, request, refusal);
            } else {
                self.action_engine
                    .refuse_queued(&mut context, request, refusal);
            }
        }
    }

    fn dispatch_signal(&mut self, now: Timestamp, signal: Signal) {
        let mut context = Context::new(now, &mut self.random, &mut self.actions, &mut self.signals);
        match signal {
            Signal::ConfigurationActivated(active) => {
                self.router.install(&mut context, &active);
                self.queries.install(&active);
                self.control.health.install(&mut context, &active);
                self.action_engine.install(&active);
                let release = self.limits.install(&mut context, &active);
                self.released.extend(release);
            }
            Signal::MembersChanged(view) => {
                self.router.members_changed(&mut context, &view);
                self.control.members_changed(&mut context, &view);
                self.action_engine.members_changed(&view);
            }
            Signal::BackEndHealthUpdated(record) => {
                self.router.apply_health_record(&mut context, &record);
                self.queries.apply_health_record(&record);
            }
            Signal::BackEndObserved(record) => {
                self.control.health.apply_observation(&mut context, &record);
            }
        }
    }
}

fn refuse_leaving(context: &mut Context<'_>, caller: CallerId, request_id: RequestId) {
    let refusal = Refusal {
        request_id,
        reason: RefusalReason::Leaving,
        executed: Executed::No,
        retry_after: Some(std::time::Duration::ZERO),
        detail: "node is stopping; retry at another node".to_owned(),
    };
    context.act(Action::Refuse { caller, refusal });
}
