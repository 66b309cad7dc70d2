//! Gateway process: sockets, timers and signals around [`thornbridge_core::gateway::Gateway`].
//!
//! One driver task owns the core; other tasks handle callers, server connections, the store and
//! peer links. All tasks run on one thread, since a node has a fraction of a processor.
//! The platform adapter supplies the header names ([`HeaderNames`]) and the store's protocol
//! ([`StoreProtocol`]).

mod activity;
mod answer_delay;
mod body_memory;
mod callers;
mod connection;
mod driver;
mod head_limit;
mod headers;
mod log_lines;
mod metrics;
mod observed_stream;
mod pages;
mod pending;
mod planned_stop;
mod process;
mod reception;
mod relaying;
mod reply_body;
mod responses;
mod server_reply;
mod settings;
mod store;
mod store_calls;

pub use headers::HeaderNames;
pub use planned_stop::StopSchedule;
pub use process::{GatewayError, GatewayListeners, RunningGateway, run_gateway};
pub use settings::{GatewaySettings, ReadSettings};
pub use store::{StateWrite, StoreClient, StoreProtocol};
