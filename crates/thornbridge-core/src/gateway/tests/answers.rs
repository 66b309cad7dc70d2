//! When requests are answered, and with what.

use super::support::{Harness, SentAttempt, answer, gather, millis, route, service, verdict};
use crate::gateway::{
    ExchangeFailure, GatewayAnswer, GatewayEvent, InvalidReply, RefusalStatus, ReplyVerdict,
    ServerReply,
};
use thornbridge_config::routes::Repeatability::{AtMostOnce, Repeatable};

const ONE: &[u8] = b"0000000000000001";
const TWO: &[u8] = b"0000000000000002";
const THREE: &[u8] = b"0000000000000003";

fn gather_over_three_shards(least_share: f64) -> Harness {
    let target = gather(&["a", "b", "c"], least_share);
    let servers = [("a1", "a"), ("b1", "b"), ("c1", "c")];
    Harness::serving(vec![route("/", target, Repeatable)], &servers)
}

#[test]
fn gather_is_answered_when_all_parts_answered() {
    let mut harness = gather_over_three_shards(0.5);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    for (attempt, body) in sent.iter().zip([ONE, THREE, TWO]) {
        assert!(!harness.answers.contains_key(&caller));
        harness.reply(attempt.attempt, answer(body));
    }
    let GatewayAnswer::Gathered {
        missing, records, ..
    } = &harness.answers[&caller]
    else {
        panic!("{:?}", harness.answers[&caller]);
    };
    assert_eq!((*missing, &records[..]), (0, &[THREE, TWO].concat()[..]));
}

#[test]
fn gather_with_enough_parts_is_answered_at_soft_deadline() {
    let mut harness = gather_over_three_shards(0.6);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    harness.reply(sent[0].attempt, answer(ONE));
    harness.reply(sent[2].attempt, answer(TWO));
    harness.advance(millis(85));
    assert!(!harness.answers.contains_key(&caller));
    harness.advance(millis(10));
    assert!(matches!(
        harness.answers[&caller],
        GatewayAnswer::Gathered { missing: 1, .. }
    ));
}

#[test]
fn gather_with_too_few_parts_continues_past_soft_deadline() {
    let mut harness = gather_over_three_shards(0.9);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    harness.reply(sent[0].attempt, answer(ONE));
    harness.advance(millis(300));
    assert!(!harness.answers.contains_key(&caller));
    harness.reply(sent[1].attempt, answer(ONE));
    harness.reply(sent[2].attempt, answer(ONE));
    assert!(matches!(
        harness.answers[&caller],
        GatewayAnswer::Gathered { missing: 0, .. }
    ));
}

#[test]
fn gather_without_enough_reachable_parts_is_refused_at_once() {
    let mut harness = gather_over_three_shards(0.9);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    harness.reply(
        sent[0].attempt,
        verdict(ReplyVerdict::Invalid(InvalidReply::OtherRequest)),
    );
    assert_eq!(
        harness.refusal_status(caller),
        Some(RefusalStatus::MayHaveRun)
    );
}

#[test]
fn failure_of_any_status_is_no_part_of_a_gather() {
    for status in [304, 404, 429, 500] {
        let target = gather(&["a", "b"], 0.5);
        let servers = [("a1", "a"), ("a2", "a"), ("b1", "b")];
        let mut harness = Harness::serving(vec![route("/", target, Repeatable)], &servers);
        let caller = harness.send_request("/x");
        let sent = harness.sent_for(caller);
        let failure = ServerReply {
            status,
            ..answer(THREE)
        };
        harness.reply(sent[0].attempt, failure);
        harness.reply(sent[1].attempt, answer(ONE));
        let retries = harness.sent_for(caller).split_off(2);
        assert_eq!(retries.len(), 1, "{status}");
        harness.reply(retries[0].attempt, answer(TWO));
        let GatewayAnswer::Gathered {
            missing, records, ..
        } = &harness.answers[&caller]
        else {
            panic!("{status}: {:?}", harness.answers[&caller]);
        };
        assert_eq!((*missing, &records[..]), (0, &[TWO, ONE].concat()[..]));
    }
}

#[test]
fn request_is_refused_at_time_limit() {
    let mut harness = gather_over_three_shards(0.9);
    let caller = harness.send_request("/x");
    harness.advance(millis(1_001));
    assert_eq!(
        harness.refusal_status(caller),
        Some(RefusalStatus::TimedOut)
    );
    // Attempts in flight are cancelled after the grace period.
    harness.advance(millis(400));
    assert_eq!(harness.closed.len(), 3);
}

