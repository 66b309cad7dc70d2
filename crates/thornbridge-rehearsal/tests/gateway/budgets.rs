//! The budget of extra attempts holds for all nodes together, whatever each of them believes and
//! remembers.

use std::time::Duration;
use thornbridge_rehearsal::gateway::{
    GatewayFault, GatewayReport, GatewayScenario, Rule, TimedFault, run,
};

const NODES: usize = 8;
/// Nodes that the others join through.
const SEEDS: usize = 3;
const SEED_RUNS: u64 = 4;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Most servers lose their answers, so that nearly each part wants a second attempt.
fn pressed(seed: u64, faults: Vec<TimedFault>) -> GatewayReport {
    let lost = GatewayFault::ServersLoseAnswers {
        share: 0.8,
        lasts: seconds(18.0),
    };
    let mut all = vec![TimedFault::at(1.0, lost)];
    all.extend(faults);
    run(GatewayScenario::small_teams(seed).with_faults(all))
}

fn kill(at: f64, nodes: std::ops::Range<usize>, lasts: f64) -> Vec<TimedFault> {
    let lasts = seconds(lasts);
    let faults = nodes.map(|node| TimedFault::at(at, GatewayFault::KillNode { node, lasts }));
    faults.collect()
}

fn assert_within_budget(faults: &[TimedFault]) {
    for seed in 0..SEED_RUNS {
        assert_report_within_budget(seed, &pressed(seed, faults.to_vec()));
    }
}

fn assert_report_within_budget(seed: u64, report: &GatewayReport) {
    let broken = report.broken.iter();
    let over: Vec<_> = broken.filter(|one| one.rule == Rule::Budget).collect();
    assert!(
        over.is_empty(),
        "seed {seed}: {} services, {:?}",
        over.len(),
        over[0]
    );
}

/// What users saw: second attempts piled up beyond what all nodes together may make.
///
/// Order of events: the nodes that others join through are down. The others start again, as they do
/// when all lose power at once, and find nobody. Three seconds later each of them counts itself as the
/// only member and makes as many second attempts as all together may. Servers do not answer at that
/// moment, so that all of these are wanted.
///
/// Cause: a share of the budget was divided by the members that a node believed in, and a node that
/// knew of nobody took all of it.
///
/// Evidence: 67 real processes over 36 shards, three of them down for 15 s: 2,116 extra arrivals at a
/// shard where 688 were allowed, at all shards; 527 of 617 where no node was down.
#[test]
fn nodes_that_find_nobody_after_a_start_keep_it() {
    let mut faults = kill(3.0, 0..SEEDS, 14.0);
    faults.extend(kill(3.5, SEEDS..NODES, 0.5));
    assert_within_budget(&faults);
}

/// The same story where nodes that have run for long lose each other: after a window in which they
/// believed in fewer members, each took a greater share.
#[test]
fn nodes_that_lose_each_other_keep_it() {
    let cut = (0..NODES).map(|node| {
        let lasts = seconds(17.0);
        TimedFault::at(1.0, GatewayFault::CutFromPeers { node, lasts })
    });
    assert_within_budget(&cut.collect::<Vec<_>>());
}

/// What users saw: as above, by less.
///
/// Order of events: all nodes are killed with their budget used up, and start again at once. Three
/// seconds later they know each other and use their shares again.
///
/// Cause: what a node had spent was forgotten with its process, and the window in which it counts is
/// longer than the three seconds for which a node spent nothing of its share.
///
/// Evidence: 67 real processes, killed together each six seconds: 648 extra arrivals at a shard where
/// 619 were allowed, too many at 8 of 36 shards.
#[test]
fn nodes_that_start_again_together_keep_it() {
    let mut faults = kill(6.0, 0..NODES, 0.3);
    faults.extend(kill(11.0, 0..NODES, 0.3));
    assert_within_budget(&faults);
}

/// Guards against attempts that are earned twice: by requests at the nodes that callers leave, and
/// at those that they turn to.
#[test]
fn nodes_whose_callers_turn_to_others_keep_it() {
    let lost = GatewayFault::ServersLoseAnswers {
        share: 0.9,
        lasts: seconds(12.0),
    };
    let turn = GatewayFault::CallersMove {
        first_zone_share: 0.0,
    };
    for seed in 0..SEED_RUNS {
        let faults = vec![
            TimedFault::at(14.0, lost.clone()),
            TimedFault::at(16.0, turn.clone()),
        ];
        let mut scenario = GatewayScenario::small_teams(seed).with_faults(faults);
        scenario.first_zone_share = Some(1.0);
        scenario.length = seconds(27.0);
        assert_report_within_budget(seed, &run(scenario));
    }
}
