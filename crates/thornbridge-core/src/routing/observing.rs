//! Observations of back ends: replies, failures, connections, probes and health records of peers.

use super::Router;
use super::attempts::PendingAttempt;
use super::back_end::{BackEndIndex, BackEndState, ServiceIndex};
use crate::context::Context;
use crate::driver_action::{Action, StateChange};
use crate::signal::Signal;
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::back_end::{BackEndReply, LoadReport, ReplyOutcome};
use thornbridge_proto::peer::health::HealthRecord;

impl Router {
    /// Handles a reply to a probe.
    pub fn probe_replied(
        &mut self,
        context: &mut Context<'_>,
        back_end: &BackEndId,
        report: &LoadReport,
    ) {
        let Some(index) = self.back_ends.index(back_end) else {
            return;
        };
        let parameters = &self.parameters.health;
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        let was_leaving = state.health.is_leaving();
        let was_unreachable = state.health.is_unreachable();
        let changed = state
            .health
            .record_probe_reply(parameters, context.now, report);
        state.load.record(context.now, report, state.in_flight);
        state
            .slow_start
            .record_readiness(context.now, report.readiness);
        if was_unreachable {
            state.pool.backoff.reset();
            self.open_warm_connections(context, index);
        }
        self.apply_health_change(context, index, was_leaving, changed);
    }

    /// Handles a failed probe.
    pub fn probe_failed(&mut self, context: &mut Context<'_>, back_end: &BackEndId) {
        let Some(index) = self.back_ends.index(back_end) else {
            return;
        };
        let parameters = &self.parameters.health;
        let changed = self
            .back_ends
            .get_mut(index)
            .is_some_and(|state| state.health.record_probe_failure(parameters, context.now));
        if changed {
            self.report_state_change(context, index, "unreachable");
            self.notify_peers(context, index);
        }
    }

    /// Handles a health record from a peer.
    pub fn apply_health_record(&mut self, context: &mut Context<'_>, record: &HealthRecord) {
        let Some(index) = self.back_ends.index(&record.back_end) else {
            return;
        };
        let parameters = &self.parameters.health;
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        let was_leaving = state.health.is_leaving();
        state.health.apply_record(parameters, context.now, record);
        let readiness = state.health.readiness();
        state.slow_start.record_readiness(context.now, readiness);
        if record.reachable && state.health.is_unreachable() {
            state.pool.backoff.reset();
            self.open_warm_connections(context, index);
        }
        self.apply_health_change(context, index, was_leaving, false);
    }

    /// Updates the state of a back end from a reply.
    pub(super) fn observe_reply(
        &mut self,
        context: &mut Context<'_>,
        pending: &PendingAttempt,
        reply: &BackEndReply,
        load: Option<&LoadReport>,
    ) {
        let index = pending.back_end;
        let now = context.now;
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        let was_leaving = state.health.is_leaving();
        let mut changed = state.health.record_reply(now);
        if let Some(report) = load {
            state.load.record(now, report, state.in_flight);
            state.slow_start.record_readiness(now, report.readiness);
            changed |= state
                .health
                .record_load_report(&self.parameters.health, now, report);
        }
        match &reply.outcome {
            ReplyOutcome::Hits { .. } | ReplyOutcome::Done { .. } => {
                self.observe_success(now, pending);
            }
            ReplyOutcome::Shed { retry_after_ms } => {
                let pause = Duration::from_millis(*retry_after_ms);
                self.counters.attempts_shed += 1;
                let in_flight = state.in_flight + 1;
                state
                    .limit
                    .record_shed(&self.parameters.limit, now, in_flight, pause);
            }
            ReplyOutcome::Leaving => {
                let leaving = thornbridge_proto::back_end::Readiness::Leaving;
                changed |= state
                    .health
                    .record_readiness(&self.parameters.health, now, leaving);
            }
            ReplyOutcome::Failed { .. } => self.observe_failure(context, index),
            ReplyOutcome::NotHeld | ReplyOutcome::Expired | ReplyOutcome::Cancelled => {}
        }
        self.apply_health_change(context, index, was_leaving, changed);
    }

