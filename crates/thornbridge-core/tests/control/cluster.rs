//! Simulated cluster of control planes over a lossy network and the model store, in virtual time.

use crate::model_store::ModelStore;
use crate::sample;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::control::ControlPlane;
use thornbridge_core::operator::{OperatorCommand, OperatorSession, OperatorStep};
use thornbridge_core::{Action, Context, OperationId, Parameters, Signal, Timestamp, WatchId};
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, ResourceVersion, WatchChange,
    WatchEnd,
};
use thornbridge_proto::{ChangeId, Generation, Incarnation, NodeId, frame};

pub type Host = usize;

/// Process of a node, with its control plane.
pub struct Process {
    pub control: ControlPlane,
    pub endpoint: PeerEndpoint,
    pub region: usize,
    pub running: bool,
    pub paused: bool,
    /// The node cannot reach the platform.
    pub platform_unreachable: bool,
    pub configuration_bytes: u64,
    pub other_bytes: u64,
    /// Generations in the order of their activation.
    pub generations: Vec<Generation>,
    pub activated_at: Timestamp,
    random: Pcg64Mcg,
    timer: Timestamp,
    /// Events that arrived during a pause.
    deferred: Vec<Event>,
}

#[derive(Clone)]
enum Event {
    PeerMessage(PeerEndpoint, Box<PeerMessage>),
    PlatformReply(OperationId, Result<PlatformResponse, PlatformFailure>),
    WatchChanged(WatchId, WatchChange),
    WatchEnded(WatchId, WatchEnd),
    Timer(Timestamp),
}

/// Faults and delays of the network and the platform.
#[derive(Clone, Debug)]
pub struct Conditions {
    pub loss: f64,
    pub delay_in_region: Duration,
    pub delay_between_regions: Duration,
    pub platform_delay: Duration,
    pub regions_split: bool,
    pub platform_down: bool,
    /// Share of platform requests whose reply is lost.
    pub reply_loss: f64,
    /// Watches stay open but report no changes.
    pub watches_silent: bool,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            loss: 0.0,
            delay_in_region: Duration::from_millis(1),
            delay_between_regions: Duration::from_millis(40),
            platform_delay: Duration::from_millis(5),
            regions_split: false,
            platform_down: false,
            reply_loss: 0.0,
            watches_silent: false,
        }
    }
}

