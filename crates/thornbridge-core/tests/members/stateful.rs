//! Random sequences of faults, checked against a model of the state of each process.

use crate::bundles::{back_end, bundle};
use crate::cluster::{Cluster, Host, Network, seconds};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::BTreeMap;
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::peer::membership::MemberState;
use thornbridge_proto::{Incarnation, NodeId};

const INITIAL_NODES: usize = 7;
const MAX_NODES: usize = 12;
const BACK_ENDS: usize = 6;
const CASES: u32 = 40;
const LONG_CASES: u32 = 400;
/// Exceeds the intervals of dead probes and join attempts, and the hold-down of leaving.
const QUIESCENCE_SECONDS: f64 = 240.0;
const MESSAGE_LIMIT_BYTES: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    Paused,
    Leaving,
    Stopped,
}

#[derive(Clone, Debug)]
enum Step {
    Start(usize),
    Crash(Host),
    Restart(Host),
    Pause(Host),
    Resume(Host),
    Leave(Host),
    Split(bool),
    Loss(f64),
    SetReadiness(usize, Readiness),
    SetDown(usize, bool),
    Wait(f64),
}

#[derive(Clone, Debug)]
struct Model {
    processes: Vec<ProcessState>,
}

impl Model {
    fn hosts(&self, state: ProcessState) -> Vec<Host> {
        let hosts = 0..self.processes.len();
        hosts
            .filter(|host| self.processes[*host] == state)
            .collect()
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        let processes = vec![ProcessState::Running; INITIAL_NODES];
        Just(Model { processes }).boxed()
    }

    fn transitions(model: &Model) -> BoxedStrategy<Step> {
        let running = model.hosts(ProcessState::Running);
        let paused = model.hosts(ProcessState::Paused);
        let wait = (0.05..20.0_f64).prop_map(Step::Wait);
        let split = any::<bool>().prop_map(Step::Split);
        let loss = select(vec![0.0, 0.01, 0.2]).prop_map(Step::Loss);
        let readiness = select(vec![Readiness::Ready, Readiness::Cold, Readiness::Leaving]);
        let set_readiness = (0..BACK_ENDS, readiness)
            .prop_map(|(index, readiness)| Step::SetReadiness(index, readiness));
        let down =
            (0..BACK_ENDS, any::<bool>()).prop_map(|(index, down)| Step::SetDown(index, down));
        let mut steps = vec![
            wait.boxed(),
            split.boxed(),
            loss.boxed(),
            set_readiness.boxed(),
            down.boxed(),
        ];
        if model.processes.len() < MAX_NODES {
            steps.push((0..2_usize).prop_map(Step::Start).boxed());
        }
        // Seeds 0 and 1 may be paused but not stopped, so that other nodes can always join.
        let stoppable: Vec<Host> = running.iter().copied().filter(|host| *host > 1).collect();
        if !stoppable.is_empty() {
            steps.push(select(stoppable.clone()).prop_map(Step::Crash).boxed());
            steps.push(select(stoppable.clone()).prop_map(Step::Leave).boxed());
            if model.processes.len() < MAX_NODES {
                steps.push(select(stoppable).prop_map(Step::Restart).boxed());
            }
        }
        if !running.is_empty() {
            steps.push(select(running).prop_map(Step::Pause).boxed());
        }
        if !paused.is_empty() {
            steps.push(select(paused).prop_map(Step::Resume).boxed());
        }
        proptest::strategy::Union::new(steps).boxed()
    }

    fn preconditions(model: &Model, step: &Step) -> bool {
        let is = |host: &Host, state: ProcessState| model.processes.get(*host) == Some(&state);
        match step {
            Step::Crash(host) | Step::Restart(host) | Step::Leave(host) | Step::Pause(host) => {
                is(host, ProcessState::Running)
            }
            Step::Resume(host) => is(host, ProcessState::Paused),
            _ => true,
        }
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match step {
            Step::Start(_) => model.processes.push(ProcessState::Running),
            Step::Crash(host) => model.processes[*host] = ProcessState::Stopped,
            Step::Restart(host) => {
                model.processes[*host] = ProcessState::Stopped;
                model.processes.push(ProcessState::Running);
            }
            Step::Pause(host) => model.processes[*host] = ProcessState::Paused,
            Step::Resume(host) => model.processes[*host] = ProcessState::Running,
            Step::Leave(host) => model.processes[*host] = ProcessState::Leaving,
            _ => {}
        }
        model
    }
}

