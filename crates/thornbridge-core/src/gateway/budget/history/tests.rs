//! Counts of windows against sums over all attempts.

use super::{ARRIVAL_LAG_BUCKETS, History, WINDOW_BUCKETS};
use crate::time::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const BUCKET_MS: u64 = 250;

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..Config::default()
    }
}

fn in_bucket(bucket: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(bucket * BUCKET_MS)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn later_windows_count_what_still_falls_into_them(
        ages in proptest::collection::vec(0..2 * WINDOW_BUCKETS as u64, 0..60),
        later in 0..100_u64,
    ) {
        let now = 1_000_u64;
        let mut history = History::new(Duration::from_millis(BUCKET_MS) * WINDOW_BUCKETS as u32);
        let mut ages = ages;
        ages.sort_unstable_by(|one, other| other.cmp(one));
        for age in &ages {
            history.add_extra(in_bucket(now - age));
            history.add_request(in_bucket(now - age));
        }
        let counts: Vec<_> = history.windows_at(in_bucket(now), in_bucket(now + later)).collect();
        prop_assert_eq!(counts.len(), WINDOW_BUCKETS + 1);
        for (first_age, counts) in counts.iter().enumerate() {
            let oldest_extra = (first_age + ARRIVAL_LAG_BUCKETS) as u64;
            let oldest_request = (first_age + WINDOW_BUCKETS - 1) as u64;
            let extra = ages.iter().filter(|age| **age + later <= oldest_extra).count();
            let requests = ages.iter().filter(|age| **age <= oldest_request).count();
            prop_assert_eq!((counts.extra, counts.requests), (extra as u32, requests as u32));
        }
    }
}
