//! The views of a gateway: what the store and peers tell, and when a configuration is in force.

use super::Gateway;
use super::action::GatewayAction;
use super::event::{SourceFailure, SourceReply, ViewKind, ViewObject};
use super::notes::{GatewayChange, ViewOrigin};
use super::routes::services_of;
use super::staging::Staged;
use super::views::evacuations::EvacuationChange;
use super::views::peers::ViewAge;
use super::views::registry::RegistryChange;
use super::views::source::{SourceNews, SourceReader};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::routes::RouteConfiguration;
use thornbridge_proto::peer::view::{
    EvacuatedZones, RegistryDelta, StoreRevision, ViewDigest, ViewMessage,
};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};

/// Time after a start in which a node that joins through others leaves the store to them.
const JOINING: Duration = Duration::from_millis(700);

impl Gateway {
    pub(super) fn digest(&self) -> ViewDigest {
        let known = self.configuration.as_ref();
        let in_force = known.map_or(0, |configuration| configuration.version.0);
        let staged = self.staging.version().map_or(0, |version| version.0);
        ViewDigest {
            configuration: in_force.max(staged),
            registry: self.registry.upto().unwrap_or_default(),
            evacuations: self.evacuations.at().unwrap_or_default(),
        }
    }

    /// What this node has, and when the store confirmed it.
    pub(super) fn view_age(&self) -> ViewAge {
        ViewAge {
            digest: self.digest(),
            confirmed: self.freshness.confirmed(),
            now: self.now,
        }
    }

    /// Reads the store, or leaves that to others while they do.
    pub(super) fn judge_freshness(&mut self) {
        if let Some(oldest) = self.oldest_confirmation() {
            self.freshness.confirm(oldest);
        }
        let digest = self.digest();
        self.freshness.caught_up(digest);
        let joining = self.joins_through_others && self.now.since_epoch() < JOINING;
        let must_read = self.freshness.must_read(self.now) && !joining;
        let following = self.knows_views() && !must_read;
        self.tell_reading(!following);
        for source in [&mut self.configuration_source, &mut self.registry_source] {
            source.set_following(self.now, &mut self.actions, following);
        }
        let evacuations = self.parameters.views.evacuations;
        self.evacuation_source.set_following(
            self.now,
            &mut self.actions,
            !must_read || !evacuations,
        );
    }

    /// When the store confirmed all views that are read, where it did.
    fn oldest_confirmation(&self) -> Option<Timestamp> {
        let configuration = self.configuration_source.confirmed()?;
        let registry = self.registry_source.confirmed()?;
        let oldest = configuration.min(registry);
        match self.parameters.views.evacuations {
            true => Some(oldest.min(self.evacuation_source.confirmed()?)),
            false => Some(oldest),
        }
    }

    pub(super) fn sources_mut(&mut self) -> [&mut SourceReader; 3] {
        [
            &mut self.configuration_source,
            &mut self.registry_source,
            &mut self.evacuation_source,
        ]
    }

