//! Permits in the exchange: what reaches a version on trial.

use super::slice_support::{receive_task, task};
use super::support::{Harness, RECORD, answer, answer_all, millis, server_address, verdict};
use super::trial_support::{
    SERVICE, VALID, answered_request, gather_route, grant, grant_for, held, holding_connects,
    names, on_trial, report, rolled_back, server, servers_of, servers_used, service_key, serving,
    serving_route, set_roles, trial,
};
use crate::driver_action::CallerId;
use crate::gateway::servers::VersionRoles;
use crate::gateway::{
    ExchangeFailure, GatewayAnswer, GatewayEvent, InvalidReply, ReplyVerdict, ViewKind, ViewObject,
};
use assert_matches::assert_matches;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::StoreRevision;

const GATHER_ROUTE: &str = "/search/";

#[test]
fn first_attempt_without_permit_is_not_sent_to_version_on_trial() {
    let mut harness = trial();
    assert_eq!(servers_used(&mut harness), names(&["old-1"]));
}

#[test]
fn first_attempt_with_permit_is_sent_to_version_on_trial() {
    let mut harness = trial();
    grant(&mut harness, 1);
    assert_eq!(answered_request(&mut harness), ["new-1"]);
}

#[test]
fn permit_is_used_for_one_request() {
    let mut harness = trial();
    grant(&mut harness, 1);
    let used: Vec<String> = (0..3)
        .flat_map(|_| answered_request(&mut harness))
        .collect();
    assert_eq!(used, ["new-1", "old-1", "old-1"]);
}

#[test]
fn lapsed_permit_is_not_used() {
    let mut harness = trial();
    grant(&mut harness, 1);
    harness.advance(VALID + millis(1));
    assert_eq!(answered_request(&mut harness), ["old-1"]);
}

#[test]
fn permit_is_used_at_named_server() {
    let mut harness = serving(on_trial(), &["old-1", "new-1", "new-2", "new-3"]);
    grant_for(&mut harness, "/", 5, Some("new-2"));
    let used: Vec<String> = (0..5)
        .flat_map(|_| answered_request(&mut harness))
        .collect();
    assert_eq!(used, ["new-2"; 5]);
}

#[test]
fn permit_for_unknown_server_is_returned() {
    let mut harness = trial();
    grant_for(&mut harness, "/", 1, Some("new-9"));
    assert_eq!(answered_request(&mut harness), ["old-1"]);
    assert_eq!(report(&mut harness).returned, 1);
}

#[test]
fn permit_for_unreachable_server_is_returned() {
    let (mut harness, caller) = queued_with_permit();
    grant(&mut harness, 1);
    let connection = harness.pending.remove(0);
    harness.event(GatewayEvent::ConnectionLost { connection });
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
    assert_eq!(report(&mut harness).returned, 2);
}

/// Guards against a failing version that is avoided before the conductor knows enough of it.
#[test]
fn permit_is_used_at_failing_server() {
    let mut harness = trial();
    for _ in 0..10 {
        grant(&mut harness, 1);
        let caller = harness.send_request("/x");
        let first = harness.sent_for(caller).remove(0);
        assert_eq!(first.instance, "new-1");
        harness.reply(first.attempt, verdict(ReplyVerdict::Answer));
        answer_all(&mut harness);
    }
}

#[test]
fn retry_after_bad_answer_is_sent_to_serving_version() {
    let mut harness = trial();
    grant(&mut harness, 2);
    let caller = harness.send_request("/x");
    let first = harness.sent_for(caller).remove(0);
    harness.reply(first.attempt, verdict(ReplyVerdict::NotRun));
    assert_eq!(servers_of(&harness, caller), ["new-1", "old-1"]);
    answer_all(&mut harness);
    assert_matches!(
        harness.answers.get(&caller),
        Some(GatewayAnswer::Forwarded { status: 200, .. })
    );
}

#[test]
fn retry_is_not_sent_to_version_on_trial() {
    let mut harness = trial();
    let caller = harness.send_request("/x");
    grant(&mut harness, 1);
    let first = harness.sent_for(caller).remove(0);
    harness.reply(first.attempt, verdict(ReplyVerdict::NotRun));
    harness.advance(millis(300));
    assert!(!servers_of(&harness, caller).contains(&"new-1".to_owned()));
}

