//! Every decision of the query tier as a deterministic state machine without I/O.
//!
//! [`Node`] takes typed [`Event`]s with an injected time and gives back typed [`Action`]s.
//! It holds no socket, clock, thread or global state, and draws random numbers from one seeded
//! generator: the same events give the same actions. A driver calls [`Node::handle`], carries
//! out what [`Node::poll_action`] gives until it is empty, and calls back with
//! [`Event::TimerDue`] no later than [`Node::next_timeout`].

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
