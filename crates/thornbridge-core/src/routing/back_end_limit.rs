//! Adaptive limit on this node's attempts at one back end: additive increase, multiplicative
//! decrease (D. Chiu and R. Jain, 1989). Shed attempts decrease the limit.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of the limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackEndLimitParameters {
    /// Initial and maximum limit.
    pub initial: f32,
    /// Factor of a decrease.
    pub decrease: f32,
    /// Minimum time between two decreases. Attempts sent before a decrease may still be shed after
    /// it.
    pub decrease_interval: Duration,
    /// Increase for each successful reply, divided by the limit: about this much per round trip.
    pub increase: f32,
    /// Maximum time for which a back end is deprioritized after it shed an attempt.
    pub longest_pause: Duration,
}

impl Default for BackEndLimitParameters {
    fn default() -> Self {
        Self {
            initial: 256.0,
            decrease: 0.7,
            decrease_interval: Duration::from_millis(50),
            increase: 1.0,
            longest_pause: Duration::from_millis(100),
        }
    }
}

/// Limit of one back end.
#[derive(Clone, Debug)]
pub(super) struct BackEndLimit {
    limit: f32,
    maximum: f32,
    last_decrease: Option<Timestamp>,
    paused_until: Timestamp,
}

impl BackEndLimit {
    pub(super) fn new(parameters: &BackEndLimitParameters) -> Self {
        Self {
            limit: parameters.initial,
            maximum: parameters.initial,
            last_decrease: None,
            paused_until: Timestamp::ZERO,
        }
    }

    /// Records that the back end shed an attempt with `in_flight` attempts at it.
    pub(super) fn record_shed(
        &mut self,
        parameters: &BackEndLimitParameters,
        now: Timestamp,
        in_flight: u32,
        retry_after: Duration,
    ) {
        self.paused_until = now + retry_after.min(parameters.longest_pause);
        let recently_decreased = self
            .last_decrease
            .is_some_and(|decreased_at| now.since(decreased_at) < parameters.decrease_interval);
        if !recently_decreased {
            let used = self.limit.min(in_flight as f32);
            self.limit = (used * parameters.decrease).max(1.0);
            self.last_decrease = Some(now);
        }
    }

    /// Records a successful reply.
    pub(super) fn record_success(&mut self, parameters: &BackEndLimitParameters) {
        if self.limit < self.maximum {
            let raised = self.limit + parameters.increase / self.limit;
            self.limit = raised.min(self.maximum);
        }
    }

    /// Whether another attempt stays within the limit and no pause is in effect.
    pub(super) fn has_capacity(&self, now: Timestamp, in_flight: u32) -> bool {
        (in_flight as f32) < self.limit && now >= self.paused_until
    }
}
