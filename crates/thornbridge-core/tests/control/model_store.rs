//! Model of the platform's store: compare-and-swap on objects with one sequence of versions.

use std::collections::BTreeMap;
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, Precondition, ResourceVersion,
    StoredObject,
};

/// Stored objects, and all writes that took effect, in order.
#[derive(Clone, Debug, Default)]
pub struct ModelStore {
    objects: BTreeMap<(ObjectKind, String), StoredObject>,
    pub writes: Vec<StoredObject>,
}

impl ModelStore {
    pub fn get(&self, kind: ObjectKind, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind, name.to_owned()))
    }

    pub fn version(&self) -> ResourceVersion {
        ResourceVersion(self.writes.len() as u64)
    }

    pub fn apply(
        &mut self,
        request: &PlatformRequest,
    ) -> Result<PlatformResponse, PlatformFailure> {
        match request {
            PlatformRequest::Get { kind, name } => {
                Ok(PlatformResponse::Object(self.get(*kind, name).cloned()))
            }
            PlatformRequest::List { kind } => Ok(PlatformResponse::Objects {
                objects: self.list(*kind),
                version: self.version(),
            }),
            PlatformRequest::Put {
                kind,
                name,
                body,
                precondition,
            } => self.put(*kind, name, body, *precondition),
            PlatformRequest::ListMachines => Ok(PlatformResponse::Machines(Vec::new())),
        }
    }

    fn list(&self, kind: ObjectKind) -> Vec<StoredObject> {
        let of_kind = self.objects.values().filter(|object| object.kind == kind);
        of_kind.cloned().collect()
    }

    fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        body: &str,
        precondition: Precondition,
    ) -> Result<PlatformResponse, PlatformFailure> {
        let current = self.get(kind, name);
        let is_met = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.resource_version == version)
            }
        };
        if !is_met {
            return Err(PlatformFailure::Conflict {
                current: current.cloned(),
            });
        }
        let version = ResourceVersion(self.writes.len() as u64 + 1);
        let object = StoredObject {
            kind,
            name: name.to_owned(),
            resource_version: version,
            body: body.to_owned(),
        };
        self.writes.push(object.clone());
        self.objects.insert((kind, name.to_owned()), object);
        Ok(PlatformResponse::Written { version })
    }
}
