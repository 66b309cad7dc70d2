//! Outlier detection: ejection of back ends that fail or are far slower than others of their
//! service.
//!
//! Compare Envoy's outlier detection: consecutive failures, success rate, maximum ejected share.
//! This module tracks the failures; the router decides on ejections, since they depend on the other
//! replicas.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parameters of outlier detection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OutlierParameters {
    /// Consecutive failures after which a back end is ejected.
    pub consecutive_failures: u32,
    /// Minimum share of successful attempts.
    pub least_success_share: f32,
    /// Minimum attempts before the success share is checked.
    pub success_samples: u32,
    /// Weight of a new attempt in the success share.
    pub success_weight: f32,
    /// Multiple of the median latency of the service above which a back end is ejected.
    pub latency_multiple: f32,
    /// Minimum latency samples before the latency is checked.
    pub latency_samples: u32,
    /// Duration of the first ejection; each further one is longer by as much.
    pub duration: Duration,
    /// Maximum duration of an ejection.
    pub longest: Duration,
    /// Time after an ejection in which a single failure ejects again.
    pub probation: Duration,
    /// Maximum share of a service's back ends that may be ejected at once; one always may.
    pub greatest_share: f32,
}

impl Default for OutlierParameters {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            least_success_share: 0.5,
            success_samples: 20,
            success_weight: 0.05,
            latency_multiple: 8.0,
            latency_samples: 20,
            duration: Duration::from_secs(5),
            longest: Duration::from_secs(60),
            probation: Duration::from_secs(5),
            greatest_share: 0.3,
        }
    }
}

/// Outlier state of one back end.
#[derive(Clone, Debug)]
pub(super) struct OutlierState {
    consecutive_failures: u32,
    success_share: f32,
    attempts: u32,
    ejected_until: Option<Timestamp>,
    ejections: u32,
    probation_until: Option<Timestamp>,
}

impl Default for OutlierState {
    fn default() -> Self {
        Self {
            consecutive_failures: 0,
            success_share: 1.0,
            attempts: 0,
            ejected_until: None,
            ejections: 0,
            probation_until: None,
        }
    }
}

impl OutlierState {
    /// Records a successful attempt.
    pub(super) fn record_success(&mut self, parameters: &OutlierParameters) {
        self.consecutive_failures = 0;
        self.attempts = self.attempts.saturating_add(1);
        self.success_share += (1.0 - self.success_share) * parameters.success_weight;
    }

    /// Records a failed attempt; returns whether the back end should be ejected.
    pub(super) fn record_failure(
        &mut self,
        parameters: &OutlierParameters,
        now: Timestamp,
    ) -> bool {
        self.consecutive_failures += 1;
        self.attempts = self.attempts.saturating_add(1);
        self.success_share -= self.success_share * parameters.success_weight;
        let on_probation = self.probation_until.is_some_and(|until| now < until);
        let too_many_in_a_row = self.consecutive_failures >= parameters.consecutive_failures;
        let success_share_too_low = self.attempts >= parameters.success_samples
            && self.success_share < parameters.least_success_share;
        on_probation || too_many_in_a_row || success_share_too_low
    }

    /// Whether the back end is ejected; an ejection ends in [`Self::end_expired_ejection`].
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Ejects the back end.
    pub(super) fn eject(&mut self, parameters: &OutlierParameters, now: Timestamp) {
        self.ejections = self.ejections.saturating_add(1);
        let duration = (parameters.duration * self.ejections).min(parameters.longest);
        self.ejected_until = Some(now + duration);
        self.probation_until = None;
    }

    /// Ends an ejection whose time is over and starts probation; returns whether it ended.
    pub(super) fn end_expired_ejection(
        &mut self,
        parameters: &OutlierParameters,
        now: Timestamp,
    ) -> bool {
        let expired = self.ejected_until.is_some_and(|until| now >= until);
        if expired {
            self.ejected_until = None;
            self.consecutive_failures = 0;
            self.attempts = 0;
            self.success_share = 1.0;
            self.probation_until = Some(now + parameters.probation);
        }
        expired
    }

    /// Ends probation when its time is over; the next ejection is a first one again.
    pub(super) fn end_probation(&mut self, now: Timestamp) {
        if self.probation_until.is_some_and(|until| now >= until) {
            self.probation_until = None;
            self.ejections = 0;
        }
    }
}
