//! Time that a server is given for an attempt.
//!
//! A server counts it from when it reads the request, so time that an attempt waits on its way is given
//! twice. A repeat that waits would keep its server busy after its request has ended; it is given only
//! a part of the time that remains.

use super::is_repeatable;
use super::request::Request;
use crate::gateway::telemetry::AttemptCause;
use crate::time::Timestamp;
use std::time::Duration;

/// Share of the remaining time that a repeat is given.
const REPEAT_SHARE: f64 = 0.5;

impl Request {
    /// Time that a server may work on an attempt of a part that is sent now.
    ///
    /// A request that may run only once is not repeated after a timeout, so its attempts are given all
    /// of the remaining time.
    pub(super) fn attempt_timeout(
        &self,
        now: Timestamp,
        index: usize,
        cause: AttemptCause,
    ) -> Duration {
        let remaining = self.deadline.since(now);
        let is_repeat = cause != AttemptCause::Companion && self.parts[index].is_extra();
        match is_repeat && is_repeatable(&self.route) {
            true => remaining.mul_f64(REPEAT_SHARE),
            false => remaining,
        }
    }
}
