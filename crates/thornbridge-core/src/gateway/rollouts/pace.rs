//! Pace of permits: how many are outstanding, and how many may be granted now.
//!
//! A node with few requests often lets its permit lapse. The pace is therefore kept in permits that are
//! expected to be used, while the ledger counts every permit in full until it returns.

use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after a permit's end by which its node has returned it.
const RETURN_TIME: Duration = Duration::from_millis(500);
/// Longest time of which unused pace is kept.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Tolerance of sums of fractions.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
struct Grant {
    settles_at: Timestamp,
    route: String,
    permits: u32,
}

/// Outstanding permits, and a token bucket for further ones.
#[derive(Debug)]
pub(super) struct Pace {
    grants: VecDeque<Grant>,
    /// Part of the permits that is expected to be used.
    used_share: f64,
    /// Permits that may be used now.
    tokens: f64,
    refilled_at: Option<Timestamp>,
}

impl Pace {
    pub(super) fn new() -> Self {
        Self {
            grants: VecDeque::new(),
            used_share: 1.0,
            tokens: 0.0,
            refilled_at: None,
        }
    }

    /// Forgets permits that ended.
    pub(super) fn settle(&mut self, now: Timestamp, used_share: f64) {
        self.used_share = used_share;
        self.grants.retain(|grant| now < grant.settles_at);
    }

    /// Refills the bucket.
    pub(super) fn refill(&mut self, now: Timestamp, permits_per_s: f64) {
        let elapsed = self.refilled_at.map_or(BURST_TIME, |at| now.since(at));
        let capacity = (permits_per_s * BURST_TIME.as_secs_f64()).max(1.0);
        let refilled = self.tokens + permits_per_s * elapsed.as_secs_f64();
        self.tokens = refilled.min(capacity);
        self.refilled_at = Some(now);
    }

    pub(super) fn record_granted(&mut self, until: Timestamp, route: &str, permits: u32) {
        self.tokens -= f64::from(permits) * self.used_share;
        self.grants.push_back(Grant {
            settles_at: until + RETURN_TIME,
            route: route.to_owned(),
            permits,
        });
    }

    /// Permits that may be granted, if `room` may be used.
    pub(super) fn grantable(&self, room: f64) -> u32 {
        (room.min(self.tokens) / self.used_share + ROUNDING).max(0.0) as u32
    }

    /// Outstanding permits that are not expected to be used.
    pub(super) fn expected_returns(&self) -> f64 {
        let outstanding: u32 = self.grants.iter().map(|grant| grant.permits).sum();
        f64::from(outstanding) * (1.0 - self.used_share)
    }

    /// Outstanding permits of a route.
    pub(super) fn outstanding_of(&self, route: &str) -> u32 {
        let of_route = self.grants.iter().filter(|grant| grant.route == route);
        of_route.map(|grant| grant.permits).sum()
    }
}
