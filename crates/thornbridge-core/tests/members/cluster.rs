//! Simulation of membership and health sharing of many nodes in virtual time, with network delay,
//! loss and splits, pauses, crashes, and probed back ends.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::bundle::Bundle;
use thornbridge_config::canonical;
use thornbridge_core::configuration::ActiveConfiguration;
use thornbridge_core::health::{HealthParameters, HealthSharing};
use thornbridge_core::membership::{MemberView, Membership, MembershipParameters};
use thornbridge_core::{Action, Context, Signal, Timestamp};
use thornbridge_proto::back_end::LoadReport;
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::peer::health::HealthRecord;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::Machine;
use thornbridge_proto::{BackEndId, Generation, Incarnation, NodeId, frame};

/// Index of a process. A restarted node is a new process at the same address.
pub type Host = usize;

/// Modules of a node under test.
pub struct NodeParts {
    pub membership: Membership,
    pub health: HealthSharing,
    pub machine_list_requested: bool,
}

/// A simulated back end.
#[derive(Clone, Default)]
pub struct BackEndModel {
    pub report: LoadReport,
    pub down: bool,
    /// Processes that cannot reach the back end.
    pub unreachable_from: Vec<Host>,
}

/// A node's process, with statistics of what the node sent.
pub struct Process {
    pub parts: NodeParts,
    pub endpoint: PeerEndpoint,
    pub region: usize,
    pub running: bool,
    pub paused: bool,
    pub bytes_sent: u64,
    pub messages_sent: u64,
    pub largest_message: usize,
    pub health_bytes_sent: u64,
    pub probes_sent: u64,
    /// Last [`Signal::BackEndHealthUpdated`] of each back end.
    pub signalled_health: BTreeMap<BackEndId, HealthRecord>,
    random: Pcg64Mcg,
    timer_at: Timestamp,
    /// Messages that arrived during a pause.
    undelivered: Vec<(PeerEndpoint, PeerMessage)>,
}

enum EventKind {
    Arrival(Host, PeerEndpoint, Box<PeerMessage>),
    LinkDown(Host, SocketAddr),
    Machines(Host, Vec<Machine>),
    Probed(Host, BackEndId, Option<LoadReport>),
    Timer(Host, Timestamp),
}

/// Behaviour of the simulated network.
#[derive(Clone, Debug)]
pub struct Network {
    pub loss: f64,
    pub delay_in_region: Duration,
    pub delay_between_regions: Duration,
    pub regions_split: bool,
    /// Whether sending to a crashed process reports a broken link, as when its host is still up.
    pub reports_link_down: bool,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss: 0.0,
            delay_in_region: Duration::from_millis(1),
            delay_between_regions: Duration::from_millis(15),
            regions_split: false,
            reports_link_down: false,
        }
    }
}

/// All processes, and the pending events.
pub struct Cluster {
    pub now: Timestamp,
    pub network: Network,
    pub processes: Vec<Process>,
    pub back_ends: BTreeMap<BackEndId, BackEndModel>,
    active: Option<ActiveConfiguration>,
    parameters: MembershipParameters,
    hosts: BTreeMap<SocketAddr, Host>,
    events: BinaryHeap<Reverse<(Timestamp, u64)>>,
    event_kinds: BTreeMap<u64, EventKind>,
    last_event: u64,
    random: Pcg64Mcg,
}

