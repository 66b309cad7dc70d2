//! A gather's coordinator: asks owners for its slices, and takes their reports.
//!
//! Guards against owners that are gone: another owner gets the slice, with one attempt less for each
//! shard, while the first cannot have made a second attempt. So no shard's request reaches more
//! servers than its route allows. A silent owner may be slow rather than gone: it is avoided by later
//! gathers, and its slice waits for it.

use super::leg::{Leg, LegState};
use super::request::Request;
use super::slice::{AskedOwner, OWNERS_ASKED, Slice};
use super::{Exchanges, Scope};
use crate::driver_action::CallerId;
use crate::gateway::action::GatewayAction;
use crate::gateway::notes::{AttemptCause, SliceOutcome};
use crate::gateway::routes::{ResolvedGather, ResolvedTarget};
use crate::gateway::slices::Plan;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceReport, SliceStop, SliceTask};

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
        let largest = plan.groups.iter().map(|group| group.shards.len()).max();
        let own_time = scope.slices.time_for(largest.unwrap_or_default());
        let second_after = scope.now + self.second_attempt_delay(scope, request) + own_time;
        for group in 0..plan.groups.len() {
            let slice = Slice {
                plan: Arc::clone(plan),
                group,
                asked: Vec::new(),
                reporting: None,
                silent_at: None,
                second_after,
                attempts: 0,
                records: Vec::new(),
            };
            request.slices.push(slice);
            let index = request.slices.len() - 1;
            self.ask_owner(scope, request, index);
        }
    }

    /// Asks the next owner of a slice; where there is none, this node serves its shards.
    fn ask_owner(&mut self, scope: &mut Scope<'_>, request: &mut Request, index: usize) {
        let slice = &request.slices[index];
        let asked = slice.owners();
        let group = &slice.plan.groups[slice.group];
        let owner = scope.slices.choose_owner(scope.now, group, &asked);
        let most = request.route.route.attempts;
        let owner = owner.filter(|_| asked.len() < OWNERS_ASKED && slice.attempts < most);
        match owner {
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
        let Some(task) = self.task(scope, request, index) else {
            return;
        };
        let id = task.slice;
        let overhead = scope.slices.overhead(request.route.route.latency_objective);
        let slice = &mut request.slices[index];
        slice.asked.push(AskedOwner {
            owner,
            id,
            at: scope.now,
            outcome: SliceOutcome::Asked,
        });
        let reported_by = slice.second_after.max(scope.now) + overhead;
        let objective = request.route.route.latency_objective;
        let margin = objective.mul_f64(self.parameters.silent_owner_share);
        slice.silent_at = Some(reported_by + margin);
        slice.attempts += 1;
        for place in slice.shards() {
            let leg = &mut request.legs[place];
            if !leg.is_over() {
                leg.state = LegState::Delegated;
                leg.look_at = None;
            }
        }
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

    fn task(&self, scope: &mut Scope<'_>, request: &Request, index: usize) -> Option<SliceTask> {
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
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            version: request.route.version.0,
            shards: shard_names(scope, gather, slice),
            records: u32::try_from(gather.records).unwrap_or(u32::MAX),
            attempts: route.attempts,
            prior_attempts: slice.attempts,
            objective_us: micros(route.latency_objective),
            report_in_us: micros(left.saturating_sub(overhead)),
            second_after_us: micros(slice.second_after.since(scope.now)),
            ends_in_us: micros(request.ends.since(scope.now)),
        })
    }

    /// Time before which no second attempt of a shard is worth its cost.
    fn second_attempt_delay(&self, scope: &mut Scope<'_>, request: &Request) -> Duration {
        let parameters = &self.parameters;
        let objective = request.route.route.latency_objective;
        let statistics = scope.routes.statistics(request.route.key);
        let work = statistics.work.quantile(parameters.hedge_quantile);
        work.unwrap_or_else(|| objective.mul_f64(parameters.hedge_initial_share))
    }

    /// A task never left this node.
    pub(in crate::gateway) fn task_not_sent(
        &mut self,
        scope: &mut Scope<'_>,
        owner: SocketAddr,
        slice: SliceId,
    ) {
        self.slice_reported(scope, owner, slice, SliceReport::refusal());
    }

    /// An owner reported.
    pub(in crate::gateway) fn slice_reported(
        &mut self,
        scope: &mut Scope<'_>,
        owner: SocketAddr,
        id: SliceId,
        report: SliceReport,
    ) {
        let Some((caller, index)) = self.slices.get(&id).copied() else {
            return;
        };
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        self.take_report(scope, &mut request, index, owner, id, report);
        self.requests.insert(caller, request);
        self.advance(scope, caller);
    }

    fn take_report(
        &mut self,
        scope: &mut Scope<'_>,
        request: &mut Request,
        index: usize,
        owner: SocketAddr,
        id: SliceId,
        report: SliceReport,
    ) {
        let slice = &mut request.slices[index];
        let Some(asked) = slice.asked.iter().find(|asked| asked.id == id).copied() else {
            return;
        };
        if asked.owner != owner {
            return;
        }
        if report.refused {
            self.owner_lost(scope, request, index, id, SliceOutcome::Refused);
            return;
        }
        if slice.reporting.is_none() {
            slice.reporting = Some(id);
            slice.silent_at = None;
            let elapsed = Duration::from_micros(report.elapsed_us);
            let overhead = scope.now.since(asked.at).saturating_sub(elapsed);
            scope.slices.owner_answered(owner, overhead);
        }
        let outcome = match report.finished {
            true => SliceOutcome::Finished,
            false => SliceOutcome::Reporting,
        };
        request.slices[index].set_outcome(id, outcome);
        if report.finished {
            self.slices.remove(&id);
        }
        take_shards(request, index, report);
    }

    /// Does what is due for slices whose owners are silent.
    pub(super) fn advance_slices(&mut self, scope: &mut Scope<'_>, request: &mut Request) {
        for index in 0..request.slices.len() {
            let slice = &request.slices[index];
            let Some(silent_at) = slice.silent_at.filter(|time| *time <= scope.now) else {
                continue;
            };
            if scope.now.since(silent_at) > LATE_LOOK {
                // This node is late itself: the report may wait in its queue.
                request.slices[index].silent_at = Some(scope.now + LATE_LOOK);
                continue;
            }
            request.slices[index].silent_at = None;
            // It may have the task and be slow: asking another owner as well could take a shard's
            // request to more servers than its route allows. Later gathers avoid it.
            if let Some(silent) = request.slices[index].open().last().copied() {
                scope.slices.owner_failed(scope.now, silent.owner);
            }
        }
    }

    /// An owner will not report any more.
    fn owner_lost(
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
        let reported = slice.reporting == Some(id);
        match outcome {
            SliceOutcome::Refused => slice.attempts -= 1,
            // It may have made a second attempt.
            _ if reported || scope.now >= slice.second_after => {
                slice.attempts = request.route.route.attempts;
            }
            _ => {}
        }
        if slice.open().next().is_none() {
            slice.silent_at = None;
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
            let asked = request.slices[index].asked.iter();
            let lost = asked
                .clone()
                .any(|asked| asked.id == id && asked.owner == peer);
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
        for slice in &mut request.slices {
            let open: Vec<AskedOwner> = slice.open().copied().collect();
            for asked in open {
                stop(scope, &asked, reason);
            }
            for asked in &slice.asked {
                self.slices.remove(&asked.id);
            }
        }
    }
}

