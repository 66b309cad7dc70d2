//! A discrete-event simulation in virtual time of nodes, back ends, platform, network, callers
//! and operators.
//!
//! The nodes are unchanged [`thornbridge_core::Node`]s. Every random choice comes from one seed:
//! each model has a generator of its own, and service times are hashes of request, shard and
//! server, so that different policies see the same draws. No wall clock and no hasher with a
//! random seed is used; the same options give the same [`trace::Trace::digest`] on any machine.

pub mod back_end;
mod caller_steps;
mod callers;
mod conditions;
pub mod corpus;
mod host;
mod lives;
mod lower_bound;
pub mod measurements;
mod network;
mod node_actions;
mod node_answers;
mod node_steps;
mod occurrence;
mod operators;
mod overdue;
mod platform;
mod platform_steps;
mod queue;
mod sabotage;
mod server_steps;
mod snapshot_changes;
pub mod trace;

#[cfg(test)]
mod tests;

pub use callers::MOST_TRIES;
pub use sabotage::Sabotage;

use crate::fault::{Fault, FaultSchedule};
use crate::oracle::{AskedKind, Oracle};
use crate::scenario::{Deployment, SnapshotNumber, hash_parts};
use back_end::BackEndModel;
use callers::Callers;
use conditions::Conditions;
use host::Host;
use measurements::{ControlMeasurements, ServiceMeasurements};
use network::Network;
use occurrence::{CallerStep, Life, Occurrence};
use operators::Operators;
use platform::PlatformModel;
use queue::EventQueue;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::bundle::ServiceKind;
use thornbridge_core::{Parameters, Timestamp};
use trace::Trace;

/// Nodes start and learn the configuration before callers begin.
pub const WARM_UP: Duration = Duration::from_secs(5);
/// After the callers ended, the rest is simulated until all have their answers, at most so long.
const MOST_COOL_DOWN: Duration = Duration::from_secs(45);
const TICK_PERIOD: Duration = Duration::from_millis(500);

const NETWORK_PURPOSE: u64 = 1;
const CALLER_PURPOSE: u64 = 2;
const NODE_PURPOSE: u64 = 3;
const LIFE_PURPOSE: u64 = 4;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct SimulationSetup {
    /// Servers and nodes.
    pub deployment: Deployment,
    /// Faults, in any order; the same may be named several times.
    pub faults: Vec<Fault>,
    /// The nodes' tunable values.
    pub parameters: Parameters,
    /// Offered share of the back ends' slots.
    pub load: f64,
    /// Time that callers send for.
    pub duration: Duration,
    /// Seed of all choices.
    pub seed: u64,
    /// Whether a node and a back end are replaced and a version is rolled out, as on any day.
    pub routine: bool,
    /// End at the first violation.
    pub stop_at_violation: bool,
    /// Events kept in words.
    pub events_kept: usize,
    /// A fault put into the driver to prove the oracle.
    pub sabotage: Option<Sabotage>,
}

/// What came of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOutcome {
    /// Checks and violations.
    pub log: crate::oracle::CheckLog,
    /// Measurements by service, in the order of the deployment.
    pub services: Vec<ServiceMeasurements>,
    /// Service time of the work that each back end began, in the order of the deployment.
    pub work_begun: Vec<Duration>,
    /// Cost of control.
    pub control: ControlMeasurements,
    /// Mean of the nodes' control state in bytes.
    pub memory_bytes_per_node: f64,
    /// Longest time until a generation was in force everywhere.
    pub configuration_slowest: Duration,
    /// Requests offered to query services.
    pub queries: u64,
    /// Requests offered to action services.
    pub actions: u64,
    /// Digest over all events.
    pub trace_digest: String,
    /// The last events in words.
    pub recent_events: Vec<String>,
    /// Events handled.
    pub events: u64,
    /// Virtual time at the end.
    pub ended: Timestamp,
    /// Most connections that a server ever had, as a share of its limit.
    pub connections_peak: f64,
    /// Times a node broke the contract of its actions, as by sending on a busy connection.
    pub contract_breaches: u64,
}

