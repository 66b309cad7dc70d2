//! Order in which queued parts of a server are sent.

use crate::driver_action::CallerId;
use crate::gateway::servers::{PartQueue, QueuedPart};
use crate::time::Timestamp;
use proptest::prelude::*;
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

fn part(caller: u64, send_by: u64, deadline: u64) -> QueuedPart {
    QueuedPart {
        caller: CallerId(caller),
        part: 0,
        send_by: at(send_by),
        deadline: at(deadline),
    }
}

fn order(now: u64, parts: &[QueuedPart]) -> Vec<u64> {
    let mut queue = PartQueue::default();
    parts.iter().for_each(|part| queue.push(*part));
    let popped = std::iter::from_fn(|| queue.pop(at(now)));
    popped.map(|part| part.caller.0).collect()
}

#[test]
fn parts_in_time_are_sent_before_late_ones() {
    let parts = [part(1, 40, 900), part(2, 90, 1_500), part(3, 70, 1_500)];
    assert_eq!(order(50, &parts), [3, 2, 1]);
}

#[test]
fn late_parts_are_sent_by_deadline() {
    let parts = [part(1, 10, 1_500), part(2, 20, 800), part(3, 30, 1_600)];
    assert_eq!(order(50, &parts), [2, 1, 3]);
}

#[test]
fn late_parts_with_equal_deadlines_keep_arrival_order() {
    let parts = [part(1, 30, 800), part(2, 20, 800), part(3, 10, 800)];
    assert_eq!(order(50, &parts), [1, 2, 3]);
}

#[test]
fn removed_part_is_not_sent() {
    let mut queue = PartQueue::default();
    queue.push(part(1, 10, 800));
    queue.push(part(2, 10, 900));
    queue.remove(CallerId(1), 0);
    assert_eq!(queue.pop(at(0)).map(|part| part.caller), Some(CallerId(2)));
    assert!(queue.is_empty());
}

proptest! {
    #[test]
    fn each_part_is_sent_once(parts in prop::collection::vec((0..200_u64, 0..2_000_u64), 0..20), now in 0..300_u64) {
        let parts: Vec<QueuedPart> = (0_u64..).zip(&parts).map(|(caller, (send_by, deadline))| part(caller, *send_by, *deadline)).collect();
        let mut sent = order(now, &parts);
        sent.sort_unstable();
        let all: Vec<u64> = (0..parts.len() as u64).collect();
        prop_assert_eq!(sent, all);
    }
}
