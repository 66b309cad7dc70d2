//! Messages between nodes. Each kind has its own module, owned by the core module that speaks it.

pub mod action;
pub mod configuration;
pub mod health;
pub mod membership;
mod packed_registry;
mod packed_versions;
pub mod quarantine;
pub mod rollout;
pub mod slice;
pub mod view;

#[cfg(test)]
mod tests;

use crate::NodeId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the peer protocol; a hello of another version is refused.
pub const PROTOCOL_VERSION: u16 = 4;

/// Where a node is reached, and which run of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerEndpoint {
    /// Run of the node.
    pub node: NodeId,
    /// Advertised peer address.
    pub address: SocketAddr,
}

/// Any message between two nodes. Names are short in frames, since most frames are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Failure detection and member list.
    #[serde(rename = "m")]
    Membership(membership::MembershipMessage),
    /// Configuration: digests, deltas and whole bundles.
    #[serde(rename = "c")]
    Configuration(configuration::ConfigurationMessage),
    /// Health of back ends.
    #[serde(rename = "h")]
    Health(health::HealthMessage),
    /// Actions on their way to their owner, and outcomes.
    #[serde(rename = "a")]
    Action(action::ActionMessage),
    /// Replicated views: route configuration and registry of instances.
    #[serde(rename = "v")]
    View(view::ViewMessage),
    /// Slices of gathers.
    #[serde(rename = "s")]
    Slice(slice::SliceMessage),
    /// Requests under which servers crashed.
    #[serde(rename = "q")]
    Quarantine(quarantine::QuarantineMessage),
    /// Roll-outs of server versions. Sent only to peers known to understand it.
    #[serde(rename = "o")]
    Rollout(rollout::RolloutMessage),
}
