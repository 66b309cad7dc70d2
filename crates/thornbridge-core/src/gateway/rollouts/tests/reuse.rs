//! Lifetimes of permits by how soon a node has another request.

use super::support::{ROUTE, at_ms, node};
use crate::gateway::rollouts::reuse::{LifetimeBounds, Reuse};
use std::time::Duration;

const BOUNDS: LifetimeBounds = LifetimeBounds {
    shortest: Duration::from_secs(1),
    longest: Duration::from_secs(3),
};

/// Node that reported requests at intervals.
fn reported_every(interval_ms: u64) -> Reuse {
    let mut reuse = Reuse::new(BOUNDS);
    for report in 0..20 {
        reuse.record(at_ms(report * interval_ms), node(0), ROUTE);
    }
    reuse
}

#[test]
fn permits_of_a_busy_node_are_short() {
    let reuse = reported_every(100);
    assert_eq!(reuse.lifetime(node(0), ROUTE), BOUNDS.shortest);
}

#[test]
fn permits_of_a_node_with_few_requests_are_long() {
    let reuse = reported_every(5_000);
    assert_eq!(reuse.lifetime(node(0), ROUTE), BOUNDS.longest);
}

#[test]
fn permits_of_an_unknown_node_are_long() {
    let reuse = reported_every(100);
    assert_eq!(reuse.lifetime(node(1), ROUTE), BOUNDS.longest);
}

#[test]
fn busy_nodes_are_expected_to_use_their_permits() {
    assert!(reported_every(100).used_share() > 0.9);
}

#[test]
fn nodes_with_few_requests_are_expected_to_return_permits() {
    assert!(reported_every(5_000).used_share() < 0.1);
}
