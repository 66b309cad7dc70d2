//! Requests under way: their attempts, second attempts, retries, completeness and answers.
//!
//! A request is one part, or for a gather one part for each shard. Each part is sent to one
//! server; when that is slower than usual, or failed, another server may get it too, paid from
//! the budget of extra attempts. A gather is answered when all parts are in, or when the time for
//! an answer that is worth most is over and enough parts are in. Where too few are in then, it
//! goes on: a late answer is worth more than none.
//!
//! Guards against: a request that is held after it was given up, one that runs more often than it
//! may, and an answer of another request.

mod answering;
mod attempts;
mod caution;
mod delay;
mod delegating;
mod dispatching;
mod hedging;
mod leg;
mod merging;
mod owning;
mod reports;
mod request;
mod slice;
#[cfg(test)]
mod tests;

use super::action::{GatewayAction, GatewayAnswer, RefusalReason};

use super::budget::{ExtraAttemptBudget, ServiceKey};
use super::event::RequestHead;
use super::parameters::ExchangeParameters;
use super::patience::CallerTry;
use super::quarantine::{Caution, Quarantine};
use super::routes::{ResolvedRoute, ResolvedTarget, RouteTable};
use super::servers::{ServerKey, Servers};
use super::slices::Slices;
use crate::driver_action::{CallerId, ConnectionId};
use crate::time::Timestamp;
use attempts::Attempt;
pub(super) use delay::AnswerDelay;
use leg::Leg;
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

/// Times that a request waits in this node for as long as its answer: on its way in and out.
const DELAYED_WAYS: u32 = 3;
/// Patience of a caller that gives none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// What the engine is given with each call.
pub(super) struct Scope<'a> {
    pub(super) now: Timestamp,
    pub(super) random: &'a mut Pcg64Mcg,
    pub(super) actions: &'a mut VecDeque<GatewayAction>,
    pub(super) servers: &'a mut Servers,
    pub(super) routes: &'a mut RouteTable,
    pub(super) budget: &'a mut ExtraAttemptBudget,
    pub(super) slices: &'a mut Slices,
    pub(super) quarantine: &'a mut Quarantine,
    /// Peer address of this node.
    pub(super) own_address: SocketAddr,
    /// Whether requests and messages may be older than they say.
    pub(super) stale: bool,
    /// Revision of the registry, for the log.
    pub(super) registry: StoreRevision,
}

/// All requests under way.
#[derive(Debug)]
pub(super) struct Exchanges {
    parameters: ExchangeParameters,
    requests: BTreeMap<CallerId, Request>,
    schedule: BTreeSet<(Timestamp, CallerId)>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts to be cut off at a time.
    cuts: BTreeSet<(Timestamp, AttemptId)>,
    next_attempt: u64,
    delay: AnswerDelay,
    /// Slices that others answer: whose request, and its place there.
    slices: BTreeMap<SliceId, (CallerId, usize)>,
    /// Slices that this node answers, by coordinator.
    served: BTreeMap<(SocketAddr, SliceId), CallerId>,
    next_slice_caller: u64,
}

impl Exchanges {
    pub(super) fn new(parameters: ExchangeParameters) -> Self {
        Self {
            parameters,
            requests: BTreeMap::new(),
            schedule: BTreeSet::new(),
            attempts: BTreeMap::new(),
            cuts: BTreeSet::new(),
            next_attempt: 0,
            delay: AnswerDelay::default(),
            slices: BTreeMap::new(),
            served: BTreeMap::new(),
            next_slice_caller: 0,
        }
    }

    /// Takes new tunable values.
    pub(super) fn set_parameters(&mut self, parameters: ExchangeParameters) {
        self.parameters = parameters;
    }

    /// An answer waited this long in this node after it was decided.
    pub(super) fn answer_delayed(&mut self, by: Duration) {
        self.delay.observe(by);
    }

