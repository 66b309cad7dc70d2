//! Event dispatch, timers and readiness of a gateway.

use super::Gateway;
use super::action::{GatewayAction, RefusalReason, RefusalStatus};
use super::event::{GatewayEvent, RequestHead};
use super::exchange::{Context, Exchanges};
use super::parameters::GatewayParameters;
use super::pending::PendingRequest;
use super::planned_stop::PlannedStop;
use super::refusal::Refusal;
use super::routes::RouteTable;
use super::telemetry::{GatewayChange, ViewOrigin};
use super::views::gossip::send_digest;
use crate::driver_action::CallerId;
use crate::membership::Membership;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::peer::slice::SliceMessage;

/// Interval of housekeeping: registry expiry, slice assignment, connection warm-up.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// How long after a process pause received messages count as stale.
const STALE_AFTER_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that a caller waits. Sums with longer ones would exceed what a duration holds.
const MAX_CALLER_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);
/// Time after start at which a node becomes ready even if some shards have no connection.
const WARM_UP_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Gateway {
    /// Processes one event. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Timestamp, event: GatewayEvent) {
        self.now = now;
        match event {
            GatewayEvent::Started => self.started(),
            GatewayEvent::Request { caller, head } => self.request(caller, head),
            GatewayEvent::CallerDisconnected { caller } => {
                self.pending.caller_disconnected(caller);
                let (exchanges, mut context) = self.exchanges();
                exchanges.caller_disconnected(&mut context, caller);
            }
            GatewayEvent::AnswerDelayed { delay } => self.exchanges.observe_answer_delay(delay),
            GatewayEvent::ConnectionOpened {
                connection,
                connect_time,
            } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.connection_opened(&mut context, connection, connect_time);
            }
            GatewayEvent::ConnectionLost { connection } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.connection_lost(&mut context, connection);
            }
            GatewayEvent::Replied { attempt, reply } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.replied(&mut context, attempt, reply);
                self.announce_displaced();
            }
            GatewayEvent::Failed { attempt, failure } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.failed(&mut context, attempt, failure);
            }
            GatewayEvent::SourceReplied { kind, read, result } => {
                self.source_replied(kind, read, result);
            }
            GatewayEvent::StateWritten {
                service,
                write,
                result,
            } => self.state_written(&service, write, result),
            GatewayEvent::PeerMessage { from, message } => self.peer_message(from, message),
            GatewayEvent::TaskNotSent { owner, slice } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.task_not_sent(&mut context, owner, slice);
            }
            GatewayEvent::OwnerUnreachable { owner, slices } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.owner_unreachable(&mut context, owner, &slices);
            }
            GatewayEvent::RelayMalformed { caller } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.relay_malformed(&mut context, caller);
            }
            GatewayEvent::PeerLinkDown { address } => {
                let (exchanges, mut context) = self.exchanges();
                exchanges.peer_link_lost(&mut context, address);
                self.with_membership(|membership, context| membership.link_down(context, address));
            }
            GatewayEvent::TimerDue => self.timer_due(),
            GatewayEvent::StopRequested {
                serve_for,
                answer_within,
            } => self.stop_requested(serve_for, answer_within),
            GatewayEvent::Reconfigured { parameters } => self.reconfigure(*parameters),
            GatewayEvent::Paused { .. } => {
                self.messages_stale_until = self.now + STALE_AFTER_PAUSE;
                self.with_membership(|membership, context| membership.clock_jumped(context));
            }
        }
        self.finish_event();
    }

    /// Latest time at which the driver must send [`GatewayEvent::TimerDue`].
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let staged = self.staging.get();
        let staged = staged.map(|staged| staged.since + self.parameters.views.staging);
        let timeouts = [
            self.membership.next_timeout(),
            Some(self.configuration_source.next_timeout()),
            Some(self.registry_source.next_timeout()),
            Some(self.evacuation_source.next_timeout()),
            self.view_gossip.next_timeout(self.digest()),
            self.freshness.next_timeout(self.now),
            self.servers.next_timeout(),
            self.exchanges.next_timeout(),
            self.quarantine.next_timeout(),
            self.next_rollout_timeout(),
            Some(self.next_maintenance),
            self.pending.next_timeout(),
            self.planned_stop
                .as_ref()
                .and_then(PlannedStop::next_timeout),
            staged,
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Splits the borrow of `self` into the in-flight requests and the state that they use.
    pub(super) fn exchanges(&mut self) -> (&mut Exchanges, Context<'_>) {
        let context = Context {
            now: self.now,
            random: &mut self.random,
            actions: &mut self.actions,
            servers: &mut self.servers,
            routes: &mut self.routes,
            budget: &mut self.budget,
            slices: &mut self.slices,
            quarantine: &mut self.quarantine,
            trials: &mut self.trials,
            own_address: self.own_address,
            messages_may_be_stale: self.now < self.messages_stale_until,
            registry: self.registry.revision().unwrap_or_default(),
        };
        (&mut self.exchanges, context)
    }

    fn started(&mut self) {
        self.actions
            .push_back(GatewayAction::Changed(GatewayChange::Lifecycle {
                state: "started",
            }));
        self.with_membership(Membership::started);
        self.read_sources();
    }

    fn timer_due(&mut self) {
        self.with_membership(|membership, context| {
            membership.timer_due(context);
            // A gateway has no machine list to request. The call reschedules the membership timer,
            // which would otherwise stay due.
            membership.machine_list_due(context);
        });
        self.read_sources();
        let view_status = self.view_status();
        self.view_gossip
            .timer_due(self.now, &mut self.random, &mut self.actions, view_status);
        self.servers.timer_due(self.now, &mut self.actions);
        self.quarantine
            .timer_due(self.now, &mut self.random, &mut self.actions);
        self.rollout_timer_due();
        if self.next_maintenance <= self.now {
            self.next_maintenance = self.now + MAINTENANCE_INTERVAL;
            let kept = self.parameters.views.departures_kept;
            self.registry.expire_tombstones(self.now, kept);
            let released = self.registry.release_held(self.now);
            self.apply_registry_changes(released, ViewOrigin::Own);
            let ended = self.evacuations.expire_carried_over(self.now);
            self.apply_evacuation_changes(ended, ViewOrigin::Own);
            self.maintain_rollouts();
            self.update_slices();
            self.report_budget_usage();
            self.open_links();
            self.servers.keep_warm(self.now, &mut self.actions);
            self.servers.report_cold(self.now, &mut self.actions);
        }
        for request in self.pending.take_expired(self.now) {
            self.refuse_without_configuration(request);
        }
        let (exchanges, mut context) = self.exchanges();
        exchanges.end_connection_probation(&mut context);
        exchanges.timer_due(&mut context);
        self.end_stop_if_due();
    }

    /// Opens links to prospective slice owners by sending each a view digest.
    fn open_links(&mut self) {
        for owner in self.slices.links_to_open(self.now) {
            self.slices.message_sent(self.now, owner);
            let digest = send_digest(owner, self.view_status());
            self.actions.push_back(digest);
        }
    }

    /// Reassigns slices if members, shards or servers changed.
    pub(super) fn update_slices(&mut self) {
        if !std::mem::take(&mut self.slices_outdated) && !self.slices.is_settling() {
            return;
        }
        let mut owned = self.slices.divide(self.now, &self.routes, &self.servers);
        if let Some(staged) = self.staging.get() {
            let configuration = Arc::clone(&staged.configuration);
            let mut routes = RouteTable::default();
            routes.apply(&configuration, &mut self.servers);
            owned.extend(self.slices.staged_ownership(&routes, &self.servers));
        }
        self.servers.set_ownership(&owned);
    }

    /// Refuses a request because no configuration is active, with a time to retry.
    fn refuse_without_configuration(&mut self, request: PendingRequest) {
        let caller_try = self.pending.classify(&request);
        let PendingRequest {
            caller,
            head,
            arrived,
            ..
        } = request;
        let waited = self.now.since(arrived);
        let remaining = head
            .caller_timeout
            .unwrap_or_default()
            .saturating_sub(waited);
        let share = self.parameters.exchange.retry_after_share;
        let retry_after = remaining
            .mul_f64(share)
            .max(self.parameters.exchange.retry_after);
        let refusal = Refusal {
            reason: RefusalReason::NoConfiguration,
            status: RefusalStatus::NotRun,
            retry_after: Some(retry_after),
            caller_try,
            waited,
        };
        self.refuse(caller, &head, refusal);
    }

    fn reconfigure(&mut self, parameters: GatewayParameters) {
        self.budget.set_parameters(parameters.budget.clone());
        self.servers.parameters = parameters.servers.clone();
        self.exchanges.set_parameters(parameters.exchange.clone());
        self.slices.set_parameters(parameters.slices.clone());
        self.quarantine
            .set_parameters(parameters.quarantine.clone());
        self.slices_outdated = true;
        for source in self.sources_mut() {
            source.set_parameters(parameters.views.clone());
        }
        self.set_rollout_parameters(parameters.rollouts, &parameters.views);
        self.freshness.set_limit(parameters.views.staleness_limit);
        self.parameters = parameters;
        let state = "reconfigured";
        let change = GatewayChange::Lifecycle { state };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    /// Activates a staged configuration, routes pending requests and updates readiness.
    fn finish_event(&mut self) {
        self.apply_changed_roles();
        self.update_reader_role();
        if self.staged_is_ready() {
            self.activate_staged();
        }
        if self.has_views() {
            for request in self.pending.take_all() {
                self.route(request.caller, request.head, request.arrived);
            }
        }
        let ready = self.is_ready_to_serve();
        if ready != self.ready {
            self.ready = ready;
            self.actions.push_back(GatewayAction::SetReady { ready });
        }
    }

    /// Whether the views and orders of roll-outs are loaded and every shard with servers has a
    /// connection, or the warm-up time is over.
    fn is_ready_to_serve(&self) -> bool {
        if self.planned_stop.is_some() || !self.has_views() {
            return false;
        }
        if self.ready || self.now.since_epoch() >= WARM_UP_TIMEOUT {
            return true;
        }
        let shards = self.routes.shards();
        let warm = |shard| self.servers.is_warm(shard) || !self.servers.has_server(shard);
        let knows_servers = self.servers.available_count() > 0 && self.rollouts.has_orders();
        knows_servers && shards.into_iter().all(warm)
    }

    fn request(&mut self, caller: CallerId, mut head: RequestHead) {
        head.caller_timeout = head
            .caller_timeout
            .map(|timeout| timeout.min(MAX_CALLER_TIMEOUT));
        if self.has_views() {
            self.route(caller, head, self.now);
            return;
        }
        if !self.can_take(Duration::ZERO) {
            self.refuse(caller, &head, Refusal::stopping(Duration::ZERO));
            return;
        }
        let share = self.parameters.exchange.awaiting_share;
        if let Some(request) = self.pending.add(self.now, caller, head, share) {
            self.refuse_without_configuration(request);
        }
    }

    pub(super) fn slice_message(&mut self, peer: SocketAddr, message: SliceMessage) {
        let (exchanges, mut context) = self.exchanges();
        match message {
            SliceMessage::Ask { task, .. } if context.messages_may_be_stale => {
                exchanges.refuse_slice(&mut context, peer, task.slice);
            }
            SliceMessage::Ask { task, request } => {
                exchanges.serve_slice(&mut context, peer, task, request);
            }
            SliceMessage::Report { slice, report } => {
                exchanges.slice_reported(&mut context, peer, slice, report, false);
            }
            SliceMessage::ReportAndRequest { slice, report } => {
                exchanges.slice_reported(&mut context, peer, slice, report, true);
            }
            SliceMessage::Grant {
                slice,
                attempts,
                lent,
            } => {
                exchanges.attempts_granted(&mut context, peer, slice, attempts, &lent);
            }
            SliceMessage::Stop { slice, reason } => {
                exchanges.slice_stopped(&mut context, peer, slice, reason);
            }
        }
    }

    /// Starts a request on its route, or refuses it if it has no identity or no route matches.
    fn route(&mut self, caller: CallerId, head: RequestHead, arrived: Timestamp) {
        if head.id.is_none() {
            let refusal = Refusal::permanent(RefusalReason::NoIdentity, RefusalStatus::BadRequest);
            self.refuse(caller, &head, refusal);
            return;
        }
        let Some(route) = self.routes.find(&head.host, &head.path) else {
            let refusal = Refusal::permanent(RefusalReason::NoRoute, RefusalStatus::NotFound);
            self.refuse(caller, &head, refusal);
            return;
        };
        if !self.can_take(route.route.latency_objective) {
            let waited = self.now.since(arrived);
            self.refuse(caller, &head, Refusal::stopping(waited));
            return;
        }
        let (exchanges, mut context) = self.exchanges();
        exchanges.start(&mut context, caller, head, route, arrived);
    }
}
