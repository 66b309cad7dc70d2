//! The budget of extra attempts holds for all members together, whatever they do.

use crate::gateway::budget::{ExtraAttemptBudget, ServiceKey};
use crate::gateway::parameters::BudgetParameters;
use crate::time::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

const SERVICE: ServiceKey = ServiceKey(0);
const WINDOW: Duration = Duration::from_secs(10);

/// Members of the deployment.
const MEMBERS: usize = 4;

fn parameters() -> BudgetParameters {
    BudgetParameters {
        ratio: 0.2,
        slack: 56.0,
        window: WINDOW,
        ..BudgetParameters::default()
    }
}

/// What a member does, or what happens to it.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request(usize),
    Extra(usize),
    Wait(u16),
    /// It starts again and knows of nobody yet.
    Restart(usize),
    /// It finds all others.
    Find(usize),
    /// It loses all but so many, itself included.
    Lose(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..MEMBERS).prop_map(Step::Request),
        8 => (0..MEMBERS).prop_map(Step::Extra),
        2 => (1..900_u16).prop_map(Step::Wait),
        1 => (0..MEMBERS).prop_map(Step::Restart),
        1 => (0..MEMBERS).prop_map(Step::Find),
        1 => (0..MEMBERS, 1..MEMBERS).prop_map(|(member, left)| Step::Lose(member, left)),
    ]
}

/// A member that has just started.
fn starting(started: Timestamp) -> (ExtraAttemptBudget, Timestamp) {
    (ExtraAttemptBudget::new(parameters(), true), started)
}

/// A member that knows so many since its start.
fn knowing(members: usize) -> ExtraAttemptBudget {
    let mut budget = ExtraAttemptBudget::new(parameters(), true);
    budget.set_members(members);
    budget
}

fn taken(budget: &mut ExtraAttemptBudget, at: Duration) -> usize {
    let now = Timestamp::from_epoch(at);
    (0..100).filter(|_| budget.try_take(now, SERVICE)).count()
}

proptest! {
    /// Members that start again forget what they spent and whom they knew, and any of them may have
    /// lost the others: none of it may make the sum greater.
    #[test]
    fn the_sum_of_all_members_stays_within_the_budget(
        steps in prop::collection::vec(step(), 1..600)
    ) {
        let mut now = Timestamp::ZERO + Duration::from_secs(100);
        let mut members: Vec<_> = (0..MEMBERS).map(|_| starting(Timestamp::ZERO)).collect();
        for (budget, _) in &mut members {
            budget.set_members(MEMBERS);
        }
        let mut requests: Vec<Timestamp> = Vec::new();
        let mut extra: Vec<Timestamp> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(millis) => now = now + Duration::from_millis(u64::from(millis)),
                Step::Restart(index) => members[index] = starting(now),
                Step::Find(index) => members[index].0.set_members(MEMBERS),
                Step::Lose(index, left) => {
                    let left = left.min(known(&members[index].0));
                    members[index].0.set_members(left);
                }
                Step::Request(index) => {
                    let (budget, started) = &mut members[index];
                    budget.request(Timestamp::from_epoch(now.since(*started)), SERVICE);
                    requests.push(now);
                }
                Step::Extra(index) => {
                    let (budget, started) = &mut members[index];
                    if budget.try_take(Timestamp::from_epoch(now.since(*started)), SERVICE) {
                        extra.push(now);
                    }
                }
            }
            let within = |times: &[Timestamp], end: Timestamp| {
                times.iter().filter(|at| end.since(**at) < WINDOW && **at <= end).count() as f64
            };
            let asked = within(&requests, now)
                .max(within(&requests, now - WINDOW / 2))
                .max(within(&requests, now - WINDOW));
            let used = within(&extra, now);
            prop_assert!(used <= 0.2 * asked + 56.0, "{used} extra, {asked} requests");
        }
    }
}

/// A member that knows of nobody cannot lose anybody.
fn known(budget: &ExtraAttemptBudget) -> usize {
    match budget.slack_share(Timestamp::MAX) > 0.0 {
        true => MEMBERS,
        false => 1,
    }
}

#[test]
fn a_member_that_just_started_uses_only_what_it_earned() {
    let mut budget = knowing(1 + 1);
    let early = WINDOW.mul_f64(1.04);
    let now = Timestamp::from_epoch(early);
    assert!(!budget.allows(now, SERVICE));
    for _ in 0..20 {
        budget.request(now, SERVICE);
    }
    assert_eq!(taken(&mut budget, early), 3);
    assert!(taken(&mut budget, WINDOW.mul_f64(1.06)) > 20);
}

#[test]
fn a_member_that_met_nobody_uses_no_share_of_the_slack() {
    let mut alone = ExtraAttemptBudget::new(parameters(), true);
    alone.set_members(1);
    assert_eq!(taken(&mut alone, WINDOW * 100), 0);
    alone.set_members(8);
    assert_eq!(taken(&mut alone, WINDOW * 100), 5);
}

#[test]
fn a_node_that_joins_nobody_uses_all_of_the_slack() {
    let mut only = ExtraAttemptBudget::new(parameters(), false);
    assert_eq!(taken(&mut only, WINDOW * 2), 47);
}

#[test]
fn members_that_were_lost_still_have_their_shares() {
    let mut budget = knowing(8);
    budget.set_members(1);
    assert_eq!(taken(&mut budget, WINDOW * 100), 5);
}
