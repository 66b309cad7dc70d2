//! Responses to callers when owners and group members crash, leave or lose messages.

use super::cluster::{AttemptEnd, Cluster, Packet, Response, StoreFault, outcome_of};
use crate::CallerId;
use assert_matches::assert_matches;
use std::collections::BTreeSet;
use std::time::Duration;
use thornbridge_proto::Digest;
use thornbridge_proto::caller::{ActionAnswer, Executed, Refusal, RefusalReason};
use thornbridge_proto::peer::action::{ActionMessage, ClaimId, GroupEpoch, OwnerAnswer};

fn cluster_with_group(hosts: usize) -> Cluster {
    let mut cluster = Cluster::new(hosts);
    cluster.set_platform_reader(0, true);
    cluster.run_without_faults(5_000);
    cluster
}

fn answer(cluster: &Cluster, caller: CallerId) -> ActionAnswer {
    assert_matches!(&cluster.responses[&caller], Response::Answer(answer) => answer.clone())
}

fn refusal(cluster: &Cluster, caller: CallerId) -> Refusal {
    assert_matches!(&cluster.responses[&caller], Response::Refusal(refusal) => refusal.clone())
}

/// Starts an action and waits until its first attempt is in flight.
fn start_action(cluster: &mut Cluster, host: usize, key: &str) -> CallerId {
    let caller = cluster.send_action(host, key, "payload");
    cluster.run_without_faults(5);
    assert_eq!(cluster.running.len(), 1);
    caller
}

#[test]
fn outcome_is_replayed_through_any_node() {
    let mut cluster = cluster_with_group(5);
    let first = start_action(&mut cluster, 0, "k");
    cluster.end_attempt(0, AttemptEnd::Done);
    cluster.run_without_faults(5);
    assert!(!answer(&cluster, first).replayed);
    for host in 0..5 {
        let again = cluster.send_action(host, "k", "payload");
        cluster.run_without_faults(5);
        let answer = answer(&cluster, again);
        assert!(answer.replayed);
        assert_eq!(answer.outcome, outcome_of("k"));
    }
    assert_eq!(cluster.executions["k"], 1);
}

#[test]
fn repeat_at_another_node_waits_for_the_outcome() {
    let mut cluster = cluster_with_group(5);
    let first = start_action(&mut cluster, 0, "k");
    let second = cluster.send_action(3, "k", "payload");
    cluster.run_without_faults(60);
    assert_eq!(cluster.running.len(), 1);
    assert!(cluster.responses.is_empty());
    cluster.end_attempt(0, AttemptEnd::Done);
    cluster.run_without_faults(60);
    assert!(!answer(&cluster, first).replayed);
    assert!(answer(&cluster, second).replayed);
}

#[test]
fn reused_key_with_another_payload_is_refused() {
    let mut cluster = cluster_with_group(3);
    start_action(&mut cluster, 0, "k");
    for host in 0..3 {
        let other = cluster.send_action(host, "k", "another payload");
        cluster.run_without_faults(5);
        assert_eq!(refusal(&cluster, other).reason, RefusalReason::KeyReused);
    }
}

#[test]
fn key_of_crashed_owner_is_not_sent_again() {
    let mut cluster = cluster_with_group(5);
    start_action(&mut cluster, 4, "k");
    cluster.restart(4);
    cluster.set_full_views();
    for host in 0..5 {
        let again = cluster.send_action(host, "k", "payload");
        cluster.run_without_faults(60);
        let refusal = refusal(&cluster, again);
        assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown);
        assert_eq!(refusal.executed, Executed::Unknown);
    }
    assert_eq!(cluster.running.len(), 1);
    cluster.end_attempt(0, AttemptEnd::Done);
}

#[test]
fn outcome_is_replayed_after_owner_restart() {
    let mut cluster = cluster_with_group(5);
    start_action(&mut cluster, 4, "k");
    cluster.end_attempt(0, AttemptEnd::Done);
    cluster.run_without_faults(5);
    cluster.restart(4);
    cluster.set_full_views();
    cluster.run_without_faults(5_000);
    let again = cluster.send_action(4, "k", "payload");
    cluster.run_without_faults(20);
    assert_eq!(answer(&cluster, again).outcome, outcome_of("k"));
}

#[test]
fn claims_survive_successive_member_departures() {
    let mut cluster = cluster_with_group(3);
    start_action(&mut cluster, 0, "k");
    cluster.end_attempt(0, AttemptEnd::Done);
    cluster.run_without_faults(5);
    for host in [1, 2, 1, 2] {
        cluster.leave(host);
        cluster.set_full_views();
        cluster.run_without_faults(3_000);
        assert_eq!(cluster.hosts[host].engine.in_flight(), 0);
        cluster.restart(host);
        cluster.set_full_views();
        cluster.run_without_faults(3_000);
    }
    let again = cluster.send_action(1, "k", "payload");
    cluster.run_without_faults(5);
    assert!(answer(&cluster, again).replayed);
}

