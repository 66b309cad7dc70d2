//! Typed messages between callers, nodes, back ends and the platform, and their codecs.
//!
//! Nothing here decides anything: the crate gives the shapes, the size limits and
//! the encodings. Peer messages travel as `rmp-serde` frames ([`frame`]), caller
//! and back-end bodies as JSON ([`json`]).

pub mod back_end;
pub mod byte_string;
pub mod caller;
pub mod fingerprint;
pub mod frame;
pub mod identifiers;
pub mod json;
pub mod limits;
pub mod peer;
pub mod platform;

pub use identifiers::{
    AttemptId, BackEndId, BundleVersion, ChangeId, Digest, DocumentId, Generation, Incarnation,
    LayoutId, NodeId, NodeName, RegionName, RequestId, SectionName, ServerVersion, ServiceName,
    ShardId, SnapshotId, ZoneName,
};
