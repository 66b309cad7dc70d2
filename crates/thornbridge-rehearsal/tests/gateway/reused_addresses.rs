//! Servers crash, and their addresses go to servers of another service while the store is away.

use crate::mixed::{draw_faults, runs};
use crate::support::sound;
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_rehearsal::gateway::{
    GatewayFault, GatewayReport, GatewayScenario, Rule, TimedFault, run,
};

const SEED_RUNS: u64 = 3;
/// Time from the end of a server until its address is given to another.
const REUSE_AFTER: Duration = Duration::from_secs(2);

/// The first server of each shard but one crashes; servers of that one take the addresses.
fn play(mut scenario: GatewayScenario) -> GatewayReport {
    let store_down = GatewayFault::StoreDown {
        lasts: Duration::from_secs(14),
        silent: false,
        lapse: false,
    };
    let replicas = scenario.replicas as usize;
    let reuse = GatewayFault::ReuseAddresses {
        servers: (1..scenario.shards as usize)
            .map(|shard| shard * replicas)
            .collect(),
        service: ServiceName::new("shard-0-0"),
        after: REUSE_AFTER,
    };
    let faults = vec![TimedFault::at(2.0, store_down), TimedFault::at(3.0, reuse)];
    scenario.length = Duration::from_secs(17);
    run(scenario.with_faults(faults))
}

fn assert_within_budget(report: &GatewayReport) {
    let broken = report.broken.iter();
    let over: Vec<_> = broken.filter(|one| one.rule == Rule::Budget).collect();
    assert!(over.is_empty(), "{over:?}");
}

/// Guards against nodes that each keep sending to an address that another service has.
#[test]
fn service_that_takes_addresses_stays_within_its_budget() {
    for seed in 0..SEED_RUNS {
        let report = play(GatewayScenario::small_teams(seed));
        assert_within_budget(&report);
    }
}

/// Guards against a first attempt of every node at every such address.
#[test]
fn service_that_takes_addresses_stays_within_its_budget_with_many_nodes() {
    for seed in 0..SEED_RUNS {
        let mut scenario = GatewayScenario::small_teams(seed);
        scenario.nodes = vec![8, 8, 8];
        scenario.connections = 80;
        assert_within_budget(&play(scenario));
    }
}

/// Servers that other faults of a mix strike.
const STRUCK_SERVERS: usize = 20;

#[test]
fn mixes_of_faults_with_reused_addresses_break_no_rule() {
    for seed in 0..runs() {
        let mut faults = draw_faults(4_000 + seed, 8, STRUCK_SERVERS);
        let reuse = GatewayFault::ReuseAddresses {
            servers: (STRUCK_SERVERS..2 * STRUCK_SERVERS).step_by(2).collect(),
            service: ServiceName::new("shard-0-0"),
            after: REUSE_AFTER,
        };
        faults.push(TimedFault::at(1.0 + (seed % 8) as f64, reuse));
        sound(seed, faults);
    }
}
