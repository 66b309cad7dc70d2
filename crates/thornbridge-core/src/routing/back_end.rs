//! State of each back end, and the table of back ends and services.

use super::back_end_limit::BackEndLimit;
use super::connections::Pool;
use super::hash::LookupMap;
use super::health::HealthView;
use super::latency::LatencyEstimate;
use super::load::ReportedLoad;
use super::outlier::OutlierState;
use super::slow_start::SlowStart;
use super::subset::{SubsetServer, Topology, identity_hash};
use std::net::SocketAddr;
use thornbridge_config::bundle::{BackEnd, Bundle};
use thornbridge_proto::{BackEndId, ServiceName};

/// Index of a back end in the table. Stable while the back end is in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct BackEndIndex(pub(super) u32);

/// Index of a service in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServiceIndex(pub(super) u32);

/// State of one back end.
#[derive(Debug)]
pub(super) struct BackEndState {
    pub(super) id: BackEndId,
    pub(super) address: SocketAddr,
    pub(super) service: ServiceIndex,
    pub(super) slots: f32,
    /// In the active configuration. A back end that is not is only drained.
    pub(super) configured: bool,
    /// Maximum connections of this node to the back end; 0 outside the subset.
    pub(super) connection_share: u32,
    /// Attempts dispatched and not ended, cancelled ones included.
    pub(super) in_flight: u32,
    pub(super) pool: Pool,
    pub(super) load: ReportedLoad,
    pub(super) latency: LatencyEstimate,
    pub(super) health: HealthView,
    pub(super) slow_start: SlowStart,
    pub(super) outlier: OutlierState,
    pub(super) limit: BackEndLimit,
    /// Replica groups of which the back end is a member, as indices into the table's groups.
    pub(super) groups: Vec<u32>,
}

impl BackEndState {
    /// Whether new attempts may be sent to the back end.
    pub(super) fn takes_new_work(&self) -> bool {
        self.configured && self.connection_share > 0 && !self.health.is_leaving()
    }

    /// Whether the back end takes new work, is reachable and is not ejected.
    pub(super) fn is_healthy(&self) -> bool {
        self.takes_new_work()
            && !self.health.is_unreachable()
            && !self.health.is_reported_unreachable()
            && !self.outlier.is_ejected()
    }

    /// Whether no attempt and no connection is left.
    pub(super) fn is_drained(&self) -> bool {
        self.in_flight == 0 && self.pool.open() == 0
    }
}

/// Routing state of a service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) name: ServiceName,
    /// Latency over all back ends of the service.
    pub(super) latency: LatencyEstimate,
    /// Back ends of the service in the active configuration.
    pub(super) back_ends: Vec<BackEndIndex>,
}

/// Table of back ends and services.
#[derive(Debug, Default)]
pub(super) struct BackEndTable {
    entries: Vec<Option<BackEndState>>,
    by_id: LookupMap<BackEndId, BackEndIndex>,
    free_indices: Vec<BackEndIndex>,
    pub(super) services: Vec<ServiceState>,
    /// Replica groups: the replicas of each shard of each layout.
    pub(super) groups: Vec<Vec<BackEndIndex>>,
}

impl BackEndTable {
    pub(super) fn index(&self, id: &BackEndId) -> Option<BackEndIndex> {
        self.by_id.get(id).copied()
    }

    pub(super) fn get(&self, index: BackEndIndex) -> Option<&BackEndState> {
        self.entries.get(index.0 as usize)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, index: BackEndIndex) -> Option<&mut BackEndState> {
        self.entries.get_mut(index.0 as usize)?.as_mut()
    }

    pub(super) fn get_by_id(&self, id: &BackEndId) -> Option<&BackEndState> {
        self.get(self.index(id)?)
    }

    pub(super) fn indices(&self) -> impl Iterator<Item = BackEndIndex> + use<> {
        (0..self.entries.len() as u32).map(BackEndIndex)
    }

    pub(super) fn states(&self) -> impl Iterator<Item = &BackEndState> {
        self.entries.iter().flatten()
    }

    /// Log2 of the mean latency of a service in µs.
    pub(super) fn baseline_log2_us(&self, service: ServiceIndex) -> Option<f32> {
        self.services
            .get(service.0 as usize)?
            .latency
            .mean_log2_us()
    }

    pub(super) fn insert(&mut self, state: BackEndState) -> BackEndIndex {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.entries.push(None);
            BackEndIndex(self.entries.len() as u32 - 1)
        });
        self.by_id.insert(state.id.clone(), index);
        self.entries[index.0 as usize] = Some(state);
        index
    }

    /// Removes a back end that is no longer configured and is drained.
    pub(super) fn remove_if_drained(&mut self, index: BackEndIndex) {
        let removable = self
            .get(index)
            .is_some_and(|state| !state.configured && state.is_drained());
        if !removable {
            return;
        }
        if let Some(state) = self.entries[index.0 as usize].take() {
            self.by_id.remove(&state.id);
            self.free_indices.push(index);
        }
    }

    /// Sets services and replica groups from a bundle whose back ends are all in the table.
    pub(super) fn set_services(&mut self, bundle: &Bundle) {
        let mut old = std::mem::take(&mut self.services);
        for service in &bundle.services {
            let known = old.iter().position(|state| state.name == service.name);
            let latency = known.map(|position| old.swap_remove(position).latency);
            let back_ends = service
                .back_ends
                .iter()
                .filter_map(|back_end| self.index(&back_end.id))
                .collect();
            self.services.push(ServiceState {
                name: service.name.clone(),
                latency: latency.unwrap_or_default(),
                back_ends,
            });
        }
        self.set_groups(bundle);
    }

    fn set_groups(&mut self, bundle: &Bundle) {
        self.groups.clear();
        self.entries
            .iter_mut()
            .flatten()
            .for_each(|state| state.groups.clear());
        let layouts = bundle.services.iter().flat_map(|service| &service.layouts);
        for shard in layouts.flat_map(|layout| &layout.shards) {
            let replicas: Vec<BackEndIndex> =
                shard.iter().filter_map(|id| self.index(id)).collect();
            let group = self.groups.len() as u32;
            for index in &replicas {
                if let Some(state) = self.get_mut(*index) {
                    state.groups.push(group);
                }
            }
            self.groups.push(replicas);
        }
    }

    /// Topology of a bundle, and the table index of each of its servers. Does not depend on this
    /// node's history, so that every node computes the same assignment from it.
    pub(super) fn topology(&self, bundle: &Bundle) -> (Topology, Vec<BackEndIndex>) {
        let mut topology = Topology::default();
        let mut indices = Vec::new();
        let mut positions: LookupMap<BackEndIndex, u32> = LookupMap::default();
        for back_end in bundle.back_ends() {
            if let Some(index) = self.index(&back_end.id) {
                positions.insert(index, topology.servers.len() as u32);
                topology.servers.push(subset_server(back_end));
                indices.push(index);
            }
        }
        topology.groups = self
            .groups
            .iter()
            .map(|group| group.iter().map(|index| positions[index]).collect())
            .collect();
        (topology, indices)
    }
}

fn subset_server(back_end: &BackEnd) -> SubsetServer {
    SubsetServer {
        hash: identity_hash(back_end.id.as_str()),
        zone: back_end.zone.clone(),
        connection_limit: back_end.connections,
    }
}
