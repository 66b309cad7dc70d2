//! Servers that reject a share of the requests though they are not full and their health is good.
//!
//! What users saw: from the moment that four in five servers rejected six in ten parts, nearly all full
//! searches ran into their deadline. Cause: a rejection was forgotten within a second, so that each
//! part met such servers again and again, and had no attempt left.

use crate::support::sound_scenario;
use std::time::Duration;
use thornbridge_rehearsal::gateway::{GatewayFault, GatewayReport, GatewayScenario, TimedFault};

fn rejecting(seed: u64) -> GatewayReport {
    let mut scenario = GatewayScenario::many_small_nodes(seed);
    scenario.replicas = 10;
    scenario.connections = 120;
    let reject = GatewayFault::Reject {
        spared_each: 5,
        share: 0.6,
        lasts: Duration::from_secs(9),
    };
    sound_scenario(scenario.with_faults(vec![TimedFault::at(2.0, reject)]))
}

/// Extra attempts a search: 3.2 where a rejection is forgotten within a second, 2.1 where it is not.
#[test]
fn requests_go_to_the_servers_that_take_them() {
    let (mut asked, mut served, mut extra) = (0, 0, 0);
    for seed in 1..5 {
        let report = rejecting(seed);
        asked += report.asked;
        served += report.served();
        extra += report.extra;
    }
    assert!(served * 100 >= asked * 99, "{served} of {asked}");
    assert!(extra * 10 <= asked * 25, "{extra} for {asked}");
}
