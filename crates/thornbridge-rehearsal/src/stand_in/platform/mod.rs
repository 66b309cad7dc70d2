//! The platform: an object store with versions, compare-and-swap and watches, and the lagging
//! list of machines. Everything is kept in memory.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /objects/{kind}/{name}` | 200 with a [`StoredObject`](thornbridge_proto::platform::StoredObject), 404 |
//! | `PUT /objects/{kind}/{name}`, body the object's JSON, `If-None-Match: *` or `If-Match: "VERSION"` | 201 or 200 with the stored object; 409 with the present one, or an empty body where there is none |
//! | `DELETE /objects/{kind}/{name}`, optionally `If-Match` | 204, 404, 409 |
//! | `GET /objects/{kind}` | 200 with `{"objects": [...], "version": N}` |
//! | `GET /objects/{kind}?watch=1&from=N` | 200 and a line of JSON for each [`WatchChange`](thornbridge_proto::platform::WatchChange) after N; 410 when N is out of the history |
//! | `GET /machines` | 200 with an array of [`Machine`] |
//!
//! A client that names itself in the header [`READER_HEADER`] counts as a reader while a watch of
//! its is open and for [`PlatformConfig::reader_window`] after its last request; beyond
//! [`PlatformFaults::reader_limit`] a further one gets 429.
//!
//! Control, never subject to faults: `GET|POST /stand-in/faults` ([`PlatformFaults`], the whole
//! set at once), `POST /stand-in/compact`, `PUT /stand-in/machines`,
//! `GET /stand-in/counters` ([`PlatformCounters`]).

mod faults;
mod handler;
mod machines;
mod readers;
mod request;
mod store;
mod watches;

#[cfg(test)]
mod tests;

pub use faults::{Outage, PlatformFaults, WatchFault};
pub use handler::PlatformCounters;
pub use store::{Store, StoreConflict};

use crate::stand_in::process::print_ready;
use crate::stand_in::server::{ListenError, Server};
use handler::PlatformHandler;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::platform::{Machine, ObjectKind, StoredObject};

/// Header with which a client names itself as a reader.
pub const READER_HEADER: &str = "thornbridge-reader";

/// How a platform stand-in starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Faults from the start.
    pub faults: PlatformFaults,
    /// Changes kept for watches; older ones are compacted.
    pub history_limit: usize,
    /// How long a reader counts after its last request.
    #[serde(with = "humantime_serde")]
    pub reader_window: Duration,
    /// The list of machines at the start.
    pub machines: Vec<Machine>,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            faults: PlatformFaults::default(),
            history_limit: 1_000,
            reader_window: Duration::from_secs(10),
            machines: Vec::new(),
        }
    }
}

/// Printed after `ready` by a platform process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlatformReady {
    /// Address of the object API.
    pub address: SocketAddr,
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct RunningPlatform {
    server: Server,
    handler: Arc<PlatformHandler>,
}

/// Starts a platform stand-in on `bind` (port 0: any free one).
pub async fn start(
    config: PlatformConfig,
    bind: SocketAddr,
) -> Result<RunningPlatform, ListenError> {
    let handler = Arc::new(PlatformHandler::new(config));
    let server = Server::start(bind, Arc::clone(&handler)).await?;
    Ok(RunningPlatform { server, handler })
}

/// Runs a platform stand-in until `stop` is done; prints [`PlatformReady`] once it listens.
pub async fn run(
    config: PlatformConfig,
    bind: SocketAddr,
    stop: impl Future<Output = ()>,
) -> Result<(), ListenError> {
    let running = start(config, bind).await?;
    let ready = PlatformReady {
        address: running.address(),
    };
    if let Err(error) = print_ready(&ready) {
        log::warn!("cannot print the address: {error}");
    }
    stop.await;
    running.stop().await;
    Ok(())
}

impl RunningPlatform {
    /// Address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets all faults at once.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.handler.set_faults(faults);
    }

    /// The faults in effect.
    pub fn faults(&self) -> PlatformFaults {
        self.handler.faults()
    }

    /// Forgets the history of changes: a watch from an earlier version gets 410.
    pub fn compact(&self) {
        self.handler.compact();
    }

    /// Sets the true list of machines; it is shown after the list's lag.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.handler.set_machines(machines);
    }

    /// What was done so far.
    pub fn counters(&self) -> PlatformCounters {
        self.handler.counters()
    }

    /// Reads an object past all faults.
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<StoredObject> {
        self.handler.object(kind, name)
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
