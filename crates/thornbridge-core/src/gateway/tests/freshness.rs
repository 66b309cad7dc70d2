//! Who reads the store, and when the others stop trusting the reader.

use crate::gateway::views::freshness::Freshness;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::peer::view::{StoreRevision, ViewDigest};

const LIMIT: Duration = Duration::from_millis(1_000);

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

fn follower(rank: usize) -> Freshness {
    let mut freshness = Freshness::new(LIMIT);
    freshness.set_rank(rank);
    freshness
}

#[test]
fn the_first_member_always_reads() {
    let mut freshness = follower(0);
    freshness.confirm(at(5_000));
    assert!(freshness.should_read(at(5_000)));
}

#[test]
fn a_node_that_nothing_confirmed_reads_within_the_limit() {
    assert!(!follower(7).should_read(at(0)));
    assert!(follower(7).should_read(at(1_000)));
    assert_eq!(follower(7).next_timeout(at(0)), Some(at(1_000)));
    assert!(follower(1).should_read(at(600)));
}

#[test]
fn the_next_members_take_over_one_after_the_other_within_the_limit() {
    let mut due = Vec::new();
    for rank in 1..8 {
        let mut freshness = follower(rank);
        freshness.confirm(at(5_000));
        let reads = |after: &u64| freshness.should_read(at(5_000 + after));
        let first = (0..2_000).find(reads).expect("it reads at last");
        assert_eq!(freshness.next_timeout(at(5_000)), Some(at(5_000 + first)));
        due.push(first);
    }
    assert_eq!(due, [600, 700, 800, 900, 1_000, 1_000, 1_000]);
}

#[test]
fn a_peer_that_has_as_much_confirms_with_its_age() {
    let mut freshness = follower(3);
    freshness.record_peer_digest(
        at(5_000),
        digest(4, 70),
        digest(4, 70),
        Duration::from_millis(200),
    );
    assert_eq!(freshness.confirmed_at(), Some(at(4_800)));
}

#[test]
fn a_peer_that_has_more_confirms_once_it_was_caught_up_with() {
    let mut freshness = follower(3);
    let age = Duration::from_millis(100);
    freshness.record_peer_digest(at(5_000), digest(4, 70), digest(5, 70), age);
    assert_eq!(freshness.confirmed_at(), None);
    freshness.confirm_if_caught_up(digest(4, 90));
    assert_eq!(freshness.confirmed_at(), None);
    freshness.confirm_if_caught_up(digest(5, 90));
    assert_eq!(freshness.confirmed_at(), Some(at(4_900)));
}

#[test]
fn a_peer_that_the_store_does_not_serve_confirms_nothing() {
    let mut freshness = follower(3);
    freshness.record_peer_digest(at(5_000), digest(4, 70), digest(4, 70), Duration::MAX);
    assert_eq!(freshness.confirmed_at(), None);
}

#[test]
fn an_older_word_takes_nothing_back() {
    let mut freshness = follower(3);
    freshness.confirm(at(5_000));
    let age = Duration::from_millis(900);
    freshness.record_peer_digest(at(5_100), digest(4, 70), digest(4, 70), age);
    assert_eq!(freshness.confirmed_at(), Some(at(5_000)));
}
