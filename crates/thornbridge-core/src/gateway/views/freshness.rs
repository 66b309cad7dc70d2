//! How old the views may be, and who reads the store for the others.
//!
//! Calls to the store are priced, and a change wakes every watch. So one member, the first in the
//! order of the member list, watches closely; the others follow: they hear of changes from peers,
//! and ask a peer how long ago the store last confirmed what they know. Guards against a reader
//! that is cut off, or an answer that never comes: whoever has not been confirmed for long enough
//! reads the store itself, the next members in order first.

use super::peers::is_behind;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::peer::view::ViewDigest;

/// Share of the limit at which the second member in order begins to read.
const FIRST_TAKEOVER: f64 = 0.6;
/// Share of the limit that each further member waits beyond it.
const TAKEOVER_STEP: f64 = 0.1;
/// Time after a start at which the second member in order reads, where nothing was confirmed.
const FIRST_UNCONFIRMED: Duration = Duration::from_millis(800);
/// Time that each further member waits beyond it: when all start at once, the views come from few.
const UNCONFIRMED_STEP: Duration = Duration::from_millis(100);

/// What is known of the age of this node's views.
#[derive(Debug)]
pub(in crate::gateway) struct Freshness {
    limit: Duration,
    rank: usize,
    confirmed: Option<Timestamp>,
    /// A newer view that a peer has, and when the store confirmed that.
    ahead: Option<(ViewDigest, Timestamp)>,
}

impl Freshness {
    pub(in crate::gateway) fn new(limit: Duration) -> Self {
        Self {
            limit,
            rank: 0,
            confirmed: None,
            ahead: None,
        }
    }

    /// Takes a new limit.
    pub(in crate::gateway) fn set_limit(&mut self, limit: Duration) {
        self.limit = limit;
    }

    /// Takes this node's place among the members; 0 reads for all.
    pub(in crate::gateway) fn set_rank(&mut self, rank: usize) {
        self.rank = rank;
    }

    /// The store confirmed the views as of `at`.
    pub(in crate::gateway) fn confirm(&mut self, at: Timestamp) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// A peer told what it has, and how long ago the store confirmed that.
    pub(in crate::gateway) fn heard(
        &mut self,
        now: Timestamp,
        own: ViewDigest,
        theirs: ViewDigest,
        age: Duration,
    ) {
        if age > self.limit {
            return;
        }
        let at = Timestamp::ZERO + now.since_epoch().saturating_sub(age);
        self.ahead = Some((theirs, at));
        self.caught_up(own);
    }

    /// This node's views changed: they may be what a peer has.
    pub(in crate::gateway) fn caught_up(&mut self, own: ViewDigest) {
        let Some((digest, at)) = self.ahead else {
            return;
        };
        if !is_behind(own, digest) {
            self.ahead = None;
            self.confirm(at);
        }
    }

    /// When the store last confirmed the views.
    pub(in crate::gateway) fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    /// This node's place in the order of readers.
    pub(in crate::gateway) fn rank(&self) -> usize {
        self.rank
    }

    /// Time since then; since the start of this node, where they never were. A node that starts leaves
    /// the store to whoever reads it.
    pub(in crate::gateway) fn age(&self, now: Timestamp) -> Duration {
        now.since(self.confirmed.unwrap_or(Timestamp::ZERO))
    }

    /// Whether this node is to read the store itself.
    pub(in crate::gateway) fn must_read(&self, now: Timestamp) -> bool {
        self.rank == 0 || self.age(now) >= self.patience()
    }

    /// When it will have to, if nothing is confirmed before.
    pub(in crate::gateway) fn next_timeout(&self, now: Timestamp) -> Option<Timestamp> {
        let due = self.confirmed.unwrap_or(Timestamp::ZERO) + self.patience();
        (self.rank > 0 && due > now).then_some(due)
    }

    fn patience(&self) -> Duration {
        let later = self.rank.saturating_sub(1);
        let share = FIRST_TAKEOVER + TAKEOVER_STEP * later as f64;
        let patience = self.limit.mul_f64(share.min(1.0));
        match self.confirmed {
            Some(_) => patience,
            None => patience.min(FIRST_UNCONFIRMED + UNCONFIRMED_STEP * later as u32),
        }
    }
}
