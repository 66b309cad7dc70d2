//! Scenarios of hedging, completeness and refusals.

use super::harness::{BundleSpec, NodeHarness, Reply, Response};
use crate::query::QueryParameters;
use crate::{AttemptFailure, CallerId, Parameters, Timestamp};
use assert_matches::assert_matches;
use std::time::Duration;
use thornbridge_config::bundle::CompletenessPolicy::{CoverageFirst, LatencyFirst};
use thornbridge_proto::ShardId;
use thornbridge_proto::caller::{Executed, MissingReason, QueryAnswer, Refusal, RefusalReason};

const MILLISECOND: Duration = Duration::from_millis(1);

fn answer(harness: &NodeHarness, caller: CallerId) -> QueryAnswer {
    assert_matches!(&harness.responses[&caller], Response::Answer(answer) => answer.clone())
}

fn refusal(harness: &NodeHarness, caller: CallerId) -> Refusal {
    assert_matches!(&harness.responses[&caller], Response::Refusal(refusal) => refusal.clone())
}

fn start_query(harness: &mut NodeHarness) -> (CallerId, Timestamp) {
    let caller = harness.send_query(None, None);
    harness.open_all();
    (caller, harness.now)
}

/// Replies with hits to all attempts but those of one shard, after 2 ms.
fn reply_all_except(harness: &mut NodeHarness, shard: u32) {
    harness.advance(MILLISECOND * 2);
    while let Some(index) =
        (0..harness.running.len()).find(|index| harness.running[*index].1.shard != ShardId(shard))
    {
        harness.reply(index, Reply::Hits);
    }
}

/// Fills the latency histograms with replies of about 2 ms from every shard.
fn record_latencies(harness: &mut NodeHarness) {
    for _ in 0..60 {
        start_query(harness);
        reply_all_except(harness, u32::MAX);
    }
    assert!(harness.running.is_empty());
}

#[test]
fn replies_of_all_shards_give_full_coverage() {
    let mut harness = NodeHarness::new(&BundleSpec::new(CoverageFirst));
    let (caller, _) = start_query(&mut harness);
    reply_all_except(&mut harness, u32::MAX);
    assert_eq!(answer(&harness, caller).coverage.fraction, 1.0);
    harness.finish();
}

#[test]
fn latency_first_answers_partially_at_target() {
    let mut spec = BundleSpec::new(LatencyFirst);
    spec.extra_load = 0.0;
    let mut harness = NodeHarness::new(&spec);
    let (caller, sent_at) = start_query(&mut harness);
    reply_all_except(&mut harness, 3);
    while harness.unanswered_count() > 0 {
        harness.advance(MILLISECOND);
    }
    assert_eq!(harness.now.since(sent_at), Duration::from_millis(40));
    let coverage = answer(&harness, caller).coverage;
    assert_eq!(coverage.shards_answered, 3);
    assert_eq!(coverage.missing[0].shard, ShardId(3));
    assert_eq!(coverage.missing[0].reason, MissingReason::TooSlow);
    assert_eq!(harness.cancel_count, 1);
}

#[test]
fn latency_first_answers_early_when_rest_is_not_expected() {
    let mut spec = BundleSpec::new(LatencyFirst);
    spec.extra_load = 0.0;
    let mut harness = NodeHarness::new(&spec);
    record_latencies(&mut harness);
    let (caller, sent_at) = start_query(&mut harness);
    reply_all_except(&mut harness, 3);
    while harness.unanswered_count() > 0 {
        harness.advance(MILLISECOND);
    }
    assert_eq!(answer(&harness, caller).coverage.shards_answered, 3);
    let waited = harness.now.since(sent_at);
    assert!(waited < Duration::from_millis(10), "waited {waited:?}");
}

