use super::coverage_allowance::CoverageAllowance;
use super::merge::BestHits;
use super::shard_latency::{ShardLatencies, bucket_of, lower_edge, upper_edge};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::caller::Hit;
use thornbridge_proto::{DocumentId, ShardId};

fn fixed_seed() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

fn latencies() -> ShardLatencies {
    ShardLatencies::new(0.95, CoverageAllowance::new(0.0, 0.95))
}

fn hit() -> impl Strategy<Value = Hit> {
    (0..40u8, -4..4i8).prop_map(|(document, score)| Hit {
        document: DocumentId::new(format!("d{document}")),
        score: f64::from(score),
        title: String::new(),
    })
}

/// Reference implementation of the merge: sorts the best score of each document.
fn merge_by_sorting(shards: &[Vec<Hit>], limit: usize) -> Vec<(String, f64)> {
    let mut best: BTreeMap<String, f64> = BTreeMap::new();
    for hit in shards.iter().flatten() {
        let score = best.entry(hit.document.to_string()).or_insert(hit.score);
        *score = score.max(hit.score);
    }
    let mut hits: Vec<(String, f64)> = best.into_iter().collect();
    hits.sort_by(|left, right| right.1.total_cmp(&left.1).then(left.0.cmp(&right.0)));
    hits.truncate(limit);
    hits
}

fn merge(shards: impl Iterator<Item = Vec<Hit>>, limit: usize) -> Vec<(String, f64)> {
    let mut best = BestHits::new(limit);
    for hits in shards {
        best.add(hits);
    }
    let hits = best.finish().into_iter();
    hits.map(|hit| (hit.document.to_string(), hit.score))
        .collect()
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn bounded_merge_equals_full_sort_in_any_shard_order(
        shards in prop::collection::vec(prop::collection::vec(hit(), 0..40), 0..12),
        limit in 1..30usize,
    ) {
        let expected = merge_by_sorting(&shards, limit);
        prop_assert_eq!(&merge(shards.iter().cloned(), limit), &expected);
        prop_assert_eq!(&merge(shards.iter().rev().cloned(), limit), &expected);
    }

    #[test]
    fn latency_quantile_is_in_bucket_of_exact_quantile(
        micros in prop::collection::vec(200..50_000u64, 60..200)
    ) {
        let shard = ShardId(0);
        let mut latencies = latencies();
        latencies.resize(1);
        // The cached quantile is recomputed every 16 observations.
        let micros = &micros[..micros.len() / 16 * 16];
        for micros in micros {
            latencies.record(shard, Duration::from_micros(*micros));
        }
        let mut sorted = micros.to_vec();
        sorted.sort_unstable();
        let exact = sorted[(sorted.len() as f64 * 0.95).ceil() as usize - 1];
        let estimated = latencies.latency_quantile(shard).unwrap();
        let bucket = bucket_of(Duration::from_micros(exact));
        let within = lower_edge(bucket) <= estimated && estimated <= upper_edge(bucket);
        prop_assert!(within, "{estimated:?} for {exact} us");
    }

    #[test]
    fn completion_probability_is_bounded_and_grows_with_time(
        micros in prop::collection::vec(200..50_000u64, 40..100),
        age in 0..100_000u64,
        within in 0..100_000u64,
    ) {
        let shard = ShardId(0);
        let mut latencies = latencies();
        latencies.resize(1);
        for micros in micros {
            latencies.record(shard, Duration::from_micros(micros));
        }
        let age = Duration::from_micros(age);
        let probability =
            latencies.completion_probability(shard, age, Duration::from_micros(within));
        prop_assert!((0.0..=1.0).contains(&probability));
        let longer =
            latencies.completion_probability(shard, age, Duration::from_micros(within + 5_000));
        prop_assert!(longer + 1e-9 >= probability);
    }
}

#[test]
fn quantile_is_none_before_enough_observations() {
    let shard = ShardId(0);
    let mut latencies = latencies();
    latencies.resize(1);
    latencies.record(shard, Duration::from_millis(1));
    assert_eq!(latencies.latency_quantile(shard), None);
    let age = Duration::from_secs(1);
    assert_eq!(
        latencies.completion_probability(shard, age, Duration::ZERO),
        1.0
    );
}

#[test]
fn old_latencies_decay() {
    let shard = ShardId(0);
    let mut latencies = latencies();
    latencies.resize(1);
    for _ in 0..20_000 {
        latencies.record(shard, Duration::from_millis(50));
    }
    for _ in 0..60_000 {
        latencies.record(shard, Duration::from_millis(2));
    }
    assert!(latencies.latency_quantile(shard).unwrap() < Duration::from_millis(3));
}

#[test]
fn mean_missing_coverage_stays_below_allowance() {
    let mut allowance = CoverageAllowance::new(0.01, 0.9);
    let mut missing = 0.0;
    for answer in 0..10_000 {
        let slow = answer % 10 == 0;
        let cut = slow && allowance.covers(0.125);
        missing += if cut { 0.125 } else { 0.0 };
        let latency = Duration::from_millis(if slow { 50 } else { 10 });
        allowance.record_answer(latency, if cut { 0.125 } else { 0.0 });
    }
    let mean = missing / 10_000.0;
    assert!(mean <= 0.01 && mean > 0.009, "{mean}");
}
