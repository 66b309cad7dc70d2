//! Choice of the members that read the store, by rank and staleness.

use crate::gateway::views::freshness::Freshness;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::peer::view::{StoreRevision, ViewDigest};

const STALENESS_LIMIT: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

fn digest(configuration: u64, registry: u64) -> ViewDigest {
    ViewDigest {
        configuration,
        registry: StoreRevision::without_era(registry),
        evacuations: StoreRevision::without_era(1),
    }
}

fn freshness_of_rank(rank: usize) -> Freshness {
    let mut freshness = Freshness::new(STALENESS_LIMIT);
    freshness.set_rank(rank);
    freshness
}

#[test]
fn first_rank_always_reads() {
    let mut freshness = freshness_of_rank(0);
    freshness.confirm(at(5_000));
    assert!(freshness.should_read(at(5_000)));
}

#[test]
fn unconfirmed_node_reads_within_staleness_limit() {
    assert!(!freshness_of_rank(7).should_read(at(0)));
    assert!(freshness_of_rank(7).should_read(at(1_000)));
    assert_eq!(freshness_of_rank(7).next_timeout(at(0)), Some(at(1_000)));
    assert!(freshness_of_rank(1).should_read(at(600)));
}

#[test]
fn ranks_take_over_in_order_within_staleness_limit() {
    let mut due = Vec::new();
    for rank in 1..8 {
        let mut freshness = freshness_of_rank(rank);
        freshness.confirm(at(5_000));
        let reads = |after: &u64| freshness.should_read(at(5_000 + after));
        let first = (0..2_000).find(reads).expect("never reads");
        assert_eq!(freshness.next_timeout(at(5_000)), Some(at(5_000 + first)));
        due.push(first);
    }
    assert_eq!(due, [600, 700, 800, 900, 1_000, 1_000, 1_000]);
}

#[test]
fn equal_peer_digest_confirms_with_its_age() {
    let mut freshness = freshness_of_rank(3);
    freshness.record_peer_digest(
        at(5_000),
        digest(4, 70),
        digest(4, 70),
        Duration::from_millis(200),
    );
    assert_eq!(freshness.confirmed_at(), Some(at(4_800)));
}

#[test]
fn newer_peer_digest_confirms_after_catching_up() {
    let mut freshness = freshness_of_rank(3);
    let age = Duration::from_millis(100);
    freshness.record_peer_digest(at(5_000), digest(4, 70), digest(5, 70), age);
    assert_eq!(freshness.confirmed_at(), None);
    freshness.confirm_if_caught_up(digest(4, 90));
    assert_eq!(freshness.confirmed_at(), None);
    freshness.confirm_if_caught_up(digest(5, 90));
    assert_eq!(freshness.confirmed_at(), Some(at(4_900)));
}

#[test]
fn unconfirmed_peer_digest_confirms_nothing() {
    let mut freshness = freshness_of_rank(3);
    freshness.record_peer_digest(at(5_000), digest(4, 70), digest(4, 70), Duration::MAX);
    assert_eq!(freshness.confirmed_at(), None);
}

#[test]
fn older_peer_confirmation_is_ignored() {
    let mut freshness = freshness_of_rank(3);
    freshness.confirm(at(5_000));
    let age = Duration::from_millis(900);
    freshness.record_peer_digest(at(5_100), digest(4, 70), digest(4, 70), age);
    assert_eq!(freshness.confirmed_at(), Some(at(5_000)));
}
