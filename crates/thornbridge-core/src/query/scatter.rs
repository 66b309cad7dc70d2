//! Sending of attempts for one query: first ones, retries, resends and hedges, and cancellation.

use super::attempt_end::{AttemptEnd, Fault, NotRun};
use super::counters::QueryCounters;
use super::gather::{AttemptKind, Gather, MOST_REPLICAS, OpenAttempt, ReplicaSet, ShardPhase};
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

/// What sending needs, borrowed for one event.
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

/// A replica that an attempt may be sent to.
struct Chosen {
    back_end: BackEndId,
    replica: u8,
}

impl Scatter<'_, '_> {
    /// Sends the first attempt of every shard.
    pub(super) fn send_all(&mut self, gather: &mut Gather) {
        for shard in gather.shard_ids() {
            if self.holders(shard).is_empty() {
                gather.lose(shard, MissingReason::SnapshotNotHeld);
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
                None => gather.lose(shard, MissingReason::NoReplica),
            }
        }
    }

    /// Takes the end of an attempt of a shard that has not answered.
    pub(super) fn attempt_ended(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        open: OpenAttempt,
        end: AttemptEnd,
    ) {
        let shed = matches!(end, AttemptEnd::Shed(_));
        if let Some(budget) = self.limits.extra_load_budget(&self.plan.service.service) {
            budget.record_reply(shed);
        }
        match end {
            AttemptEnd::Hits(hits) => {
                let age = self.context.now.since(open.sent(self.plan));
                self.latencies.record(shard, age);
                if open.kind == AttemptKind::Hedge {
                    self.counters.hedges_won += 1;
                }
                self.cancel_shard(gather, shard);
                gather.answer(self.context.now, shard, hits);
            }
            AttemptEnd::Shed(retry_after) => {
                gather.note_overload();
                gather.shard(shard).shed.insert(open.replica);
                self.try_again(gather, shard, MissingReason::Shed, retry_after);
            }
            AttemptEnd::Expired => {
                gather.note_overload();
                gather.shard(shard).spent.insert(open.replica);
                self.try_again(gather, shard, MissingReason::TooSlow, Duration::ZERO);
            }
            AttemptEnd::NotRun(cause) => {
                gather.shard(shard).spent.insert(open.replica);
                self.send_in_place(gather, shard, cause);
            }
            AttemptEnd::Failed(fault) => {
                gather.note_work();
                self.count(fault);
                gather.shard(shard).spent.insert(open.replica);
                self.try_again(gather, shard, MissingReason::Failed, Duration::ZERO);
            }
        }
    }

    fn count(&mut self, fault: Fault) {
        match fault {
            Fault::Reported | Fault::Broken => {}
            Fault::Malformed => self.counters.malformed_replies += 1,
            Fault::WrongSnapshot => self.counters.wrong_snapshot_replies += 1,
        }
    }

    /// Sends an attempt in place of one that did no work: no extra load, so without the budget.
    fn send_in_place(&mut self, gather: &mut Gather, shard: ShardId, cause: NotRun) {
        let reason = cause.reason();
        if gather.is_running(shard) {
            return;
        }
        if gather.shard(shard).resends >= self.parameters.free_resends_per_shard {
            return self.try_again(gather, shard, reason, Duration::ZERO);
        }
        let unusable = self.unusable(gather, shard);
        let Some(chosen) = self.choose(shard, unusable) else {
            return self.out_of_replicas(gather, shard, reason, Duration::ZERO);
        };
        self.counters.resends += 1;
        if cause == NotRun::NotSent
            && let Some(budget) = self.limits.extra_load_budget(&self.plan.service.service)
        {
            budget.record_replacement();
        }
        self.send(gather, shard, chosen, AttemptKind::Resend);
    }

    /// Sends another attempt where policy, budget and replicas allow it now, or plans for it.
    fn try_again(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        reason: MissingReason,
        retry_after: Duration,
    ) {
        if gather.is_running(shard) {
            return;
        }
        if gather.shard(shard).attempts >= self.most_attempts() {
            return gather.lose(shard, reason);
        }
        let unusable = self.unusable(gather, shard);
        let Some(chosen) = self.choose(shard, unusable) else {
            return self.out_of_replicas(gather, shard, reason, retry_after);
        };
        if !self.may_send_extra(ExtraAttempt::Retry) {
            let at = self.context.now + self.parameters.look_interval;
            return gather.retry_at(shard, at, MissingReason::BudgetSpent);
        }
        self.counters.retries += 1;
        self.send(gather, shard, chosen, AttemptKind::Retry);
    }

