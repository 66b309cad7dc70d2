//! Single rules of routing.

use super::fixture::*;
use super::harness::Harness;
use crate::routing::RoutingParameters;
use crate::{AttemptFailure, Signal};
use assert_matches::assert_matches;
use std::time::Duration;
use thornbridge_proto::back_end::{LoadReport, Readiness, ReplyOutcome};
use thornbridge_proto::peer::health::HealthRecord;
use thornbridge_proto::{BackEndId, NodeId};

fn pair() -> (Harness, [BackEndId; 2]) {
    let bundle = bundle(1, 2, CONNECTIONS, MAXIMUM_NODES);
    let mut harness = Harness::new(RoutingParameters::default(), bundle, 2);
    harness.pass(Duration::from_millis(10));
    harness.open_all();
    (harness, [id(0, 0), id(0, 1)])
}

/// Runs `count` attempts one after the other; gives how many went to the first replica.
fn run(
    harness: &mut Harness,
    count: usize,
    mut answer: impl FnMut(&mut Harness, &BackEndId) -> (Duration, LoadReport),
) -> usize {
    let replicas = [id(0, 0), id(0, 1)];
    let mut first = 0;
    for _ in 0..count {
        let chosen = harness.choose(&replicas).expect("has a replica");
        first += usize::from(chosen == replicas[0]);
        let attempt = harness.dispatch(&chosen);
        harness.open_all();
        let (time, load) = answer(harness, &chosen);
        harness.pass(time);
        harness.reply(attempt, Harness::hits(), Some(load));
    }
    first
}

fn busy(running: u32) -> LoadReport {
    LoadReport {
        running,
        slots: 4,
        ..LoadReport::default()
    }
}

/// A back end that always reports no load, beside an honest busy one of the same speed, attracts
/// at most three quarters of the work.
#[test]
fn a_lying_report_attracts_a_bounded_share() {
    let (mut harness, [liar, _]) = pair();
    let first = run(&mut harness, 2000, |_, chosen| {
        let load = if *chosen == liar { busy(0) } else { busy(8) };
        (Duration::from_millis(5), load)
    });
    assert!(first <= 1600, "{first} of 2000");
}

/// A back end that is slow gets little, although it reports no load and the other reports much.
#[test]
fn a_lying_report_does_not_hide_slowness() {
    let (mut harness, [liar, _]) = pair();
    let first = run(&mut harness, 1000, |_, chosen| {
        if *chosen == liar {
            (Duration::from_millis(40), busy(0))
        } else {
            (Duration::from_millis(5), busy(3))
        }
    });
    assert!(first <= 100, "{first} of 1000");
}

/// From the event on, a leaving back end gets nothing: what waited for it ends unsent, and word
/// goes to the peers. A late word of being ready does not bring it back.
#[test]
fn a_leaving_back_end_gets_nothing_more() {
    let (mut harness, [first, second]) = pair();
    let sent = harness.dispatch(&first);
    let others: Vec<_> = (0..3).map(|_| harness.dispatch(&first)).collect();
    harness.open_all();
    harness.reply(sent, ReplyOutcome::Leaving, None);
    assert_matches!(
        harness.signals.pop_back(),
        Some(Signal::BackEndObserved(record)) if record.readiness == Readiness::Leaving
    );
    let on_wire = others
        .iter()
        .filter(|id| harness.open.contains_key(id))
        .count();
    assert_eq!(on_wire, 1, "one had a connection, the others ended");
    let late = others
        .into_iter()
        .find(|id| harness.open.contains_key(id))
        .unwrap();
    harness.reply(late, Harness::hits(), Some(busy(1)));
    assert_eq!(harness.choose(std::slice::from_ref(&first)), None);
    assert_eq!(harness.choose(&[first, second.clone()]), Some(second));
}

/// A peer's newer word that a back end is ready again counts, but not right after it was seen
/// leaving: such a word may be older than what this node saw.
#[test]
fn a_back_end_that_left_comes_back_later() {
    let (mut harness, [first, _]) = pair();
    let record = |readiness, version| HealthRecord {
        back_end: id(0, 0),
        reachable: true,
        readiness,
        snapshots: None,
        observer: NodeId(2),
        version,
    };
    for (version, back) in [(5, false), (6, true)] {
        let leaving = record(Readiness::Leaving, 5);
        harness.call(|router, context| router.health_learnt(context, &leaving));
        let ready = record(Readiness::Ready, version);
        harness.call(|router, context| router.health_learnt(context, &ready));
        assert!(!harness.router.is_healthy(&first));
        harness.pass(Duration::from_secs(7));
        assert_eq!(harness.router.is_healthy(&first), back, "version {version}");
    }
}

