//! Sliding-window sum and maximum, with the resolution of a step.

use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

fn step_of(now: Timestamp, step: Duration) -> u64 {
    (now.since_epoch().as_micros() / step.as_micros().max(1)) as u64
}

/// Sum over a sliding window.
#[derive(Debug)]
pub(super) struct SumWindow {
    step: Duration,
    steps: u32,
    /// Step and count, oldest first.
    counts: VecDeque<(u64, u64)>,
    sum: u64,
}

impl SumWindow {
    pub(super) fn new(step: Duration, steps: u32) -> Self {
        Self {
            step,
            steps,
            counts: VecDeque::new(),
            sum: 0,
        }
    }

    pub(super) fn add(&mut self, now: Timestamp, count: u64) {
        self.evict_expired(now);
        let step = step_of(now, self.step);
        match self.counts.back_mut() {
            Some((last, value)) if *last == step => *value += count,
            _ => self.counts.push_back((step, count)),
        }
        self.sum += count;
    }

    pub(super) fn sum(&mut self, now: Timestamp) -> u64 {
        self.evict_expired(now);
        self.sum
    }

    fn evict_expired(&mut self, now: Timestamp) {
        let oldest = step_of(now, self.step).saturating_sub(u64::from(self.steps));
        while let Some((step, count)) = self.counts.front() {
            if *step >= oldest {
                return;
            }
            self.sum -= count;
            self.counts.pop_front();
        }
    }
}

/// Maximum of a value over a sliding window; the value holds until the next observation.
#[derive(Debug)]
pub(super) struct MaximumWindow {
    step: Duration,
    steps: u32,
    /// Step and value, oldest first and strictly decreasing in value.
    values: VecDeque<(u64, u64)>,
    last: u64,
}

impl MaximumWindow {
    pub(super) fn new(step: Duration, steps: u32) -> Self {
        Self {
            step,
            steps,
            values: VecDeque::new(),
            last: 0,
        }
    }

    pub(super) fn observe(&mut self, now: Timestamp, value: u64) {
        let step = step_of(now, self.step);
        // The previous value was valid until now.
        self.push(step, self.last);
        self.push(step, value);
        self.last = value;
    }

    pub(super) fn maximum(&mut self, now: Timestamp) -> u64 {
        let oldest = step_of(now, self.step).saturating_sub(u64::from(self.steps));
        while self.values.front().is_some_and(|(step, _)| *step < oldest) {
            self.values.pop_front();
        }
        self.values
            .front()
            .map_or(self.last, |(_, value)| (*value).max(self.last))
    }

    fn push(&mut self, step: u64, value: u64) {
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((step, value));
    }
}
