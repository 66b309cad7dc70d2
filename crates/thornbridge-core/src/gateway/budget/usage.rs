//! Use of the budget by this node, reported once per window.
//!
//! The budget bounds a sum over all nodes. To trace an excess, the reports of all nodes for one
//! service are added up: who counted the requests and who sent the extra attempts.

use super::ServiceKey;
use std::cmp::Reverse;

/// Maximum number of services in one report.
const MAX_REPORTED_SERVICES: usize = 8;

/// Use of one service's budget by this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::gateway) struct ServiceUsage {
    /// Requests counted in the window.
    pub(in crate::gateway) requests: u64,
    /// Requests counted in the window before.
    pub(in crate::gateway) previous_requests: u64,
    /// Extra attempts taken in the window.
    pub(in crate::gateway) extra: u64,
    /// Denials in the window; an attempt that waits may be denied repeatedly.
    pub(in crate::gateway) denied: u64,
    /// Attempts meant for the service that reached a server of another one in the window.
    pub(in crate::gateway) misdirected: u64,
}

impl ServiceUsage {
    /// Ends the window and returns its counts.
    pub(super) fn end_window(&mut self) -> Self {
        let next = Self {
            previous_requests: self.requests,
            ..Self::default()
        };
        std::mem::replace(self, next)
    }

    fn wanted(&self) -> u64 {
        self.extra + self.denied + self.misdirected
    }
}

/// Keeps the services that wanted most extra attempts, largest first.
pub(super) fn largest(
    services: impl Iterator<Item = (ServiceKey, ServiceUsage)>,
) -> Vec<(ServiceKey, ServiceUsage)> {
    let mut largest: Vec<_> = services.filter(|(_, usage)| usage.wanted() > 0).collect();
    largest.sort_by_key(|(_, usage)| Reverse(usage.wanted()));
    largest.truncate(MAX_REPORTED_SERVICES);
    largest
}
