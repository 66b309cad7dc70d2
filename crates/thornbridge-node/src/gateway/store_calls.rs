//! Calls to the store that the core requested, each on a task of its own.

use super::driver::GatewayInput;
use super::store::{StateWrite, StoreClient};
use std::time::Duration;
use thornbridge_core::gateway::{GatewayEvent, SourceRead, ViewKind};
use tokio::sync::mpsc;

/// Starts calls to the store and sends their results to the driver.
pub(super) struct StoreCalls {
    client: StoreClient,
    inputs: mpsc::Sender<GatewayInput>,
}

impl StoreCalls {
    pub(super) fn new(client: StoreClient, inputs: mpsc::Sender<GatewayInput>) -> Self {
        Self { client, inputs }
    }

    /// Starts a read, answered by [`GatewayEvent::SourceReplied`].
    pub(super) fn read(&self, kind: ViewKind, read: u64, query: SourceRead, timeout: Duration) {
        let client = self.client.clone();
        self.start(async move {
            let result = client.read(kind, &query, timeout).await;
            GatewayEvent::SourceReplied { kind, read, result }
        });
    }

    /// Starts a write, answered by [`GatewayEvent::StateWritten`].
    pub(super) fn write(&self, write: u64, state: StateWrite, timeout: Duration) {
        let client = self.client.clone();
        self.start(async move {
            let result = client.write_state(&state, timeout).await;
            GatewayEvent::StateWritten {
                service: state.service,
                write,
                result,
            }
        });
    }

    fn start(&self, call: impl Future<Output = GatewayEvent> + Send + 'static) {
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let event = Box::new(call.await);
            // Fails only once the driver has ended.
            let _ = inputs.send(GatewayInput::Event(event)).await;
        });
    }
}
