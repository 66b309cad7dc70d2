//! Retry budget: limits extra attempts (retries and hedges) per service, over all nodes.
//!
//! Within any window, all nodes together may send a service `ratio` extra attempts for each request,
//! plus `slack`. The requests are those of that window, of the one before, or of the one that begins
//! half a window earlier: the largest of the three counts, summed over all nodes. If each node took the
//! one with most of its own requests, then nodes with requests at different times would take different
//! ones, and their sum could exceed the budget. Therefore every node uses the mean of the first two,
//! which is never above the largest, and keeps to it in every window that contains the present.
//!
//! The slack is divided among the members; the shares must never add up to more than the slack, even if
//! nodes restart or lose sight of each other:
//!
//! - The slack is divided by the highest number of members seen by this process, since lost members
//!   may still be running and using their shares.
//! - A node with seeds that has not met any other member uses no share, since the number of members
//!   is unknown.
//! - In its first window, a process uses no share of the slack, and of the attempts earned by
//!   requests only the part that its predecessor left unused.
//!
//! A share below one attempt is granted by a random draw per process and service, so that a slack
//! smaller than the number of nodes can be used. The probability is low enough for the sum of all
//! nodes' grants to stay below the slack.

mod history;
mod usage;

pub(super) use usage::ServiceUsage;

use super::parameters::BudgetParameters;
use crate::time::Timestamp;
use history::{History, WindowCounts};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Index of a service in the table of services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServiceKey(pub(super) u32);

/// Standard deviations by which the expected sum of all nodes' draws stays below the slack.
const DRAW_DEVIATIONS: f64 = 4.0;

#[derive(Debug)]
struct ServiceBudget {
    history: History,
    /// Counts since the last report.
    usage: ServiceUsage,
}

/// Extra attempts allowed in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allowance {
    /// Earned by each request.
    by_request: f64,
    /// Beyond those.
    slack: f64,
}

impl Allowance {
    /// Whether another extra attempt fits into a window with these counts.
    fn fits(self, counts: WindowCounts) -> bool {
        let requests = f64::from(counts.requests) / 2.0;
        f64::from(counts.extra) + 1.0 <= self.by_request * requests + self.slack
    }
}

/// Upper bound of the number of nodes that share the slack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MemberBound {
    /// Another node is configured as a seed, and no other member has been met.
    Unknown,
    /// Highest number of members seen at a time, this node included.
    AtMost(usize),
}

/// Budgets for extra attempts of all services.
#[derive(Debug)]
pub(super) struct ExtraAttemptBudget {
    parameters: BudgetParameters,
    member_bound: MemberBound,
    services: BTreeMap<ServiceKey, ServiceBudget>,
    next_report: Timestamp,
    /// Seed for the draws of shares below one attempt.
    seed: u64,
}

impl ExtraAttemptBudget {
    /// `has_other_seeds`: whether a node other than this one is configured as a seed.
    pub(super) fn new(parameters: BudgetParameters, has_other_seeds: bool, seed: u64) -> Self {
        Self {
            seed,
            member_bound: match has_other_seeds {
                true => MemberBound::Unknown,
                false => MemberBound::AtMost(1),
            },
            services: BTreeMap::new(),
            next_report: Timestamp::ZERO + parameters.window,
            parameters,
        }
    }

    /// Applies new parameters; a changed window length resets all budgets.
    pub(super) fn set_parameters(&mut self, parameters: BudgetParameters) {
        if parameters.window != self.parameters.window {
            self.services.clear();
        }
        self.parameters = parameters;
    }

    /// Updates the number of members, this node included, that share the slack.
    pub(super) fn set_members(&mut self, members: usize) {
        self.member_bound = match self.member_bound {
            MemberBound::Unknown if members < 2 => MemberBound::Unknown,
            MemberBound::Unknown => MemberBound::AtMost(members),
            MemberBound::AtMost(highest) => MemberBound::AtMost(highest.max(members)),
        };
    }

    /// Number of members that the slack is divided by; `None` while unknown.
    pub(super) fn member_bound(&self) -> Option<usize> {
        match self.member_bound {
            MemberBound::Unknown => None,
            MemberBound::AtMost(members) => Some(members),
        }
    }