/// A simulation.
#[derive(Debug)]
pub struct Simulator {
    now: Timestamp,
    ends: Timestamp,
    setup: SimulationSetup,
    schedule: FaultSchedule,
    queue: EventQueue<Occurrence>,
    network: Network,
    hosts: Vec<Host>,
    host_of_address: BTreeMap<SocketAddr, usize>,
    back_ends: Vec<BackEndModel>,
    server_of_address: BTreeMap<SocketAddr, usize>,
    platform: PlatformModel,
    callers: Callers,
    operators: Operators,
    oracle: Oracle,
    trace: Trace,
    measurements: Vec<ServiceMeasurements>,
    control: ControlMeasurements,
    random: Pcg64Mcg,
    events: u64,
    contract_breaches: u64,
    connections_peak: f64,
}

/// The conditions of a simulator, without borrowing all of it.
macro_rules! conditions_of {
    ($simulator:expr) => {
        $crate::simulator::conditions::Conditions {
            deployment: &$simulator.setup.deployment,
            schedule: &$simulator.schedule,
            seed: $simulator.setup.seed,
        }
    };
}
pub(crate) use conditions_of;

impl Simulator {
    /// A simulation that has not begun.
    pub fn new(setup: SimulationSetup) -> Self {
        let start = Timestamp::ZERO + WARM_UP;
        let schedule = FaultSchedule::new(&setup.faults, start, setup.duration, setup.seed);
        let scenario = &setup.deployment.scenario;
        let seed_for = |purpose: u64| hash_parts(setup.seed, &[purpose]);
        let network = Network::new(scenario, schedule.clone(), seed_for(NETWORK_PURPOSE));
        let nodes = setup.deployment.nodes.iter().enumerate();
        let servers = setup.deployment.servers.iter().enumerate();
        let mut simulator = Self {
            now: Timestamp::ZERO,
            ends: start + setup.duration,
            network,
            queue: EventQueue::new(),
            hosts: setup.deployment.nodes.iter().map(|_| Host::new()).collect(),
            host_of_address: nodes.map(|(index, node)| (node.address, index)).collect(),
            back_ends: (0..setup.deployment.servers.len())
                .map(BackEndModel::new)
                .collect(),
            server_of_address: servers
                .map(|(index, server)| (server.back_end.address, index))
                .collect(),
            platform: PlatformModel::new(scenario.platform_readers as usize),
            callers: Callers::new(rates(&setup), seed_for(CALLER_PURPOSE)),
            operators: Operators::new(setup.deployment.services.len()),
            oracle: Oracle::default(),
            trace: Trace::new(setup.events_kept),
            measurements: vec![ServiceMeasurements::default(); setup.deployment.services.len()],
            control: ControlMeasurements::default(),
            random: Pcg64Mcg::seed_from_u64(seed_for(LIFE_PURPOSE)),
            events: 0,
            contract_breaches: 0,
            connections_peak: 0.0,
            schedule,
            setup,
        };
        simulator.prepare();
        simulator
    }

    /// Simulates to the end.
    pub fn run(mut self) -> SimulationOutcome {
        while let Some((at, occurrence)) = self.queue.pop() {
            if self.is_over(at) {
                break;
            }
            self.now = at;
            self.events += 1;
            self.step(occurrence);
        }
        self.finish()
    }

    fn is_over(&self, at: Timestamp) -> bool {
        let found = self.setup.stop_at_violation && self.oracle.log.total_violations() > 0;
        let settled = at > self.ends && self.callers.unsettled == 0;
        found || settled || at > self.ends + MOST_COOL_DOWN
    }

