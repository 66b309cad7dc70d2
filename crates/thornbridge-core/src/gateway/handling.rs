//! Events of a gateway, handed to its parts.

use super::action::{
    GatewayAction, GatewayAnswer, GatewayChange, RefusalPromise, RefusalReason, RequestNote,
    ViewOrigin,
};
use super::awaiting::AwaitingRequest;
use super::event::{GatewayEvent, RequestHead, SourceFailure, SourceReply, ViewKind, ViewObject};
use super::exchange::Scope;
use super::parameters::GatewayParameters;
use super::routes::services_of;
use super::staging::Staged;
use super::views::registry::RegistryChange;
use super::views::source::SourceNews;
use super::{Gateway, is_member_change};
use crate::context::Context;
use crate::driver_action::{Action, CallerId};
use crate::membership::{MemberView, Membership};
use crate::signal::Signal;
use crate::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::routes::RouteConfiguration;
use thornbridge_proto::peer::view::{RegistryDelta, StoreRevision, ViewDigest, ViewMessage};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

/// Time between looks at servers without a connection.
const WARMING_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a start at which a node is ready though some shards have no connection.
const READY_ANYWAY: Duration = Duration::from_millis(1_500);
/// Least time after which a caller comes back to a node that knows no configuration.
const LEAST_RETRY_WITHOUT_CONFIGURATION: Duration = Duration::from_millis(50);

/// Calls the exchanges with everything that they need.
macro_rules! with_exchanges {
    ($gateway:expr, $scope:ident, $exchanges:ident => $body:expr) => {{
        let gateway = &mut *$gateway;
        let $scope = &mut Scope {
            now: gateway.now,
            random: &mut gateway.random,
            actions: &mut gateway.actions,
            servers: &mut gateway.servers,
            routes: &mut gateway.routes,
            budget: &mut gateway.budget,
            registry: gateway.registry.upto().unwrap_or_default(),
        };
        let $exchanges = &mut gateway.exchanges;
        $body
    }};
}

impl Gateway {
    /// Takes one event. `now` must not go back.
    pub fn handle(&mut self, now: Timestamp, event: GatewayEvent) {
        self.now = now;
        match event {
            GatewayEvent::Started => self.started(),
            GatewayEvent::Request { caller, head } => self.request(caller, head),
            GatewayEvent::CallerGone { caller } => {
                self.awaiting.caller_gone(caller);
                with_exchanges!(self, scope, exchanges => exchanges.caller_gone(scope, caller));
            }
            GatewayEvent::ConnectionOpened { connection, took } => {
                with_exchanges!(self, scope, exchanges => {
                    exchanges.connection_opened(scope, connection, took);
                });
            }
            GatewayEvent::ConnectionLost { connection } => {
                with_exchanges!(self, scope, exchanges => {
                    exchanges.connection_lost(scope, connection);
                });
            }
            GatewayEvent::Replied { attempt, reply } => {
                with_exchanges!(self, scope, exchanges => {
                    exchanges.replied(scope, attempt, reply);
                });
            }
            GatewayEvent::Failed { attempt, failure } => {
                with_exchanges!(self, scope, exchanges => {
                    exchanges.failed(scope, attempt, failure);
                });
            }
            GatewayEvent::SourceReplied { kind, read, result } => {
                self.source_replied(kind, read, result);
            }
            GatewayEvent::PeerMessage { from, message } => self.peer_message(from, message),
            GatewayEvent::PeerLinkDown { address } => {
                self.with_membership(|membership, context| membership.link_down(context, address));
            }
            GatewayEvent::TimerDue => self.timer_due(),
            GatewayEvent::StopAsked => self.stop_asked(),
            GatewayEvent::Reconfigured { parameters } => self.reconfigure(*parameters),
            GatewayEvent::Paused { .. } => {
                self.with_membership(|membership, context| membership.clock_jumped(context));
            }
        }
        self.settle();
    }

