//! Tests of nodes that compete for a lease with pauses, clock jumps, and lost or late answers.

use crate::lease_model::{Fault, LeaseModel};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::time::Duration;
use thornbridge_core::lease::LeaseParameters;

const CANDIDATES: usize = 3;

#[derive(Clone, Debug)]
pub enum Transition {
    Step {
        index: usize,
        fault: Fault,
    },
    Advance {
        time: Duration,
    },
    SetWanted {
        index: usize,
        wanted: bool,
    },
    JumpClock {
        index: usize,
        by: Duration,
        detected: bool,
    },
    CheckNow {
        index: usize,
    },
    DeliverDelayed {
        delayed: usize,
    },
}

/// Reference without a state; [`LeaseModel`] checks each write and who holds the lease.
#[derive(Clone, Debug)]
pub struct Stateless;

impl ReferenceStateMachine for Stateless {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Transition> {
        let index = 0..CANDIDATES;
        prop_oneof![
            12 => (index.clone(), fault()).prop_map(|(index, fault)| Transition::Step { index, fault }),
            8 => (1..1_500_u64).prop_map(|ms| Transition::Advance { time: Duration::from_millis(ms) }),
            1 => (1..20_u64).prop_map(|s| Transition::Advance { time: Duration::from_secs(s) }),
            1 => (index.clone(), any::<bool>()).prop_map(|(index, wanted)| Transition::SetWanted { index, wanted }),
            1 => (index.clone(), 1..20_u64).prop_map(|(index, s)| Transition::JumpClock {
                index,
                by: Duration::from_secs(s),
                detected: true,
            }),
            1 => index.clone().prop_map(|index| Transition::CheckNow { index }),
            2 => (0..3_usize).prop_map(|delayed| Transition::DeliverDelayed { delayed }),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Transition) -> Self {
        state
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => Just(Fault::None),
        1 => Just(Fault::Unreachable),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::AnswerLost),
        1 => Just(Fault::Delayed),
        2 => Just(Fault::SlowAnswer),
    ]
}

fn model() -> LeaseModel {
    let clocks = [0, 1_000, 77].map(Duration::from_secs);
    LeaseModel::new(LeaseParameters::default(), &clocks)
}

fn apply(model: &mut LeaseModel, transition: Transition) {
    match transition {
        Transition::Step { index, fault } => model.step(index, fault),
        Transition::Advance { time } => model.now += time,
        Transition::SetWanted { index, wanted } => {
            let clock = model.clock(index);
            model.candidates[index].lease.set_wanted(clock, wanted);
        }
        Transition::JumpClock {
            index,
            by,
            detected,
        } => model.jump_clock(index, by, detected),
        Transition::CheckNow { index } => model.check_now(index),
        Transition::DeliverDelayed { delayed } => model.deliver_delayed(delayed),
    }
}

/// Checks that exactly one node holds the lease after a period without faults.
fn check_recovery(model: &mut LeaseModel) {
    while !model.delayed.is_empty() {
        model.deliver_delayed(0);
    }
    for index in 0..CANDIDATES {
        let clock = model.clock(index);
        model.candidates[index].lease.set_wanted(clock, true);
    }
    for _ in 0..300 {
        model.now += Duration::from_millis(100);
        for index in 0..CANDIDATES {
            model.step(index, Fault::None);
        }
    }
    model.undetected_jump = false;
    model.check_invariants();
    let holds = |index: &usize| {
        let lease = &model.candidates[*index].lease;
        lease.held_token(model.clock(*index)).is_some()
    };
    assert_eq!((0..CANDIDATES).filter(holds).count(), 1);
}

pub struct LeaseModelTest;

impl StateMachineTest for LeaseModelTest {
    type SystemUnderTest = LeaseModel;
    type Reference = Stateless;

    fn init_test(_: &Stateless) -> LeaseModel {
        model()
    }

    fn apply(mut state: LeaseModel, _: &Stateless, transition: Transition) -> LeaseModel {
        apply(&mut state, transition);
        state
    }

    fn check_invariants(model: &LeaseModel, _: &Stateless) {
        model.check_invariants();
    }

