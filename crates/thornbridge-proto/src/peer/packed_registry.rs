//! Registry entries as they are encoded: services, zones and their names once, not in each entry.

use super::packed_versions::{self, MalformedVersions};
use super::view::{Instance, InstanceState, RegistryDelta, StoreRevision};
use crate::{BackEndId, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Registry entries cannot be decoded.
#[derive(Debug, Snafu)]
pub enum MalformedRegistry {
    /// A name that an entry refers to is not in its message.
    #[snafu(display("registry entry {id} refers to name {index} of {names}"))]
    MissingName {
        /// The entry.
        id: BackEndId,
        /// Index of the name.
        index: u32,
        /// Number of names.
        names: usize,
    },
    /// The versions of the entries cannot be decoded.
    #[snafu(display("{source}"), context(false))]
    Versions {
        /// Cause.
        source: MalformedVersions,
    },
}

/// A [`RegistryDelta`] as it is encoded.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct PackedRegistry {
    since: Option<StoreRevision>,
    upto: StoreRevision,
    /// Names of services, followed by the versions of the entries ([`packed_versions`]).
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
pub(super) struct Names<N> {
    names: Vec<N>,
    indices: BTreeMap<N, u32>,
}

impl<N: Ord + Clone> Names<N> {
    pub(super) fn new() -> Self {
        Self {
            names: Vec::new(),
            indices: BTreeMap::new(),
        }
    }

    pub(super) fn index_of(&mut self, name: N) -> u32 {
        let next = self.names.len() as u32;
        *self.indices.entry(name).or_insert_with_key(|name| {
            self.names.push(name.clone());
            next
        })
    }

    pub(super) fn into_names(self) -> Vec<N> {
        self.names
    }
}

impl From<RegistryDelta> for PackedRegistry {
    fn from(delta: RegistryDelta) -> Self {
        let mut services = Names::new();
        let mut zones = Names::new();
        let mut versions = Vec::with_capacity(delta.present.len());
        let present = delta.present.into_iter();
        let present = present.map(|(revision, instance)| {
            versions.push(instance.version);
            PackedInstance {
                revision,
                id: instance.id,
                born_ms: instance.born_ms,
                service: services.index_of(instance.service),
                address: instance.address,
                zone: zones.index_of(instance.zone),
                slots: instance.slots,
                state: instance.state,
                cold_milliseconds: instance.cold_milliseconds,
            }
        });
        let present = present.collect();
        let mut services = services.into_names();
        packed_versions::append(&mut services, &versions);
        Self {
            since: delta.since,
            upto: delta.upto,
            present,
            services,
            zones: zones.into_names(),
            departed: delta.departed,
        }
    }
}

impl PackedRegistry {
    /// Names of services beyond the last that an entry refers to.
    fn appended_names(&self) -> &[ServiceName] {
        let referenced = self.present.iter();
        let referenced = referenced.map(|entry| entry.service as usize + 1).max();
        let start = referenced.unwrap_or_default();
        self.services.get(start..).unwrap_or_default()
    }
}

impl TryFrom<PackedRegistry> for RegistryDelta {
    type Error = MalformedRegistry;

    fn try_from(packed: PackedRegistry) -> Result<Self, MalformedRegistry> {
        let PackedRegistry {
            services, zones, ..
        } = &packed;
        let versions = packed_versions::extract(packed.appended_names(), packed.present.len())?;
        let present = packed.present.iter().zip(versions);
        let present = present.map(|(entry, version)| {
            let instance = Instance {
                id: entry.id.clone(),
                born_ms: entry.born_ms,
                service: name_at(services, entry.service, &entry.id)?,
                address: entry.address,
                zone: name_at(zones, entry.zone, &entry.id)?,
                version,
                slots: entry.slots,
                state: entry.state,
                cold_milliseconds: entry.cold_milliseconds,
            };
            Ok((entry.revision, instance))
        });
        Ok(Self {
            since: packed.since,
            upto: packed.upto,
            present: present.collect::<Result<_, MalformedRegistry>>()?,
            departed: packed.departed,
        })
    }
}

fn name_at<N: Clone>(names: &[N], index: u32, id: &BackEndId) -> Result<N, MalformedRegistry> {
    let name = names.get(index as usize).cloned();
    name.with_context(|| MissingNameSnafu {
        id: id.clone(),
        index,
        names: names.len(),
    })
}
