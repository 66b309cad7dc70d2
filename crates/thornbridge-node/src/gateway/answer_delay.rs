//! The time that answers wait between the driver's decision and their caller's task.
//!
//! Callers' tasks tell it and the driver hands it to the core, which answers earlier on a machine
//! that is slow to write.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use thornbridge_core::gateway::GatewayAnswer;

/// No answer was written since the last look.
const NONE: u64 = u64::MAX;

/// An answer, and when it was decided.
#[derive(Debug)]
pub(super) struct DecidedAnswer {
    pub(super) answer: GatewayAnswer,
    pub(super) decided: Instant,
}

impl DecidedAnswer {
    pub(super) fn now(answer: GatewayAnswer) -> Self {
        Self {
            answer,
            decided: Instant::now(),
        }
    }
}

/// The delay of the newest answer.
#[derive(Debug)]
pub(super) struct AnswerDelays {
    newest_us: AtomicU64,
}

impl Default for AnswerDelays {
    fn default() -> Self {
        Self {
            newest_us: AtomicU64::new(NONE),
        }
    }
}

impl AnswerDelays {
    /// An answer reached its caller's task.
    pub(super) fn observe(&self, answer: &DecidedAnswer) {
        let delay_us = answer.decided.elapsed().as_micros() as u64;
        self.newest_us.store(delay_us, Ordering::Relaxed);
    }

    /// The delay of the newest answer since the last call.
    pub(super) fn take(&self) -> Option<Duration> {
        let delay_us = self.newest_us.swap(NONE, Ordering::Relaxed);
        (delay_us != NONE).then(|| Duration::from_micros(delay_us))
    }
}
