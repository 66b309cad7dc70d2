//! Identifiers shared by every crate.
//!
//! Names are reference-counted strings, so that a clone on the query path costs
//! no allocation; numbers are newtypes, so that one kind is never taken for another.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Takes a text as it stands in the input.
struct NameVisitor;

impl serde::de::Visitor<'_> for NameVisitor {
    type Value = Arc<str>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a string")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Arc::from(text))
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        // One allocation: the derived form makes a `String` first.
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(
                deserializer: D,
            ) -> Result<Self, D::Error> {
                deserializer.deserialize_str(NameVisitor).map(Self)
            }
        }

        impl $name {
            /// Wraps a text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, formatter)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type!(
    /// Name of a service in the bundle, e.g. `roster-desk`.
    ServiceName
);
name_type!(
    /// Identity of one back-end server, unique in a bundle.
    BackEndId
);
name_type!(
    /// Version of the software that a server runs; empty where it is unknown.
    ServerVersion
);

impl Default for ServerVersion {
    fn default() -> Self {
        Self::new("")
    }
}

name_type!(
    /// Identity of one index snapshot of a service.
    SnapshotId
);
name_type!(
    /// Identity of one partition layout of a service.
    LayoutId
);
name_type!(
    /// Name of one section of a bundle's canonical form.
    SectionName
);
name_type!(
    /// Identity of a document in an answer; hits are deduplicated by it.
    DocumentId
);
name_type!(
    /// Availability zone.
    ZoneName
);
name_type!(
    /// Region: a set of zones with low latency between them.
    RegionName
);
name_type!(
    /// Operator-chosen name of a node, from its settings. Not unique in time.
    NodeName
);
name_type!(
    /// Operator-chosen version of a bundle. A version is published once and never changes.
    BundleVersion
);
name_type!(
    /// Identity of one attempted change in the platform's store. A writer that lost
    /// the answer to a write recognises its own change by it.
    ChangeId
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty), $format:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, $format, self.0)
            }
        }
    };
}

number_type!(
    /// Identity of one run of a node process, drawn at random when it starts.
    /// A restarted node is a new member; a crashed one never comes back under its old id.
    NodeId(u64),
    "{:016x}"
);
number_type!(
    /// SWIM incarnation: raised only by the member itself, to refute a suspicion.
    Incarnation(u32),
    "{}"
);
number_type!(
    /// Position of a shard in its layout, from 0.
    ShardId(u32),
    "{}"
);
number_type!(
    /// One attempt to run a sub-request on one back end; unique within a node's run.
    AttemptId(u64),
    "{}"
);
number_type!(
    /// Sequence of configurations in force. Only ever rises.
    Generation(u64),
    "{}"
);

/// Identity of one caller request: the node that took it, and that node's own count.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestId {
    /// Node that accepted the request.
    pub node: NodeId,
    /// Count of requests at that node, from 1.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:x}", self.node, self.sequence)
    }
}

impl std::str::FromStr for RequestId {
    type Err = ParseIdentifierError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (node, sequence) = text.split_once('-').ok_or(ParseIdentifierError)?;
        let node = u64::from_str_radix(node, 16).map_err(|_| ParseIdentifierError)?;
        let sequence = u64::from_str_radix(sequence, 16).map_err(|_| ParseIdentifierError)?;
        Ok(Self {
            node: NodeId(node),
            sequence,
        })
    }
}

/// Length of a SHA-256 digest in bytes.
pub const DIGEST_BYTES: usize = 32;

/// SHA-256 digest. Written as lower-case hexadecimal in JSON and TOML, as bytes in frames.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl std::str::FromStr for Digest {
    type Err = ParseIdentifierError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseIdentifierError)?;
        Ok(Self(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}

/// An identifier's text does not have the expected form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseIdentifierError;

impl fmt::Display for ParseIdentifierError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the identifier does not have the expected form")
    }
}

impl std::error::Error for ParseIdentifierError {}