/// This node serves the shards of a slice that no owner answered.
fn serve_here(request: &mut Request, index: usize) {
    let slice = &request.slices[index];
    let attempts = slice.attempts;
    let may_send = attempts < request.route.route.attempts;
    let cause = match attempts {
        0 => AttemptCause::First,
        _ => AttemptCause::Retry,
    };
    for place in slice.shards() {
        let leg = &mut request.legs[place];
        if leg.is_over() {
            continue;
        }
        leg.prior = attempts;
        leg.look_at = None;
        leg.state = match may_send {
            true => LegState::Wanting(cause),
            false => LegState::Failed,
        };
    }
}

/// Takes a report's shards over.
fn take_shards(request: &mut Request, index: usize, report: SliceReport) {
    let shards = request.slices[index].shards();
    for (place, signature) in report.answered {
        // The report's records hold those of all its shards: it replaces an answer that this node
        // got for one of them.
        if let Some(leg) = leg_at(&mut request.legs, &shards, place) {
            let signature = Bytes::copy_from_slice(signature.as_slice());
            leg.state = LegState::Reported(signature);
            leg.look_at = None;
        }
    }
    let records = Bytes::copy_from_slice(report.records.as_slice());
    request.slices[index].records.push(records);
    let elsewhere = request.slices[index].attempts.saturating_sub(1);
    for (place, ran) in report.failed {
        let Some(leg) = leg_at(&mut request.legs, &shards, place) else {
            continue;
        };
        if leg.is_over() {
            continue;
        }
        leg.prior = elsewhere;
        leg.state = match ran {
            true => LegState::Failed,
            // The owner could send it to no server; this node may.
            false => LegState::Wanting(AttemptCause::First),
        };
    }
}

fn leg_at<'a>(
    legs: &'a mut [Leg],
    shards: &std::ops::Range<usize>,
    place: u16,
) -> Option<&'a mut Leg> {
    let index = shards.start + usize::from(place);
    legs.get_mut(index).filter(|_| index < shards.end)
}

fn stop(scope: &mut Scope<'_>, asked: &AskedOwner, reason: SliceStop) {
    let message = SliceMessage::Stop {
        slice: asked.id,
        reason,
    };
    scope.actions.push_back(GatewayAction::SendPeer {
        to: asked.owner,
        message: PeerMessage::Slice(message),
    });
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
