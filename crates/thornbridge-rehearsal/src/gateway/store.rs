//! A model of the platform's store: objects with revisions, lists, watches, and its faults.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use thornbridge_config::routes::RouteConfiguration;
use thornbridge_core::Timestamp;
use thornbridge_core::gateway::{SourceFailure, SourceReply, ViewKind, ViewObject};
use thornbridge_proto::peer::view::{Instance, StoreRevision};
use thornbridge_proto::{BackEndId, ZoneName};

/// Objects on one page of a list.
const PAGE: usize = 25;

/// What an event was.
#[derive(Clone, Debug)]
struct Event {
    revision: StoreRevision,
    kind: ViewKind,
    object: ViewObject,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreCondition {
    Up,
    Refusing,
    Silent,
}

/// Time for which copies are kept.
const COPIES_KEPT: Duration = Duration::from_secs(30);

/// What a copy of the store holds.
#[derive(Clone, Debug)]
struct Copy {
    at: Timestamp,
    revision: u64,
    configuration: Option<(StoreRevision, RouteConfiguration)>,
    servers: BTreeMap<BackEndId, (StoreRevision, Instance)>,
    evacuated: BTreeSet<ZoneName>,
}

/// The store.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) condition: StoreCondition,
    /// Watches hear nothing until then.
    mute_until: Timestamp,
    /// Revision up to which watches heard of changes before.
    muted_at: u64,
    /// Share of answers that are lost.
    pub(super) lost_share: f64,
    revision: u64,
    configuration: Option<(StoreRevision, RouteConfiguration)>,
    servers: BTreeMap<BackEndId, (StoreRevision, Instance)>,
    evacuated: BTreeSet<ZoneName>,
    events: Vec<Event>,
    /// History at or before this revision is gone.
    floor: u64,
    /// Rises each time that the store comes back from a copy.
    era: u64,
    copies: VecDeque<Copy>,
}

impl Store {
    pub(super) fn new() -> Self {
        Self {
            condition: StoreCondition::Up,
            mute_until: Timestamp::ZERO,
            muted_at: 0,
            lost_share: 0.0,
            revision: 100,
            configuration: None,
            servers: BTreeMap::new(),
            evacuated: BTreeSet::new(),
            events: Vec::new(),
            floor: 0,
            era: 1,
            copies: VecDeque::new(),
        }
    }

    /// Keeps a copy of what the store holds.
    pub(super) fn copy(&mut self, now: Timestamp) {
        self.copies.push_back(Copy {
            at: now,
            revision: self.revision,
            configuration: self.configuration.clone(),
            servers: self.servers.clone(),
            evacuated: self.evacuated.clone(),
        });
        self.copies.retain(|copy| now.since(copy.at) <= COPIES_KEPT);
    }

    /// Comes back from the newest copy that was made by then, and begins an era.
    pub(super) fn restore(&mut self, made_by: Timestamp) {
        let mut copies = self.copies.iter();
        let Some(copy) = copies.rfind(|copy| copy.at <= made_by).cloned() else {
            return;
        };
        self.era += 1;
        self.revision = copy.revision;
        self.configuration = copy.configuration;
        self.servers = copy.servers;
        self.evacuated = copy.evacuated;
        self.events
            .retain(|event| event.revision.number <= copy.revision);
        self.copies.retain(|other| other.at <= copy.at);
    }

    /// Era of the answers.
    pub(super) fn era(&self) -> u64 {
        self.era
    }

    /// Names of the servers' entries.
    pub(super) fn server_ids(&self) -> Vec<BackEndId> {
        self.servers.keys().cloned().collect()
    }

    pub(super) fn put_configuration(&mut self, configuration: RouteConfiguration) {
        let revision = self.next();
        self.configuration = Some((revision, configuration.clone()));
        let object = ViewObject::Configuration(configuration);
        self.record(revision, ViewKind::Configuration, object);
    }

    pub(super) fn put_server(&mut self, instance: Instance) {
        let unchanged = self.servers.get(&instance.id);
        if unchanged.is_some_and(|(_, known)| *known == instance) {
            return;
        }
        let revision = self.next();
        self.servers
            .insert(instance.id.clone(), (revision, instance.clone()));
        let object = ViewObject::Instance(revision, instance);
        self.record(revision, ViewKind::Registry, object);
    }