    /// Records a lower bound of an attempt's latency.
    pub(super) fn observe_latency_lower_bound(
        &mut self,
        now: Timestamp,
        index: BackEndIndex,
        elapsed: Duration,
    ) {
        let parameters = &self.parameters.latency;
        let Some(service) = self.back_ends.get(index).map(|state| state.service) else {
            return;
        };
        let baseline = self.back_ends.baseline_log2_us(service);
        if let Some(state) = self.back_ends.get_mut(index) {
            state
                .latency
                .record_lower_bound(parameters, now, elapsed, baseline);
        }
    }

    /// Records a failure at the back end or on the connection; may eject the back end.
    pub(super) fn observe_failure(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let parameters = &self.parameters.outlier;
        let is_outlier = self
            .back_ends
            .get_mut(index)
            .is_some_and(|state| state.outlier.record_failure(parameters, context.now));
        if is_outlier {
            self.try_eject(context, index);
        }
    }

    /// Records an opened connection.
    pub(super) fn observe_connected(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        if state.health.record_connected() {
            state.slow_start.begin(context.now);
            self.report_state_change(context, index, "reachable");
            self.notify_peers(context, index);
        }
    }

    /// Records that no connection is open and none can be opened.
    pub(super) fn observe_unreachable(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let changed = self
            .back_ends
            .get_mut(index)
            .is_some_and(|state| state.health.record_connect_failure());
        if changed {
            self.report_state_change(context, index, "unreachable");
            self.notify_peers(context, index);
        }
    }

    /// Runs a housekeeping pass: deferred readiness, ends of ejections, idle connections, ejections
    /// by latency.
    pub(super) fn run_housekeeping(&mut self, context: &mut Context<'_>) {
        for index in self.back_ends.indices() {
            self.apply_deferred_readiness(context, index);
            self.end_ejection(context, index);
            self.reap_idle(context, index);
        }
        for service in 0..self.back_ends.services.len() as u32 {
            self.eject_slow(context, ServiceIndex(service));
        }
    }

    fn observe_success(&mut self, now: Timestamp, pending: &PendingAttempt) {
        let parameters = &self.parameters.latency;
        let Some((_, sent)) = pending.sent else {
            return;
        };
        let latency = now.since(sent);
        let Some(service) = self
            .back_ends
            .get(pending.back_end)
            .map(|state| state.service)
        else {
            return;
        };
        let baseline = self.back_ends.baseline_log2_us(service);
        if let Some(state) = self.back_ends.get_mut(pending.back_end) {
            state.latency.record(parameters, now, latency, baseline);
            state.outlier.record_success(&self.parameters.outlier);
            state.limit.record_success(&self.parameters.limit);
        }
        if let Some(service) = self.back_ends.services.get_mut(service.0 as usize) {
            service.latency.record(parameters, now, latency, None);
        }
    }

    /// Acts on a change of health. When a back end starts leaving, its waiting attempts fail and
    /// its idle connections are closed.
    fn apply_health_change(
        &mut self,
        context: &mut Context<'_>,
        index: BackEndIndex,
        was_leaving: bool,
        changed: bool,
    ) {
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        let is_leaving = state.health.is_leaving();
        if is_leaving && !was_leaving {
            self.counters.leaving_seen += 1;
            self.report_state_change(context, index, "leaving");
            self.fail_waiting(context, index);
            self.close_surplus(context, index);
        } else if was_leaving && !is_leaving {
            state.slow_start.begin(context.now);
            self.report_state_change(context, index, "ready");
            self.open_warm_connections(context, index);
        }
        if changed {
            self.notify_peers(context, index);
        }
    }

    fn try_eject(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let Some(state) = self.back_ends.get(index) else {
            return;
        };
        if state.outlier.is_ejected() || !state.configured {
            return;
        }
        if !self.may_eject(index, state) {
            self.counters.ejections_denied += 1;
            return;
        }
        if let Some(state) = self.back_ends.get_mut(index) {
            state.outlier.eject(&self.parameters.outlier, context.now);
            self.counters.ejections += 1;
            self.report_state_change(context, index, "ejected");
        }
    }

