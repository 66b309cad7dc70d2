//! The same seed gives the same trace, and the oracle finds each deliberately broken variant.

use super::{Sabotage, SimulationOutcome, SimulationSetup, Simulator};
use crate::fault::Fault;
use crate::oracle::Invariant;
use crate::rehearse::{self, RehearsalOptions};
use std::time::Duration;

fn setup(deployment: &str) -> SimulationSetup {
    let mut options = RehearsalOptions::new(deployment);
    options.duration = Duration::from_secs(12);
    options.load = 0.05;
    rehearse::prepare(&options).expect("the options are valid")
}

fn run(setup: &SimulationSetup) -> SimulationOutcome {
    Simulator::new(setup.clone()).run()
}

#[test]
fn same_seed_gives_same_trace() {
    let mut setup = setup("th-north");
    setup.faults = vec![Fault::Straggler, Fault::PacketLoss, Fault::SnapshotChange];
    let first = run(&setup);
    assert_eq!(first.trace_digest, run(&setup).trace_digest);
    setup.seed += 1;
    assert_ne!(first.trace_digest, run(&setup).trace_digest);
}

#[test]
fn drivers_contract_is_kept() {
    assert_eq!(run(&setup("dk-east")).contract_breaches, 0);
}

/// Runs a sabotaged simulation and expects violations of one invariant.
fn assert_found(sabotage: Sabotage, invariant: Invariant, faults: &[Fault]) {
    let mut setup = setup("th-north");
    setup.faults = faults.to_vec();
    setup.sabotage = Some(sabotage);
    let outcome = run(&setup);
    assert!(
        outcome.log.violations(invariant) > 0,
        "{sabotage:?} broke no {invariant}: {:?}",
        outcome.log
    );
}

#[test]
fn mixed_snapshots_are_found() {
    assert_found(Sabotage::MixSnapshots, Invariant::OneSnapshot, &[]);
}

#[test]
fn untrue_coverage_is_found() {
    let faults = [Fault::ReplicaLoss, Fault::Shed, Fault::Overload];
    assert_found(Sabotage::InflateCoverage, Invariant::TrueCoverage, &faults);
}

#[test]
fn answers_to_other_callers_are_found() {
    let invariant = Invariant::WholeAnswerToOwnRequest;
    assert_found(Sabotage::SwapAnswers, invariant, &[]);
}

#[test]
fn false_refusals_are_found() {
    let invariant = Invariant::RefusedMeansNotRun;
    assert_found(Sabotage::DenyExecution, invariant, &[]);
}

#[test]
fn actions_that_run_twice_are_found() {
    assert_found(Sabotage::DuplicateAction, Invariant::AtMostOnce, &[]);
}

#[test]
fn work_for_the_leaving_is_found() {
    let invariant = Invariant::LeavingGetsNoNewWork;
    assert_found(Sabotage::IgnoreLeaving, invariant, &[]);
}

#[test]
fn requests_cut_off_by_a_stop_are_found() {
    let invariant = Invariant::PlannedStopCutsNothing;
    assert_found(Sabotage::CutOnStop, invariant, &[Fault::NodeRestart]);
}

#[test]
fn a_falling_generation_is_found() {
    let invariant = Invariant::ConfigurationActiveAndMonotonic;
    assert_found(Sabotage::RevertConfiguration, invariant, &[]);
}

#[test]
fn an_unapproved_version_is_found() {
    assert_found(
        Sabotage::UnapprovedVersion,
        Invariant::OneApprovedVersion,
        &[],
    );
}
