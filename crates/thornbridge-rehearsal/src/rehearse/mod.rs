//! One rehearsal: a deployment, faults, a load and a policy in; measurements and checks out.

mod options;
mod policy;
mod report;
mod statistics;
mod violation;

#[cfg(test)]
mod tests;

pub use options::{DEFAULT_DURATION, DEFAULT_LOAD, RehearsalOptions, ScenarioSource};
pub use policy::{Policy, PolicyError};
pub use report::{
    BackEndLoad, ControlReport, LowerBound, RehearsalReport, Series, ServiceReport, ServiceSeries,
    control_report,
};
pub use statistics::{Spread, percentile};
pub use violation::ViolationReport;

use crate::scenario::{Deployment, ScenarioError};
use crate::simulator::{SimulationOutcome, SimulationSetup, Simulator};
use snafu::{ResultExt, Snafu};

/// Events kept in words when a violation is replayed.
const REPLAY_EVENTS: usize = 40;

/// A rehearsal cannot be run.
#[derive(Debug, Snafu)]
pub enum RehearsalError {
    /// The scenario cannot be used.
    #[snafu(display("{source}"), context(false))]
    Scenario {
        /// Cause.
        source: ScenarioError,
    },
    /// The policy cannot be used.
    #[snafu(display("{source}"))]
    PolicyUnusable {
        /// Cause.
        source: PolicyError,
    },
    /// A value out of range.
    #[snafu(display("{problem}"))]
    InvalidOption {
        /// What is wrong and what would be right.
        problem: String,
    },
}

/// Runs one rehearsal.
pub fn run(options: &RehearsalOptions) -> Result<RehearsalReport, RehearsalError> {
    let setup = prepare(options)?;
    let outcome = Simulator::new(setup.clone()).run();
    let violation = violation::explain(options, &setup, &outcome);
    Ok(report::build(options, &setup, outcome, violation))
}

/// The simulation that options ask for.
pub fn prepare(options: &RehearsalOptions) -> Result<SimulationSetup, RehearsalError> {
    options.check()?;
    let scenario = options.scenario.load()?;
    let deployment = Deployment::new(scenario, options.nodes, &options.services);
    if deployment.services.is_empty() {
        let problem = format!(
            "the deployment has none of the services {:?}",
            options.services
        );
        return InvalidOptionSnafu { problem }.fail();
    }
    let parameters = options.policy.parameters().context(PolicyUnusableSnafu)?;
    Ok(SimulationSetup {
        deployment,
        faults: options.faults.clone(),
        parameters,
        load: options.load,
        duration: options.duration,
        seed: options.seed,
        routine: options.routine,
        stop_at_violation: false,
        events_kept: 0,
        sabotage: None,
    })
}

/// Runs a simulation again to its first violation, keeping its last events.
pub(crate) fn replay(setup: &SimulationSetup) -> SimulationOutcome {
    let mut setup = setup.clone();
    setup.stop_at_violation = true;
    setup.events_kept = REPLAY_EVENTS;
    Simulator::new(setup).run()
}
