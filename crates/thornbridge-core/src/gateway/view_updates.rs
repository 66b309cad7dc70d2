//! Updates of a gateway's views from the store, and the switch between reading and following.

use super::Gateway;
use super::action::GatewayAction;
use super::event::{SourceFailure, SourceReply, ViewKind, ViewObject};
use super::telemetry::{GatewayChange, ViewOrigin};
use super::views::evacuations::EvacuationChange;
use super::views::gossip::ViewStatus;
use super::views::registry::RegistryChange;
use super::views::source::{SourceReader, SourceUpdate};
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;
use thornbridge_proto::peer::view::{Instance, StoreRevision, ViewDigest};
use thornbridge_proto::{BackEndId, ServerVersion};

/// Time after the start in which a node that joins through seeds does not read the store.
const JOIN_GRACE_PERIOD: Duration = Duration::from_millis(700);

impl Gateway {
    pub(super) fn digest(&self) -> ViewDigest {
        let active = self.configuration.as_ref();
        let active = active.map_or(0, |configuration| configuration.version.0);
        let staged = self.staging.version().map_or(0, |version| version.0);
        ViewDigest {
            configuration: active.max(staged),
            registry: self.registry.revision().unwrap_or_default(),
            evacuations: self.evacuations.revision().unwrap_or_default(),
        }
    }

    /// Digest of this node's views, and when the store last confirmed them.
    pub(super) fn view_status(&self) -> ViewStatus {
        ViewStatus {
            digest: self.digest(),
            confirmed_at: self.freshness.confirmed_at(),
            now: self.now,
        }
    }

    /// Starts or stops reading the store according to staleness and rank.
    pub(super) fn update_reader_role(&mut self) {
        if let Some(oldest) = self.oldest_confirmation() {
            self.freshness.confirm(oldest);
        }
        let digest = self.digest();
        self.freshness.confirm_if_caught_up(digest);
        let is_joining = self.joins_via_seeds && self.now.since_epoch() < JOIN_GRACE_PERIOD;
        let follows_peers = is_joining || !self.freshness.should_read(self.now);
        self.report_reader_change(!follows_peers);
        let (now, actions) = (self.now, &mut self.actions);
        let current = self.registry.revision();
        self.configuration_source
            .set_follows_peers(now, actions, follows_peers, None);
        self.registry_source
            .set_follows_peers(now, actions, follows_peers, current);
        self.set_order_reader(follows_peers);
        let (now, actions) = (self.now, &mut self.actions);
        let follows_peers = follows_peers || !self.parameters.views.evacuations;
        self.evacuation_source
            .set_follows_peers(now, actions, follows_peers, None);
    }

