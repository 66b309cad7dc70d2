//! The gateway's process: HTTP callers, servers, store and peers around
//! [`thornbridge_core::gateway::Gateway`].
//!
//! One driver task owns the core. Everything runs on one thread: a node has a fraction of a
//! processor, and threads would only take turns. What a particular platform calls its headers
//! and objects is told by the adapter that composes the process ([`WireNames`],
//! [`StoreProtocol`]).

mod activity;
mod answer_delay;
mod callers;
mod connection;
mod driver;
mod headers;
mod log_lines;
mod metrics;
mod pages;
mod process;
mod relaying;
mod server_reply;
mod settings;
mod store;
mod waiting;

pub use headers::WireNames;
pub use process::{GatewayError, GatewayListeners, RunningGateway, run_gateway};
pub use settings::{GatewaySettings, ReadSettings};
pub use store::StoreProtocol;
