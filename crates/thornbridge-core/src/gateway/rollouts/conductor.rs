//! Conductor of one roll-out: hands out permits, compares the versions and decides.
//!
//! A state machine without I/O. Reports of nodes and the time go in; permits and at most one
//! [`Decision`] come out.

use crate::gateway::parameters::RolloutParameters;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::rollout::{Outcomes, RolloutReport, RolloutState};

/// When a roll-out was ordered, and the time allowed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Timing {
    /// When a node first read the order, on this node's clock.
    pub(in crate::gateway) ordered_at: Timestamp,
    /// Time allowed.
    pub(in crate::gateway) period: Duration,
}

/// Permits for one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::gateway) struct Permits {
    /// Requests of each route that may go to the version on trial.
    pub(in crate::gateway) by_route: Vec<(String, u32)>,
    /// Time within which they must be used.
    pub(in crate::gateway) valid: Duration,
    /// Server to sample; `None` for any server of the version.
    pub(in crate::gateway) instance: Option<BackEndId>,
}

/// Why a roll-out was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum DecisionReason {
    /// The version fails or is slow significantly more often than the other one.
    Worse,
    /// The end of the time allowed is near and nothing speaks against the version.
    NotWorse,
    /// The end of the time allowed is near and too little is known of the version.
    Undecided,
}

/// End of a roll-out, with the counts that decided it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct Decision {
    pub(in crate::gateway) state: RolloutState,
    pub(in crate::gateway) reason: DecisionReason,
    /// Route that decided; empty for all routes together.
    pub(in crate::gateway) route: String,
    pub(in crate::gateway) trial: Outcomes,
    pub(in crate::gateway) stable: Outcomes,
}

/// State of one roll-out at its conductor.
#[derive(Debug)]
pub(in crate::gateway) struct Conductor {
    parameters: RolloutParameters,
    timing: Timing,
    reports: BTreeMap<SocketAddr, RolloutReport>,
    decision: Option<Decision>,
}

impl Conductor {
    /// Starts without permits to spend: they are earned by reported requests.
    pub(in crate::gateway) fn new(parameters: RolloutParameters, timing: Timing) -> Self {
        Self {
            parameters,
            timing,
            reports: BTreeMap::new(),
            decision: None,
        }
    }

    /// Adopts an earlier time of the order, learnt from another node.
    pub(in crate::gateway) fn set_ordered_at(&mut self, ordered_at: Timestamp) {
        self.timing.ordered_at = self.timing.ordered_at.min(ordered_at);
    }

    /// Adds the sample's part of the slack. Called at most once for each order in all nodes
    /// together: by the node whose write of the state `Serving` succeeded.
    pub(in crate::gateway) fn add_slack(&mut self) {}

    /// Sets the servers of the version on trial that take requests and are warm.
    pub(in crate::gateway) fn set_instances(&mut self, _instances: Vec<BackEndId>) {}

    /// Takes a report and returns the permits for its sender.
    pub(in crate::gateway) fn handle_report(
        &mut self,
        _now: Timestamp,
        from: SocketAddr,
        report: &RolloutReport,
    ) -> Permits {
        self.reports.insert(from, report.clone());
        Permits::default()
    }

    /// The decision, once there is one. It never changes.
    pub(in crate::gateway) fn decide(&mut self, now: Timestamp) -> Option<Decision> {
        if self.decision.is_none() {
            self.decision = self.compare(now);
        }
        self.decision.clone()
    }

    fn compare(&self, now: Timestamp) -> Option<Decision> {
        let (trial, stable) = self.outcomes();
        let is_worse = trial.bad >= 30;
        let is_due = now >= self.timing.ordered_at + self.timing.period.mul_f64(0.9);
        let (state, reason) = match (is_worse, is_due, trial.total() >= 8) {
            (true, _, _) => (RolloutState::RolledBack, DecisionReason::Worse),
            (false, true, true) => (RolloutState::Complete, DecisionReason::NotWorse),
            (false, true, false) => (RolloutState::RolledBack, DecisionReason::Undecided),
            (false, false, _) => return None,
        };
        Some(Decision {
            state,
            reason,
            route: String::new(),
            trial,
            stable,
        })
    }

    /// When [`Self::decide`] may have a result without a report.
    pub(in crate::gateway) fn next_timeout(&self) -> Option<Timestamp> {
        Some(self.timing.ordered_at + self.timing.period.mul_f64(0.9))
    }

    /// Outcomes of the versions so far, all routes together: trial and stable.
    pub(in crate::gateway) fn outcomes(&self) -> (Outcomes, Outcomes) {
        let _ = &self.parameters;
        let mut outcomes = <(Outcomes, Outcomes)>::default();
        let routes = self.reports.values().flat_map(|report| &report.routes);
        for route in routes {
            outcomes.0.good += route.trial.good;
            outcomes.0.bad += route.trial.bad;
            outcomes.1.good += route.stable.good;
            outcomes.1.bad += route.stable.bad;
        }
        outcomes
    }
}
