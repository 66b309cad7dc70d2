//! Canonical form of a bundle: sections of bytes, and one digest over them.
//!
//! Sections are encoded with `rmp-serde`: the header, one head for each service (sorted by name),
//! its back ends in buckets by a hash of their id, and the shards of its layouts in ranges. The
//! digest is SHA-256 over each section's name and SHA-256. Two files that mean the same have one
//! digest, and a change of one back end leaves all sections but two as they are: this is what
//! keeps deltas small.

mod assembly;

use crate::bundle::Snapshot;
use crate::bundle::{BackEnd, Bundle, Completeness, Layout, Service, ServiceKind, ServiceLimits};
use assembly::Assembly;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeMap;
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::peer::configuration::BundleSection;
use thornbridge_proto::{BackEndId, BundleVersion, Digest, LayoutId, SectionName, ServiceName};

/// Back ends in one bucket, on average at most. A change of one back end sends one bucket:
/// about 2 kB.
const BACK_ENDS_PER_BUCKET: usize = 32;

/// Shards in one range. A change of one shard's replicas sends one range: about 2 kB.
const SHARDS_PER_RANGE: usize = 32;

/// Separates the parts of a section's name. Names in a bundle hold no control characters.
const SEPARATOR: char = '\u{1f}';

/// Sections are not those of a bundle.
#[derive(Debug, Snafu)]
pub enum CanonicalError {
    /// A section cannot be encoded.
    #[snafu(display("cannot encode section {name:?}"))]
    EncodeSection {
        /// Section.
        name: SectionName,
        /// Cause.
        source: rmp_serde::encode::Error,
    },
    /// A section cannot be decoded.
    #[snafu(display("cannot decode section {name:?}"))]
    DecodeSection {
        /// Section.
        name: SectionName,
        /// Cause.
        source: rmp_serde::decode::Error,
    },
    /// There is no header, or there are several.
    #[snafu(display("the sections have {count} headers"))]
    Headers {
        /// How many.
        count: usize,
    },
    /// A section belongs to a service or layout whose head is missing, or a range of shards is.
    #[snafu(display("section {name:?} does not fit the others"))]
    Orphan {
        /// Section.
        name: SectionName,
    },
}

#[derive(Serialize, Deserialize)]
struct Header {
    format: u32,
    version: BundleVersion,
    deployment: String,
    maximum_nodes: u32,
}

#[derive(Serialize, Deserialize)]
struct ServiceHead {
    name: ServiceName,
    kind: ServiceKind,
    priority: u8,
    completeness: Completeness,
    limits: ServiceLimits,
    snapshots: Vec<Snapshot>,
    layouts: Vec<LayoutId>,
}

/// What a section holds. The variants' order is part of the format.
#[derive(Serialize, Deserialize)]
enum Content {
    #[serde(rename = "h")]
    Header(Header),
    #[serde(rename = "s")]
    Service(ServiceHead),
    #[serde(rename = "b")]
    BackEnds {
        service: ServiceName,
        back_ends: Vec<BackEnd>,
    },
    #[serde(rename = "l")]
    Shards {
        service: ServiceName,
        layout: LayoutId,
        first: u32,
        shards: Vec<Vec<BackEndId>>,
    },
}

/// One section and its SHA-256.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Section {
    bytes: SharedBytes,
    digest: Digest,
}

/// All sections of one bundle. Clones share the bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SectionSet {
    sections: BTreeMap<SectionName, Section>,
}

/// Digests of a bundle's sections: enough to work out what changed since.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SectionIndex {
    digests: BTreeMap<SectionName, Digest>,
}

/// Difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionDelta {
    /// New or changed.
    pub changed: Vec<BundleSection>,
    /// Gone.
    pub removed: Vec<SectionName>,
}

impl SectionSet {
    /// Sections of a bundle.
    pub fn of(bundle: &Bundle) -> Result<Self, CanonicalError> {
        let mut set = Self::default();
        set.encode(SectionName::from(""), &Content::Header(header_of(bundle)))?;
        for service in &bundle.services {
            set.encode_service(service)?;
        }
        Ok(set)
    }

    /// Sections as they came from a peer.
    pub fn received(sections: Vec<BundleSection>) -> Self {
        let mut set = Self::default();
        for section in sections {
            set.insert(section.name, section.bytes);
        }
        set
    }

    /// The sections after a change. Only what changed is hashed.
    pub fn changed_by(&self, delta: SectionDelta) -> Self {
        let mut set = self.clone();
        for name in &delta.removed {
            set.sections.remove(name);
        }
        for section in delta.changed {
            set.insert(section.name, section.bytes);
        }
        set
    }

    /// What leads from an older bundle to this one.
    pub fn delta_from(&self, base: &SectionIndex) -> SectionDelta {
        let differs =
            |name: &SectionName, section: &Section| base.digests.get(name) != Some(&section.digest);
        let changed = self.sections.iter();
        let removed = base.digests.keys();
        SectionDelta {
            changed: changed
                .filter(|(name, section)| differs(name, section))
                .map(|(name, section)| on_the_wire(name, section))
                .collect(),
            removed: removed
                .filter(|name| !self.sections.contains_key(*name))
                .cloned()
                .collect(),
        }
    }

    /// All sections, for a peer.
    pub fn to_wire(&self) -> Vec<BundleSection> {
        let sections = self.sections.iter();
        sections
            .map(|(name, section)| on_the_wire(name, section))
            .collect()
    }

