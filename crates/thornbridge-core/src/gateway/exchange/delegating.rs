//! A gather's coordinator: asks owners for its slices, and other owners in place of those that are
//! gone or silent.
//!
//! Guards against owners that do not answer, without a shard's request reaching more servers than
//! its route allows: the coordinator grants the attempts. An owner begins with one for each shard and
//! is granted the rest when it reports, if no other owner was asked meanwhile. An owner that is merely
//! slow may therefore go on beside the one that was asked in its place.

use super::leg::{Leg, LegState};
use super::request::Request;
use super::slice::{AskedOwner, OWNERS_ASKED, Slice, send_message};
use super::{Exchanges, Scope};
use crate::driver_action::CallerId;
use crate::gateway::action::GatewayAction;
use crate::gateway::notes::{AttemptCause, GatewayChange, SliceOutcome};
use crate::gateway::routes::{ResolvedGather, ResolvedTarget};
use crate::gateway::slices::Plan;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceStop, SliceTask};

/// Lateness of a timer from which it is this node that does not keep up.
const LATE_LOOK: Duration = Duration::from_millis(10);

impl Exchanges {
    /// Asks an owner for each slice of a request.
    pub(super) fn delegate(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        plan: &Arc<Plan>,
    ) {
        for leg in &mut request.legs {
            leg.state = LegState::Delegated;
        }
        for group in 0..plan.groups.len() {
            request.slices.push(Slice::new(Arc::clone(plan), group));
            let index = request.slices.len() - 1;
            self.ask_owner(scope, request, index);
        }
    }

    /// Asks the next owner of a slice for the shards that are open; where there is none, this node serves
    /// them.
    pub(super) fn ask_owner(&mut self, scope: &mut Scope<'_>, request: &mut Request, index: usize) {
        let slice = &request.slices[index];
        let legs = &request.legs[slice.shards()];
        if !legs.iter().any(Leg::is_delegated) {
            return;
        }
        let asked = slice.owners();
        let group = &slice.plan.groups[slice.group];
        let owner = scope.slices.choose_owner(scope.now, group, &asked);
        let may_ask = asked.len() < OWNERS_ASKED && slice.granted < request.attempts;
        match owner.filter(|_| may_ask) {
            Some(owner) if owner != scope.own_address => {
                self.send_task(scope, request, index, owner);
            }
            _ => serve_here(request, index),
        }
    }

    fn send_task(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        owner: SocketAddr,
    ) {
        let second_after = self.second_after(scope, request, index);
        let Some(task) = task(scope, request, index, second_after) else {
            return;
        };
        let id = task.slice;
        let objective = request.route.route.latency_objective;
        let overhead = scope.slices.overhead(objective);
        let margin = objective.mul_f64(self.parameters.silent_owner_share);
        let slice = &mut request.slices[index];
        slice.asked.push(AskedOwner::new(owner, id, scope.now));
        slice.silent_at = Some(second_after + overhead + margin);
        slice.granted += 1;
        self.slices.insert(id, (request.caller, index));
        scope.slices.spoke_to(scope.now, owner);
        let caller = request.caller;
        let task = Box::new(task);
        scope.actions.push_back(GatewayAction::AskOwner {
            to: owner,
            caller,
            task,
        });
    }

    /// Before this no second attempt of a shard is worth its cost; its owner reports then.
    fn second_after(&self, scope: &mut Scope<'_>, request: &Request, index: usize) -> Timestamp {
        let parameters = &self.parameters;
        let objective = request.route.route.latency_objective;
        let statistics = scope.routes.statistics(request.route.key);
        let work = statistics.work.quantile(parameters.hedge_quantile);
        let work = work.unwrap_or_else(|| objective.mul_f64(parameters.hedge_initial_share));
        let parts = request.slices[index].shards().len();
        scope.now + work + scope.slices.time_for(parts)
    }

    /// Asks other owners in place of those that are silent.
    pub(super) fn advance_slices(&mut self, scope: &mut Scope<'_>, request: &mut Request) {
        let mut silent = Vec::new();
        for index in 0..request.slices.len() {
            let slice = &mut request.slices[index];
            let Some(silent_at) = slice.silent_at.filter(|time| *time <= scope.now) else {
                continue;
            };
            if scope.now.since(silent_at) > LATE_LOOK {
                // This node is late itself: the report may wait in its queue.
                slice.silent_at = Some(scope.now + LATE_LOOK);
                continue;
            }
            slice.silent_at = None;
            let unheard = slice.asked.iter_mut();
            let unheard = unheard.filter(|asked| asked.outcome == SliceOutcome::Asked);
            for asked in unheard {
                asked.outcome = SliceOutcome::Silent;
                scope.slices.owner_failed(scope.now, asked.owner);
            }
            silent.push(index);
        }
        for index in silent {
            self.ask_instead(scope, request, index);
        }
    }

