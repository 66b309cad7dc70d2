//! Rejection rate of a server.
//!
//! Guards against a server that reports good health but rejects some of its requests: each rejection
//! uses up one of a part's few attempts.

use super::server::decay_factor;
use crate::gateway::parameters::ServerParameters;
use crate::time::Timestamp;
use std::time::Duration;

/// Exponentially weighted share of rejections among a server's answers.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct Rejections {
    share: f64,
    updated_at: Timestamp,
}

impl Rejections {
    /// A rejection rate of zero.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            share: 0.0,
            updated_at: now,
        }
    }

    /// Records whether the server rejected a request.
    pub(in crate::gateway) fn observe(
        &mut self,
        parameters: &ServerParameters,
        now: Timestamp,
        rejected: bool,
    ) {
        let observed = f64::from(u8::from(rejected));
        let share = self.share(parameters, now);
        self.share = share + (observed - share) * parameters.rejection_weight;
        self.updated_at = now;
    }

    /// Penalty in server selection for the risk of a rejection.
    pub(super) fn cost(&self, parameters: &ServerParameters, now: Timestamp) -> Duration {
        if self.share == 0.0 {
            return Duration::ZERO;
        }
        parameters
            .rejection_cost
            .mul_f64(self.share(parameters, now))
    }

    fn share(&self, parameters: &ServerParameters, now: Timestamp) -> f64 {
        self.share * decay_factor(now.since(self.updated_at), parameters.rejection_half_life)
    }
}