    /// This node's share of the slack, in attempts per window.
    pub(super) fn slack_share(&self) -> f64 {
        match self.member_bound {
            MemberBound::Unknown => 0.0,
            MemberBound::AtMost(members) => self.parameters.slack / members as f64,
        }
    }

    /// Extra attempts per window that this node may take from the slack, beyond those earned by
    /// requests.
    fn slack_allowance(&self, service: ServiceKey) -> f64 {
        let share = self.parameters.used_share * self.slack_share();
        if share >= 1.0 {
            return share;
        }
        let members = self.member_bound().unwrap_or(1) as f64;
        let deviation = (share * (1.0 - share) / members).sqrt();
        let probability = share - DRAW_DEVIATIONS * deviation;
        let hash = xxh3_64_with_seed(&service.0.to_le_bytes(), self.seed);
        let draw = hash as f64 / u64::MAX as f64;
        f64::from(u8::from(draw < probability))
    }

    /// Whether attempts of the previous process may still count in the current window.
    fn is_settling(&self, now: Timestamp) -> bool {
        let windows = self.parameters.settling_windows;
        now.since_epoch() < self.parameters.window.mul_f64(windows)
    }

    /// Counts a request for a service.
    pub(super) fn record_request(&mut self, now: Timestamp, service: ServiceKey) {
        let budget = self.budget(service);
        budget.history.add_request(now);
        budget.usage.requests += 1;
    }

    /// Whether an extra attempt is allowed now.
    pub(super) fn allows(&mut self, now: Timestamp, service: ServiceKey) -> bool {
        let allowance = self.allowance(now, service);
        let budget = self.budget(service);
        let mut windows = budget.history.windows(now);
        let allowed = windows.all(|counts| allowance.fits(counts));
        drop(windows);
        budget.usage.denied += u64::from(!allowed);
        allowed
    }

    /// Whether an extra attempt may be allowed at `by`, a later time, if there are no others until then.
    pub(super) fn may_allow_by(
        &mut self,
        now: Timestamp,
        by: Timestamp,
        service: ServiceKey,
    ) -> bool {
        let allowance = self.allowance(by, service);
        let history = &mut self.budget(service).history;
        history
            .windows_at(now, by)
            .all(|counts| allowance.fits(counts))
    }

    /// Extra attempts that this node may send to a service in a window.
    fn allowance(&self, now: Timestamp, service: ServiceKey) -> Allowance {
        let used_share = self.parameters.used_share;
        let (earned_share, slack) = match self.is_settling(now) {
            true => (1.0 - used_share, 0.0),
            false => (used_share, self.slack_allowance(service)),
        };
        Allowance {
            by_request: earned_share * self.parameters.ratio,
            slack,
        }
    }

    /// Takes one extra attempt from the budget; returns `false` and takes none if it is exhausted.
    #[must_use]
    pub(super) fn try_take(&mut self, now: Timestamp, service: ServiceKey) -> bool {
        if !self.allows(now, service) {
            return false;
        }
        let budget = self.budget(service);
        budget.history.add_extra(now);
        budget.usage.extra += 1;
        true
    }

    /// Counts an attempt for a service that reached a server of another one.
    pub(super) fn record_misdirected(&mut self, service: ServiceKey) {
        self.budget(service).usage.misdirected += 1;
    }

    /// Use since the last report, for the services that wanted most extra attempts; empty until a
    /// window has passed.
    pub(super) fn report_usage(&mut self, now: Timestamp) -> Vec<(ServiceKey, ServiceUsage)> {
        if now < self.next_report {
            return Vec::new();
        }
        self.next_report = now + self.parameters.window;
        let services = self.services.iter_mut();
        usage::largest(services.map(|(key, budget)| (*key, budget.usage.end_window())))
    }

    fn budget(&mut self, service: ServiceKey) -> &mut ServiceBudget {
        let window = self.parameters.window;
        let services = self.services.entry(service);
        services.or_insert_with(|| ServiceBudget {
            history: History::new(window),
            usage: ServiceUsage::default(),
        })
    }
}
