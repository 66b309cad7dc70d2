//! Failures that the users' bench found, each caused again here.

use crate::support::{sound, sound_scenario};
use std::time::Duration;
use thornbridge_rehearsal::gateway::{GatewayFault, GatewayScenario, TimedFault};

fn power_off(seconds: f64) -> GatewayFault {
    let lasts = Duration::from_secs_f64(seconds);
    GatewayFault::PowerOff { lasts }
}

/// Bench: 4,535 connections were reset by lydbolge-search's servers on day scale-2, since nodes
/// that had just started took themselves for the only ones, and opened anew without a pause.
#[test]
fn nodes_that_start_together_do_not_exceed_servers_connections() {
    let mut scenario = GatewayScenario::small_teams(21);
    scenario.connections = 20;
    scenario.loads[0].rate = 110.0;
    let report = sound_scenario(scenario.with_faults(vec![TimedFault::at(6.0, power_off(1.5))]));
    assert!(report.over_limit < 10, "{report:?}");
}

/// Bench: 2.5 times the load, about half of what servers can do, is served in time.
#[test]
fn more_load_than_usual_is_served_in_time() {
    let mut scenario = GatewayScenario::small_teams(22);
    scenario.loads[0].rate = 230.0;
    let report = sound_scenario(scenario);
    assert!(report.in_time_share() > 0.97, "{report:?}");
    assert!(report.partial_in_time * 8 < report.asked, "{report:?}");
}

/// Bench: incident of rueankham-search. All processes were killed while the store was down; for
/// 165 requests both tries were refused at once by nodes that did not know a configuration yet,
/// though the store came back within their patience.
#[test]
fn callers_wait_for_the_first_configuration() {
    let down = GatewayFault::StoreDown {
        lasts: Duration::from_millis(2_400),
        silent: false,
        lapse: false,
    };
    let faults = vec![
        TimedFault::at(6.0, power_off(1.0)),
        TimedFault::at(6.2, down),
    ];
    let report = sound_scenario(GatewayScenario::small_teams(23).with_faults(faults));
    // Before the mend 115 of the 253 requests of these seconds were served.
    let outage = &report.served_by_second[7..10];
    let served: u64 = outage.iter().map(|(_, served)| served).sum();
    let asked: u64 = outage.iter().map(|(asked, _)| asked).sum();
    assert!(served * 10 > asked * 7, "{outage:?} {report:?}");
}

/// Bench: the same incident. The store was silent when the processes started: for a second they
/// waited for calls that could not be answered, and then for a pause. Meanwhile those that knew
/// a configuration but no server refused what came.
#[test]
fn a_silent_store_is_asked_again_soon_after_a_start() {
    let silent = GatewayFault::StoreDown {
        lasts: Duration::from_millis(1_400),
        silent: true,
        lapse: false,
    };
    let faults = vec![
        TimedFault::at(6.0, power_off(0.5)),
        TimedFault::at(5.5, silent),
    ];
    let report = sound_scenario(GatewayScenario::small_teams(24).with_faults(faults));
    let (asked, served) = report.served_by_second[7];
    assert!(served * 10 > asked * 9, "{served} of {asked}: {report:?}");
}

/// A version that is written while watches hear nothing is in force in time. Seen with seed 38 of the
/// mixes with a request that crashes servers: a watch whose wait ended meanwhile was told the revision of
/// the change that it had not heard of. That was the model's fault: nodes cannot know better.
#[test]
fn a_version_written_while_watches_are_mute_is_in_force_in_time() {
    let changes = [1.5, 1.9, 2.3];
    for (seed, at) in (1..).zip(changes) {
        let mute = Duration::from_secs(1);
        let faults = vec![
            TimedFault::at(1.4, GatewayFault::HistoryGone { mute }),
            TimedFault::at(at, GatewayFault::NewVersion),
        ];
        sound(seed, faults);
    }
}
