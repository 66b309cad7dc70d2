//! Decisions on slow shards: when to hedge, and when to answer without them.

use super::gather::{Gather, InFlightAttempt};
use super::parameters::{HedgePolicy, QueryParameters};
use super::planner::QueryPlan;
use super::shard_latency::ShardLatencies;
use crate::routing::Router;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::ShardId;
use thornbridge_proto::caller::MissingReason;

/// Forecast of one query's progress from observed latencies.
pub(super) struct Forecast<'a> {
    pub(super) now: Timestamp,
    pub(super) parameters: &'a QueryParameters,
    pub(super) latencies: &'a ShardLatencies,
    pub(super) router: &'a Router,
    pub(super) plan: &'a QueryPlan,
}

impl Forecast<'_> {
    /// Time at which a hedge of the shard is due; `None` if the shard is not hedged.
    pub(super) fn hedge_due(
        &self,
        shard: ShardId,
        in_flight: InFlightAttempt,
    ) -> Option<Timestamp> {
        let HedgePolicy::AfterQuantile {
            quantile,
            minimum_delay,
            initial_share_of_target,
            of_best_replica,
        } = self.parameters.hedge
        else {
            return None;
        };
        let holders = &self.plan.service.holders[shard.0 as usize];
        if holders.len() < 2 {
            return None;
        }
        let target = self.plan.rules.target.since(self.plan.arrived);
        let observed_quantile = match of_best_replica {
            true => self.router.expected_latency(holders, quantile),
            false => self.latencies.latency_quantile(shard),
        };
        let delay = observed_quantile.unwrap_or_else(|| target.mul_f64(initial_share_of_target));
        Some(in_flight.sent_at(self.plan) + delay.max(minimum_delay))
    }

    /// Shards whose hedge is due, most overdue first.
    pub(super) fn due_hedges(&self, gather: &Gather) -> Vec<(ShardId, InFlightAttempt)> {
        let mut due: Vec<(Timestamp, ShardId, InFlightAttempt)> = Vec::new();
        for (shard, _) in gather.running() {
            let Some(in_flight) = gather.only_attempt(shard) else {
                continue;
            };
            if let Some(time) = self.hedge_due(shard, in_flight)
                && time <= self.now
            {
                due.push((time, shard, in_flight));
            }
        }
        due.sort_unstable_by_key(|(time, shard, _)| (*time, *shard));
        due.into_iter()
            .map(|(_, shard, in_flight)| (shard, in_flight))
            .collect()
    }

    /// Time at which the next hedge is due.
    pub(super) fn next_hedge(&self, gather: &Gather) -> Option<Timestamp> {
        gather
            .running()
            .filter_map(|(shard, _)| self.hedge_due(shard, gather.only_attempt(shard)?))
            .min()
    }

    /// Expected number of shards that answer between now and the target.
    pub(super) fn expected_shards(&self, gather: &Gather) -> f64 {
        let target = self.plan.rules.target;
        let running: f64 = gather
            .running()
            .map(|(shard, in_flight)| {
                self.completion_probability_by(target, gather, shard, in_flight)
            })
            .sum();
        let retried: f64 = gather
            .retries()
            .iter()
            .filter(|retry| gather.reason(retry.shard) != MissingReason::BudgetSpent)
            .map(|retry| {
                let left = target.since(retry.at);
                self.latencies
                    .completion_probability(retry.shard, Duration::ZERO, left)
            })
            .sum();
        running + retried
    }

    /// Whether to answer now because further waiting is unlikely to improve coverage.
    pub(super) fn should_answer_early(&self, gather: &Gather) -> bool {
        if self.only_budget_waits_remain(gather) {
            return true;
        }
        if self.can_use_allowance(gather) {
            return true;
        }
        let min_expected = self.plan.rules.least_expected_shards(gather.progress());
        min_expected.is_some_and(|min_expected| self.expected_shards(gather) < min_expected)
    }

    /// Whether the query is slow and the coverage allowance covers the missing shards.
    fn can_use_allowance(&self, gather: &Gather) -> bool {
        let rules = &self.plan.rules;
        let progress = gather.progress();
        if !rules.prefers_latency() || !rules.has_minimum_coverage(progress) {
            return false;
        }
        let allowance = &self.latencies.allowance;
        let elapsed = self.now.since(self.plan.arrived);
        let missing = f64::from(progress.total - progress.answered) / f64::from(progress.total);
        let late = allowance.cut_after().is_some_and(|cut| elapsed >= cut);
        late && allowance.covers(missing)
    }

    /// Whether the target has passed and all unresolved shards wait for the extra-load budget.
    /// Such retries may stay blocked until the hard deadline.
    fn only_budget_waits_remain(&self, gather: &Gather) -> bool {
        let rules = &self.plan.rules;
        let progress = gather.progress();
        let blocked_retries = gather
            .retries()
            .iter()
            .filter(|retry| gather.reason(retry.shard) == MissingReason::BudgetSpent)
            .count();
        rules.uses_service_policy()
            && rules.target <= self.now
            && rules.has_minimum_coverage(progress)
            && blocked_retries == progress.unresolved as usize
    }

    /// Time of the next check of the query, if no attempt ends before.
    pub(super) fn next_check(&self, gather: &Gather) -> Timestamp {
        let rules = &self.plan.rules;
        let earliest_check = self.now + self.parameters.look_interval;
        let by_target =
            (rules.prefers_latency() && rules.target > self.now).then_some(rules.target);
        let by_hedge = self.next_hedge(gather).map(|time| time.max(earliest_check));
        let by_retry = gather.next_retry();
        let by_recheck = rules
            .least_expected_shards(gather.progress())
            .map(|_| earliest_check);
        [by_target, by_hedge, by_retry, by_recheck]
            .into_iter()
            .flatten()
            .min()
            .map_or(rules.deadline, |time| time.min(rules.deadline))
    }

    /// Probability that one of a shard's attempts in flight completes by a time.
    fn completion_probability_by(
        &self,
        time: Timestamp,
        gather: &Gather,
        shard: ShardId,
        in_flight: InFlightAttempt,
    ) -> f64 {
        let hedge = gather.hedges().iter().find(|(hedged, _)| *hedged == shard);
        let attempts = [Some(in_flight), hedge.map(|(_, in_flight)| *in_flight)];
        let left = time.since(self.now);
        let none_ends: f64 = attempts
            .into_iter()
            .flatten()
            .map(|in_flight| {
                let age = self.now.since(in_flight.sent_at(self.plan));
                1.0 - self.latencies.completion_probability(shard, age, left)
            })
            .product();
        1.0 - none_ends
    }
}
