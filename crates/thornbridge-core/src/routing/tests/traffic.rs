//! Random traffic and faults, checked against the harness.

use super::fixture::*;
use super::harness::Harness;
use crate::AttemptFailure;
use crate::routing::{BalancerParameters, BalancerPolicy, RoutingParameters};
use proptest::prelude::*;
use std::time::Duration;
use thornbridge_proto::NodeId;
use thornbridge_proto::back_end::{LoadReport, Readiness, ReplyOutcome};
use thornbridge_proto::peer::health::HealthRecord;

const SHARDS: usize = 2;
const REPLICAS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Query { shard: usize },
    Reply { which: usize, kind: u8 },
    Cancel { which: usize },
    OpenConnection { which: usize },
    BreakConnection { which: usize, sent: bool },
    AdvanceTime { millis: u64 },
    Leave { shard: usize, replica: usize },
    SetMembers { count: u64 },
    Configure { shards: usize, new_addresses: bool },
    FailProbe { shard: usize, replica: usize },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..SHARDS).prop_map(|shard| Step::Query { shard }),
        8 => (any::<usize>(), 0..12u8).prop_map(|(which, kind)| Step::Reply { which, kind }),
        3 => any::<usize>().prop_map(|which| Step::Cancel { which }),
        6 => any::<usize>().prop_map(|which| Step::OpenConnection { which }),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(which, sent)| Step::BreakConnection { which, sent }),
        4 => (0..2000u64).prop_map(|millis| Step::AdvanceTime { millis }),
        1 => (0..SHARDS, 0..REPLICAS).prop_map(|(shard, replica)| Step::Leave { shard, replica }),
        1 => (1..12u64).prop_map(|count| Step::SetMembers { count }),
        1 => (1..=SHARDS, any::<bool>()).prop_map(|(shards, new_addresses)| Step::Configure { shards, new_addresses }),
        1 => (0..SHARDS, 0..REPLICAS)
            .prop_map(|(shard, replica)| Step::FailProbe { shard, replica }),
    ]
}

fn apply(harness: &mut Harness, step: Step) {
    match step {
        Step::Query { shard } => {
            let replicas: Vec<_> = (0..REPLICAS)
                .map(|replica| back_end_id(shard, replica))
                .collect();
            if let Some(chosen) = harness.choose(&replicas) {
                assert!(!harness.leaving.contains(&chosen));
                harness.dispatch(&chosen);
            }
        }
        Step::Reply { which, kind } => {
            let sent: Vec<_> = harness.sent.keys().copied().collect();
            if !sent.is_empty() {
                reply(harness, sent[which % sent.len()], kind);
            }
        }
        Step::Cancel { which } => {
            let in_progress: Vec<_> = harness.attempts.keys().copied().collect();
            if !in_progress.is_empty() {
                harness.cancel(in_progress[which % in_progress.len()]);
            }
        }
        Step::OpenConnection { which } => {
            let opening = harness.opening_connections();
            if !opening.is_empty() {
                harness.complete_open(opening[which % opening.len()]);
            }
        }
        Step::BreakConnection { which, sent } => {
            let connections = harness.connections();
            let failure = if sent {
                AttemptFailure::ConnectionBroken
            } else {
                AttemptFailure::NotSent
            };
            if !connections.is_empty() {
                harness.break_connection(connections[which % connections.len()], failure);
            }
        }
        Step::AdvanceTime { millis } => harness.advance_time(Duration::from_millis(millis)),
        Step::Leave { shard, replica } => leave(harness, shard, replica),
        Step::SetMembers { count } => {
            let view = member_view(count);
            harness.call(|router, context| router.members_changed(context, &view));
        }
        Step::Configure {
            shards,
            new_addresses,
        } => configure(harness, shards, new_addresses),
        Step::FailProbe { shard, replica } => {
            harness
                .call(|router, context| router.probe_failed(context, &back_end_id(shard, replica)));
        }
    }
}

fn reply(harness: &mut Harness, attempt: thornbridge_proto::AttemptId, kind: u8) {
    let outcome = match kind {
        0 => ReplyOutcome::Shed { retry_after_ms: 20 },
        1 => ReplyOutcome::Failed {
            detail: String::new(),
        },
        2 => ReplyOutcome::Cancelled,
        3 => ReplyOutcome::Leaving,
        _ => Harness::hits_outcome(),
    };
    let leaving = harness.leaving.contains(&harness.attempts[&attempt].0);
    let load = LoadReport {
        running: u32::from(kind),
        slots: 4,
        readiness: if leaving {
            Readiness::Leaving
        } else {
            Readiness::Ready
        },
        ..LoadReport::default()
    };
    harness.reply(attempt, outcome, (kind > 5).then_some(load));
}

fn leave(harness: &mut Harness, shard: usize, replica: usize) {
    let back_end = back_end_id(shard, replica);
    let record = HealthRecord {
        back_end: back_end.clone(),
        reachable: true,
        readiness: Readiness::Leaving,
        snapshots: None,
        observer: NodeId(2),
        version: u64::MAX / 2,
    };
    harness.call(|router, context| router.apply_health_record(context, &record));
    harness.leaving.push(back_end);
}

/// Back ends that are configured again or have a new address count as not leaving.
fn configure(harness: &mut Harness, shards: usize, new_addresses: bool) {
    let mut bundle = bundle(shards, REPLICAS, CONNECTIONS, MAXIMUM_NODES);
    if new_addresses {
        for back_end in &mut bundle.services[0].back_ends {
            back_end.address.set_port(back_end.address.port() + 1000);
        }
    }
    harness.leaving.clear();
    harness.install(bundle);
}

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Connections stay within the connection share and carry one attempt at a time; each attempt
    /// ends once; no attempt is sent to a leaving back end; counts of attempts match the harness.
    #[test]
    fn router_invariants_hold_under_faults(
        steps in prop::collection::vec(any_step(), 1..120),
        policy in prop::sample::select(vec![
            BalancerPolicy::Random, BalancerPolicy::PowerOfTwo, BalancerPolicy::Combined,
        ]),
    ) {
        let parameters = RoutingParameters {
            balancer: BalancerParameters { policy, ..BalancerParameters::default() },
            ..RoutingParameters::default()
        };
        let bundle = bundle(SHARDS, REPLICAS, CONNECTIONS, MAXIMUM_NODES);
        let mut harness = Harness::new(parameters, bundle, 2);
        for step in steps {
            apply(&mut harness, step);
        }
        let in_progress: Vec<_> = harness.attempts.keys().copied().collect();
        in_progress.into_iter().for_each(|attempt| harness.cancel(attempt));
        harness.advance_time(Duration::from_secs(5));
        prop_assert_eq!(harness.router.attempts_in_flight(), 0);
    }
}