    /// No other replica can be asked now; those that shed can be, after the time they asked for.
    fn out_of_replicas(
        &mut self,
        gather: &mut Gather,
        shard: ShardId,
        reason: MissingReason,
        retry_after: Duration,
    ) {
        let at = self.context.now + retry_after.max(self.parameters.look_interval);
        let shed = gather.shard(shard).shed;
        if shed.is_empty() || at >= self.plan.rules.ends {
            return gather.lose(shard, reason);
        }
        gather.shard(shard).shed = ReplicaSet::default();
        gather.retry_at(shard, at, MissingReason::Shed);
    }

    /// Sends the retries that are due, as far as the budget allows.
    pub(super) fn send_due_retries(&mut self, gather: &mut Gather) {
        while let Some(shard) = gather.take_due_retry(self.context.now) {
            let reason = gather.shard(shard).reason;
            self.try_again(gather, shard, reason, Duration::ZERO);
        }
    }

    /// Sends a second attempt of a shard, within the budget. False where none was sent.
    pub(super) fn hedge(&mut self, gather: &mut Gather, shard: ShardId, open: OpenAttempt) -> bool {
        let mut unusable = self.unusable(gather, shard);
        unusable.insert(open.replica);
        if !self.has_usable(shard, unusable) {
            return false;
        }
        if !self.may_send_extra(ExtraAttempt::Hedge) {
            return false;
        }
        let Some(chosen) = self.choose(shard, unusable) else {
            return false;
        };
        self.counters.hedges += 1;
        self.send(gather, shard, chosen, AttemptKind::Hedge);
        true
    }

    fn may_send_extra(&mut self, extra: ExtraAttempt) -> bool {
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

    fn most_attempts(&self) -> u8 {
        match self.parameters.retry {
            RetryPolicy::Budgeted { attempts_per_shard } => attempts_per_shard,
            RetryPolicy::Fixed { retries } => retries.saturating_add(1),
        }
    }

    /// Cancels what still runs of a shard.
    pub(super) fn cancel_shard(&mut self, gather: &mut Gather, shard: ShardId) {
        while let Some(open) = gather.take_open(shard) {
            self.record_given_up(shard, open);
            self.counters.cancelled += 1;
            self.router.cancel(self.context, open.attempt);
        }
    }

    /// Cancels everything that still runs.
    pub(super) fn cancel_all(&mut self, gather: &mut Gather) {
        for shard in gather.shard_ids() {
            if gather.shard(shard).phase == ShardPhase::Running {
                self.cancel_shard(gather, shard);
            }
        }
    }

    fn record_given_up(&mut self, shard: ShardId, open: OpenAttempt) {
        let age = self.context.now.since(open.sent(self.plan));
        let slow = self.latencies.usual(shard).is_some_and(|usual| age > usual);
        if slow {
            self.latencies.record(shard, age);
        }
    }

    fn holders(&self, shard: ShardId) -> &[BackEndId] {
        let holders = &self.plan.service.holders[shard.0 as usize];
        &holders[..holders.len().min(MOST_REPLICAS)]
    }

    /// Replicas that may not be asked now.
    fn unusable(&self, gather: &mut Gather, shard: ShardId) -> ReplicaSet {
        let progress = gather.shard(shard);
        progress.spent.union(progress.shed)
    }

    fn has_usable(&self, shard: ShardId, unusable: ReplicaSet) -> bool {
        (0..self.holders(shard).len() as u8).any(|replica| !unusable.contains(replica))
    }

    fn choose(&mut self, shard: ShardId, unusable: ReplicaSet) -> Option<Chosen> {
        let holders = &self.plan.service.holders[shard.0 as usize];
        let holders = &holders[..holders.len().min(MOST_REPLICAS)];
        let excluded: Vec<BackEndId> = holders
            .iter()
            .enumerate()
            .filter(|(index, _)| unusable.contains(*index as u8))
            .map(|(_, back_end)| back_end.clone())
            .collect();
        let back_end = self.router.choose(self.context, holders, &excluded).ok()?;
        let replica = holders.iter().position(|holder| *holder == back_end)?;
        Some(Chosen {
            back_end,
            replica: replica as u8,
        })
    }

    fn send(&mut self, gather: &mut Gather, shard: ShardId, chosen: Chosen, kind: AttemptKind) {
        let now = self.context.now;
        let id = self.router.next_attempt_id();
        gather.open(self.plan, now, shard, id, chosen.replica, kind);
        let attempt = Attempt {
            attempt: id,
            request: self.request,
            service: self.plan.service.service.clone(),
            shard,
            time_left: self
                .plan
                .time_for_attempt(now, self.parameters.network_time),
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
