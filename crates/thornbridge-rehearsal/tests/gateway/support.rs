//! Runs that must break no rule.

use thornbridge_rehearsal::gateway::{GatewayReport, GatewayScenario, TimedFault, run};

/// Runs small teams' deployment with these faults; no rule may be broken.
pub fn sound(seed: u64, faults: Vec<TimedFault>) -> GatewayReport {
    sound_scenario(GatewayScenario::small_teams(seed).with_faults(faults))
}

/// Runs a scenario; no rule may be broken.
pub fn sound_scenario(scenario: GatewayScenario) -> GatewayReport {
    let seed = scenario.seed;
    let faults = scenario.faults.clone();
    let report = run(scenario);
    assert!(
        report.broken.is_empty(),
        "seed {seed}, faults {faults:?}: {:#?}",
        &report.broken[..report.broken.len().min(5)]
    );
    assert_eq!(
        report.served() + report.refused + report.failed,
        report.asked,
        "seed {seed}: every request ends once: {report:?}"
    );
    report
}
