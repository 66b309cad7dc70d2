//! An owner's side of slices: a slice is a request whose answer goes to its coordinator in reports.
//!
//! A report leaves when all shards are over, when second attempts begin, when it is due, and from
//! then on with each shard that answers late, until the coordinator wants no more. An owner comes with
//! one attempt for each shard, and asks its coordinator for more with the first report that leaves
//! shards open: it may not make any that another owner may have made.

use super::leg::{Leg, LegState};
use super::merging::greatest_records;
use super::request::{Origin, Request};
use super::slice::send_message;
use super::{Exchanges, Scope};
use crate::driver_action::CallerId;
use crate::gateway::action::GatewayAction;
use crate::gateway::patience::CallerTry;
use crate::gateway::routes::{ResolvedGather, ResolvedRoute, ResolvedTarget};
use crate::time::Timestamp;
use bytes::Bytes;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::routes::{Repeatability, Route, RouteTarget, RouteVersion};
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceReport, SliceStop, SliceTask};

/// Callers with this bit are slices of other nodes' requests.
const SLICE_CALLERS: u64 = 1 << 63;

/// Least time between two reports of a slice, but for its last: each costs both nodes about as much
/// as a part.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);

/// Attempts beyond those that a slice came with: whether its coordinator was asked for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantState {
    /// Not yet.
    NotRequested,
    /// It was, and has not answered.
    Requested,
    /// It answered, or there is nothing to ask for.
    Settled,
}

impl GrantState {
    /// A coordinator keeps the other attempts back from the first owner of a slice.
    fn of_task(task: &SliceTask) -> Self {
        match (task.prior_attempts, task.attempts) {
            (0, 1) => Self::NotRequested,
            _ => Self::Settled,
        }
    }
}

/// The coordinator of a slice, and what it knows.
#[derive(Clone, Debug)]
pub(super) struct Coordinator {
    pub(super) address: SocketAddr,
    pub(super) slice: SliceId,
    /// Before this no second attempt is made.
    pub(super) second_after: Timestamp,
    /// Whether a report is due before anything else happens.
    pub(super) must_report: bool,
    /// Further attempts.
    pub(super) grant: GrantState,
    /// When it was last told something.
    pub(super) reported: Option<Timestamp>,
}

impl Coordinator {
    /// Whether what came since the last report may be told, too.
    fn may_report_again(&self, now: Timestamp) -> bool {
        self.next_report().is_none_or(|time| time <= now)
    }

    /// When what comes after the last report is told, at the soonest.
    pub(super) fn next_report(&self) -> Option<Timestamp> {
        Some(self.reported? + REPORT_INTERVAL)
    }
}

impl Exchanges {
    /// A coordinator asks for a slice.
    pub(in crate::gateway) fn serve_slice(
        &mut self,
        scope: &mut Scope<'_>,
        coordinator: SocketAddr,
        task: SliceTask,
        relayed: SharedBytes,
    ) {
        let services = task.shards.iter();
        let services: Vec<_> = services
            .map(|name| scope.servers.known_service(name))
            .collect();
        if self.served.contains_key(&(coordinator, task.slice)) {
            // It is under way, so that a refusal would not be true.
            return;
        }
        let overloaded = self.requests.len() >= self.parameters.requests_maximum;
        let unknown = services.iter().all(Option::is_none);
        let caution = scope.quarantine.caution(scope.now, task.fingerprint);
        if !caution.allows_new_tries() {
            self.refuse_crashing_slice(scope, coordinator, &task);
            return;
        }
        if overloaded || unknown {
            self.refuse_slice(scope, coordinator, task.slice);
            return;
        }
        self.next_slice_caller += 1;
        let caller = CallerId(SLICE_CALLERS | self.next_slice_caller);
        let legs = services.into_iter().map(|service| match service {
            Some(service) => {
                if task.prior_attempts == 0 {
                    scope.budget.request(scope.now, service);
                }
                let mut leg = Leg::new(service);
                leg.prior = task.prior_attempts;
                leg
            }
            None => Leg::unknown(),
        });
        let legs: Vec<Leg> = legs.collect();
        let now = scope.now;
        let after = |micros: u64| now + Duration::from_micros(micros);
        let ends = after(task.ends_in_us);
        let request = Request {
            caller,
            id: task.request_id.clone(),
            fingerprint: task.fingerprint,
            arrived: now,
            caller_try: CallerTry::Unknown,
            answer_by: after(task.report_in_us),
            ends,
            look_at: ends,
            notes: Vec::new(),
            denied: 0,
            slices: Vec::new(),
            origin: Origin::Coordinator(Coordinator {
                address: coordinator,
                slice: task.slice,
                second_after: after(task.second_after_us),
                must_report: false,
                grant: GrantState::of_task(&task),
                reported: None,
            }),
            attempts: task.attempts,
            route: Arc::new(route_of(scope, task, &legs)),
            legs,
        };
        self.served
            .insert((coordinator, slice_of(&request)), caller);
        scope
            .actions
            .push_back(GatewayAction::Adopt { caller, relayed });
        self.schedule.insert((request.look_at, caller));
        self.requests.insert(caller, request);
        self.advance(scope, caller);
    }

