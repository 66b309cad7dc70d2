//! State of this node's own probes of a back end, and filters on what it publishes of them.

use super::HealthParameters;
use crate::time::Timestamp;
use std::time::Duration;

/// State of this node's probes of one back end.
#[derive(Clone, Debug)]
pub struct ProbeState {
    /// When the next probe is sent, or the one in flight times out.
    pub due: Timestamp,
    /// Whether a probe is in flight.
    pub in_flight: bool,
    /// Consecutive failed probes.
    pub consecutive_failures: u32,
}

/// Rate limit on publishing a fact that keeps changing, with exponential backoff.
#[derive(Clone, Copy, Debug, Default)]
pub struct PublishRateLimit {
    next_allowed: Timestamp,
    interval: Duration,
}

impl PublishRateLimit {
    /// Whether a change may be published.
    pub fn allows(&self, now: Timestamp) -> bool {
        now >= self.next_allowed
    }

    /// Records a change of the fact, here or at a peer.
    pub fn record_change(&mut self, parameters: &HealthParameters, now: Timestamp) {
        let stable = now.since(self.next_allowed) > self.interval * 4;
        self.interval = if stable || self.interval.is_zero() {
            parameters.publish_interval
        } else {
            (self.interval * 2).min(parameters.publish_interval_maximum)
        };
        self.next_allowed = now + self.interval;
    }
}

/// Hold-down of a leaving back end: decides when a report of readiness is accepted.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeavingHold {
    leaving_since: Option<Timestamp>,
    may_have_restarted: bool,
    ready_probes: u32,
}

impl LeavingHold {
    /// Records a report that the back end is leaving.
    pub fn leaving_reported(&mut self, now: Timestamp) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            self.may_have_restarted = false;
        }
        self.ready_probes = 0;
    }

    /// Ends the hold; the back end is known not to be leaving.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records that the back end was unreachable, so it may have restarted.
    pub fn record_unreachable(&mut self) {
        self.may_have_restarted = true;
    }

    /// Whether a report of readiness ends the hold. Counts the report.
    pub fn accepts_ready(&mut self, parameters: &HealthParameters, now: Timestamp) -> bool {
        let Some(leaving_since) = self.leaving_since else {
            return true;
        };
        self.ready_probes += 1;
        let hold_elapsed = now.since(leaving_since) >= parameters.leaving_hold;
        self.may_have_restarted || (hold_elapsed && self.ready_probes >= parameters.ready_probes)
    }
}
