//! State of one query's shards: attempts in flight, scheduled retries, collected hits.
//!
//! Coverage is counted only here, in the call that takes a shard's hits, so that the coverage of an
//! answer always matches its hits.

use super::completeness::Progress;
use super::merge::BestHits;
use super::planner::QueryPlan;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::caller::{Coverage, Hit, MissingReason, MissingShard};
use thornbridge_proto::{AttemptId, ShardId};

/// Maximum number of replicas of a shard that a query uses.
pub(super) const MAX_REPLICAS: usize = u64::BITS as usize;

/// Reason for sending an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptKind {
    /// First attempt of the shard.
    First,
    /// Sent while another attempt of the shard is in flight.
    Hedge,
    /// Sent after an attempt that may have run, expired or was shed.
    Retry,
    /// Sent in place of an attempt that did not run.
    Resend,
}

/// An attempt whose reply is outstanding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InFlightAttempt {
    pub(super) attempt: AttemptId,
    /// Time from the query's arrival to the sending of the attempt, in microseconds.
    sent_after_us: u32,
    /// Index into the shard's holders.
    pub(super) replica: u8,
    /// Reason for sending the attempt.
    pub(super) kind: AttemptKind,
}

/// Set of replicas of a shard, as indices into its holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReplicaSet(u64);

impl ReplicaSet {
    pub(super) fn insert(&mut self, replica: u8) {
        self.0 |= 1 << replica;
    }

    pub(super) fn contains(self, replica: u8) -> bool {
        self.0 & (1 << replica) != 0
    }

    pub(super) fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    pub(super) fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// State of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShardPhase {
    /// At least one attempt is in flight.
    Running,
    /// No attempt is in flight; a retry is scheduled.
    AwaitingRetry,
    /// The hits have been received.
    Answered,
    /// No further attempt will be sent.
    Failed,
}

/// Progress of one shard of a query.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShardProgress {
    /// The attempt in flight; with a hedge, the older of the two.
    in_flight: Option<InFlightAttempt>,
    /// Replicas with a failed attempt or one that did not run; not used again by this query.
    pub(super) failed_replicas: ReplicaSet,
    /// Replicas that shed an attempt; usable again after their retry delay.
    pub(super) shed_replicas: ReplicaSet,
    pub(super) phase: ShardPhase,
    /// Reason reported if the shard does not answer.
    pub(super) reason: MissingReason,
    /// Attempts sent, without resends.
    pub(super) attempts: u8,
    pub(super) resends: u8,
}

impl ShardProgress {
    const NEW: Self = Self {
        in_flight: None,
        failed_replicas: ReplicaSet(0),
        shed_replicas: ReplicaSet(0),
        phase: ShardPhase::AwaitingRetry,
        reason: MissingReason::TooSlow,
        attempts: 0,
        resends: 0,
    };
}

/// A retry to be sent at a later time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledRetry {
    pub(super) shard: ShardId,
    /// Earliest time of sending.
    pub(super) at: Timestamp,
}

/// Shards and hits of a running query.
#[derive(Debug)]
pub(super) struct Gather {
    shards: Vec<ShardProgress>,
    /// Hedges in flight, in the order of sending.
    hedges: Vec<(ShardId, InFlightAttempt)>,
    retries: Vec<ScheduledRetry>,
    hits: BestHits,
    answered: u32,
    unresolved: u32,
    half_answered_at: Option<Timestamp>,
    /// Whether an attempt that may have run has ended without hits.
    may_have_run: bool,
    /// Whether an attempt was shed or expired at its back end.
    overloaded: bool,
}

impl Gather {
    /// Creates the state of a query without attempts.
    pub(super) fn new(plan: &QueryPlan) -> Self {
        let total = plan.shards_total();
        Self {
            shards: vec![ShardProgress::NEW; total],
            hedges: Vec::new(),
            retries: Vec::new(),
            hits: BestHits::new(plan.limit as usize),
            answered: 0,
            unresolved: total as u32,
            half_answered_at: None,
            may_have_run: false,
            overloaded: false,
        }
    }