pub fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl Cluster {
    pub fn new(seed: u64, network: Network) -> Self {
        Self {
            now: Timestamp::ZERO,
            network,
            processes: Vec::new(),
            back_ends: BTreeMap::new(),
            active: None,
            parameters: MembershipParameters::default(),
            hosts: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_kinds: BTreeMap::new(),
            last_event: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Address of a machine.
    pub fn address(machine: usize) -> SocketAddr {
        let [_, _, high, low] = (machine as u32).to_be_bytes();
        SocketAddr::from(([10, 0, high, low], 7400))
    }

    /// Starts a process on a machine. Seeds are given as machines.
    pub fn start(&mut self, machine: usize, region: usize, seeds: &[usize]) -> Host {
        let host = self.processes.len();
        let endpoint = PeerEndpoint {
            node: NodeId(self.random.random()),
            address: Self::address(machine),
        };
        let record = MemberRecord {
            endpoint,
            operator_address: endpoint.address,
            name: format!("node-{machine:04}").into(),
            zone: format!("zone-{region}-{}", machine % 3).into(),
            region: format!("region-{region}").into(),
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        let expects_peers = !seeds.is_empty();
        let seeds = seeds.iter().map(|seed| Self::address(*seed)).collect();
        self.processes.push(Process {
            parts: NodeParts {
                membership: Membership::new(self.parameters.clone(), record, seeds),
                health: HealthSharing::new(HealthParameters::default(), expects_peers),
                machine_list_requested: false,
            },
            endpoint,
            region,
            running: true,
            paused: false,
            bytes_sent: 0,
            messages_sent: 0,
            largest_message: 0,
            health_bytes_sent: 0,
            probes_sent: 0,
            signalled_health: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(self.random.random()),
            timer_at: Timestamp::MAX,
            undelivered: Vec::new(),
        });
        self.hosts.insert(endpoint.address, host);
        self.drive(host, |parts, context| parts.membership.started(context));
        self.install_on(host);
        host
    }

    /// Starts `count` processes at intervals of `spacing`, alternating between regions.
    pub fn start_nodes(&mut self, count: usize, regions: usize, spacing: Duration) {
        for machine in 0..count {
            self.start(machine, machine % regions, &[0, 1, 2]);
            self.run(spacing);
        }
    }

    /// Activates a bundle on all processes, including those started later.
    pub fn install(&mut self, bundle: Bundle) {
        let previous = std::mem::take(&mut self.back_ends);
        for back_end in bundle.back_ends() {
            let model = previous.get(&back_end.id).cloned().unwrap_or_default();
            self.back_ends.insert(back_end.id.clone(), model);
        }
        let record = GenerationRecord {
            generation: Generation(1),
            version: bundle.version.clone(),
            digest: canonical::digest(&bundle).expect("the bundle can be encoded"),
            change: "change".into(),
            key_id: "key".to_owned(),
            signature: Vec::new(),
        };
        self.active = Some(ActiveConfiguration::new(record, bundle).expect("the record matches"));
        for host in 0..self.processes.len() {
            self.install_on(host);
        }
    }

    fn install_on(&mut self, host: Host) {
        if let Some(active) = self.active.take() {
            self.drive(host, |parts, context| {
                parts.health.install(context, &active)
            });
            self.active = Some(active);
        }
    }

    /// Health of a back end as seen by a process.
    pub fn health_record(&self, host: Host, back_end: &BackEndId) -> HealthRecord {
        let health = &self.processes[host].parts.health;
        health
            .record(back_end)
            .expect("the back end is in the bundle")
    }

    /// Whether the health of a back end satisfies `predicate` on all running processes.
    pub fn all_health_records(
        &self,
        back_end: &BackEndId,
        predicate: impl Fn(&HealthRecord) -> bool,
    ) -> bool {
        let running = self.running();
        running
            .iter()
            .all(|host| predicate(&self.health_record(*host, back_end)))
    }

    pub fn crash(&mut self, host: Host) {
        self.processes[host].running = false;
    }

    /// Ends a process and starts another on the same machine.
    pub fn restart(&mut self, host: Host, seeds: &[usize]) {
        self.crash(host);
        let address = self.processes[host].endpoint.address;
        let machine = (0..).find(|machine| Self::address(*machine) == address);
        let region = self.processes[host].region;
        self.start(
            machine.expect("every process runs on a machine"),
            region,
            seeds,
        );
    }

    pub fn pause(&mut self, host: Host) {
        self.processes[host].paused = true;
    }

    /// Ends a pause: the timer fires late, then undelivered messages arrive.
    pub fn resume(&mut self, host: Host) {
        self.processes[host].paused = false;
        self.drive(host, timer_due);
        for (from, message) in std::mem::take(&mut self.processes[host].undelivered) {
            self.deliver(host, from, message);
        }
    }

    pub fn leave(&mut self, host: Host) {
        self.drive(host, |parts, context| parts.membership.leave(context));
    }

    pub fn view(&self, host: Host) -> MemberView {
        self.processes[host].parts.membership.view()
    }

    /// State of process `target` as observed by `host`; `None` if dead or unknown.
    pub fn observed_state(&self, host: Host, target: Host) -> Option<MemberState> {
        let node = self.processes[target].endpoint.node;
        let view = self.view(host);
        view.member(node).map(|member| member.state)
    }

    pub fn running(&self) -> Vec<Host> {
        (0..self.processes.len())
            .filter(|host| self.processes[*host].running && !self.processes[*host].paused)
            .collect()
    }

    /// Whether all running processes except `target` observe `target` in this state.
    pub fn all_observe(&self, target: Host, state: Option<MemberState>) -> bool {
        self.running()
            .into_iter()
            .filter(|host| *host != target)
            .all(|host| self.observed_state(host, target) == state)
    }

    /// Whether every running process observes exactly the running processes as alive or leaving.
    pub fn converged(&self) -> bool {
        let running = self.running();
        let mut expected: Vec<NodeId> = running
            .iter()
            .map(|host| self.processes[*host].endpoint.node)
            .collect();
        expected.sort();
        running.iter().all(|host| {
            let view = self.view(*host);
            let not_suspected = |member: &&MemberRecord| member.state != MemberState::Suspect;
            let observed = view.members().iter().filter(not_suspected);
            observed
                .map(|member| member.endpoint.node)
                .eq(expected.iter().copied())
        })
    }

    /// Runs until the condition holds, checked every 10 ms. Returns the elapsed time, or `None` at
    /// the limit.
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
        while let Some(Reverse((at, event))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(kind) = self.event_kinds.remove(&event) {
                self.handle_event(kind);
            }
        }
        self.now = end;
    }

    fn handle_event(&mut self, kind: EventKind) {
        match kind {
            EventKind::Arrival(host, from, message) => self.deliver(host, from, *message),
            EventKind::LinkDown(host, address) => {
                self.drive(host, |parts, context| {
                    parts.membership.link_down(context, address);
                });
            }
            EventKind::Machines(host, machines) => {
                self.drive(host, |parts, context| {
                    parts.membership.machine_list_received(context, &machines);
                });
            }
            EventKind::Probed(host, back_end, Some(report)) => {
                self.drive(host, |parts, context| {
                    parts.health.probe_replied(context, &back_end, &report);
                });
            }
            EventKind::Probed(host, back_end, None) => {
                self.drive(host, |parts, context| {
                    parts.health.probe_failed(context, &back_end);
                });
            }
            EventKind::Timer(host, at) => {
                if self.processes[host].timer_at == at && !self.processes[host].paused {
                    self.drive(host, timer_due);
                }
            }
        }
    }

    fn deliver(&mut self, host: Host, from: PeerEndpoint, message: PeerMessage) {
        let process = &mut self.processes[host];
        if process.paused {
            process.undelivered.push((from, message));
            return;
        }
        self.drive(host, |parts, context| match message {
            PeerMessage::Membership(message) => {
                parts.membership.peer_message(context, from, message);
            }
            PeerMessage::Health(message) => parts.health.peer_message(context, from, message),
            PeerMessage::Configuration(_)
            | PeerMessage::Action(_)
            | PeerMessage::View(_)
            | PeerMessage::Slice(_)
            | PeerMessage::Quarantine(_)
            | PeerMessage::Rollout(_) => {}
        });
    }

    /// Calls a process, then executes its signals and actions.
    pub fn drive(&mut self, host: Host, call: impl FnOnce(&mut NodeParts, &mut Context<'_>)) {
        let process = &mut self.processes[host];
        if !process.running {
            return;
        }
        let (mut actions, mut signals) = (VecDeque::new(), VecDeque::new());
        let mut context = Context::new(self.now, &mut process.random, &mut actions, &mut signals);
        call(&mut process.parts, &mut context);
        while let Some(signal) = signals.pop_front() {
            let mut context =
                Context::new(self.now, &mut process.random, &mut actions, &mut signals);
            match signal {
                Signal::MembersChanged(view) => {
                    process.parts.health.members_changed(&mut context, &view);
                }
                Signal::BackEndHealthUpdated(record) => {
                    process
                        .signalled_health
                        .insert(record.back_end.clone(), record);
                }
                Signal::ConfigurationActivated(_) | Signal::BackEndObserved(_) => {}
            }
        }
        for action in actions {
            match action {
                Action::SendPeer { to, message } => self.send(host, to, message),
                Action::Probe { back_end, .. } => self.probe(host, back_end),
                _ => {}
            }
        }
        self.answer_machine_list_request(host);
        self.set_timer(host);
    }

    /// Answers a request for the platform's list with all machines ever used.
    fn answer_machine_list_request(&mut self, host: Host) {
        if std::mem::take(&mut self.processes[host].parts.machine_list_requested) {
            let machines = self.hosts.keys().map(|address| Machine {
                peer_address: *address,
                zone: "zone-0-0".into(),
                leaving: false,
            });
            let machines = machines.collect();
            let at = self.now + self.network.delay_in_region * 5;
            self.schedule_event(at, EventKind::Machines(host, machines));
        }
    }

    fn probe(&mut self, host: Host, back_end: BackEndId) {
        self.processes[host].probes_sent += 1;
        let model = &self.back_ends[&back_end];
        let reached = !model.down && !model.unreachable_from.contains(&host);
        let report = reached.then(|| model.report.clone());
        let at = self.now + self.network.delay_in_region * 2;
        self.schedule_event(at, EventKind::Probed(host, back_end, report));
    }

    fn set_timer(&mut self, host: Host) {
        let process = &mut self.processes[host];
        let timeouts = [
            process.parts.membership.next_timeout(),
            process.parts.health.next_timeout(),
        ];
        let Some(next) = timeouts.into_iter().flatten().min() else {
            return;
        };
        let at = next.max(self.now);
        if process.timer_at != at || at == self.now {
            process.timer_at = at;
            self.schedule_event(at, EventKind::Timer(host, at));
        }
    }

    fn send(&mut self, from: Host, to: SocketAddr, message: PeerMessage) {
        let bytes = frame::encode(&message)
            .expect("a message can be encoded")
            .len();
        let sender = &mut self.processes[from];
        sender.bytes_sent += bytes as u64;
        if matches!(message, PeerMessage::Health(_)) {
            sender.health_bytes_sent += bytes as u64;
        }
        sender.messages_sent += 1;
        sender.largest_message = sender.largest_message.max(bytes);
        let (endpoint, region) = (sender.endpoint, sender.region);
        let Some(host) = self.hosts.get(&to).copied() else {
            return;
        };
        let crosses_regions = self.processes[host].region != region;
        if self.random.random_bool(self.network.loss)
            || (crosses_regions && self.network.regions_split)
        {
            return;
        }
        let delay = if crosses_regions {
            self.network.delay_between_regions
        } else {
            self.network.delay_in_region
        };
        let delay = delay.mul_f64(self.random.random_range(0.8..1.5));
        if self.processes[host].running {
            let arrival = EventKind::Arrival(host, endpoint, Box::new(message));
            self.schedule_event(self.now + delay, arrival);
        } else if self.network.reports_link_down {
            self.schedule_event(self.now + delay, EventKind::LinkDown(from, to));
        }
    }

    fn schedule_event(&mut self, at: Timestamp, kind: EventKind) {
        self.last_event += 1;
        self.event_kinds.insert(self.last_event, kind);
        self.events.push(Reverse((at, self.last_event)));
    }
}

fn timer_due(parts: &mut NodeParts, context: &mut Context<'_>) {
    parts.membership.timer_due(context);
    parts.machine_list_requested |= parts.membership.machine_list_due(context);
    parts.health.timer_due(context);
}
