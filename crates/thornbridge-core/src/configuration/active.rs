//! A configuration that was verified, ready for use on the query path.

use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};
use std::collections::HashMap;
use thornbridge_config::bundle::{BackEnd, Bundle, Service};
use thornbridge_config::canonical::{CanonicalError, SectionSet};
use thornbridge_proto::caller::ConfigurationReference;
use thornbridge_proto::peer::configuration::{GenerationRecord, GenerationSummary};
use thornbridge_proto::{BackEndId, BundleVersion, Digest, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

/// A bundle is not the one of its record.
#[derive(Debug, Snafu)]
pub enum ActiveConfigurationError {
    /// The content has another digest.
    #[snafu(display("the bundle has digest {found}, version {version} has {stated}"))]
    Digest {
        /// Version of the record.
        version: BundleVersion,
        /// Of the content.
        found: Digest,
        /// Of the record.
        stated: Digest,
    },
    /// The content has another version.
    #[snafu(display("the bundle is version {found}, not {stated}"))]
    Version {
        /// Of the content.
        found: BundleVersion,
        /// Of the record.
        stated: BundleVersion,
    },
    /// The content is not a bundle.
    #[snafu(display("version {version} is not a bundle: {source}"))]
    Content {
        /// Version of the record.
        version: BundleVersion,
        /// Cause.
        source: CanonicalError,
    },
}

/// One generation: its record, its bundle, and tables to look things up.
#[derive(Debug)]
pub struct ActiveConfiguration {
    /// What makes it the approved one.
    pub record: GenerationRecord,
    /// The short form that answers carry.
    pub reference: ConfigurationReference,
    /// The short form that peers are told.
    pub summary: GenerationSummary,
    /// The bundle: services, back ends and layouts sorted by name, on every node alike.
    pub bundle: Bundle,
    /// The bundle's canonical sections, to be passed on to peers.
    pub sections: SectionSet,
    services: HashMap<ServiceName, usize>,
    back_ends: HashMap<BackEndId, BackEnd>,
}

impl ActiveConfiguration {
    /// Checks that the bundle is the one of the record. The record's signature is checked by the
    /// caller.
    pub fn new(record: GenerationRecord, bundle: Bundle) -> Result<Self, ActiveConfigurationError> {
        let version = record.version.clone();
        let sections = SectionSet::of(&bundle).context(ContentSnafu { version })?;
        Self::from_sections(record, sections)
    }

    /// Checks that the sections are those of the record's bundle. The record's signature is
    /// checked by the caller.
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

    /// The service of a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services
            .get(name)
            .map(|index| &self.bundle.services[*index])
    }

    /// The back end of an id.
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

/// The short form of a record.
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