pub struct Cluster {
    pub now: Timestamp,
    pub conditions: Conditions,
    pub processes: Vec<Process>,
    pub store: ModelStore,
    /// Platform requests since the list was cleared.
    pub platform_requests: Vec<(Timestamp, Host)>,
    parameters: Parameters,
    hosts: BTreeMap<SocketAddr, Host>,
    watches: Vec<(Host, WatchId, ObjectKind)>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, (Host, Event)>,
    last_event: u64,
    changes: u64,
    random: Pcg64Mcg,
}

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl Cluster {
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        Self {
            now: Timestamp::ZERO,
            conditions,
            processes: Vec::new(),
            store: ModelStore::default(),
            platform_requests: Vec::new(),
            parameters: Parameters::default(),
            hosts: BTreeMap::new(),
            watches: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            changes: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn address(machine: usize) -> SocketAddr {
        let [_, _, high, low] = (machine as u32).to_be_bytes();
        SocketAddr::from(([10, 0, high, low], 7400))
    }

    /// Starts a node on a machine. The first three machines are the seeds.
    pub fn start(&mut self, machine: usize, region: usize) -> Host {
        let host = self.processes.len();
        let endpoint = PeerEndpoint {
            node: NodeId(self.random.random()),
            address: Self::address(machine),
        };
        let record = MemberRecord {
            endpoint,
            operator_address: endpoint.address,
            name: format!("node-{machine:04}").into(),
            zone: format!("zone-{region}-{}", machine / 2 % 3).into(),
            region: format!("region-{region}").into(),
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        let seeds = (0..3).map(Self::address).collect();
        let trusted = sample::trusted_keys();
        self.processes.push(Process {
            control: ControlPlane::new(&self.parameters, record, seeds, trusted),
            endpoint,
            region,
            running: true,
            paused: false,
            platform_unreachable: false,
            configuration_bytes: 0,
            other_bytes: 0,
            generations: Vec::new(),
            activated_at: Timestamp::ZERO,
            random: Pcg64Mcg::seed_from_u64(self.random.random()),
            timer: Timestamp::MAX,
            deferred: Vec::new(),
        });
        self.hosts.insert(endpoint.address, host);
        self.drive(host, |control, context| control.started(context));
        host
    }

    pub fn start_many(&mut self, count: usize, regions: usize, spacing: Duration) {
        for machine in 0..count {
            self.start(machine, machine % regions);
            self.run(spacing);
        }
    }

    pub fn crash(&mut self, host: Host) {
        self.processes[host].running = false;
        self.watches.retain(|(watcher, _, _)| *watcher != host);
    }

    pub fn pause(&mut self, host: Host) {
        self.processes[host].paused = true;
    }

    /// Ends a pause: delivers the deferred events in order, then fires the timers that are due.
    pub fn resume(&mut self, host: Host) {
        self.processes[host].paused = false;
        for event in std::mem::take(&mut self.processes[host].deferred) {
            self.handle_event(host, event);
        }
        self.drive(host, |control, context| control.timer_due(context));
    }

    pub fn leave(&mut self, host: Host) {
        self.drive(host, |control, context| control.leave(context));
    }

    pub fn set_platform_down(&mut self, down: bool) {
        self.conditions.platform_down = down;
        if down {
            for (host, watch, _) in std::mem::take(&mut self.watches) {
                self.schedule(self.now, host, Event::WatchEnded(watch, WatchEnd::Lost));
            }
        }
    }

    /// Compacts the history of the store, which ends every watch.
    pub fn compact(&mut self) {
        for (host, watch, _) in std::mem::take(&mut self.watches) {
            let ended = Event::WatchEnded(watch, WatchEnd::Compacted);
            self.schedule(self.now, host, ended);
        }
    }

    /// Executes an operator command without delay.
    pub fn run_command(&mut self, command: OperatorCommand) {
        self.changes += 1;
        let change = ChangeId::new(format!("change-{}", self.changes));
        let mut session = OperatorSession::new(command, change);
        let mut reply = None;
        loop {
            match session.step(reply.take()) {
                OperatorStep::Request(request) => reply = Some(self.apply(&request)),
                OperatorStep::Wait(_) => {}
                OperatorStep::Done(result) => {
                    result.expect("no other operator session runs");
                    return;
                }
            }
        }
    }

    fn apply(&mut self, request: &PlatformRequest) -> Result<PlatformResponse, PlatformFailure> {
        let result = self.store.apply(request);
        if let Ok(PlatformResponse::Written { .. }) = result {
            self.notify_watches();
        }
        result
    }

    fn notify_watches(&mut self) {
        if self.conditions.watches_silent {
            return;
        }
        let object = self
            .store
            .writes
            .last()
            .expect("the store was just written")
            .clone();
        let at = self.now + self.conditions.platform_delay;
        for (host, watch, kind) in self.watches.clone() {
            if kind == object.kind {
                let change = WatchChange {
                    object: object.clone(),
                    deleted: false,
                };
                self.schedule(at, host, Event::WatchChanged(watch, change));
            }
        }
    }

    pub fn running(&self) -> Vec<Host> {
        let is_running = |host: &Host| {
            let process = &self.processes[*host];
            process.running && !process.paused
        };
        (0..self.processes.len()).filter(is_running).collect()
    }

    pub fn generation(&self, host: Host) -> Option<Generation> {
        let active = self.processes[host].control.configuration.active();
        active.map(|active| active.record.generation)
    }

    pub fn all_have(&self, generation: u64) -> bool {
        let have = |host: Host| self.generation(host) == Some(Generation(generation));
        self.running().into_iter().all(have)
    }

    pub fn readers(&self) -> Vec<Host> {
        let reads = |host: &Host| {
            let readers = &self.processes[*host].control.readers;
            readers.held_token(self.now).is_some()
        };
        self.running().into_iter().filter(reads).collect()
    }

    /// Nodes that sent a platform request.
    pub fn platform_users(&self) -> BTreeSet<Host> {
        let uses = self.platform_requests.iter();
        uses.map(|(_, host)| *host).collect()
    }

    /// Largest number of nodes that sent platform requests within ten seconds.
    pub fn max_platform_users(&self) -> usize {
        let mut maximum = 0;
        for (index, (start, _)) in self.platform_requests.iter().enumerate() {
            let window = self.platform_requests[index..].iter();
            let window = window.take_while(|(at, _)| at.since(*start) <= seconds(10.0));
            let users: BTreeSet<Host> = window.map(|(_, host)| *host).collect();
            maximum = maximum.max(users.len());
        }
        maximum
    }

    /// Runs until the condition holds, checked every 10 ms; returns the elapsed time.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) <= limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run(Duration::from_millis(10));
        }
        None
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, event))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some((host, event)) = self.events.remove(&event) {
                self.deliver(host, event);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, host: Host, event: Event) {
        let process = &mut self.processes[host];
        if !process.paused {
            self.handle_event(host, event);
        } else if !matches!(event, Event::Timer(_)) {
            process.deferred.push(event);
        }
    }

    fn handle_event(&mut self, host: Host, event: Event) {
        match event {
            Event::PeerMessage(from, message) => self.drive(host, |control, context| {
                control.peer_message(context, from, *message);
            }),
            Event::PlatformReply(operation, result) => self.drive(host, |control, context| {
                control.platform_reply(context, operation, &result);
            }),
            Event::WatchChanged(watch, change) => self.drive(host, |control, context| {
                control.watch_changed(context, watch, &change);
            }),
            Event::WatchEnded(watch, end) => self.drive(host, |control, context| {
                control.watch_ended(context, watch, end);
            }),
            Event::Timer(at) if self.processes[host].timer == at => {
                self.drive(host, |control, context| control.timer_due(context));
            }
            Event::Timer(_) => {}
        }
    }

    fn drive(&mut self, host: Host, call: impl FnOnce(&mut ControlPlane, &mut Context<'_>)) {
        let process = &mut self.processes[host];
        if !process.running {
            return;
        }
        let (mut actions, mut signals) = (VecDeque::new(), VecDeque::new());
        let mut context = Context::new(self.now, &mut process.random, &mut actions, &mut signals);
        call(&mut process.control, &mut context);
        while let Some(signal) = signals.pop_front() {
            match signal {
                Signal::MembersChanged(view) => {
                    let mut context =
                        Context::new(self.now, &mut process.random, &mut actions, &mut signals);
                    process.control.members_changed(&mut context, &view);
                }
                Signal::ConfigurationActivated(active) => {
                    let generation = active.record.generation;
                    let last = process.generations.last();
                    assert!(
                        last.is_none_or(|last| *last < generation),
                        "generation {generation} activated after {last:?}"
                    );
                    process.generations.push(generation);
                    process.activated_at = self.now;
                }
                _ => {}
            }
        }
        for action in actions {
            self.execute(host, action);
        }
        self.set_timer(host);
    }

    fn set_timer(&mut self, host: Host) {
        let process = &mut self.processes[host];
        let Some(next) = process.control.next_timeout() else {
            return;
        };
        let at = next.max(self.now);
        if process.timer != at || at == self.now {
            process.timer = at;
            self.schedule(at, host, Event::Timer(at));
        }
    }

    fn execute(&mut self, host: Host, action: Action) {
        match action {
            Action::SendPeer { to, message } => self.send(host, to, message),
            Action::Platform { operation, request } => {
                self.request_platform(host, operation, &request)
            }
            Action::Watch { watch, kind, from } => self.open_watch(host, watch, kind, from),
            Action::StopWatch { watch } => {
                let is_other =
                    |open: &(Host, WatchId, ObjectKind)| (open.0, open.1) != (host, watch);
                self.watches.retain(is_other);
            }
            _ => {}
        }
    }

    fn reaches_platform(&self, host: Host) -> bool {
        !self.conditions.platform_down && !self.processes[host].platform_unreachable
    }

    fn request_platform(&mut self, host: Host, operation: OperationId, request: &PlatformRequest) {
        self.platform_requests.push((self.now, host));
        let result = if !self.reaches_platform(host) {
            Err(PlatformFailure::Unreachable)
        } else {
            let result = self.apply(request);
            if self.random.random_bool(self.conditions.reply_loss) {
                Err(PlatformFailure::NoAnswer)
            } else {
                result
            }
        };
        let at = self.now + self.conditions.platform_delay;
        self.schedule(at, host, Event::PlatformReply(operation, result));
    }

    fn open_watch(&mut self, host: Host, watch: WatchId, kind: ObjectKind, from: ResourceVersion) {
        let at = self.now + self.conditions.platform_delay;
        if !self.reaches_platform(host) {
            self.schedule(at, host, Event::WatchEnded(watch, WatchEnd::Lost));
            return;
        }
        self.watches.push((host, watch, kind));
        let writes = self.store.writes.iter();
        let past_writes: Vec<_> = writes
            .filter(|object| object.kind == kind && object.resource_version > from)
            .cloned()
            .collect();
        for object in past_writes {
            let change = WatchChange {
                object,
                deleted: false,
            };
            self.schedule(at, host, Event::WatchChanged(watch, change));
        }
    }

    fn send(&mut self, from: Host, to: SocketAddr, message: PeerMessage) {
        let bytes = frame::encode(&message).expect("can be encoded").len() as u64;
        let sender = &mut self.processes[from];
        match &message {
            PeerMessage::Configuration(_) => sender.configuration_bytes += bytes,
            _ => sender.other_bytes += bytes,
        }
        let (endpoint, region) = (sender.endpoint, sender.region);
        let Some(host) = self.hosts.get(&to).copied() else {
            return;
        };
        let cross_region = self.processes[host].region != region;
        let lost = self.random.random_bool(self.conditions.loss);
        if lost || (cross_region && self.conditions.regions_split) || !self.processes[host].running
        {
            return;
        }
        let delay = if cross_region {
            self.conditions.delay_between_regions
        } else {
            self.conditions.delay_in_region
        };
        let delay = delay.mul_f64(self.random.random_range(0.8..1.5));
        let delivery = Event::PeerMessage(endpoint, Box::new(message));
        self.schedule(self.now + delay, host, delivery);
    }

    fn schedule(&mut self, at: Timestamp, host: Host, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, (host, event));
        self.queue.push(Reverse((at, self.last_event)));
    }
}

/// Publishes, approves and rolls out a bundle.
pub fn roll_out(cluster: &mut Cluster, bundle: thornbridge_config::bundle::Bundle) {
    let version = bundle.version.clone();
    cluster.run_command(OperatorCommand::Publish { bundle });
    cluster.run_command(OperatorCommand::Approve {
        version: version.clone(),
        key_id: sample::KEY_ID.to_owned(),
        key: sample::signing_key(),
    });
    cluster.run_command(OperatorCommand::RolloutStart(sample::rollout(version)));
}
