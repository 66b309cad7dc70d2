//! Owner of slices: serves a slice as a request that is answered by reports to its coordinator.
//!
//! A report is sent when all shards are finished, when hedging begins, at the soft deadline, and
//! from then on as late shards answer, until the coordinator stops the slice. An owner starts with
//! one attempt per shard and requests more with the first report that leaves shards open, because
//! another owner may have used them.

use super::merging::greatest_records;
use super::part::{Part, PartState};
use super::request::{Origin, Request};
use super::slice::send_message;
use super::{Context, Exchanges};
use crate::driver_action::CallerId;
use crate::gateway::action::GatewayAction;
use crate::gateway::caller_try::CallerTry;
use crate::gateway::routes::{ResolvedGather, ResolvedRoute, ResolvedTarget};
use crate::time::Timestamp;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::routes::{Repeatability, Route, RouteTarget, RouteVersion};
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceReport, SliceStop, SliceTask};

/// Bit set in the caller ids of served slices.
const SLICE_CALLER_BIT: u64 = 1 << 63;

/// Minimum interval between reports of a slice, except the last: a report costs both nodes about as
/// much as a part.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// State of the request for further attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantState {
    NotRequested,
    /// Requested and not answered.
    Requested,
    /// Answered, or nothing to request.
    Settled,
}

impl GrantState {
    /// Only the first owner of a slice has further attempts to request.
    fn from_task(task: &SliceTask) -> Self {
        match (task.prior_attempts, task.attempts) {
            (0, 1) => Self::NotRequested,
            _ => Self::Settled,
        }
    }
}

/// Coordinator of a served slice, and the state of reporting to it.
#[derive(Clone, Debug)]
pub(super) struct Coordinator {
    pub(super) address: SocketAddr,
    pub(super) slice: SliceId,
    /// Earliest time of a hedge.
    pub(super) hedge_not_before: Timestamp,
    /// Whether a report is to be sent at the next opportunity.
    pub(super) report_due: bool,
    pub(super) grant: GrantState,
    pub(super) last_report_at: Option<Timestamp>,
}

impl Coordinator {
    /// Whether the interval since the last report has passed.
    fn may_report_again(&self, now: Timestamp) -> bool {
        self.next_report().is_none_or(|time| time <= now)
    }

    /// Earliest time of the next report; `None` before the first.
    pub(super) fn next_report(&self) -> Option<Timestamp> {
        Some(self.last_report_at? + REPORT_INTERVAL)
    }
}

impl Exchanges {
    /// Starts serving a slice.
    pub(in crate::gateway) fn serve_slice(
        &mut self,
        context: &mut Context<'_>,
        coordinator: SocketAddr,
        task: SliceTask,
        relayed: SharedBytes,
    ) {
        let services = task.shards.iter();
        let services: Vec<_> = services
            .map(|name| context.servers.find_service(name))
            .collect();
        if self.served_slices.contains_key(&(coordinator, task.slice)) {
            // The slice is already in flight, so a refusal would be wrong.
            return;
        }
        let overloaded = self.requests.len() >= self.parameters.requests_maximum;
        let unknown = services.iter().all(Option::is_none);
        let policy = context
            .quarantine
            .send_policy(context.now, task.fingerprint);
        if !policy.allows_new_attempts() {
            self.refuse_crashing_slice(context, coordinator, &task);
            return;
        }
        if overloaded || unknown {
            self.refuse_slice(context, coordinator, task.slice);
            return;
        }
        self.next_slice_caller += 1;
        let caller = CallerId(SLICE_CALLER_BIT | self.next_slice_caller);
        let parts = services.into_iter().map(|service| match service {
            Some(service) => {
                if task.prior_attempts == 0 {
                    context.budget.record_request(context.now, service);
                }
                let mut part = Part::new(service);
                part.prior_attempts = task.prior_attempts;
                part
            }
            None => Part::unknown(),
        });
        let parts: Vec<Part> = parts.collect();
        let now = context.now;
        let from_now = |micros: u64| now + Duration::from_micros(micros);
        let deadline = from_now(task.ends_in_us);
        let request = Request {
            caller,
            id: task.request_id.clone(),
            fingerprint: task.fingerprint,
            arrived: now,
            caller_try: CallerTry::Unknown,
            soft_deadline: from_now(task.report_in_us),
            deadline,
            check_at: deadline,
            attempt_summaries: Vec::new(),
            budget_denials: 0,
            slices: Vec::new(),
            origin: Origin::Coordinator(Coordinator {
                address: coordinator,
                slice: task.slice,
                hedge_not_before: from_now(task.second_after_us),
                report_due: false,
                grant: GrantState::from_task(&task),
                last_report_at: None,
            }),
            max_attempts: task.attempts,
            route: Arc::new(slice_route(context, task, &parts)),
            parts,
        };
        self.served_slices
            .insert((coordinator, slice_id(&request)), caller);
        context
            .actions
            .push_back(GatewayAction::KeepRelayed { caller, relayed });
        self.schedule.insert((request.check_at, caller));
        self.requests.insert(caller, request);
        self.advance(context, caller);
    }