#[test]
fn latency_first_waits_past_target_below_minimum_coverage() {
    let mut spec = BundleSpec::new(LatencyFirst);
    spec.minimum_coverage = 1.0;
    spec.extra_load = 0.0;
    let mut harness = NodeHarness::new(&spec);
    let (caller, _) = start_query(&mut harness);
    reply_all_except(&mut harness, 3);
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.unanswered_count(), 1);
    harness.reply(0, Reply::Hits);
    assert_eq!(answer(&harness, caller).coverage.fraction, 1.0);
}

#[test]
fn coverage_first_waits_until_hard_deadline() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.extra_load = 0.0;
    let mut harness = NodeHarness::new(&spec);
    record_latencies(&mut harness);
    let (caller, sent_at) = start_query(&mut harness);
    reply_all_except(&mut harness, 0);
    while harness.unanswered_count() > 0 {
        harness.advance(MILLISECOND);
    }
    assert_eq!(harness.now.since(sent_at), Duration::from_millis(200));
    assert_eq!(answer(&harness, caller).coverage.shards_answered, 3);
}

#[test]
fn coverage_first_answers_when_no_shard_can_answer() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.replicas = 1;
    let mut harness = NodeHarness::new(&spec);
    let (caller, _) = start_query(&mut harness);
    reply_all_except(&mut harness, 2);
    harness.reply(0, Reply::Failed);
    let coverage = answer(&harness, caller).coverage;
    assert_eq!(coverage.missing[0].reason, MissingReason::Failed);
}

#[test]
fn query_is_refused_once_minimum_coverage_is_unreachable() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.replicas = 1;
    let mut harness = NodeHarness::new(&spec);
    let caller = harness.send_query(None, Some(1.0));
    harness.open_all();
    harness.fail(1, AttemptFailure::ConnectionBroken);
    let refusal = refusal(&harness, caller);
    assert_eq!(refusal.reason, RefusalReason::InsufficientCoverage);
    assert_eq!(refusal.executed, Executed::Unknown);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn query_without_executed_attempt_is_refused_as_not_run() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.shards = 1;
    let mut harness = NodeHarness::new(&spec);
    let (caller, _) = start_query(&mut harness);
    harness.reply(0, Reply::Leaving);
    harness.open_all();
    assert_eq!(harness.unanswered_count(), 1);
    harness.reply(0, Reply::NotHeld);
    let refusal = refusal(&harness, caller);
    assert_eq!(refusal.reason, RefusalReason::InsufficientCoverage);
    assert_eq!(refusal.executed, Executed::No);
}

#[test]
fn query_with_attempt_in_flight_is_refused_as_unknown() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.replicas = 1;
    spec.minimum_coverage = 1.0;
    let mut harness = NodeHarness::new(&spec);
    let (caller, _) = start_query(&mut harness);
    harness.reply(0, Reply::Leaving);
    assert_eq!(refusal(&harness, caller).executed, Executed::Unknown);
    assert_eq!(harness.cancel_count, 3);
}

#[test]
fn slow_shard_is_hedged_and_losing_attempt_cancelled() {
    let mut harness = NodeHarness::new(&BundleSpec::new(CoverageFirst));
    record_latencies(&mut harness);
    let (caller, _) = start_query(&mut harness);
    reply_all_except(&mut harness, 1);
    let slow = harness.back_end_at(0);
    harness.advance(MILLISECOND * 4);
    harness.open_all();
    assert_eq!(harness.running.len(), 2);
    assert_ne!(harness.back_end_at(1), slow);
    harness.reply(1, Reply::Hits);
    assert_eq!(answer(&harness, caller).coverage.fraction, 1.0);
    assert_eq!(harness.cancel_count, 1);
    let counters = harness.node.counters().query;
    assert_eq!((counters.hedges, counters.hedges_won), (1, 1));
    harness.reply(0, Reply::Hits);
    harness.finish();
}

#[test]
fn shard_with_one_replica_is_not_hedged() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.replicas = 1;
    let mut harness = NodeHarness::new(&spec);
    record_latencies(&mut harness);
    start_query(&mut harness);
    reply_all_except(&mut harness, 1);
    harness.advance(Duration::from_millis(150));
    assert_eq!(harness.node.counters().query.hedges, 0);
    assert_eq!(harness.running.len(), 1);
}

