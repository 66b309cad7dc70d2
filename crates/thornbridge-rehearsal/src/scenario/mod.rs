//! A scenario: zones, network delays, services with their servers and service times.
//!
//! Scenarios are TOML files; the three that come with the program are in `scenarios/` of this
//! crate and can be copied and changed. Addresses and server names follow from the position of
//! a server in the file.

mod deployment;
mod service_time;

pub use deployment::{Catalogue, Deployment, NodePlace, ServerPlace, ServiceModel, SnapshotNumber};
pub use service_time::{ServiceTime, hash_parts, unit};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::time::Duration;
use thornbridge_config::bundle::{Completeness, ServiceKind};
use thornbridge_proto::{RegionName, ServiceName, ZoneName};

/// The scenarios that come with the program, by name.
const EMBEDDED: [(&str, &str); 3] = [
    ("th-north", include_str!("../../scenarios/th-north.toml")),
    ("dk-east", include_str!("../../scenarios/dk-east.toml")),
    (
        "two-region",
        include_str!("../../scenarios/two-region.toml"),
    ),
];

/// A scenario cannot be used.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// No embedded scenario of this name.
    #[snafu(display("no deployment {name:?}; known are th-north, dk-east and two-region"))]
    UnknownDeployment {
        /// The name.
        name: String,
    },
    /// The file cannot be read.
    #[snafu(display("cannot read scenario {path}"))]
    ReadScenario {
        /// Its path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// Not a scenario.
    #[snafu(display("scenario {name}: {source}"))]
    MalformedScenario {
        /// Path or name.
        name: String,
        /// Cause, with line and column.
        source: toml::de::Error,
    },
    /// A value that cannot be simulated.
    #[snafu(display("scenario {name}: {problem}"))]
    ImpossibleScenario {
        /// Its name.
        name: String,
        /// What is wrong and what would be right.
        problem: String,
    },
}

/// One scenario file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name, shown as `deployment` in reports.
    pub name: String,
    /// Nodes started in each zone, unless the number of nodes is given.
    pub nodes_per_zone: u32,
    /// Readers that the platform's store bears at once.
    pub platform_readers: u32,
    /// Delays.
    pub network: NetworkDelays,
    /// Zones, the nodes and servers are spread over them in order.
    pub zones: Vec<ZoneModel>,
    /// Services.
    pub services: Vec<ServiceScenario>,
}

/// Delays one way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkDelays {
    /// Within a zone.
    #[serde(with = "humantime_serde")]
    pub same_zone: Duration,
    /// Between zones of a region.
    #[serde(with = "humantime_serde")]
    pub between_zones: Duration,
    /// Between regions.
    #[serde(with = "humantime_serde")]
    pub between_regions: Duration,
    /// Between callers and nodes.
    #[serde(with = "humantime_serde")]
    pub to_callers: Duration,
    /// Largest random addition, as a share of the delay.
    pub jitter: f64,
}

/// One zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneModel {
    /// Its name.
    pub name: ZoneName,
    /// The region it lies in.
    pub region: RegionName,
}

/// One service and its servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceScenario {
    /// Its name.
    pub name: ServiceName,
    /// What it takes.
    pub kind: ServiceKind,
    /// Shards of the first layout.
    pub shards: u32,
    /// Servers of each shard.
    pub replicas: u32,
    /// Requests a server runs at once.
    pub slots: u32,
    /// Connections a server bears.
    pub connections: u32,
    /// Higher goes first under overload.
    pub priority: u8,
    /// When an answer is complete enough.
    pub completeness: Completeness,
    /// Time that one sub-request takes on an idle server.
    pub service_time: ServiceTime,
}

impl Scenario {
    /// One of the scenarios that come with the program.
    pub fn embedded(name: &str) -> Result<Self, ScenarioError> {
        let (_, text) = EMBEDDED
            .iter()
            .find(|(known, _)| *known == name)
            .ok_or_else(|| ScenarioError::UnknownDeployment {
                name: name.to_owned(),
            })?;
        Self::parse(name, text)
    }

    /// The scenario of a file.
    pub fn read(path: &std::path::Path) -> Result<Self, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadScenarioSnafu { path: &name })?;
        Self::parse(&name, &text)
    }

    fn parse(name: &str, text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).context(MalformedScenarioSnafu { name })?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let name = &self.name;
        let zones = !self.zones.is_empty() && self.nodes_per_zone > 0;
        ensure!(
            zones,
            ImpossibleScenarioSnafu {
                name,
                problem: "at least one zone and one node in each are needed"
            }
        );
        for service in &self.services {
            let servers = service.shards > 0 && service.replicas > 0 && service.slots > 0;
            ensure!(
                servers,
                ImpossibleScenarioSnafu {
                    name,
                    problem: format!(
                        "service {}: shards, replicas and slots must be at least 1",
                        service.name
                    )
                }
            );
        }
        Ok(())
    }
}
