//! Simulated environment of the engines: network, store, back ends and callers.

use crate::action::{ActionEngine, ActionParameters};
use crate::configuration::ActiveConfiguration;
use crate::limits::{LimitParameters, Limits, Release};
use crate::membership::MemberView;
use crate::node::tests::harness::BundleSpec;
use crate::routing::{FinishedAttempt, Router, RoutingParameters};
use crate::{Action, AttemptFailure, CallerId, Context, OperationId, Resources, Signal, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::{CompletenessPolicy, ServiceKind};
use thornbridge_proto::back_end::{Attempt, BackEndReply, ReplyOutcome, Work};
use thornbridge_proto::caller::{ActionAnswer, ActionRequest, Executed, Refusal};
use thornbridge_proto::peer::action::ActionMessage;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, Precondition, ResourceVersion,
    StoredObject,
};
use thornbridge_proto::{Incarnation, NodeId, RequestId};

/// A simulated node; a restart replaces its engine under a new node id.
pub struct Host {
    pub engine: ActionEngine,
    pub endpoint: PeerEndpoint,
    pub is_reader: bool,
    pub leaving: bool,
    router: Router,
    limits: Limits,
    released: Release,
    random: Pcg64Mcg,
    actions: VecDeque<Action>,
    signals: VecDeque<Signal>,
    last_request: u64,
    last_operation: u64,
}

/// A message in flight.
#[derive(Clone)]
pub struct Packet {
    pub from: PeerEndpoint,
    pub to: std::net::SocketAddr,
    pub message: ActionMessage,
}

/// A request to the store in flight.
pub struct StoreRequest {
    pub host: usize,
    pub node: NodeId,
    pub operation: OperationId,
    pub request: PlatformRequest,
}

/// An attempt in flight at a back end.
pub struct RunningAttempt {
    pub host: usize,
    pub node: NodeId,
    pub attempt: Attempt,
}

/// Response to a caller.
#[derive(Clone, Debug)]
pub enum Response {
    Answer(ActionAnswer),
    Refusal(Refusal),
}

/// End of an attempt at a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Done,
    Failed,
    Shed,
    Leaving,
    Expired,
    NotSent,
    BrokenAfterRun,
    BrokenBeforeRun,
    Malformed,
}

/// Fault injected into a request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    None,
    AnswerLost,
    Unreachable,
}

/// The engines and their simulated environment.
pub struct Cluster {
    pub hosts: Vec<Host>,
    pub now: Timestamp,
    pub network: Vec<Packet>,
    pub store_requests: Vec<StoreRequest>,
    pub running: Vec<RunningAttempt>,
    pub responses: BTreeMap<CallerId, Response>,
    /// Executions by key.
    pub executions: BTreeMap<String, u32>,
    executed_requests: BTreeMap<RequestId, u32>,
    stored_group: Option<StoredObject>,
    active: Arc<ActiveConfiguration>,
    last_caller: u64,
    last_node: u64,
    parameters: ActionParameters,
}

pub const SERVICE: &str = "search";

fn active_configuration() -> Arc<ActiveConfiguration> {
    let mut spec = BundleSpec::new(CompletenessPolicy::CoverageFirst);
    spec.shards = 2;
    spec.replicas = 2;
    spec.active_configuration_with(|bundle| bundle.services[0].kind = ServiceKind::Action)
}

impl Cluster {
    pub fn new(hosts: usize) -> Self {
        Self::with_parameters(hosts, |_| {})
    }

    pub fn with_parameters(hosts: usize, change: impl FnOnce(&mut ActionParameters)) -> Self {
        let mut parameters = ActionParameters {
            page_records: 2,
            ..ActionParameters::default()
        };
        change(&mut parameters);
        let mut cluster = Self {
            hosts: Vec::new(),
            now: Timestamp::ZERO + Duration::from_secs(10),
            network: Vec::new(),
            store_requests: Vec::new(),
            running: Vec::new(),
            responses: BTreeMap::new(),
            executions: BTreeMap::new(),
            executed_requests: BTreeMap::new(),
            stored_group: None,
            active: active_configuration(),
            last_caller: 0,
            last_node: 0,
            parameters,
        };
        for index in 0..hosts {
            let host = cluster.new_host(index);
            cluster.hosts.push(host);
        }
        for index in 0..hosts {
            cluster.install(index);
            cluster.set_view(index, u32::MAX);
        }
        cluster
    }

