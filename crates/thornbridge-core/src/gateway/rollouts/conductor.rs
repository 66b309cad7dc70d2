//! Conductor of one roll-out: hands out permits, compares the versions and decides.
//!
//! A state machine without I/O. Reports of nodes and the time go in; permits and at most one
//! [`Decision`] come out.

use super::companion_nodes::CompanionNodes;
use super::division::{self, CompanionPlan, RouteShare};
use super::exposure::{CompanionFund, Ledger};
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
use thornbridge_proto::peer::rollout::{
    Outcomes, RolloutReport, RolloutState, RouteReport, companions_of, route_of_companions,
};

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
    /// Requests of each route, and companions, that may go to the version on trial.
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
    /// Whether companions showed it: the version is worse with several requests at once.
    pub(in crate::gateway) under_load: bool,
    pub(in crate::gateway) trial: Outcomes,
    pub(in crate::gateway) stable: Outcomes,
    /// Outcomes of companions, of all routes.
    pub(in crate::gateway) companions: Outcomes,
}

/// State of one roll-out at its conductor.
#[derive(Debug)]
pub(in crate::gateway) struct Conductor {
    ledger: Ledger,
    schedule: Schedule,
    pace: Pace,
    companion_nodes: CompanionNodes,
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
            companion_nodes: CompanionNodes::default(),
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

    /// Outcomes of companions so far, all routes together.
    pub(in crate::gateway) fn companions(&self) -> Outcomes {
        self.verdict.companions()
    }

    fn record(&mut self, now: Timestamp, from: SocketAddr, report: &RouteReport) {
        match route_of_companions(&report.route) {
            Some(route) => self.record_companions(now, from, route, report),
            None => self.record_route(now, from, report),
        }
    }

    fn record_companions(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        route: &str,
        report: &RouteReport,
    ) {
        self.ledger.record_returned_companions(report.returned);
        let outcomes = self.totals.take_new(from, report);
        self.verdict.add_companions(now, route, outcomes.trial);
        let affordable = outcomes.stable.good > 0;
        self.companion_nodes.reported(now, from, route, affordable);
    }

    fn record_route(&mut self, now: Timestamp, from: SocketAddr, route: &RouteReport) {
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
        let completion_total = self.completion_total(now);
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
            under_load: self.verdict.is_condemned_under_load(),
            trial,
            stable,
            companions: self.verdict.companions(),
        }
    }

    /// Requests that may go to the new version between completion and the deadline.
    fn completion_total(&mut self, now: Timestamp) -> f64 {
        let answers = self.verdict.outcomes().trial.total();
        let companions = self.verdict.companions().total();
        let reserve = self.schedule.completion_reserve(now);
        let attempts = self.attempts();
        self.ledger
            .completion_total(attempts, answers, companions, reserve)
    }

    /// Attempts at both versions that nodes counted since the order.
    fn attempts(&self) -> u64 {
        let ArmOutcomes { trial, stable } = self.verdict.outcomes();
        let attempts = u64::from(trial.total()) + u64::from(stable.total());
        attempts.saturating_sub(u64::from(self.verdict.companions().total()))
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
        let shares = self.divide(now, node, permits, routes);
        let lifetimes = shares.iter();
        let lifetimes = lifetimes.map(|share| self.reuse.lifetime(node, share.route));
        let valid = lifetimes.max().unwrap_or_default();
        for share in &shares {
            self.record_granted(now + valid, share);
        }
        let by_route = shares.iter().flat_map(RouteShare::permits).collect();
        Permits {
            by_route,
            valid,
            instance: self.instance(now),
        }
    }

    fn record_granted(&mut self, until: Timestamp, share: &RouteShare<'_>) {
        let RouteShare {
            route,
            permits,
            paid_companions,
            spare_companions,
            ..
        } = *share;
        let ledger = &mut self.ledger;
        ledger.record_granted(permits);
        ledger.record_companions(CompanionFund::Sample, paid_companions);
        ledger.record_companions(CompanionFund::Spare, spare_companions);
        self.pace.record_granted(until, route, permits);
        if paid_companions > 0 {
            let companions = companions_of(route);
            self.pace
                .record_granted(until, &companions, paid_companions);
        }
    }

    /// Rate of one new server after completion; more if the sample would be left over otherwise.
    fn permits_per_s(&mut self, now: Timestamp) -> f64 {
        let server_rate_per_s = self.schedule.rate_per_s(now) / self.instances.len() as f64;
        let further_requests = self.schedule.further_requests(now);
        let reserve = self.schedule.completion_reserve(now);
        let planned = self.ledger.planned_sample(further_requests, reserve);
        let left = planned - self.expected_spent();
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

    /// Shares of the routes that a node reports on.
    fn divide<'a>(
        &mut self,
        now: Timestamp,
        node: SocketAddr,
        permits: u32,
        reports: &'a [RouteReport],
    ) -> Vec<RouteShare<'a>> {
        let sends_companions = self.schedule.sends_companions(now);
        let companions = CompanionPlan {
            admitted: sends_companions && self.companion_nodes.admit(now, node),
            further_requests: self.schedule.further_requests(now),
            reserve: self.schedule.completion_reserve(now),
        };
        let routes = reports.iter();
        let routes = routes.filter(|report| route_of_companions(&report.route).is_none());
        let shares = routes.map(|route| self.share_of(node, route)).collect();
        division::divide(shares, permits, &self.ledger, companions)
    }

    fn share_of<'a>(&self, node: SocketAddr, report: &'a RouteReport) -> RouteShare<'a> {
        let route = report.route.as_str();
        let answers = self.verdict.answers_of(route);
        RouteShare {
            route,
            requests: report.requests,
            accepts_companions: self.companion_nodes.can_send(node, route),
            sampled: answers + self.pace.outstanding_of(route),
            permits: 0,
            paid_companions: 0,
            spare_companions: 0,
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
