//! Outcomes of attempts at both versions.

use super::support::{Harness, RECORD, answer, millis, verdict};
use super::trial_support::{grant, report, trial};
use crate::driver_action::CallerId;
use crate::gateway::{ExchangeFailure, GatewayEvent, InvalidReply, ReplyVerdict, ServerReply};
use std::time::Duration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::peer::rollout::Outcomes;

/// Usual time to an answer.
const USUAL: Duration = Duration::from_millis(6);
/// Attempts at the serving version that are observed before a test.
const OBSERVED: u32 = 40;

const GOOD: Outcomes = Outcomes { good: 1, bad: 0 };
const BAD: Outcomes = Outcomes { good: 0, bad: 1 };
const NONE: Outcomes = Outcomes { good: 0, bad: 0 };

/// Trial with observations of the serving version.
fn observed_trial() -> Harness {
    trial_with_answers_after(USUAL)
}

fn trial_with_answers_after(usual: Duration) -> Harness {
    let mut harness = trial();
    for _ in 0..OBSERVED {
        let (_, attempt) = send(&mut harness);
        harness.advance(usual);
        harness.reply(attempt, answer(RECORD));
    }
    harness
}

fn send(harness: &mut Harness) -> (CallerId, AttemptId) {
    let caller = harness.send_request("/x");
    (caller, harness.sent_for(caller)[0].attempt)
}

/// Sends a request to the version on trial.
fn send_trial(harness: &mut Harness) -> (CallerId, AttemptId) {
    grant(harness, 1);
    let (caller, attempt) = send(harness);
    assert_eq!(harness.sent_for(caller)[0].instance, "new-1");
    (caller, attempt)
}

/// Outcome of an attempt at the version on trial that is replied to after a time.
fn outcome_of(reply: ServerReply, after: Duration) -> Outcomes {
    let mut harness = observed_trial();
    let (_, attempt) = send_trial(&mut harness);
    harness.advance(after);
    harness.reply(attempt, reply);
    report(&mut harness).trial
}

#[test]
fn answer_in_usual_time_is_good() {
    assert_eq!(outcome_of(answer(RECORD), USUAL), GOOD);
}

#[test]
fn answer_of_serving_version_is_counted() {
    let stable = report(&mut observed_trial()).stable;
    assert_eq!(stable.total(), OBSERVED);
}

#[test]
fn answer_twice_as_slow_is_good() {
    assert_eq!(outcome_of(answer(RECORD), USUAL * 2), GOOD);
}

#[test]
fn answer_four_times_as_slow_is_bad() {
    assert_eq!(outcome_of(answer(RECORD), USUAL * 4), BAD);
}

#[test]
fn server_failure_is_bad() {
    assert_eq!(outcome_of(verdict(ReplyVerdict::Answer), USUAL), BAD);
}

#[test]
fn invalid_reply_is_bad() {
    assert_eq!(
        outcome_of(
            verdict(ReplyVerdict::Invalid(InvalidReply::OtherRequest)),
            USUAL
        ),
        BAD
    );
}

#[test]
fn rejection_is_bad() {
    assert_eq!(outcome_of(verdict(ReplyVerdict::NotRun), USUAL), BAD);
}

/// Guards against judging a version by a server that took the address of one of its servers.
#[test]
fn reply_of_other_server_counts_as_nothing() {
    let reply = verdict(ReplyVerdict::WrongInstance);
    assert_eq!(outcome_of(reply, USUAL), NONE);
}

fn outcome_of_failure(failure: ExchangeFailure) -> Outcomes {
    let mut harness = observed_trial();
    let (_, attempt) = send_trial(&mut harness);
    harness.event(GatewayEvent::Failed { attempt, failure });
    report(&mut harness).trial
}

#[test]
fn broken_attempt_is_bad() {
    assert_eq!(outcome_of_failure(ExchangeFailure::MayHaveRun), BAD);
}

#[test]
fn unsent_attempt_counts_as_nothing() {
    assert_eq!(outcome_of_failure(ExchangeFailure::NotSent), NONE);
}

#[test]
fn serving_version_is_judged_by_the_same_yardstick() {
    let mut harness = observed_trial();
    let before = report(&mut harness).stable;
    let (_, attempt) = send(&mut harness);
    harness.advance(USUAL * 4);
    harness.reply(attempt, answer(RECORD));
    assert_eq!(report(&mut harness).stable.bad, before.bad + 1);
}

/// Guards against a hanging version that is never judged, because hedges answer for it.
#[test]
fn attempt_without_answer_is_bad() {
    let mut harness = observed_trial();
    let (caller, _) = send_trial(&mut harness);
    harness.advance(millis(500));
    let hedge = harness.sent_for(caller).remove(1);
    harness.reply(hedge.attempt, answer(RECORD));
    harness.advance(Duration::from_secs(10));
    assert_eq!(report(&mut harness).trial, BAD);
}

/// Guards against judging a version by callers that leave.
#[test]
fn attempt_cancelled_within_usual_time_counts_as_nothing() {
    let mut harness = trial_with_answers_after(millis(700));
    let (caller, attempt) = send_trial(&mut harness);
    harness.event(GatewayEvent::CallerDisconnected { caller });
    harness.advance(millis(1_000));
    let connection = harness.sent.iter().find(|sent| sent.attempt == attempt);
    let connection = connection.map(|sent| sent.connection);
    assert!(connection.is_some_and(|connection| harness.closed.contains(&connection)));
    assert_eq!(report(&mut harness).trial, NONE);
}

#[test]
fn answer_after_its_request_is_gone_is_counted() {
    let mut harness = observed_trial();
    let (caller, attempt) = send_trial(&mut harness);
    harness.event(GatewayEvent::CallerDisconnected { caller });
    harness.advance(USUAL);
    harness.reply(attempt, answer(RECORD));
    assert_eq!(report(&mut harness).trial, GOOD);
}

/// Guards against a slow version that becomes its own yardstick.
#[test]
fn slow_answers_of_version_on_trial_stay_bad() {
    const SLOW_ANSWERS: u32 = 400;
    let mut harness = observed_trial();
    for _ in 0..SLOW_ANSWERS {
        let (_, attempt) = send_trial(&mut harness);
        harness.advance(USUAL * 5);
        harness.reply(attempt, answer(RECORD));
    }
    let expected = Outcomes {
        good: 0,
        bad: SLOW_ANSWERS,
    };
    assert_eq!(report(&mut harness).trial, expected);
}
