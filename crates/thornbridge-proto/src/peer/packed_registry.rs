//! Registry entries as they are encoded: services, zones and their names once, not in each entry.

use super::view::{Instance, InstanceState, RegistryDelta, StoreRevision};
use crate::{BackEndId, ServerVersion, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A name that an entry refers to is not in its message.
#[derive(Debug, Snafu)]
#[snafu(display("registry entry {id} refers to name {index} of {names}"))]
pub struct MissingName {
    id: BackEndId,
    index: u32,
    names: usize,
}

/// A [`RegistryDelta`] as it is encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct PackedRegistry {
    since: Option<StoreRevision>,
    upto: StoreRevision,
    services: Vec<ServiceName>,
    zones: Vec<ZoneName>,
    present: Vec<PackedInstance>,
    departed: Vec<(StoreRevision, BackEndId)>,
}

#[derive(Clone, Serialize, Deserialize)]
struct PackedInstance {
    revision: StoreRevision,
    id: BackEndId,
    born_ms: u64,
    /// Index into the services.
    service: u32,
    address: SocketAddr,
    /// Index into the zones.
    zone: u32,
    slots: u32,
    state: InstanceState,
    cold_milliseconds: u32,
}

/// Names in the order in which they are first met.
struct Names<N> {
    names: Vec<N>,
    indices: BTreeMap<N, u32>,
}

impl<N: Ord + Clone> Names<N> {
    fn new() -> Self {
        Self {
            names: Vec::new(),
            indices: BTreeMap::new(),
        }
    }

    fn index_of(&mut self, name: N) -> u32 {
        let next = self.names.len() as u32;
        *self.indices.entry(name).or_insert_with_key(|name| {
            self.names.push(name.clone());
            next
        })
    }
}

impl From<RegistryDelta> for PackedRegistry {
    fn from(delta: RegistryDelta) -> Self {
        let mut services = Names::new();
        let mut zones = Names::new();
        let present = delta.present.into_iter();
        let present = present.map(|(revision, instance)| PackedInstance {
            revision,
            id: instance.id,
            born_ms: instance.born_ms,
            service: services.index_of(instance.service),
            address: instance.address,
            zone: zones.index_of(instance.zone),
            slots: instance.slots,
            state: instance.state,
            cold_milliseconds: instance.cold_milliseconds,
        });
        let present = present.collect();
        Self {
            since: delta.since,
            upto: delta.upto,
            present,
            services: services.names,
            zones: zones.names,
            departed: delta.departed,
        }
    }
}

impl TryFrom<PackedRegistry> for RegistryDelta {
    type Error = MissingName;

    fn try_from(packed: PackedRegistry) -> Result<Self, MissingName> {
        let PackedRegistry {
            services, zones, ..
        } = &packed;
        let present = packed.present.iter();
        let present = present.map(|entry| {
            let instance = Instance {
                id: entry.id.clone(),
                born_ms: entry.born_ms,
                service: name_at(services, entry.service, &entry.id)?,
                address: entry.address,
                zone: name_at(zones, entry.zone, &entry.id)?,
                version: ServerVersion::default(),
                slots: entry.slots,
                state: entry.state,
                cold_milliseconds: entry.cold_milliseconds,
            };
            Ok((entry.revision, instance))
        });
        Ok(Self {
            since: packed.since,
            upto: packed.upto,
            present: present.collect::<Result<_, MissingName>>()?,
            departed: packed.departed,
        })
    }
}

fn name_at<N: Clone>(names: &[N], index: u32, id: &BackEndId) -> Result<N, MissingName> {
    let name = names.get(index as usize).cloned();
    name.with_context(|| MissingNameSnafu {
        id: id.clone(),
        index,
        names: names.len(),
    })
}