    pub(super) fn remove_server(&mut self, id: &BackEndId) {
        if self.servers.remove(id).is_none() {
            return;
        }
        let revision = self.next();
        let object = ViewObject::InstanceRemoved(revision, id.clone());
        self.record(revision, ViewKind::Registry, object);
    }

    /// Orders that nothing is sent to the servers of a zone, or takes that back.
    pub(super) fn set_evacuated(&mut self, zone: ZoneName, evacuated: bool) {
        let changed = match evacuated {
            true => self.evacuated.insert(zone.clone()),
            false => self.evacuated.remove(&zone),
        };
        if !changed {
            return;
        }
        let revision = self.next();
        let object = match evacuated {
            true => ViewObject::EvacuationStarted(zone),
            false => ViewObject::EvacuationEnded(zone),
        };
        self.record(revision, ViewKind::Evacuations, object);
    }

    /// All entries of servers are lost.
    pub(super) fn lapse(&mut self) {
        let ids: Vec<BackEndId> = self.servers.keys().cloned().collect();
        for id in ids {
            self.remove_server(&id);
        }
    }

    pub(super) fn forget_history(&mut self) {
        self.floor = self.revision;
        self.events.clear();
    }

    pub(super) fn list(&self, kind: ViewKind, after: Option<&str>) -> SourceReply {
        let at = StoreRevision::without_era(self.revision);
        let whole = |objects| SourceReply::Page {
            objects,
            next: None,
            at,
        };
        match kind {
            ViewKind::Configuration => {
                let objects = self.configuration.iter();
                let objects = objects
                    .map(|(_, configuration)| ViewObject::Configuration(configuration.clone()));
                whole(objects.collect())
            }
            ViewKind::Evacuations => {
                let zones = self.evacuated.iter().cloned();
                whole(zones.map(ViewObject::EvacuationStarted).collect())
            }
            ViewKind::Rollouts => whole(Vec::new()),
            ViewKind::Registry => self.page_of_servers(after.unwrap_or_default()),
        }
    }

    fn page_of_servers(&self, after: &str) -> SourceReply {
        let at = StoreRevision::without_era(self.revision);
        let rest: Vec<_> = self
            .servers
            .iter()
            .filter(|(id, _)| id.as_str() > after)
            .collect();
        let mut page = rest.iter().take(PAGE);
        let objects = page
            .clone()
            .map(|(_, (revision, instance))| ViewObject::Instance(*revision, instance.clone()))
            .collect();
        let last = page.next_back().map(|(id, _)| id.as_str().to_owned());
        SourceReply::Page {
            objects,
            next: last.filter(|_| rest.len() > PAGE),
            at,
        }
    }

    /// Changes after a revision; `None` where there are none yet.
    pub(super) fn changes(
        &self,
        now: Timestamp,
        kind: ViewKind,
        from: StoreRevision,
    ) -> Option<Result<SourceReply, SourceFailure>> {
        if now < self.mute_until {
            return None;
        }
        if from.number < self.floor || from.number > self.revision {
            return Some(Err(SourceFailure::HistoryCompacted));
        }
        let objects: Vec<ViewObject> = self
            .events
            .iter()
            .filter(|event| event.kind == kind && event.revision.number > from.number)
            .map(|event| event.object.clone())
            .collect();
        if objects.is_empty() {
            return None;
        }
        let at = StoreRevision::without_era(self.revision);
        Some(Ok(SourceReply::Changes { objects, at }))
    }

    /// The end of a wait without a change. What a watch does not hear of, it is not told the revision of.
    pub(super) fn nothing(&self, now: Timestamp) -> SourceReply {
        let at = match now < self.mute_until {
            true => self.muted_at,
            false => self.revision,
        };
        SourceReply::Changes {
            objects: Vec::new(),
            at: StoreRevision::without_era(at),
        }
    }

    pub(super) fn mute(&mut self, now: Timestamp, lasts: Duration) {
        self.mute_until = now + lasts;
        self.muted_at = self.revision;
    }

    fn next(&mut self) -> StoreRevision {
        self.revision += 1;
        StoreRevision::without_era(self.revision)
    }

    fn record(&mut self, revision: StoreRevision, kind: ViewKind, object: ViewObject) {
        self.events.push(Event {
            revision,
            kind,
            object,
        });
    }
}
