//! Ejection of back ends that fail or are far slower than their like, with a cap.
//!
//! The signs are counted here; whether an ejection is allowed is the router's question, since
//! that depends on the other replicas. Compare outlier detection in widely used proxies:
//! consecutive failures, success rate, and a greatest share of ejected hosts.

use crate::time::Timestamp;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Tunable values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OutlierParameters {
    /// Failures one after the other that eject.
    pub consecutive_failures: u32,
    /// Least share of recent attempts that must succeed.
    pub least_success_share: f32,
    /// Attempts before the success share is looked at.
    pub success_samples: u32,
    /// Weight of a new attempt in the success share.
    pub success_weight: f32,
    /// Multiple of the median latency of its service's back ends that ejects.
    pub latency_multiple: f32,
    /// Attempts before the latency is looked at.
    pub latency_samples: u32,
    /// First ejection lasts this long; each further one longer by as much.
    pub duration: Duration,
    /// Longest ejection.
    pub longest: Duration,
    /// After an ejection, a single failure within this time ejects again.
    pub probation: Duration,
    /// Greatest share of a service's back ends that may be ejected at once; at least one may.
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

/// Signs of one back end, and whether it is ejected.
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
    /// An attempt ended well.
    pub(super) fn record_success(&mut self, parameters: &OutlierParameters) {
        self.consecutive_failures = 0;
        self.attempts = self.attempts.saturating_add(1);
        self.success_share += (1.0 - self.success_share) * parameters.success_weight;
    }

    /// An attempt failed. True where that is a reason to eject.
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

    /// Ejected, or its time is not yet checked.
    pub(super) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Ejects it.
    pub(super) fn eject(&mut self, parameters: &OutlierParameters, now: Timestamp) {
        self.ejections = self.ejections.saturating_add(1);
        let duration = (parameters.duration * self.ejections).min(parameters.longest);
        self.ejected_until = Some(now + duration);
        self.probation_until = None;
    }

    /// Lets it back where its time is over. True where it came back.
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

    /// A probation survived makes the next ejection a first one again.
    pub(super) fn end_probation(&mut self, now: Timestamp) {
        if self.probation_until.is_some_and(|until| now >= until) {
            self.probation_until = None;
            self.ejections = 0;
        }
    }
}
