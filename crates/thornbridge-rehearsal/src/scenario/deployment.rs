//! What a scenario becomes: servers with addresses, bundles, layouts and snapshots.

use super::{Scenario, ServiceScenario};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use thornbridge_config::bundle::{
    BUNDLE_FORMAT, BackEnd, Bundle, Layout, Service, ServiceLimits, Snapshot,
};
use thornbridge_proto::{
    BackEndId, BundleVersion, LayoutId, NodeName, RegionName, ServiceName, ShardId, SnapshotId,
    ZoneName,
};

/// Port that simulated servers listen on.
const BACK_END_PORT: u16 = 7000;
/// Port that simulated nodes' peer transports listen on.
const PEER_PORT: u16 = 7100;

/// Number of a snapshot of a service, from 0; higher is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SnapshotNumber(pub u32);

/// One simulated server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerPlace {
    /// Its service, as a position in [`Deployment::services`].
    pub service: usize,
    /// Its description in the bundle.
    pub back_end: BackEnd,
    /// Its zone, as a position in the scenario's list.
    pub zone: usize,
    /// First server of a shard of the first layout has 0, the second 1, and so on.
    pub replica: u32,
    /// Its shard of the first layout.
    pub first_shard: ShardId,
}

/// One simulated node's place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodePlace {
    /// Its name.
    pub name: NodeName,
    /// Its zone, as a position in the scenario's list.
    pub zone: usize,
    /// Zone's name.
    pub zone_name: ZoneName,
    /// Region.
    pub region: RegionName,
    /// Peer address.
    pub address: SocketAddr,
}

/// A service with all its layouts and snapshots, also those not yet rolled out.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    /// As in the scenario.
    pub scenario: ServiceScenario,
    /// Mean service time of a sub-request.
    pub mean_service_time: std::time::Duration,
    /// Its servers, as positions in [`Deployment::servers`].
    pub servers: Vec<usize>,
    /// Layouts and snapshots.
    pub catalogue: Catalogue,
}

/// Ground truth about a service's layouts and snapshots.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// Layouts that ever were.
    pub layouts: Vec<Layout>,
    /// Snapshots that ever were, in the order of their numbers.
    pub snapshots: Vec<Snapshot>,
    numbers: BTreeMap<SnapshotId, SnapshotNumber>,
    /// For each layout and shard, its servers as positions in [`Deployment::servers`].
    holders: Vec<Vec<Vec<usize>>>,
}

impl Catalogue {
    /// Adds a layout, unless it is known; `servers` are the positions that a shard number's
    /// holders have in [`Deployment::servers`].
    pub fn add_layout(&mut self, layout: Layout, holders: Vec<Vec<usize>>) {
        if self.layouts.iter().all(|known| known.id != layout.id) {
            self.layouts.push(layout);
            self.holders.push(holders);
        }
    }

    /// Adds a snapshot on a layout that is known.
    pub fn add_snapshot(&mut self, layout: LayoutId) -> SnapshotNumber {
        let number = SnapshotNumber(self.snapshots.len() as u32);
        let id = SnapshotId::new(format!("snapshot-{}", number.0));
        self.numbers.insert(id.clone(), number);
        self.snapshots.push(Snapshot { id, layout });
        number
    }

    /// The number of a snapshot.
    pub fn number(&self, id: &SnapshotId) -> Option<SnapshotNumber> {
        self.numbers.get(id).copied()
    }

    /// The layout of a snapshot.
    pub fn layout_of(&self, number: SnapshotNumber) -> &Layout {
        &self.layouts[self.layout_position(number)]
    }

    /// The servers of each shard of a snapshot's layout, as positions in
    /// [`Deployment::servers`].
    pub fn holders_of(&self, number: SnapshotNumber) -> &[Vec<usize>] {
        &self.holders[self.layout_position(number)]
    }

    fn layout_position(&self, number: SnapshotNumber) -> usize {
        let wanted = &self.snapshots[number.0 as usize].layout;
        let found = self.layouts.iter().position(|layout| layout.id == *wanted);
        found.unwrap_or(0)
    }

    /// The newest snapshot.
    pub fn newest(&self) -> SnapshotNumber {
        SnapshotNumber(self.snapshots.len().saturating_sub(1) as u32)
    }
}

/// A scenario with its servers and nodes placed.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The scenario.
    pub scenario: Scenario,
    /// Services.
    pub services: Vec<ServiceModel>,
    /// Servers of all services.
    pub servers: Vec<ServerPlace>,
    /// Nodes.
    pub nodes: Vec<NodePlace>,
}

impl Deployment {
    /// Places servers and nodes; `services` names those to keep, all where it is empty.
    pub fn new(scenario: Scenario, nodes: Option<u32>, services: &[ServiceName]) -> Self {
        let mut deployment = Self {
            services: Vec::new(),
            servers: Vec::new(),
            nodes: Vec::new(),
            scenario,
        };
        let kept: Vec<ServiceScenario> = deployment
            .scenario
            .services
            .iter()
            .filter(|service| services.is_empty() || services.contains(&service.name))
            .cloned()
            .collect();
        for service in kept {
            deployment.place_service(service);
        }
        let zones = deployment.scenario.zones.len() as u32;
        let wanted = nodes.unwrap_or(deployment.scenario.nodes_per_zone * zones);
        deployment.nodes = (0..wanted)
            .map(|index| deployment.node_place(index))
            .collect();
        deployment
    }

