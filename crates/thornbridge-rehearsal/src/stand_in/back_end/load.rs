//! The load that a back end reports: late or false where a fault says so.

use super::faults::BackEndFaults;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Loads are kept at most so close together.
const SAMPLE_SPACING: Duration = Duration::from_millis(5);
/// Loads kept.
const SAMPLES_KEPT: usize = 4_096;

/// Requests running and waiting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running.
    pub running: u32,
    /// Waiting.
    pub queued: u32,
}

/// The loads there were, oldest first.
#[derive(Debug, Default)]
pub struct LoadHistory {
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    /// The load is this from `now` on.
    pub fn record(&mut self, now: Instant, load: Load) {
        if let Some((last, value)) = self.samples.back_mut()
            && now.duration_since(*last) < SAMPLE_SPACING
        {
            *value = load;
            return;
        }
        if self.samples.len() >= SAMPLES_KEPT {
            self.samples.pop_front();
        }
        self.samples.push_back((now, load));
    }

    /// The load to report.
    pub fn reported(&self, now: Instant, faults: &BackEndFaults, real: Load) -> Load {
        if let Some(lie) = faults.load_lie {
            return Load {
                running: lie.running,
                queued: lie.queued,
            };
        }
        if faults.load_lag.is_zero() {
            return real;
        }
        let old_enough = |at: Instant| now.duration_since(at) >= faults.load_lag;
        let mut samples = self.samples.iter().rev();
        let old = samples.find(|(at, _)| old_enough(*at));
        old.map_or(Load::default(), |(_, load)| *load)
    }
}