/// However many fail, one replica of each shard and most of a service are never ejected.
#[test]
fn ejection_has_a_cap() {
    let bundle = bundle(4, 2, CONNECTIONS, MAXIMUM_NODES);
    let mut harness = Harness::new(RoutingParameters::default(), bundle, 2);
    harness.pass(Duration::from_millis(10));
    harness.open_all();
    for _ in 0..20 {
        for back_end in (0..4).flat_map(|shard| [id(shard, 0), id(shard, 1)]) {
            let attempt = harness.dispatch(&back_end);
            harness.open_all();
            let failed = ReplyOutcome::Failed {
                detail: String::new(),
            };
            harness.reply(attempt, failed, None);
        }
    }
    let ejected = harness.router.back_end_status();
    assert_eq!(ejected.len(), 2, "three tenths of eight: {ejected:?}");
    assert!(harness.router.counters().ejections_denied > 0);
    for shard in 0..4 {
        let sound = (0..2).filter(|replica| harness.router.is_healthy(&id(shard, *replica)));
        assert!(sound.count() >= 1, "shard {shard}");
    }
}

/// An ejected back end comes back, and gets its share gradually.
#[test]
fn an_ejected_back_end_returns_gradually() {
    let (mut harness, [first, second]) = pair();
    for _ in 0..5 {
        let attempt = harness.dispatch(&first);
        harness.open_all();
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
    harness.pass(Duration::from_secs(6));
    assert!(harness.router.is_healthy(&replicas[0]));
    let chosen: Vec<_> = (0..200).filter_map(|_| harness.choose(&replicas)).collect();
    let share = chosen
        .iter()
        .filter(|chosen| **chosen == replicas[0])
        .count();
    assert!((1..60).contains(&share), "{share} of 200");
}

/// A broken connection fails its own attempt; those that wait are served by another one. An
/// attempt of which no byte left is moved, without a word to its owner.
#[test]
fn a_lost_connection_fails_only_what_it_must() {
    let (mut harness, [first, _]) = pair();
    let attempts: Vec<_> = (0..3).map(|_| harness.dispatch(&first)).collect();
    harness.open_all();
    let (broken, _) = harness.sent[&attempts[0]].clone();
    harness.lose(broken, AttemptFailure::ConnectionBroken);
    assert!(!harness.open.contains_key(&attempts[0]));
    assert!(harness.open.contains_key(&attempts[2]), "still waits");
    let (stale, _) = harness.sent[&attempts[1]].clone();
    harness.open_all();
    harness.lose(stale, AttemptFailure::NotSent);
    assert!(harness.open.contains_key(&attempts[1]), "moved");
    harness.open_all();
    harness.reply(attempts[2], Harness::hits(), None);
    harness.reply(attempts[1], Harness::hits(), None);
}

/// A back end that cannot be connected to fails what waits at once, is tried again with pauses,
/// and is used again once it answers.
#[test]
fn an_unreachable_back_end_is_tried_again() {
    let (mut harness, [first, second]) = pair();
    for connection in harness.links_to(&first) {
        harness.lose(connection, AttemptFailure::ConnectionBroken);
    }
    harness.dispatch(&first);
    let refused = harness.links_to(&first);
    assert_eq!(refused.len(), 1);
    harness.lose(refused[0], AttemptFailure::NotSent);
    assert_eq!(harness.open.len(), 0);
    let replicas = [first.clone(), second.clone()];
    assert_eq!(harness.choose(&replicas), Some(second));
    assert_matches!(
        harness.signals.pop_back(),
        Some(Signal::BackEndObserved(record)) if !record.reachable
    );
    harness.pass(Duration::from_millis(60));
    harness.open_all();
    assert!(harness.router.is_healthy(&first));
}

/// The late reply of a cancelled attempt frees its connection for the next one.
#[test]
fn a_cancelled_attempt_keeps_its_connection_in_use() {
    let (mut harness, [first, _]) = pair();
    let attempts: Vec<_> = (0..3).map(|_| harness.dispatch(&first)).collect();
    harness.open_all();
    harness.cancel(attempts[0]);
    assert_eq!(harness.router.in_flight_at(&first), 3);
    assert!(!harness.sent.contains_key(&attempts[2]));
    harness.reply(attempts[0], ReplyOutcome::Cancelled, None);
    assert!(harness.sent.contains_key(&attempts[2]));
    assert_eq!(harness.links_to(&first).len(), SHARE);
}

/// A back end that accepts and never answers does not hold a connection for ever.
#[test]
fn a_silent_back_end_loses_its_connection() {
    let (mut harness, [first, _]) = pair();
    let attempt = harness.dispatch(&first);
    harness.cancel(attempt);
    harness.pass(Duration::from_millis(1100));
    assert_eq!(harness.router.attempts_in_flight(), 0);
    assert_eq!(harness.router.counters().attempts_abandoned, 1);
}

/// A reply with another attempt's echoes is not an answer, and its connection is not trusted.
#[test]
fn a_foreign_reply_is_a_failure() {
    let (mut harness, [first, _]) = pair();
    let attempt = harness.dispatch(&first);
    harness.sent.get_mut(&attempt).unwrap().1.request.sequence += 1;
    let closed = harness.router.counters().connections_closed;
    harness.reply(attempt, Harness::hits(), None);
    assert_eq!(harness.router.counters().replies_foreign, 1);
    assert_eq!(harness.router.counters().connections_closed, closed + 1);
}
