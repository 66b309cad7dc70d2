//! How soon nodes have further requests: how long their permits must live, and how many they use.

use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Lifetime of a permit, as a multiple of the time since its node last had a request.
const LIFETIME_FACTOR: u32 = 2;
/// Reports assumed before any is known; half of them were followed by a request in time.
const PRIOR_REPORTS: f64 = 2.0;
/// Least part of the permits that is expected to be used.
const USED_SHARE_MINIMUM: f64 = 0.05;

/// Bounds of the lifetime of permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LifetimeBounds {
    pub(super) shortest: Duration,
    pub(super) longest: Duration,
}

/// Requests of one node on one route.
#[derive(Debug)]
struct Reporter {
    last_request_at: Timestamp,
    /// Lifetime of a permit granted at that time.
    lifetime: Duration,
}

/// Times of the last requests by node and route.
#[derive(Debug)]
pub(super) struct Reuse {
    bounds: LifetimeBounds,
    by_node: BTreeMap<SocketAddr, BTreeMap<String, Reporter>>,
    /// Reports of requests.
    reports: u64,
    /// Reports that were followed by a request within the lifetime of a permit.
    reused: u64,
}

impl Reuse {
    pub(super) fn new(bounds: LifetimeBounds) -> Self {
        Self {
            bounds,
            by_node: BTreeMap::new(),
            reports: 0,
            reused: 0,
        }
    }

    /// Takes the report of requests of a node on a route.
    pub(super) fn record(&mut self, now: Timestamp, node: SocketAddr, route: &str) {
        self.reports += 1;
        let routes = self.by_node.entry(node).or_default();
        let Some(reporter) = routes.get_mut(route) else {
            let reporter = Reporter {
                last_request_at: now,
                lifetime: self.bounds.longest,
            };
            routes.insert(route.to_owned(), reporter);
            return;
        };
        let interval = now.since(reporter.last_request_at);
        self.reused += u64::from(interval <= reporter.lifetime);
        let LifetimeBounds { shortest, longest } = self.bounds;
        reporter.lifetime = (interval * LIFETIME_FACTOR).clamp(shortest, longest);
        reporter.last_request_at = now;
    }

    /// Lifetime of a permit for a node and route.
    pub(super) fn lifetime(&self, node: SocketAddr, route: &str) -> Duration {
        let routes = self.by_node.get(&node);
        let reporter = routes.and_then(|routes| routes.get(route));
        reporter.map_or(self.bounds.longest, |reporter| reporter.lifetime)
    }

    /// Part of the permits that nodes are expected to use.
    pub(super) fn used_share(&self) -> f64 {
        let reused = self.reused as f64 + PRIOR_REPORTS / 2.0;
        let share = reused / (self.reports as f64 + PRIOR_REPORTS);
        share.max(USED_SHARE_MINIMUM)
    }
}
