//! Probing of the back ends assigned to this node, and publishing of observations.

use super::facts::{self, kind_of};
use super::observation::ProbeState;
use super::{HealthSharing, MonitoredBackEnd};
use crate::context::Context;
use crate::driver_action::Action;
use rand::Rng;
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::back_end::{LoadReport, Readiness};
use thornbridge_proto::peer::health::{BackEndKey, HealthChange, HealthFact, HealthRecord};

impl HealthSharing {
    /// Starts and stops probing according to the current members.
    pub(super) fn assign_back_ends(&mut self, context: &mut Context<'_>) {
        self.reassign_at = None;
        let count = self.parameters.observers_per_region;
        let keys: Vec<BackEndKey> = self.back_ends.keys().copied().collect();
        for key in keys {
            if self.observers.is_assigned(key, count) {
                self.start_probing(context, key);
            } else {
                self.stop_probing(context, key);
            }
        }
        let observers = &self.observers;
        for monitored in self.back_ends.values_mut() {
            monitored
                .facts
                .retain_observers(|observer| observers.is_member(observer));
        }
        self.counters.observed = self.probe_schedule.len() as u64;
        self.interval_factor = self.needed_interval_factor();
    }

    fn start_probing(&mut self, context: &mut Context<'_>, key: BackEndKey) {
        let interval = self.interval(key);
        let Some(monitored) = self.back_ends.get_mut(&key) else {
            return;
        };
        if monitored.probe_state.is_some() {
            return;
        }
        let due = context.now + interval.mul_f64(context.random.random_range(0.0..1.0));
        monitored.probe_state = Some(ProbeState {
            due,
            in_flight: false,
            consecutive_failures: 0,
        });
        self.probe_schedule.insert((due, key));
    }

    fn stop_probing(&mut self, context: &mut Context<'_>, key: BackEndKey) {
        let Some(monitored) = self.back_ends.get_mut(&key) else {
            return;
        };
        let Some(probe) = monitored.probe_state.take() else {
            return;
        };
        self.probe_schedule.remove(&(probe.due, key));
        self.withdraw_vote(context, key);
    }

    /// Factor on probe intervals that keeps the probe rate within its limit.
    fn needed_interval_factor(&self) -> f64 {
        let probed = self
            .probe_schedule
            .iter()
            .map(|(_, key)| self.interval(*key));
        let per_second: f64 = probed.map(|interval| 1.0 / interval.as_secs_f64()).sum();
        (per_second / self.parameters.probes_per_second).max(1.0)
    }

    fn interval(&self, key: BackEndKey) -> Duration {
        let is_local = self
            .back_ends
            .get(&key)
            .is_none_or(|monitored| self.observers.is_local_zone(&monitored.zone));
        if is_local {
            self.parameters.probe_interval
        } else {
            self.parameters.remote_probe_interval
        }
    }

    /// Sends due probes, and fails those that timed out.
    pub(super) fn probes_due(&mut self, context: &mut Context<'_>) {
        while let Some((due, key)) = self.probe_schedule.first().copied() {
            if due > context.now {
                return;
            }
            let in_flight = self.probe_state(key).is_some_and(|probe| probe.in_flight);
            if in_flight {
                self.record_probe_failure(context, key);
            } else {
                self.send_probe(context, key);
            }
        }
    }

    fn send_probe(&mut self, context: &mut Context<'_>, key: BackEndKey) {
        let timeout = self.parameters.probe_timeout;
        self.reschedule(key, context.now + timeout, true);
        let Some(monitored) = self.back_ends.get(&key) else {
            return;
        };
        self.counters.probes += 1;
        context.act(Action::Probe {
            back_end: monitored.id.clone(),
            address: monitored.address,
        });
    }

    /// Handles a reply to a probe.
    pub fn probe_replied(
        &mut self,
        context: &mut Context<'_>,
        back_end: &BackEndId,
        report: &LoadReport,
    ) {
        let key = facts::key_of(back_end);
        if self.probe_state(key).is_some() {
            self.plan_next_probe(context, key);
            if let Some(probe) = self.probe_state(key) {
                probe.consecutive_failures = 0;
            }
        }
        self.withdraw_vote(context, key);
        self.apply_readiness(context, key, report.readiness);
        if let Some(snapshots) = &report.snapshots {
            self.apply_snapshots(context, key, snapshots);
        }
    }

    /// Handles a failed probe.
    pub fn probe_failed(&mut self, context: &mut Context<'_>, back_end: &BackEndId) {
        let key = facts::key_of(back_end);
        if self.probe_state(key).is_some_and(|probe| probe.in_flight) {
            self.record_probe_failure(context, key);
        }
    }

    /// Applies what routing observed in a reply or failure.
    pub fn apply_observation(&mut self, context: &mut Context<'_>, record: &HealthRecord) {
        let key = facts::key_of(&record.back_end);
        let Some(monitored) = self.back_ends.get_mut(&key) else {
            return;
        };
        monitored.facts.advance_clock(record.version);
        if record.readiness == Readiness::Leaving {
            self.apply_readiness(context, key, Readiness::Leaving);
        }
        if let Some(snapshots) = &record.snapshots {
            self.apply_snapshots(context, key, snapshots);
        }
        if !record.reachable {
            self.expedite_probe(context, key);
        }
    }

