//! Many back ends in one process, each on a port of its own, in the dialect of
//! [`thornbridge_proto::back_end`].
//!
//! A back end has slots, a first-come queue, a limit on its connections, service times with a
//! heavy tail ([`ServiceTime`]), deadlines, cancellation and load reports. What it finds is fixed
//! by service, snapshot, layout and text ([`expected_hits`]), so that a test can tell the one
//! right answer. Each run of an action is counted under its key.
//!
//! Control, on a port of its own that faults do not touch:
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /stand-in/back-ends` | each back end's [`BackEndState`] |
//! | `POST /stand-in/faults` | the same [`BackEndFaults`] for all |
//! | `POST /stand-in/back-ends/{id}/faults` | [`BackEndFaults`] for one |
//! | `GET /stand-in/executions/{key}` | [`Executions`] of an action |
//! | `PUT /stand-in/bundle` | a [`Bundle`] as JSON: what each holds from now on; servers and addresses stay |

mod control;
mod counters;
mod executions;
mod faults;
mod handler;
mod index;
mod load;
mod progress;
mod server;
mod work;

#[cfg(test)]
mod tests;

pub use counters::BackEndCounters;
pub use executions::{Execution, Executions};
pub use faults::{BackEndFaults, LoadLie, ReplyFault};
pub use index::{expected_hits, expected_hits_of};

use crate::scenario::ServiceTime;
use crate::stand_in::process::print_ready;
use crate::stand_in::server::{ListenError, Server};
use control::ControlHandler;
use executions::ExecutionLog;
use serde::{Deserialize, Serialize};
use server::BackEndServer;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::Bundle;
use thornbridge_proto::BackEndId;

/// How the back ends of a bundle start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndsConfig {
    /// Servers, what they hold, their slots and connections.
    pub bundle: Bundle,
    /// Where they listen.
    pub ports: Ports,
    /// Address of the control endpoint.
    pub control: SocketAddr,
    /// Service times.
    pub service_time: ServiceTime,
    /// Requests that may wait, for each slot; beyond it a back end sheds.
    pub queue_per_slot: u32,
    /// How many times slower a cold back end is.
    pub cold_factor: f64,
    /// Seed of the service times.
    pub seed: u64,
}

/// Where back ends listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ports {
    /// Where the bundle says.
    OfBundle,
    /// On any free port of the bundle's IP number; [`BackEndsReady`] tells which.
    Free,
}

impl BackEndsConfig {
    /// The back ends of a bundle with the usual values.
    pub fn new(bundle: Bundle, ports: Ports) -> Self {
        Self {
            bundle,
            ports,
            control: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            service_time: ServiceTime {
                median: Duration::from_millis(4),
                work_sigma: 0.3,
                server_sigma: 0.2,
                tail_probability: 0.01,
                tail_shape: 1.2,
                tail_cap: 20.0,
            },
            queue_per_slot: 16,
            cold_factor: 3.0,
            seed: 1,
        }
    }
}

/// Printed after `ready` by a process of back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndsReady {
    /// Address of the control endpoint.
    pub control: SocketAddr,
    /// Address of each back end.
    pub addresses: BTreeMap<BackEndId, SocketAddr>,
}

/// One back end as the control endpoint shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackEndState {
    /// Its id.
    pub id: BackEndId,
    /// Its address.
    pub address: SocketAddr,
    /// Faults in effect.
    pub faults: BackEndFaults,
    /// What it did.
    pub counters: BackEndCounters,
}

/// All back ends, shared by the handle and the control endpoint.
#[derive(Debug)]
struct Fleet {
    servers: BTreeMap<BackEndId, BackEndServer>,
    executions: Arc<ExecutionLog>,
}

/// Running back ends.
#[derive(Debug)]
pub struct RunningBackEnds {
    fleet: Arc<Fleet>,
    control: Server,
}

/// Starts all back ends of a bundle.
pub async fn start(config: BackEndsConfig) -> Result<RunningBackEnds, ListenError> {
    let executions = Arc::new(ExecutionLog::default());
    let mut servers = BTreeMap::new();
    for back_end in config.bundle.back_ends() {
        let started = BackEndServer::start(&config, back_end, &executions).await?;
        servers.insert(back_end.id.clone(), started);
    }
    let fleet = Arc::new(Fleet {
        servers,
        executions,
    });
    let handler = Arc::new(ControlHandler::new(Arc::clone(&fleet)));
    let control = Server::start(config.control, handler).await?;
    Ok(RunningBackEnds { fleet, control })
}

/// Runs the back ends until `stop` is done, then lets them leave: new work is refused and what
/// they have is finished. Prints [`BackEndsReady`] once all listen.
pub async fn run(
    config: BackEndsConfig,
    stop: impl Future<Output = ()>,
) -> Result<(), ListenError> {
    let running = start(config).await?;
    let ready = BackEndsReady {
        control: running.control_address(),
        addresses: running.addresses(),
    };
    if let Err(error) = print_ready(&ready) {
        log::warn!("cannot print the addresses: {error}");
    }
    stop.await;
    running.leave().await;
    running.stop().await;
    Ok(())
}

impl RunningBackEnds {
    /// Address of the control endpoint.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Address of each back end.
    pub fn addresses(&self) -> BTreeMap<BackEndId, SocketAddr> {
        let servers = self.fleet.servers.iter();
        servers
            .map(|(id, server)| (id.clone(), server.address()))
            .collect()
    }

    /// Sets all faults of one back end at once; `Ok(false)` where there is no such back end.
    pub async fn set_faults(
        &self,
        id: &BackEndId,
        faults: BackEndFaults,
    ) -> Result<bool, ListenError> {
        let Some(server) = self.fleet.servers.get(id) else {
            return Ok(false);
        };
        server.set_faults(faults).await?;
        Ok(true)
    }

    /// Sets all faults of all back ends at once.
    pub async fn set_all_faults(&self, faults: &BackEndFaults) -> Result<(), ListenError> {
        self.fleet.set_all_faults(faults).await
    }

    /// Changes what the back ends hold: snapshots and layouts as in the bundle.
    pub fn set_bundle(&self, bundle: &Bundle) {
        self.fleet.set_bundle(bundle);
    }

    /// Each back end's state.
    pub fn states(&self) -> Vec<BackEndState> {
        self.fleet.states()
    }

    /// Runs of the action with this key.
    pub fn executions(&self, key: &str) -> Executions {
        self.fleet.executions.of_key(key)
    }

    /// All back ends refuse new work; returns when they have finished what they had.
    pub async fn leave(&self) {
        for server in self.fleet.servers.values() {
            server.leave();
        }
        for server in self.fleet.servers.values() {
            server.idle().await;
        }
    }

    /// Closes all listeners and connections.
    pub async fn stop(self) {
        self.control.stop().await;
        for server in self.fleet.servers.values() {
            server.stop().await;
        }
    }
}

impl Fleet {
    async fn set_all_faults(&self, faults: &BackEndFaults) -> Result<(), ListenError> {
        for server in self.servers.values() {
            server.set_faults(faults.clone()).await?;
        }
        Ok(())
    }

    fn set_bundle(&self, bundle: &Bundle) {
        for server in self.servers.values() {
            server.set_bundle(bundle);
        }
    }

    fn states(&self) -> Vec<BackEndState> {
        let servers = self.servers.iter();
        servers.map(|(id, server)| server.state(id)).collect()
    }
}
