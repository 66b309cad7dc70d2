//! Decisions and permits of one conductor.

use super::support::{
    OTHER_ROUTE, ROUTE, answers, at_ms, new_conductor, node, outcomes, permits_in, permits_of,
    report, requests,
};
use crate::gateway::rollouts::conductor::{Conductor, DecisionReason};
use thornbridge_proto::peer::rollout::{RolloutState, RouteReport};

/// Well before the deadline.
const EARLY_MS: u64 = 2_000;
/// After the decision is due.
const LATE_MS: u64 = 11_500;

/// Reports totals of the route from the first node.
fn tell(conductor: &mut Conductor, at: u64, trial: (u32, u32), stable: (u32, u32)) {
    let route = answers(
        ROUTE,
        outcomes(trial.0, trial.1),
        outcomes(stable.0, stable.1),
    );
    let _ = conductor.handle_report(at_ms(at), node(0), &report(vec![route]));
}

fn decided(conductor: &mut Conductor, at: u64) -> Option<(RolloutState, DecisionReason)> {
    let decision = conductor.decide(at_ms(at));
    decision.map(|decision| (decision.state, decision.reason))
}

/// Permits for a node with requests on the route.
fn ask(conductor: &mut Conductor, at: u64, count: u32) -> u32 {
    let report = report(vec![requests(ROUTE, count)]);
    permits_in(&conductor.handle_report(at_ms(at), node(0), &report))
}

#[test]
fn version_that_always_fails_is_rolled_back_within_a_second() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (0, 6), (20, 0));
    let judged_at = conductor.next_timeout().unwrap();
    assert!(judged_at <= at_ms(EARLY_MS + 1_000));
    let decision = conductor.decide(judged_at).unwrap();
    assert_eq!(decision.state, RolloutState::RolledBack);
    assert_eq!(decision.reason, DecisionReason::Worse);
}

#[test]
fn version_as_good_as_the_other_completes_near_the_deadline() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (20, 0), (60, 0));
    assert_eq!(decided(&mut conductor, EARLY_MS), None);
    let expected = (RolloutState::Complete, DecisionReason::NotWorse);
    assert_eq!(decided(&mut conductor, LATE_MS), Some(expected));
}

#[test]
fn without_traffic_the_version_is_rolled_back() {
    let mut conductor = new_conductor();
    assert_eq!(decided(&mut conductor, EARLY_MS), None);
    let expected = (RolloutState::RolledBack, DecisionReason::Undecided);
    assert_eq!(decided(&mut conductor, LATE_MS), Some(expected));
}

#[test]
fn conductor_without_reports_decides_before_the_deadline() {
    let mut conductor = new_conductor();
    let mut decided_at = at_ms(0);
    while let Some(timeout) = conductor.next_timeout() {
        decided_at = timeout;
        conductor.decide(timeout);
    }
    assert!(decided_at < at_ms(12_000), "{decided_at:?}");
}

#[test]
fn too_few_answers_do_not_complete() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (7, 0), (60, 0));
    let expected = (RolloutState::RolledBack, DecisionReason::Undecided);
    assert_eq!(decided(&mut conductor, LATE_MS), Some(expected));
}

#[test]
fn suspicion_at_the_end_does_not_complete() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (20, 3), (100, 0));
    tell(&mut conductor, 10_000, (20, 6), (200, 0));
    let expected = (RolloutState::RolledBack, DecisionReason::Undecided);
    assert_eq!(decided(&mut conductor, LATE_MS), Some(expected));
}

#[test]
fn decision_never_changes() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (20, 0), (60, 0));
    let first = conductor.decide(at_ms(LATE_MS));
    assert!(first.is_some());
    tell(&mut conductor, LATE_MS, (20, 20), (80, 0));
    assert_eq!(conductor.decide(at_ms(LATE_MS + 100)), first);
}

#[test]
fn conductor_that_starts_late_gathers_totals_before_it_decides() {
    let mut conductor = new_conductor();
    assert_eq!(decided(&mut conductor, LATE_MS), None);
    tell(&mut conductor, LATE_MS + 100, (20, 0), (60, 0));
    let expected = (RolloutState::Complete, DecisionReason::NotWorse);
    assert_eq!(decided(&mut conductor, LATE_MS + 600), Some(expected));
}

#[test]
fn timeout_is_when_the_decision_is_due() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (20, 0), (60, 0));
    let judged_at = conductor.next_timeout().unwrap();
    assert_eq!(conductor.decide(judged_at), None);
    let due = conductor.next_timeout().unwrap();
    assert!(conductor.decide(due).is_some());
    assert_eq!(conductor.next_timeout(), None);
}

#[test]
fn busy_service_is_decided_later_to_stay_within_the_bound() {
    let mut conductor = new_conductor();
    for at in (0..10_800).step_by(100) {
        ask(&mut conductor, at, 100);
    }
    let due = conductor.next_timeout().unwrap();
    assert!(due > at_ms(11_200), "{due:?}");
    assert!(due < at_ms(11_700), "{due:?}");
}

