//! Coordinator of a divided gather: delegates slices to owners, and again when an owner is lost or
//! silent.
//!
//! The coordinator grants attempts, so that a shard's request reaches no more servers than its
//! route allows. An owner starts with one attempt per shard and is granted the rest when it
//! reports, unless the slice was delegated again meanwhile. A slow owner may therefore run beside
//! its replacement.

use super::part::{Part, PartState};
use super::request::Request;
use super::slice::{Delegation, MAX_DELEGATIONS, Slice, send_message};
use super::{Context, Exchanges};
use crate::driver_action::CallerId;
use crate::gateway::action::GatewayAction;
use crate::gateway::routes::ResolvedTarget;
use crate::gateway::slices::Plan;
use crate::gateway::telemetry::{AttemptCause, GatewayChange, SliceOutcome};
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceStop, SliceTask};

/// Timer lateness from which this node is considered overloaded.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(10);

impl Exchanges {
    /// Delegates each slice of a request.
    pub(super) fn delegate_gather(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        plan: &Arc<Plan>,
    ) {
        for part in &mut request.parts {
            part.state = PartState::Delegated;
        }
        for group in 0..plan.groups.len() {
            request.slices.push(Slice::new(Arc::clone(plan), group));
            let index = request.slices.len() - 1;
            self.delegate_slice(context, request, index);
        }
    }

    /// Delegates the open shards of a slice to its next owner, or serves them locally if there is
    /// none.
    pub(super) fn delegate_slice(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
    ) {
        let slice = &request.slices[index];
        let parts = &request.parts[slice.shards()];
        if !parts.iter().any(Part::is_delegated) {
            return;
        }
        let delegated_to = slice.owners();
        let group = &slice.plan.groups[slice.group];
        let owner = context
            .slices
            .choose_owner(context.now, group, &delegated_to);
        let may_delegate = slice.sent_delegations() < MAX_DELEGATIONS
            && slice.granted_attempts < request.max_attempts;
        match owner.filter(|_| may_delegate) {
            Some(owner) if owner != context.own_address => {
                self.send_task(context, request, index, owner);
            }
            _ => serve_locally(request, index),
        }
    }

    fn send_task(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        owner: SocketAddr,
    ) {
        let hedge_not_before = self.hedge_not_before(context, request, index);
        let Some(task) = slice_task(context, request, index, hedge_not_before) else {
            return;
        };
        let id = task.slice;
        let objective = request.route.route.latency_objective;
        let overhead = context.slices.overhead(objective);
        let margin = objective.mul_f64(self.parameters.silent_owner_share);
        let slice = &mut request.slices[index];
        slice
            .delegations
            .push(Delegation::new(owner, id, context.now));
        slice.silent_at = Some(hedge_not_before + overhead + margin);
        slice.granted_attempts += 1;
        self.delegated_slices.insert(id, (request.caller, index));
        context.slices.message_sent(context.now, owner);
        let caller = request.caller;
        let task = Box::new(task);
        context.actions.push_back(GatewayAction::SendTask {
            to: owner,
            caller,
            task,
        });
    }

    /// Earliest time at which a hedge of a shard is worth its cost; the owner reports then.
    fn hedge_not_before(
        &self,
        context: &mut Context<'_>,
        request: &Request,
        index: usize,
    ) -> Timestamp {
        let parameters = &self.parameters;
        let objective = request.route.route.latency_objective;
        let statistics = context.routes.statistics(request.route.key);
        let work = statistics.work.quantile(parameters.hedge_quantile);
        let work = work.unwrap_or_else(|| objective.mul_f64(parameters.hedge_initial_share));
        let parts = request.slices[index].shards().len();
        context.now + work + context.slices.processing_time(parts)
    }

    /// Delegates the slices of silent owners again.
    pub(super) fn advance_slices(&mut self, context: &mut Context<'_>, request: &mut Request) {
        let mut silent = Vec::new();
        for index in 0..request.slices.len() {
            let slice = &mut request.slices[index];
            let Some(silent_at) = slice.silent_at.filter(|time| *time <= context.now) else {
                continue;
            };
            if context.now.since(silent_at) > LATE_TIMER_THRESHOLD {
                // The timer is late, so the report may be queued in this node.
                slice.silent_at = Some(context.now + LATE_TIMER_THRESHOLD);
                continue;
            }
            slice.silent_at = None;
            let unreported = slice.delegations.iter_mut();
            let unreported =
                unreported.filter(|delegation| delegation.outcome == SliceOutcome::Pending);
            for delegation in unreported {
                delegation.outcome = SliceOutcome::Silent;
                context.slices.owner_failed(context.now, delegation.owner);
            }
            silent.push(index);
        }
        for index in silent {
            self.redelegate(context, request, index);
        }
    }

