//! What a rehearsal is asked for.

use super::policy::Policy;
use super::{InvalidOptionSnafu, RehearsalError};
use crate::fault::Fault;
use crate::scenario::{Scenario, ScenarioError};
use snafu::ensure;
use std::path::PathBuf;
use std::time::Duration;
use thornbridge_proto::ServiceName;

/// Load where none is given: low enough that the survivor of a lost pair of replicas copes.
pub const DEFAULT_LOAD: f64 = 0.4;
/// Duration where none is given.
pub const DEFAULT_DURATION: Duration = Duration::from_secs(60);
/// Highest load that makes sense to simulate.
const MOST_LOAD: f64 = 10.0;
/// Shortest duration in which faults have room.
const LEAST_DURATION: Duration = Duration::from_secs(1);
/// Longest duration.
const MOST_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Where a scenario comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScenarioSource {
    /// One that comes with the program.
    Deployment(String),
    /// A file.
    File(PathBuf),
}

impl ScenarioSource {
    /// Reads and checks the scenario.
    pub fn load(&self) -> Result<Scenario, ScenarioError> {
        match self {
            Self::Deployment(name) => Scenario::embedded(name),
            Self::File(path) => Scenario::read(path),
        }
    }

    /// The flags that name it on the command line.
    pub fn flags(&self) -> String {
        match self {
            Self::Deployment(name) => format!("--deployment {name}"),
            Self::File(path) => format!("--scenario {}", path.display()),
        }
    }
}

/// Options of `thornbridge rehearse`.
#[derive(Clone, Debug, PartialEq)]
pub struct RehearsalOptions {
    /// Scenario.
    pub scenario: ScenarioSource,
    /// Nodes; as in the scenario where absent.
    pub nodes: Option<u32>,
    /// Services that get load; all where empty.
    pub services: Vec<ServiceName>,
    /// Faults; the same may be named several times.
    pub faults: Vec<Fault>,
    /// Tunable values of the nodes.
    pub policy: Policy,
    /// Offered share of the back ends' slots.
    pub load: f64,
    /// Time that callers send for.
    pub duration: Duration,
    /// Seed of everything random.
    pub seed: u64,
    /// Whether a version is rolled out, and a server and a node are replaced, as on any day.
    pub routine: bool,
}

impl RehearsalOptions {
    /// A rehearsal of a deployment without faults.
    pub fn new(deployment: &str) -> Self {
        Self {
            scenario: ScenarioSource::Deployment(deployment.to_owned()),
            nodes: None,
            services: Vec::new(),
            faults: Vec::new(),
            policy: Policy::Thornbridge,
            load: DEFAULT_LOAD,
            duration: DEFAULT_DURATION,
            seed: 1,
            routine: true,
        }
    }

    /// The command that runs this rehearsal.
    pub fn command(&self) -> String {
        let mut command = format!("thornbridge rehearse {}", self.scenario.flags());
        if let Some(nodes) = self.nodes {
            command += &format!(" --nodes {nodes}");
        }
        for service in &self.services {
            command += &format!(" --service {service}");
        }
        for fault in &self.faults {
            command += &format!(" --fault {fault}");
        }
        if self.policy != Policy::Thornbridge {
            command += &format!(" --policy {}", self.policy);
        }
        if !self.routine {
            command += " --no-routine";
        }
        let duration = humantime::format_duration(self.duration)
            .to_string()
            .replace(' ', "");
        command += &format!(
            " --load {} --duration {duration} --seed {}",
            self.load, self.seed
        );
        command
    }

    pub(super) fn check(&self) -> Result<(), RehearsalError> {
        let load_fits = self.load > 0.0 && self.load <= MOST_LOAD;
        ensure!(
            load_fits,
            InvalidOptionSnafu {
                problem: format!("load {} is not above 0 and at most {MOST_LOAD}", self.load)
            }
        );
        let duration_fits = (LEAST_DURATION..=MOST_DURATION).contains(&self.duration);
        ensure!(
            duration_fits,
            InvalidOptionSnafu {
                problem: format!(
                    "duration {:?} is not between {LEAST_DURATION:?} and {MOST_DURATION:?}",
                    self.duration
                )
            }
        );
        ensure!(
            self.nodes != Some(0),
            InvalidOptionSnafu {
                problem: "at least one node is needed"
            }
        );
        Ok(())
    }
}
