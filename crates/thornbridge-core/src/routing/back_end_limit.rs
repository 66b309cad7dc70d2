//! Adaptive limit on this node's attempts at one back end: additive increase, multiplicative
//! decrease (D. Chiu and R. Jain, 1989), driven by what the back end sheds.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Tunable values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackEndLimitParameters {
    /// Limit before anything was shed.
    pub initial: f32,
    /// Factor of a decrease.
    pub decrease: f32,
    /// Shortest time between two decreases: replies to attempts sent before the first one say nothing new.
    pub decrease_interval: Duration,
    /// Increase by one useful reply, divided by the limit: about this much per round trip.
    pub increase: f32,
    /// Longest time for which a back end that shed is passed over where there is another.
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

/// The limit of one back end.
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

    /// The back end shed an attempt while `in_flight` were there.
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
            .is_some_and(|last_decrease| now.since(last_decrease) < parameters.decrease_interval);
        if !recently_decreased {
            let used = self.limit.min(in_flight as f32);
            self.limit = (used * parameters.decrease).max(1.0);
            self.last_decrease = Some(now);
        }
    }

    /// A useful reply came.
    pub(super) fn record_success(&mut self, parameters: &BackEndLimitParameters) {
        if self.limit < self.maximum {
            let raised = self.limit + parameters.increase / self.limit;
            self.limit = raised.min(self.maximum);
        }
    }

    /// Whether another attempt is welcome.
    pub(super) fn has_capacity(&self, now: Timestamp, in_flight: u32) -> bool {
        (in_flight as f32) < self.limit && now >= self.paused_until
    }
}
