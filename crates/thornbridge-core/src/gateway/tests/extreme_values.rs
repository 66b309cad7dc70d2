//! Values at the ends of their ranges, from entries of other writers and from callers, end no process.

use super::support::{Harness, RECORD, answer, gather, instance, millis, route};
use crate::gateway::event::{ViewKind, ViewObject};
use std::time::Duration;
use thornbridge_config::routes::Repeatability::Repeatable;
use thornbridge_proto::peer::view::{Instance, InstanceState, StoreRevision};

/// Longest time that a configuration is decoded to.
const LONGEST_CONFIGURED: Duration = Duration::from_secs(24 * 60 * 60);

/// Gateway whose routes and callers allow the longest times.
fn gateway_with_longest_times() -> Harness {
    let mut route = route("/", gather(&["a", "b"], 0.5), Repeatable);
    route.time_limit = LONGEST_CONFIGURED;
    route.latency_objective = LONGEST_CONFIGURED;
    route.attempts = u32::MAX;
    Harness::serving(vec![route], &[("i-1", "a"), ("i-2", "b"), ("i-3", "b")])
}

fn extreme_instance() -> Instance {
    Instance {
        born_ms: u64::MAX,
        slots: u32::MAX,
        cold_milliseconds: u32::MAX,
        ..instance("i-4", "a", InstanceState::Ready)
    }
}

#[test]
fn requests_are_served_beside_extreme_entries() {
    let mut harness = gateway_with_longest_times();
    let revision = StoreRevision::without_era(2);
    let entry = ViewObject::Instance(revision, extreme_instance());
    harness.watch_reply(ViewKind::Registry, vec![entry], 2);
    for timeout in [Duration::MAX, Duration::from_millis(u64::MAX), millis(0)] {
        let caller = harness.send_request_with_timeout("/x", timeout);
        harness.advance(millis(500));
        for sent in harness.sent_for(caller) {
            harness.reply(sent.attempt, answer(RECORD));
        }
        harness.advance(millis(500));
    }
    let caller = harness.send_request_with_timeout("/x", Duration::from_secs(3));
    for sent in harness.sent_for(caller) {
        harness.reply(sent.attempt, answer(RECORD));
    }
    assert!(harness.answers.contains_key(&caller));
}
