//! Model of the platform: the object store with versions and watches, and the list of machines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_core::{Timestamp, WatchId};
use thornbridge_proto::platform::{
    Machine, ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, Precondition,
    ResourceVersion, StoredObject, WatchChange, WatchEnd,
};

/// A client counts as a reader for this long after a read.
const READER_PERIOD: Duration = Duration::from_secs(1);
/// The list of machines is this old.
pub const MACHINE_LIST_PERIOD: Duration = Duration::from_secs(30);

/// Who asks the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlatformClient {
    /// A run of a node, by position.
    Node {
        /// Position.
        node: usize,
        /// Run.
        run: u32,
    },
    /// An operator or automation, by position.
    Operator(usize),
}

/// The store.
#[derive(Debug)]
pub struct PlatformModel {
    objects: BTreeMap<(ObjectKind, String), StoredObject>,
    changes: Vec<WatchChange>,
    compacted: ResourceVersion,
    version: ResourceVersion,
    watches: BTreeMap<(PlatformClient, WatchId), ObjectKind>,
    readers: BTreeMap<PlatformClient, Timestamp>,
    reader_limit: usize,
    /// Machines as last listed.
    pub machines: Vec<Machine>,
}

impl PlatformModel {
    /// An empty store that bears so many readers.
    pub fn new(reader_limit: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            changes: Vec::new(),
            compacted: ResourceVersion(0),
            version: ResourceVersion(0),
            watches: BTreeMap::new(),
            readers: BTreeMap::new(),
            reader_limit,
            machines: Vec::new(),
        }
    }

    /// The object of a name.
    pub fn object(&self, kind: ObjectKind, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind, name.to_owned()))
    }

    /// Carries out a request. A write that takes effect is also given as a change.
    pub fn apply(
        &mut self,
        now: Timestamp,
        client: PlatformClient,
        request: PlatformRequest,
    ) -> (
        Result<PlatformResponse, PlatformFailure>,
        Option<WatchChange>,
    ) {
        if self.is_one_reader_too_many(now, client, &request) {
            return (Err(PlatformFailure::TooManyReaders), None);
        }
        let response = match request {
            PlatformRequest::Get { kind, name } => {
                PlatformResponse::Object(self.object(kind, &name).cloned())
            }
            PlatformRequest::List { kind } => self.list(kind),
            PlatformRequest::ListMachines => PlatformResponse::Machines(self.machines.clone()),
            PlatformRequest::Put {
                kind,
                name,
                body,
                precondition,
            } => return self.put(kind, name, body, precondition),
        };
        (Ok(response), None)
    }

    fn is_one_reader_too_many(
        &mut self,
        now: Timestamp,
        client: PlatformClient,
        request: &PlatformRequest,
    ) -> bool {
        let reads_watched = matches!(
            request,
            PlatformRequest::Get {
                kind: ObjectKind::Rollout | ObjectKind::Bundle,
                ..
            } | PlatformRequest::List { .. }
        );
        if !reads_watched || matches!(client, PlatformClient::Operator(_)) {
            return false;
        }
        self.readers
            .retain(|_, last| now.since(*last) < READER_PERIOD);
        let refused = self.readers_with(client) > self.reader_limit;
        if !refused {
            self.readers.insert(client, now);
        }
        refused
    }

    fn readers_with(&self, client: PlatformClient) -> usize {
        let mut readers: BTreeSet<PlatformClient> = self.readers.keys().copied().collect();
        readers.extend(self.watches.keys().map(|(client, _)| *client));
        readers.insert(client);
        readers.len()
    }

    fn list(&self, kind: ObjectKind) -> PlatformResponse {
        let objects = self.objects.values();
        PlatformResponse::Objects {
            objects: objects
                .filter(|object| object.kind == kind)
                .cloned()
                .collect(),
            version: self.version,
        }
    }

    fn put(
        &mut self,
        kind: ObjectKind,
        name: String,
        body: String,
        precondition: Precondition,
    ) -> (
        Result<PlatformResponse, PlatformFailure>,
        Option<WatchChange>,
    ) {
        let current = self.objects.get(&(kind, name.clone()));
        let holds = match (precondition, current) {
            (Precondition::Absent, None) => true,
            (Precondition::Version(wanted), Some(object)) => object.resource_version == wanted,
            _ => false,
        };
        if !holds {
            let current = current.cloned();
            return (Err(PlatformFailure::Conflict { current }), None);
        }
        self.version = ResourceVersion(self.version.0 + 1);
        let object = StoredObject {
            kind,
            name: name.clone(),
            resource_version: self.version,
            body,
        };
        self.objects.insert((kind, name), object.clone());
        let change = WatchChange {
            object,
            deleted: false,
        };
        self.changes.push(change.clone());
        let version = self.version;
        (Ok(PlatformResponse::Written { version }), Some(change))
    }

    /// Opens a watch; gives the changes it has missed.
    pub fn watch(
        &mut self,
        client: PlatformClient,
        watch: WatchId,
        kind: ObjectKind,
        from: ResourceVersion,
    ) -> Result<Vec<WatchChange>, WatchEnd> {
        if from < self.compacted {
            return Err(WatchEnd::Compacted);
        }
        if self.readers_with(client) > self.reader_limit {
            return Err(WatchEnd::TooManyReaders);
        }
        self.watches.insert((client, watch), kind);
        let missed = self
            .changes
            .iter()
            .filter(|change| change.object.kind == kind && change.object.resource_version > from);
        Ok(missed.cloned().collect())
    }

    /// Ends a watch.
    pub fn stop_watch(&mut self, client: PlatformClient, watch: WatchId) {
        self.watches.remove(&(client, watch));
    }

    /// Who watches a kind.
    pub fn watchers(&self, kind: ObjectKind) -> Vec<(PlatformClient, WatchId)> {
        let watches = self.watches.iter().filter(|(_, watched)| **watched == kind);
        watches.map(|(key, _)| *key).collect()
    }

    /// Watches of one client, which end with it.
    pub fn forget_client(&mut self, client: PlatformClient) {
        self.watches.retain(|(watcher, _), _| *watcher != client);
        self.readers.remove(&client);
    }

    /// Ends all watches.
    pub fn end_all_watches(&mut self) -> Vec<(PlatformClient, WatchId)> {
        let ended = std::mem::take(&mut self.watches);
        ended.into_keys().collect()
    }

    /// Forgets the history of changes: older watches must list again.
    pub fn compact(&mut self) {
        self.compacted = self.version;
        self.changes.clear();
    }
}
