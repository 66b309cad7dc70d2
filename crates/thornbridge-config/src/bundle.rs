//! The bundle: services, their back ends, how queries reach them. Written in TOML by operators.
//!
//! A [`Bundle`] holds what the file says, already checked for form; [`crate::validation`] checks
//! what it means. Durations are written as `"40ms"`.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::{
    BackEndId, BundleVersion, LayoutId, ServiceName, ShardId, SnapshotId, ZoneName,
};

/// The only format known today.
pub const BUNDLE_FORMAT: u32 = 1;

/// Default share of extra attempts over first attempts.
pub const DEFAULT_EXTRA_LOAD: f64 = 0.05;

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// [`BUNDLE_FORMAT`].
    pub format: u32,
    /// Version of this bundle; published once.
    pub version: BundleVersion,
    /// Name of the deployment, e.g. `th-north`.
    pub deployment: String,
    /// Most nodes that may share the back ends' connections.
    pub maximum_nodes: u32,
    /// Services, in any order; names are unique.
    pub services: Vec<Service>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// What it takes.
    pub kind: ServiceKind,
    /// Under overload, higher goes first. 0 to 9.
    #[serde(default)]
    pub priority: u8,
    /// When an answer is complete enough.
    pub completeness: Completeness,
    /// Limits on work.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// Servers.
    pub back_ends: Vec<BackEnd>,
    /// Partitionings of the index over the servers.
    pub layouts: Vec<Layout>,
    /// Index snapshots that may answer, newest first.
    pub snapshots: Vec<Snapshot>,
}

/// What a service takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Queries, scattered over all shards. May be repeated.
    Query,
    /// Actions, each sent to one shard by its key. Run at most once.
    Action,
}

impl std::str::FromStr for ServiceKind {
    type Err = UnknownWord;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "query" => Ok(Self::Query),
            "action" => Ok(Self::Action),
            _ => Err(UnknownWord),
        }
    }
}

/// A text is none of the words that a type knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownWord;

/// What is given up first when not everything can be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CompletenessPolicy {
    /// Answer at the target with the coverage reached.
    LatencyFirst,
    /// Wait for missing shards until the hard deadline.
    CoverageFirst,
}

impl std::str::FromStr for CompletenessPolicy {
    type Err = UnknownWord;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "latency-first" => Ok(Self::LatencyFirst),
            "coverage-first" => Ok(Self::CoverageFirst),
            _ => Err(UnknownWord),
        }
    }
}

/// When an answer is complete enough.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Completeness {
    /// What goes first.
    pub policy: CompletenessPolicy,
    /// Time at which an answer is wanted.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Time at which a request ends whatever was reached.
    #[serde(with = "humantime_serde")]
    pub hard_deadline: Duration,
    /// Least coverage worth an answer, 0 to 1.
    pub minimum_coverage: f64,
}

/// Limits on the work a service may cause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLimits {
    /// Extra attempts (hedges and retries) over first attempts, 0 to 1.
    pub extra_load: f64,
    /// Most requests running at once per node; adapted downwards.
    pub maximum_in_flight: u32,
    /// Most requests waiting per node.
    pub maximum_queued: u32,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            extra_load: DEFAULT_EXTRA_LOAD,
            maximum_in_flight: 1_000,
            maximum_queued: 1_000,
        }
    }
}

/// One server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackEnd {
    /// Unique in the bundle.
    pub id: BackEndId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Zone.
    pub zone: ZoneName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it bears, from all nodes together.
    pub connections: u32,
}

/// One partitioning of the index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// Unique in the service.
    pub id: LayoutId,
    /// For each shard, from 0, the servers that hold it.
    pub shards: Vec<Vec<BackEndId>>,
}

impl Layout {
    /// Shards with their ids.
    pub fn shards(&self) -> impl Iterator<Item = (ShardId, &[BackEndId])> {
        self.shards
            .iter()
            .enumerate()
            .map(|(index, back_ends)| (ShardId(index as u32), back_ends.as_slice()))
    }
}

/// One index snapshot and the layout it is partitioned by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Unique in the service.
    pub id: SnapshotId,
    /// A layout of the same service.
    pub layout: LayoutId,
}

impl Service {
    /// The layout that a snapshot is partitioned by.
    pub fn layout_of(&self, snapshot: &Snapshot) -> Option<&Layout> {
        self.layouts
            .iter()
            .find(|layout| layout.id == snapshot.layout)
    }

    /// The server of an id.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEnd> {
        self.back_ends.iter().find(|back_end| back_end.id == *id)
    }
}

impl Bundle {
    /// The service of a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// All servers of all services.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEnd> {
        self.services
            .iter()
            .flat_map(|service| service.back_ends.iter())
    }
}
