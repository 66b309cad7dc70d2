//! Sliding-window sum and maximum, counted in buckets of equal duration.

use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

fn bucket_index(now: Timestamp, bucket_duration: Duration) -> u64 {
    (now.since_epoch().as_micros() / bucket_duration.as_micros().max(1)) as u64
}

/// Sum over a sliding window.
#[derive(Debug)]
pub(super) struct SumWindow {
    bucket_duration: Duration,
    buckets: u32,
    /// Bucket and count, oldest first.
    counts: VecDeque<(u64, u64)>,
    sum: u64,
}

impl SumWindow {
    pub(super) fn new(bucket_duration: Duration, buckets: u32) -> Self {
        Self {
            bucket_duration,
            buckets,
            counts: VecDeque::new(),
            sum: 0,
        }
    }

    pub(super) fn add(&mut self, now: Timestamp, count: u64) {
        self.evict_expired(now);
        let bucket = bucket_index(now, self.bucket_duration);
        match self.counts.back_mut() {
            Some((last, value)) if *last == bucket => *value += count,
            _ => self.counts.push_back((bucket, count)),
        }
        self.sum += count;
    }

    pub(super) fn sum(&mut self, now: Timestamp) -> u64 {
        self.evict_expired(now);
        self.sum
    }

    fn evict_expired(&mut self, now: Timestamp) {
        let oldest =
            bucket_index(now, self.bucket_duration).saturating_sub(u64::from(self.buckets));
        while let Some((bucket, count)) = self.counts.front() {
            if *bucket >= oldest {
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
    bucket_duration: Duration,
    buckets: u32,
    /// Bucket and value, oldest first and strictly decreasing in value.
    values: VecDeque<(u64, u64)>,
    last: u64,
}

impl MaximumWindow {
    pub(super) fn new(bucket_duration: Duration, buckets: u32) -> Self {
        Self {
            bucket_duration,
            buckets,
            values: VecDeque::new(),
            last: 0,
        }
    }

    pub(super) fn observe(&mut self, now: Timestamp, value: u64) {
        let bucket = bucket_index(now, self.bucket_duration);
        // The previous value was valid until now.
        self.push(bucket, self.last);
        self.push(bucket, value);
        self.last = value;
    }

    pub(super) fn maximum(&mut self, now: Timestamp) -> u64 {
        let oldest =
            bucket_index(now, self.bucket_duration).saturating_sub(u64::from(self.buckets));
        while self
            .values
            .front()
            .is_some_and(|(bucket, _)| *bucket < oldest)
        {
            self.values.pop_front();
        }
        self.values
            .front()
            .map_or(self.last, |(_, value)| (*value).max(self.last))
    }

    fn push(&mut self, bucket: u64, value: u64) {
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((bucket, value));
    }
}
