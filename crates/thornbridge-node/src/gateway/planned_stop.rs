//! Planned stop of a gateway.
//!
//! The node serves on while load balancers notice that it is not ready. Then it closes its listener
//! and idle connections, and waits for the others, each of which has a request that is received,
//! handled or answered. What has no answer when the stop is to end gets one from the core, or is
//! rejected if it is still being received.

use super::driver::GatewayInput;
use super::process::RunningGateway;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Time that a stopping node still serves, so that load balancers notice that it is no longer ready.
const SERVING_TIME: Duration = Duration::from_millis(3_000);
/// Part of the stop grace that is reserved for flushing answers.
const STOP_RESERVE: Duration = Duration::from_millis(700);
/// Time for callers to receive the last bytes of their answers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between checks for open connections and requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    /// Time for which the node serves as before, except that answers close their connections.
    pub serve_for: Duration,
    /// Time from the start of the stop by which all requests are answered.
    pub answer_within: Duration,
    /// Time after that for callers to receive their answers.
    pub flush_for: Duration,
}

impl StopSchedule {
    /// Schedule of a stop that ends before its grace.
    pub fn within(grace: Duration) -> Self {
        let answer_within = grace.saturating_sub(STOP_RESERVE);
        Self {
            serve_for: SERVING_TIME.min(answer_within),
            answer_within,
            flush_for: FLUSH_TIMEOUT,
        }
    }
}

impl RunningGateway {
    /// Performs a planned stop.
    pub async fn stop(self, schedule: StopSchedule) {
        let started = Instant::now();
        let answered_by = started + schedule.answer_within;
        log::info!(answer_within_ms = schedule.answer_within.as_millis() as u64; "node stops");
        let _ = self.inputs.send(GatewayInput::Stop(schedule)).await;
        self.caller_context.closing.store(true, Ordering::Relaxed);
        tokio::time::sleep(schedule.serve_for).await;
        self.log_progress("closing", started);
        self.caller_context.shutdown.cancel();
        let drained = tokio::time::timeout_at(answered_by, self.drained()).await;
        if drained.is_err() {
            self.log_progress("flushing", started);
            self.caller_context.reception_end.cancel();
            // Connections that are still open after the timeout are dropped.
            let _ = tokio::time::timeout(schedule.flush_for, self.drained()).await;
        }
        self.log_progress("closed", started);
        self.peers.abort();
    }

    /// Waits until callers have no connection and the core no request. A connection stays open while
    /// a request is received on it, handled, or answered.
    async fn drained(&self) {
        while self.caller_context.table.open() > 0 || self.in_flight() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
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
            connections = callers.table.open();
            "planned stop"
        );
    }
}
