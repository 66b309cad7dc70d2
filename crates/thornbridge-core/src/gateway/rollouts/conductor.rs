//! Conductor of one roll-out: hands out permits, compares the versions and decides.
//!
//! A state machine without I/O. Reports of nodes and the time go in; permits and at most one
//! [`Decision`] come out.

use super::exposure::Ledger;
use super::pace::Pace;
use super::reuse::{LifetimeBounds, Reuse};
use super::schedule::Schedule;
use super::totals::{ArmOutcomes, ReportedTotals};
use super::verdict::{Finding, Verdict};
use crate::gateway::parameters::RolloutParameters;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::rollout::{Outcomes, RolloutReport, RolloutState, RouteReport};

/// Shortest time within which a permit must be used.
const PERMIT_LIFETIME_MINIMUM: Duration = Duration::from_secs(1);
/// Longest lifetime of a permit, as a part of the time within which a bad version must be stopped.
const PERMIT_LIFETIME_SHARE: f64 = 0.6;
/// Bad answers of the version on trial after which no permits are granted.
const BAD_ANSWERS_MAXIMUM: u32 = 30;
/// Shortest time over which the rest of the sample is spread.
const REMAINING_MINIMUM: Duration = Duration::from_millis(500);

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
    ledger: Ledger,
    schedule: Schedule,
    pace: Pace,
    reuse: Reuse,
    totals: ReportedTotals,
    verdict: Verdict,
    /// Servers to sample in turn.
    instances: Vec<BackEndId>,
    decision_due: Timestamp,
    decision: Option<Decision>,
}

impl Conductor {
    /// Starts without permits to spend: they are earned by reported requests.
    pub(in crate::gateway) fn new(parameters: RolloutParameters, timing: Timing) -> Self {
        let schedule = Schedule::new(timing);
        Self {
            ledger: Ledger::new(&parameters),
            decision_due: schedule.earliest_due(),
            schedule,
            pace: Pace::new(),
            reuse: Reuse::new(lifetime_bounds(&parameters)),
            totals: ReportedTotals::default(),
            verdict: Verdict::new(),
            instances: Vec::new(),
            decision: None,
        }
    }

    /// Adopts an earlier time of the order, learnt from another node.
    pub(in crate::gateway) fn set_ordered_at(&mut self, ordered_at: Timestamp) {
        self.schedule.set_ordered_at(ordered_at);
        self.decision_due = self.decision_due.min(self.schedule.earliest_due());
    }

    /// Adds the sample's part of the slack. Called at most once for each order in all nodes
    /// together: by the node whose write of the state `Serving` succeeded.
    pub(in crate::gateway) fn add_slack(&mut self) {
        self.ledger.add_slack();
    }

    /// Sets the servers of the version on trial that take requests and are warm. Without any, no permits
    /// are granted.
    pub(in crate::gateway) fn set_instances(&mut self, mut instances: Vec<BackEndId>) {
        instances.sort();
        self.instances = instances;
    }

    /// Takes a report and returns the permits for its sender. The report may lead to a decision.
    pub(in crate::gateway) fn handle_report(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        report: &RolloutReport,
    ) -> Permits {
        self.schedule.start(now);
        for route in &report.routes {
            self.record(now, from, route);
        }
        if self.decide(now).is_some() || !self.may_sample(now) {
            return Permits::default();
        }
        self.grant(now, from, &report.routes)
    }

    /// The decision, once there is one. It never changes.
    pub(in crate::gateway) fn decide(&mut self, now: Timestamp) -> Option<Decision> {
        self.schedule.start(now);
        if self.decision.is_none() {
            self.decision = self.new_decision(now);
        }
        self.decision.clone()
    }

    /// When [`Self::decide`] may have a result without a report.
    pub(in crate::gateway) fn next_timeout(&self) -> Option<Timestamp> {
        if self.decision.is_some() {
            return None;
        }
        let judgement = self.verdict.next_judgement();
        Some(judgement.map_or(self.decision_due, |at| at.min(self.decision_due)))
    }

    /// Outcomes of the versions so far, all routes together: trial and stable.
    pub(in crate::gateway) fn outcomes(&self) -> (Outcomes, Outcomes) {
        let ArmOutcomes { trial, stable } = self.verdict.outcomes();
        (trial, stable)
    }

    fn record(&mut self, now: Timestamp, from: SocketAddr, route: &RouteReport) {
        self.ledger.record_requests(route.requests);
        self.ledger.record_returned(route.returned);
        self.schedule.record_requests(now, route.requests);
        if route.requests > 0 {
            self.reuse.record(now, from, &route.route);
        }
        let outcomes = self.totals.take_new(from, route);
        self.verdict.add(now, &route.route, outcomes);
    }

    fn new_decision(&mut self, now: Timestamp) -> Option<Decision> {
        self.verdict.judge(now);
        if let Some(decision) = self.condemnation() {
            return Some(decision);
        }
        let completion_total = self.ledger.completion_total(self.attempts());
        self.decision_due = self.schedule.decision_due(now, completion_total);
        if now < self.decision_due {
            return None;
        }
        self.verdict.judge_all(now);
        if let Some(decision) = self.condemnation() {
            return Some(decision);
        }
        let reason = match self.verdict.finding() {
            Finding::Innocent => DecisionReason::NotWorse,
            Finding::Doubtful => DecisionReason::Undecided,
        };
        Some(self.decision_of(reason, String::new()))
    }

