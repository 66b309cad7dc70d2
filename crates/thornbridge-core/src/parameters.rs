//! Parameters of all modules of a node.

use serde::{Deserialize, Serialize};

/// Parameters by module.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Parameters {
    /// Load balancing, outlier detection and connections.
    pub routing: crate::routing::RoutingParameters,
    /// Admission control and budgets of extra load.
    pub limits: crate::limits::LimitParameters,
    /// Query execution.
    pub query: crate::query::QueryParameters,
    /// At-most-once actions.
    pub action: crate::action::ActionParameters,
    /// Membership and failure detection.
    pub membership: crate::membership::MembershipParameters,
    /// Dissemination of the configuration.
    pub configuration: crate::configuration::ConfigurationParameters,
    /// Health sharing.
    pub health: crate::health::HealthParameters,
    /// Reader leases.
    pub lease: crate::lease::LeaseParameters,
}