    fn new_host(&mut self, index: usize) -> Host {
        self.last_node += 1;
        let endpoint = PeerEndpoint {
            node: NodeId(self.last_node * 1_000 + index as u64),
            address: ([127, 0, 0, 1], 100 + index as u16).into(),
        };
        Host {
            engine: ActionEngine::new(self.parameters.clone(), endpoint),
            endpoint,
            is_reader: false,
            leaving: false,
            router: Router::new(RoutingParameters::default()),
            limits: Limits::new(LimitParameters::default()),
            released: Release::default(),
            random: Pcg64Mcg::seed_from_u64(endpoint.node.0),
            actions: VecDeque::new(),
            signals: VecDeque::new(),
            last_request: 0,
            last_operation: 0,
        }
    }

    fn install(&mut self, index: usize) {
        let active = Arc::clone(&self.active);
        self.call_engine(index, |engine, context, resources| {
            resources.router.install(context, &active);
            let release = resources.limits.install(context, &active);
            resources.released.extend(release);
            engine.install(&active);
        });
    }

    /// Sets one node's member list to the nodes in the mask and itself.
    pub fn set_view(&mut self, index: usize, mask: u32) {
        let record = |host: &Host| MemberRecord {
            endpoint: host.endpoint,
            name: "node".into(),
            zone: "a".into(),
            operator_address: ([127, 0, 0, 1], 8).into(),
            region: "r".into(),
            incarnation: Incarnation(0),
            state: match host.leaving {
                true => MemberState::Leaving,
                false => MemberState::Alive,
            },
        };
        let others = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index && mask & (1 << other) != 0)
            .map(|(_, host)| record(host))
            .collect();
        let view = Arc::new(MemberView::new(record(&self.hosts[index]), others));
        self.call_engine(index, |engine, context, resources| {
            resources.router.members_changed(context, &view);
            engine.members_changed(&view);
        });
    }

    /// Calls one engine and performs the resulting actions.
    fn call_engine(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut ActionEngine, &mut Context<'_>, &mut Resources<'_>),
    ) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let mut context = Context::new(now, &mut host.random, &mut host.actions, &mut host.signals);
        let mut resources = Resources {
            router: &mut host.router,
            limits: &mut host.limits,
            released: &mut host.released,
        };
        call(&mut host.engine, &mut context, &mut resources);
        host.process_events(now);
        self.perform_actions(index);
    }

    fn perform_actions(&mut self, index: usize) {
        while let Some(action) = self.hosts[index].actions.pop_front() {
            let endpoint = self.hosts[index].endpoint;
            match action {
                Action::OpenConnection { connection, .. } => {
                    self.call_engine(index, |_, context, resources| {
                        resources.router.connection_opened(context, connection);
                    });
                }
                Action::SendAttempt { attempt, .. } => self.running.push(RunningAttempt {
                    host: index,
                    node: endpoint.node,
                    attempt,
                }),
                Action::SendPeer { to, message } => {
                    let PeerMessage::Action(message) = message else {
                        continue;
                    };
                    self.network.push(Packet {
                        from: endpoint,
                        to,
                        message,
                    });
                }
                Action::Platform { operation, request } => self.store_requests.push(StoreRequest {
                    host: index,
                    node: endpoint.node,
                    operation,
                    request,
                }),
                Action::AnswerAction { caller, answer } => {
                    let ran = self.was_executed(&answer.outcome);
                    assert!(ran, "an action that did not run was answered: {answer:?}");
                    self.record_response(caller, Response::Answer(answer));
                }
                Action::Refuse { caller, refusal } => {
                    let ran = self.executed_requests.contains_key(&refusal.request_id);
                    let says_no = refusal.executed == Executed::No;
                    assert!(
                        !(ran && says_no),
                        "an action that ran was refused as not run: {refusal:?}"
                    );
                    self.record_response(caller, Response::Refusal(refusal));
                }
                _ => {}
            }
        }
    }

    fn was_executed(&self, outcome: &str) -> bool {
        self.executions.keys().any(|key| outcome == outcome_of(key))
    }

    fn record_response(&mut self, caller: CallerId, response: Response) {
        let earlier = self.responses.insert(caller, response);
        assert!(earlier.is_none(), "caller {caller:?} was answered twice");
    }

    pub fn send_action(&mut self, index: usize, key: &str, payload: &str) -> CallerId {
        self.last_caller += 1;
        let caller = CallerId(self.last_caller);
        let host = &mut self.hosts[index];
        host.last_request += 1;
        let request_id = RequestId {
            node: host.endpoint.node,
            sequence: host.last_request,
        };
        let request = ActionRequest {
            service: SERVICE.into(),
            key: key.to_owned(),
            payload: payload.to_owned(),
            timeout: None,
        };
        self.call_engine(index, |engine, context, resources| {
            engine.start(context, resources, caller, request_id, request);
        });
        caller
    }

    pub fn deliver(&mut self, packet: Packet) {
        let Some(index) = self
            .hosts
            .iter()
            .position(|host| host.endpoint.address == packet.to)
        else {
            return;
        };
        self.call_engine(index, |engine, context, resources| {
            engine.peer_message(context, resources, packet.from, packet.message);
        });
    }

    pub fn complete_store_request(&mut self, position: usize, fault: StoreFault) {
        let store_request = self.store_requests.remove(position);
        let result = match fault {
            StoreFault::Unreachable => Err(PlatformFailure::Unreachable),
            StoreFault::None => self.apply_to_store(store_request.request),
            StoreFault::AnswerLost => {
                let _ = self.apply_to_store(store_request.request);
                Err(PlatformFailure::NoAnswer)
            }
        };
        if self.hosts[store_request.host].endpoint.node == store_request.node {
            self.call_engine(store_request.host, |engine, context, resources| {
                engine.platform_reply(context, resources, store_request.operation, &result);
            });
        }
    }

    fn apply_to_store(
        &mut self,
        request: PlatformRequest,
    ) -> Result<PlatformResponse, PlatformFailure> {
        match request {
            PlatformRequest::Get { .. } => Ok(PlatformResponse::Object(self.stored_group.clone())),
            PlatformRequest::Put {
                name,
                body,
                precondition,
                ..
            } => {
                let current = self
                    .stored_group
                    .as_ref()
                    .map(|object| object.resource_version);
                let expected = match precondition {
                    Precondition::Absent => None,
                    Precondition::Version(version) => Some(version),
                };
                if current != expected {
                    let current = self.stored_group.clone();
                    return Err(PlatformFailure::Conflict { current });
                }
                let version = ResourceVersion(current.map_or(1, |version| version.0 + 1));
                self.stored_group = Some(StoredObject {
                    kind: ObjectKind::ClaimGroup,
                    name,
                    resource_version: version,
                    body,
                });
                Ok(PlatformResponse::Written { version })
            }
            _ => Err(PlatformFailure::Unreachable),
        }
    }

    pub fn end_attempt(&mut self, position: usize, end: AttemptEnd) {
        let running = self.running.remove(position);
        let Work::Action { key, .. } = &running.attempt.work else {
            unreachable!("only actions are sent");
        };
        let is_executed = [
            AttemptEnd::Done,
            AttemptEnd::Failed,
            AttemptEnd::BrokenAfterRun,
            AttemptEnd::Malformed,
        ]
        .contains(&end);
        if is_executed {
            let count = self.executions.entry(key.to_string()).or_default();
            *count += 1;
            assert!(*count <= 1, "key {key} ran twice");
            *self
                .executed_requests
                .entry(running.attempt.request)
                .or_default() += 1;
        }
        if self.hosts[running.host].endpoint.node != running.node {
            return;
        }
        let outcome = match end {
            AttemptEnd::Done => Ok(ReplyOutcome::Done {
                outcome: outcome_of(key),
            }),
            AttemptEnd::Failed => Ok(ReplyOutcome::Failed {
                detail: "disk".to_owned(),
            }),
            AttemptEnd::Shed => Ok(ReplyOutcome::Shed { retry_after_ms: 1 }),
            AttemptEnd::Leaving => Ok(ReplyOutcome::Leaving),
            AttemptEnd::Expired => Ok(ReplyOutcome::Expired),
            AttemptEnd::NotSent => Err(AttemptFailure::NotSent),
            AttemptEnd::BrokenAfterRun | AttemptEnd::BrokenBeforeRun => {
                Err(AttemptFailure::ConnectionBroken)
            }
            AttemptEnd::Malformed => Err(AttemptFailure::MalformedReply),
        };
        self.call_engine(running.host, |engine, context, resources| {
            let id = running.attempt.attempt;
            let finished: Option<FinishedAttempt> = match outcome {
                Ok(outcome) => {
                    let reply = BackEndReply {
                        request: running.attempt.request,
                        attempt: id,
                        shard: running.attempt.shard,
                        outcome,
                    };
                    resources.router.attempt_replied(context, id, reply, None)
                }
                Err(failure) => resources.router.attempt_failed(context, id, failure),
            };
            if let Some(finished) = finished {
                engine.attempt_finished(context, resources, finished);
            }
        });
    }

    pub fn set_platform_reader(&mut self, index: usize, is_reader: bool) {
        self.hosts[index].is_reader = is_reader;
        self.tick(index);
    }

    /// Crashes a node and starts another one at the same address.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index] = self.new_host(index);
        self.install(index);
        self.set_view(index, u32::MAX);
    }

    pub fn leave(&mut self, index: usize) {
        self.hosts[index].leaving = true;
        let now = self.now;
        self.call_engine(index, |engine, _, _| engine.leave(now));
    }

    pub fn tick(&mut self, index: usize) {
        let now = self.now;
        let is_reader = self.hosts[index].is_reader;
        self.call_engine(index, |engine, context, resources| {
            engine.set_platform_reader(now, is_reader);
            let due = engine.next_timeout().is_some_and(|due| due <= now);
            if due {
                engine.timer_due(context, resources);
            }
            let release = resources.limits.timer_due(context);
            resources.released.extend(release);
            resources.router.timer_due(context);
        });
    }

    pub fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        for index in 0..self.hosts.len() {
            self.tick(index);
        }
    }

    /// Advances time without faults: all requests succeed, and messages arrive in order.
    pub fn run_without_faults(&mut self, duration_ms: u64) {
        // Coarser steps keep long durations fast.
        let step = if duration_ms >= 1_000 { 10 } else { 1 };
        for _ in 0..duration_ms / step {
            self.advance(Duration::from_millis(step));
            while !self.store_requests.is_empty() {
                self.complete_store_request(0, StoreFault::None);
            }
            for packet in std::mem::take(&mut self.network) {
                self.deliver(packet);
            }
        }
    }

    /// Deletes the stored group, as an operator does after the loss of a majority.
    pub fn delete_group(&mut self) {
        self.stored_group = None;
    }

    /// A node that is not a member of the group.
    pub fn non_member(&self) -> usize {
        let is_not_deciding = |host: &Host| host.engine.member.deciding().is_none();
        self.hosts.iter().position(is_not_deciding).unwrap()
    }

    /// Epoch of the latest group known to a node.
    pub fn epoch_of(&self, index: usize) -> u64 {
        let latest = self.hosts[index].engine.member.latest();
        latest.map_or(0, |group| group.epoch.0)
    }

    pub fn set_full_views(&mut self) {
        for index in 0..self.hosts.len() {
            self.set_view(index, u32::MAX);
        }
    }
}

impl Host {
    fn process_events(&mut self, now: Timestamp) {
        loop {
            let mut context =
                Context::new(now, &mut self.random, &mut self.actions, &mut self.signals);
            let mut resources = Resources {
                router: &mut self.router,
                limits: &mut self.limits,
                released: &mut self.released,
            };
            if let Some(finished) = resources.router.poll_finished() {
                self.engine
                    .attempt_finished(&mut context, &mut resources, finished);
                continue;
            }
            let release = std::mem::take(resources.released);
            if release.is_empty() {
                break;
            }
            for request in release.run {
                self.engine.run(&mut context, &mut resources, request);
            }
            for (request, refusal) in release.refuse {
                self.engine.refuse_queued(&mut context, request, refusal);
            }
        }
        self.signals.clear();
        let last = &mut self.last_operation;
        let polled = self.engine.poll_platform_request(|| {
            *last += 1;
            OperationId(*last)
        });
        if let Some((operation, request)) = polled {
            self.actions
                .push_back(Action::Platform { operation, request });
        }
    }
}

pub fn outcome_of(key: &str) -> String {
    format!("done {key}")
}
