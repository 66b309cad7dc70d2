//! Property test: random interleavings of queries, replies, failures, configuration changes and a
//! stop.

use super::harness::{BundleSpec, NodeHarness, Reply};
use crate::{AttemptFailure, CallerId, Event};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::time::Duration;
use thornbridge_config::bundle::CompletenessPolicy;

/// A step of an interleaving. Indices are taken modulo the number of candidates.
#[derive(Clone, Debug)]
pub enum Step {
    SendQuery {
        timeout_ms: Option<u64>,
        minimum_coverage: Option<f64>,
    },
    DisconnectCaller(usize),
    OpenAll,
    LoseConnection(usize),
    Reply(usize, Reply),
    ReplyAgain(usize, Reply),
    Fail(usize, AttemptFailure),
    Wait(u64),
    Install {
        shards: u32,
        replicas: u32,
        with_second_snapshot: bool,
    },
    Stop,
}

fn reply() -> impl Strategy<Value = Reply> {
    let failure_reply = prop::sample::select(Reply::FAILURES.to_vec());
    prop_oneof![3 => Just(Reply::Hits), 2 => failure_reply]
}

fn failure() -> impl Strategy<Value = AttemptFailure> {
    prop::sample::select(vec![
        AttemptFailure::NotSent,
        AttemptFailure::ConnectionBroken,
        AttemptFailure::MalformedReply,
    ])
}

/// Generates steps in any order.
pub struct UnorderedSteps;

impl ReferenceStateMachine for UnorderedSteps {
    type State = (CompletenessPolicy, u32);
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        let policies = vec![
            CompletenessPolicy::LatencyFirst,
            CompletenessPolicy::CoverageFirst,
        ];
        (prop::sample::select(policies), 1..4u32).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        let send_query = (
            prop::option::of(1..250u64),
            prop::option::of(prop::sample::select(vec![0.0, 0.3, 0.75, 1.0])),
        );
        let install = (1..6u32, 1..4u32, any::<bool>());
        prop_oneof![
            6 => send_query.prop_map(|(timeout_ms, minimum_coverage)| Step::SendQuery {
                timeout_ms,
                minimum_coverage
            }),
            1 => (0..50usize).prop_map(Step::DisconnectCaller),
            8 => Just(Step::OpenAll),
            1 => (0..50usize).prop_map(Step::LoseConnection),
            20 => (0..50usize, reply()).prop_map(|(index, reply)| Step::Reply(index, reply)),
            2 => (0..50usize, reply()).prop_map(|(index, reply)| Step::ReplyAgain(index, reply)),
            3 => (0..50usize, failure()).prop_map(|(index, failure)| Step::Fail(index, failure)),
            8 => (0..60u64).prop_map(Step::Wait),
            1 => install.prop_map(|(shards, replicas, with_second_snapshot)| Step::Install {
                shards,
                replicas,
                with_second_snapshot
            }),
            1 => Just(Step::Stop),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

/// A node under test. [`NodeHarness`] checks each answer and refusal.
pub struct NodeMachine;

impl StateMachineTest for NodeMachine {
    type SystemUnderTest = (NodeHarness, BundleSpec);
    type Reference = UnorderedSteps;

    fn init_test((policy, replicas): &(CompletenessPolicy, u32)) -> Self::SystemUnderTest {
        let mut spec = BundleSpec::new(*policy);
        spec.replicas = *replicas;
        spec.maximum_in_flight = 4;
        spec.extra_load = 0.3;
        (NodeHarness::new(&spec), spec)
    }

    fn apply(
        (mut harness, mut spec): Self::SystemUnderTest,
        _: &(CompletenessPolicy, u32),
        step: Step,
    ) -> Self::SystemUnderTest {
        match step {
            Step::SendQuery {
                timeout_ms,
                minimum_coverage,
            } => {
                harness.send_query(timeout_ms.map(Duration::from_millis), minimum_coverage);
            }
            Step::DisconnectCaller(index) => {
                let caller = CallerId(1 + index as u64 % harness.sent_queries.len().max(1) as u64);
                let is_waiting = harness.sent_queries.contains_key(&caller)
                    && !harness.responses.contains_key(&caller);
                if is_waiting && !harness.disconnected.contains(&caller) {
                    harness.disconnect_caller(caller);
                }
            }
            Step::OpenAll => harness.open_all(),
            Step::LoseConnection(index) => harness.lose_connection(index),
            Step::Reply(index, reply) if !harness.running.is_empty() => {
                harness.reply(index % harness.running.len(), reply);
            }
            Step::ReplyAgain(index, reply) if !harness.ended_attempts.is_empty() => {
                harness.redeliver_reply(index % harness.ended_attempts.len(), reply);
            }
            Step::Fail(index, failure) if !harness.running.is_empty() => {
                harness.fail(index % harness.running.len(), failure);
            }
            Step::Wait(millis) => harness.advance(Duration::from_millis(millis)),
            Step::Install {
                shards,
                replicas,
                with_second_snapshot,
            } => {
                spec.generation += 1;
                spec.shards = shards;
                spec.replicas = replicas;
                spec.snapshots = if with_second_snapshot {
                    vec!["two", "one"]
                } else {
                    vec!["one"]
                };
                harness.install(&spec);
            }
            Step::Stop => harness.handle(Event::StopRequested),
            Step::Reply(..) | Step::ReplyAgain(..) | Step::Fail(..) => {}
        }
        (harness, spec)
    }

    fn check_invariants((harness, _): &Self::SystemUnderTest, _: &(CompletenessPolicy, u32)) {
        assert!(harness.stopped_count <= 1);
        let busy = harness.node.queries.in_flight();
        assert_eq!(
            busy,
            harness.unanswered_count(),
            "queries in flight differ from unanswered callers"
        );
    }

    fn teardown((mut harness, _): Self::SystemUnderTest) {
        harness.finish();
    }
}

/// Fixed seed; more cases if `THORNBRIDGE_LONG` is set.
fn configuration() -> Config {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    Config {
        cases: if long { 20_000 } else { 300 },
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(configuration())]

    #[test]
    fn invariants_hold_under_any_interleaving(sequential 1..150 => NodeMachine);
}
