//! Evidence on a version, from outcomes alone.

use super::support::{OTHER_ROUTE, ROUTE, at_ms, outcomes};
use crate::gateway::rollouts::totals::ArmOutcomes;
use crate::gateway::rollouts::verdict::{Finding, Verdict};

const NOW_MS: u64 = 3_000;
/// After all outcomes of a test.
const END_MS: u64 = 5_000;

fn add(verdict: &mut Verdict, at: u64, route: &str, trial: (u32, u32), stable: (u32, u32)) {
    let outcomes = ArmOutcomes {
        trial: outcomes(trial.0, trial.1),
        stable: outcomes(stable.0, stable.1),
    };
    verdict.add(at_ms(at), route, outcomes);
    verdict.judge(at_ms(at));
}

#[test]
fn version_that_turns_bad_late_is_condemned() {
    let mut verdict = Verdict::new();
    add(&mut verdict, 1_000, ROUTE, (40, 0), (200, 0));
    for at in (4_000..4_600).step_by(100) {
        add(&mut verdict, at, ROUTE, (0, 1), (4, 0));
    }
    verdict.judge_all(at_ms(END_MS));
    assert_eq!(verdict.condemned_by(), Some(ROUTE));
}

#[test]
fn evidence_spread_over_routes_condemns() {
    let mut verdict = Verdict::new();
    for at in (4_000..4_600).step_by(200) {
        add(&mut verdict, at, ROUTE, (1, 1), (40, 0));
        add(&mut verdict, at, OTHER_ROUTE, (1, 1), (40, 0));
    }
    verdict.judge_all(at_ms(END_MS));
    assert_eq!(verdict.condemned_by(), Some(""));
}

#[test]
fn trouble_at_both_versions_condemns_none() {
    let mut verdict = Verdict::new();
    for at in (1_000..4_000).step_by(100) {
        add(&mut verdict, at, ROUTE, (1, 1), (2, 2));
    }
    verdict.judge_all(at_ms(END_MS));
    assert_eq!(verdict.condemned_by(), None);
}

#[test]
fn answers_during_trouble_do_not_count_as_known() {
    let mut verdict = Verdict::new();
    add(&mut verdict, NOW_MS, ROUTE, (40, 0), (0, 60));
    verdict.judge_all(at_ms(END_MS));
    assert_eq!(verdict.finding(), Finding::Doubtful);
}

#[test]
fn usual_share_of_a_rare_bad_route_condemns_none() {
    let mut verdict = Verdict::new();
    for at in (1_000..4_000).step_by(100) {
        add(&mut verdict, at, ROUTE, (2, 0), (40, 0));
        add(&mut verdict, at, OTHER_ROUTE, (1, 1), (1, 1));
    }
    verdict.judge_all(at_ms(END_MS));
    assert_eq!(verdict.condemned_by(), None);
}

#[test]
fn eight_good_answers_are_enough() {
    let mut verdict = Verdict::new();
    add(&mut verdict, NOW_MS, ROUTE, (8, 0), (60, 0));
    verdict.judge_all(at_ms(END_MS));
    assert_eq!(verdict.finding(), Finding::Innocent);
}
