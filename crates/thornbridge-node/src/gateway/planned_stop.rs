//! Planned stop of a gateway.

use super::driver::GatewayInput;
use super::process::RunningGateway;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time that a stopping node still serves, so that load balancers notice that it is no
/// longer ready.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_000);
/// Part of the stop grace that is reserved for flushing answers.
const STOP_RESERVE: Duration = Duration::from_millis(700);
/// Time for callers to receive the last bytes of their answers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between checks for requests in flight during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

impl RunningGateway {
    /// Performs a planned stop: announces it, waits for requests in flight, closes all connections.
    pub async fn stop(self, grace: Duration) {
        let started = Instant::now();
        let latest = started + grace.saturating_sub(STOP_RESERVE);
        let earliest = (started + MIN_STOP_TIME).min(latest);
        log::info!(grace_ms = grace.as_millis() as u64; "node stops");
        let _ = self.inputs.send(GatewayInput::Stop).await;
        self.caller_context.closing.store(true, Ordering::Relaxed);
        loop {
            let now = Instant::now();
            let drained = now >= earliest && self.in_flight() == 0;
            if drained || now >= latest {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.log_progress("closing", started);
        self.caller_context.shutdown.cancel();
        let flushed = async {
            while self.caller_context.open_connections.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(POLL_INTERVAL / 10).await;
            }
        };
        // Connections that are still open after the timeout are dropped.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, flushed).await;
        self.log_progress("closed", started);
        self.peers.abort();
    }

    fn in_flight(&self) -> usize {
        let gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        gauges.in_flight
    }

    fn log_progress(&self, step: &'static str, started: Instant) {
        let callers = &self.caller_context;
        log::info!(
            step,
            elapsed_ms = started.elapsed().as_millis() as u64,
            in_flight = self.in_flight(),
            in_reception = callers.requests_in_reception.load(Ordering::Relaxed),
            connections = callers.open_connections.load(Ordering::Relaxed);
            "planned stop"
        );
    }
}