#[test]
fn hedges_and_retries_share_one_budget() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.extra_load = 0.0;
    let mut harness = NodeHarness::new(&spec);
    record_latencies(&mut harness);
    let (caller, _) = start_query(&mut harness);
    reply_all_except(&mut harness, 1);
    harness.reply(0, Reply::Failed);
    harness.advance(Duration::from_millis(37));
    assert_eq!(harness.unanswered_count(), 1);
    // Answered at the target: the missing shard only waits for the budget.
    harness.advance(MILLISECOND * 2);
    let coverage = answer(&harness, caller).coverage;
    assert_eq!(coverage.missing[0].reason, MissingReason::BudgetSpent);
    let counters = harness.node.counters().query;
    assert_eq!((counters.hedges, counters.retries), (0, 0));
}

#[test]
fn replica_without_snapshot_is_replaced_outside_budget() {
    let mut spec = BundleSpec::new(CoverageFirst);
    spec.extra_load = 0.0;
    let mut harness = NodeHarness::new(&spec);
    let (caller, _) = start_query(&mut harness);
    reply_all_except(&mut harness, 1);
    let excluded = harness.back_end_at(0);
    harness.reply(0, Reply::NotHeld);
    harness.open_all();
    assert_ne!(harness.back_end_at(0), excluded);
    harness.reply(0, Reply::Hits);
    assert_eq!(answer(&harness, caller).coverage.fraction, 1.0);
    for _ in 0..20 {
        start_query(&mut harness);
        let was_reused = (0..4).any(|index| harness.back_end_at(index) == excluded);
        assert!(!was_reused, "replica without the snapshot was used again");
        reply_all_except(&mut harness, u32::MAX);
    }
}

#[test]
fn baseline_policy_retries_without_budget_and_waits_for_all() {
    let mut spec = BundleSpec::new(LatencyFirst);
    spec.extra_load = 0.0;
    let parameters = Parameters {
        query: QueryParameters::baseline(),
        ..Parameters::default()
    };
    let mut harness = NodeHarness::with_parameters(&spec, parameters);
    record_latencies(&mut harness);
    let (caller, _) = start_query(&mut harness);
    reply_all_except(&mut harness, 1);
    harness.reply(0, Reply::Failed);
    harness.open_all();
    assert_eq!(harness.running.len(), 1);
    harness.advance(Duration::from_millis(150));
    assert_eq!(harness.unanswered_count(), 1);
    harness.advance(Duration::from_millis(100));
    assert_eq!(answer(&harness, caller).coverage.shards_answered, 3);
    assert_eq!(harness.node.counters().query.hedges, 0);
}

#[test]
fn malformed_and_foreign_replies_are_counted_and_discarded() {
    let mut harness = NodeHarness::new(&BundleSpec::new(CoverageFirst));
    let (caller, _) = start_query(&mut harness);
    harness.reply(0, Reply::NanScore);
    harness.reply(0, Reply::OtherSnapshot);
    harness.reply(0, Reply::OtherShard);
    harness.reply(0, Reply::OtherRequest);
    harness.open_all();
    reply_all_except(&mut harness, u32::MAX);
    assert_eq!(answer(&harness, caller).coverage.fraction, 1.0);
    let counters = harness.node.counters().query;
    assert_eq!(counters.malformed_replies, 3);
    assert_eq!(counters.wrong_snapshot_replies, 1);
    assert_eq!(harness.node.counters().routing.replies_foreign, 2);
}

#[test]
fn disconnected_caller_cancels_attempts() {
    let mut harness = NodeHarness::new(&BundleSpec::new(CoverageFirst));
    let (caller, _) = start_query(&mut harness);
    harness.disconnect_caller(caller);
    assert_eq!(harness.cancel_count, 4);
    assert_eq!(harness.node.queries.in_flight(), 0);
    harness.finish();
}