/// Guards against a retry that counts as a first attempt because nothing was sent.
#[test]
fn retry_of_unsent_attempt_is_not_sent_to_version_on_trial() {
    let mut harness = trial();
    let caller = harness.send_request("/x");
    grant(&mut harness, 1);
    let attempt = harness.sent_for(caller)[0].attempt;
    let failure = ExchangeFailure::NotSent;
    harness.event(GatewayEvent::Failed { attempt, failure });
    assert_eq!(servers_of(&harness, caller), ["old-1", "old-1"]);
}

#[test]
fn hedge_is_not_sent_to_version_on_trial() {
    let mut harness = trial();
    let caller = harness.send_request("/x");
    grant(&mut harness, 1);
    harness.advance(millis(500));
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
}

#[test]
fn hedge_of_attempt_at_version_on_trial_is_sent_to_serving_version() {
    let mut harness = trial();
    grant(&mut harness, 2);
    let caller = harness.send_request("/x");
    harness.advance(millis(500));
    assert_eq!(servers_of(&harness, caller), ["new-1", "old-1"]);
}

#[test]
fn slice_without_permit_is_not_sent_to_version_on_trial() {
    let mut harness = serving_route(gather_route(), on_trial(), &["old-1", "new-1"]);
    receive_task(&mut harness, task(&[SERVICE], 0));
    let used: Vec<&str> = harness.sent.iter().map(|s| s.instance.as_str()).collect();
    assert_eq!(used, ["old-1"]);
}

#[test]
fn slice_uses_permit_of_its_owner() {
    let mut harness = serving_route(gather_route(), on_trial(), &["old-1", "new-1"]);
    grant_for(&mut harness, GATHER_ROUTE, 1, None);
    receive_task(&mut harness, task(&[SERVICE], 0));
    assert_eq!(harness.sent[0].instance, "new-1");
}

/// Guards against a part that another node has sent to the version on trial already.
#[test]
fn slice_with_prior_attempts_uses_no_permit() {
    let mut harness = serving_route(gather_route(), on_trial(), &["old-1", "new-1"]);
    grant_for(&mut harness, GATHER_ROUTE, 1, None);
    receive_task(&mut harness, task(&[SERVICE], 1));
    assert_eq!(harness.sent[0].instance, "old-1");
}

/// A request that waits for a connection to a server of the new version, which serves, beside an
/// unconnected server of the old version.
fn queued_before_trial() -> (Harness, CallerId) {
    let mut harness = holding_connects(VersionRoles::default(), &["new-1"]);
    harness.advance(millis(5_000));
    let caller = harness.send_request("/x");
    harness.watch_reply(ViewKind::Registry, vec![server("old-1")], 60);
    assert!(!harness.opened.contains(&server_address("old-1")));
    (harness, caller)
}

#[test]
fn queued_part_moves_at_once_when_trial_begins() {
    let (mut harness, caller) = queued_before_trial();
    set_roles(&mut harness, on_trial());
    assert!(harness.opened.contains(&server_address("old-1")));
    harness.open_pending();
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
}

/// Guards against a connection that opens before the queued parts have moved.
#[test]
fn part_queued_before_trial_is_not_sent_to_version_on_trial() {
    let (mut harness, caller) = queued_before_trial();
    let service = service_key(&mut harness);
    let servers = &mut harness.gateway.servers;
    servers.set_version_roles(service, on_trial());
    harness.open_pending();
    harness.open_pending();
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
}

/// A request that waits for a connection to the server of the version on trial.
fn queued_with_permit() -> (Harness, CallerId) {
    let mut harness = serving(on_trial(), &["old-1", "new-1"]);
    harness.hold_connects();
    grant(&mut harness, 1);
    let caller = harness.send_request("/x");
    assert!(harness.sent_for(caller).is_empty());
    (harness, caller)
}

#[test]
fn part_with_permit_is_sent_once_connected() {
    let (mut harness, caller) = queued_with_permit();
    harness.open_pending();
    assert_eq!(servers_of(&harness, caller), ["new-1"]);
}

/// Guards against a node that was paused, and sends to a version that was rolled back meanwhile.
#[test]
fn overdue_part_with_permit_is_not_sent_to_version_on_trial() {
    let (mut harness, caller) = queued_with_permit();
    // No timer fires while the process is paused.
    harness.now = harness.now + millis(500);
    harness.open_pending();
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
}

