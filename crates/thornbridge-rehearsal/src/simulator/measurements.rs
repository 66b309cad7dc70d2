//! What callers saw and what it cost, per service.

use std::time::Duration;
use thornbridge_core::Timestamp;

/// Measurements of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceMeasurements {
    /// Requests offered by callers.
    pub offered: u64,
    /// Latencies of answers in microseconds, from first sending to the answer at the caller.
    pub latencies_us: Vec<u32>,
    /// When the request of each latency was first sent.
    pub sent: Vec<Timestamp>,
    /// Coverage of each answer to a query, in the order of the answers.
    pub coverage: Vec<(Timestamp, f64)>,
    /// Requests refused at last.
    pub refused: u64,
    /// Requests that failed or were never answered.
    pub failed: u64,
    /// Attempts sent to back ends.
    pub attempts: u64,
    /// Of these, first ones for their shard.
    pub first_attempts: u64,
    /// Lower bounds on latency, in microseconds.
    pub lower_bounds_us: Vec<u32>,
}

impl ServiceMeasurements {
    /// Notes the answer to a request.
    pub fn answered(&mut self, sent: Timestamp, latency: Duration) {
        self.latencies_us.push(latency.as_micros() as u32);
        self.sent.push(sent);
    }

    /// Attempts beyond the first of each shard, as a share of first ones.
    pub fn extra_load(&self) -> f64 {
        let extra = self.attempts.saturating_sub(self.first_attempts);
        extra as f64 / self.first_attempts.max(1) as f64
    }
}

/// What control cost, over all nodes.
#[derive(Clone, Debug, Default)]
pub struct ControlMeasurements {
    /// Bytes of messages sent to peers, without those that carry actions.
    pub bytes: u64,
    /// Processor time in control events.
    pub processor_time: Duration,
    /// Messages sent to peers.
    pub messages: u64,
}