#[test]
fn attempts_of_departed_caller_are_cancelled_after_grace() {
    let mut harness = gather_over_three_shards(0.9);
    let caller = harness.send_request("/x");
    harness.event(GatewayEvent::CallerDisconnected { caller });
    harness.advance(millis(100));
    assert!(
        harness.closed.is_empty(),
        "cancelled before the grace period ended"
    );
    harness.advance(millis(300));
    assert_eq!(harness.closed.len(), 3);
    assert!(!harness.answers.contains_key(&caller));
}

#[test]
fn at_most_once_request_is_not_retried_after_sending() {
    let routes = vec![route("/", service("s"), AtMostOnce)];
    let mut harness = Harness::serving(routes, &[("s1", "s"), ("s2", "s")]);
    for _ in 0..4 {
        let answered = harness.send_request("/x");
        let sent = harness.sent_for(answered);
        harness.reply(sent[0].attempt, answer(ONE));
    }
    let caller = harness.send_request("/x");
    let attempt = harness.sent_for(caller)[0].attempt;
    let failure = ExchangeFailure::MayHaveRun;
    harness.event(GatewayEvent::Failed { attempt, failure });
    assert_eq!(harness.sent_for(caller).len(), 1);
    assert_eq!(
        harness.refusal_status(caller),
        Some(RefusalStatus::MayHaveRun)
    );
}

#[test]
fn rejected_request_is_retried_on_another_server() {
    for reply in [ReplyVerdict::NotRun, ReplyVerdict::WrongInstance] {
        let routes = vec![route("/", service("s"), AtMostOnce)];
        let mut harness = Harness::serving(routes, &[("s1", "s"), ("s2", "s")]);
        let caller = harness.send_request("/x");
        let first = harness.sent_for(caller)[0].clone();
        harness.reply(first.attempt, verdict(reply));
        let sent = harness.sent_for(caller);
        assert_eq!(sent.len(), 2, "{reply:?}");
        assert_ne!(sent[1].instance, first.instance);
        harness.reply(sent[1].attempt, answer(ONE));
        assert!(matches!(
            harness.answers[&caller],
            GatewayAnswer::Forwarded { status: 200, .. }
        ));
    }
}

#[test]
fn late_reply_to_finished_request_is_ignored() {
    let mut harness = gather_over_three_shards(0.3);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    harness.reply(sent[0].attempt, answer(ONE));
    harness.advance(millis(100));
    let before = harness.answers[&caller].clone();
    harness.reply(sent[1].attempt, answer(TWO));
    assert_eq!(harness.answers[&caller], before);
}

#[test]
fn attempts_carry_remaining_time() {
    let mut harness = gather_over_three_shards(0.9);
    let caller = harness.send_request("/x");
    let sent = harness.sent_for(caller);
    assert!(sent.iter().all(|sent| sent.caller_timeout <= millis(1_000)));
    let second_caller = harness.send_request("/x");
    harness.advance(millis(400));
    let later_attempts = harness.sent_for(second_caller);
    assert!(
        later_attempts
            .iter()
            .skip(3)
            .all(|sent| sent.caller_timeout <= millis(620))
    );
}

#[test]
fn unsent_part_waits_for_connection() {
    let routes = vec![route("/all/", gather(&["a", "b"], 1.0), Repeatable)];
    let mut harness = Harness::serving(routes, &[("i-1", "a"), ("i-2", "b")]);
    let caller = harness.send_request("/all/x");
    let first = harness.sent_for(caller);
    let attempt = |sent: &[SentAttempt], id: &str| {
        let found = sent.iter().rev().find(|sent| sent.instance == id);
        found.expect("an attempt").attempt
    };
    harness.reply(attempt(&first, "i-2"), answer(b"0000000000000002"));
    // The server of the other shard has closed the connection.
    harness.event(GatewayEvent::Failed {
        attempt: attempt(&first, "i-1"),
        failure: ExchangeFailure::NotSent,
    });
    assert!(!harness.answers.contains_key(&caller));
    harness.advance(millis(500));
    let again = harness.sent_for(caller);
    assert!(again.len() > first.len(), "{again:?}");
    harness.reply(attempt(&again, "i-1"), answer(b"0000000000000001"));
    let gathered = &harness.answers[&caller];
    assert!(matches!(
        gathered,
        GatewayAnswer::Gathered { missing: 0, .. }
    ));
}

#[test]
fn request_rejected_by_every_server_is_refused_at_once() {
    let routes = vec![route("/", service("a"), Repeatable)];
    let mut harness = Harness::serving(routes, &[("i-1", "a")]);
    let caller = harness.send_request("/x");
    let attempt = harness.sent_for(caller)[0].attempt;
    harness.reply(attempt, verdict(ReplyVerdict::NotRun));
    assert_eq!(harness.refusal_status(caller), Some(RefusalStatus::NotRun));
}
