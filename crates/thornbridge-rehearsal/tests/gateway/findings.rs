//! Failures that the users' bench found, each caused again here.

use crate::support::sound_scenario;
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
