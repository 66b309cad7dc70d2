//! Gateways in virtual time: nodes, servers, store, peers and callers, with faults and an oracle.
//!
//! [`World`] drives unchanged [`thornbridge_core::gateway::Gateway`]s over models of everything
//! around them. A [`GatewayScenario`] with its seed gives the same run on any machine. The
//! [`oracle`] sees only what callers, servers and the store see, and checks after the run what
//! must always hold; [`GatewayReport`] counts what the run was worth.

mod callers;
mod fault;
mod network;
pub mod oracle;
mod report;
mod scenario;
mod server;
mod store;
mod world;

pub use fault::{GatewayFault, TimedFault};
pub use network::Span;
pub use oracle::{Broken, Rule};
pub use report::{GatewayReport, PeerTopic};
pub use scenario::{GatewayScenario, NodeStarts, RouteLoad};
pub use world::World;

/// Runs a scenario to its end.
pub fn run(scenario: GatewayScenario) -> GatewayReport {
    World::new(scenario).run()
}
