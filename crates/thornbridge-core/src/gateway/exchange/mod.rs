//! In-flight requests: attempts, hedges, retries, completeness and answers.
//!
//! A request has one part, or for a gather one part per shard. Each part is sent to one server.
//! When that server is slow or fails, another server may get the part too, charged to the budget of
//! extra attempts. A gather is answered when all parts have answered, or at the soft deadline with
//! enough parts. With too few parts at the soft deadline, the gather goes on until the deadline,
//! because a late answer is worth more than none.
//!
//! Invariants: a request is dropped when its caller leaves, runs no more often than its route
//! allows, and gets no answer of another request.

mod answering;
mod attempt_timeout;
mod attempts;
mod avoidance;
mod crowding;
mod delay;
mod dispatching;
mod hedging;
mod merging;
mod part;
mod reports;
mod request;
mod send_policy;
mod slice;
mod slice_coordinator;
mod slice_owner;
#[cfg(test)]
mod tests;
mod trials;

use super::action::{GatewayAction, GatewayAnswer, RefusalReason};

use super::budget::{ExtraAttemptBudget, ServiceKey};
use super::caller_try::CallerTry;
use super::event::RequestHead;
use super::parameters::ExchangeParameters;
use super::quarantine::{Quarantine, SendPolicy};
use super::rollouts::trials::Trials;
use super::routes::{ResolvedRoute, ResolvedTarget, RouteTable};
use super::servers::{ServerKey, Servers};
use super::slices::Slices;
use crate::driver_action::{CallerId, ConnectionId};
use crate::time::Timestamp;
use attempts::Attempt;
pub(super) use delay::DelayEstimator;
use part::Part;
use rand_pcg::Pcg64Mcg;
use request::{Origin, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::routes::Repeatability;
use thornbridge_proto::AttemptId;
use thornbridge_proto::peer::slice::{SliceId, SliceStop};
use thornbridge_proto::peer::view::StoreRevision;

/// Multiple of the answer delay reserved per request: inbound and outbound queueing.
const ANSWER_DELAY_FACTOR: u32 = 3;
/// Caller timeout assumed if the caller states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// State borrowed from the gateway for one call.
pub(super) struct Context<'a> {
    pub(super) now: Timestamp,
    pub(super) random: &'a mut Pcg64Mcg,
    pub(super) actions: &'a mut VecDeque<GatewayAction>,
    pub(super) servers: &'a mut Servers,
    pub(super) routes: &'a mut RouteTable,
    pub(super) budget: &'a mut ExtraAttemptBudget,
    pub(super) slices: &'a mut Slices,
    pub(super) quarantine: &'a mut Quarantine,
    pub(super) trials: &'a mut Trials,
    /// Peer address of this node.
    pub(super) own_address: SocketAddr,
    /// Whether requests and peer messages may be older than they state.
    pub(super) messages_may_be_stale: bool,
    /// Revision of the registry, for the log.
    pub(super) registry: StoreRevision,
}

/// All in-flight requests.
#[derive(Debug)]
pub(super) struct Exchanges {
    parameters: ExchangeParameters,
    requests: BTreeMap<CallerId, Request>,
    schedule: BTreeSet<(Timestamp, CallerId)>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Scheduled cancellations of attempts.
    cancellations: BTreeSet<(Timestamp, AttemptId)>,
    next_attempt: u64,
    answer_delay: DelayEstimator,
    /// Slices served by other nodes: the request and the index of the slice in it.
    delegated_slices: BTreeMap<SliceId, (CallerId, usize)>,
    /// Slices served by this node, by coordinator.
    served_slices: BTreeMap<(SocketAddr, SliceId), CallerId>,
    next_slice_caller: u64,
}

impl Exchanges {
    pub(super) fn new(parameters: ExchangeParameters) -> Self {
        Self {
            parameters,
            requests: BTreeMap::new(),
            schedule: BTreeSet::new(),
            attempts: BTreeMap::new(),
            cancellations: BTreeSet::new(),
            next_attempt: 0,
            answer_delay: DelayEstimator::default(),
            delegated_slices: BTreeMap::new(),
            served_slices: BTreeMap::new(),
            next_slice_caller: 0,
        }
    }

    /// Replaces the tunable parameters.
    pub(super) fn set_parameters(&mut self, parameters: ExchangeParameters) {
        self.parameters = parameters;
    }

    /// Records how long an answer was queued after its decision.
    pub(super) fn observe_answer_delay(&mut self, delay: Duration) {
        self.answer_delay.observe(delay);
    }

