//! Tests of the quarantine of requests that crash servers, on a single node.

use super::support::{
    Harness, RECORD, answer, gather, millis, peer, route, service, two_servers_per_shard,
};
use crate::driver_action::CallerId;
use crate::gateway::parameters::QuarantineParameters;
use crate::gateway::quarantine::{Quarantine, SendPolicy};
use crate::gateway::{ExchangeFailure, GatewayAnswer, GatewayEvent, RefusalReason, RefusalStatus};
use crate::time::Timestamp;
use proptest::prelude::*;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::BackEndId;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::quarantine::CrashRecord;

const REQUEST: Fingerprint = Fingerprint(7);
const SHARDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn record(instances: &[u8], cleared: bool) -> CrashRecord {
    let instances = instances
        .iter()
        .map(|index| BackEndId::new(format!("i-{index}")));
    CrashRecord {
        fingerprint: REQUEST,
        instances: instances.collect(),
        age_ms: 0,
        cleared,
    }
}

fn quarantine_with(records: &[CrashRecord]) -> Quarantine {
    let mut quarantine = Quarantine::new(QuarantineParameters::default());
    for record in records {
        quarantine.merge(Timestamp::ZERO, &mut VecDeque::new(), record);
    }
    quarantine
}

/// Gateway with a gather over six shards of two servers each.
fn gather_gateway() -> Harness {
    let search = route("/search/", gather(&SHARDS, 0.8), Repeatability::Repeatable);
    let servers = two_servers_per_shard(&SHARDS);
    let servers: Vec<(&str, &str)> = servers
        .iter()
        .map(|(id, shard)| (id.as_str(), *shard))
        .collect();
    Harness::serving(vec![search], &servers)
}

fn fail_attempt(harness: &mut Harness, attempt: thornbridge_proto::AttemptId) {
    let failure = ExchangeFailure::MayHaveRun;
    harness.event(GatewayEvent::Failed { attempt, failure });
}

fn refusal(harness: &Harness, caller: CallerId) -> Option<(RefusalReason, RefusalStatus)> {
    match harness.answers.get(&caller)? {
        GatewayAnswer::Refused { reason, status, .. } => Some((*reason, *status)),
        _ => None,
    }
}

#[test]
fn gather_that_crashes_all_shards_is_refused_after_canaries() {
    let mut harness = gather_gateway();
    let caller = harness.send_request("/search/1");
    let mut failed = 0;
    while let Some(sent) = harness.sent_for(caller).get(failed).cloned() {
        fail_attempt(&mut harness, sent.attempt);
        failed += 1;
        harness.advance(millis(1));
    }
    assert_eq!(failed, SHARDS.len() + 2);
    let reason = RefusalReason::CrashesServers;
    let expected = Some((reason, RefusalStatus::MayHaveRun));
    assert_eq!(refusal(&harness, caller), expected);
}

#[test]
fn request_whose_crashes_another_explains_is_not_refused() {
    let crash_record = |fingerprint, instances: &[u8]| CrashRecord {
        fingerprint: Fingerprint(fingerprint),
        ..record(instances, false)
    };
    let explained = quarantine_with(&[crash_record(1, &[1, 2, 3, 4]), crash_record(2, &[2, 3, 4])]);
    let send_policy = |quarantine: &Quarantine, fingerprint| {
        quarantine.send_policy(Timestamp::ZERO, Fingerprint(fingerprint))
    };
    assert_eq!(send_policy(&explained, 1), SendPolicy::Refuse);
    assert_eq!(send_policy(&explained, 2), SendPolicy::OneAtATime);
    let independent =
        quarantine_with(&[crash_record(1, &[1, 2, 3, 4]), crash_record(2, &[2, 3, 5])]);
    assert_eq!(send_policy(&independent, 2), SendPolicy::Refuse);
    let identical = quarantine_with(&[crash_record(1, &[1, 2, 3]), crash_record(2, &[1, 2, 3])]);
    assert_eq!(send_policy(&identical, 1), SendPolicy::Refuse);
    assert_eq!(send_policy(&identical, 2), SendPolicy::Refuse);
}