    pub(super) fn shard_ids(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.shards.len() as u32).map(ShardId)
    }

    /// Progress of one shard. Panics if the shard is not in the layout.
    pub(super) fn shard(&mut self, shard: ShardId) -> &mut ShardProgress {
        &mut self.shards[shard.0 as usize]
    }

    /// Reason reported if the shard does not answer.
    pub(super) fn reason(&self, shard: ShardId) -> MissingReason {
        self.shards[shard.0 as usize].reason
    }

    /// Number of shards in total, answered and unresolved.
    pub(super) fn progress(&self) -> Progress {
        Progress {
            total: self.shards.len() as u32,
            answered: self.answered,
            unresolved: self.unresolved,
        }
    }

    /// Time at which half of the shards had answered.
    pub(super) fn half_answered_at(&self) -> Option<Timestamp> {
        self.half_answered_at
    }

    /// Whether an attempt was shed or expired at its back end.
    pub(super) fn overloaded(&self) -> bool {
        self.overloaded
    }

    /// Records that an attempt was shed or expired at its back end.
    pub(super) fn record_overload(&mut self) {
        self.overloaded = true;
    }

    /// Records that an attempt that may have run ended without hits.
    pub(super) fn record_possible_run(&mut self) {
        self.may_have_run = true;
    }

    /// Whether any attempt ran, may have run, or is in flight.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
            || self.answered > 0
            || self.shards.iter().any(|shard| shard.in_flight.is_some())
    }

    /// Records the sending of an attempt.
    pub(super) fn record_sent(
        &mut self,
        plan: &QueryPlan,
        now: Timestamp,
        shard: ShardId,
        attempt: AttemptId,
        replica: u8,
        kind: AttemptKind,
    ) {
        let since_arrival = now.since(plan.arrived).as_micros();
        let in_flight = InFlightAttempt {
            attempt,
            sent_after_us: u32::try_from(since_arrival).unwrap_or(u32::MAX),
            replica,
            kind,
        };
        let progress = &mut self.shards[shard.0 as usize];
        progress.phase = ShardPhase::Running;
        match kind {
            AttemptKind::Resend => progress.resends = progress.resends.saturating_add(1),
            _ => progress.attempts = progress.attempts.saturating_add(1),
        }
        if progress.in_flight.is_none() {
            progress.in_flight = Some(in_flight);
        } else {
            self.hedges.push((shard, in_flight));
        }
    }

    /// Removes an attempt that ended. `None` if the attempt is not in flight.
    pub(super) fn record_ended(
        &mut self,
        shard: ShardId,
        attempt: AttemptId,
    ) -> Option<InFlightAttempt> {
        let progress = self.shards.get_mut(shard.0 as usize)?;
        if let Some(in_flight) = progress
            .in_flight
            .filter(|in_flight| in_flight.attempt == attempt)
        {
            progress.in_flight = take_hedge(&mut self.hedges, shard);
            return Some(in_flight);
        }
        let position = self
            .hedges
            .iter()
            .position(|(_, in_flight)| in_flight.attempt == attempt)?;
        Some(self.hedges.remove(position).1)
    }

    /// The attempt in flight of a shard without a hedge.
    pub(super) fn only_attempt(&self, shard: ShardId) -> Option<InFlightAttempt> {
        let in_flight = self.shards[shard.0 as usize].in_flight?;
        let hedged = self.hedges.iter().any(|(hedged, _)| *hedged == shard);
        (!hedged).then_some(in_flight)
    }

    /// Whether an attempt of the shard is in flight.
    pub(super) fn is_running(&self, shard: ShardId) -> bool {
        self.shards[shard.0 as usize].in_flight.is_some()
    }

    /// Removes one attempt in flight, to be cancelled.
    pub(super) fn take_in_flight(&mut self, shard: ShardId) -> Option<InFlightAttempt> {
        let in_flight = self.shards[shard.0 as usize].in_flight?;
        self.shards[shard.0 as usize].in_flight = take_hedge(&mut self.hedges, shard);
        Some(in_flight)
    }

    /// Adds the hits of a shard and counts the shard as answered.
    pub(super) fn record_answer(&mut self, now: Timestamp, shard: ShardId, hits: Vec<Hit>) {
        self.hits.add(hits);
        self.resolve(shard, ShardPhase::Answered);
        self.answered += 1;
        if self.half_answered_at.is_none() && 2 * self.answered >= self.shards.len() as u32 {
            self.half_answered_at = Some(now);
        }
    }

    /// Marks a shard as missing for the rest of the query.
    pub(super) fn fail_shard(&mut self, shard: ShardId, reason: MissingReason) {
        self.shards[shard.0 as usize].reason = reason;
        self.resolve(shard, ShardPhase::Failed);
    }

    fn resolve(&mut self, shard: ShardId, phase: ShardPhase) {
        self.shards[shard.0 as usize].phase = phase;
        self.unresolved -= 1;
    }

    /// Schedules another attempt of a shard.
    pub(super) fn schedule_retry(&mut self, shard: ShardId, at: Timestamp, reason: MissingReason) {
        let progress = &mut self.shards[shard.0 as usize];
        progress.phase = ShardPhase::AwaitingRetry;
        progress.reason = reason;
        self.retries.push(ScheduledRetry { shard, at });
    }

    /// Removes a retry that is due and returns its shard.
    pub(super) fn take_due_retry(&mut self, now: Timestamp) -> Option<ShardId> {
        let position = self.retries.iter().position(|retry| retry.at <= now)?;
        Some(self.retries.swap_remove(position).shard)
    }

    /// Time of the next retry.
    pub(super) fn next_retry(&self) -> Option<Timestamp> {
        self.retries.iter().map(|retry| retry.at).min()
    }

    /// Shards with an attempt in flight, with the oldest one.
    pub(super) fn running(&self) -> impl Iterator<Item = (ShardId, InFlightAttempt)> {
        self.shards
            .iter()
            .enumerate()
            .filter_map(|(index, shard)| Some((ShardId(index as u32), shard.in_flight?)))
    }

    /// Hedges in flight, with their shards.
    pub(super) fn hedges(&self) -> &[(ShardId, InFlightAttempt)] {
        &self.hedges
    }

    /// Retries that are not sent yet.
    pub(super) fn retries(&self) -> &[ScheduledRetry] {
        &self.retries
    }

    /// Coverage of the hits received so far.
    pub(super) fn coverage(&self) -> Coverage {
        let missing = self
            .shards
            .iter()
            .enumerate()
            .filter(|(_, shard)| shard.phase != ShardPhase::Answered)
            .map(|(index, shard)| MissingShard {
                shard: ShardId(index as u32),
                reason: shard.reason,
            })
            .collect();
        let total = self.shards.len() as u32;
        Coverage {
            fraction: f64::from(self.answered) / f64::from(total.max(1)),
            shards_total: total,
            shards_answered: self.answered,
            missing,
        }
    }

    /// Best hits of the shards that answered.
    pub(super) fn into_hits(self) -> Vec<Hit> {
        self.hits.finish()
    }
}

impl InFlightAttempt {
    /// Time of sending.
    pub(super) fn sent_at(&self, plan: &QueryPlan) -> Timestamp {
        plan.arrived + Duration::from_micros(u64::from(self.sent_after_us))
    }
}

fn take_hedge(
    hedges: &mut Vec<(ShardId, InFlightAttempt)>,
    shard: ShardId,
) -> Option<InFlightAttempt> {
    let position = hedges.iter().position(|(hedged, _)| *hedged == shard)?;
    Some(hedges.remove(position).1)
}