    /// Whether the ejection stays within the maximum share of the service and leaves a healthy
    /// replica of every shard.
    fn may_eject(&self, index: BackEndIndex, state: &BackEndState) -> bool {
        let Some(service) = self.back_ends.services.get(state.service.0 as usize) else {
            return false;
        };
        let ejected = service
            .back_ends
            .iter()
            .filter_map(|other| self.back_ends.get(*other))
            .filter(|other| other.outlier.is_ejected())
            .count();
        let max_ejected = service.back_ends.len() as f32 * self.parameters.outlier.greatest_share;
        let has_other_healthy = |group: &u32| {
            self.back_ends.groups[*group as usize]
                .iter()
                .filter(|replica| **replica != index)
                .filter_map(|replica| self.back_ends.get(*replica))
                .any(BackEndState::is_healthy)
        };
        ejected < (max_ejected as usize).max(1) && state.groups.iter().all(has_other_healthy)
    }

    fn apply_deferred_readiness(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let parameters = &self.parameters.health;
        let applied = self.back_ends.get_mut(index).is_some_and(|state| {
            state
                .health
                .apply_deferred_readiness(parameters, context.now)
        });
        if applied {
            self.apply_health_change(context, index, true, false);
        }
    }

    fn end_ejection(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let parameters = &self.parameters.outlier;
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        state.outlier.end_probation(context.now);
        if state.outlier.end_expired_ejection(parameters, context.now) {
            state.slow_start.begin(context.now);
            state.latency = super::latency::LatencyEstimate::default();
            self.report_state_change(context, index, "returned");
        }
    }

    fn reap_idle(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let parameters = &self.parameters.connections;
        let connection = self
            .back_ends
            .get_mut(index)
            .and_then(|state| state.pool.reap(parameters));
        if let Some(connection) = connection {
            self.close(context, connection);
        }
    }

    /// Ejects back ends of a service whose latency is far above the median.
    fn eject_slow(&mut self, context: &mut Context<'_>, service: ServiceIndex) {
        let Some(service) = self.back_ends.services.get(service.0 as usize) else {
            return;
        };
        let min_samples = self.parameters.outlier.latency_samples;
        let mut means: Vec<(f32, BackEndIndex)> = service
            .back_ends
            .iter()
            .filter_map(|index| Some((*index, self.back_ends.get(*index)?)))
            .filter(|(_, state)| state.latency.samples() >= min_samples)
            .filter_map(|(index, state)| Some((state.latency.mean_log2_us()?, index)))
            .collect();
        if means.len() < 2 {
            return;
        }
        means.sort_by(|left, right| left.0.total_cmp(&right.0));
        let median = means[(means.len() - 1) / 2].0;
        let multiple = self.parameters.outlier.latency_multiple;
        let threshold = median + super::latency::approximate_log2(multiple);
        for (mean, index) in means.into_iter().rev() {
            if mean <= threshold {
                return;
            }
            self.try_eject(context, index);
        }
    }

    fn report_state_change(&self, context: &mut Context<'_>, index: BackEndIndex, state: &str) {
        if let Some(back_end) = self.back_ends.get(index) {
            context.act(Action::StateChanged(StateChange::BackEndChanged {
                back_end: back_end.id.clone(),
                state: state.to_owned(),
            }));
        }
    }

    fn notify_peers(&mut self, context: &mut Context<'_>, index: BackEndIndex) {
        let Some(observer) = self.membership.own_node() else {
            return;
        };
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        let record = HealthRecord {
            back_end: state.id.clone(),
            reachable: !state.health.is_unreachable(),
            readiness: state.health.readiness(),
            snapshots: state.health.snapshots().map(<[_]>::to_vec),
            observer,
            version: state.health.next_version(),
        };
        context.signal(Signal::BackEndObserved(record));
    }
}