    /// Reports to a coordinator that nothing of a slice ran or will run.
    pub(in crate::gateway) fn refuse_slice(
        &self,
        context: &mut Context<'_>,
        coordinator: SocketAddr,
        slice: SliceId,
    ) {
        let report = SliceReport::refusal();
        send_message(context, coordinator, SliceMessage::Report { slice, report });
    }

    /// Refuses a slice whose relayed request is unusable; no attempt was sent.
    pub(in crate::gateway) fn relay_malformed(
        &mut self,
        context: &mut Context<'_>,
        caller: CallerId,
    ) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if let Origin::Coordinator(coordinator) = &request.origin {
            let (address, slice) = (coordinator.address, coordinator.slice);
            self.refuse_slice(context, address, slice);
            self.end_served_slice(context, caller, "slice_refused", true);
        }
    }

    /// Sends due reports; returns whether the slice is finished.
    pub(super) fn advance_served_slice(
        &mut self,
        context: &mut Context<'_>,
        request: &mut Request,
    ) -> bool {
        let finished =
            request.parts.iter().all(Part::is_finished) || context.now >= request.deadline;
        let soft_deadline_passed = context.now >= request.soft_deadline;
        let first_report_due = request
            .first_report_at()
            .is_some_and(|time| time <= context.now);
        let Origin::Coordinator(coordinator) = &request.origin else {
            return false;
        };
        let has_unreported = request
            .parts
            .iter()
            .any(|part| part.is_finished() && !part.reported);
        let late_report_due =
            soft_deadline_passed && has_unreported && coordinator.may_report_again(context.now);
        if finished || coordinator.report_due || first_report_due || late_report_due {
            report(context, request, finished);
        }
        finished
    }

    /// Applies a grant: `attempts` is the new limit per shard, `lent` lists the shards with a lent
    /// attempt.
    pub(in crate::gateway) fn attempts_granted(
        &mut self,
        context: &mut Context<'_>,
        coordinator: SocketAddr,
        slice: SliceId,
        attempts: u32,
        lent: &[u16],
    ) {
        let Some(caller) = self.served_slices.get(&(coordinator, slice)).copied() else {
            return;
        };
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        if let Origin::Coordinator(coordinator) = &mut request.origin {
            coordinator.grant = GrantState::Settled;
        }
        request.max_attempts = request.max_attempts.max(attempts);
        for position in lent {
            if let Some(part) = request.parts.get_mut(usize::from(*position)) {
                part.lend(context.now);
            }
        }
        for index in 0..request.parts.len() {
            let may_send = self.allows_another_attempt(&request, index);
            request.parts[index].apply_grant(context.now, may_send);
        }
        self.requests.insert(caller, request);
        self.advance(context, caller);
    }

    /// Ends a slice whose reports the coordinator no longer wants.
    pub(in crate::gateway) fn slice_stopped(
        &mut self,
        context: &mut Context<'_>,
        coordinator: SocketAddr,
        slice: SliceId,
        reason: SliceStop,
    ) {
        let Some(caller) = self.served_slices.get(&(coordinator, slice)).copied() else {
            return;
        };
        match reason {
            SliceStop::Answered => self.end_served_slice(context, caller, "slice_answered", false),
            SliceStop::CallerGone => {
                self.end_served_slice(context, caller, "slice_caller_gone", true)
            }
        }
    }

    /// Ends the slices of a coordinator whose link broke.
    pub(super) fn coordinator_lost(&mut self, context: &mut Context<'_>, coordinator: SocketAddr) {
        let served = self.served_slices.iter();
        let lost = served.filter(|((address, _), _)| *address == coordinator);
        let lost: Vec<CallerId> = lost.map(|(_, caller)| *caller).collect();
        for caller in lost {
            self.end_served_slice(context, caller, "slice_coordinator_lost", true);
        }
    }

    fn end_served_slice(
        &mut self,
        context: &mut Context<'_>,
        caller: CallerId,
        outcome: &'static str,
        cancel_now: bool,
    ) {
        let deadline = self.requests.get(&caller).map(|request| request.deadline);
        let deadline = if cancel_now {
            context.now
        } else {
            deadline.unwrap_or(context.now)
        };
        let cancel_at = deadline.max(context.now) + self.parameters.gone_grace;
        if let Some(request) = self.remove_request(context, caller, cancel_at) {
            self.release_served_slice(context, &request);
            self.log_outcome(context, &request, outcome, None);
        }
    }

    /// Removes a finished slice.
    pub(super) fn finish_served_slice(&mut self, context: &mut Context<'_>, mut request: Request) {
        let cancel_at = request.deadline.max(context.now) + self.parameters.gone_grace;
        self.abandon_attempts(context, &mut request, cancel_at);
        self.release_served_slice(context, &request);
        let progress = request.progress();
        let outcome = match progress.answered == progress.total {
            true => "slice",
            false => "slice_partial",
        };
        self.log_outcome(context, &request, outcome, None);
    }

    fn release_served_slice(&mut self, context: &mut Context<'_>, request: &Request) {
        if let Origin::Coordinator(coordinator) = &request.origin {
            self.served_slices
                .remove(&(coordinator.address, coordinator.slice));
        }
        let caller = request.caller;
        context
            .actions
            .push_back(GatewayAction::ReleaseRelayed { caller });
    }
}