#[test]
fn gather_is_not_suspected_after_a_shard_answered() {
    let mut harness = gather_gateway();
    let caller = harness.send_request("/search/1");
    let sent = harness.sent_for(caller);
    harness.reply(sent[0].attempt, answer(RECORD));
    for attempt in &sent[1..] {
        fail_attempt(&mut harness, attempt.attempt);
    }
    harness.advance(millis(5));
    let retried = harness.sent_for(caller).len() - sent.len();
    assert_eq!(
        retried,
        sent.len() - 1,
        "failed parts were not all retried at once"
    );
}

#[test]
fn answer_while_probing_clears_request() {
    let mut harness = gather_gateway();
    let caller = harness.send_request("/search/1");
    let sent = harness.sent_for(caller);
    for attempt in &sent {
        fail_attempt(&mut harness, attempt.attempt);
    }
    let attempts = harness.sent_for(caller);
    assert_eq!(
        attempts.len(),
        sent.len() + 1,
        "more than one attempt while probing"
    );
    harness.reply(attempts[sent.len()].attempt, answer(RECORD));
    harness.advance(millis(5));
    assert_eq!(harness.sent_for(caller).len(), 2 * sent.len());
}

#[test]
fn request_quarantined_by_peers_is_refused_as_not_run() {
    let mut harness = gather_gateway();
    let fingerprint = Fingerprint(1);
    let received = CrashRecord {
        fingerprint,
        ..record(&[1, 2, 3], false)
    };
    harness.quarantine_message(peer(1), vec![received]);
    let caller = harness.send_request("/search/1");
    let reason = RefusalReason::CrashesServers;
    let expected = Some((reason, RefusalStatus::NotRun));
    assert_eq!(refusal(&harness, caller), expected);
    assert!(harness.sent_for(caller).is_empty());
    let retry_after = harness
        .retry_after(caller)
        .expect("refusal without retry_after");
    assert!(retry_after > Duration::from_secs(170), "{retry_after:?}");
}

#[test]
fn crashes_seen_by_two_nodes_are_aggregated() {
    let quarantine = quarantine_with(&[record(&[1, 2], false), record(&[2, 3], false)]);
    let send_policy = quarantine.send_policy(Timestamp::ZERO, REQUEST);
    assert_eq!(send_policy, SendPolicy::Refuse);
}

#[test]
fn expired_quarantine_allows_one_server_at_a_time() {
    let mut quarantine = quarantine_with(&[record(&[1, 2, 3], false)]);
    let kept = QuarantineParameters::default().kept;
    let mut random = rand::SeedableRng::seed_from_u64(1);
    let later = Timestamp::ZERO + kept;
    quarantine.timer_due(later, &mut random, &mut VecDeque::new());
    assert_eq!(
        quarantine.send_policy(later, REQUEST),
        SendPolicy::OneAtATime
    );
    quarantine.record_crash(later, REQUEST, &BackEndId::new("i-4"));
    let probing = QuarantineParameters::default().testing;
    let send_policy = quarantine.send_policy(later + probing, REQUEST);
    assert_eq!(send_policy, SendPolicy::Refuse);
}

#[test]
fn many_suspicions_do_not_evict_quarantine() {
    let mut quarantine = quarantine_with(&[record(&[1, 2, 3], false)]);
    let limit = QuarantineParameters::default().records_maximum as u128;
    for number in 0..2 * limit {
        let now = Timestamp::ZERO + Duration::from_millis(number as u64);
        quarantine.record_crash(now, Fingerprint(1_000 + number), &BackEndId::new("i-9"));
    }
    let send_policy = quarantine.send_policy(Timestamp::ZERO, REQUEST);
    assert_eq!(send_policy, SendPolicy::Refuse);
    assert_eq!(quarantine.len() as u128, limit);
}

