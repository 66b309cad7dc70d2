//! Counters of all parts of a node.

use serde::{Deserialize, Serialize};

/// Snapshot of all counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Routing.
    pub routing: crate::routing::RoutingCounters,
    /// Limits.
    pub limits: crate::limits::LimitCounters,
    /// Queries.
    pub query: crate::query::QueryCounters,
    /// Actions.
    pub action: crate::action::ActionCounters,
    /// Membership.
    pub membership: crate::membership::MembershipCounters,
    /// Configuration.
    pub configuration: crate::configuration::ConfigurationCounters,
    /// Health sharing.
    pub health: crate::health::HealthCounters,
    /// Leases.
    pub lease: crate::lease::LeaseCounters,
}
