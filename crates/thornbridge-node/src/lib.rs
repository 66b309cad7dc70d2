//! The node process: sockets, timers, drain and metrics around the core.
//!
//! One driver task owns the [`thornbridge_core::Node`]; every socket belongs to an adapter that
//! turns wire messages into [`thornbridge_core::Event`]s and [`thornbridge_core::Action`]s into
//! wire messages. Adapters decide nothing: which back end, how long, whether to answer at all
//! is the core's choice. What they add is the safety of a transport: limits on size and time.
//!
//! [`run`] is the whole process; [`RunningNode`] is the same node embedded, for tests and the
//! demonstration; [`PlatformClient`] is the platform's HTTP interface, also for the command line.

mod back_ends;
mod caller_table;
mod callers;
mod clock;
mod driver;
mod error;
pub mod gateway;
mod held_bytes;
mod input;
mod joined_body;
mod logging;
mod metrics;
mod operators;
mod peers;
pub mod platform;
mod platform_operations;
mod running;
mod server;
mod settings;
mod sockets;
mod transport;
mod unanswered;

pub use error::NodeError;
pub use peers::PeerParameters;
pub use platform::PlatformClient;
pub use running::{Listeners, NodeReady, RunningNode, StopOutcome, run};
pub use settings::{NodeRuntimeSettings, TransportParameters};
