//! One deployment in this process: platform, back ends and nodes, each on free loopback ports.

use crate::error::CommandError;
use crate::fleet::Fleet;
use crate::operator;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use thornbridge_config::bundle::{Bundle, ServiceKind};
use thornbridge_config::keys::{ApprovalKey, ClusterKey};
use thornbridge_config::settings::NodeSettings;
use thornbridge_core::operator::{OperatorCommand, OperatorOutcome, RolloutRequest};
use thornbridge_node::{Listeners, NodeRuntimeSettings, RunningNode};
use thornbridge_proto::{BundleVersion, Generation, ServiceName, ZoneName};
use thornbridge_rehearsal::load::{LoadKind, LoadOptions, ServiceShare};
use thornbridge_rehearsal::stand_in::back_end::{self, BackEndsConfig, Ports, RunningBackEnds};
use thornbridge_rehearsal::stand_in::platform::{self, PlatformConfig, RunningPlatform};
use tokio::time::Instant;

/// Nodes at the start.
const NODES: usize = 3;

/// Time between two looks at the nodes during a rollout.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait for a rollout or for a node to become ready.
pub const PATIENCE: Duration = Duration::from_secs(5);

/// Time that a query is allowed.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Most queries in flight.
const CONCURRENCY: usize = 1_000;

/// Hits asked for.
const HITS: u32 = 10;

/// A running deployment.
pub struct Deployment {
    /// What is in force, with the addresses that the back ends have here.
    pub bundle: Bundle,
    /// Where the platform is, or was.
    pub platform_address: SocketAddr,
    /// The platform, until it is stopped.
    pub platform: Option<RunningPlatform>,
    /// All back ends.
    pub back_ends: RunningBackEnds,
    /// Nodes that run.
    pub nodes: Vec<RunningNode>,
    approval_key: ApprovalKey,
    cluster_key: ClusterKey,
    rate: f64,
    seed: u64,
}

impl Deployment {
    /// Starts everything; no configuration is in force yet.
    pub async fn start(bundle: Bundle, rate: f64, seed: u64) -> Result<Self, CommandError> {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = platform::start(PlatformConfig::default(), loopback).await?;
        let mut config = BackEndsConfig::new(bundle.clone(), Ports::Free);
        config.seed = seed;
        let back_ends = back_end::start(config).await?;
        let mut deployment = Self {
            bundle: with_addresses(bundle, &back_ends),
            platform_address: platform.address(),
            platform: Some(platform),
            back_ends,
            nodes: Vec::new(),
            approval_key: ApprovalKey::generate("demo")?,
            cluster_key: ClusterKey::generate()?,
            rate,
            seed,
        };
        for _ in 0..NODES {
            deployment.add_node().await?;
        }
        Ok(deployment)
    }

    /// Starts one more node, in the next zone, with the running ones as its seeds.
    pub async fn add_node(&mut self) -> Result<&RunningNode, CommandError> {
        let listeners = Listeners::on_loopback().await?;
        let settings = self.settings(self.nodes.len());
        let settings = NodeRuntimeSettings::new(settings, self.cluster_key.clone());
        self.nodes
            .push(RunningNode::start(settings, listeners).await?);
        Ok(&self.nodes[self.nodes.len() - 1])
    }

    fn settings(&self, number: usize) -> NodeSettings {
        // The sockets are already bound, so that the listening addresses are not used.
        let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let zones = self.zones();
        NodeSettings {
            name: format!("{}-{}", self.bundle.deployment, number + 1).into(),
            zone: zones[number % zones.len()].clone(),
            region: self.bundle.deployment.as_str().into(),
            caller_address: unused,
            operator_address: unused,
            peer_address: unused,
            advertised_peer_address: None,
            advertised_operator_address: None,
            platform_address: self.platform_address,
            seeds: self.nodes.iter().map(RunningNode::peer_address).collect(),
            caller_connections: None,
            caller_memory_mb: None,
            cluster_key_file: PathBuf::new(),
            trusted_keys: vec![self.approval_key.trusted_key()],
        }
    }

    fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self
            .bundle
            .back_ends()
            .map(|one| one.zone.clone())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Publishes and approves the bundle.
    pub async fn publish_and_approve(&self) -> Result<(), CommandError> {
        let bundle = self.bundle.clone();
        let publish = OperatorCommand::Publish { bundle };
        let published = operator::execute(self.platform_address, publish).await?;
        if let OperatorOutcome::Published { version, .. } = published {
            let (key_id, key) = self.approval_key.clone().into_parts();
            let approve = OperatorCommand::Approve {
                version,
                key_id,
                key,
            };
            operator::execute(self.platform_address, approve).await?;
        }
        Ok(())
    }

    /// Rolls a version out where `expected` is in force.
    pub async fn roll_out(
        &self,
        version: BundleVersion,
        expected: Option<Generation>,
    ) -> Result<Generation, CommandError> {
        let command = OperatorCommand::RolloutStart(RolloutRequest {
            version,
            origin: operator::origin("demo".to_owned(), false),
            expected,
            trusted_keys: vec![self.approval_key.trusted_key()],
        });
        match operator::execute(self.platform_address, command).await? {
            OperatorOutcome::RolledOut { record, .. } => Ok(record.generation),
            _ => Ok(Generation(0)),
        }
    }

    /// Time until all nodes have a generation in force; absent when they have not in time.
    pub async fn active_everywhere(&self, generation: Generation) -> Option<Duration> {
        let started = Instant::now();
        let addresses: Vec<SocketAddr> = self
            .nodes
            .iter()
            .map(RunningNode::operator_address)
            .collect();
        while started.elapsed() < PATIENCE {
            let fleet = Fleet::look(&addresses).await;
            if fleet.pending(generation).is_empty() {
                return Some(started.elapsed());
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        None
    }

    /// A load of queries over all services that take them, through these nodes.
    pub fn load(&self, nodes: &[RunningNode], duration: Duration) -> LoadOptions {
        LoadOptions {
            nodes: nodes.iter().map(RunningNode::caller_address).collect(),
            services: self.query_shares(),
            kind: LoadKind::Query,
            rate: self.rate,
            duration,
            concurrency: CONCURRENCY,
            timeout: QUERY_TIMEOUT,
            limit: HITS,
            seed: self.seed,
        }
    }

    /// Services that take queries, in equal shares.
    fn query_shares(&self) -> Vec<ServiceShare> {
        let names = self.services(ServiceKind::Query);
        let shares = names.into_iter().map(|service| ServiceShare {
            service,
            weight: 1.0,
        });
        shares.collect()
    }

    /// Names of the services of a kind.
    pub fn services(&self, kind: ServiceKind) -> Vec<ServiceName> {
        let services = self.bundle.services.iter();
        let services = services.filter(|service| service.kind == kind);
        services.map(|service| service.name.clone()).collect()
    }

    /// Ends all that runs, at once: with the platform gone, a planned stop would wait a while for
    /// a place to hand its part in keeping actions' claims over.
    pub async fn stop(mut self) {
        for node in &mut self.nodes {
            node.abort();
            node.wait().await;
        }
        if let Some(platform) = self.platform.take() {
            platform.stop().await;
        }
        self.back_ends.stop().await;
    }
}

/// The bundle with the addresses that its back ends listen on here.
fn with_addresses(mut bundle: Bundle, back_ends: &RunningBackEnds) -> Bundle {
    let addresses = back_ends.addresses();
    for service in &mut bundle.services {
        for back_end in &mut service.back_ends {
            if let Some(address) = addresses.get(&back_end.id) {
                back_end.address = *address;
            }
        }
    }
    bundle
}
