//! The core's requests and watches on the platform, each in a task of its own.

use crate::input::{Input, InputSender};
use crate::platform::PlatformClient;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_core::{Event, OperationId, WatchId};
use thornbridge_proto::platform::{ObjectKind, PlatformRequest, ResourceVersion, WatchEnd};
use tokio::task::AbortHandle;

/// Operations and watches of one node.
#[derive(Debug)]
pub(crate) struct PlatformOperations {
    client: PlatformClient,
    inputs: InputSender,
    watch_idle: Duration,
    watches: BTreeMap<WatchId, AbortHandle>,
}

impl PlatformOperations {
    /// No operation running.
    pub(crate) fn new(client: PlatformClient, inputs: InputSender, watch_idle: Duration) -> Self {
        Self {
            client,
            inputs,
            watch_idle,
            watches: BTreeMap::new(),
        }
    }

    /// Starts an operation.
    pub(crate) fn start(&self, operation: OperationId, request: PlatformRequest) {
        let client = self.client.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let result = client.execute(&request).await;
            let _ = inputs
                .event(Event::PlatformReply { operation, result })
                .await;
        });
    }

    /// Starts a watch.
    pub(crate) fn watch(&mut self, watch: WatchId, kind: ObjectKind, from: ResourceVersion) {
        let client = self.client.clone();
        let inputs = self.inputs.clone();
        let idle = self.watch_idle;
        let task = tokio::spawn(async move {
            let end = follow(&client, &inputs, watch, kind, from, idle).await;
            let event = Event::WatchEnded { watch, end };
            let _ = inputs.send(Input::WatchEnded { watch, event }).await;
        });
        self.watches.insert(watch, task.abort_handle());
    }

    /// Ends a watch.
    pub(crate) fn stop_watch(&mut self, watch: WatchId) {
        if let Some(task) = self.watches.remove(&watch) {
            task.abort();
        }
    }

    /// Forgets a watch that ended by itself; `false` where it was stopped meanwhile.
    pub(crate) fn watch_ended(&mut self, watch: WatchId) -> bool {
        self.watches.remove(&watch).is_some()
    }

    /// Ends all watches.
    pub(crate) fn stop_all(&mut self) {
        while let Some((_, task)) = self.watches.pop_first() {
            task.abort();
        }
    }
}

async fn follow(
    client: &PlatformClient,
    inputs: &InputSender,
    watch: WatchId,
    kind: ObjectKind,
    from: ResourceVersion,
    idle: Duration,
) -> WatchEnd {
    let mut changes = match client.watch(kind, from, idle).await {
        Ok(changes) => changes,
        Err(end) => return end,
    };
    loop {
        let change = match changes.next().await {
            Ok(change) => change,
            Err(end) => return end,
        };
        let event = Event::WatchChanged { watch, change };
        if inputs.event(event).await.is_err() {
            return WatchEnd::Lost;
        }
    }
}