    /// Schedules a probe now, if this node probes the back end and no probe or retry is pending.
    pub(super) fn expedite_probe(&mut self, context: &Context<'_>, key: BackEndKey) {
        let not_probing =
            |probe: &mut ProbeState| !probe.in_flight && probe.consecutive_failures == 0;
        if self.probe_state(key).is_some_and(not_probing) {
            self.reschedule(key, context.now, false);
        }
    }

    fn record_probe_failure(&mut self, context: &mut Context<'_>, key: BackEndKey) {
        self.counters.probes_failed += 1;
        let limit = self.parameters.failed_probes;
        let Some(probe) = self.probe_state(key) else {
            return;
        };
        probe.consecutive_failures = probe.consecutive_failures.saturating_add(1);
        let exhausted = probe.consecutive_failures >= limit;
        if !exhausted {
            let retry_at = context.now + self.parameters.confirm_interval;
            self.reschedule(key, retry_at, false);
            return;
        }
        self.plan_next_probe(context, key);
        let own = self.observers.own();
        let Some(monitored) = self.back_ends.get_mut(&key) else {
            return;
        };
        monitored.leaving_hold.record_unreachable();
        if !monitored.facts.is_unreachable_from(own) {
            self.counters.unreachable += 1;
            self.publish(context, key, HealthFact::Unreachable(true));
        }
    }

    fn withdraw_vote(&mut self, context: &mut Context<'_>, key: BackEndKey) {
        let own = self.observers.own();
        let unreachable = |monitored: &MonitoredBackEnd| monitored.facts.is_unreachable_from(own);
        if self.back_ends.get(&key).is_some_and(unreachable) {
            self.publish(context, key, HealthFact::Unreachable(false));
        }
    }

    fn apply_readiness(
        &mut self,
        context: &mut Context<'_>,
        key: BackEndKey,
        readiness: Readiness,
    ) {
        let Some(monitored) = self.back_ends.get_mut(&key) else {
            return;
        };
        if monitored.facts.readiness() == readiness {
            monitored.update_leaving_hold(context.now, readiness);
            return;
        }
        if readiness != Readiness::Leaving
            && !monitored.accepts_ready(&self.parameters, context.now)
        {
            self.counters.held_back += 1;
            return;
        }
        self.publish(context, key, HealthFact::Readiness(readiness));
    }

    fn apply_snapshots(
        &mut self,
        context: &mut Context<'_>,
        key: BackEndKey,
        snapshots: &[thornbridge_proto::SnapshotId],
    ) {
        let Some(monitored) = self.back_ends.get_mut(&key) else {
            return;
        };
        if monitored.facts.snapshots() == Some(snapshots) {
            return;
        }
        if !monitored.snapshots_rate_limit.allows(context.now) {
            self.counters.held_back += 1;
            return;
        }
        let fact = HealthFact::Snapshots(snapshots.to_vec());
        self.publish(context, key, fact);
    }

    /// Records an own observation, gossips it and signals it to this node's other modules.
    fn publish(&mut self, context: &mut Context<'_>, key: BackEndKey, fact: HealthFact) {
        let own = self.observers.own();
        let Some(monitored) = self.back_ends.get_mut(&key) else {
            return;
        };
        let change = monitored.facts.observe(own, fact);
        monitored.record_change(&self.parameters, context.now, &change.fact);
        self.counters.published += 1;
        self.gossip_change(context, change);
        self.signal_health(context, key);
    }

    /// Queues a change observed here or received for gossip. A report of unreachability is verified
    /// with a probe.
    pub(super) fn gossip_change(&mut self, context: &Context<'_>, change: HealthChange) {
        let key = change.back_end;
        if change.fact == HealthFact::Unreachable(true) {
            self.expedite_probe(context, key);
        }
        self.enqueue((key, kind_of(&change)), change);
    }

    fn plan_next_probe(&mut self, context: &mut Context<'_>, key: BackEndKey) {
        let jitter = context.random.random_range(0.9..1.1);
        let interval = self.interval(key).mul_f64(self.interval_factor * jitter);
        self.reschedule(key, context.now + interval, false);
    }

    fn reschedule(&mut self, key: BackEndKey, due: crate::time::Timestamp, in_flight: bool) {
        let Some(probe) = self.probe_state(key) else {
            return;
        };
        let previous_due = std::mem::replace(&mut probe.due, due);
        probe.in_flight = in_flight;
        self.probe_schedule.remove(&(previous_due, key));
        self.probe_schedule.insert((due, key));
    }

    /// Discards probes in flight and failure counts, and reschedules all probes.
    pub(super) fn restart_probes(&mut self, context: &mut Context<'_>) {
        let keys: Vec<BackEndKey> = self.probe_schedule.iter().map(|(_, key)| *key).collect();
        for key in keys {
            if let Some(probe) = self.probe_state(key) {
                probe.consecutive_failures = 0;
            }
            let delay = self
                .interval(key)
                .mul_f64(context.random.random_range(0.0..1.0));
            self.reschedule(key, context.now + delay, false);
        }
    }

    fn probe_state(&mut self, key: BackEndKey) -> Option<&mut ProbeState> {
        self.back_ends.get_mut(&key)?.probe_state.as_mut()
    }
}