    /// Handles an owner that will send no more reports.
    pub(super) fn owner_lost(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        index: usize,
        id: SliceId,
        outcome: SliceOutcome,
    ) {
        self.delegated_slices.remove(&id);
        let slice = &mut request.slices[index];
        slice.set_outcome(id, outcome);
        if outcome.is_not_run() {
            slice.granted_attempts -= 1;
        }
        if slice.open_delegations().next().is_none() {
            slice.silent_at = None;
            self.delegate_slice(context, request, index);
        } else {
            self.redelegate(context, request, index);
        }
    }

    /// Delegates a slice again if its owners are silent and attempts remain. When most owners are
    /// silent this node may be partitioned, and serves the shards itself.
    fn redelegate(&mut self, context: &mut Context<'_>, request: &mut Request, index: usize) {
        let slice = &request.slices[index];
        if slice.has_responsive_owner() || slice.granted_attempts >= request.max_attempts {
            return;
        }
        if request.most_slices_have_silent_owner() {
            suspend_division(context, request);
            serve_locally(request, index);
        } else {
            self.delegate_slice(context, request, index);
        }
    }

    /// Handles a broken peer link: slices delegated to the peer are lost, slices served for it end.
    pub(in crate::gateway) fn peer_link_lost(
        &mut self,
        context: &mut Context<'_>,
        peer: SocketAddr,
    ) {
        context.slices.link_lost(peer);
        let slices = self.delegated_slices.iter();
        let slices = slices.map(|(id, (caller, index))| (*id, *caller, *index));
        let slices: Vec<(SliceId, CallerId, usize)> = slices.collect();
        let mut failed = false;
        for (id, caller, index) in slices {
            let Some(mut request) = self.requests.remove(&caller) else {
                continue;
            };
            let lost = request.slices[index].is_delegated_to(peer, id);
            if lost {
                failed = true;
                self.owner_lost(context, &mut request, index, id, SliceOutcome::Lost);
            }
            self.requests.insert(caller, request);
            if lost {
                self.advance(context, caller);
            }
        }
        if failed {
            context.slices.owner_failed(context.now, peer);
        }
        self.coordinator_lost(context, peer);
    }

    /// Tells owners that may still report that the request is finished.
    pub(super) fn stop_slices(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
        reason: SliceStop,
    ) {
        for slice in &request.slices {
            for delegation in slice.open_delegations() {
                let slice = delegation.id;
                send_message(
                    context,
                    delegation.owner,
                    SliceMessage::Stop { slice, reason },
                );
            }
            for delegation in &slice.delegations {
                self.delegated_slices.remove(&delegation.id);
            }
        }
    }
}

fn suspend_division(context: &mut Context<'_>, request: &Request) {
    let Some(duration) = context.slices.suspend_division(context.now) else {
        return;
    };
    let change = GatewayChange::OwnersSilent {
        silent: request.slices_with_silent_owner(),
        slices: request.slices.len(),
        duration,
    };
    context.actions.push_back(GatewayAction::Changed(change));
}

/// Task for the next owner of a slice, with one attempt per shard.
fn slice_task(
    context: &mut Context<'_>,
    request: &Request,
    index: usize,
    hedge_not_before: Timestamp,
) -> Option<SliceTask> {
    let ResolvedTarget::Gather(gather) = &request.route.target else {
        return None;
    };
    let slice = &request.slices[index];
    let route = &request.route.route;
    let overhead = context.slices.overhead(route.latency_objective);
    let remaining = request.soft_deadline.since(context.now);
    Some(SliceTask {
        slice: context.slices.allocate_id(),
        request_id: request.id.clone(),
        fingerprint: request.fingerprint,
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        version: request.route.version.0,
        shards: shard_names(context, slice),
        records: u32::try_from(gather.records).unwrap_or(u32::MAX),
        attempts: slice.granted_attempts + 1,
        prior_attempts: slice.granted_attempts,
        objective_us: micros(route.latency_objective),
        report_in_us: micros(remaining.saturating_sub(overhead)),
        second_after_us: micros(hedge_not_before.since(context.now)),
        ends_in_us: micros(request.deadline.since(context.now)),
        home_regions: route.home_regions.clone(),
    })
}

/// Serves the open shards of a slice on this node, with the remaining attempts.
fn serve_locally(request: &mut Request, index: usize) {
    let slice = &mut request.slices[index];
    let granted_attempts = slice.granted_attempts;
    let may_send = granted_attempts < request.max_attempts;
    slice.granted_attempts = request.max_attempts;
    let cause = match granted_attempts {
        0 => AttemptCause::First,
        _ => AttemptCause::Retry,
    };
    for position in slice.shards() {
        let part = &mut request.parts[position];
        if !part.is_delegated() {
            continue;
        }
        part.prior_attempts = granted_attempts;
        part.state = match may_send {
            true => PartState::NeedsAttempt(cause),
            false => PartState::Failed,
        };
    }
}

fn shard_names(context: &Context<'_>, slice: &Slice) -> Vec<thornbridge_proto::ServiceName> {
    let shards = slice.plan.shards[slice.shards()].iter();
    let names = shards.filter_map(|shard| context.servers.service_name(*shard));
    names.cloned().collect()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
