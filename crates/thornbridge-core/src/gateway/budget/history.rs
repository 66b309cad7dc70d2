//! Requests and extra attempts of one service over the last two windows, counted in buckets.

#[cfg(test)]
mod tests;

use crate::time::Timestamp;
use std::time::Duration;

/// Buckets per window.
const WINDOW_BUCKETS: usize = 40;
/// Buckets by which servers may count an attempt later than this node.
const ARRIVAL_LAG_BUCKETS: usize = 2;
/// Buckets kept: two windows.
const KEPT_BUCKETS: usize = 2 * WINDOW_BUCKETS;

/// Counts of one window that contains the present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WindowCounts {
    /// Extra attempts that servers may count in the window.
    pub(super) extra: u32,
    /// Requests that certainly fall into the window or into the one before.
    pub(super) requests: u32,
}

/// Counts of one service.
#[derive(Debug)]
pub(super) struct History {
    bucket_duration: Duration,
    /// Number of the current bucket since the epoch.
    current: u64,
    /// Requests by age of the bucket.
    requests: [u32; KEPT_BUCKETS],
    /// Extra attempts by age of the bucket.
    extra: [u32; KEPT_BUCKETS],
}

impl History {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            bucket_duration: window / WINDOW_BUCKETS as u32,
            current: 0,
            requests: [0; KEPT_BUCKETS],
            extra: [0; KEPT_BUCKETS],
        }
    }

    pub(super) fn add_request(&mut self, now: Timestamp) {
        self.advance(now);
        self.requests[0] += 1;
    }

    pub(super) fn add_extra(&mut self, now: Timestamp) {
        self.advance(now);
        self.extra[0] += 1;
    }

    /// Counts of the windows that contain `now`, by the age of their first bucket, the latest first.
    ///
    /// A window may begin anywhere in a bucket. Extra attempts of the whole bucket are counted, and
    /// those that servers may have counted later; requests of the bucket in which the window before
    /// begins are not.
    pub(super) fn windows(&mut self, now: Timestamp) -> impl Iterator<Item = WindowCounts> + '_ {
        self.windows_at(now, now)
    }

    /// Counts of the windows that contain a later time, if there are no further extra attempts and
    /// requests arrive as often as before.
    pub(super) fn windows_at(
        &mut self,
        now: Timestamp,
        at: Timestamp,
    ) -> impl Iterator<Item = WindowCounts> + '_ {
        self.advance(now);
        let later = at.since(now).as_micros() / self.bucket_duration.as_micros().max(1);
        let later = usize::try_from(later).unwrap_or(KEPT_BUCKETS);
        let mut counts = WindowCounts {
            extra: self.extra[..ARRIVAL_LAG_BUCKETS.saturating_sub(later)]
                .iter()
                .sum(),
            requests: self.requests[..WINDOW_BUCKETS - 1].iter().sum(),
        };
        (0..=WINDOW_BUCKETS).map(move |first_age| {
            let extra_age = (first_age + ARRIVAL_LAG_BUCKETS).checked_sub(later);
            counts.extra += extra_age.map_or(0, |age| self.extra[age]);
            counts.requests += self.requests[first_age + WINDOW_BUCKETS - 1];
            counts
        })
    }

    /// Begins the buckets up to that of `now`.
    fn advance(&mut self, now: Timestamp) {
        let bucket_us = self.bucket_duration.as_micros().max(1);
        let bucket = (now.since_epoch().as_micros() / bucket_us) as u64;
        let begun = bucket.saturating_sub(self.current);
        if begun == 0 {
            return;
        }
        self.current = bucket;
        let begun = begun.min(KEPT_BUCKETS as u64) as usize;
        for counts in [&mut self.requests, &mut self.extra] {
            counts.rotate_right(begun % KEPT_BUCKETS);
            counts[..begun].fill(0);
        }
    }
}