    /// The digests alone.
    pub fn index(&self) -> SectionIndex {
        let digests = self.sections.iter();
        SectionIndex {
            digests: digests
                .map(|(name, section)| (name.clone(), section.digest))
                .collect(),
        }
    }

    /// The bundle's digest.
    pub fn digest(&self) -> Digest {
        let mut hasher = Sha256::new();
        for (name, section) in &self.sections {
            hasher.update((name.as_str().len() as u64).to_be_bytes());
            hasher.update(name.as_str().as_bytes());
            hasher.update(section.digest.0);
        }
        Digest(hasher.finalize().into())
    }

    /// Bytes of all sections together.
    pub fn total_bytes(&self) -> usize {
        let sections = self.sections.values();
        sections.map(|section| section.bytes.as_slice().len()).sum()
    }

    fn insert(&mut self, name: SectionName, bytes: SharedBytes) {
        let digest = Digest(Sha256::digest(bytes.as_slice()).into());
        self.sections.insert(name, Section { bytes, digest });
    }

    fn encode(&mut self, name: SectionName, content: &Content) -> Result<(), CanonicalError> {
        let bytes =
            rmp_serde::to_vec(content).context(EncodeSectionSnafu { name: name.clone() })?;
        self.insert(name, bytes.into());
        Ok(())
    }

    fn encode_service(&mut self, service: &Service) -> Result<(), CanonicalError> {
        let name = section_name(&["s", service.name.as_str()]);
        self.encode(name, &Content::Service(head_of(service)))?;
        for (bucket, back_ends) in buckets(&service.back_ends) {
            let name = section_name(&["b", service.name.as_str(), &bucket.to_string()]);
            let service = service.name.clone();
            self.encode(name, &Content::BackEnds { service, back_ends })?;
        }
        for layout in &service.layouts {
            self.encode_layout(service, layout)?;
        }
        Ok(())
    }

    fn encode_layout(&mut self, service: &Service, layout: &Layout) -> Result<(), CanonicalError> {
        for (range, shards) in layout.shards.chunks(SHARDS_PER_RANGE).enumerate() {
            let first = (range * SHARDS_PER_RANGE) as u32;
            let service = service.name.clone();
            let name = [
                "l",
                service.as_str(),
                layout.id.as_str(),
                &first.to_string(),
            ];
            let name = section_name(&name);
            let content = Content::Shards {
                service,
                layout: layout.id.clone(),
                first,
                shards: shards.iter().map(|replicas| sorted(replicas)).collect(),
            };
            self.encode(name, &content)?;
        }
        Ok(())
    }

    /// The bundle of these sections: services, back ends, layouts and replicas sorted by name.
    pub fn assemble(&self) -> Result<Bundle, CanonicalError> {
        let mut assembly = Assembly::default();
        for (name, section) in &self.sections {
            let content = rmp_serde::from_slice(section.bytes.as_slice())
                .context(DecodeSectionSnafu { name: name.clone() })?;
            assembly.add(name, content);
        }
        assembly.finish()
    }
}

/// Replicas have no order of their own.
fn sorted(replicas: &[BackEndId]) -> Vec<BackEndId> {
    let mut replicas = replicas.to_vec();
    replicas.sort();
    replicas
}

fn on_the_wire(name: &SectionName, section: &Section) -> BundleSection {
    BundleSection {
        name: name.clone(),
        bytes: section.bytes.clone(),
    }
}

fn section_name(parts: &[&str]) -> SectionName {
    SectionName::from(parts.join(&SEPARATOR.to_string()))
}

fn header_of(bundle: &Bundle) -> Header {
    Header {
        format: bundle.format,
        version: bundle.version.clone(),
        deployment: bundle.deployment.clone(),
        maximum_nodes: bundle.maximum_nodes,
    }
}

fn head_of(service: &Service) -> ServiceHead {
    let mut layouts: Vec<LayoutId> = service
        .layouts
        .iter()
        .map(|layout| layout.id.clone())
        .collect();
    layouts.sort();
    ServiceHead {
        name: service.name.clone(),
        kind: service.kind,
        priority: service.priority,
        completeness: service.completeness.clone(),
        limits: service.limits.clone(),
        snapshots: service.snapshots.clone(),
        layouts,
    }
}

/// Back ends by bucket, sorted by id within each. The number of buckets is a power of two, so that
/// it changes seldom as back ends come and go.
fn buckets(back_ends: &[BackEnd]) -> BTreeMap<u64, Vec<BackEnd>> {
    let count = back_ends
        .len()
        .div_ceil(BACK_ENDS_PER_BUCKET)
        .next_power_of_two() as u64;
    let mut buckets: BTreeMap<u64, Vec<BackEnd>> = BTreeMap::new();
    for back_end in back_ends {
        let bucket = hash_of(&back_end.id) % count;
        buckets.entry(bucket).or_default().push(back_end.clone());
    }
    for bucket in buckets.values_mut() {
        bucket.sort_by(|left, right| left.id.cmp(&right.id));
    }
    buckets
}

fn hash_of(id: &BackEndId) -> u64 {
    let hash = Sha256::digest(id.as_str().as_bytes());
    let first = hash.first_chunk().expect("a SHA-256 has 32 bytes");
    u64::from_be_bytes(*first)
}

/// Digest of a bundle.
pub fn digest(bundle: &Bundle) -> Result<Digest, CanonicalError> {
    Ok(SectionSet::of(bundle)?.digest())
}
