//! Dissemination of the configuration in force: announcements, deltas, whole bundles.

use crate::byte_string::{self, SharedBytes};
use crate::{BundleVersion, ChangeId, Digest, Generation, SectionName};
use serde::{Deserialize, Serialize};

/// One part of a bundle in canonical form: the header, a service's head, or some of its back ends
/// or shards.
///
/// The bundle's digest is taken over the digests of its sections, so that a delta can be
/// checked without the parts that did not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleSection {
    /// Unique in the bundle.
    pub name: SectionName,
    /// Canonical bytes.
    pub bytes: SharedBytes,
}

/// Proof that one bundle version was approved and is in force as a generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GenerationRecord {
    /// Generation.
    pub generation: Generation,
    /// Version rolled out.
    pub version: BundleVersion,
    /// Digest of that version's bundle.
    pub digest: Digest,
    /// Change that put it in force.
    pub change: ChangeId,
    /// Id of the key that approved it.
    pub key_id: String,
    /// Ed25519 signature over version and digest (RFC 8032).
    #[serde(with = "byte_string")]
    pub signature: Vec<u8>,
}

/// What a node has, in a few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationSummary {
    /// Generation in force at the sender.
    pub generation: Generation,
    /// XXH3 (64 bits) of the encoded record: two records of one generation are told apart by it.
    pub fingerprint: u64,
}

/// A message about configuration. Names are short in frames, since the most frequent messages
/// are small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// What the sender has, and when the platform was last heard. Whoever has less asks for it;
    /// whoever has more answers with an announcement of its own.
    #[serde(rename = "a")]
    Announce {
        /// In force at the sender, if anything is.
        summary: Option<GenerationSummary>,
        /// Time since the platform last answered a reader, as far as the sender knows, in
        /// milliseconds.
        platform_age_ms: Option<u64>,
    },
    /// Send me yours; this is what I have.
    #[serde(rename = "r")]
    Request {
        /// Digest of the bundle that the sender has, if any.
        base: Option<Digest>,
        /// Generation that the sender has, if any.
        generation: Option<Generation>,
    },
    /// Sections that differ from the base.
    #[serde(rename = "d")]
    Delta {
        /// The generation this leads to.
        record: GenerationRecord,
        /// Digest of the bundle this applies to.
        base: Digest,
        /// Sections that are new or changed.
        changed: Vec<BundleSection>,
        /// Names of sections that are gone.
        removed: Vec<SectionName>,
    },
    /// The whole bundle.
    #[serde(rename = "w")]
    Whole {
        /// The generation.
        record: GenerationRecord,
        /// All sections.
        sections: Vec<BundleSection>,
    },
}
