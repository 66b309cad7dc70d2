//! Companions: a version on trial is seen with two requests at once.

use super::support::{Harness, RECORD, answer, route, service, verdict};
use super::trial_support::{
    ROUTE, SERVICE, answered_request, grant, grant_companions, holding_connects, on_trial, reports,
    servers_of, serving_route, trial,
};
use crate::driver_action::CallerId;
use crate::gateway::{ExchangeFailure, GatewayAnswer, GatewayEvent, ReplyVerdict};
use assert_matches::assert_matches;
use std::time::Duration;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::AttemptId;
use thornbridge_proto::peer::rollout::Outcomes;

/// Sends requests and answers their attempts after a time.
fn answer_requests(harness: &mut Harness, requests: usize, after: Duration) {
    let callers: Vec<CallerId> = (0..requests).map(|_| harness.send_request("/x")).collect();
    harness.advance(after);
    for caller in callers {
        for sent in harness.sent_for(caller) {
            harness.reply(sent.attempt, answer(RECORD));
        }
    }
}

/// Trial whose next request has an idle connection for a companion, which the budget allows. Answers
/// usually take this time.
fn trial_with_answers_after(usual: Duration) -> Harness {
    let mut harness = trial();
    for _ in 0..40 {
        answer_requests(&mut harness, 1, usual);
    }
    grant(&mut harness, 2);
    answer_requests(&mut harness, 2, usual);
    harness
}

fn ready_trial() -> Harness {
    let mut harness = trial_with_answers_after(Duration::ZERO);
    let _ = reports(&mut harness);
    harness
}

/// Sends a request with a companion; returns both attempts.
fn send_pair(harness: &mut Harness) -> (CallerId, [AttemptId; 2]) {
    grant(harness, 1);
    grant_companions(harness, 1);
    let caller = harness.send_request("/x");
    assert_eq!(servers_of(harness, caller), ["new-1", "new-1"]);
    let sent = harness.sent_for(caller);
    (caller, [sent[0].attempt, sent[1].attempt])
}

/// Guards against a version that fails with two requests at once, and is seen with one only.
#[test]
fn companion_is_sent_to_the_server_of_the_first_attempt() {
    let mut harness = ready_trial();
    let _ = send_pair(&mut harness);
}

#[test]
fn companion_needs_a_permit() {
    let mut harness = ready_trial();
    grant(&mut harness, 2);
    let caller = harness.send_request("/x");
    assert_eq!(servers_of(&harness, caller), ["new-1"]);
}

#[test]
fn request_without_permit_has_no_companion() {
    let mut harness = ready_trial();
    grant_companions(&mut harness, 1);
    let caller = harness.send_request("/x");
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
}

#[test]
fn request_that_may_run_once_has_no_companion() {
    let route = route(ROUTE, service(SERVICE), Repeatability::AtMostOnce);
    let mut harness = serving_route(route, on_trial(), &["old-1", "new-1"]);
    for _ in 0..40 {
        let _ = answered_request(&mut harness);
    }
    grant(&mut harness, 1);
    grant_companions(&mut harness, 1);
    assert_eq!(answered_request(&mut harness), ["new-1"]);
}

/// Guards against companions beyond the budget of extra attempts.
#[test]
fn companion_takes_an_extra_attempt_of_the_budget() {
    let mut harness = ready_trial();
    let service = super::trial_support::service_key(&mut harness);
    let now = harness.now;
    while harness.gateway.budget.try_take(now, service) {}
    grant(&mut harness, 1);
    grant_companions(&mut harness, 1);
    let caller = harness.send_request("/x");
    assert_eq!(servers_of(&harness, caller), ["new-1"]);
}

#[test]
fn companion_waits_for_no_connection() {
    let mut harness = holding_connects(on_trial(), &["old-1", "new-1"]);
    grant(&mut harness, 1);
    grant_companions(&mut harness, 1);
    let caller = harness.send_request("/x");
    harness.open_pending();
    assert!(servers_of(&harness, caller).len() <= 1);
}

#[test]
fn request_and_companion_are_bad_together_if_either_is() {
    let mut harness = ready_trial();
    let (_, [first, companion]) = send_pair(&mut harness);
    harness.reply(first, answer(RECORD));
    harness.reply(companion, verdict(ReplyVerdict::Answer));
    let [route, companions] = reports(&mut harness);
    // Two were answered before.
    assert_eq!(route.trial, Outcomes { good: 3, bad: 1 });
    assert_eq!(companions.trial, Outcomes { good: 0, bad: 1 });
    assert_eq!(route.requests, 1);
}