fn records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let instances = prop::collection::vec(0_u8..6, 0..4);
    let one = (instances, prop::bool::weighted(0.1));
    let one = one.prop_map(|(instances, cleared)| record(&instances, cleared));
    prop::collection::vec(one, 1..6)
}

proptest! {
    /// The result of merging records does not depend on their order or repetition.
    #[test]
    fn records_merge_in_any_order(received in records(), order in any::<u64>()) {
        let mut mixed = received.clone();
        mixed.extend(received.iter().cloned());
        let shift = order as usize % mixed.len();
        mixed.rotate_left(shift);
        let distinct: BTreeSet<&BackEndId> = received
            .iter()
            .flat_map(|record| &record.instances)
            .collect();
        let expected = match (received.iter().any(|record| record.cleared), distinct.len()) {
            (true, _) => SendPolicy::Unrestricted,
            (false, 0..3) => SendPolicy::OneAtATime,
            (false, _) => SendPolicy::Refuse,
        };
        let quarantine = quarantine_with(&mixed);
        prop_assert_eq!(quarantine.send_policy(Timestamp::ZERO, REQUEST), expected);
    }
}

#[test]
fn request_is_not_hedged_after_crash() {
    let plain = route("/one/", service("plain"), Repeatability::Repeatable);
    let servers = [("p-0", "plain"), ("p-1", "plain"), ("p-2", "plain")];
    let mut harness = Harness::serving(vec![plain], &servers);
    let caller = harness.send_request("/one/1");
    let first = harness.sent_for(caller)[0].attempt;
    fail_attempt(&mut harness, first);
    harness.advance(millis(1_000));
    assert_eq!(
        harness.sent_for(caller).len(),
        2,
        "hedged although a server crashed under the request"
    );
}

/// Many callers send the same request while all servers stop at once.
#[test]
fn recently_answered_request_is_not_suspected() {
    let mut quarantine = quarantine_with(&[]);
    let answered = Timestamp::ZERO + Duration::from_secs(1);
    quarantine.record_answer(answered, REQUEST);
    let crashed_at = answered + Duration::from_secs(2);
    for index in 0..5 {
        quarantine.record_crash(crashed_at, REQUEST, &BackEndId::new(format!("i-{index}")));
    }
    assert_eq!(
        quarantine.send_policy(crashed_at, REQUEST),
        SendPolicy::Unrestricted
    );
}

#[test]
fn request_answered_long_ago_is_quarantined_after_crashes() {
    let mut quarantine = quarantine_with(&[record(&[1], true)]);
    quarantine.record_answer(Timestamp::ZERO, REQUEST);
    let later = Timestamp::ZERO + QuarantineParameters::default().answered_lifetime;
    for index in 2..5 {
        quarantine.record_crash(later, REQUEST, &BackEndId::new(format!("i-{index}")));
    }
    let probing_ended = later + QuarantineParameters::default().testing;
    assert_eq!(
        quarantine.send_policy(probing_ended, REQUEST),
        SendPolicy::Refuse
    );
}

#[test]
fn peer_record_is_accepted_long_after_clearance() {
    let mut quarantine = quarantine_with(&[record(&[1], true)]);
    let later = Timestamp::ZERO + QuarantineParameters::default().answered_lifetime;
    quarantine.merge(later, &mut VecDeque::new(), &record(&[2, 3, 4], false));
    assert_eq!(quarantine.send_policy(later, REQUEST), SendPolicy::Refuse);
}

#[test]
fn peer_record_of_recently_answered_request_is_ignored() {
    let mut quarantine = quarantine_with(&[]);
    quarantine.record_answer(Timestamp::ZERO, REQUEST);
    quarantine.merge(
        Timestamp::ZERO,
        &mut VecDeque::new(),
        &record(&[1, 2, 3], false),
    );
    assert_eq!(
        quarantine.send_policy(Timestamp::ZERO, REQUEST),
        SendPolicy::Unrestricted
    );
}
