//! Sending of a query's attempts: first attempts, retries, resends and hedges; and cancellation.

use super::attempt_result::{AttemptResult, Fault, NotRun};
use super::counters::QueryCounters;
use super::gather::{AttemptKind, Gather, InFlightAttempt, MAX_REPLICAS, ReplicaSet, ShardPhase};
use super::parameters::{QueryParameters, RetryPolicy};
use super::planner::QueryPlan;
use super::shard_latency::ShardLatencies;
use crate::context::Context;
use crate::limits::{ExtraAttempt, Limits};
use crate::routing::{AttemptOwner, Router};
use std::time::Duration;
use thornbridge_proto::back_end::{Attempt, Work};
use thornbridge_proto::caller::MissingReason;
use thornbridge_proto::{BackEndId, RequestId, ShardId};

/// Sends attempts of one query. Borrows the node's state for one event.
pub(super) struct Scatter<'a, 'c> {
    pub(super) context: &'a mut Context<'c>,
    pub(super) router: &'a mut Router,
    pub(super) limits: &'a mut Limits,
    pub(super) parameters: &'a QueryParameters,
    pub(super) counters: &'a mut QueryCounters,
    pub(super) latencies: &'a mut ShardLatencies,
    pub(super) request: RequestId,
    pub(super) plan: &'a QueryPlan,
}

/// A replica selected for an attempt.
struct ChosenReplica {
    back_end: BackEndId,
    replica: u8,
}

impl Scatter<'_, '_> {
    /// Sends the first attempt of every shard.
    pub(super) fn send_all(&mut self, gather: &mut Gather) {
        for shard in gather.shard_ids() {
            if self.holders(shard).is_empty() {
                gather.fail_shard(shard, MissingReason::SnapshotNotHeld);
                continue;
            }
            match self.choose(shard, ReplicaSet::default()) {
                Some(chosen) => {
                    self.counters.first_attempts += 1;
                    if let Some(budget) = self.limits.extra_load_budget(&self.plan.service.service)
                    {
                        budget.record_first_attempt();
                    }
                    self.send(gather, shard, chosen, AttemptKind::First);
                }
                None => gather.fail_shard(shard, MissingReason::NoReplica),
            }
        }
    }

    /// Handles the result of an attempt of a shard that has not answered.
    pub(super) fn attempt_ended(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        in_flight: InFlightAttempt,
        result: AttemptResult,
    ) {
        let shed = matches!(result, AttemptResult::Shed(_));
        if let Some(budget) = self.limits.extra_load_budget(&self.plan.service.service) {
            budget.record_reply(shed);
        }
        match result {
            AttemptResult::Hits(hits) => {
                let age = self.context.now.since(in_flight.sent_at(self.plan));
                self.latencies.record(shard, age);
                if in_flight.kind == AttemptKind::Hedge {
                    self.counters.hedges_won += 1;
                }
                self.cancel_shard(gather, shard);
                gather.record_answer(self.context.now, shard, hits);
            }
            AttemptResult::Shed(retry_after) => {
                gather.record_overload();
                gather.shard(shard).shed_replicas.insert(in_flight.replica);
                self.retry(gather, shard, MissingReason::Shed, retry_after);
            }
            AttemptResult::Expired => {
                gather.record_overload();
                gather
                    .shard(shard)
                    .failed_replicas
                    .insert(in_flight.replica);
                self.retry(gather, shard, MissingReason::TooSlow, Duration::ZERO);
            }
            AttemptResult::NotRun(cause) => {
                gather
                    .shard(shard)
                    .failed_replicas
                    .insert(in_flight.replica);
                self.resend(gather, shard, cause);
            }
            AttemptResult::Failed(fault) => {
                gather.record_possible_run();
                self.count_fault(fault);
                gather
                    .shard(shard)
                    .failed_replicas
                    .insert(in_flight.replica);
                self.retry(gather, shard, MissingReason::Failed, Duration::ZERO);
            }
        }
    }

