//! Local health multiplier: adapts probe timeouts to how slow this node itself is.
//!
//! A slow node would wrongly suspect others. Each sign of local slowness raises a score, each
//! acknowledged probe lowers the score, and timeouts are multiplied by the score plus one.
//! Reference: Lifeguard, section III (arXiv:1707.00788).

use std::time::Duration;

/// Score of this node's own health; 0 is healthy.
#[derive(Clone, Copy, Debug)]
pub struct LocalHealth {
    score: u32,
    limit: u32,
}

impl LocalHealth {
    /// Creates a healthy score that never exceeds `limit`.
    pub fn new(limit: u32) -> Self {
        Self { score: 0, limit }
    }

    /// Records a probe that was acknowledged in time.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Records this many signs that the node itself is slow.
    pub fn worsen(&mut self, signs: u32) {
        self.score = self.score.saturating_add(signs).min(self.limit);
    }

    /// Scales a timeout or interval by the score.
    pub fn scale(&self, timeout: Duration) -> Duration {
        timeout * (self.score + 1)
    }

    /// Current score; 0 is healthy.
    pub fn score(&self) -> u32 {
        self.score
    }
}
