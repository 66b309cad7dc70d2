//! A store that comes back from a copy while servers, nodes and the operator go on.
//!
//! What users would have seen: servers that said they leave got requests for as long as the store
//! took to pass its old revision, and new ones none. Cause: nodes went by the revision alone.

use crate::support::sound_scenario;
use std::time::Duration;
use thornbridge_rehearsal::gateway::{GatewayFault, GatewayReport, GatewayScenario, TimedFault};

fn restored(copy_age_ms: u64, written_after_ms: u64) -> GatewayFault {
    GatewayFault::StoreRestored {
        lasts: Duration::from_millis(700),
        copy_age: Duration::from_millis(copy_age_ms),
        written_after: Duration::from_millis(written_after_ms),
    }
}

fn replace(server: usize, silent: bool) -> GatewayFault {
    GatewayFault::Replace { server, silent }
}

/// Servers are replaced within the seconds that the store loses, and after them. It loses many
/// versions, too, so that its counter does not soon pass what it was.
fn drill(copy_age_ms: u64, written_after_ms: u64) -> Vec<TimedFault> {
    let mut faults = vec![
        TimedFault::at(3.0, replace(0, false)),
        TimedFault::at(3.4, replace(2, true)),
        TimedFault::at(4.2, GatewayFault::NewVersion),
        TimedFault::at(5.5, restored(copy_age_ms, written_after_ms)),
        TimedFault::at(9.0, replace(4, false)),
        TimedFault::at(9.5, replace(41, false)),
    ];
    let versions = (0..24).map(|step| 1.6 + 0.15 * f64::from(step));
    faults.extend(versions.map(|at| TimedFault::at(at, GatewayFault::NewVersion)));
    let kill = |node| GatewayFault::KillNode {
        node,
        lasts: Duration::from_millis(900),
    };
    faults.push(TimedFault::at(5.0, kill(0)));
    faults.push(TimedFault::at(7.0, kill(3)));
    faults
}

fn assert_served(report: &GatewayReport) {
    assert!(report.served_share() > 0.99, "{report:?}");
}

#[test]
fn leaving_servers_get_nothing_and_new_ones_are_used_whatever_the_copy_lacks() {
    for (seed, copy_age_ms) in [(1, 1_500), (2, 4_000), (3, 6_000)] {
        let faults = drill(copy_age_ms, 400);
        let scenario = GatewayScenario::small_teams(seed).with_faults(faults);
        assert_served(&sound_scenario(scenario));
    }
}

#[test]
fn so_it_is_where_servers_write_again_only_seconds_later() {
    let faults = drill(4_000, 2_500);
    let scenario = GatewayScenario::small_teams(4).with_faults(faults);
    assert_served(&sound_scenario(scenario));
}

#[test]
fn a_node_without_peers_in_the_drill_catches_up() {
    let mut faults = drill(4_000, 400);
    let cut = GatewayFault::CutFromPeers {
        node: 5,
        lasts: Duration::from_secs(4),
    };
    faults.push(TimedFault::at(4.5, cut));
    let refuses = GatewayFault::StoreRefuses {
        node: 5,
        lasts: Duration::from_secs(4),
    };
    faults.push(TimedFault::at(4.5, refuses));
    let scenario = GatewayScenario::small_teams(5).with_faults(faults);
    assert_served(&sound_scenario(scenario));
}

#[test]
fn two_eras_in_a_row_are_followed() {
    let mut faults = drill(4_000, 400);
    faults.push(TimedFault::at(12.0, restored(2_000, 800)));
    let scenario = GatewayScenario::small_teams(6).with_faults(faults);
    assert_served(&sound_scenario(scenario));
}

#[test]
fn an_evacuation_that_the_store_lost_still_binds() {
    let evacuate = GatewayFault::Evacuate {
        zone: 1,
        lasts: Duration::from_secs(9),
    };
    let faults = vec![
        TimedFault::at(3.0, evacuate),
        TimedFault::at(5.5, restored(4_000, 1_500)),
    ];
    sound_scenario(GatewayScenario::small_teams(7).with_faults(faults));
}
