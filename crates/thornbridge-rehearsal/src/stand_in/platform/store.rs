//! The store's state: objects, one sequence of versions, a bounded history of changes.

use std::collections::{BTreeMap, VecDeque};
use thornbridge_proto::platform::{
    ObjectKind, Precondition, ResourceVersion, StoredObject, WatchChange,
};

/// A write's precondition does not hold; nothing changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreConflict {
    /// The object as it stands.
    pub current: Option<StoredObject>,
}

/// Objects and the history of their changes.
#[derive(Debug)]
pub struct Store {
    objects: BTreeMap<(ObjectKind, String), StoredObject>,
    version: ResourceVersion,
    history: VecDeque<WatchChange>,
    history_limit: usize,
    /// Changes up to this version are no longer in the history.
    compacted: ResourceVersion,
}

impl Store {
    /// An empty store that keeps `history_limit` changes.
    pub fn new(history_limit: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            version: ResourceVersion(0),
            history: VecDeque::new(),
            history_limit,
            compacted: ResourceVersion(0),
        }
    }

    /// Version of the last change.
    pub fn version(&self) -> ResourceVersion {
        self.version
    }

    /// One object.
    pub fn get(&self, kind: ObjectKind, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind, name.to_owned()))
    }

    /// All objects of a kind, by name.
    pub fn list(&self, kind: ObjectKind) -> Vec<StoredObject> {
        let of_kind = self.objects.values().filter(|object| object.kind == kind);
        of_kind.cloned().collect()
    }

    /// Compare-and-swap.
    pub fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        body: String,
        precondition: Precondition,
    ) -> Result<StoredObject, StoreConflict> {
        let current = self.get(kind, name);
        let holds = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.resource_version == version)
            }
        };
        if !holds {
            let current = current.cloned();
            return Err(StoreConflict { current });
        }
        let object = self.next_object(kind, name, body);
        let key = (kind, object.name.clone());
        self.objects.insert(key, object.clone());
        self.record(object.clone(), false);
        Ok(object)
    }

    /// Deletes an object where it has the given version, or any where none is given.
    /// Gives the object's last state, `None` where there was none.
    pub fn delete(
        &mut self,
        kind: ObjectKind,
        name: &str,
        version: Option<ResourceVersion>,
    ) -> Result<Option<StoredObject>, StoreConflict> {
        let Some(current) = self.get(kind, name).cloned() else {
            return Ok(None);
        };
        if version.is_some_and(|version| version != current.resource_version) {
            let current = Some(current);
            return Err(StoreConflict { current });
        }
        self.objects.remove(&(kind, name.to_owned()));
        let tombstone = self.next_object(kind, name, String::new());
        self.record(tombstone, true);
        Ok(Some(current))
    }

    /// Changes of a kind after `from`; `None` when they are no longer all in the history.
    pub fn changes_after(
        &self,
        kind: ObjectKind,
        from: ResourceVersion,
    ) -> Option<Vec<WatchChange>> {
        if from < self.compacted || from > self.version {
            return None;
        }
        let later = self
            .history
            .iter()
            .filter(|change| change.object.kind == kind && change.object.resource_version > from);
        Some(later.cloned().collect())
    }

    /// Forgets the whole history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.version;
    }

    fn next_object(&mut self, kind: ObjectKind, name: &str, body: String) -> StoredObject {
        self.version.0 += 1;
        StoredObject {
            kind,
            name: name.to_owned(),
            resource_version: self.version,
            body,
        }
    }

    fn record(&mut self, object: StoredObject, deleted: bool) {
        self.history.push_back(WatchChange { object, deleted });
        while self.history.len() > self.history_limit {
            if let Some(oldest) = self.history.pop_front() {
                self.compacted = oldest.object.resource_version;
            }
        }
    }
}