    /// An owner will not report any more.
    pub(super) fn owner_lost(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        id: SliceId,
        outcome: SliceOutcome,
    ) {
        self.slices.remove(&id);
        let slice = &mut request.slices[index];
        slice.set_outcome(id, outcome);
        if outcome == SliceOutcome::Refused {
            slice.granted -= 1;
        }
        if slice.open().next().is_none() {
            slice.silent_at = None;
            self.ask_owner(scope, request, index);
        } else {
            self.ask_instead(scope, request, index);
        }
    }

    /// Asks another owner where only silent ones are left and attempts are. Where most owners are
    /// silent, others would be, too: it may be this node that is cut off, and it serves the shards
    /// itself.
    fn ask_instead(&mut self, scope: &mut Scope<'_>, request: &mut Request, index: usize) {
        let slice = &request.slices[index];
        if slice.is_waiting() || slice.granted >= request.attempts {
            return;
        }
        if request.most_owners_are_silent() {
            note_missing_owners(scope, request);
            serve_here(request, index);
        } else {
            self.ask_owner(scope, request, index);
        }
    }

    /// The link to a node broke: its slices are lost, and those asked for by it are over.
    pub(in crate::gateway) fn peer_lost(&mut self, scope: &mut Scope<'_>, peer: SocketAddr) {
        scope.slices.link_lost(peer);
        let slices = self.slices.iter();
        let slices = slices.map(|(id, (caller, index))| (*id, *caller, *index));
        let slices: Vec<(SliceId, CallerId, usize)> = slices.collect();
        let mut failed = false;
        for (id, caller, index) in slices {
            let Some(mut request) = self.requests.remove(&caller) else {
                continue;
            };
            let lost = request.slices[index].was_asked(peer, id);
            if lost {
                failed = true;
                self.owner_lost(scope, &mut request, index, id, SliceOutcome::Lost);
            }
            self.requests.insert(caller, request);
            if lost {
                self.advance(scope, caller);
            }
        }
        if failed {
            scope.slices.owner_failed(scope.now, peer);
        }
        self.coordinator_lost(scope, peer);
    }

    /// The request is over: owners that may still report are told.
    pub(super) fn stop_slices(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        reason: SliceStop,
    ) {
        for slice in &request.slices {
            for asked in slice.open() {
                let slice = asked.id;
                send_message(scope, asked.owner, SliceMessage::Stop { slice, reason });
            }
            for asked in &slice.asked {
                self.slices.remove(&asked.id);
            }
        }
    }
}

fn note_missing_owners(scope: &mut Scope<'_>, request: &Request) {
    let Some(lasts) = scope.slices.owners_missing(scope.now) else {
        return;
    };
    let change = GatewayChange::OwnersMissing {
        silent: request.silent_owners(),
        slices: request.slices.len(),
        lasts,
    };
    scope.actions.push_back(GatewayAction::Changed(change));
}

/// What the next owner of a slice is asked to do: with one attempt for each shard.
fn task(
    scope: &mut Scope<'_>,
    request: &Request,
    index: usize,
    second_after: Timestamp,
) -> Option<SliceTask> {
    let ResolvedTarget::Gather(gather) = &request.route.target else {
        return None;
    };
    let slice = &request.slices[index];
    let route = &request.route.route;
    let overhead = scope.slices.overhead(route.latency_objective);
    let left = request.answer_by.since(scope.now);
    Some(SliceTask {
        slice: scope.slices.next_id(),
        request_id: request.id.clone(),
        fingerprint: request.fingerprint,
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        version: request.route.version.0,
        shards: shard_names(scope, gather, slice),
        records: u32::try_from(gather.records).unwrap_or(u32::MAX),
        attempts: slice.granted + 1,
        prior_attempts: slice.granted,
        objective_us: micros(route.latency_objective),
        report_in_us: micros(left.saturating_sub(overhead)),
        second_after_us: micros(second_after.since(scope.now)),
        ends_in_us: micros(request.ends.since(scope.now)),
    })
}

/// This node serves the shards of a slice that no owner answered, with the attempts that are left.
fn serve_here(request: &mut Request, index: usize) {
    let slice = &mut request.slices[index];
    let granted = slice.granted;
    let may_send = granted < request.attempts;
    slice.granted = request.attempts;
    let cause = match granted {
        0 => AttemptCause::First,
        _ => AttemptCause::Retry,
    };
    for place in slice.shards() {
        let leg = &mut request.legs[place];
        if !leg.is_delegated() {
            continue;
        }
        leg.prior = granted;
        leg.state = match may_send {
            true => LegState::Wanting(cause),
            false => LegState::Failed,
        };
    }
}

fn shard_names(
    scope: &Scope<'_>,
    gather: &ResolvedGather,
    slice: &Slice,
) -> Vec<thornbridge_proto::ServiceName> {
    let shards = gather.shards[slice.shards()].iter();
    let names = shards.filter_map(|shard| scope.servers.service_name(*shard));
    names.cloned().collect()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
