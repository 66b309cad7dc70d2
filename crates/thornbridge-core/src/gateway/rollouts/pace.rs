//! Pace of permits: how many are in use, how many will be used, and how many may be granted now.
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
/// Least part of the permits that is expected to be used.
const USED_SHARE_MINIMUM: f64 = 0.05;
/// Permits assumed settled before any is.
const PRIOR_SETTLED: f64 = 2.0;
/// Used ones among [`PRIOR_SETTLED`].
const PRIOR_USED: f64 = 1.0;
/// Tolerance of sums of fractions.
const ROUNDING: f64 = 1e-6;

#[derive(Debug)]
struct Grant {
    settles_at: Timestamp,
    route: String,
    permits: u32,
}

/// Permits in use, and a token bucket for further ones.
#[derive(Debug, Default)]
pub(super) struct Pace {
    grants: VecDeque<Grant>,
    outstanding: u32,
    settled: u64,
    returned: u64,
    /// Permits that may be used now.
    tokens: f64,
    refilled_at: Option<Timestamp>,
}

impl Pace {
    /// Settles permits that ended, and refills the bucket.
    pub(super) fn advance(&mut self, now: Timestamp, permits_per_s: f64) {
        self.settle(now);
        let elapsed = self.refilled_at.map_or(BURST_TIME, |at| now.since(at));
        let capacity = (permits_per_s * BURST_TIME.as_secs_f64()).max(1.0);
        let refilled = self.tokens + permits_per_s * elapsed.as_secs_f64();
        self.tokens = refilled.min(capacity);
        self.refilled_at = Some(now);
    }

    pub(super) fn record_returned(&mut self, permits: u32) {
        self.returned += u64::from(permits);
    }

    pub(super) fn record_granted(
        &mut self,
        now: Timestamp,
        valid: Duration,
        route: &str,
        permits: u32,
    ) {
        self.tokens -= f64::from(permits) * self.used_share();
        self.outstanding += permits;
        self.grants.push_back(Grant {
            settles_at: now + valid + RETURN_TIME,
            route: route.to_owned(),
            permits,
        });
    }

    /// Permits that may be granted, if `room` may be used.
    pub(super) fn grantable(&self, room: f64) -> u32 {
        (room.min(self.tokens) / self.used_share() + ROUNDING).max(0.0) as u32
    }

    /// Outstanding permits that are not expected to be used.
    pub(super) fn expected_returns(&self) -> f64 {
        f64::from(self.outstanding) * (1.0 - self.used_share())
    }

    /// Outstanding permits of a route.
    pub(super) fn outstanding_of(&self, route: &str) -> u32 {
        let of_route = self.grants.iter().filter(|grant| grant.route == route);
        of_route.map(|grant| grant.permits).sum()
    }

    /// Part of the permits that nodes use.
    fn used_share(&self) -> f64 {
        let used = self.settled as f64 - self.returned as f64 + PRIOR_USED;
        let share = used / (self.settled as f64 + PRIOR_SETTLED);
        share.clamp(USED_SHARE_MINIMUM, 1.0)
    }

    fn settle(&mut self, now: Timestamp) {
        let settled = self.grants.partition_point(|grant| grant.settles_at <= now);
        for grant in self.grants.drain(..settled) {
            self.outstanding -= grant.permits;
            self.settled += u64::from(grant.permits);
        }
    }
}
