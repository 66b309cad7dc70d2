//! Conducting: reports that this node gets as conductor, decisions, and their writes to the store.

use super::conductor::{Conductor, Decision, DecisionReason, Permits};
use super::control::{Context, Rollouts};
use super::rollout::DecisionOrigin;
use super::telemetry::{RolloutChange, RolloutStep};
use super::writer::PendingWrite;
use crate::gateway::action::GatewayAction;
use crate::gateway::event::{SourceFailure, StateWriteReply};
use crate::gateway::telemetry::GatewayChange;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_proto::peer::rollout::{
    RolloutGrant, RolloutId, RolloutMessage, RolloutOrder, RolloutReport, RolloutState,
};
use thornbridge_proto::peer::view::StoreRevision;

/// Time after a failed write in which this node leaves conducting to others.
const WRITE_FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// Members by rank that leave the sampling to others if they cannot write. If the store is away for all,
/// the next one conducts.
const RANKS_HANDING_OVER: usize = 3;

impl Rollouts {
    /// Takes a report, of this node as well, and answers it.
    pub(super) fn conduct(
        &mut self,
        context: &mut Context<'_>,
        from: SocketAddr,
        report: &RolloutReport,
    ) -> RolloutGrant {
        let service = &report.order.service;
        let Some(rollout) = self.active.get_mut(service) else {
            return self.answer(&report.order, false, Permits::default());
        };
        if rollout.id != report.order || rollout.own_rank.is_none() {
            return self.answer(&report.order, false, Permits::default());
        }
        rollout.reported(context.now, from);
        if self.hands_over(context.now, service) {
            return self.answer(&report.order, false, Permits::default());
        }
        let permits = self.sample(context, from, report);
        self.advance(context, service);
        self.answer(&report.order, true, permits)
    }

    /// Passes a report to the conductor, which is created if need be; returns the permits.
    fn sample(
        &mut self,
        context: &mut Context<'_>,
        from: SocketAddr,
        report: &RolloutReport,
    ) -> Permits {
        let service = &report.order.service;
        self.start_conducting(context, service);
        let rollout = self.active.get_mut(service);
        let conductor = rollout.and_then(|rollout| rollout.conductor.as_mut());
        conductor.map_or_else(Permits::default, |conductor| {
            conductor.handle_report(context.now, from, report)
        })
    }

    fn answer(&self, order: &RolloutId, conducts: bool, permits: Permits) -> RolloutGrant {
        let known = self.orders.get(&order.service);
        let is_known = known.is_some_and(|known| known.id == *order);
        let outcome = is_known.then(|| self.outcome(&order.service)).flatten();
        let permits = match outcome {
            None => permits,
            Some(_) => Permits::default(),
        };
        let decision = outcome.filter(|_| !self.is_blind(&order.service));
        RolloutGrant {
            order: order.clone(),
            conducts,
            decision,
            permits: permits.by_route,
            valid_ms: u32::try_from(permits.valid.as_millis()).unwrap_or(u32::MAX),
            instance: permits.instance,
        }
    }

    /// Whether this node decided knowing little, so that others are not told.
    fn is_blind(&self, service: &ServiceName) -> bool {
        let rollout = self.active.get(service);
        let decision = rollout.and_then(|rollout| rollout.decision.as_ref());
        decision.is_some_and(|decision| decision.origin == DecisionOrigin::Blind)
    }

    /// Creates the conductor of a roll-out that is not decided.
    fn start_conducting(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let Some(order) = self.orders.get(service) else {
            return;
        };
        let timing = order.timing(context.now);
        let Some(rollout) = self.active.get_mut(service) else {
            return;
        };
        if rollout.decision.is_some() {
            return;
        }
        if let Some(conductor) = &mut rollout.conductor {
            conductor.set_ordered_at(timing.ordered_at);
            return;
        }
        rollout.conductor = Some(Conductor::new(self.parameters, timing));
        rollout.conducting_since = context.now;
        rollout.handed_over = false;
        self.update_instances(context, service);
        self.log(context, service, RolloutStep::Conducting);
    }

    /// Whether this node leaves conducting to others, since it could not write.
    fn hands_over(&self, now: Timestamp, service: &ServiceName) -> bool {
        let failed = self.write_failed_at;
        let fails = failed.is_some_and(|at| now.since(at) < WRITE_FAILURE_MEMORY);
        let Some(rollout) = self.active.get(service).filter(|_| fails) else {
            return false;
        };
        let has_successor = rollout.candidates.len() > 1;
        let is_decided = rollout.decision.is_some();
        let rank = rollout.own_rank.unwrap_or_default();
        has_successor && (is_decided || rank < RANKS_HANDING_OVER)
    }

    /// Decides and writes what is due for a roll-out.
    pub(super) fn advance(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let (Some(rollout), Some(order)) = (self.active.get_mut(service), self.orders.get(service))
        else {
            return;
        };
        rollout.advanced_at = context.now;
        let is_unasked = rollout.conducts_unasked(context.now, order);
        if is_unasked && !self.hands_over(context.now, service) {
            self.start_conducting(context, service);
        }
        self.decide(context, service);
        self.write_if_due(context, service);
    }

    /// Tells the conductor which servers of the version on trial can be sampled.
    pub(super) fn update_instances(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let Some(rollout) = self.active.get_mut(service) else {
            return;
        };
        if let Some(conductor) = &mut rollout.conductor {
            let servers = &context.servers;
            conductor.set_instances(servers.trial_instances(context.now, rollout.service));
        }
    }