    fn count_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Reported | Fault::ConnectionBroken => {}
            Fault::Malformed => self.counters.malformed_replies += 1,
            Fault::WrongSnapshot => self.counters.wrong_snapshot_replies += 1,
        }
    }

    /// Sends a replacement for an attempt that did not run. Takes no token from the extra-load
    /// budget, as the replaced attempt caused no load.
    fn resend(&mut self, gather: &mut Gather, shard: ShardId, cause: NotRun) {
        let reason = cause.reason();
        if gather.is_running(shard) {
            return;
        }
        if gather.shard(shard).resends >= self.parameters.free_resends_per_shard {
            return self.retry(gather, shard, reason, Duration::ZERO);
        }
        let unusable_replicas = self.unusable_replicas(gather, shard);
        let Some(chosen) = self.choose(shard, unusable_replicas) else {
            return self.retry_shed_or_fail(gather, shard, reason, Duration::ZERO);
        };
        self.counters.resends += 1;
        if cause == NotRun::NotSent
            && let Some(budget) = self.limits.extra_load_budget(&self.plan.service.service)
        {
            budget.record_replacement();
        }
        self.send(gather, shard, chosen, AttemptKind::Resend);
    }

    /// Sends another attempt if policy, budget and replicas allow it; otherwise schedules it or
    /// fails the shard.
    fn retry(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        reason: MissingReason,
        retry_after: Duration,
    ) {
        if gather.is_running(shard) {
            return;
        }
        if gather.shard(shard).attempts >= self.max_attempts() {
            return gather.fail_shard(shard, reason);
        }
        let unusable_replicas = self.unusable_replicas(gather, shard);
        let Some(chosen) = self.choose(shard, unusable_replicas) else {
            return self.retry_shed_or_fail(gather, shard, reason, retry_after);
        };
        if !self.acquire_extra_attempt(ExtraAttempt::Retry) {
            let at = self.context.now + self.parameters.look_interval;
            return gather.schedule_retry(shard, at, MissingReason::BudgetSpent);
        }
        self.counters.retries += 1;
        self.send(gather, shard, chosen, AttemptKind::Retry);
    }

    /// Schedules a retry at the replicas that shed, or fails the shard if there is none.
    fn retry_shed_or_fail(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        reason: MissingReason,
        retry_after: Duration,
    ) {
        let at = self.context.now + retry_after.max(self.parameters.look_interval);
        let shed = gather.shard(shard).shed_replicas;
        if shed.is_empty() || at >= self.plan.rules.deadline {
            return gather.fail_shard(shard, reason);
        }
        gather.shard(shard).shed_replicas = ReplicaSet::default();
        gather.schedule_retry(shard, at, MissingReason::Shed);
    }

    /// Sends the retries that are due, within the extra-load budget.
    pub(super) fn send_due_retries(&mut self, gather: &mut Gather) {
        while let Some(shard) = gather.take_due_retry(self.context.now) {
            let reason = gather.shard(shard).reason;
            self.retry(gather, shard, reason, Duration::ZERO);
        }
    }

    /// Sends a hedge for a shard, within the extra-load budget. Returns whether one was sent.
    pub(super) fn hedge(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        in_flight: InFlightAttempt,
    ) -> bool {
        let mut unusable_replicas = self.unusable_replicas(gather, shard);
        unusable_replicas.insert(in_flight.replica);
        if !self.has_usable_replica(shard, unusable_replicas) {
            return false;
        }
        if !self.acquire_extra_attempt(ExtraAttempt::Hedge) {
            return false;
        }
        let Some(chosen) = self.choose(shard, unusable_replicas) else {
            return false;
        };
        self.counters.hedges += 1;
        self.send(gather, shard, chosen, AttemptKind::Hedge);
        true
    }

    fn acquire_extra_attempt(&mut self, extra: ExtraAttempt) -> bool {
        if matches!(self.parameters.retry, RetryPolicy::Fixed { .. }) {
            return extra == ExtraAttempt::Retry;
        }
        let budget = self.limits.extra_load_budget(&self.plan.service.service);
        let allowed = budget.is_some_and(|budget| budget.try_take(extra));
        if !allowed {
            self.counters.budget_waits += 1;
        }
        allowed
    }

    fn max_attempts(&self) -> u8 {
        match self.parameters.retry {
            RetryPolicy::Budgeted { attempts_per_shard } => attempts_per_shard,
            RetryPolicy::Fixed { retries } => retries.saturating_add(1),
        }
    }

    /// Cancels the attempts of a shard that are in flight.
    pub(super) fn cancel_shard(&mut self, gather: &mut Gather, shard: ShardId) {
        while let Some(in_flight) = gather.take_in_flight(shard) {
            self.record_cancelled_latency(shard, in_flight);
            self.counters.cancelled += 1;
            self.router.cancel(self.context, in_flight.attempt);
        }
    }

    /// Cancels all attempts in flight.
    pub(super) fn cancel_all(&mut self, gather: &mut Gather) {
        for shard in gather.shard_ids() {
            if gather.shard(shard).phase == ShardPhase::Running {
                self.cancel_shard(gather, shard);
            }
        }
    }

    fn record_cancelled_latency(&mut self, shard: ShardId, in_flight: InFlightAttempt) {
        let age = self.context.now.since(in_flight.sent_at(self.plan));
        let slow = self
            .latencies
            .latency_quantile(shard)
            .is_some_and(|quantile| age > quantile);
        if slow {
            self.latencies.record(shard, age);
        }
    }

    fn holders(&self, shard: ShardId) -> &[BackEndId] {
        let holders = &self.plan.service.holders[shard.0 as usize];
        &holders[..holders.len().min(MAX_REPLICAS)]
    }

    /// Replicas that failed or shed.
    fn unusable_replicas(&self, gather: &mut Gather, shard: ShardId) -> ReplicaSet {
        let progress = gather.shard(shard);
        progress.failed_replicas.union(progress.shed_replicas)
    }

    fn has_usable_replica(&self, shard: ShardId, unusable_replicas: ReplicaSet) -> bool {
        (0..self.holders(shard).len() as u8).any(|replica| !unusable_replicas.contains(replica))
    }

    fn choose(&mut self, shard: ShardId, unusable_replicas: ReplicaSet) -> Option<ChosenReplica> {
        let holders = &self.plan.service.holders[shard.0 as usize];
        let holders = &holders[..holders.len().min(MAX_REPLICAS)];
        let excluded: Vec<BackEndId> = holders
            .iter()
            .enumerate()
            .filter(|(index, _)| unusable_replicas.contains(*index as u8))
            .map(|(_, back_end)| back_end.clone())
            .collect();
        let back_end = self.router.choose(self.context, holders, &excluded).ok()?;
        let replica = holders.iter().position(|holder| *holder == back_end)?;
        Some(ChosenReplica {
            back_end,
            replica: replica as u8,
        })
    }

    fn send(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        chosen: ChosenReplica,
        kind: AttemptKind,
    ) {
        let now = self.context.now;
        let id = self.router.next_attempt_id();
        gather.record_sent(self.plan, now, shard, id, chosen.replica, kind);
        let attempt = Attempt {
            attempt: id,
            request: self.request,
            service: self.plan.service.service.clone(),
            shard,
            time_left: self.plan.attempt_timeout(now, self.parameters.network_time),
            work: Work::Query {
                snapshot: self.plan.service.snapshot.clone(),
                layout: self.plan.service.layout.clone(),
                query: self.plan.query.clone(),
                limit: self.plan.limit,
            },
        };
        self.router
            .dispatch(self.context, &chosen.back_end, AttemptOwner::Query, attempt);
    }
}