    /// Requests without an answer yet.
    pub(super) fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// When [`Self::timer_due`] wants to be called.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let look = self.schedule.first().map(|(time, _)| *time);
        let cut = self.cuts.first().map(|(time, _)| *time);
        [look, cut].into_iter().flatten().min()
    }

    /// A request came on a route.
    pub(super) fn start(
        &mut self,
        scope: &mut Scope<'_>,
        caller: CallerId,
        head: RequestHead,
        route: Arc<ResolvedRoute>,
        arrived: Timestamp,
    ) {
        let retry_after = self.parameters.retry_after;
        if self.requests.len() >= self.parameters.requests_maximum {
            let reason = RefusalReason::Overloaded;
            self.refuse_unstarted(scope, caller, &head, &route, reason, retry_after);
            return;
        }
        let caution = scope.quarantine.caution(scope.now, head.fingerprint);
        if !caution.allows_new_tries() {
            self.refuse_crashing(scope, caller, &head, &route);
            return;
        }
        let times = self.times(scope, &head, &route, arrived);
        let services = choose_services(scope, &route);
        if let Some(reason) = unservable(scope, &route, &services, times.caller_try) {
            let share = self.parameters.retry_after_share;
            let retry_after = times.patience.mul_f64(share).max(retry_after);
            self.refuse_unstarted(scope, caller, &head, &route, reason, retry_after);
            return;
        }
        // Owners could not tell how long a request waited for this process to go on.
        let plan = scope
            .slices
            .plan(scope.now, route.key)
            .filter(|_| !scope.stale && caution == Caution::None);
        let plan = plan.filter(|plan| plan.covers(services.len()));
        let legs = services.into_iter().map(Leg::new).collect();
        let mut request = Request {
            caller,
            id: head.id.unwrap_or_default(),
            fingerprint: head.fingerprint,
            arrived,
            caller_try: times.caller_try,
            answer_by: times.answer_by,
            ends: times.ends,
            attempts: route.route.attempts,
            route,
            legs,
            look_at: times.ends,
            notes: Vec::new(),
            denied: 0,
            origin: Origin::Caller,
            slices: Vec::new(),
        };
        if let Some(plan) = plan {
            self.delegate(scope, &mut request, &plan);
        }
        for leg in &request.legs {
            if !leg.is_delegated() {
                scope.budget.request(scope.now, leg.service);
            }
        }
        self.schedule.insert((request.look_at, caller));
        self.requests.insert(caller, request);
        self.advance(scope, caller);
    }

    /// The caller went away. Its attempts mostly end by themselves within the grace.
    pub(super) fn caller_gone(&mut self, scope: &mut Scope<'_>, caller: CallerId) {
        let cut_at = scope.now + self.parameters.gone_grace;
        if let Some(mut request) = self.forget(scope, caller, cut_at) {
            self.stop_slices(scope, &mut request, SliceStop::CallerGone);
            self.note(scope, &request, "caller_gone", None);
        }
    }

    /// Looks at what is due.
    pub(super) fn timer_due(&mut self, scope: &mut Scope<'_>) {
        while let Some((time, caller)) = self.schedule.first().copied() {
            if time > scope.now {
                break;
            }
            self.schedule.remove(&(time, caller));
            self.advance(scope, caller);
        }
        while let Some((time, attempt)) = self.cuts.first().copied() {
            if time > scope.now {
                break;
            }
            self.cuts.remove(&(time, attempt));
            self.cut(scope, attempt);
        }
    }

    /// Does what is due for a request, answers it where that is possible, and schedules it.
    fn advance(&mut self, scope: &mut Scope<'_>, caller: CallerId) {
        let Some(mut request) = self.requests.remove(&caller) else {
            return;
        };
        self.schedule.remove(&(request.look_at, caller));
        let caution = scope.quarantine.caution(scope.now, request.fingerprint);
        if caution == Caution::None {
            self.advance_slices(scope, &mut request);
        }
        if request.is_over_by(caution) {
            self.give_up(scope, request);
            return;
        }
        for index in 0..request.legs.len() {
            self.advance_leg(scope, &mut request, index);
        }
        if matches!(request.origin, Origin::Coordinator(_)) {
            if self.advance_owned(scope, &mut request) {
                self.finish_owned(scope, request);
                return;
            }
        } else if let Some(answer) = answering::answer(&self.parameters, scope.now, &request) {
            self.finish(scope, request, answer);
            return;
        }
        request.look_at = request.next_look_by(caution, scope.now);
        self.schedule.insert((request.look_at, caller));
        self.requests.insert(caller, request);
    }

    fn finish(&mut self, scope: &mut Scope<'_>, mut request: Request, answer: GatewayAnswer) {
        let outcome = answering::outcome(&answer);
        let retry_after = answering::retry_after(&answer);
        let cut_at = request.ends.max(scope.now) + self.parameters.gone_grace;
        self.abandon(scope, &request, cut_at);
        // The log can wait; the caller cannot.
        let caller = request.caller;
        scope
            .actions
            .push_back(GatewayAction::Answer { caller, answer });
        if !request.slices.is_empty() && !request.most_owners_are_silent() {
            scope.slices.owners_answer();
        }
        self.stop_slices(scope, &mut request, SliceStop::Answered);
        self.note(scope, &request, outcome, retry_after);
    }

    /// Takes a request off the tables; its attempts are cut off at `cut_at`.
    fn forget(
        &mut self,
        scope: &mut Scope<'_>,
        caller: CallerId,
        cut_at: Timestamp,
    ) -> Option<Request> {
        let request = self.requests.remove(&caller)?;
        self.schedule.remove(&(request.look_at, caller));
        self.abandon(scope, &request, cut_at);
        Some(request)
    }

    /// When an answer is due, and when the final one.
    fn times(
        &self,
        scope: &mut Scope<'_>,
        head: &RequestHead,
        route: &ResolvedRoute,
        arrived: Timestamp,
    ) -> Times {
        let parameters = &self.parameters;
        let patience = head.patience.unwrap_or(DEFAULT_PATIENCE);
        let statistics = scope.routes.statistics(route.key);
        statistics.patience.observe(patience);
        let spent = statistics.patience.spent(patience);
        let caller_try = statistics.patience.judge(patience);
        let way = match head.first_on_connection {
            true => parameters.caller_delay * 4,
            false => parameters.caller_delay * 2,
        };
        let objective = route.route.latency_objective;
        let reserve = objective.mul_f64(parameters.delay_share_maximum);
        // What delays answers here delays requests on their way in as much.
        let delay = (self.delay.reserve() * DELAYED_WAYS).min(reserve);
        let margin = parameters.answer_margin + delay;
        let answer_in = objective.saturating_sub(way + margin + spent);
        let ends_in = patience
            .saturating_sub(parameters.caller_delay * 2)
            .min(route.route.time_limit);
        Times {
            patience,
            caller_try,
            answer_by: arrived + answer_in,
            ends: arrived + ends_in,
        }
    }
}