    fn tell_reading(&mut self, reads: bool) {
        if reads == self.reads {
            return;
        }
        self.reads = reads;
        let confirmed = self.freshness.confirmed();
        let change = GatewayChange::Reading {
            reads,
            rank: self.freshness.rank(),
            age: confirmed.map(|at| self.now.since(at)),
        };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    pub(super) fn read_sources(&mut self) {
        let sources = [
            &mut self.configuration_source,
            &mut self.registry_source,
            &mut self.evacuation_source,
        ];
        for source in sources {
            source.timer_due(self.now, &mut self.random, &mut self.actions);
        }
    }

    pub(super) fn source_replied(
        &mut self,
        kind: ViewKind,
        read: u64,
        result: Result<SourceReply, SourceFailure>,
    ) {
        let source = match kind {
            ViewKind::Configuration => &mut self.configuration_source,
            ViewKind::Registry => &mut self.registry_source,
            ViewKind::Evacuations => &mut self.evacuation_source,
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

    pub(super) fn take_whole(
        &mut self,
        kind: ViewKind,
        objects: Vec<ViewObject>,
        at: StoreRevision,
    ) -> bool {
        let mut entries = Vec::new();
        let mut evacuated = BTreeSet::new();
        let mut changed = false;
        for object in objects {
            match object {
                ViewObject::Instance(revision, instance) => entries.push((revision, instance)),
                ViewObject::Configuration(configuration) => {
                    changed |= self.take_configuration(configuration, ViewOrigin::Store);
                }
                ViewObject::Unusable { name, reason } => self.object_refused(name, reason),
                ViewObject::Evacuated(zone) => {
                    evacuated.insert(zone);
                }
                ViewObject::Departed(..) | ViewObject::EvacuationOver(_) => {}
            }
        }
        if kind == ViewKind::Evacuations {
            let first = self.evacuations.at().is_none();
            let changes = self.evacuations.replace(evacuated, at);
            changed |= first || !changes.is_empty();
            self.evacuations_changed(changes, ViewOrigin::Store);
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
    pub(super) fn registry_learnt(
        &mut self,
        first: bool,
        changes: Vec<RegistryChange>,
        origin: ViewOrigin,
    ) {
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

    pub(super) fn take_changes(
        &mut self,
        kind: ViewKind,
        objects: Vec<ViewObject>,
        at: StoreRevision,
    ) -> bool {
        let mut changes = Vec::new();
        let mut orders = Vec::new();
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
                ViewObject::Evacuated(zone) => orders.push(EvacuationChange {
                    zone,
                    evacuated: true,
                }),
                ViewObject::EvacuationOver(zone) => orders.push(EvacuationChange {
                    zone,
                    evacuated: false,
                }),
                ViewObject::Unusable { name, reason } => self.object_refused(name, reason),
            }
        }
        if kind == ViewKind::Registry {
            self.registry.known_upto(at);
        }
        if !orders.is_empty() {
            let orders = self.evacuations.take(orders.into_iter(), at);
            changed |= !orders.is_empty();
            self.evacuations_changed(orders, ViewOrigin::Store);
        }
        changed |= !changes.is_empty();
        self.registry_changed(changes, ViewOrigin::Store);
        changed
    }

    pub(super) fn object_refused(&mut self, name: String, reason: String) {
        let change = GatewayChange::ObjectRefused { name, reason };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    pub(super) fn registry_changed(&mut self, changes: Vec<RegistryChange>, origin: ViewOrigin) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                RegistryChange::Present(revision, instance) => {
                    self.servers
                        .present(self.now, &mut self.actions, &instance, revision, origin);
                }
                RegistryChange::Departed(revision, id) => {
                    let confirmed = self.freshness.confirmed();
                    self.servers.departed(
                        self.now,
                        &mut self.actions,
                        &id,
                        revision,
                        origin,
                        confirmed,
                    );
                }
            }
        }
        self.division_stale = true;
        self.strand_leaving();
    }

    /// Takes orders to send nothing to the servers of zones, and their ends.
    fn evacuations_changed(&mut self, changes: Vec<EvacuationChange>, origin: ViewOrigin) {
        if changes.is_empty() {
            return;
        }
        for EvacuationChange { zone, evacuated } in changes {
            let servers = self.servers.set_evacuated(self.now, &zone, evacuated);
            let change = GatewayChange::Evacuation {
                zone,
                evacuated,
                servers,
                revision: self.evacuations.at().unwrap_or_default(),
                origin,
            };
            self.actions.push_back(GatewayAction::Changed(change));
        }
        self.division_stale = true;
        self.strand_leaving();
    }

    fn peer_evacuations(&mut self, evacuated: EvacuatedZones) {
        let changes = self.evacuations.replace(evacuated.zones, evacuated.at);
        let changed = !changes.is_empty();
        self.evacuations_changed(changes, ViewOrigin::Peer);
        if changed {
            self.announce();
        }
    }

    /// What waits for a server that takes nothing any more goes elsewhere.
    pub(super) fn strand_leaving(&mut self) {
        for server in self.servers.leaving_with_waiting() {
            let (exchanges, mut scope) = self.exchanges();
            exchanges.server_left(&mut scope, server);
        }
    }

    /// Takes a configuration where it is newer and nothing is wrong with it.
    pub(super) fn take_configuration(
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
        self.staging
            .stage(self.now, Arc::new(configuration), origin);
        self.division_stale = true;
        self.divide();
        self.servers.keep_warm(self.now, &mut self.actions);
        true
    }

    pub(super) fn staged_may_start(&mut self) -> bool {
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

    pub(super) fn put_in_force(&mut self) {
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
        self.division_stale = true;
        self.divide();
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
    pub(super) fn knows_views(&self) -> bool {
        self.configuration.is_some() && self.registry.upto().is_some()
    }

    pub(super) fn peer_message(&mut self, from: PeerEndpoint, message: PeerMessage) {
        self.slices.heard_from(self.now, from.address);
        match message {
            PeerMessage::Membership(message) => self.with_membership(|membership, context| {
                membership.peer_message(context, from, message);
            }),
            PeerMessage::View(message) => self.view_message(from.address, message),
            PeerMessage::Slice(message) => self.slice_message(from.address, message),
            PeerMessage::Quarantine(message) => {
                for record in &message.records {
                    self.quarantine.learnt(self.now, &mut self.actions, record);
                }
            }
            // The other protocols belong to nodes that serve queries and actions.
            PeerMessage::Configuration(_) | PeerMessage::Health(_) | PeerMessage::Action(_) => {}
        }
    }

    pub(super) fn view_message(&mut self, peer: SocketAddr, message: ViewMessage) {
        match message {
            ViewMessage::Digest { digest, age_ms } => {
                let age = Duration::from_millis(u64::from(age_ms));
                let own = self.view_age();
                self.freshness.heard(self.now, own.digest, digest, age);
                self.peer_views
                    .digest(self.now, &mut self.actions, peer, digest, age, own);
            }
            ViewMessage::Pull(theirs) => self.pulled(peer, theirs),
            ViewMessage::Configuration { encoded, .. } => self.peer_configuration(&encoded),
            ViewMessage::Registry(delta) => self.peer_registry(delta),
            ViewMessage::Evacuations(evacuated) => self.peer_evacuations(evacuated),
        }
    }

    pub(super) fn pulled(&mut self, peer: SocketAddr, theirs: ViewDigest) {
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
        if let Some(evacuated) = self.evacuations.newer_than(theirs.evacuations) {
            self.send_view(peer, ViewMessage::Evacuations(evacuated));
        }
        if let Some(delta) = self.registry.delta(theirs.registry) {
            self.send_view(peer, ViewMessage::Registry(delta));
        }
    }

    pub(super) fn send_view(&mut self, to: SocketAddr, message: ViewMessage) {
        let message = PeerMessage::View(message);
        self.actions
            .push_back(GatewayAction::SendPeer { to, message });
    }

    pub(super) fn peer_configuration(&mut self, encoded: &[u8]) {
        let Ok(configuration) = rmp_serde::from_slice::<RouteConfiguration>(encoded) else {
            self.object_refused("peer's configuration".to_owned(), "malformed".to_owned());
            return;
        };
        if self.take_configuration(configuration, ViewOrigin::Peer) {
            self.announce();
        }
    }

    /// Tells a few peers of what is new here.
    pub(super) fn announce(&mut self) {
        let own = self.view_age();
        self.peer_views
            .announce(&mut self.random, &mut self.actions, own);
    }

    pub(super) fn peer_registry(&mut self, delta: RegistryDelta) {
        let first = self.registry.upto().is_none();
        let changes = self.registry.take_delta(self.now, delta);
        let changed = !changes.is_empty();
        self.registry_learnt(first, changes, ViewOrigin::Peer);
        if changed {
            self.announce();
        }
    }
}
