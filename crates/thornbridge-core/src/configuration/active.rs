//! The active configuration: a verified bundle with lookup tables for the request path.

use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};
use std::collections::HashMap;
use thornbridge_config::bundle::{BackEnd, Bundle, Service};
use thornbridge_config::canonical::{CanonicalError, SectionSet};
use thornbridge_proto::caller::ConfigurationReference;
use thornbridge_proto::peer::configuration::{GenerationRecord, GenerationSummary};
use thornbridge_proto::{BackEndId, BundleVersion, Digest, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// A bundle does not match its record.
#[derive(Debug, Snafu)]
pub enum ActiveConfigurationError {
    /// The digest differs.
    #[snafu(display(
        "the bundle has digest {found}, but the record of version {version} states {stated}"
    ))]
    Digest {
        /// Version in the record.
        version: BundleVersion,
        /// Digest of the content.
        found: Digest,
        /// Digest in the record.
        stated: Digest,
    },
    /// The version differs.
    #[snafu(display("the bundle has version {found}, but its record states {stated}"))]
    Version {
        /// Version in the content.
        found: BundleVersion,
        /// Version in the record.
        stated: BundleVersion,
    },
    /// The content cannot be decoded.
    #[snafu(display("the content of version {version} is not a valid bundle: {source}"))]
    Content {
        /// Version in the record.
        version: BundleVersion,
        /// Cause.
        source: CanonicalError,
    },
}

/// One generation: record, bundle, and lookup tables.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// Signed record of the approval.
    pub record: GenerationRecord,
    /// Reference sent in responses to callers.
    pub reference: ConfigurationReference,
    /// Summary sent to peers.
    pub summary: GenerationSummary,
    /// The bundle; services, back ends and layouts are sorted by name, the same on every node.
    pub bundle: Bundle,
    /// Canonical sections of the bundle, for messages to peers.
    pub sections: SectionSet,
    services: HashMap<ServiceName, usize>,
    back_ends: HashMap<BackEndId, BackEnd>,
}

impl ActiveConfiguration {
    /// Checks the bundle against the record. The caller has verified the record's signature.
    pub fn new(record: GenerationRecord, bundle: Bundle) -> Result<Self, ActiveConfigurationError> {
        let version = record.version.clone();
        let sections = SectionSet::of(&bundle).context(ContentSnafu { version })?;
        Self::from_sections(record, sections)
    }

    /// Checks the sections against the record. The caller has verified the record's signature.
    pub fn from_sections(
        record: GenerationRecord,
        sections: SectionSet,
    ) -> Result<Self, ActiveConfigurationError> {
        let version = record.version.clone();
        let (found, stated) = (sections.digest(), record.digest);
        let digest_error = DigestSnafu {
            version: version.clone(),
            found,
            stated,
        };
        ensure!(found == stated, digest_error);
        let bundle = sections.assemble().context(ContentSnafu { version })?;
        let found = bundle.version.clone();
        let stated = record.version.clone();
        ensure!(found == stated, VersionSnafu { found, stated });
        Ok(Self {
            reference: reference_of(&record),
            summary: summary_of(&record),
            services: service_positions(&bundle),
            back_ends: back_ends_by_id(&bundle),
            record,
            bundle,
            sections,
        })
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services
            .get(name)
            .map(|index| &self.bundle.services[*index])
    }

    /// A back end by id.
    pub fn back_end(&self, id: &BackEndId) -> Option<&BackEnd> {
        self.back_ends.get(id)
    }
}

fn reference_of(record: &GenerationRecord) -> ConfigurationReference {
    ConfigurationReference {
        generation: record.generation,
        version: record.version.clone(),
        digest: record.digest,
    }
}

/// Generation and fingerprint of a record.
pub fn summary_of(record: &GenerationRecord) -> GenerationSummary {
    GenerationSummary {
        generation: record.generation,
        fingerprint: fingerprint(record),
    }
}

fn fingerprint<T: Serialize>(value: &T) -> u64 {
    let bytes = rmp_serde::to_vec(value).expect("a record of strings and bytes can be encoded");
    xxh3_64(&bytes)
}

fn service_positions(bundle: &Bundle) -> HashMap<ServiceName, usize> {
    let services = bundle.services.iter().enumerate();
    services
        .map(|(index, service)| (service.name.clone(), index))
        .collect()
}

fn back_ends_by_id(bundle: &Bundle) -> HashMap<BackEndId, BackEnd> {
    let back_ends = bundle.back_ends();
    back_ends
        .map(|back_end| (back_end.id.clone(), back_end.clone()))
        .collect()
}