struct Times {
    patience: Duration,
    caller_try: CallerTry,
    answer_by: Timestamp,
    ends: Timestamp,
}

/// The service of each part.
fn choose_services(scope: &mut Scope<'_>, route: &ResolvedRoute) -> Vec<ServiceKey> {
    match &route.target {
        ResolvedTarget::Service(service) => vec![*service],
        ResolvedTarget::Gather(gather) => gather.shards.clone(),
        ResolvedTarget::Split(parts) => {
            let index = scope.routes.statistics(route.key).next_part(parts);
            vec![parts[index].0]
        }
    }
}

/// Why a request cannot be served: too few of its services have a registered server. One may register
/// while a caller waits that does not come back; it takes no request while its zone is evacuated.
fn unservable(
    scope: &Scope<'_>,
    route: &ResolvedRoute,
    services: &[ServiceKey],
    caller_try: CallerTry,
) -> Option<RefusalReason> {
    let comes_back = caller_try == CallerTry::First;
    let served = services.iter().filter(|key| match comes_back {
        true => scope.servers.has_server(**key),
        false => !scope.servers.is_evacuated(**key),
    });
    let (least, reason) = match &route.target {
        ResolvedTarget::Gather(gather) => (gather.least_parts, RefusalReason::TooFewShards),
        ResolvedTarget::Service(_) | ResolvedTarget::Split(_) => (1, RefusalReason::NoServer),
    };
    (served.count() < least).then_some(reason)
}

/// Whether a route's requests may run more than once.
fn repeatable(route: &ResolvedRoute) -> bool {
    route.route.repeatability == Repeatability::Repeatable
}

/// A connection and server that carry an attempt.
#[derive(Clone, Copy, Debug)]
struct Carrier {
    server: ServerKey,
    connection: ConnectionId,
}
