//! The share of its requests that a server rejects.
//!
//! Guards against a server that works at a part of its requests only while its health is good: each
//! rejection costs a part one of the few attempts that it has.

use super::server::half_life;
use crate::gateway::parameters::ServerParameters;
use crate::time::Timestamp;
use std::time::Duration;

/// Share of the latest answers that were rejections, decaying, at a time.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Rejections {
    share: f64,
    at: Timestamp,
}

impl Rejections {
    /// None seen.
    pub(super) fn none(now: Timestamp) -> Self {
        Self {
            share: 0.0,
            at: now,
        }
    }

    /// The server took a request, or rejected it.
    pub(in crate::gateway) fn observe(
        &mut self,
        parameters: &ServerParameters,
        now: Timestamp,
        rejected: bool,
    ) {
        let observed = f64::from(u8::from(rejected));
        let share = self.share(parameters, now);
        self.share = share + (observed - share) * parameters.rejection_weight;
        self.at = now;
    }

    /// Cost of an attempt that may be rejected.
    pub(super) fn cost(&self, parameters: &ServerParameters, now: Timestamp) -> Duration {
        if self.share == 0.0 {
            return Duration::ZERO;
        }
        parameters
            .rejection_cost
            .mul_f64(self.share(parameters, now))
    }

    fn share(&self, parameters: &ServerParameters, now: Timestamp) -> f64 {
        self.share * half_life(now.since(self.at), parameters.rejection_half_life)
    }
}