    /// Tells a coordinator that nothing of a slice ran or will.
    pub(in crate::gateway) fn refuse_slice(
        &self,
        scope: &mut Scope<'_>,
        coordinator: SocketAddr,
        slice: SliceId,
    ) {
        let report = SliceReport::refusal();
        send_message(scope, coordinator, SliceMessage::Report { slice, report });
    }

    /// The request that was relayed with a slice cannot be used: nothing of it left this node.
    pub(in crate::gateway) fn relay_unusable(&mut self, scope: &mut Scope<'_>, caller: CallerId) {
        let Some(request) = self.requests.get(&caller) else {
            return;
        };
        if let Origin::Coordinator(coordinator) = &request.origin {
            let (address, slice) = (coordinator.address, coordinator.slice);
            self.refuse_slice(scope, address, slice);
            self.end_owned(scope, caller, "slice_refused", true);
        }
    }

    /// Reports what is due of a slice; gives whether it is over.
    pub(super) fn advance_owned(&mut self, scope: &mut Scope<'_>, request: &mut Request) -> bool {
        let over = request.legs.iter().all(Leg::is_over) || scope.now >= request.ends;
        let due = scope.now >= request.answer_by;
        let first_due = request.report_at().is_some_and(|time| time <= scope.now);
        let Origin::Coordinator(coordinator) = &request.origin else {
            return false;
        };
        let news = request
            .legs
            .iter()
            .any(|leg| leg.is_over() && !leg.reported);
        let late = due && news && coordinator.may_report_again(scope.now);
        if over || coordinator.must_report || first_due || late {
            report(scope, request, over);
        }
        over
    }

    /// A coordinator answered a request for further attempts: so many in all for each shard.
    pub(in crate::gateway) fn attempts_granted(
        &mut self,
        scope: &mut Scope<'_>,
        coordinator: SocketAddr,
        slice: SliceId,
        attempts: u32,
        lent: &[u16],
    ) {
        let Some(caller) = self.served.get(&(coordinator, slice)).copied() else {
            return;
        };
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        if let Origin::Coordinator(coordinator) = &mut request.origin {
            coordinator.grant = GrantState::Settled;
        }
        request.attempts = request.attempts.max(attempts);
        for place in lent {
            if let Some(leg) = request.legs.get_mut(usize::from(*place)) {
                leg.lend(scope.now);
            }
        }
        for index in 0..request.legs.len() {
            let may_send = self.may_send_more(&request, index);
            request.legs[index].grant_settled(scope.now, may_send);
        }
        self.requests.insert(caller, request);
        self.advance(scope, caller);
    }

    /// A coordinator wants no more of a slice.
    pub(in crate::gateway) fn slice_stopped(
        &mut self,
        scope: &mut Scope<'_>,
        coordinator: SocketAddr,
        slice: SliceId,
        reason: SliceStop,
    ) {
        let Some(caller) = self.served.get(&(coordinator, slice)).copied() else {
            return;
        };
        match reason {
            SliceStop::Answered => self.end_owned(scope, caller, "slice_answered", false),
            SliceStop::CallerGone => self.end_owned(scope, caller, "slice_caller_gone", true),
        }
    }

    /// The link to a coordinator broke: nothing can be reported any more.
    pub(super) fn coordinator_lost(&mut self, scope: &mut Scope<'_>, coordinator: SocketAddr) {
        let served = self.served.iter();
        let lost = served.filter(|((address, _), _)| *address == coordinator);
        let lost: Vec<CallerId> = lost.map(|(_, caller)| *caller).collect();
        for caller in lost {
            self.end_owned(scope, caller, "slice_coordinator_lost", true);
        }
    }

