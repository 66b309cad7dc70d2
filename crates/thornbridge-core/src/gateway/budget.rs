//! The budget of attempts beyond the first, one for each service, shared by all nodes.
//!
//! Over any window, a service may get `ratio` extra attempts for each request and `slack` beside
//! them, for all nodes together. The ratio divides by itself: each node counts its own requests.
//! The slack is divided by the members, and the shares must not add up to more than the whole,
//! whatever a node believes or has forgotten:
//!
//! - It is divided by the highest number of members that this process ever knew. Members that a node
//!   has lost may still be there and use their shares.
//! - A node that is to join through others and has met none uses no share: it cannot know how many
//!   there are.
//! - In its first window a process uses no share, and of what its requests earn only what the process
//!   before it left: that one may have used its part up to its last moment.
//!
//! A share of less than one attempt is drawn, so that a slack of fewer attempts than nodes is used at
//! all: some nodes have one, so few that the sum holds.
//!
//! Without these, 67 processes made up to 2,116 extra attempts at a shard in ten seconds where 688
//! were allowed, as its servers counted them while the nodes that others join through were away; and
//! 648 where 619 were, when all were killed together.

use super::parameters::BudgetParameters;
use super::window::SumWindow;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Position of a service in the table of services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServiceKey(pub(super) u32);

/// Standard deviations by which the sum of all nodes' draws stays below the slack.
const DRAW_DEVIATIONS: f64 = 4.0;

/// Steps that a window is counted in.
const WINDOW_STEPS: u32 = 40;

#[derive(Debug)]
struct ServiceBudget {
    requests: SumWindow,
    extra: SumWindow,
}

/// How many nodes share the slack, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharers {
    /// Others are named to join through, and none was met yet.
    Unknown,
    /// At most so many were members at one moment, this node included.
    AtMost(usize),
}

/// Budgets of all services.
#[derive(Debug)]
pub(super) struct ExtraAttemptBudget {
    parameters: BudgetParameters,
    sharers: Sharers,
    services: BTreeMap<ServiceKey, ServiceBudget>,
    /// What this process draws its shares by.
    seed: u64,
}

impl ExtraAttemptBudget {
    /// `others_named`: whether other nodes are named to join through, also where this is one of them.
    pub(super) fn new(parameters: BudgetParameters, others_named: bool, seed: u64) -> Self {
        Self {
            seed,
            sharers: match others_named {
                true => Sharers::Unknown,
                false => Sharers::AtMost(1),
            },
            services: BTreeMap::new(),
            parameters,
        }
    }

    /// Takes new tunable values. Another window begins anew, without anything earned.
    pub(super) fn set_parameters(&mut self, parameters: BudgetParameters) {
        if parameters.window != self.parameters.window {
            self.services.clear();
        }
        self.parameters = parameters;
    }

    /// Members, this node included, that share the slack.
    pub(super) fn set_members(&mut self, members: usize) {
        self.sharers = match self.sharers {
            Sharers::Unknown if members < 2 => Sharers::Unknown,
            Sharers::Unknown => Sharers::AtMost(members),
            Sharers::AtMost(most) => Sharers::AtMost(most.max(members)),
        };
    }

    /// Nodes by which the slack is divided; `None` while that cannot be known.
    pub(super) fn sharers(&self) -> Option<usize> {
        match self.sharers {
            Sharers::Unknown => None,
            Sharers::AtMost(members) => Some(members),
        }
    }

    /// This node's share of the slack, once it uses one.
    pub(super) fn slack_share(&self) -> f64 {
        match self.sharers {
            Sharers::Unknown => 0.0,
            Sharers::AtMost(members) => self.parameters.slack / members as f64,
        }
    }

    /// Extra attempts of a window that this node may use of the slack, beside those that requests
    /// earn.
    fn slack_allowance(&self, service: ServiceKey) -> f64 {
        let share = self.parameters.used_share * self.slack_share();
        if share >= 1.0 {
            return share;
        }
        let members = self.sharers().unwrap_or(1) as f64;
        let deviation = (share * (1.0 - share) / members).sqrt();
        let chance = share - DRAW_DEVIATIONS * deviation;
        let drawn = xxh3_64_with_seed(&service.0.to_le_bytes(), self.seed);
        let draw = drawn as f64 / u64::MAX as f64;
        f64::from(u8::from(draw < chance))
    }

    /// Whether attempts of a process before this one may count yet.
    fn is_settling(&self, now: Timestamp) -> bool {
        let settled = self.parameters.settling_windows;
        now.since_epoch() < self.parameters.window.mul_f64(settled)
    }

    /// A request for a service came.
    pub(super) fn request(&mut self, now: Timestamp, service: ServiceKey) {
        self.budget(service).requests.add(now, 1);
    }

    /// Whether an extra attempt is allowed now.
    pub(super) fn allows(&mut self, now: Timestamp, service: ServiceKey) -> bool {
        let settling = self.is_settling(now);
        let slack = self.slack_allowance(service);
        let (ratio, used) = (self.parameters.ratio, self.parameters.used_share);
        let budget = self.budget(service);
        let earned = ratio * budget.requests.sum(now) as f64;
        let extra = budget.extra.sum(now) as f64;
        let most = match settling {
            true => (1.0 - used) * earned,
            false => used * earned + slack,
        };
        extra + 1.0 <= most
    }

    /// Takes one extra attempt; `false`, and nothing taken, where the budget does not allow it.
    #[must_use]
    pub(super) fn try_take(&mut self, now: Timestamp, service: ServiceKey) -> bool {
        if !self.allows(now, service) {
            return false;
        }
        self.budget(service).extra.add(now, 1);
        true
    }

    fn budget(&mut self, service: ServiceKey) -> &mut ServiceBudget {
        let step = self.parameters.window / WINDOW_STEPS;
        self.services
            .entry(service)
            .or_insert_with(|| ServiceBudget {
                requests: SumWindow::new(step, WINDOW_STEPS),
                // One step more: an attempt still counts where it arrives late.
                extra: SumWindow::new(step, WINDOW_STEPS + 2),
            })
    }
}
