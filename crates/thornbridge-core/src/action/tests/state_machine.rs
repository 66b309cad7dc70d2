//! Random interleavings with different member lists, lost messages, crashes and group changes: no
//! key runs twice. [`Cluster`] checks each execution and each response.

use super::cluster::{AttemptEnd, Cluster, StoreFault};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::time::Duration;

const HOSTS: usize = 6;

/// One step of the test. Indices are taken modulo the number of elements.
#[derive(Clone, Debug)]
pub enum Step {
    SendAction { host: usize, key: u8, payload: u8 },
    Deliver(usize),
    DeliverAll,
    Duplicate(usize),
    Drop(usize),
    DropAll,
    CompleteStoreRequest(usize, StoreFault),
    EndAttempt(usize, AttemptEnd),
    Wait(u64),
    SetView { host: usize, mask: u32 },
    SetReader { host: usize, is_reader: bool },
    Restart(usize),
    Leave(usize),
    RunWithoutFaults(u64),
}

/// Reference without a state: any order of steps is allowed.
pub struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = usize;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<usize> {
        (3..=HOSTS).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Step> {
        use AttemptEnd::*;
        let ends = prop::sample::select(vec![
            Done,
            Done,
            Failed,
            Shed,
            Leaving,
            Expired,
            NotSent,
            BrokenAfterRun,
            BrokenBeforeRun,
            Malformed,
        ]);
        let faults = prop::sample::select(vec![
            StoreFault::None,
            StoreFault::None,
            StoreFault::None,
            StoreFault::AnswerLost,
            StoreFault::Unreachable,
        ]);
        prop_oneof![
            8 => (0..HOSTS, 0..3u8, 0..8u8).prop_map(|(host, key, payload)| Step::SendAction {
                host,
                key,
                payload: payload / 7,
            }),
            30 => (0..100usize).prop_map(Step::Deliver),
            4 => Just(Step::DeliverAll),
            3 => (0..100usize).prop_map(Step::Duplicate),
            3 => (0..100usize).prop_map(Step::Drop),
            1 => Just(Step::DropAll),
            6 => (0..10usize, faults).prop_map(|(index, fault)| Step::CompleteStoreRequest(index, fault)),
            8 => (0..10usize, ends).prop_map(|(index, end)| Step::EndAttempt(index, end)),
            10 => (1..120u64).prop_map(Step::Wait),
            1 => (1_000..4_000u64).prop_map(Step::Wait),
            4 => (0..HOSTS, any::<u32>()).prop_map(|(host, mask)| Step::SetView { host, mask }),
            3 => (0..HOSTS, any::<bool>()).prop_map(|(host, is_reader)| Step::SetReader { host, is_reader }),
            2 => (0..HOSTS).prop_map(Step::Restart),
            1 => (0..HOSTS).prop_map(Step::Leave),
            3 => (1..40u64).prop_map(Step::RunWithoutFaults),
        ]
        .boxed()
    }

    fn apply(state: usize, _: &Step) -> usize {
        state
    }
}

pub struct ClusterTest;

impl StateMachineTest for ClusterTest {
    type SystemUnderTest = Cluster;
    type Reference = AnyOrder;

    fn init_test(hosts: &usize) -> Cluster {
        let mut cluster = Cluster::new(*hosts);
        cluster.set_platform_reader(0, true);
        cluster.run_without_faults(4_000);
        cluster
    }

    fn apply(mut cluster: Cluster, hosts: &usize, step: Step) -> Cluster {
        let queued = cluster.network.len();
        match step {
            Step::SendAction { host, key, payload } => {
                let (key, payload) = (format!("k{key}"), format!("p{payload}"));
                cluster.send_action(host % hosts, &key, &payload);
            }
            Step::Deliver(index) if queued > 0 => {
                let packet = cluster.network.remove(index % queued);
                cluster.deliver(packet);
            }
            Step::DeliverAll => {
                for packet in std::mem::take(&mut cluster.network) {
                    cluster.deliver(packet);
                }
            }
            Step::Duplicate(index) if queued > 0 => {
                let packet = cluster.network[index % queued].clone();
                cluster.deliver(packet);
            }
            Step::Drop(index) if queued > 0 => {
                cluster.network.remove(index % queued);
            }
            Step::DropAll => cluster.network.clear(),
            Step::CompleteStoreRequest(index, fault) if !cluster.store_requests.is_empty() => {
                let index = index % cluster.store_requests.len();
                cluster.complete_store_request(index, fault);
            }
            Step::EndAttempt(index, end) if !cluster.running.is_empty() => {
                let index = index % cluster.running.len();
                cluster.end_attempt(index, end);
            }
            Step::Wait(duration_ms) => cluster.advance(Duration::from_millis(duration_ms)),
            Step::SetView { host, mask } => cluster.set_view(host % hosts, mask),
            Step::SetReader { host, is_reader } => {
                cluster.set_platform_reader(host % hosts, is_reader)
            }
            Step::Restart(host) => cluster.restart(host % hosts),
            Step::Leave(host) => cluster.leave(host % hosts),
            Step::RunWithoutFaults(duration_ms) => cluster.run_without_faults(duration_ms),
            Step::Deliver(_)
            | Step::Duplicate(_)
            | Step::Drop(_)
            | Step::CompleteStoreRequest(..)
            | Step::EndAttempt(..) => {}
        }
        cluster
    }

    fn teardown(mut cluster: Cluster) {
        // Ends all attempts in flight as executed.
        while !cluster.running.is_empty() {
            cluster.end_attempt(0, AttemptEnd::Done);
        }
        cluster.set_full_views();
        cluster.run_without_faults(2_000);
        while !cluster.running.is_empty() {
            cluster.end_attempt(0, AttemptEnd::Done);
        }
    }
}

/// Few cases with a fixed seed; more if `THORNBRIDGE_LONG` is set.
fn configuration() -> Config {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    Config {
        cases: if long { 20_000 } else { 100 },
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(configuration())]

    #[test]
    fn no_interleaving_runs_a_key_twice(sequential 1..200 => ClusterTest);
}
