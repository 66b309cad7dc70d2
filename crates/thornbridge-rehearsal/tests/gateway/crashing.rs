//! A request that crashes each server that begins to run it, and comes again at any node.
//!
//! What users saw: searches failed for many seconds, again and again, while the servers of one index
//! crashed in waves. Order of events: one search came in and went to one server of each shard; all of
//! them crashed, and its second attempts crashed others. Its caller sent it again, at another node,
//! which knew nothing of that and did the same; so did each later one, 150 crashes long. Cause: what a
//! request did to servers was forgotten with its try, and known to one node.
//!
//! Evidence: every attempt of such a try ended with a broken connection, and none of its shards ever
//! answered, while searches beside it were answered at once by other servers; the waves were as far
//! apart as its caller's patience.

use crate::mixed::{draw_faults, runs};
use crate::support::{sound, sound_scenario};
use std::time::Duration;
use thornbridge_rehearsal::gateway::{GatewayFault, GatewayReport, GatewayScenario, TimedFault};

/// Position of the gather's load in a scenario.
const GATHER: usize = 0;
/// Position of the plain service's.
const PLAIN: usize = 1;

/// A crashing request of a load that comes every so many milliseconds for ten seconds.
fn comes(load: usize, every_ms: u64) -> GatewayFault {
    GatewayFault::CrashingRequest {
        load,
        every: Duration::from_millis(every_ms),
        lasts: Duration::from_secs(10),
        away: Duration::from_millis(1_200),
    }
}

fn play(scenario: GatewayScenario, fault: GatewayFault) -> GatewayReport {
    play_with(scenario, fault, Vec::new())
}

fn play_with(
    scenario: GatewayScenario,
    fault: GatewayFault,
    others: Vec<TimedFault>,
) -> GatewayReport {
    let mut faults = vec![TimedFault::at(4.0, fault)];
    faults.extend(others);
    sound_scenario(scenario.with_faults(faults))
}

/// Few servers crashed, and others were served.
fn assert_contained(report: &GatewayReport, most_crashes: u64) {
    assert!(report.crashed() <= most_crashes, "{report:?}");
    assert_eq!(report.wrongly_refused, 0, "{report:?}");
    assert!(report.served_share() > 0.99, "{report:?}");
}

/// 40 servers: 301 to 308 crashes before, and 0.57 to 0.61 of the others were served.
#[test]
fn a_gather_that_crashes_its_servers_is_soon_sent_to_none() {
    for seed in 1..5 {
        let report = play(GatewayScenario::small_teams(seed), comes(GATHER, 700));
        // One for each of 20 shards, two that tested it, and one that ran both.
        assert_contained(&report, 23);
    }
}

/// 120 servers: 746 to 770 crashes before.
#[test]
fn a_divided_gather_that_crashes_its_servers_is_soon_sent_to_none() {
    for seed in 1..4 {
        let report = play(GatewayScenario::many_small_nodes(seed), comes(GATHER, 700));
        // One for each of 40 shards, and two for each owner of some.
        assert_contained(&report, 60);
    }
}

/// 31 to 34 crashes of five servers before.
#[test]
fn a_plain_request_that_crashes_its_server_is_soon_sent_to_none() {
    for seed in 1..5 {
        let report = play(GatewayScenario::small_teams(seed), comes(PLAIN, 700));
        assert_contained(&report, 5);
    }
}

#[test]
fn several_at_once_are_each_sent_to_none() {
    let loads = [GATHER, GATHER, PLAIN, GATHER, PLAIN, GATHER];
    for seed in 1..3 {
        let others = (0_u32..).zip(&loads[1..]).map(|(index, load)| {
            let at = 4.3 + 0.6 * f64::from(index);
            TimedFault::at(at, comes(*load, 300))
        });
        let scenario = GatewayScenario::small_teams(seed);
        let report = play_with(scenario, comes(loads[0], 300), others.collect());
        assert_eq!(report.crashed_by_request.len(), loads.len(), "{report:?}");
        for (load, crashed) in loads.into_iter().zip(&report.crashed_by_request) {
            let most = if load == GATHER { 23 } else { 5 };
            assert!(*crashed <= most, "{report:?}");
        }
    }
}

/// What is known of it does not end with a process.
#[test]
fn nodes_that_start_again_are_told() {
    for seed in 1..4 {
        let kills = (0..8).map(|node| {
            let lasts = Duration::from_millis(500);
            TimedFault::at(5.0 + node as f64, GatewayFault::KillNode { node, lasts })
        });
        let scenario = GatewayScenario::small_teams(seed);
        let report = play_with(scenario, comes(GATHER, 400), kills.collect());
        assert!(report.crashed() <= 23, "{report:?}");
        assert_eq!(report.wrongly_refused, 0, "{report:?}");
    }
}

/// All nodes forget it at once; the first that gets it again tells the others.
#[test]
fn it_is_known_again_soon_after_all_nodes_lost_power() {
    for seed in 1..4 {
        let lasts = Duration::from_millis(800);
        let power_off = TimedFault::at(8.0, GatewayFault::PowerOff { lasts });
        let scenario = GatewayScenario::small_teams(seed);
        let report = play_with(scenario, comes(GATHER, 700), vec![power_off]);
        assert!(report.crashed() <= 2 * 23, "{report:?}");
    }
}

/// A node that hears nothing from others finds out for itself.
#[test]
fn a_node_that_is_cut_off_from_its_peers_finds_out_for_itself() {
    for seed in 1..4 {
        let lasts = Duration::from_secs(9);
        let cut = TimedFault::at(4.5, GatewayFault::CutFromPeers { node: 1, lasts });
        let scenario = GatewayScenario::small_teams(seed);
        let report = play_with(scenario, comes(GATHER, 300), vec![cut]);
        assert!(report.crashed() <= 2 * 23, "{report:?}");
    }
}

/// Without such a request nobody is taken for one, whatever breaks.
#[test]
fn requests_beside_other_faults_are_not_taken_for_it() {
    let second = Duration::from_secs(1);
    let lost = GatewayFault::ServersLoseAnswers {
        share: 0.05,
        lasts: second * 6,
    };
    for seed in 1..4 {
        let crashes = (0..20).map(|server| {
            TimedFault::at(
                5.0,
                GatewayFault::Crash {
                    server: 2 * server,
                    lasts: second * 3,
                    dark: false,
                },
            )
        });
        let mut faults = vec![TimedFault::at(3.0, lost.clone())];
        faults.extend(crashes);
        let report = sound_scenario(GatewayScenario::small_teams(seed).with_faults(faults));
        assert_eq!(report.wrongly_refused, 0, "{report:?}");
    }
}

/// Beside other faults: restarts, cuts, a store that is away, servers that crash by themselves.
#[test]
fn mixes_of_faults_with_such_a_request_break_no_rule() {
    for seed in 0..runs() {
        let mut faults = draw_faults(3_000 + seed, 8, 45);
        let load = [GATHER, PLAIN][seed as usize % 2];
        faults.push(TimedFault::at(1.0 + (seed % 5) as f64, comes(load, 250)));
        sound(seed, faults);
    }
}