    fn teardown(mut model: LeaseModel) {
        check_recovery(&mut model);
    }
}

fn config() -> Config {
    let long = std::env::var_os("THORNBRIDGE_LONG").is_some();
    Config {
        cases: if long { 20_000 } else { 256 },
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn lease_has_one_holder_and_rejects_stale_writes(sequential 1..200 => LeaseModelTest);
}

proptest! {
    #![proptest_config(config())]

    /// An undetected clock jump can make a node consider an expired lease held, but its writes are
    /// rejected.
    #[test]
    fn undetected_clock_jump_causes_no_stale_write(
        before in 0..40_usize,
        jumps in prop::collection::vec((0..CANDIDATES, 1..20_u64, 0..20_usize), 1..5),
    ) {
        let mut model = model();
        let run = |model: &mut LeaseModel, steps: usize| {
            for step in 0..steps {
                model.now += Duration::from_millis(200);
                model.step(step % CANDIDATES, Fault::None);
                model.check_invariants();
            }
        };
        run(&mut model, before);
        for (index, seconds, steps) in jumps {
            model.jump_clock(index, Duration::from_secs(seconds), false);
            run(&mut model, steps);
        }
        check_recovery(&mut model);
    }
}

/// A model in which the first candidate holds the lease.
fn model_held_by_first() -> LeaseModel {
    let mut model = model();
    for _ in 0..3 {
        model.step(0, Fault::None);
    }
    assert!(
        model.candidates[0]
            .lease
            .held_token(model.clock(0))
            .is_some()
    );
    model
}

#[test]
fn holder_paused_past_expiry_loses_the_lease() {
    let mut model = model_held_by_first();
    model.step(1, Fault::None);
    model.now += Duration::from_secs(5);
    for _ in 0..3 {
        model.step(1, Fault::None);
    }
    assert!(
        model.candidates[1]
            .lease
            .held_token(model.clock(1))
            .is_some()
    );
    assert!(
        model.candidates[0]
            .lease
            .held_token(model.clock(0))
            .is_none()
    );
    let write_count = model.store.writes.len();
    model.step(0, Fault::None);
    assert_eq!(model.store.writes.len(), write_count);
}

#[test]
fn renewal_by_expired_holder_with_slow_clock_is_rejected() {
    let mut model = model_held_by_first();
    model.step(1, Fault::None);
    model.now += Duration::from_secs(6);
    for _ in 0..3 {
        model.step(1, Fault::None);
    }
    // The first node's clock is behind, so the node still considers the lease held.
    model.undetected_jump = true;
    model.candidates[0].clock_offset = Duration::ZERO;
    let paused_at = model.now.saturating_sub(Duration::from_secs(4));
    model.now = paused_at;
    assert!(
        model.candidates[0]
            .lease
            .held_token(model.clock(0))
            .is_some()
    );
    let write_count = model.store.writes.len();
    model.step(0, Fault::None);
    assert_eq!(
        model.store.writes.len(),
        write_count,
        "a renewal by an expired holder took effect"
    );
    assert!(
        model.candidates[0]
            .lease
            .held_token(model.clock(0))
            .is_none()
    );
}

#[test]
fn released_lease_is_acquired_without_delay() {
    let mut model = model_held_by_first();
    model.step(1, Fault::None);
    let clock = model.clock(0);
    model.candidates[0].lease.set_wanted(clock, false);
    model.step(0, Fault::None);
    model.check_now(1);
    for _ in 0..2 {
        model.step(1, Fault::None);
    }
    assert!(
        model.candidates[1]
            .lease
            .held_token(model.clock(1))
            .is_some()
    );
}

/// Guards against extending a lease by an uncertain renewal while the store shows an earlier write.
#[test]
fn uncertain_renewal_does_not_extend_the_lease() {
    let mut model = model_held_by_first();
    model.step(1, Fault::None);
    model.now = Duration::from_secs(4);
    model.step(0, Fault::Delayed);
    model.now = Duration::from_secs(5);
    model.step(0, Fault::None);
    for _ in 0..3 {
        model.step(1, Fault::None);
        model.check_invariants();
    }
}
