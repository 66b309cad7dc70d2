//! Outcomes as nodes report them: totals since the order, of which the conductor needs the differences.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use thornbridge_proto::peer::rollout::{Outcomes, RouteReport};

/// Outcomes at both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ArmOutcomes {
    pub(super) trial: Outcomes,
    pub(super) stable: Outcomes,
}

impl ArmOutcomes {
    fn of(report: &RouteReport) -> Self {
        Self {
            trial: report.trial,
            stable: report.stable,
        }
    }

    /// What was added since `earlier`; `None` if a count fell.
    fn since(self, earlier: Self) -> Option<Self> {
        Some(Self {
            trial: difference(self.trial, earlier.trial)?,
            stable: difference(self.stable, earlier.stable)?,
        })
    }

    pub(super) fn add(&mut self, other: Self) {
        add_outcomes(&mut self.trial, other.trial);
        add_outcomes(&mut self.stable, other.stable);
    }
}

/// Last totals of each node and route.
#[derive(Debug, Default)]
pub(super) struct ReportedTotals {
    by_node: BTreeMap<SocketAddr, BTreeMap<String, ArmOutcomes>>,
}

impl ReportedTotals {
    /// Stores the totals of a route and returns what is new. Counts that fell are those of a restarted
    /// node, and all of them are new.
    pub(super) fn take_new(&mut self, from: SocketAddr, report: &RouteReport) -> ArmOutcomes {
        let reported = ArmOutcomes::of(report);
        let routes = self.by_node.entry(from).or_default();
        let Some(last) = routes.get_mut(&report.route) else {
            routes.insert(report.route.clone(), reported);
            return reported;
        };
        let earlier = std::mem::replace(last, reported);
        reported.since(earlier).unwrap_or(reported)
    }
}

fn difference(later: Outcomes, earlier: Outcomes) -> Option<Outcomes> {
    Some(Outcomes {
        good: later.good.checked_sub(earlier.good)?,
        bad: later.bad.checked_sub(earlier.bad)?,
    })
}

pub(super) fn add_outcomes(sum: &mut Outcomes, added: Outcomes) {
    sum.good = sum.good.saturating_add(added.good);
    sum.bad = sum.bad.saturating_add(added.bad);
}
