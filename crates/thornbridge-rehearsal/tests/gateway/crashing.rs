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

use crate::support::sound_scenario;
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
    sound_scenario(scenario.with_faults(vec![TimedFault::at(4.0, fault)]))
}

#[test]
fn a_gather_that_crashes_its_servers_is_soon_sent_to_none() {
    for seed in 1..5 {
        play(GatewayScenario::small_teams(seed), comes(GATHER, 700));
    }
}

#[test]
fn a_divided_gather_that_crashes_its_servers_is_soon_sent_to_none() {
    for seed in 1..4 {
        play(GatewayScenario::many_small_nodes(seed), comes(GATHER, 700));
    }
}

#[test]
fn a_plain_request_that_crashes_its_server_is_soon_sent_to_none() {
    for seed in 1..5 {
        play(GatewayScenario::small_teams(seed), comes(PLAIN, 700));
    }
}