#[test]
fn minority_of_group_refuses_with_unknown_outcome() {
    let mut cluster = cluster_with_group(5);
    for host in 1..5 {
        cluster.restart(host);
    }
    let caller = cluster.send_action(0, "k", "payload");
    cluster.run_without_faults(1_000);
    let refusal = refusal(&cluster, caller);
    assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown);
    assert_eq!(refusal.executed, Executed::Unknown);
    assert!(cluster.running.is_empty());
}

#[test]
fn action_refused_as_not_run_can_be_repeated() {
    let mut cluster = cluster_with_group(3);
    let first = start_action(&mut cluster, 0, "k");
    cluster.end_attempt(0, AttemptEnd::Leaving);
    cluster.end_attempt(0, AttemptEnd::Leaving);
    assert_eq!(refusal(&cluster, first).executed, Executed::No);
    cluster.run_without_faults(5);
    let second = start_action(&mut cluster, 1, "k");
    cluster.end_attempt(0, AttemptEnd::Done);
    assert!(!answer(&cluster, second).replayed);
}

#[test]
fn attempt_that_may_have_run_is_not_retried() {
    let mut cluster = cluster_with_group(3);
    let caller = start_action(&mut cluster, 0, "k");
    cluster.end_attempt(0, AttemptEnd::BrokenBeforeRun);
    assert_eq!(
        refusal(&cluster, caller).reason,
        RefusalReason::OutcomeUnknown
    );
    cluster.run_without_faults(5);
    let again = cluster.send_action(2, "k", "payload");
    cluster.run_without_faults(20);
    assert_eq!(
        refusal(&cluster, again).reason,
        RefusalReason::OutcomeUnknown
    );
    assert!(cluster.running.is_empty());
}

#[test]
fn no_action_runs_before_a_group_exists() {
    let mut cluster = Cluster::new(3);
    cluster.set_platform_reader(0, true);
    let caller = cluster.send_action(1, "k", "payload");
    while !cluster.responses.contains_key(&caller) {
        cluster.advance(Duration::from_millis(10));
        while !cluster.store_requests.is_empty() {
            cluster.complete_store_request(0, StoreFault::Unreachable);
        }
    }
    assert_eq!(refusal(&cluster, caller).executed, Executed::Unknown);
    assert!(cluster.running.is_empty());
}

#[test]
fn group_of_one_grows_without_delay() {
    let mut cluster = Cluster::new(3);
    cluster.set_view(0, 0);
    cluster.set_platform_reader(0, true);
    cluster.run_without_faults(1_500);
    cluster.set_full_views();
    cluster.run_without_faults(1_100);
    start_action(&mut cluster, 0, "k");
    cluster.restart(0);
    cluster.set_full_views();
    let again = cluster.send_action(1, "k", "payload");
    cluster.run_without_faults(100);
    let refusal = refusal(&cluster, again);
    assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown);
    cluster.end_attempt(0, AttemptEnd::Done);
}

#[test]
fn lost_store_answer_is_resolved_by_reading() {
    let mut cluster = Cluster::new(3);
    cluster.set_platform_reader(0, true);
    for _ in 0..3_000 {
        cluster.advance(Duration::from_millis(1));
        while !cluster.store_requests.is_empty() {
            let is_write = matches!(
                cluster.store_requests[0].request,
                thornbridge_proto::platform::PlatformRequest::Put { .. }
            );
            let fault = if is_write {
                StoreFault::AnswerLost
            } else {
                StoreFault::None
            };
            cluster.complete_store_request(0, fault);
        }
        for packet in std::mem::take(&mut cluster.network) {
            cluster.deliver(packet);
        }
    }
    start_action(&mut cluster, 2, "k");
}

