//! All connections to back ends of one node, and what runs on each.

use super::connection::{AttemptJob, ConnectionLimits, run_connection};
use super::request::SharedPartsCache;
use crate::input::InputSender;
use crate::metrics::Metrics;
use prometheus_client::metrics::histogram::Histogram;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_core::{AttemptFailure, ConnectionId, Event, Timestamp};
use thornbridge_proto::back_end::Attempt;
use thornbridge_proto::{AttemptId, ServiceName};
use tokio::sync::mpsc;

/// An attempt cannot be sent on this connection; no byte of it left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotSent;

struct ConnectionHandle {
    jobs: mpsc::UnboundedSender<AttemptJob>,
    running: Option<RunningAttempt>,
    task: tokio::task::AbortHandle,
}

impl ConnectionHandle {
    fn is_overdue(&self, now: Timestamp) -> bool {
        let running = self.running.as_ref();
        running.is_some_and(|running| running.cut_after <= now)
    }
}

impl Drop for ConnectionHandle {
    /// Closes the socket, also in the middle of an attempt.
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct RunningAttempt {
    attempt: AttemptId,
    service: ServiceName,
    sent: Timestamp,
    cut_after: Timestamp,
}

/// The table of connections.
pub(crate) struct BackEndConnections {
    inputs: InputSender,
    limits: ConnectionLimits,
    attempt_grace: Duration,
    handles: BTreeMap<ConnectionId, ConnectionHandle>,
    shared_parts: SharedPartsCache,
    latencies: AttemptLatencies,
}

impl BackEndConnections {
    /// No connection open.
    pub(crate) fn new(
        inputs: InputSender,
        limits: ConnectionLimits,
        attempt_grace: Duration,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            inputs,
            limits,
            attempt_grace,
            handles: BTreeMap::new(),
            shared_parts: SharedPartsCache::default(),
            latencies: AttemptLatencies {
                metrics,
                by_service: BTreeMap::new(),
            },
        }
    }

    /// Starts to open a connection.
    pub(crate) fn open(&mut self, connection: ConnectionId, address: SocketAddr) {
        let (jobs, receiver) = mpsc::unbounded_channel();
        let inputs = self.inputs.clone();
        let running = run_connection(connection, address, self.limits, receiver, inputs);
        let handle = ConnectionHandle {
            jobs,
            running: None,
            task: tokio::spawn(running).abort_handle(),
        };
        self.handles.insert(connection, handle);
    }

    /// Closes a connection.
    pub(crate) fn close(&mut self, connection: ConnectionId) {
        self.handles.remove(&connection);
    }

    /// Hands an attempt to its connection.
    pub(crate) fn send(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        attempt: Attempt,
    ) -> Result<(), NotSent> {
        let handle = self.handles.get_mut(&connection).ok_or(NotSent)?;
        let shared = self.shared_parts.of(&attempt).map_err(|_| NotSent)?;
        let running = RunningAttempt {
            attempt: attempt.attempt,
            service: attempt.service.clone(),
            sent: now,
            cut_after: now + attempt.time_left + self.attempt_grace,
        };
        let job = AttemptJob { attempt, shared };
        handle.jobs.send(job).map_err(|_| NotSent)?;
        handle.running = Some(running);
        Ok(())
    }

    /// The attempt on a connection ended, with a reply or without.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        event: &Event,
    ) {
        let handle = self.handles.get_mut(&connection);
        let Some(running) = handle.and_then(|handle| handle.running.take()) else {
            return;
        };
        if matches!(event, Event::AttemptReplied { .. }) {
            let latency = now.since(running.sent);
            self.latencies.observe(running.service, latency);
        }
    }

    /// A connection ended by itself; `false` where it was closed meanwhile.
    pub(crate) fn lost(&mut self, connection: ConnectionId) -> bool {
        self.handles.remove(&connection).is_some()
    }

    /// Cuts the connections whose attempt should have ended long ago; gives what the core is to
    /// be told, in order.
    pub(crate) fn cut_overdue(&mut self, now: Timestamp) -> Vec<Event> {
        let overdue: Vec<ConnectionId> = self
            .handles
            .iter()
            .filter(|(_, handle)| handle.is_overdue(now))
            .map(|(connection, _)| *connection)
            .collect();
        let mut events = Vec::new();
        for connection in overdue {
            let handle = self.handles.remove(&connection);
            let running = handle.and_then(|mut handle| handle.running.take());
            events.extend(running.map(|running| Event::AttemptFailed {
                attempt: running.attempt,
                failure: AttemptFailure::ConnectionBroken,
            }));
            events.push(Event::ConnectionLost { connection });
        }
        events
    }

    /// Connections, open or opening.
    pub(crate) fn len(&self) -> usize {
        self.handles.len()
    }

    /// Attempts on connections.
    pub(crate) fn running(&self) -> usize {
        let handles = self.handles.values();
        handles.filter(|handle| handle.running.is_some()).count()
    }
}

/// Histograms of the attempts' latency, kept at hand so that an observation needs no labels.
struct AttemptLatencies {
    metrics: Arc<Metrics>,
    by_service: BTreeMap<ServiceName, Histogram>,
}

impl AttemptLatencies {
    fn observe(&mut self, service: ServiceName, latency: Duration) {
        let metrics = &self.metrics;
        self.by_service
            .entry(service)
            .or_insert_with_key(|service| metrics.attempt_seconds(service.as_str()))
            .observe(latency.as_secs_f64());
    }
}
