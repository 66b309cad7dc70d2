//! Scenarios of routing with one fault or condition each.

use super::fixture::*;
use super::harness::Harness;
use crate::routing::RoutingParameters;
use crate::{AttemptFailure, Signal};
use assert_matches::assert_matches;
use std::time::Duration;
use thornbridge_proto::back_end::{LoadReport, Readiness, ReplyOutcome};
use thornbridge_proto::peer::health::HealthRecord;
use thornbridge_proto::{BackEndId, NodeId};

fn harness_with_two_replicas() -> (Harness, [BackEndId; 2]) {
    let bundle = bundle(1, 2, CONNECTIONS, MAXIMUM_NODES);
    let mut harness = Harness::new(RoutingParameters::default(), bundle, 2);
    harness.advance_time(Duration::from_millis(10));
    harness.open_connections();
    (harness, [back_end_id(0, 0), back_end_id(0, 1)])
}

/// Runs `count` attempts in sequence; returns the number sent to the first replica.
fn run_attempts(
    harness: &mut Harness,
    count: usize,
    mut answer: impl FnMut(&mut Harness, &BackEndId) -> (Duration, LoadReport),
) -> usize {
    let replicas = [back_end_id(0, 0), back_end_id(0, 1)];
    let mut sent_to_first = 0;
    for _ in 0..count {
        let chosen = harness.choose(&replicas).expect("a replica is available");
        sent_to_first += usize::from(chosen == replicas[0]);
        let attempt = harness.dispatch(&chosen);
        harness.open_connections();
        let (time, load) = answer(harness, &chosen);
        harness.advance_time(time);
        harness.reply(attempt, Harness::hits_outcome(), Some(load));
    }
    sent_to_first
}

fn load_report(running: u32) -> LoadReport {
    LoadReport {
        running,
        slots: 4,
        ..LoadReport::default()
    }
}

/// A back end that reports no load attracts a bounded share, with a busy one of the same latency.
#[test]
fn understated_load_attracts_bounded_share() {
    let (mut harness, [understating, _]) = harness_with_two_replicas();
    let sent = run_attempts(&mut harness, 2000, |_, chosen| {
        let load = if *chosen == understating {
            load_report(0)
        } else {
            load_report(8)
        };
        (Duration::from_millis(5), load)
    });
    assert!(sent <= 1600, "{sent} of 2000 attempts sent");
}

/// A slow back end that reports no load gets few attempts.
#[test]
fn understated_load_does_not_hide_latency() {
    let (mut harness, [understating, _]) = harness_with_two_replicas();
    let sent = run_attempts(&mut harness, 1000, |_, chosen| {
        if *chosen == understating {
            (Duration::from_millis(40), load_report(0))
        } else {
            (Duration::from_millis(5), load_report(3))
        }
    });
    assert!(sent <= 100, "{sent} of 1000 attempts sent");
}

/// After a back end reports leaving, its waiting attempts fail unsent and peers are notified. An
/// older report of readiness that arrives late is ignored.
#[test]
fn leaving_back_end_gets_no_attempts() {
    let (mut harness, [first, second]) = harness_with_two_replicas();
    let sent = harness.dispatch(&first);
    let later: Vec<_> = (0..3).map(|_| harness.dispatch(&first)).collect();
    harness.open_connections();
    harness.reply(sent, ReplyOutcome::Leaving, None);
    assert_matches!(
        harness.signals.pop_back(),
        Some(Signal::BackEndObserved(record)) if record.readiness == Readiness::Leaving
    );
    let sent_later = later
        .iter()
        .filter(|id| harness.attempts.contains_key(id))
        .count();
    assert_eq!(sent_later, 1, "only the attempt with a connection remains");
    let late = later
        .into_iter()
        .find(|id| harness.attempts.contains_key(id))
        .unwrap();
    harness.reply(late, Harness::hits_outcome(), Some(load_report(1)));
    assert_eq!(harness.choose(std::slice::from_ref(&first)), None);
    assert_eq!(harness.choose(&[first, second.clone()]), Some(second));
}

/// A newer record of readiness is applied only some time after the back end was seen leaving,
/// since the record may describe an earlier state.
#[test]
fn readiness_after_leaving_is_deferred() {
    let (mut harness, [first, _]) = harness_with_two_replicas();
    let record = |readiness, version| HealthRecord {
        back_end: back_end_id(0, 0),
        reachable: true,
        readiness,
        snapshots: None,
        observer: NodeId(2),
        version,
    };
    for (version, healthy) in [(5, false), (6, true)] {
        let leaving = record(Readiness::Leaving, 5);
        harness.call(|router, context| router.apply_health_record(context, &leaving));
        let ready = record(Readiness::Ready, version);
        harness.call(|router, context| router.apply_health_record(context, &ready));
        assert!(!harness.router.is_healthy(&first));
        harness.advance_time(Duration::from_secs(7));
        assert_eq!(
            harness.router.is_healthy(&first),
            healthy,
            "version {version}"
        );
    }
}