    fn end_owned(
        &mut self,
        scope: &mut Scope<'_>,
        caller: CallerId,
        outcome: &'static str,
        soon: bool,
    ) {
        let ends = self.requests.get(&caller).map(|request| request.ends);
        let ends = if soon {
            scope.now
        } else {
            ends.unwrap_or(scope.now)
        };
        let cut_at = ends.max(scope.now) + self.parameters.gone_grace;
        if let Some(request) = self.forget(scope, caller, cut_at) {
            self.release_owned(scope, &request);
            self.note(scope, &request, outcome, None);
        }
    }

    /// Takes a slice that is over off the tables.
    pub(super) fn finish_owned(&mut self, scope: &mut Scope<'_>, request: Request) {
        let cut_at = request.ends.max(scope.now) + self.parameters.gone_grace;
        self.abandon(scope, &request, cut_at);
        self.release_owned(scope, &request);
        let progress = request.progress();
        let outcome = match progress.answered == progress.all {
            true => "slice",
            false => "slice_partial",
        };
        self.note(scope, &request, outcome, None);
    }

    fn release_owned(&mut self, scope: &mut Scope<'_>, request: &Request) {
        if let Origin::Coordinator(coordinator) = &request.origin {
            self.served
                .remove(&(coordinator.address, coordinator.slice));
        }
        let caller = request.caller;
        scope.actions.push_back(GatewayAction::Release { caller });
    }
}

/// Reports the shards that are over and were not reported yet.
fn report(scope: &mut Scope<'_>, request: &mut Request, finished: bool) {
    let ResolvedTarget::Gather(gather) = &request.route.target else {
        return;
    };
    let mut report = SliceReport {
        finished,
        elapsed_us: u64::try_from(scope.now.since(request.arrived).as_micros()).unwrap_or(u64::MAX),
        ..SliceReport::default()
    };
    let waiting = request.legs.iter().filter(|leg| leg.queued_at().is_some());
    report.waiting = waiting.count() as u16;
    let mut bodies: Vec<&Bytes> = Vec::new();
    for (place, leg) in request.legs.iter().enumerate() {
        if leg.reported || !(leg.is_over() || finished) {
            continue;
        }
        let place = place as u16;
        match &leg.state {
            LegState::Answered(reply) => {
                let signature = reply.signature.as_deref().unwrap_or_default();
                report.answered.push((place, signature.to_vec().into()));
                bodies.push(&reply.body);
            }
            _ => report.failed.push((place, leg.failure_elsewhere())),
        }
    }
    let records = greatest_records(bodies.into_iter(), gather.records);
    report.records = records.to_vec().into();
    for leg in &mut request.legs {
        leg.reported |= leg.is_over();
    }
    let pending = request.legs.iter().any(|leg| !leg.is_over());
    let Origin::Coordinator(coordinator) = &mut request.origin else {
        return;
    };
    coordinator.must_report = false;
    coordinator.reported = Some(scope.now);
    let slice = coordinator.slice;
    let requests = pending && !finished && coordinator.grant == GrantState::NotRequested;
    let message = match requests {
        true => SliceMessage::ReportAndRequest { slice, report },
        false => SliceMessage::Report { slice, report },
    };
    if requests {
        coordinator.grant = GrantState::Requested;
    }
    send_message(scope, coordinator.address, message);
}

fn slice_of(request: &Request) -> SliceId {
    match &request.origin {
        Origin::Coordinator(coordinator) => coordinator.slice,
        Origin::Caller => SliceId(0),
    }
}

/// The route as the coordinator has it, for the shards of the slice only.
fn route_of(scope: &mut Scope<'_>, task: SliceTask, legs: &[Leg]) -> ResolvedRoute {
    let known = scope.routes.find(&task.host, &task.prefix);
    let (key, name) = known.map_or_else(Default::default, |known| {
        (known.key, known.route.name.clone())
    });
    let shards = legs.iter().map(|leg| leg.service).collect();
    ResolvedRoute {
        key,
        version: RouteVersion(task.version),
        target: ResolvedTarget::Gather(ResolvedGather {
            shards,
            records: task.records as usize,
            least_parts: 1,
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
        },
    }
}
