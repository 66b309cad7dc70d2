//! New requests where as many are in flight as a node takes.

use super::support::{Harness, millis, route, service};
use crate::driver_action::CallerId;
use crate::gateway::{GatewayEvent, GatewayParameters, RefusalStatus};
use thornbridge_config::routes::Repeatability::Repeatable;

/// Requests that the node takes.
const REQUESTS: usize = 30;

/// A node that is full of requests that no server answers.
fn full() -> (Harness, Vec<CallerId>) {
    let mut harness = Harness::serving(
        vec![
            route("/", service("single"), Repeatable),
            route("/nowhere/", service("absent"), Repeatable),
        ],
        &[("s1", "single")],
    );
    let mut parameters = GatewayParameters::default();
    parameters.exchange.requests_maximum = REQUESTS;
    let parameters = Box::new(parameters);
    harness.event(GatewayEvent::Reconfigured { parameters });
    // These show what callers of the route state on their first try.
    send_unservable(&mut harness);
    send_unservable(&mut harness);
    let callers = (0..REQUESTS).map(|_| send(&mut harness));
    let callers = callers.collect();
    (harness, callers)
}

fn send(harness: &mut Harness) -> CallerId {
    harness.send_request_with_timeout("/x", millis(1_000))
}

/// To a service that has no server.
fn send_unservable(harness: &mut Harness) -> CallerId {
    harness.send_request_with_timeout("/nowhere/x", millis(1_000))
}

#[test]
fn newcomer_is_refused_while_no_request_is_late() {
    let (mut harness, callers) = full();
    let newcomer = send(&mut harness);
    assert_eq!(
        harness.refusal_status(newcomer),
        Some(RefusalStatus::NotRun)
    );
    assert!(
        callers
            .iter()
            .all(|caller| !harness.answers.contains_key(caller))
    );
}

/// Guards against requests that are never answered and that keep all others out until their deadlines.
#[test]
fn requests_that_are_late_give_way_one_by_one() {
    let (mut harness, callers) = full();
    harness.advance(millis(200));
    for expected in 1..=callers.len() {
        let newcomer = send(&mut harness);
        assert!(!harness.answers.contains_key(&newcomer));
        let gone = callers
            .iter()
            .filter(|caller| harness.answers.contains_key(caller));
        assert_eq!(gone.count(), expected);
    }
    // All others are new now.
    let newcomer = send(&mut harness);
    assert_eq!(
        harness.refusal_status(newcomer),
        Some(RefusalStatus::NotRun)
    );
}

/// Guards against requests that are given up for one that is refused itself.
#[test]
fn unservable_newcomer_displaces_no_request() {
    let (mut harness, callers) = full();
    harness.advance(millis(200));
    let newcomer = send_unservable(&mut harness);
    assert_eq!(
        harness.refusal_status(newcomer),
        Some(RefusalStatus::NotRun)
    );
    let gone = callers
        .iter()
        .filter(|caller| harness.answers.contains_key(caller));
    assert_eq!(gone.count(), 0);
}

/// A refusal says that a request has not run only if it was sent to no server.
#[test]
fn refusals_of_late_requests_are_true() {
    let (mut harness, callers) = full();
    harness.advance(millis(200));
    for _ in &callers {
        send(&mut harness);
    }
    let mut sent = 0;
    for caller in callers {
        let may_have_run = !harness.sent_for(caller).is_empty();
        sent += usize::from(may_have_run);
        let expected = match may_have_run {
            true => RefusalStatus::MayHaveRun,
            false => RefusalStatus::NotRun,
        };
        assert_eq!(harness.refusal_status(caller), Some(expected));
    }
    assert!(sent > 0 && sent < REQUESTS, "{sent} requests were sent");
}