#[test]
fn earlier_order_time_brings_the_decision_forward() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (20, 0), (60, 0));
    conductor.set_ordered_at(at_ms(0) - std::time::Duration::from_secs(9));
    assert!(decided(&mut conductor, EARLY_MS + 1_100).is_some());
}

#[test]
fn conductor_without_requests_grants_nothing() {
    let mut conductor = new_conductor();
    assert_eq!(ask(&mut conductor, EARLY_MS, 1), 0);
}

#[test]
fn slack_is_granted_before_anything_is_earned() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    assert_eq!(ask(&mut conductor, 100, 1), 1);
}

#[test]
fn no_warm_server_gets_no_permits() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    conductor.set_instances(Vec::new());
    assert_eq!(ask(&mut conductor, EARLY_MS, 5), 0);
}

#[test]
fn no_permits_after_a_decision() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    tell(&mut conductor, EARLY_MS, (0, 8), (60, 0));
    assert!(decided(&mut conductor, EARLY_MS + 1_100).is_some());
    assert_eq!(ask(&mut conductor, EARLY_MS + 1_200, 5), 0);
}

#[test]
fn no_permits_after_the_deadline() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    assert_eq!(ask(&mut conductor, 12_100, 5), 0);
}

#[test]
fn no_permits_after_thirty_bad_answers() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    tell(&mut conductor, EARLY_MS, (0, 30), (0, 100));
    assert_eq!(decided(&mut conductor, EARLY_MS + 1_100), None);
    assert_eq!(ask(&mut conductor, EARLY_MS + 1_200, 5), 0);
}

#[test]
fn route_with_fewer_answers_gets_permits_first() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    tell(&mut conductor, EARLY_MS, (9, 0), (60, 0));
    let routes = vec![requests(ROUTE, 9), requests(OTHER_ROUTE, 9)];
    let permits = conductor.handle_report(at_ms(EARLY_MS), node(1), &report(routes));
    assert_eq!(permits_of(&permits, ROUTE), 0, "{permits:?}");
    assert!(permits_of(&permits, OTHER_ROUTE) > 0, "{permits:?}");
}

#[test]
fn outstanding_permits_count_towards_the_balance_of_routes() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    let first = report(vec![requests(ROUTE, 1)]);
    assert_eq!(
        permits_of(
            &conductor.handle_report(at_ms(EARLY_MS), node(0), &first),
            ROUTE
        ),
        1
    );
    let both = report(vec![requests(ROUTE, 5), requests(OTHER_ROUTE, 1)]);
    let permits = conductor.handle_report(at_ms(EARLY_MS + 500), node(1), &both);
    assert_eq!(permits_of(&permits, OTHER_ROUTE), 1, "{permits:?}");
}

#[test]
fn first_reporter_does_not_get_all_permits() {
    let mut conductor = new_conductor();
    conductor.add_slack();
    for at in (0..EARLY_MS).step_by(100) {
        ask(&mut conductor, at, 4);
    }
    let granted = ask(&mut conductor, EARLY_MS + 400, 50);
    assert!((1..=8).contains(&granted), "{granted}");
}

#[test]
fn returned_permits_are_granted_again() {
    let mut conductor = new_conductor();
    assert_eq!(ask(&mut conductor, 9_000, 25), 1);
    assert_eq!(ask(&mut conductor, 9_500, 1), 0);
    let returned = RouteReport {
        returned: 1,
        ..requests(ROUTE, 1)
    };
    let permits = conductor.handle_report(at_ms(10_700), node(0), &report(vec![returned]));
    assert_eq!(permits_in(&permits), 1);
}

#[test]
fn totals_repeated_by_a_node_are_not_counted_again() {
    let mut conductor = new_conductor();
    for _ in 0..5 {
        tell(&mut conductor, EARLY_MS, (3, 2), (60, 0));
    }
    assert_eq!(conductor.outcomes(), (outcomes(3, 2), outcomes(60, 0)));
}

#[test]
fn totals_of_a_restarted_node_are_all_new() {
    let mut conductor = new_conductor();
    tell(&mut conductor, EARLY_MS, (3, 0), (60, 0));
    tell(&mut conductor, EARLY_MS + 500, (2, 0), (5, 1));
    assert_eq!(conductor.outcomes(), (outcomes(5, 0), outcomes(65, 1)));
}

#[test]
fn decision_names_the_route_and_its_counts() {
    let mut conductor = new_conductor();
    let good = answers(OTHER_ROUTE, outcomes(4, 0), outcomes(40, 0));
    let bad = answers(ROUTE, outcomes(1, 8), outcomes(50, 1));
    conductor.handle_report(at_ms(EARLY_MS), node(0), &report(vec![good, bad]));
    let decision = conductor.decide(at_ms(EARLY_MS + 1_100)).unwrap();
    assert_eq!(decision.route, ROUTE);
    assert_eq!(decision.trial, outcomes(1, 8));
    assert_eq!(decision.stable, outcomes(50, 1));
}