    /// Number of unanswered requests.
    pub(super) fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// When [`Self::timer_due`] is to be called next.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let check = self.schedule.first().map(|(time, _)| *time);
        let cancellation = self.cancellations.first().map(|(time, _)| *time);
        [check, cancellation].into_iter().flatten().min()
    }

    /// Starts a request on its route.
    pub(super) fn start(
        &mut self,
        context: &mut Context<'_>,
        caller: CallerId,
        head: RequestHead,
        route: Arc<ResolvedRoute>,
        arrived: Timestamp,
    ) {
        let retry_after = self.parameters.retry_after;
        if !self.has_room(context.now) {
            let reason = RefusalReason::Overloaded;
            self.refuse_unstarted(context, caller, &head, &route, reason, retry_after);
            return;
        }
        let policy = context
            .quarantine
            .send_policy(context.now, head.fingerprint);
        if !policy.allows_new_attempts() {
            self.refuse_crashing(context, caller, &head, &route);
            return;
        }
        let deadlines = self.deadlines(context, &head, &route, arrived);
        let services = choose_services(context, &route);
        if let Some(reason) = unservable_reason(context, &route, &services, deadlines.caller_try) {
            let share = self.parameters.retry_after_share;
            let retry_after = deadlines.caller_timeout.mul_f64(share).max(retry_after);
            self.refuse_unstarted(context, caller, &head, &route, reason, retry_after);
            return;
        }
        self.make_room(context);
        // Owners cannot account for time that a stale request spent queued in this process.
        let plan = context
            .slices
            .plan(context.now, route.key)
            .filter(|_| !context.messages_may_be_stale && policy == SendPolicy::Unrestricted);
        let plan = plan.filter(|plan| plan.fits(&route));
        let services = plan.as_ref().map_or(&services, |plan| &plan.shards);
        let parts = services.iter().copied().map(Part::new).collect();
        let mut request = Request {
            caller,
            id: head.id.unwrap_or_default(),
            fingerprint: head.fingerprint,
            arrived,
            caller_try: deadlines.caller_try,
            soft_deadline: deadlines.soft_deadline,
            deadline: deadlines.deadline,
            max_attempts: route.route.attempts,
            route,
            parts,
            check_at: deadlines.deadline,
            attempt_summaries: Vec::new(),
            budget_denials: 0,
            origin: Origin::Caller,
            slices: Vec::new(),
        };
        if let Some(plan) = plan {
            self.delegate_gather(context, &mut request, &plan);
        }
        for part in &request.parts {
            if !part.is_delegated() {
                context.budget.record_request(context.now, part.service);
            }
        }
        self.schedule.insert((request.check_at, caller));
        self.requests.insert(caller, request);
        self.advance(context, caller);
    }

    /// Drops the request of a caller that disconnected; its attempts get a grace period to finish.
    pub(super) fn caller_disconnected(&mut self, context: &mut Context<'_>, caller: CallerId) {
        let cancel_at = context.now + self.parameters.gone_grace;
        if let Some(mut request) = self.remove_request(context, caller, cancel_at) {
            self.stop_slices(context, &mut request, SliceStop::CallerGone);
            self.log_outcome(context, &request, "caller_gone", None);
        }
    }

    /// Runs due checks and cancellations.
    pub(super) fn timer_due(&mut self, context: &mut Context<'_>) {
        while let Some((time, caller)) = self.schedule.first().copied() {
            if time > context.now {
                break;
            }
            self.schedule.remove(&(time, caller));
            self.advance(context, caller);
        }
        while let Some((time, attempt)) = self.cancellations.first().copied() {
            if time > context.now {
                break;
            }
            self.cancellations.remove(&(time, attempt));
            self.cancel_attempt(context, attempt);
        }
    }

    /// Runs what is due for a request, then answers or reschedules it.
    fn advance(&mut self, context: &mut Context<'_>, caller: CallerId) {
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        self.schedule.remove(&(request.check_at, caller));
        let policy = context
            .quarantine
            .send_policy(context.now, request.fingerprint);
        if policy == SendPolicy::Unrestricted {
            self.advance_slices(context, &mut request);
        }
        if request.should_give_up(policy) {
            self.give_up(context, request);
            return;
        }
        for index in 0..request.parts.len() {
            self.advance_part(context, &mut request, index);
        }
        if matches!(request.origin, Origin::Coordinator(_)) {
            if self.advance_served_slice(context, &mut request) {
                self.finish_served_slice(context, request);
                return;
            }
        } else if let Some(answer) = answering::answer(&self.parameters, context.now, &request) {
            self.finish(context, request, answer);
            return;
        }
        request.check_at = request.next_check_under(policy, context.now);
        self.schedule.insert((request.check_at, caller));
        self.requests.insert(caller, request);
    }

    fn finish(&mut self, context: &mut Context<'_>, mut request: Request, answer: GatewayAnswer) {
        let outcome = answering::outcome(&answer);
        let retry_after = answering::retry_after(&answer);
        let cancel_at = request.deadline.max(context.now) + self.parameters.gone_grace;
        self.abandon_attempts(context, &mut request, cancel_at);
        // Answer before logging: only the answer is urgent.
        let caller = request.caller;
        context
            .actions
            .push_back(GatewayAction::Answer { caller, answer });
        if !request.slices.is_empty() && !request.most_slices_have_silent_owner() {
            context.slices.reset_division_backoff();
        }
        self.stop_slices(context, &mut request, SliceStop::Answered);
        self.log_outcome(context, &request, outcome, retry_after);
    }

    /// Answers all requests of callers with what is known, because this node stops.
    pub(in crate::gateway) fn answer_all(&mut self, context: &mut Context<'_>) {
        let requests = self.requests.values();
        let own = requests.filter(|request| matches!(request.origin, Origin::Caller));
        let callers: Vec<CallerId> = own.map(|request| request.caller).collect();
        for caller in callers {
            let Some(request) = self.requests.remove(&caller) else {
                continue;
            };
            self.schedule.remove(&(request.check_at, caller));
            let reason = RefusalReason::Stopping;
            let answer = answering::answer_given_up(&request, reason, Duration::ZERO);
            self.finish(context, request, answer);
        }
    }

    /// Removes a request and schedules its attempts for cancellation at `cancel_at`.
    fn remove_request(
        &mut self,
        context: &mut Context<'_>,
        caller: CallerId,
        cancel_at: Timestamp,
    ) -> Option<Request> {
        let mut request = self.requests.remove(&caller)?;
        self.schedule.remove(&(request.check_at, caller));
        self.abandon_attempts(context, &mut request, cancel_at);
        Some(request)
    }

    /// Soft and hard deadline of a request.
    fn deadlines(
        &self,
        context: &mut Context<'_>,
        head: &RequestHead,
        route: &ResolvedRoute,
        arrived: Timestamp,
    ) -> Deadlines {
        let parameters = &self.parameters;
        let caller_timeout = head.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let statistics = context.routes.statistics(route.key);
        statistics.caller_timeouts.observe(caller_timeout);
        let spent = statistics.caller_timeouts.elapsed(caller_timeout);
        let caller_try = statistics.caller_timeouts.classify(caller_timeout);
        let round_trip = match head.first_on_connection {
            true => parameters.caller_delay * 4,
            false => parameters.caller_delay * 2,
        };
        let objective = route.route.latency_objective;
        let reserve = objective.mul_f64(parameters.delay_share_maximum);
        // Requests are queued on their way in for as long as answers on their way out.
        let delay = (self.answer_delay.reserve() * ANSWER_DELAY_FACTOR).min(reserve);
        let margin = parameters.answer_margin + delay;
        let soft_deadline_in = objective.saturating_sub(round_trip + margin + spent);
        let deadline_in = caller_timeout
            .saturating_sub(parameters.caller_delay * 2)
            .min(route.route.time_limit);
        Deadlines {
            caller_timeout,
            caller_try,
            soft_deadline: arrived + soft_deadline_in,
            deadline: arrived + deadline_in,
        }
    }
}