    fn step(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Node { node, run, arrival } => self.node_step(node, run, arrival),
            Occurrence::Server { server, arrival } => self.server_step(server, arrival),
            Occurrence::Platform { client, arrival } => self.platform_step(client, arrival),
            Occurrence::Caller(step) => self.caller_step(step),
            Occurrence::Life(life) => self.life_step(life),
            Occurrence::Operator { operator, answer } => self.operator_step(operator, answer),
            Occurrence::Tick => self.tick(),
        }
    }

    fn prepare(&mut self) {
        self.list_machines();
        self.roll_out_first();
        for node in 0..self.hosts.len() {
            self.start_node(node);
        }
        for service in 0..self.measurements.len() {
            self.schedule_arrival(service, Timestamp::ZERO + WARM_UP);
        }
        self.schedule_lives();
        self.after(TICK_PERIOD, Occurrence::Tick);
    }

    fn schedule_arrival(&mut self, service: usize, from: Timestamp) {
        let factor = if self.schedule.is_active(Fault::Overload, from) {
            lives::OVERLOAD_FACTOR
        } else {
            1.0
        };
        let Some(gap) = self.callers.next_arrival(service, factor) else {
            return;
        };
        let at = from + gap;
        if at < self.ends {
            let step = CallerStep::Arrives { service };
            self.queue.push(at, Occurrence::Caller(step));
        }
    }

    fn schedule_lives(&mut self) {
        for (index, window) in self.schedule.windows.iter().enumerate() {
            let begins = Occurrence::Life(Life::Begins(index));
            let ends = Occurrence::Life(Life::Ends(index));
            self.queue.push(window.begins, begins);
            self.queue.push(window.ends, ends);
        }
        if self.setup.routine {
            self.schedule_routine();
        }
    }

    fn after(&mut self, delay: Duration, occurrence: Occurrence) {
        self.queue.push(self.now + delay, occurrence);
    }

    fn conditions(&self) -> Conditions<'_> {
        conditions_of!(self)
    }

    fn finish(mut self) -> SimulationOutcome {
        self.check_unanswered();
        let offered = |kind: ServiceKind| {
            let services = self.setup.deployment.services.iter();
            let measured = services.zip(&self.measurements);
            measured
                .filter(|(service, _)| service.scenario.kind == kind)
                .map(|(_, measured)| measured.offered)
                .sum()
        };
        SimulationOutcome {
            queries: offered(ServiceKind::Query),
            actions: offered(ServiceKind::Action),
            memory_bytes_per_node: self.memory_per_node(),
            configuration_slowest: self.oracle.configuration.slowest(),
            log: self.oracle.log,
            services: self.measurements,
            work_begun: self
                .back_ends
                .iter()
                .map(|model| model.work_begun)
                .collect(),
            control: self.control,
            trace_digest: self.trace.digest(),
            recent_events: self.trace.recent(),
            events: self.events,
            ended: self.now,
            connections_peak: self.connections_peak,
            contract_breaches: self.contract_breaches,
        }
    }

    /// Mean size of what nodes know for control: the bundle in force and the member list, as
    /// they are encoded. An estimate from below; the process's own memory is not counted.
    fn memory_per_node(&self) -> f64 {
        let sizes: Vec<usize> = self
            .hosts
            .iter()
            .filter_map(|host| host.node.as_ref())
            .map(|node| rmp_serde::to_vec(&node.status()).map_or(0, |bytes| bytes.len()))
            .collect();
        sizes.iter().sum::<usize>() as f64 / sizes.len().max(1) as f64
    }
}

/// Requests a second that each service is offered.
fn rates(setup: &SimulationSetup) -> Vec<f64> {
    let services = setup.deployment.services.iter();
    services
        .map(|service| {
            let slots = service.servers.len() as f64 * f64::from(service.scenario.slots);
            let shards = match service.scenario.kind {
                ServiceKind::Query => f64::from(service.scenario.shards),
                ServiceKind::Action => 1.0,
            };
            setup.load * slots / (service.mean_service_time.as_secs_f64() * shards)
        })
        .collect()
}

/// Kind of a service's requests.
fn kind_of(deployment: &Deployment, service: usize) -> AskedKind {
    match deployment.services[service].scenario.kind {
        ServiceKind::Query => AskedKind::Query,
        ServiceKind::Action => AskedKind::Action,
    }
}

/// The first snapshot of each service.
fn first_snapshots(services: usize) -> Vec<Vec<SnapshotNumber>> {
    vec![vec![SnapshotNumber(0)]; services]
}
