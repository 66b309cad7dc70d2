//! Requests under which servers crashed, as one node sees them.

use super::support::{
    Harness, RECORD, answer, gather, millis, peer, route, service, two_servers_each,
};
use crate::driver_action::CallerId;
use crate::gateway::parameters::QuarantineParameters;
use crate::gateway::quarantine::{Caution, Quarantine};
use crate::gateway::{ExchangeFailure, GatewayAnswer, GatewayEvent, RefusalPromise, RefusalReason};
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

fn learnt(records: &[CrashRecord]) -> Quarantine {
    let mut quarantine = Quarantine::new(QuarantineParameters::default());
    for record in records {
        quarantine.learnt(Timestamp::ZERO, &mut VecDeque::new(), record);
    }
    quarantine
}

/// A node with a search over six shards of two servers each.
fn node() -> Harness {
    let search = route("/search/", gather(&SHARDS, 0.8), Repeatability::Repeatable);
    let servers = two_servers_each(&SHARDS);
    let servers: Vec<(&str, &str)> = servers
        .iter()
        .map(|(id, shard)| (id.as_str(), *shard))
        .collect();
    Harness::serving(vec![search], &servers)
}

fn breaks(harness: &mut Harness, attempt: thornbridge_proto::AttemptId) {
    let failure = ExchangeFailure::MayHaveRun;
    harness.event(GatewayEvent::Failed { attempt, failure });
}

fn refusal(harness: &Harness, caller: CallerId) -> Option<(RefusalReason, RefusalPromise)> {
    match harness.answers.get(&caller)? {
        GatewayAnswer::Refused {
            reason, promise, ..
        } => Some((*reason, *promise)),
        _ => None,
    }
}

#[test]
fn a_search_whose_servers_all_crash_goes_to_two_more_and_is_given_up() {
    let mut harness = node();
    let caller = harness.ask("/search/1");
    let mut broken = 0;
    while let Some(sent) = harness.sent_for(caller).get(broken).cloned() {
        breaks(&mut harness, sent.attempt);
        broken += 1;
        harness.wait(millis(1));
    }
    assert_eq!(broken, SHARDS.len() + 2);
    let crashes = RefusalReason::CrashesServers;
    let expected = Some((crashes, RefusalPromise::MayHaveRun));
    assert_eq!(refusal(&harness, caller), expected);
}

/// A request that ran beside one that crashes servers, three times, is not refused for it.
#[test]
fn crashes_that_another_request_explains_leave_one_server_at_a_time() {
    let told = |fingerprint, instances: &[u8]| CrashRecord {
        fingerprint: Fingerprint(fingerprint),
        ..record(instances, false)
    };
    let beside = learnt(&[told(1, &[1, 2, 3, 4]), told(2, &[2, 3, 4])]);
    let caution = |quarantine: &Quarantine, fingerprint| {
        quarantine.caution(Timestamp::ZERO, Fingerprint(fingerprint))
    };
    assert_eq!(caution(&beside, 1), Caution::Refuse);
    assert_eq!(caution(&beside, 2), Caution::OneAtATime);
    let both = learnt(&[told(1, &[1, 2, 3, 4]), told(2, &[2, 3, 5])]);
    assert_eq!(caution(&both, 2), Caution::Refuse);
    let alike = learnt(&[told(1, &[1, 2, 3]), told(2, &[1, 2, 3])]);
    assert_eq!(caution(&alike, 1), Caution::Refuse);
    assert_eq!(caution(&alike, 2), Caution::Refuse);
}

#[test]
fn a_search_is_not_suspected_once_a_shard_answered() {
    let mut harness = node();
    let caller = harness.ask("/search/1");
    let sent = harness.sent_for(caller);
    harness.reply(sent[0].attempt, answer(RECORD));
    for attempt in &sent[1..] {
        breaks(&mut harness, attempt.attempt);
    }
    harness.wait(millis(5));
    let again = harness.sent_for(caller).len() - sent.len();
    assert_eq!(again, sent.len() - 1, "all are sent again at once");
}

#[test]
fn an_answer_clears_it_while_it_is_tested() {
    let mut harness = node();
    let caller = harness.ask("/search/1");
    let sent = harness.sent_for(caller);
    for attempt in &sent {
        breaks(&mut harness, attempt.attempt);
    }
    let tested = harness.sent_for(caller);
    assert_eq!(tested.len(), sent.len() + 1, "one at a time");
    harness.reply(tested[sent.len()].attempt, answer(RECORD));
    harness.wait(millis(5));
    assert_eq!(harness.sent_for(caller).len(), 2 * sent.len());
}

#[test]
fn a_request_that_peers_told_of_is_refused_as_not_run() {
    let mut harness = node();
    let fingerprint = Fingerprint(1);
    let told = CrashRecord {
        fingerprint,
        ..record(&[1, 2, 3], false)
    };
    harness.quarantine_message(peer(1), vec![told]);
    let caller = harness.ask("/search/1");
    let crashes = RefusalReason::CrashesServers;
    let expected = Some((crashes, RefusalPromise::NotRun));
    assert_eq!(refusal(&harness, caller), expected);
    assert!(harness.sent_for(caller).is_empty());
    let back = harness.comes_back(caller).expect("a time to come back");
    assert!(back > Duration::from_secs(170), "{back:?}");
}