#[test]
fn released_claim_is_not_sent_again() {
    let mut cluster = cluster_with_group(3);
    start_action(&mut cluster, 0, "k");
    cluster.send_action(1, "k", "payload");
    let mut released = BTreeSet::new();
    for _ in 0..2_000 {
        cluster.advance(Duration::from_millis(1));
        for packet in std::mem::take(&mut cluster.network) {
            match &packet.message {
                ActionMessage::Release { claim, .. } => {
                    released.insert(*claim);
                }
                ActionMessage::Claim { claim, .. } => assert!(!released.contains(&claim.id)),
                _ => {}
            }
            // Node 1 receives `NeverRun` and claims the key again.
            let owner_answer = ActionMessage::Told {
                claim: ClaimId {
                    node: cluster.hosts[0].endpoint.node,
                    sequence: 1,
                },
                key: key_of(&packet.message).unwrap_or_default(),
                answer: OwnerAnswer::NeverRun,
            };
            match packet.message {
                ActionMessage::Ask { .. } => cluster.deliver(Packet {
                    from: cluster.hosts[0].endpoint,
                    to: cluster.hosts[1].endpoint.address,
                    message: owner_answer,
                }),
                _ => cluster.deliver(packet),
            }
        }
    }
    assert!(!released.is_empty());
}

fn key_of(message: &ActionMessage) -> Option<Digest> {
    match message {
        ActionMessage::Ask { key, .. } => Some(*key),
        _ => None,
    }
}

#[test]
fn sealed_member_grants_no_claims() {
    let mut cluster = cluster_with_group(3);
    let epoch = GroupEpoch(cluster.epoch_of(0) + 1);
    let from = cluster.hosts[0].endpoint;
    for host in 1..3 {
        let message = ActionMessage::Seal { epoch, after: None };
        let to = cluster.hosts[host].endpoint.address;
        cluster.deliver(Packet { from, to, message });
    }
    cluster.send_action(0, "k", "payload");
    cluster.run_without_faults(100);
    assert!(cluster.running.is_empty());
}

#[test]
fn leaving_member_waits_if_remaining_members_are_no_majority() {
    let mut cluster = cluster_with_group(3);
    cluster.set_platform_reader(0, false);
    cluster.leave(1);
    cluster.set_full_views();
    cluster.run_without_faults(299);
    assert_eq!(cluster.hosts[1].engine.in_flight(), 1);
    cluster.run_without_faults(2);
    assert_eq!(cluster.hosts[1].engine.in_flight(), 0);
    cluster.leave(2);
    cluster.set_full_views();
    cluster.run_without_faults(4_000);
    assert_eq!(cluster.hosts[2].engine.in_flight(), 1);
    cluster.set_platform_reader(0, true);
    cluster.run_without_faults(500);
    assert_eq!(cluster.hosts[2].engine.in_flight(), 0);
}

#[test]
fn expired_end_is_not_reported_as_never_run() {
    let mut cluster = cluster_with_group(6);
    let owner = cluster.non_member();
    start_action(&mut cluster, owner, "k");
    cluster.end_attempt(0, AttemptEnd::Done);
    let is_end = |packet: &Packet| matches!(packet.message, ActionMessage::Ended { .. });
    cluster.network.retain(|packet| !is_end(packet));
    cluster.advance(Duration::from_secs(61));
    let again = cluster.send_action((owner + 1) % 6, "k", "payload");
    cluster.run_without_faults(100);
    assert!(cluster.running.is_empty());
    let refusal = refusal(&cluster, again);
    assert_eq!(refusal.reason, RefusalReason::OutcomeUnknown);
}

#[test]
fn full_table_evicts_only_old_ended_claims() {
    let mut cluster = Cluster::with_parameters(1, |parameters| {
        parameters.maximum_claims = 2;
        parameters.least_retention = Duration::from_secs(30);
    });
    cluster.set_platform_reader(0, true);
    cluster.run_without_faults(2_000);
    for key in ["a", "b"] {
        start_action(&mut cluster, 0, key);
        cluster.end_attempt(0, AttemptEnd::Done);
    }
    let early = cluster.send_action(0, "c", "payload");
    cluster.run_without_faults(5);
    assert_eq!(refusal(&cluster, early).reason, RefusalReason::Overloaded);
    assert_eq!(refusal(&cluster, early).executed, Executed::No);
    cluster.advance(Duration::from_secs(61));
    start_action(&mut cluster, 0, "c");
    let again = cluster.send_action(0, "b", "payload");
    cluster.run_without_faults(5);
    assert_eq!(answer(&cluster, again).outcome, outcome_of("b"));
}

#[test]
fn lost_group_is_replaced_only_after_deletion() {
    let mut cluster = cluster_with_group(3);
    cluster.restart(1);
    cluster.restart(2);
    cluster.set_full_views();
    cluster.run_without_faults(15_000);
    let caller = cluster.send_action(1, "k", "payload");
    cluster.run_without_faults(300);
    assert_eq!(refusal(&cluster, caller).executed, Executed::Unknown);
    cluster.delete_group();
    cluster.run_without_faults(15_000);
    start_action(&mut cluster, 1, "k");
}
