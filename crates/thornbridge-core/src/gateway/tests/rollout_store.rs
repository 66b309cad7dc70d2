//! Store with servers and orders, for tests of roll-outs.

use super::support::instance;
use crate::gateway::{SourceReply, StateWriteReply, ViewKind, ViewObject};
use std::collections::{BTreeMap, BTreeSet};
use thornbridge_proto::peer::rollout::{RolloutId, RolloutOrder, RolloutState};
use thornbridge_proto::peer::view::{Instance, InstanceState, StoreRevision};
use thornbridge_proto::{BackEndId, ServerVersion, ServiceName};

/// Time allowed for a roll-out.
const PERIOD_MS: u64 = 12_000;

/// Object of an order in the store.
#[derive(Clone, Debug)]
struct Object {
    target: ServerVersion,
    created: u64,
    revision: u64,
    state: Option<RolloutState>,
}

/// Write that reached the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWrite {
    pub node: usize,
    pub state: RolloutState,
    pub done: bool,
}

/// Store with servers and orders.
#[derive(Clone, Debug, Default)]
pub struct Store {
    era: u64,
    revision: u64,
    objects: BTreeMap<ServiceName, Object>,
    withdrawn: Vec<(u64, ServiceName)>,
    servers: Vec<(u64, Instance)>,
    removed: Vec<(u64, BackEndId)>,
    /// Nodes whose writes are refused.
    pub refused_writers: BTreeSet<usize>,
    /// Number of next writes that are done without an answer.
    pub answers_to_lose: u32,
    /// Number of next writes whose result is never reported.
    pub results_to_drop: u32,
    /// Whether watches return no changes.
    pub hides_changes: bool,
    /// Writes, in order.
    pub writes: Vec<StoreWrite>,
}

impl Store {
    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    pub fn at(&self) -> StoreRevision {
        StoreRevision::without_era(self.revision).in_era(self.era)
    }

    /// A store without objects.
    pub fn empty() -> Self {
        Self {
            revision: 1,
            ..Self::default()
        }
    }

    /// Orders that a service moves to a version; changes the target of an order that exists.
    pub fn order(&mut self, service: &str, target: &str) {
        let revision = self.next_revision();
        let object = Object {
            target: ServerVersion::new(target),
            created: revision,
            revision,
            state: None,
        };
        self.objects.insert(ServiceName::new(service), object);
    }

    pub fn withdraw(&mut self, service: &str) {
        let revision = self.next_revision();
        self.objects.remove(&ServiceName::new(service));
        self.withdrawn.push((revision, ServiceName::new(service)));
    }

    /// Writes a state as another writer.
    pub fn set_state(&mut self, service: &str, state: RolloutState) {
        let revision = self.next_revision();
        if let Some(object) = self.objects.get_mut(&ServiceName::new(service)) {
            object.revision = revision;
            object.state = Some(state);
        }
    }

    pub fn state(&self, service: &str) -> Option<RolloutState> {
        self.objects.get(&ServiceName::new(service))?.state
    }

    /// Registers a server of a version.
    pub fn register(&mut self, id: &str, service: &str, version: &str) {
        let revision = self.next_revision();
        let server = Instance {
            version: ServerVersion::new(version),
            ..instance(id, service, InstanceState::Ready)
        };
        self.servers.push((revision, server));
    }

    /// Removes a server.
    pub fn deregister(&mut self, id: &str) {
        let revision = self.next_revision();
        self.servers.retain(|(_, server)| server.id.as_str() != id);
        self.removed.push((revision, BackEndId::new(id)));
    }

    /// Goes back to a copy, in a new era.
    pub fn restore(&mut self, copy: &Self) {
        let restored = Self {
            era: self.era + 1,
            writes: self.writes.clone(),
            ..copy.clone()
        };
        *self = restored;
    }

    fn wire_order(&self, service: &ServiceName, object: &Object) -> RolloutOrder {
        RolloutOrder {
            id: RolloutId {
                service: service.clone(),
                target: object.target.clone(),
                created: object.created,
            },
            period_ms: PERIOD_MS,
            revision: StoreRevision::without_era(object.revision).in_era(self.era),
            state: object.state,
            elapsed_ms: 0,
        }
    }

    /// Objects changed after a revision.
    fn changed_since(&self, kind: ViewKind, from: u64) -> Vec<ViewObject> {
        let era = self.era;
        match kind {
            ViewKind::Rollouts => {
                let withdrawn = self.withdrawn.iter().filter(|(at, _)| *at > from);
                let withdrawn = withdrawn.map(|(at, service)| {
                    let at = StoreRevision::without_era(*at).in_era(era);
                    ViewObject::RolloutWithdrawn(at, service.clone())
                });
                let orders = self
                    .objects
                    .iter()
                    .filter(|(_, object)| object.revision > from);
                let orders = orders
                    .map(|(service, object)| ViewObject::Rollout(self.wire_order(service, object)));
                withdrawn.chain(orders).collect()
            }
            ViewKind::Registry => {
                let servers = self.servers.iter().filter(|(at, _)| *at > from);
                let entry = |(at, server): &(u64, Instance)| {
                    let at = StoreRevision::without_era(*at).in_era(era);
                    ViewObject::Instance(at, server.clone())
                };
                let removed = self.removed.iter().filter(|(at, _)| *at > from);
                let removed = removed.map(|(at, id)| {
                    let at = StoreRevision::without_era(*at).in_era(era);
                    ViewObject::InstanceRemoved(at, id.clone())
                });
                removed.chain(servers.map(entry)).collect()
            }
            ViewKind::Configuration | ViewKind::Evacuations => Vec::new(),
        }
    }

    pub fn list(&self, kind: ViewKind) -> SourceReply {
        let objects = self.changed_since(kind, 0).into_iter();
        let is_gone = |object: &ViewObject| {
            matches!(
                object,
                ViewObject::RolloutWithdrawn(..) | ViewObject::InstanceRemoved(..)
            )
        };
        let listed = |object: &ViewObject| !is_gone(object);
        SourceReply::Page {
            objects: objects.filter(listed).collect(),
            next: None,
            at: self.at(),
        }
    }

    pub fn watch(&self, kind: ViewKind, from: StoreRevision) -> Option<SourceReply> {
        let is_same_era = from.era == self.era;
        let objects = match is_same_era {
            true => self.changed_since(kind, from.number),
            false => Vec::new(),
        };
        let at = self.at();
        let has_news = !is_same_era || !objects.is_empty();
        (has_news && !self.hides_changes).then_some(SourceReply::Changes { objects, at })
    }

    pub fn write(
        &mut self,
        service: &ServiceName,
        based_on: StoreRevision,
        state: RolloutState,
    ) -> StateWriteReply {
        let Some(object) = self.objects.get(service) else {
            return StateWriteReply::Missing;
        };
        let current = StoreRevision::without_era(object.revision).in_era(self.era);
        if current != based_on {
            return StateWriteReply::Conflict(Some(self.wire_order(service, object)));
        }
        let revision = self.next_revision();
        if let Some(object) = self.objects.get_mut(service) {
            object.revision = revision;
            object.state = Some(state);
        }
        StateWriteReply::Written(self.at())
    }
}
