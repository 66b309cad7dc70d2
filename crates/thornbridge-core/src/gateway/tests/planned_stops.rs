//! What becomes of requests when a node stops.

use super::support::{Harness, RECORD, answer, gather, millis, route, service};
use crate::driver_action::CallerId;
use crate::gateway::{GatewayAnswer, GatewayEvent, RefusalReason, RefusalStatus};
use std::time::Duration;
use thornbridge_config::routes::Repeatability::{AtMostOnce, Repeatable};
use thornbridge_config::routes::Route;

const SERVE_FOR: Duration = Duration::from_millis(300);
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// More requests than the servers of a service get at once.
const REQUESTS: usize = 60;

/// Routes whose requests may take longer than a stop.
fn routes() -> Vec<Route> {
    let one = route("/one/", service("single"), Repeatable);
    let once = route("/once/", service("single"), AtMostOnce);
    let all = route("/all/", gather(&["left", "right"], 0.5), Repeatable);
    [one, once, all]
        .map(|route| Route {
            time_limit: millis(4_000),
            latency_objective: millis(2_000),
            ..route
        })
        .to_vec()
}

fn serving() -> Harness {
    Harness::serving(
        routes(),
        &[("s1", "single"), ("l1", "left"), ("r1", "right")],
    )
}

fn stop(harness: &mut Harness) {
    harness.event(GatewayEvent::StopRequested {
        serve_for: SERVE_FOR,
        answer_within: ANSWER_WITHIN,
    });
}

fn send(harness: &mut Harness, path: &str) -> CallerId {
    harness.send_request_with_timeout(path, millis(4_000))
}

fn status(harness: &Harness, caller: CallerId) -> Option<RefusalStatus> {
    match harness.answers.get(&caller) {
        Some(GatewayAnswer::Refused { reason, status, .. }) => {
            assert_eq!(*reason, RefusalReason::Stopping);
            Some(*status)
        }
        _ => None,
    }
}

/// Guards against connections that a stop closes without an answer.
#[test]
fn every_request_is_answered_before_a_stop_ends() {
    for path in ["/one/x", "/once/x"] {
        let mut harness = serving();
        let before: Vec<CallerId> = (0..REQUESTS).map(|_| send(&mut harness, path)).collect();
        stop(&mut harness);
        harness.advance(millis(100));
        let during = (0..REQUESTS).map(|_| send(&mut harness, path));
        let all: Vec<CallerId> = before.into_iter().chain(during).collect();
        harness.advance(ANSWER_WITHIN - millis(101));
        assert!(harness.answers.is_empty());
        harness.advance(millis(2));
        for caller in &all {
            let expected = match harness.sent_for(*caller).is_empty() {
                true => RefusalStatus::NotRun,
                false => RefusalStatus::MayHaveRun,
            };
            assert_eq!(status(&harness, *caller), Some(expected), "{path}");
        }
        let not_run = all.iter().filter_map(|caller| harness.retry_after(*caller));
        let not_run: Vec<Duration> = not_run.collect();
        assert!(!not_run.is_empty() && not_run.len() < all.len());
        assert!(not_run.iter().all(Duration::is_zero));
    }
}

#[test]
fn parts_that_are_in_are_answered_before_a_stop_ends() {
    let mut harness = serving();
    let caller = send(&mut harness, "/all/x");
    let sent = harness.sent_for(caller);
    let left = sent.iter().find(|sent| sent.instance == "l1");
    harness.reply(left.expect("an attempt").attempt, answer(RECORD));
    stop(&mut harness);
    harness.advance(ANSWER_WITHIN);
    let answer = harness.answers.get(&caller);
    let missing = match answer {
        Some(GatewayAnswer::Gathered { missing, .. }) => Some(*missing),
        _ => None,
    };
    assert_eq!(missing, Some(1), "{answer:?}");
}

#[test]
fn request_without_configuration_is_refused_before_a_stop_ends() {
    let mut harness = Harness::unconfigured();
    let caller = send(&mut harness, "/one/x");
    stop(&mut harness);
    harness.advance(ANSWER_WITHIN);
    assert_eq!(status(&harness, caller), Some(RefusalStatus::NotRun));
}

/// Guards against requests that a stopping node takes though it cannot serve them in time.
#[test]
fn request_that_cannot_be_served_before_a_stop_ends_is_refused_at_once() {
    let objective = millis(100);
    let quick = Route {
        latency_objective: objective,
        ..route("/quick/", service("single"), Repeatable)
    };
    let routes = routes().into_iter().chain([quick]).collect();
    let mut harness = Harness::serving(routes, &[("s1", "single")]);
    stop(&mut harness);
    let early = send(&mut harness, "/one/early");
    harness.advance(SERVE_FOR);
    let late = send(&mut harness, "/one/late");
    assert_eq!(status(&harness, late), Some(RefusalStatus::NotRun));
    assert_eq!(harness.retry_after(late), Some(Duration::ZERO));
    assert!(harness.sent_for(late).is_empty());
    let quick = send(&mut harness, "/quick/x");
    assert!(!harness.sent_for(quick).is_empty());
    assert!(!harness.answers.contains_key(&early));
    harness.advance(ANSWER_WITHIN - SERVE_FOR - objective + millis(1));
    let last = send(&mut harness, "/quick/y");
    assert_eq!(status(&harness, last), Some(RefusalStatus::NotRun));
}