    fn place_service(&mut self, scenario: ServiceScenario) {
        let service = self.services.len();
        let first = self.servers.len();
        for shard in 0..scenario.shards {
            for replica in 0..scenario.replicas {
                let place = self.server_place(service, &scenario, shard, replica);
                self.servers.push(place);
            }
        }
        let servers: Vec<usize> = (first..self.servers.len()).collect();
        let mut model = ServiceModel {
            mean_service_time: scenario.service_time.mean(),
            scenario,
            servers,
            catalogue: Catalogue::default(),
        };
        let (layout, holders) = self.layout(&model, model.scenario.shards);
        let id = layout.id.clone();
        model.catalogue.add_layout(layout, holders);
        model.catalogue.add_snapshot(id);
        self.services.push(model);
    }

    fn server_place(
        &self,
        service: usize,
        scenario: &ServiceScenario,
        shard: u32,
        replica: u32,
    ) -> ServerPlace {
        let index = self.servers.len();
        let zone = (shard as usize + replica as usize) % self.scenario.zones.len();
        let address = IpAddr::V4(Ipv4Addr::new(
            10,
            1,
            (index / 250) as u8,
            (index % 250) as u8,
        ));
        let back_end = BackEnd {
            id: BackEndId::new(format!("{}-{shard}-{replica}", scenario.name)),
            address: SocketAddr::new(address, BACK_END_PORT),
            zone: self.scenario.zones[zone].name.clone(),
            slots: scenario.slots,
            connections: scenario.connections,
        };
        ServerPlace {
            service,
            back_end,
            zone,
            replica,
            first_shard: ShardId(shard),
        }
    }

    fn node_place(&self, index: u32) -> NodePlace {
        let zone = index as usize % self.scenario.zones.len();
        let model = &self.scenario.zones[zone];
        let address = IpAddr::V4(Ipv4Addr::new(
            10,
            0,
            (index / 250) as u8,
            (index % 250) as u8,
        ));
        NodePlace {
            name: NodeName::new(format!("node-{index}")),
            zone,
            zone_name: model.name.clone(),
            region: model.region.clone(),
            address: SocketAddr::new(address, PEER_PORT),
        }
    }

    /// A layout of a service's servers into so many shards, each with as many replicas as before,
    /// and the positions of each shard's servers.
    pub fn layout(&self, model: &ServiceModel, shards: u32) -> (Layout, Vec<Vec<usize>>) {
        let servers = model.servers.len();
        let replicas = model.scenario.replicas as usize;
        let holders_of = |shard: u32| -> Vec<usize> {
            (0..replicas)
                .map(|replica| (shard as usize * replicas + replica) % servers)
                .map(|place| model.servers[place])
                .collect()
        };
        let holders: Vec<Vec<usize>> = (0..shards).map(holders_of).collect();
        let ids = |servers: &Vec<usize>| {
            let ids = servers
                .iter()
                .map(|server| self.servers[*server].back_end.id.clone());
            ids.collect()
        };
        let layout = Layout {
            id: LayoutId::new(format!("layout-{shards}")),
            shards: holders.iter().map(ids).collect(),
        };
        (layout, holders)
    }

    /// The bundle that serves the given snapshots of each service, newest first.
    pub fn bundle(&self, version: &str, snapshots: &[Vec<SnapshotNumber>]) -> Bundle {
        let services = self
            .services
            .iter()
            .zip(snapshots)
            .map(|(model, numbers)| self.service_entry(model, numbers))
            .collect();
        Bundle {
            format: BUNDLE_FORMAT,
            version: BundleVersion::new(version),
            deployment: self.scenario.name.clone(),
            maximum_nodes: self.nodes.len() as u32,
            services,
        }
    }

    fn service_entry(&self, model: &ServiceModel, numbers: &[SnapshotNumber]) -> Service {
        let scenario = &model.scenario;
        let snapshots: Vec<Snapshot> = numbers
            .iter()
            .map(|number| model.catalogue.snapshots[number.0 as usize].clone())
            .collect();
        let layouts = model
            .catalogue
            .layouts
            .iter()
            .filter(|layout| {
                snapshots
                    .iter()
                    .any(|snapshot| snapshot.layout == layout.id)
            })
            .cloned()
            .collect();
        Service {
            name: scenario.name.clone(),
            kind: scenario.kind,
            priority: scenario.priority,
            completeness: scenario.completeness.clone(),
            limits: ServiceLimits::default(),
            back_ends: model
                .servers
                .iter()
                .map(|server| self.servers[*server].back_end.clone())
                .collect(),
            layouts,
            snapshots,
        }
    }

    /// Position of a service.
    pub fn service_of(&self, name: &ServiceName) -> Option<usize> {
        self.services
            .iter()
            .position(|service| service.scenario.name == *name)
    }
}