    fn decide(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let (Some(rollout), Some(order)) = (self.active.get_mut(service), self.orders.get(service))
        else {
            return;
        };
        if rollout.decides_from() > context.now {
            return;
        }
        let conductor = rollout.conductor.as_mut();
        let Some(decision) = conductor.and_then(|conductor| conductor.decide(context.now)) else {
            return;
        };
        if !rollout.may_decide(context.now, order, &decision) {
            return;
        }
        rollout.decide(context.now, &decision);
        self.log_decision(context, service, &decision);
        self.refresh_roles(context, service);
        self.tell_decision(context, service);
    }

    /// Tells a decision to the nodes that report here, and to possible successors.
    fn tell_decision(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let Some(rollout) = self.active.get(service) else {
            return;
        };
        if self.is_blind(service) {
            return;
        }
        let nodes = rollout.nodes_to_tell(self.own);
        let grant = self.answer(&rollout.id, true, Permits::default());
        for node in nodes {
            let message = RolloutMessage::Grant(grant.clone());
            self.peers.send(context.now, context.actions, node, message);
        }
    }

    /// Adopts a decision that this node did not take.
    pub(super) fn learn(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        state: RolloutState,
    ) {
        let Some(rollout) = self.active.get_mut(service) else {
            return;
        };
        if rollout.learn(context.now, state) {
            self.log(context, service, RolloutStep::Learnt);
            self.refresh_roles(context, service);
        }
    }

    fn write_if_due(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let (Some(rollout), Some(order)) = (self.active.get_mut(service), self.orders.get(service))
        else {
            return;
        };
        if rollout.writer.expire(context.now) {
            self.write_failed_at = Some(context.now);
        }
        let due = rollout.write_due(order);
        let Some((state, _)) = due.filter(|(_, at)| *at <= context.now) else {
            return;
        };
        if rollout.writer.is_ready(context.now) {
            self.next_write += 1;
            let write = self.next_write;
            rollout
                .writer
                .start(context.now, context.actions, write, order, state);
        }
    }

    /// Handles the result of a write.
    pub(in crate::gateway) fn state_written(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        write: u64,
        result: Result<StateWriteReply, SourceFailure>,
    ) {
        let Some(rollout) = self.active.get_mut(service) else {
            return;
        };
        let Some(pending) = rollout.writer.completed(write) else {
            return;
        };
        match result {
            Ok(reply) => {
                self.write_failed_at = None;
                rollout.writer.answered();
                self.write_answered(context, service, &pending, reply);
            }
            Err(_) => {
                rollout.writer.failed(context.now);
                self.write_failed_at = Some(context.now);
                self.hand_over(context, service);
            }
        }
    }

    fn write_answered(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        pending: &PendingWrite,
        reply: StateWriteReply,
    ) {
        match reply {
            StateWriteReply::Written(revision) => {
                self.write_stands(context, service, pending, revision);
            }
            StateWriteReply::Conflict(order) => {
                self.write_conflicts(context, service, pending, order);
            }
            StateWriteReply::Missing => {
                self.orders.remove(service);
                self.order_changed(context, service);
            }
        }
    }

    fn write_stands(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        pending: &PendingWrite,
        revision: StoreRevision,
    ) {
        let Some(order) = self.orders.get_mut(service) else {
            return;
        };
        if order.id != pending.id || order.revision > revision {
            return;
        }
        order.written(pending.state, revision);
        match pending.state {
            RolloutState::Serving => {
                let rollout = self.active.get_mut(service);
                if let Some(conductor) = rollout.and_then(|rollout| rollout.conductor.as_mut()) {
                    conductor.add_slack();
                }
                self.log(context, service, RolloutStep::ServingWritten);
            }
            RolloutState::Complete | RolloutState::RolledBack => {
                self.end(context, service, RolloutStep::Written);
            }
        }
        self.order_changed(context, service);
        self.push_orders(context);
    }

    fn write_conflicts(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        pending: &PendingWrite,
        current: Option<RolloutOrder>,
    ) {
        let changed = current.is_some_and(|current| self.orders.upsert(context.now, &current));
        let order = self.orders.get(service);
        let revision = order.map(|order| order.revision);
        if revision.is_none_or(|revision| revision <= pending.based_on)
            && let Some(rollout) = self.active.get_mut(service)
        {
            rollout.writer.failed(context.now);
        }
        self.order_changed(context, service);
        if changed {
            self.push_orders(context);
        }
    }

    /// Leaves a roll-out to the next member after a failed write.
    fn hand_over(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        if !self.hands_over(context.now, service) {
            return;
        }
        let is_first = self.active.get_mut(service).is_some_and(|rollout| {
            rollout.conductor = None;
            !std::mem::replace(&mut rollout.handed_over, true)
        });
        if is_first {
            self.log(context, service, RolloutStep::HandedOver);
        }
    }

    fn log_decision(&self, context: &mut Context<'_>, service: &ServiceName, decision: &Decision) {
        let Some(order) = self.orders.get(service) else {
            return;
        };
        let change = RolloutChange {
            service: service.clone(),
            target: order.id.target.clone(),
            step: RolloutStep::Decided,
            state: Some(decision.state),
            reason: reason_label(decision),
            route: decision.route.clone(),
            trial: decision.trial,
            stable: decision.stable,
            companions: decision.companions,
            elapsed: order.elapsed(context.now),
            revision: order.revision,
        };
        let change = GatewayChange::Rollout(change);
        context.actions.push_back(GatewayAction::Changed(change));
    }
}

/// Label for logs.
fn reason_label(decision: &Decision) -> &'static str {
    match decision.reason {
        DecisionReason::Worse if decision.under_load => "worse_under_load",
        DecisionReason::Worse => "worse",
        DecisionReason::NotWorse => "not_worse",
        DecisionReason::Undecided => "undecided",
    }
}
