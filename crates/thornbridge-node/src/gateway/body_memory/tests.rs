use super::{BodyMemory, BodyReservation};
use bytes::Bytes;
use std::sync::Arc;

fn is_given_up(body: &BodyReservation) -> bool {
    body.given_up.is_cancelled()
}

#[test]
fn largest_body_is_given_up_when_the_sum_exceeds_the_limit() {
    let memory = Arc::new(BodyMemory::new(100));
    let bodies = [memory.reserve(), memory.reserve(), memory.reserve()];
    bodies[0].grow(30);
    bodies[1].grow(50);
    bodies[2].grow(20);
    assert!(!bodies.iter().any(is_given_up));
    bodies[2].grow(1);
    let given_up: Vec<bool> = bodies.iter().map(is_given_up).collect();
    assert_eq!(given_up, [false, true, false]);
    assert_eq!(memory.lock().used_bytes, 51);
}

#[test]
fn body_larger_than_the_limit_gives_up_itself_alone() {
    let memory = Arc::new(BodyMemory::new(100));
    let small = memory.reserve();
    small.grow(90);
    let large = memory.reserve();
    large.grow(101);
    assert!(is_given_up(&large));
    assert!(!is_given_up(&small));
    large.grow(1_000);
    assert_eq!(memory.lock().used_bytes, 90);
}

#[test]
fn ended_bodies_release_their_memory() {
    let memory = Arc::new(BodyMemory::new(100));
    for _ in 0..10 {
        let body = memory.reserve();
        body.grow(100);
        assert!(!is_given_up(&body));
    }
    assert_eq!(memory.lock().used_bytes, 0);
    assert!(memory.lock().bodies.is_empty());
}

/// Complete bodies stay counted and are not given up, since nobody receives them any more.
#[test]
fn complete_bodies_are_counted_until_they_are_dropped() {
    let memory = Arc::new(BodyMemory::new(100));
    let complete = memory.reserve();
    complete.grow(80);
    let complete = complete.hold(Bytes::from("body"));
    let received = memory.reserve();
    received.grow(30);
    assert!(is_given_up(&received));
    assert_eq!(memory.lock().used_bytes, 80);
    drop(complete);
    assert_eq!(memory.lock().used_bytes, 0);
}