    /// When [`GatewayEvent::TimerDue`] is wanted, at the latest.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        let staged = self.staging.get();
        let staged = staged.map(|staged| staged.since + self.parameters.views.staging);
        let timeouts = [
            self.membership.next_timeout(),
            Some(self.configuration_source.next_timeout()),
            Some(self.registry_source.next_timeout()),
            self.peer_views.next_timeout(self.digest()),
            self.servers.next_timeout(),
            self.exchanges.next_timeout(),
            Some(self.next_warming),
            self.awaiting.next_timeout(),
            staged,
        ];
        timeouts.into_iter().flatten().min()
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
            // There is no list of machines to ask for; asking moves the time of the next one on.
            membership.wants_machines(context);
        });
        self.read_sources();
        let digest = self.digest();
        self.peer_views
            .timer_due(self.now, &mut self.random, &mut self.actions, digest);
        self.servers.timer_due(self.now, &mut self.actions);
        if self.next_warming <= self.now {
            self.next_warming = self.now + WARMING_INTERVAL;
            let kept = self.parameters.views.departures_kept;
            self.registry.forget(self.now, kept);
            self.servers.keep_warm(self.now, &mut self.actions);
            self.judge_patience();
        }
        for request in self.awaiting.take_overdue(self.now) {
            self.refuse_without_configuration(request);
        }
        with_exchanges!(self, scope, exchanges => exchanges.timer_due(scope));
    }

    /// The caller waited for a configuration in vain; it is told to come back while it can.
    fn refuse_without_configuration(&mut self, request: AwaitingRequest) {
        let AwaitingRequest {
            caller,
            head,
            arrived,
            ..
        } = request;
        let waited = self.now.since(arrived);
        let left = head.patience.unwrap_or_default().saturating_sub(waited);
        let retry_after = Some((left / 4).max(LEAST_RETRY_WITHOUT_CONFIGURATION));
        let reason = RefusalReason::NoConfiguration;
        self.refuse(caller, &head, reason, RefusalPromise::NotRun, retry_after);
    }

    /// Takes new tunable values.
    fn reconfigure(&mut self, parameters: GatewayParameters) {
        self.budget.set_parameters(parameters.budget.clone());
        self.servers.parameters = parameters.servers.clone();
        self.exchanges.set_parameters(parameters.exchange.clone());
        self.configuration_source
            .set_parameters(parameters.views.clone());
        self.registry_source
            .set_parameters(parameters.views.clone());
        self.parameters = parameters;
        let state = "reconfigured";
        let change = GatewayChange::Lifecycle { state };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    fn stop_asked(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.actions
            .push_back(GatewayAction::Changed(GatewayChange::Lifecycle {
                state: "stopping",
            }));
        self.with_membership(Membership::leave);
    }

    /// Puts a configuration in force where it may be, and reports readiness.
    fn settle(&mut self) {
        if self.staged_may_start() {
            self.put_in_force();
        }
        if self.knows_views() {
            for waiting in self.awaiting.take_all() {
                self.request(waiting.caller, waiting.head);
            }
        }
        let ready = self.may_serve();
        if ready != self.ready {
            self.ready = ready;
            self.actions.push_back(GatewayAction::SetReady { ready });
        }
    }

    fn may_serve(&self) -> bool {
        if self.stopping || !self.knows_views() {
            return false;
        }
        if self.ready || self.now.since_epoch() >= READY_ANYWAY {
            return true;
        }
        let shards = self.routes.shards();
        let warm = |shard| self.servers.is_warm(shard) || !self.servers.has_server(shard);
        self.servers.taking_requests() > 0 && shards.into_iter().all(warm)
    }

    fn request(&mut self, caller: CallerId, head: RequestHead) {
        if !self.knows_views() {
            let share = self.parameters.exchange.awaiting_share;
            self.awaiting.add(self.now, caller, head, share);
            return;
        }
        if head.id.is_none() {
            let reason = RefusalReason::NoIdentity;
            self.refuse(caller, &head, reason, RefusalPromise::BadRequest, None);
            return;
        }
        let Some(route) = self.routes.find(&head.host, &head.path) else {
            let reason = RefusalReason::NoRoute;
            self.refuse(caller, &head, reason, RefusalPromise::NotFound, None);
            return;
        };
        with_exchanges!(self, scope, exchanges => exchanges.start(scope, caller, head, route));
    }

    fn refuse(
        &mut self,
        caller: CallerId,
        head: &RequestHead,
        reason: RefusalReason,
        promise: RefusalPromise,
        retry_after: Option<Duration>,
    ) {
        self.actions.push_back(GatewayAction::Finished(RequestNote {
            id: head.id.clone().unwrap_or_default(),
            route: String::new(),
            version: self.routes.version,
            registry: self.registry.upto().unwrap_or_default(),
            took: Duration::ZERO,
            objective: Duration::ZERO,
            parts: 0,
            of: 0,
            outcome: reason.as_str(),
            notable: Vec::new(),
            attempts: 0,
            denied: 0,
        }));
        let answer = GatewayAnswer::Refused {
            reason,
            promise,
            retry_after,
        };
        self.actions
            .push_back(GatewayAction::Answer { caller, answer });
    }

    // Views.

    fn digest(&self) -> ViewDigest {
        let known = self.configuration.as_ref();
        let in_force = known.map_or(0, |configuration| configuration.version.0);
        let staged = self.staging.version().map_or(0, |version| version.0);
        ViewDigest {
            configuration: in_force.max(staged),
            registry: self.registry.upto().unwrap_or_default(),
        }
    }

    /// Watches wait for long while other members watch closely and are heard.
    fn judge_patience(&mut self) {
        let silence = self.now.since(self.peer_heard);
        let heard = silence < self.parameters.views.peer_silence;
        let patient = !self.quick_watcher && heard && self.knows_views();
        for source in [&mut self.configuration_source, &mut self.registry_source] {
            source.set_patient(self.now, &mut self.actions, patient);
        }
    }

    fn read_sources(&mut self) {
        for source in [&mut self.configuration_source, &mut self.registry_source] {
            source.timer_due(self.now, &mut self.random, &mut self.actions);
        }
    }

    fn source_replied(
        &mut self,
        kind: ViewKind,
        read: u64,
        result: Result<SourceReply, SourceFailure>,
    ) {
        let source = match kind {
            ViewKind::Configuration => &mut self.configuration_source,
            ViewKind::Registry => &mut self.registry_source,
        };
        let news = source.replied(self.now, &mut self.random, &mut self.actions, read, result);
        let Some(news) = news else {
            return;
        };
        let before = self.digest();
        let changed = match news {
            SourceNews::Whole(objects, at) => self.take_whole(kind, objects, at),
            SourceNews::Changes(objects, at) => self.take_changes(kind, objects, at),
        };
        if changed && self.digest() != before {
            self.announce();
        }
    }

    fn take_whole(&mut self, kind: ViewKind, objects: Vec<ViewObject>, at: StoreRevision) -> bool {
        let mut entries = Vec::new();
        let mut changed = false;
        for object in objects {
            match object {
                ViewObject::Instance(revision, instance) => entries.push((revision, instance)),
                ViewObject::Configuration(configuration) => {
                    changed |= self.take_configuration(configuration, ViewOrigin::Store);
                }
                ViewObject::Unusable { name, reason } => self.object_refused(name, reason),
                ViewObject::Departed(..) => {}
            }
        }
        if kind == ViewKind::Registry {
            let first = self.registry.upto().is_none();
            let changes = self.registry.replace(self.now, entries, at);
            changed |= !changes.is_empty();
            self.registry_learnt(first, changes, ViewOrigin::Store);
        }
        changed
    }

    /// Takes changes of the registry. Those of the first list are told in one line.
    fn registry_learnt(&mut self, first: bool, changes: Vec<RegistryChange>, origin: ViewOrigin) {
        let actions_before = self.actions.len();
        self.registry_changed(changes, origin);
        if !first {
            return;
        }
        let told = self.actions.split_off(actions_before);
        let is_instance = |action: &GatewayAction| {
            matches!(
                action,
                GatewayAction::Changed(GatewayChange::Instance { .. })
            )
        };
        let others = told.into_iter().filter(|action| !is_instance(action));
        self.actions.extend(others);
        let change = GatewayChange::RegistryKnown {
            instances: self.registry.len(),
            revision: self.registry.upto().unwrap_or_default(),
            origin,
        };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    fn take_changes(
        &mut self,
        kind: ViewKind,
        objects: Vec<ViewObject>,
        at: StoreRevision,
    ) -> bool {
        let mut changes = Vec::new();
        let mut changed = false;
        for object in objects {
            match object {
                ViewObject::Instance(revision, instance) => {
                    changes.extend(self.registry.present(revision, instance));
                }
                ViewObject::Departed(revision, id) => {
                    changes.extend(self.registry.departed(self.now, revision, at, &id));
                }
                ViewObject::Configuration(configuration) => {
                    changed |= self.take_configuration(configuration, ViewOrigin::Store);
                }
                ViewObject::Unusable { name, reason } => self.object_refused(name, reason),
            }
        }
        if kind == ViewKind::Registry {
            self.registry.known_upto(at);
        }
        changed |= !changes.is_empty();
        self.registry_changed(changes, ViewOrigin::Store);
        changed
    }

    fn object_refused(&mut self, name: String, reason: String) {
        let change = GatewayChange::ObjectRefused { name, reason };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    fn registry_changed(&mut self, changes: Vec<RegistryChange>, origin: ViewOrigin) {
        for change in changes {
            match change {
                RegistryChange::Present(revision, instance) => {
                    self.servers
                        .present(self.now, &mut self.actions, &instance, revision, origin);
                }
                RegistryChange::Departed(revision, id) => {
                    self.servers
                        .departed(self.now, &mut self.actions, &id, revision, origin);
                }
            }
        }
        self.strand_leaving();
    }

    /// What waits for a server that takes nothing any more goes elsewhere.
    fn strand_leaving(&mut self) {
        for server in self.servers.leaving_with_waiting() {
            with_exchanges!(self, scope, exchanges => exchanges.server_left(scope, server));
        }
    }

    /// Takes a configuration where it is newer and nothing is wrong with it.
    fn take_configuration(
        &mut self,
        configuration: RouteConfiguration,
        origin: ViewOrigin,
    ) -> bool {
        let version = configuration.version;
        if version.0 <= self.digest().configuration {
            return false;
        }
        let problems = configuration.problems();
        if !problems.is_empty() {
            let reasons: Vec<String> = problems.iter().map(ToString::to_string).collect();
            self.object_refused(format!("configuration {version}"), reasons.join("; "));
            return false;
        }
        let warm = services_of(&configuration, &mut self.servers);
        self.servers.configure(&configuration.services, warm);
        self.servers.keep_warm(self.now, &mut self.actions);
        self.staging
            .stage(self.now, Arc::new(configuration), origin);
        true
    }

    fn staged_may_start(&mut self) -> bool {
        let Some(staged) = self.staging.get() else {
            return false;
        };
        let waited = self.now.since(staged.since) >= self.parameters.views.staging;
        if waited || self.configuration.is_none() {
            return true;
        }
        let configuration = Arc::clone(&staged.configuration);
        let named = services_of(&configuration, &mut self.servers);
        named
            .into_iter()
            .all(|service| self.servers.is_warm(service) || !self.servers.has_server(service))
    }

    fn put_in_force(&mut self) {
        let Some(staged) = self.staging.take() else {
            return;
        };
        let Staged {
            configuration,
            origin,
            since,
        } = staged;
        let replaced = self.routes.version;
        self.routes.apply(&configuration, &mut self.servers);
        let limits = configuration.limits;
        self.actions.push_back(GatewayAction::SetLimits { limits });
        let change = GatewayChange::ConfigurationInForce {
            version: configuration.version,
            replaced,
            origin,
            staged_for: self.now.since(since),
        };
        self.actions.push_back(GatewayAction::Changed(change));
        self.configuration = Some(configuration);
    }

    /// Whether configuration and registry are known.
    fn knows_views(&self) -> bool {
        self.configuration.is_some() && self.registry.upto().is_some()
    }

    // Peers.

    fn peer_message(&mut self, from: PeerEndpoint, message: PeerMessage) {
        match message {
            PeerMessage::Membership(message) => self.with_membership(|membership, context| {
                membership.peer_message(context, from, message);
            }),
            PeerMessage::View(message) => self.view_message(from.address, message),
            // The other protocols belong to nodes that serve queries and actions.
            PeerMessage::Configuration(_) | PeerMessage::Health(_) | PeerMessage::Action(_) => {}
        }
    }

    fn view_message(&mut self, peer: SocketAddr, message: ViewMessage) {
        match message {
            ViewMessage::Digest(theirs) => {
                self.peer_heard = self.now;
                let own = self.digest();
                self.peer_views
                    .digest(self.now, &mut self.actions, peer, theirs, own);
            }
            ViewMessage::Pull(theirs) => self.pulled(peer, theirs),
            ViewMessage::Configuration { encoded, .. } => self.peer_configuration(&encoded),
            ViewMessage::Registry(delta) => self.peer_registry(delta),
        }
    }

    fn pulled(&mut self, peer: SocketAddr, theirs: ViewDigest) {
        let newest = match self.staging.get() {
            Some(staged) => Some(&staged.configuration),
            None => self.configuration.as_ref(),
        };
        if let Some(configuration) = newest
            && configuration.version.0 > theirs.configuration
            && let Ok(encoded) = rmp_serde::to_vec(&**configuration)
        {
            let version = configuration.version.0;
            self.send_view(peer, ViewMessage::Configuration { version, encoded });
        }
        if let Some(delta) = self.registry.delta(theirs.registry) {
            self.send_view(peer, ViewMessage::Registry(delta));
        }
    }

    fn send_view(&mut self, to: SocketAddr, message: ViewMessage) {
        let message = PeerMessage::View(message);
        self.actions
            .push_back(GatewayAction::SendPeer { to, message });
    }

    fn peer_configuration(&mut self, encoded: &[u8]) {
        let Ok(configuration) = rmp_serde::from_slice::<RouteConfiguration>(encoded) else {
            self.object_refused("peer's configuration".to_owned(), "malformed".to_owned());
            return;
        };
        if self.take_configuration(configuration, ViewOrigin::Peer) {
            self.announce();
        }
    }

    /// Tells a few peers of what is new here.
    fn announce(&mut self) {
        let digest = self.digest();
        self.peer_views
            .announce(&mut self.random, &mut self.actions, digest);
    }

    fn peer_registry(&mut self, delta: RegistryDelta) {
        let first = self.registry.upto().is_none();
        let changes = self.registry.take_delta(self.now, delta);
        let changed = !changes.is_empty();
        self.registry_learnt(first, changes, ViewOrigin::Peer);
        if changed {
            self.announce();
        }
    }

    /// Calls the membership, and hands on what it wants and says.
    fn with_membership(&mut self, call: impl FnOnce(&mut Membership, &mut Context<'_>)) {
        let mut context = Context::new(
            self.now,
            &mut self.random,
            &mut self.member_actions,
            &mut self.member_signals,
        );
        call(&mut self.membership, &mut context);
        while let Some(action) = self.member_actions.pop_front() {
            self.member_action(action);
        }
        while let Some(signal) = self.member_signals.pop_front() {
            if let Signal::MembersChanged(view) = signal {
                self.members_changed(&view);
            }
        }
    }

    fn member_action(&mut self, action: Action) {
        match action {
            Action::SendPeer { to, message } => {
                self.actions
                    .push_back(GatewayAction::SendPeer { to, message });
            }
            Action::StateChanged(change) if is_member_change(&change) => {}
            _ => {}
        }
    }

    fn members_changed(&mut self, view: &MemberView) {
        let members = view.taking_work().count().max(1);
        let own = view.own().endpoint.address;
        let peers = view.members().iter().map(|member| member.endpoint.address);
        self.peer_views
            .set_peers(peers.filter(|address| *address != own).collect());
        let quick = self.parameters.views.quick_watchers;
        let own_node = view.own().endpoint.node;
        let mut first = view.taking_work().take(quick);
        self.quick_watcher = first.any(|member| member.endpoint.node == own_node);
        self.budget.set_members(self.now, members);
        self.servers.set_members(self.now, members);
        if members != self.members {
            self.members = members;
            let change = GatewayChange::Members { members };
            self.actions.push_back(GatewayAction::Changed(change));
        }
    }
}