/// Outcomes, of attempts and of pairs, if both attempts of a pair are answered after a multiple of the usual
/// time.
fn outcomes_after(multiple: u32) -> [Outcomes; 2] {
    const USUAL: Duration = Duration::from_millis(6);
    let mut harness = trial_with_answers_after(USUAL);
    let (_, pair) = send_pair(&mut harness);
    harness.advance(USUAL * multiple);
    for attempt in pair {
        harness.reply(attempt, answer(RECORD));
    }
    reports(&mut harness).map(|report| report.trial)
}

/// Guards against good versions that are condemned because a request and its companion wait for each other.
#[test]
fn waiting_for_the_other_one_is_good() {
    let [attempts, pairs] = outcomes_after(4);
    assert_eq!(attempts, Outcomes { good: 4, bad: 0 });
    assert_eq!(pairs, Outcomes { good: 1, bad: 0 });
}

/// Guards against slow versions that are seen with companions only.
#[test]
fn slowness_of_a_pair_counts_once() {
    let [attempts, pairs] = outcomes_after(10);
    assert_eq!(attempts, Outcomes { good: 2, bad: 1 });
    assert_eq!(pairs, Outcomes { good: 1, bad: 0 });
}

#[test]
fn caller_gets_the_first_good_answer() {
    let mut harness = ready_trial();
    let (caller, [first, companion]) = send_pair(&mut harness);
    harness.reply(first, verdict(ReplyVerdict::Answer));
    harness.reply(companion, answer(RECORD));
    assert_matches!(
        harness.answers.get(&caller),
        Some(GatewayAnswer::Forwarded { status: 200, .. })
    );
}

/// Guards against companions that use up the attempts that other servers are for.
#[test]
fn request_whose_pair_failed_is_retried_at_the_serving_version() {
    let mut harness = ready_trial();
    let (caller, [first, companion]) = send_pair(&mut harness);
    harness.reply(first, verdict(ReplyVerdict::Answer));
    harness.reply(companion, verdict(ReplyVerdict::Answer));
    assert_eq!(servers_of(&harness, caller), ["new-1", "new-1", "old-1"]);
}

/// Servers that a request reaches whose attempts at new servers end so, in this order.
fn servers_after(ends: [Option<ReplyVerdict>; 2]) -> Vec<String> {
    let mut harness = ready_trial();
    let (caller, pair) = send_pair(&mut harness);
    for (attempt, end) in pair.into_iter().zip(ends) {
        match end {
            Some(end) => harness.reply(attempt, verdict(end)),
            None => {
                let failure = ExchangeFailure::NotSent;
                harness.event(GatewayEvent::Failed { attempt, failure });
            }
        }
    }
    let mut replied = 2;
    while let Some(sent) = harness.sent_for(caller).get(replied).cloned() {
        harness.reply(sent.attempt, verdict(ReplyVerdict::Answer));
        replied += 1;
    }
    servers_of(&harness, caller)
}

/// Guards against more servers than a route allows: two attempts at one server are one of them, whichever
/// of them ran.
#[test]
fn pair_counts_as_one_server() {
    let ran = Some(ReplyVerdict::Answer);
    let rejected = Some(ReplyVerdict::NotRun);
    for ends in [
        [ran, ran],
        [ran, rejected],
        [rejected, ran],
        [ran, None],
        [None, ran],
    ] {
        let servers = servers_after(ends);
        assert_eq!(servers, ["new-1", "new-1", "old-1"], "{ends:?}");
    }
}

/// Guards against a permit that is used up by a companion that never left.
#[test]
fn permit_of_unsent_companion_is_returned() {
    let mut harness = ready_trial();
    let (_, [_, companion]) = send_pair(&mut harness);
    let failure = ExchangeFailure::NotSent;
    harness.event(GatewayEvent::Failed {
        attempt: companion,
        failure,
    });
    let [_, companions] = reports(&mut harness);
    assert_eq!(companions.returned, 1);
}

#[test]
fn nodes_report_that_they_send_companions() {
    let mut harness = ready_trial();
    let _ = answered_request(&mut harness);
    let service = super::trial_support::service_key(&mut harness);
    let now = harness.now;
    let routes = harness.gateway.trials.take_report(now, service);
    assert_eq!(routes.unwrap_or_default().len(), 2);
}