#[test]
fn crashes_that_two_nodes_saw_are_added_up() {
    let quarantine = learnt(&[record(&[1, 2], false), record(&[2, 3], false)]);
    let caution = quarantine.caution(Timestamp::ZERO, REQUEST);
    assert_eq!(caution, Caution::Refuse);
}

#[test]
fn one_server_may_get_it_when_it_was_kept_for_long_enough() {
    let mut quarantine = learnt(&[record(&[1, 2, 3], false)]);
    let kept = QuarantineParameters::default().kept;
    let mut random = rand::SeedableRng::seed_from_u64(1);
    let later = Timestamp::ZERO + kept;
    quarantine.timer_due(later, &mut random, &mut VecDeque::new());
    assert_eq!(quarantine.caution(later, REQUEST), Caution::OneAtATime);
    quarantine.crashed(later, REQUEST, &BackEndId::new("i-4"));
    let tested = QuarantineParameters::default().testing;
    let caution = quarantine.caution(later + tested, REQUEST);
    assert_eq!(caution, Caution::Refuse);
}

#[test]
fn a_flood_of_suspicions_pushes_no_quarantine_out() {
    let mut quarantine = learnt(&[record(&[1, 2, 3], false)]);
    let most = QuarantineParameters::default().records_maximum as u128;
    for number in 0..2 * most {
        let now = Timestamp::ZERO + Duration::from_millis(number as u64);
        quarantine.crashed(now, Fingerprint(1_000 + number), &BackEndId::new("i-9"));
    }
    let caution = quarantine.caution(Timestamp::ZERO, REQUEST);
    assert_eq!(caution, Caution::Refuse);
    assert_eq!(quarantine.len() as u128, most);
}

fn records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let instances = prop::collection::vec(0_u8..6, 0..4);
    let one = (instances, prop::bool::weighted(0.1));
    let one = one.prop_map(|(instances, cleared)| record(&instances, cleared));
    prop::collection::vec(one, 1..6)
}

proptest! {
    /// Whatever order they come in, and how often: cleared by one answer, else refused from three
    /// instances on.
    #[test]
    fn records_can_be_taken_in_any_order(told in records(), order in any::<u64>()) {
        let mut mixed = told.clone();
        mixed.extend(told.iter().cloned());
        let shift = order as usize % mixed.len();
        mixed.rotate_left(shift);
        let distinct: BTreeSet<&BackEndId> = told.iter().flat_map(|told| &told.instances).collect();
        let expected = match (told.iter().any(|told| told.cleared), distinct.len()) {
            (true, _) => Caution::None,
            (false, 0..3) => Caution::OneAtATime,
            (false, _) => Caution::Refuse,
        };
        let quarantine = learnt(&mixed);
        prop_assert_eq!(quarantine.caution(Timestamp::ZERO, REQUEST), expected);
    }
}

#[test]
fn a_plain_request_is_sent_to_one_server_at_a_time_after_a_crash() {
    let plain = route("/one/", service("plain"), Repeatability::Repeatable);
    let servers = [("p-0", "plain"), ("p-1", "plain"), ("p-2", "plain")];
    let mut harness = Harness::serving(vec![plain], &servers);
    let caller = harness.ask("/one/1");
    let first = harness.sent_for(caller)[0].attempt;
    breaks(&mut harness, first);
    harness.wait(millis(1_000));
    assert_eq!(
        harness.sent_for(caller).len(),
        2,
        "no second attempt beside it"
    );
}

/// Many callers send the same; all servers end at one moment.
#[test]
fn a_request_that_was_answered_lately_is_not_suspected() {
    let mut quarantine = learnt(&[]);
    let answered = Timestamp::ZERO + Duration::from_secs(1);
    quarantine.answered(answered, REQUEST);
    let soon = answered + Duration::from_secs(2);
    for index in 0..5 {
        quarantine.crashed(soon, REQUEST, &BackEndId::new(format!("i-{index}")));
    }
    assert_eq!(quarantine.caution(soon, REQUEST), Caution::None);
}

#[test]
fn a_request_that_was_answered_long_ago_may_crash_servers_now() {
    let mut quarantine = learnt(&[record(&[1], true)]);
    quarantine.answered(Timestamp::ZERO, REQUEST);
    let later = Timestamp::ZERO + QuarantineParameters::default().answered_lifetime;
    for index in 2..5 {
        quarantine.crashed(later, REQUEST, &BackEndId::new(format!("i-{index}")));
    }
    let tested = later + QuarantineParameters::default().testing;
    assert_eq!(quarantine.caution(tested, REQUEST), Caution::Refuse);
}

#[test]
fn peers_are_believed_again_long_after_a_request_was_cleared() {
    let mut quarantine = learnt(&[record(&[1], true)]);
    let later = Timestamp::ZERO + QuarantineParameters::default().answered_lifetime;
    quarantine.learnt(later, &mut VecDeque::new(), &record(&[2, 3, 4], false));
    assert_eq!(quarantine.caution(later, REQUEST), Caution::Refuse);
}

#[test]
fn what_peers_tell_of_a_request_that_was_answered_lately_is_refuted() {
    let mut quarantine = learnt(&[]);
    quarantine.answered(Timestamp::ZERO, REQUEST);
    quarantine.learnt(
        Timestamp::ZERO,
        &mut VecDeque::new(),
        &record(&[1, 2, 3], false),
    );
    assert_eq!(quarantine.caution(Timestamp::ZERO, REQUEST), Caution::None);
}
