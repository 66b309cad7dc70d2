//! Choice of a replica, and queries for the state of back ends.

use super::back_end::{BackEndIndex, BackEndState};
use super::balancer::{self, Candidate};
use super::latency::duration_from_log2_us;
use super::{NoReplica, Router};
use crate::context::Context;
use crate::status::BackEndStatus;
use crate::time::Timestamp;
use rand::Rng;
use std::time::Duration;
use thornbridge_proto::back_end::Readiness;
use thornbridge_proto::{BackEndId, SnapshotId};

/// Tier of a candidate: only candidates of the lowest tier present are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateTier {
    /// Without restriction.
    Preferred,
    /// In slow start, at its limit, or paused after shedding.
    Deprioritized,
    /// Ejected, or reported unreachable by a peer; used only if there is nothing else.
    LastResort,
}

impl Router {
    /// Chooses one of the candidates that is not excluded.
    pub fn choose(
        &mut self,
        context: &mut Context<'_>,
        candidates: &[BackEndId],
        excluded: &[BackEndId],
    ) -> Result<BackEndId, NoReplica> {
        let mut best_tier = CandidateTier::LastResort;
        self.candidates.clear();
        for id in candidates {
            let Some((tier, candidate)) = self.evaluate(context, id, excluded) else {
                continue;
            };
            if tier < best_tier {
                best_tier = tier;
                self.candidates.clear();
            }
            if tier == best_tier {
                self.candidates.push(candidate);
            }
        }
        if self.candidates.is_empty() {
            self.counters.no_replica += 1;
            return Err(NoReplica);
        }
        if best_tier == CandidateTier::LastResort {
            self.counters.doubtful_choices += 1;
        }
        let parameters = &self.parameters.balancer;
        let chosen = balancer::pick(parameters, context.random, &mut self.candidates);
        let state = self.back_ends.get(chosen).ok_or(NoReplica)?;
        Ok(state.id.clone())
    }

    /// Quantile (0 to 1) of the recent latencies of a back end; `None` with too few samples.
    pub fn latency_quantile(&self, back_end: &BackEndId, quantile: f64) -> Option<Duration> {
        let state = self.back_ends.get_by_id(back_end)?;
        state.latency.quantile(&self.parameters.latency, quantile)
    }

    /// Lowest quantile (0 to 1) of the recent latencies among the healthy replicas. Falls back to
    /// the quantile of the service when no replica has enough samples.
    pub fn expected_latency(&self, replicas: &[BackEndId], quantile: f64) -> Option<Duration> {
        let parameters = &self.parameters.latency;
        let known = replicas
            .iter()
            .filter_map(|id| self.back_ends.get_by_id(id))
            .filter(|state| state.is_healthy())
            .filter_map(|state| state.latency.quantile(parameters, quantile))
            .min();
        known.or_else(|| {
            let state = replicas
                .iter()
                .find_map(|id| self.back_ends.get_by_id(id))?;
            let service = self.back_ends.services.get(state.service.0 as usize)?;
            service.latency.quantile(parameters, quantile)
        })
    }

    /// Estimated mean latency of a back end, as used by the load balancer.
    pub fn mean_latency(&self, now: Timestamp, back_end: &BackEndId) -> Option<Duration> {
        let state = self.back_ends.get_by_id(back_end)?;
        self.decayed_latency_log2_us(now, state)
            .map(duration_from_log2_us)
    }

    /// This node's attempts in flight at a back end.
    pub fn in_flight_at(&self, back_end: &BackEndId) -> u32 {
        self.back_ends
            .get_by_id(back_end)
            .map_or(0, |state| state.in_flight)
    }

    /// Whether a back end takes new work, is reachable and is not ejected.
    pub fn is_healthy(&self, back_end: &BackEndId) -> bool {
        self.back_ends
            .get_by_id(back_end)
            .is_some_and(BackEndState::is_healthy)
    }

    /// Snapshots that a back end reported, newest first; `None` if unknown.
    pub fn snapshots_of(&self, back_end: &BackEndId) -> Option<&[SnapshotId]> {
        self.back_ends.get_by_id(back_end)?.health.snapshots()
    }

    /// Configured back ends with a restriction on their use, sorted by id.
    pub fn back_end_status(&self) -> Vec<BackEndStatus> {
        let mut statuses: Vec<BackEndStatus> = self
            .back_ends
            .states()
            .filter(|state| state.configured)
            .filter_map(|state| {
                Some(BackEndStatus {
                    back_end: state.id.clone(),
                    state: status_text(state)?.to_owned(),
                })
            })
            .collect();
        statuses.sort_by(|left, right| left.back_end.cmp(&right.back_end));
        statuses
    }

    fn evaluate(
        &self,
        context: &mut Context<'_>,
        id: &BackEndId,
        excluded: &[BackEndId],
    ) -> Option<(CandidateTier, Candidate)> {
        if excluded.contains(id) {
            return None;
        }
        let index = self.back_ends.index(id)?;
        let state = self.back_ends.get(index)?;
        if !state.takes_new_work() || state.health.is_unreachable() {
            return None;
        }
        let tier = self.tier(context, state);
        Some((tier, self.candidate(context.now, index, state)))
    }

    fn tier(&self, context: &mut Context<'_>, state: &BackEndState) -> CandidateTier {
        if state.outlier.is_ejected() || state.health.is_reported_unreachable() {
            return CandidateTier::LastResort;
        }
        if !state.limit.has_capacity(context.now, state.in_flight) {
            return CandidateTier::Deprioritized;
        }
        let weight = state
            .slow_start
            .weight(&self.parameters.slow_start, context.now);
        if weight < 1.0 && context.random.random::<f32>() >= weight {
            return CandidateTier::Deprioritized;
        }
        CandidateTier::Preferred
    }

    fn candidate(&self, now: Timestamp, index: BackEndIndex, state: &BackEndState) -> Candidate {
        let parameters = &self.parameters.load;
        let latency_log2_us = self.decayed_latency_log2_us(now, state);
        let latency = latency_log2_us.map_or(Duration::ZERO, duration_from_log2_us);
        Candidate {
            back_end: index,
            own_in_flight: state.in_flight as f32,
            others_load: state
                .load
                .others_load(parameters, now, state.slots, latency),
            slots: state.slots,
            latency_log2_us,
        }
    }

    pub(super) fn decayed_latency_log2_us(
        &self,
        now: Timestamp,
        state: &BackEndState,
    ) -> Option<f32> {
        let baseline = self.back_ends.baseline_log2_us(state.service);
        state
            .latency
            .decayed_log2_us(&self.parameters.latency, now, baseline)
    }
}

fn status_text(state: &BackEndState) -> Option<&'static str> {
    if state.health.is_leaving() {
        Some("leaving")
    } else if state.health.is_unreachable() || state.health.is_reported_unreachable() {
        Some("unreachable")
    } else if state.outlier.is_ejected() {
        Some("ejected")
    } else if state.health.readiness() == Readiness::Cold {
        Some("cold")
    } else {
        None
    }
}