/// Reports the shards that are finished and not yet reported.
fn report(context: &mut Context<'_>, request: &mut Request, finished: bool) {
    let ResolvedTarget::Gather(gather) = &request.route.target else {
        return;
    };
    let mut report = SliceReport {
        finished,
        elapsed_us: u64::try_from(context.now.since(request.arrived).as_micros())
            .unwrap_or(u64::MAX),
        ..SliceReport::default()
    };
    let queued = request
        .parts
        .iter()
        .filter(|part| part.queued_at().is_some());
    report.waiting = queued.count() as u16;
    let mut bodies: Vec<&Bytes> = Vec::new();
    for (position, part) in request.parts.iter().enumerate() {
        if part.reported || !(part.is_finished() || finished) {
            continue;
        }
        let position = position as u16;
        match &part.state {
            PartState::Answered(reply) => {
                let signature = reply.signature.as_deref().unwrap_or_default();
                report.answered.push((position, signature.to_vec().into()));
                bodies.push(&reply.body);
            }
            _ => report.failed.push((position, part.shard_failure())),
        }
    }
    let records = greatest_records(bodies.into_iter(), gather.records);
    report.records = records.to_vec().into();
    for part in &mut request.parts {
        part.reported |= part.is_finished();
    }
    let pending = request.parts.iter().any(|part| !part.is_finished());
    let Origin::Coordinator(coordinator) = &mut request.origin else {
        return;
    };
    coordinator.report_due = false;
    coordinator.last_report_at = Some(context.now);
    let slice = coordinator.slice;
    let requests_grant = pending && !finished && coordinator.grant == GrantState::NotRequested;
    let message = match requests_grant {
        true => SliceMessage::ReportAndRequest { slice, report },
        false => SliceMessage::Report { slice, report },
    };
    if requests_grant {
        coordinator.grant = GrantState::Requested;
    }
    send_message(context, coordinator.address, message);
}

fn slice_id(request: &Request) -> SliceId {
    match &request.origin {
        Origin::Coordinator(coordinator) => coordinator.slice,
        Origin::Caller => SliceId(0),
    }
}

/// Route as known to the coordinator, restricted to the shards of the slice.
fn slice_route(context: &mut Context<'_>, task: SliceTask, parts: &[Part]) -> ResolvedRoute {
    let known = context.routes.find(&task.host, &task.prefix);
    let (key, name) = known.map_or_else(Default::default, |known| {
        (known.key, known.route.name.clone())
    });
    let shards = parts.iter().map(|part| part.service).collect();
    ResolvedRoute {
        key,
        version: RouteVersion(task.version),
        target: ResolvedTarget::Gather(ResolvedGather {
            shards,
            records: task.records as usize,
            min_parts: 1,
        }),
        route: Route {
            name,
            host: task.host,
            prefix: task.prefix,
            target: RouteTarget::Split(Vec::new()),
            repeatability: Repeatability::Repeatable,
            time_limit: Duration::from_micros(task.ends_in_us),
            latency_objective: Duration::from_micros(task.objective_us),
            priority: 0,
            attempts: task.attempts,
            home_regions: task.home_regions,
        },
    }
}