/// Simulated cluster, and the last incarnation and state each node observed of each member.
struct ClusterUnderTest {
    cluster: Cluster,
    last_observed: BTreeMap<(Host, NodeId), (Incarnation, MemberState)>,
}

impl ClusterUnderTest {
    fn apply_step(&mut self, step: Step) {
        let cluster = &mut self.cluster;
        match step {
            Step::Start(region) => {
                let machine = cluster.processes.len();
                cluster.start(machine, region, &[0, 1]);
            }
            Step::Crash(host) => cluster.crash(host),
            Step::Restart(host) => cluster.restart(host, &[0, 1]),
            Step::Pause(host) => cluster.pause(host),
            Step::Resume(host) => cluster.resume(host),
            Step::Leave(host) => cluster.leave(host),
            Step::Split(split) => cluster.network.regions_split = split,
            Step::Loss(loss) => cluster.network.loss = loss,
            Step::SetReadiness(index, readiness) => {
                let model = cluster.back_ends.get_mut(&back_end(index));
                model.expect("the back end exists").report.readiness = readiness;
            }
            Step::SetDown(index, down) => {
                let model = cluster.back_ends.get_mut(&back_end(index));
                model.expect("the back end exists").down = down;
            }
            Step::Wait(time) => cluster.run(seconds(time)),
        }
        self.cluster.run(seconds(0.1));
        self.check_views();
    }

    /// Checks that incarnations never decrease and that leaving is never reverted.
    fn check_views(&mut self) {
        for host in self.cluster.running() {
            for member in self.cluster.view(host).members() {
                let key = (host, member.endpoint.node);
                let now = (member.incarnation, member.state);
                if let Some((incarnation, state)) = self.last_observed.insert(key, now) {
                    assert!(
                        now.0 >= incarnation,
                        "host {host} observed a lower incarnation of {}",
                        member.name
                    );
                    let reverted =
                        state == MemberState::Leaving && member.state != MemberState::Leaving;
                    assert!(
                        !reverted,
                        "host {host} observed {} revert from leaving",
                        member.name
                    );
                }
            }
        }
    }

    fn end_faults(&mut self) {
        let cluster = &mut self.cluster;
        cluster.network.regions_split = false;
        cluster.network.loss = 0.01;
        for host in 0..cluster.processes.len() {
            if cluster.processes[host].paused {
                cluster.resume(host);
            }
        }
        cluster.run(seconds(QUIESCENCE_SECONDS));
    }

    fn check_convergence(&self) {
        let cluster = &self.cluster;
        assert!(
            cluster.converged(),
            "members did not converge after the faults ended"
        );
        for (id, model) in &cluster.back_ends {
            for host in cluster.running() {
                let record = cluster.health_record(host, id);
                assert_eq!(record.reachable, !model.down, "host {host}, back end {id}");
                if !model.down {
                    assert_eq!(
                        record.readiness, model.report.readiness,
                        "host {host}, back end {id}"
                    );
                }
            }
        }
        let processes = cluster.processes.iter();
        let largest = processes.map(|process| process.largest_message).max();
        assert!(
            largest <= Some(MESSAGE_LIMIT_BYTES),
            "largest message has {largest:?} bytes"
        );
    }
}

impl StateMachineTest for ClusterUnderTest {
    type SystemUnderTest = ClusterUnderTest;
    type Reference = Model;

    fn init_test(_model: &Model) -> ClusterUnderTest {
        let mut cluster = Cluster::new(1, Network::default());
        cluster.start_nodes(INITIAL_NODES, 2, seconds(0.05));
        cluster.install(bundle(BACK_ENDS, 2));
        cluster.run(seconds(5.0));
        ClusterUnderTest {
            cluster,
            last_observed: BTreeMap::new(),
        }
    }

    fn apply(mut under_test: ClusterUnderTest, _model: &Model, step: Step) -> ClusterUnderTest {
        under_test.apply_step(step);
        under_test
    }

    fn teardown(mut under_test: ClusterUnderTest) {
        under_test.end_faults();
        under_test.check_views();
        under_test.check_convergence();
    }
}

fn config() -> Config {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    Config {
        cases: if long { LONG_CASES } else { CASES },
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn cluster_converges_after_random_faults(sequential 1..25 => ClusterUnderTest);
}
