//! Scheduling of anti-entropy exchanges, and selection of the buckets to exchange.

use crate::time::Timestamp;
use rand::Rng;
use rand::seq::SliceRandom;
use std::time::Duration;

/// Schedule of the digest exchanges of one node.
#[derive(Debug)]
pub struct SyncSchedule {
    interval: Duration,
    interval_differing: Duration,
    next: Timestamp,
}

impl SyncSchedule {
    /// Creates a schedule without a planned exchange.
    pub fn new(interval: Duration, interval_differing: Duration) -> Self {
        Self {
            interval,
            interval_differing,
            next: Timestamp::MAX,
        }
    }

    /// Time of the next exchange; [`Timestamp::MAX`] if none is planned.
    pub fn next(&self) -> Timestamp {
        self.next
    }

    /// Plans the next exchange after the regular interval.
    pub fn plan(&mut self, now: Timestamp, random: &mut impl Rng) {
        self.next = now + jittered(self.interval, random);
    }

    /// Advances the next exchange, because a difference was found or is likely.
    pub fn hasten(&mut self, now: Timestamp, random: &mut impl Rng) {
        let soon = now + jittered(self.interval_differing, random);
        self.next = self.next.min(soon);
    }
}

/// At most `limit` buckets whose digests differ, in random order. Empty if the number of buckets
/// differs.
pub fn differing_buckets(
    own: &[u64],
    theirs: &[u64],
    limit: usize,
    random: &mut impl Rng,
) -> Vec<u8> {
    if own.len() != theirs.len() {
        return Vec::new();
    }
    let mut differing: Vec<u8> = own
        .iter()
        .zip(theirs)
        .enumerate()
        .filter(|(_, (own, theirs))| own != theirs)
        .filter_map(|(bucket, _)| u8::try_from(bucket).ok())
        .collect();
    differing.shuffle(random);
    differing.truncate(limit);
    differing
}

fn jittered(interval: Duration, random: &mut impl Rng) -> Duration {
    interval.mul_f64(random.random_range(0.75..1.25))
}
