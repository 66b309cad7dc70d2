//! Versions that serve where several versions of a service are registered.
//!
//! A version is established once it was the only one registered, or a roll-out to it completed.
//! A node that finds several versions and knows nothing asks its peers, and takes the version of
//! most servers until it knows better.

use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::{ServerVersion, ServiceName};

/// Time for which another version must be the only one registered to become established: the
/// servers of the established one may only be restarting.
const REPLACED_AFTER: Duration = Duration::from_secs(10);
/// Time after which a guess stands if no peer knew better.
const GUESS_STANDS_AFTER: Duration = Duration::from_secs(10);

/// Number of registered servers by version.
pub(in crate::gateway) type VersionCounts = BTreeMap<ServerVersion, usize>;

/// Established version of one service.
#[derive(Clone, Debug)]
struct Entry {
    version: ServerVersion,
    /// Whether the version was seen to serve, here or by a peer; otherwise it is a guess.
    certain: bool,
    /// When the version was first taken to serve.
    since: Timestamp,
    /// Another version that is the only one registered, and since when.
    sole: Option<(ServerVersion, Timestamp)>,
}

/// Established versions by service.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Established {
    services: BTreeMap<ServiceName, Entry>,
}

impl Established {
    /// Version known to serve.
    pub(in crate::gateway) fn certain(&self, service: &ServiceName) -> Option<&ServerVersion> {
        let entry = self.services.get(service)?;
        entry.certain.then_some(&entry.version)
    }

    /// Records that a version serves.
    pub(in crate::gateway) fn set(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        version: &ServerVersion,
    ) {
        self.insert(now, service, version, true);
    }

    fn insert(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        version: &ServerVersion,
        certain: bool,
    ) {
        let entry = Entry {
            version: version.clone(),
            certain,
            since: now,
            sole: None,
        };
        self.services.insert(service.clone(), entry);
    }

    /// Whether the version that serves is only a guess, about which peers are asked.
    pub(in crate::gateway) fn is_guess(&self, service: &ServiceName) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|entry| !entry.certain)
    }

    /// Keeps a guess for good that no peer corrected in time.
    pub(in crate::gateway) fn confirm_guess(&mut self, now: Timestamp, service: &ServiceName) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.certain |= now.since(entry.since) >= GUESS_STANDS_AFTER;
        }
    }

    /// Records what a peer knows, unless this node knows better.
    pub(in crate::gateway) fn told(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        version: &ServerVersion,
    ) -> bool {
        let news = self.certain(service).is_none();
        if news {
            self.set(now, service, version);
        }
        news
    }

    /// Records the only registered version of a service.
    pub(in crate::gateway) fn observe_sole(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        version: &ServerVersion,
    ) {
        let Some(entry) = self.services.get_mut(service).filter(|entry| entry.certain) else {
            self.set(now, service, version);
            return;
        };
        if entry.version == *version {
            entry.sole = None;
            return;
        }
        match &entry.sole {
            Some((sole, since)) if sole == version => {
                if now.since(*since) >= REPLACED_AFTER {
                    self.set(now, service, version);
                }
            }
            _ => entry.sole = Some((version.clone(), now)),
        }
    }

    /// Whether another version is the only one registered and may become established.
    pub(in crate::gateway) fn is_being_replaced(&self, service: &ServiceName) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|entry| entry.sole.is_some())
    }

    /// Notes that several versions or none are registered.
    pub(in crate::gateway) fn observe_no_sole(&mut self, service: &ServiceName) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.sole = None;
        }
    }

    /// Records a guess, unless the version that serves is known.
    pub(in crate::gateway) fn guess(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        version: &ServerVersion,
    ) {
        let known = self.services.get(service);
        if known.is_none_or(|entry| !entry.certain && entry.version != *version) {
            self.insert(now, service, version, false);
        }
    }

    /// Version that serves, as known or else that of most servers. `excluded`: version that does not,
    /// since it is on trial or rejected.
    pub(in crate::gateway) fn version(
        &self,
        service: &ServiceName,
        counts: &VersionCounts,
        excluded: Option<&ServerVersion>,
    ) -> Option<ServerVersion> {
        let known = self.services.get(service).map(|entry| &entry.version);
        if let Some(known) = known.filter(|version| Some(*version) != excluded) {
            return Some(known.clone());
        }
        let others = counts
            .iter()
            .filter(|(version, _)| Some(*version) != excluded);
        // The first of several with most servers, so that all nodes take the same.
        let (most, _) = others.rev().max_by_key(|(_, servers)| **servers)?;
        Some(most.clone())
    }
}
