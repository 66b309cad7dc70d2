//! Staleness of the views, and the choice of the members that read the store.
//!
//! Calls to the store are billed, and a change wakes every watch. Only the member of rank 0, the
//! first in the member list, reads continuously. The others follow: peers send them changes, and
//! report how long ago the store confirmed the views. If no confirmation arrives, since the reader
//! failed or is partitioned, the followers begin to read the store themselves, lower ranks first.

use super::gossip::is_behind;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::peer::view::ViewDigest;

/// Share of the staleness limit at which the member of rank 1 begins to read.
const FIRST_TAKEOVER_SHARE: f64 = 0.6;
/// Share of the staleness limit added for each further rank.
const TAKEOVER_SHARE_STEP: f64 = 0.1;
/// Time after the start at which the member of rank 1 begins to read unconfirmed views.
const UNCONFIRMED_TAKEOVER_DELAY: Duration = Duration::from_millis(800);
/// Delay added for each further rank, so that few members read when all start at once.
const UNCONFIRMED_TAKEOVER_STEP: Duration = Duration::from_millis(100);

/// Staleness of this node's views, and its rank among the readers.
#[derive(Debug)]
pub(in crate::gateway) struct Freshness {
    staleness_limit: Duration,
    rank: usize,
    confirmed_at: Option<Timestamp>,
    /// Newer views of a peer, and when the store confirmed them.
    newer_peer_views: Option<(ViewDigest, Timestamp)>,
}

impl Freshness {
    pub(in crate::gateway) fn new(staleness_limit: Duration) -> Self {
        Self {
            staleness_limit,
            rank: 0,
            confirmed_at: None,
            newer_peer_views: None,
        }
    }

    pub(in crate::gateway) fn set_limit(&mut self, staleness_limit: Duration) {
        self.staleness_limit = staleness_limit;
    }

    /// Sets this node's position in the reader order; rank 0 reads for all.
    pub(in crate::gateway) fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// Records that the store confirmed the views at `at`.
    pub(in crate::gateway) fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records a peer's digest and the age of its last confirmation by the store.
    pub(in crate::gateway) fn record_peer_digest(
        &mut self,
        now: Timestamp,
        own: ViewDigest,
        peer_digest: ViewDigest,
        age: Duration,
    ) {
        if age > self.staleness_limit {
            return;
        }
        let at = Timestamp::ZERO + now.since_epoch().saturating_sub(age);
        self.newer_peer_views = Some((peer_digest, at));
        self.confirm_if_caught_up(own);
    }

    /// Takes over a peer's confirmation once this node's views are as new as the peer's.
    pub(in crate::gateway) fn confirm_if_caught_up(&mut self, own: ViewDigest) {
        let Some((digest, at)) = self.newer_peer_views else {
            return;
        };
        if !is_behind(own, digest) {
            self.newer_peer_views = None;
            self.confirm(at);
        }
    }

    /// When the store last confirmed the views.
    pub(in crate::gateway) fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Position in the reader order.
    pub(in crate::gateway) fn rank(&self) -> usize {
        self.rank
    }

    /// Time since the last confirmation, or since the start of this node, so that a node that starts
    /// leaves the store to the current reader.
    pub(in crate::gateway) fn age(&self, now: Timestamp) -> Duration {
        now.since(self.confirmed_at.unwrap_or(Timestamp::ZERO))
    }

    /// Whether this node should read the store itself.
    pub(in crate::gateway) fn should_read(&self, now: Timestamp) -> bool {
        self.rank == 0 || self.age(now) >= self.takeover_delay()
    }

    /// When this node will begin to read unless its views are confirmed before.
    pub(in crate::gateway) fn next_timeout(&self, now: Timestamp) -> Option<Timestamp> {
        let due = self.confirmed_at.unwrap_or(Timestamp::ZERO) + self.takeover_delay();
        (self.rank > 0 && due > now).then_some(due)
    }

    /// Staleness at which a node of this rank begins to read.
    fn takeover_delay(&self) -> Duration {
        let steps = self.rank.saturating_sub(1);
        let share = FIRST_TAKEOVER_SHARE + TAKEOVER_SHARE_STEP * steps as f64;
        let delay = self.staleness_limit.mul_f64(share.min(1.0));
        match self.confirmed_at {
            Some(_) => delay,
            None => {
                delay.min(UNCONFIRMED_TAKEOVER_DELAY + UNCONFIRMED_TAKEOVER_STEP * steps as u32)
            }
        }
    }
}