    fn condemnation(&self) -> Option<Decision> {
        let route = self.verdict.condemned_by()?.to_owned();
        Some(self.decision_of(DecisionReason::Worse, route))
    }

    fn decision_of(&self, reason: DecisionReason, route: String) -> Decision {
        let ArmOutcomes { trial, stable } = self.verdict.outcomes_of(&route);
        let state = match reason {
            DecisionReason::NotWorse => RolloutState::Complete,
            DecisionReason::Worse | DecisionReason::Undecided => RolloutState::RolledBack,
        };
        Decision {
            state,
            reason,
            route,
            trial,
            stable,
        }
    }

    /// Attempts at both versions that nodes counted since the order.
    fn attempts(&self) -> u64 {
        let ArmOutcomes { trial, stable } = self.verdict.outcomes();
        u64::from(trial.total()) + u64::from(stable.total())
    }

    fn may_sample(&self, now: Timestamp) -> bool {
        let bad_answers = self.verdict.outcomes().trial.bad;
        let in_time = now < self.schedule.deadline();
        in_time && bad_answers < BAD_ANSWERS_MAXIMUM && !self.instances.is_empty()
    }

    fn grant(&mut self, now: Timestamp, node: SocketAddr, routes: &[RouteReport]) -> Permits {
        self.pace.settle(now, self.reuse.used_share());
        let permits_per_s = self.permits_per_s(now);
        self.pace.refill(now, permits_per_s);
        let permits = self.grantable(now);
        let by_route = self.divide(permits, routes);
        let lifetimes = by_route.iter();
        let lifetimes = lifetimes.map(|(route, _)| self.reuse.lifetime(node, route));
        let valid = lifetimes.max().unwrap_or_default();
        for (route, permits) in &by_route {
            self.ledger.record_granted(*permits);
            self.pace.record_granted(now + valid, route, *permits);
        }
        Permits {
            by_route,
            valid,
            instance: self.instance(now),
        }
    }

    /// Rate of one new server after completion; more if the sample would be left over otherwise.
    fn permits_per_s(&mut self, now: Timestamp) -> f64 {
        let server_rate_per_s = self.schedule.rate_per_s(now) / self.instances.len() as f64;
        let further_requests = self.schedule.further_requests(now);
        let left = self.ledger.sample_total(further_requests) - self.expected_spent();
        let remaining = self.schedule.remaining(now).max(REMAINING_MINIMUM);
        server_rate_per_s.max(left / remaining.as_secs_f64())
    }

    fn grantable(&mut self, now: Timestamp) -> u32 {
        let room = self.schedule.released(now, &self.ledger) - self.expected_spent();
        self.pace.grantable(room).min(self.ledger.affordable())
    }

    /// Permits used or expected to be.
    fn expected_spent(&self) -> f64 {
        self.ledger.spent() - self.pace.expected_returns()
    }

    /// Divides permits among routes: those with the fewest answers and outstanding permits first, to each
    /// no more than it has requests.
    fn divide(&self, permits: u32, routes: &[RouteReport]) -> Vec<(String, u32)> {
        let mut shares: Vec<RouteShare<'_>> =
            routes.iter().map(|route| self.share_of(route)).collect();
        for _ in 0..permits {
            let open = shares.iter_mut().filter(|share| share.is_open());
            let Some(share) = open.min_by_key(|share| share.sampled) else {
                break;
            };
            share.permits += 1;
            share.sampled += 1;
        }
        let granted = shares.iter().filter(|share| share.permits > 0);
        granted
            .map(|share| (share.route.to_owned(), share.permits))
            .collect()
    }

    fn share_of<'a>(&self, report: &'a RouteReport) -> RouteShare<'a> {
        let route = report.route.as_str();
        let answers = self.verdict.answers_of(route);
        RouteShare {
            route,
            requests: report.requests,
            sampled: answers + self.pace.outstanding_of(route),
            permits: 0,
        }
    }

    /// Server that the current round samples.
    fn instance(&self, now: Timestamp) -> Option<BackEndId> {
        let round = self.schedule.round(now) as usize;
        let idx = round.checked_rem(self.instances.len())?;
        self.instances.get(idx).cloned()
    }
}

fn lifetime_bounds(parameters: &RolloutParameters) -> LifetimeBounds {
    let longest = parameters.stop_within.mul_f64(PERMIT_LIFETIME_SHARE);
    LifetimeBounds {
        shortest: PERMIT_LIFETIME_MINIMUM,
        longest: longest.max(PERMIT_LIFETIME_MINIMUM),
    }
}

/// Permits of a route while they are divided.
#[derive(Debug)]
struct RouteShare<'a> {
    route: &'a str,
    requests: u32,
    /// Answers of the version on trial and outstanding permits.
    sampled: u32,
    permits: u32,
}

impl RouteShare<'_> {
    fn is_open(&self) -> bool {
        self.permits < self.requests
    }
}
