//! Delay between the driver's decision on an answer and its receipt by the caller's task.
//!
//! Caller tasks record the delay and the driver passes it to the core, which answers earlier when
//! the delay is large.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use thornbridge_core::gateway::GatewayAnswer;

/// Marker: no answer reached its caller's task since the last [`AnswerDelays::take_newest`].
const NO_DELAY: u64 = u64::MAX;

/// An answer and the time of its decision.
#[derive(Debug)]
pub(super) struct DecidedAnswer {
    pub(super) answer: GatewayAnswer,
    pub(super) decided_at: Instant,
}

impl DecidedAnswer {
    pub(super) fn now(answer: GatewayAnswer) -> Self {
        Self {
            answer,
            decided_at: Instant::now(),
        }
    }
}

/// Delay of the newest answer, shared by caller tasks and the driver.
#[derive(Debug)]
pub(super) struct AnswerDelays {
    newest_us: AtomicU64,
}

impl Default for AnswerDelays {
    fn default() -> Self {
        Self {
            newest_us: AtomicU64::new(NO_DELAY),
        }
    }
}

impl AnswerDelays {
    /// Records the delay of an answer that reached its caller's task.
    pub(super) fn observe(&self, answer: &DecidedAnswer) {
        let delay_us = answer.decided_at.elapsed().as_micros() as u64;
        self.newest_us.store(delay_us, Ordering::Relaxed);
    }

    /// Delay of the newest answer since the last call, if any.
    pub(super) fn take_newest(&self) -> Option<Duration> {
        let delay_us = self.newest_us.swap(NO_DELAY, Ordering::Relaxed);
        (delay_us != NO_DELAY).then(|| Duration::from_micros(delay_us))
    }
}
