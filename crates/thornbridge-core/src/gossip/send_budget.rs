//! Token bucket that limits the bytes a node sends of one kind of traffic.

use super::Allowance;
use crate::time::Timestamp;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub struct SendBudget {
    bytes_per_second: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_at: Timestamp,
}

impl SendBudget {
    /// Creates a full bucket of `burst_bytes` that refills at `bytes_per_second`.
    pub fn new(bytes_per_second: u32, burst_bytes: u32) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            burst_bytes: f64::from(burst_bytes),
            available_bytes: f64::from(burst_bytes),
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: Timestamp) -> usize {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_second;
        self.available_bytes = (self.available_bytes + refill).min(self.burst_bytes);
        self.refilled_at = now;
        self.available_bytes.max(0.0) as usize
    }

    /// Allowance of one message. A quarter of the bucket is reserved for
    /// [`Urgency::Leaving`](super::Urgency::Leaving).
    pub fn allowance(&mut self, now: Timestamp, message_limit_bytes: usize) -> Allowance {
        let available = self.available(now);
        let reserve = (self.burst_bytes / 4.0) as usize;
        Allowance {
            leaving_bytes: available.min(message_limit_bytes),
            other_bytes: available.saturating_sub(reserve).min(message_limit_bytes),
        }
    }

    /// Deducts sent bytes. The balance may become negative, which delays later messages.
    pub fn spend(&mut self, bytes: usize) {
        self.available_bytes -= bytes as f64;
    }
}