/// With all back ends failing, one replica of each shard and most of the service stay unejected.
#[test]
fn ejections_are_capped() {
    let bundle = bundle(4, 2, CONNECTIONS, MAXIMUM_NODES);
    let mut harness = Harness::new(RoutingParameters::default(), bundle, 2);
    harness.advance_time(Duration::from_millis(10));
    harness.open_connections();
    for _ in 0..20 {
        for back_end in (0..4).flat_map(|shard| [back_end_id(shard, 0), back_end_id(shard, 1)]) {
            let attempt = harness.dispatch(&back_end);
            harness.open_connections();
            let failed = ReplyOutcome::Failed {
                detail: String::new(),
            };
            harness.reply(attempt, failed, None);
        }
    }
    let ejected = harness.router.back_end_status();
    assert_eq!(
        ejected.len(),
        2,
        "expected 2 of 8 back ends ejected: {ejected:?}"
    );
    assert!(harness.router.counters().ejections_denied > 0);
    for shard in 0..4 {
        let healthy =
            (0..2).filter(|replica| harness.router.is_healthy(&back_end_id(shard, *replica)));
        assert!(healthy.count() >= 1, "no healthy replica of shard {shard}");
    }
}

/// A back end gets few attempts at first after its ejection.
#[test]
fn ejected_back_end_returns_with_slow_start() {
    let (mut harness, [first, second]) = harness_with_two_replicas();
    for _ in 0..5 {
        let attempt = harness.dispatch(&first);
        harness.open_connections();
        harness.reply(
            attempt,
            ReplyOutcome::Failed {
                detail: String::new(),
            },
            None,
        );
    }
    assert!(!harness.router.is_healthy(&first));
    let replicas = [first, second.clone()];
    assert_eq!(harness.choose(&replicas), Some(second));
    harness.advance_time(Duration::from_secs(6));
    assert!(harness.router.is_healthy(&replicas[0]));
    let chosen: Vec<_> = (0..200).filter_map(|_| harness.choose(&replicas)).collect();
    let share = chosen
        .iter()
        .filter(|chosen| **chosen == replicas[0])
        .count();
    assert!((1..60).contains(&share), "{share} of 200 choices");
}

/// A broken connection fails its own attempt only. An attempt of which no byte was sent is moved to
/// another connection.
#[test]
fn lost_connection_fails_only_its_attempt() {
    let (mut harness, [first, _]) = harness_with_two_replicas();
    let attempts: Vec<_> = (0..3).map(|_| harness.dispatch(&first)).collect();
    harness.open_connections();
    let (broken, _) = harness.sent[&attempts[0]].clone();
    harness.break_connection(broken, AttemptFailure::ConnectionBroken);
    assert!(!harness.attempts.contains_key(&attempts[0]));
    assert!(
        harness.attempts.contains_key(&attempts[2]),
        "waiting attempt failed"
    );
    let (unsent, _) = harness.sent[&attempts[1]].clone();
    harness.open_connections();
    harness.break_connection(unsent, AttemptFailure::NotSent);
    assert!(
        harness.attempts.contains_key(&attempts[1]),
        "unsent attempt was not moved"
    );
    harness.open_connections();
    harness.reply(attempts[2], Harness::hits_outcome(), None);
    harness.reply(attempts[1], Harness::hits_outcome(), None);
}

/// Waiting attempts fail at once when a back end cannot be connected to; it is used again after a
/// reconnect.
#[test]
fn unreachable_back_end_is_reconnected() {
    let (mut harness, [first, second]) = harness_with_two_replicas();
    for connection in harness.connections_to(&first) {
        harness.break_connection(connection, AttemptFailure::ConnectionBroken);
    }
    harness.dispatch(&first);
    let refused = harness.connections_to(&first);
    assert_eq!(refused.len(), 1);
    harness.break_connection(refused[0], AttemptFailure::NotSent);
    assert_eq!(harness.attempts.len(), 0);
    let replicas = [first.clone(), second.clone()];
    assert_eq!(harness.choose(&replicas), Some(second));
    assert_matches!(
        harness.signals.pop_back(),
        Some(Signal::BackEndObserved(record)) if !record.reachable
    );
    harness.advance_time(Duration::from_millis(60));
    harness.open_connections();
    assert!(harness.router.is_healthy(&first));
}

/// A connection is reused only after the reply to its cancelled attempt.
#[test]
fn cancelled_attempt_occupies_connection_until_reply() {
    let (mut harness, [first, _]) = harness_with_two_replicas();
    let attempts: Vec<_> = (0..3).map(|_| harness.dispatch(&first)).collect();
    harness.open_connections();
    harness.cancel(attempts[0]);
    assert_eq!(harness.router.in_flight_at(&first), 3);
    assert!(!harness.sent.contains_key(&attempts[2]));
    harness.reply(attempts[0], ReplyOutcome::Cancelled, None);
    assert!(harness.sent.contains_key(&attempts[2]));
    assert_eq!(harness.connections_to(&first).len(), CONNECTION_SHARE);
}

/// A cancelled attempt without a reply does not occupy its connection forever.
#[test]
fn unanswered_cancellation_closes_connection() {
    let (mut harness, [first, _]) = harness_with_two_replicas();
    let attempt = harness.dispatch(&first);
    harness.cancel(attempt);
    harness.advance_time(Duration::from_millis(1100));
    assert_eq!(harness.router.attempts_in_flight(), 0);
    assert_eq!(harness.router.counters().attempts_abandoned, 1);
}

/// A reply that echoes other ids fails the attempt and closes the connection.
#[test]
fn reply_with_wrong_ids_fails_attempt() {
    let (mut harness, [first, _]) = harness_with_two_replicas();
    let attempt = harness.dispatch(&first);
    harness.sent.get_mut(&attempt).unwrap().1.request.sequence += 1;
    let closed = harness.router.counters().connections_closed;
    harness.reply(attempt, Harness::hits_outcome(), None);
    assert_eq!(harness.router.counters().replies_foreign, 1);
    assert_eq!(harness.router.counters().connections_closed, closed + 1);
}