    /// Oldest confirmation among the views that are read; `None` if one was never confirmed.
    fn oldest_confirmation(&self) -> Option<Timestamp> {
        let configuration = self.configuration_source.confirmed_at()?;
        let registry = self.registry_source.confirmed_at()?;
        let oldest = configuration.min(registry);
        match self.parameters.views.evacuations {
            true => Some(oldest.min(self.evacuation_source.confirmed_at()?)),
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

    fn report_reader_change(&mut self, reads: bool) {
        if reads == self.reads {
            return;
        }
        self.reads = reads;
        let confirmed_at = self.freshness.confirmed_at();
        let change = GatewayChange::StoreReader {
            reads,
            rank: self.freshness.rank(),
            age: confirmed_at.map(|at| self.now.since(at)),
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
            ViewKind::Rollouts => &mut self.rollout_source,
        };
        let update = source.replied(self.now, &mut self.random, &mut self.actions, read, result);
        let Some(update) = update else {
            return;
        };
        let update = update.map_objects(|object| self.without_unused_version(object));
        if kind == ViewKind::Rollouts {
            self.orders_read(update);
            return;
        }
        let before = self.digest();
        let changed = match update {
            SourceUpdate::List(objects, at) => self.apply_list(kind, objects, at),
            SourceUpdate::Changes(objects, at) => self.apply_changes(kind, objects, at),
        };
        if changed && self.digest() != before {
            self.announce(None);
        }
    }

    /// Removes the version of an instance where versions have no meaning, so that peers, which may be
    /// earlier builds, receive the same entries as before.
    fn without_unused_version(&self, object: ViewObject) -> ViewObject {
        match object {
            ViewObject::Instance(revision, instance) if !self.parameters.rollouts.enabled => {
                let version = ServerVersion::default();
                ViewObject::Instance(
                    revision,
                    Instance {
                        version,
                        ..instance
                    },
                )
            }
            object => object,
        }
    }

    /// Applies a complete list; returns whether the view changed.
    pub(super) fn apply_list(
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
                    changed |= self.stage_configuration(configuration, ViewOrigin::Store);
                }
                ViewObject::Unusable { name, reason, .. } => {
                    self.report_rejected_object(name, reason)
                }
                ViewObject::EvacuationStarted(zone) => {
                    evacuated.insert(zone);
                }
                ViewObject::InstanceRemoved(..)
                | ViewObject::EvacuationEnded(_)
                | ViewObject::Rollout(_)
                | ViewObject::RolloutWithdrawn(..) => {}
            }
        }
        if kind == ViewKind::Evacuations {
            let first = self.evacuations.revision().is_none();
            let changes = self.evacuations.replace(evacuated, at);
            changed |= first || !changes.is_empty();
            self.apply_evacuation_changes(changes, ViewOrigin::Store);
        }
        if kind == ViewKind::Registry {
            let before = self.registry.revision();
            let changes = self.registry.replace(self.now, entries, at);
            changed |= !changes.is_empty();
            self.registry_updated(before, changes, ViewOrigin::Store);
        }
        changed
    }

    /// Applies registry changes and reports them. `before`: revision of the registry before them.
    ///
    /// A summary replaces the reports of single instances if the registry was unknown before.
    pub(super) fn registry_updated(
        &mut self,
        before: Option<StoreRevision>,
        changes: Vec<RegistryChange>,
        origin: ViewOrigin,
    ) {
        let actions_before = self.actions.len();
        let changed = changes.len();
        self.apply_registry_changes(changes, origin);
        if let Some(before) = before {
            self.report_new_era(before, changed, origin);
            return;
        }
        let emitted = self.actions.split_off(actions_before);
        let is_instance = |action: &GatewayAction| {
            matches!(
                action,
                GatewayAction::Changed(GatewayChange::Instance { .. })
            )
        };
        let others = emitted.into_iter().filter(|action| !is_instance(action));
        self.actions.extend(others);
        let change = GatewayChange::RegistryLoaded {
            instances: self.registry.len(),
            revision: self.registry.revision().unwrap_or_default(),
            origin,
        };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    /// Reports a new era of the store, if the changes began one.
    fn report_new_era(&mut self, before: StoreRevision, changed: usize, origin: ViewOrigin) {
        let current = self.registry.revision().unwrap_or_default();
        if current.era == before.era {
            return;
        }
        let change = GatewayChange::StoreEra {
            ended: before,
            begun: current,
            changed,
            instances: self.registry.len(),
            origin,
        };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    /// Applies the changes of a watch; returns whether the view changed.
    pub(super) fn apply_changes(
        &mut self,
        kind: ViewKind,
        objects: Vec<ViewObject>,
        at: StoreRevision,
    ) -> bool {
        let mut changes = Vec::new();
        let mut evacuation_changes = Vec::new();
        let mut changed = false;
        for object in objects {
            match object {
                ViewObject::Instance(revision, instance) => {
                    changes.extend(self.registry.upsert(revision, instance));
                }
                ViewObject::InstanceRemoved(revision, id) => {
                    changes.extend(self.registry.remove(self.now, revision, at, &id));
                }
                ViewObject::Configuration(configuration) => {
                    changed |= self.stage_configuration(configuration, ViewOrigin::Store);
                }
                ViewObject::EvacuationStarted(zone) => evacuation_changes.push(EvacuationChange {
                    zone,
                    evacuated: true,
                }),
                ViewObject::EvacuationEnded(zone) => evacuation_changes.push(EvacuationChange {
                    zone,
                    evacuated: false,
                }),
                ViewObject::Rollout(_) | ViewObject::RolloutWithdrawn(..) => {}
                ViewObject::Unusable {
                    name,
                    revision,
                    reason,
                } => {
                    // An unusable entry removes the instance: another writer may have replaced it.
                    if kind == ViewKind::Registry {
                        let id = BackEndId::new(name.as_str());
                        changes.extend(self.registry.remove(self.now, revision, at, &id));
                    }
                    self.report_rejected_object(name, reason);
                }
            }
        }
        if kind == ViewKind::Registry {
            self.registry.advance_to(at);
        }
        if !evacuation_changes.is_empty() {
            let evacuation_changes = self.evacuations.apply(evacuation_changes.into_iter(), at);
            changed |= !evacuation_changes.is_empty();
            self.apply_evacuation_changes(evacuation_changes, ViewOrigin::Store);
        }
        changed |= !changes.is_empty();
        self.apply_registry_changes(changes, ViewOrigin::Store);
        changed
    }

    pub(super) fn report_rejected_object(&mut self, name: String, reason: String) {
        let change = GatewayChange::ObjectRejected { name, reason };
        self.actions.push_back(GatewayAction::Changed(change));
    }

    /// Applies added, changed and removed instances to the servers.
    pub(super) fn apply_registry_changes(
        &mut self,
        changes: Vec<RegistryChange>,
        origin: ViewOrigin,
    ) {
        if changes.is_empty() {
            return;
        }
        let mut services = BTreeSet::new();
        for change in changes {
            match change {
                RegistryChange::Upserted(revision, instance) => {
                    if self.rollouts.is_enabled() {
                        services.insert(instance.service.clone());
                    }
                    self.servers.upsert_instance(
                        self.now,
                        &mut self.actions,
                        &instance,
                        revision,
                        origin,
                    );
                }
                RegistryChange::Removed(revision, id) => {
                    let confirmed_at = self.freshness.confirmed_at();
                    self.servers.remove_instance(
                        self.now,
                        &mut self.actions,
                        &id,
                        revision,
                        origin,
                        confirmed_at,
                    );
                }
            }
        }
        self.refresh_version_roles(services);
        self.slices_outdated = true;
        self.reassign_queued_parts();
    }

    /// Applies starts and ends of evacuations to the servers, and reports them.
    pub(super) fn apply_evacuation_changes(
        &mut self,
        changes: Vec<EvacuationChange>,
        origin: ViewOrigin,
    ) {
        if changes.is_empty() {
            return;
        }
        for EvacuationChange { zone, evacuated } in changes {
            let servers = self.servers.set_evacuated(self.now, &zone, evacuated);
            let change = GatewayChange::Evacuation {
                zone,
                evacuated,
                servers,
                revision: self.evacuations.revision().unwrap_or_default(),
                origin,
            };
            self.actions.push_back(GatewayAction::Changed(change));
        }
        self.slices_outdated = true;
        self.reassign_queued_parts();
    }

    /// Reassigns parts that are queued at servers that no longer take requests.
    pub(super) fn reassign_queued_parts(&mut self) {
        for server in self.servers.unavailable_with_queued() {
            let (exchanges, mut context) = self.exchanges();
            exchanges.server_unavailable(&mut context, server);
        }
    }

    /// Whether this node has a configuration and a registry.
    pub(super) fn has_views(&self) -> bool {
        self.configuration.is_some() && self.registry.revision().is_some()
    }
}
