//! One back end: its handler and, unless it is dead, its listening server.

use super::executions::ExecutionLog;
use super::faults::BackEndFaults;
use super::handler::{BackEndHandler, HandlerSetup};
use super::index::Index;
use super::{BackEndState, BackEndsConfig, Ports};
use crate::stand_in::server::{ListenError, Server};
use std::net::SocketAddr;
use std::sync::Arc;
use thornbridge_config::bundle::{BackEnd, Bundle};
use thornbridge_proto::BackEndId;
use tokio::sync::Mutex;

/// One back end of the fleet.
#[derive(Debug)]
pub struct BackEndServer {
    address: SocketAddr,
    handler: Arc<BackEndHandler>,
    /// Absent while the back end is dead or stopped.
    server: Mutex<Option<Server>>,
}

impl BackEndServer {
    /// Starts to listen.
    pub async fn start(
        config: &BackEndsConfig,
        back_end: &BackEnd,
        executions: &Arc<ExecutionLog>,
    ) -> Result<Self, ListenError> {
        let mut address = back_end.address;
        if config.ports == Ports::Free {
            address.set_port(0);
        }
        let handler = Arc::new(BackEndHandler::new(HandlerSetup {
            back_end: back_end.clone(),
            index: Index::of_bundle(&config.bundle, &back_end.id),
            executions: Arc::clone(executions),
            service_time: config.service_time.clone(),
            queue_per_slot: config.queue_per_slot,
            cold_factor: config.cold_factor,
            seed: config.seed,
        }));
        let server = Server::start(address, Arc::clone(&handler)).await?;
        Ok(Self {
            address: server.address(),
            handler,
            server: Mutex::new(Some(server)),
        })
    }

    /// Its address, also while it is dead.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets all faults at once.
    pub async fn set_faults(&self, faults: BackEndFaults) -> Result<(), ListenError> {
        let mut server = self.server.lock().await;
        let dead = faults.dead;
        self.handler.set_faults(faults);
        if dead {
            if let Some(server) = server.take() {
                server.stop().await;
            }
        } else if server.is_none() {
            *server = Some(Server::start(self.address, Arc::clone(&self.handler)).await?);
        }
        Ok(())
    }

    /// Changes what it holds.
    pub fn set_bundle(&self, bundle: &Bundle) {
        let index = Index::of_bundle(bundle, &self.handler.back_end().id);
        self.handler.set_index(index);
    }

    /// Its state.
    pub fn state(&self, id: &BackEndId) -> BackEndState {
        BackEndState {
            id: id.clone(),
            address: self.address,
            faults: self.handler.faults(),
            counters: self.handler.counters(),
        }
    }

    /// New work is refused from here on.
    pub fn leave(&self) {
        let mut faults = self.handler.faults();
        faults.leaving = true;
        self.handler.set_faults(faults);
    }

    /// Returns once nothing runs or waits.
    pub async fn idle(&self) {
        self.handler.idle().await;
    }

    /// Closes the listener and all connections.
    pub async fn stop(&self) {
        if let Some(server) = self.server.lock().await.take() {
            server.stop().await;
        }
    }
}
