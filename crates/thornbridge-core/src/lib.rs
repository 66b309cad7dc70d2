//! Core of the query tier: deterministic state machines without I/O.
//!
//! [`Node`] handles typed [`Event`]s with an injected time and returns typed [`Action`]s. A node
//! has no sockets, clock, threads or global state, and uses one seeded random number generator:
//! the same events give the same actions. A driver calls [`Node::handle`], executes the actions
//! returned by [`Node::poll_action`] until there are none, and sends [`Event::TimerDue`] no later
//! than [`Node::next_timeout`].

pub mod action;
pub mod configuration;
mod context;
pub mod control;
pub mod counters;
mod driver_action;
mod event;
pub mod gateway;
mod gossip;
pub mod health;
pub mod lease;
pub mod limits;
pub mod membership;
mod node;
pub mod operator;
mod parameters;
mod planning;
pub mod query;
mod resources;
pub mod routing;
mod signal;
pub mod snapshot;
pub mod status;
mod time;

pub use context::Context;
pub use driver_action::{
    Action, CallerId, ConnectionId, Observation, OperationId, StateChange, WatchId,
};
pub use event::{AttemptFailure, Event};
pub use node::{Node, NodeSetup};
pub use parameters::Parameters;
pub use resources::Resources;
pub use signal::Signal;
pub use time::Timestamp;