#[test]
fn queued_part_moves_at_once_when_version_is_rolled_back() {
    let (mut harness, caller) = queued_with_permit();
    set_roles(&mut harness, rolled_back());
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
}

#[test]
fn queued_part_moves_at_once_when_order_is_withdrawn() {
    let (mut harness, caller) = queued_with_permit();
    set_roles(&mut harness, held());
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
}

#[test]
fn permit_of_part_that_waited_too_long_is_returned() {
    let (mut harness, caller) = queued_with_permit();
    harness.advance(millis(200));
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
    assert_eq!(report(&mut harness).returned, 1);
}

#[test]
fn permit_of_queued_part_is_returned_when_caller_leaves() {
    let (mut harness, caller) = queued_with_permit();
    harness.event(GatewayEvent::CallerDisconnected { caller });
    assert_eq!(report(&mut harness).returned, 1);
}

#[test]
fn permit_of_queued_part_is_returned_when_server_leaves() {
    let (mut harness, caller) = queued_with_permit();
    let removed = StoreRevision::without_era(60);
    let removal = ViewObject::InstanceRemoved(removed, BackEndId::new("new-1"));
    harness.watch_reply(ViewKind::Registry, vec![removal], 60);
    assert_eq!(servers_of(&harness, caller), ["old-1"]);
    assert_eq!(report(&mut harness).returned, 1);
}

#[test]
fn permit_of_unsent_attempt_is_returned() {
    let mut harness = trial();
    grant(&mut harness, 1);
    let caller = harness.send_request("/x");
    let attempt = harness.sent_for(caller)[0].attempt;
    let failure = ExchangeFailure::NotSent;
    harness.event(GatewayEvent::Failed { attempt, failure });
    assert_eq!(report(&mut harness).returned, 1);
}

#[test]
fn used_permit_is_not_returned() {
    let mut harness = trial();
    grant(&mut harness, 1);
    answered_request(&mut harness);
    harness.advance(VALID * 2);
    assert_eq!(report(&mut harness).returned, 0);
}

#[test]
fn requests_at_any_version_are_counted_once() {
    let mut harness = trial();
    grant(&mut harness, 1);
    for _ in 0..2 {
        let caller = harness.send_request("/x");
        let first = harness.sent_for(caller).remove(0);
        harness.reply(first.attempt, verdict(ReplyVerdict::NotRun));
        answer_all(&mut harness);
    }
    assert_eq!(report(&mut harness).requests, 2);
}

/// Guards against a request that earns permits at each node that it was delegated to.
#[test]
fn slice_with_prior_attempts_is_not_counted() {
    let mut harness = serving_route(gather_route(), on_trial(), &["old-1", "new-1"]);
    receive_task(&mut harness, task(&[SERVICE], 1));
    assert_eq!(report(&mut harness).requests, 0);
}

#[test]
fn slice_is_counted_at_its_owner() {
    let mut harness = serving_route(gather_route(), on_trial(), &["old-1", "new-1"]);
    receive_task(&mut harness, task(&[SERVICE], 0));
    assert_eq!(report(&mut harness).requests, 1);
}

#[test]
fn nothing_is_counted_without_trial() {
    let mut harness = trial();
    let service = service_key(&mut harness);
    harness.gateway.trials.end(service);
    answered_request(&mut harness);
    harness.gateway.trials.begin(service);
    assert_eq!(report(&mut harness).requests, 0);
}

/// Guards against a gather whose part on trial is answered by the serving version after all.
#[test]
fn gather_with_bad_trial_answer_is_complete() {
    let mut harness = serving_route(gather_route(), on_trial(), &["old-1", "new-1"]);
    grant_for(&mut harness, GATHER_ROUTE, 1, None);
    let caller = harness.send_request("/search/1");
    let first = harness.sent_for(caller).remove(0);
    assert_eq!(first.instance, "new-1");
    harness.reply(
        first.attempt,
        verdict(ReplyVerdict::Invalid(InvalidReply::OtherRequest)),
    );
    let second = harness.sent_for(caller).remove(1);
    harness.reply(second.attempt, answer(RECORD));
    assert_matches!(
        harness.answers.get(&caller),
        Some(GatewayAnswer::Gathered { missing: 0, .. })
    );
}
