//! Permits and counts of one node.

use crate::gateway::budget::ServiceKey;
use crate::gateway::rollouts::trials::{Arm, Trials};
use crate::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::rollout::{Outcomes, RouteReport};

const SERVICE: ServiceKey = ServiceKey(3);
const ROUTE: &str = "search";
const VALID: Duration = Duration::from_secs(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

fn begun() -> Trials {
    let mut trials = Trials::default();
    trials.begin(SERVICE);
    trials
}

fn grant(trials: &mut Trials, now: Timestamp, permits: u32) {
    let by_route = [(ROUTE.to_owned(), permits)];
    trials.grant(now, SERVICE, &by_route, VALID, None);
}

fn take(trials: &mut Trials, now: Timestamp) -> bool {
    trials.take_permit(now, SERVICE, ROUTE).is_some()
}

/// Report of the only route.
fn report(trials: &mut Trials, now: Timestamp) -> Option<RouteReport> {
    let mut routes = trials.take_report(now, SERVICE)?;
    assert!(routes.len() <= 1);
    routes.pop()
}

fn returned(trials: &mut Trials, now: Timestamp) -> u32 {
    report(trials, now).map_or(0, |report| report.returned)
}

#[test]
fn permit_is_used_once() {
    let mut trials = begun();
    grant(&mut trials, at(0), 1);
    assert!(take(&mut trials, at(1)));
    assert!(!take(&mut trials, at(1)));
}

#[test]
fn permit_is_not_used_for_another_route() {
    let mut trials = begun();
    grant(&mut trials, at(0), 1);
    assert_eq!(trials.take_permit(at(1), SERVICE, "other"), None);
}

#[test]
fn permit_is_not_used_for_another_service() {
    let mut trials = begun();
    trials.begin(ServiceKey(4));
    grant(&mut trials, at(0), 1);
    assert_eq!(trials.take_permit(at(1), ServiceKey(4), ROUTE), None);
}

#[test]
fn lapsed_permit_is_not_used() {
    let mut trials = begun();
    grant(&mut trials, at(0), 1);
    assert!(!take(&mut trials, at(1_001)));
}

#[test]
fn permit_names_server_of_its_grant() {
    let mut trials = begun();
    let server = BackEndId::new("b-1");
    let by_route = [(ROUTE.to_owned(), 1)];
    trials.grant(at(0), SERVICE, &by_route, VALID, Some(server.clone()));
    let taken = trials.take_permit(at(1), SERVICE, ROUTE);
    assert_eq!(taken, Some(Some(server)));
}

#[test]
fn permit_that_lapses_first_is_used_first() {
    let mut trials = begun();
    grant(&mut trials, at(500), 1);
    grant(&mut trials, at(0), 1);
    assert!(take(&mut trials, at(600)));
    assert!(take(&mut trials, at(1_400)), "the later grant is left");
}

#[test]
fn lapsed_permits_are_reported_once() {
    let mut trials = begun();
    grant(&mut trials, at(0), 3);
    assert!(take(&mut trials, at(1)));
    assert_eq!(returned(&mut trials, at(1_001)), 2);
    assert_eq!(returned(&mut trials, at(2_002)), 0);
}

#[test]
fn returned_permit_is_reported_once() {
    let mut trials = begun();
    grant(&mut trials, at(0), 1);
    assert!(take(&mut trials, at(1)));
    trials.return_permit(SERVICE, ROUTE);
    assert_eq!(returned(&mut trials, at(2)), 1);
    assert_eq!(returned(&mut trials, at(2_000)), 0);
}

#[test]
fn returned_permit_is_not_used_again() {
    let mut trials = begun();
    grant(&mut trials, at(0), 1);
    assert!(take(&mut trials, at(1)));
    trials.return_permit(SERVICE, ROUTE);
    assert!(!take(&mut trials, at(2)));
}

#[test]
fn permit_of_earlier_trial_is_not_returned_to_later_one() {
    let mut trials = begun();
    grant(&mut trials, at(0), 1);
    assert!(take(&mut trials, at(1)));
    trials.end(SERVICE);
    trials.begin(SERVICE);
    grant(&mut trials, at(1), 1);
    trials.return_permit(SERVICE, ROUTE);
    assert_eq!(returned(&mut trials, at(2)), 0);
}

#[test]
fn permits_end_with_their_trial() {
    let mut trials = begun();
    grant(&mut trials, at(0), 1);
    trials.end(SERVICE);
    trials.begin(SERVICE);
    assert!(!take(&mut trials, at(1)));
}

#[test]
fn permits_without_trial_are_not_used() {
    let mut trials = Trials::default();
    grant(&mut trials, at(0), 1);
    assert!(!take(&mut trials, at(1)));
}

#[test]
fn requests_are_reported_once() {
    let mut trials = begun();
    trials.record_request(SERVICE, ROUTE);
    trials.record_request(SERVICE, ROUTE);
    let first = report(&mut trials, at(1)).map(|report| report.requests);
    trials.record_request(SERVICE, ROUTE);
    let second = report(&mut trials, at(2)).map(|report| report.requests);
    assert_eq!((first, second), (Some(2), Some(1)));
}

#[test]
fn outcomes_are_reported_as_totals() {
    let mut trials = begun();
    trials.record_outcome(SERVICE, ROUTE, Arm::Trial, false);
    trials.record_outcome(SERVICE, ROUTE, Arm::Stable, true);
    report(&mut trials, at(1));
    trials.record_outcome(SERVICE, ROUTE, Arm::Trial, true);
    let report = report(&mut trials, at(2)).expect("a new outcome");
    assert_eq!(report.trial, Outcomes { good: 1, bad: 1 });
    assert_eq!(report.stable, Outcomes { good: 1, bad: 0 });
}

#[test]
fn beginning_again_keeps_counts() {
    let mut trials = begun();
    trials.record_outcome(SERVICE, ROUTE, Arm::Trial, true);
    trials.begin(SERVICE);
    let report = report(&mut trials, at(1)).map(|report| report.trial.total());
    assert_eq!(report, Some(1));
}

#[test]
fn nothing_new_is_not_reported() {
    let mut trials = begun();
    trials.record_request(SERVICE, ROUTE);
    grant(&mut trials, at(0), 2);
    assert!(report(&mut trials, at(1)).is_some());
    assert_eq!(report(&mut trials, at(2)), None);
}

#[test]
fn counts_without_trial_are_dropped() {
    let mut trials = Trials::default();
    trials.record_request(SERVICE, ROUTE);
    trials.record_outcome(SERVICE, ROUTE, Arm::Trial, false);
    trials.begin(SERVICE);
    assert_eq!(report(&mut trials, at(1)), None);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Grant(u32),
    Take,
    Return,
    Report,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u32).prop_map(Step::Grant),
        Just(Step::Take),
        Just(Step::Take),
        Just(Step::Return),
        Just(Step::Report),
        (0..700_u64).prop_map(Step::Wait),
    ]
}

/// Permits that are returned or lapse if nothing else happens.
fn outstanding(trials: &Trials, now: Timestamp) -> u32 {
    returned(&mut trials.clone(), now + VALID * 2)
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(37),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against permits that are counted twice, which would raise the exposure, or lost.
    #[test]
    fn granted_permits_are_used_or_returned_or_outstanding(steps in prop::collection::vec(step(), 0..60)) {
        let mut trials = begun();
        let (mut now, mut granted, mut used, mut reported) = (at(0), 0, 0, 0);
        for step in steps {
            match step {
                Step::Grant(permits) => {
                    grant(&mut trials, now, permits);
                    granted += permits;
                }
                Step::Take => used += u32::from(take(&mut trials, now)),
                Step::Return if used > 0 => {
                    trials.return_permit(SERVICE, ROUTE);
                    used -= 1;
                }
                Step::Return => {}
                Step::Report => reported += returned(&mut trials, now),
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
            }
            prop_assert_eq!(used + reported + outstanding(&trials, now), granted);
        }
    }
}