struct Deadlines {
    caller_timeout: Duration,
    caller_try: CallerTry,
    soft_deadline: Timestamp,
    deadline: Timestamp,
}

/// Service of each part.
fn choose_services(context: &mut Context<'_>, route: &ResolvedRoute) -> Vec<ServiceKey> {
    match &route.target {
        ResolvedTarget::Service(service) => vec![*service],
        ResolvedTarget::Gather(gather) => gather.shards.clone(),
        ResolvedTarget::Split(parts) => {
            let index = context
                .routes
                .statistics(route.key)
                .next_part(context.random, parts);
            vec![parts[index].0]
        }
    }
}

/// Reason to refuse a request at once, if too few of its services have a registered server. A
/// caller's retry waits for servers to register, except in evacuated zones and homes.
fn unservable_reason(
    context: &Context<'_>,
    route: &ResolvedRoute,
    services: &[ServiceKey],
    caller_try: CallerTry,
) -> Option<RefusalReason> {
    let homes = &route.route.home_regions;
    let will_retry = caller_try == CallerTry::First;
    let needs_server = will_retry || !homes.is_empty();
    let served = services.iter().filter(|key| match needs_server {
        true => context.servers.has_server_at_home(**key, homes),
        false => !context.servers.is_evacuated(**key),
    });
    let (required, reason) = match &route.target {
        ResolvedTarget::Gather(gather) => (gather.min_parts, RefusalReason::TooFewShards),
        ResolvedTarget::Service(_) | ResolvedTarget::Split(_) => (1, RefusalReason::NoServer),
    };
    let reason = match homes.is_empty() {
        true => reason,
        false => RefusalReason::NoServerAtHome,
    };
    (served.count() < required).then_some(reason)
}

/// Whether requests of a route may run more than once.
fn is_repeatable(route: &ResolvedRoute) -> bool {
    route.route.repeatability == Repeatability::Repeatable
}

/// Server and connection of an attempt.
#[derive(Clone, Copy, Debug)]
struct AttemptTarget {
    server: ServerKey,
    connection: ConnectionId,
}
