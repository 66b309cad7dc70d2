//! The registry of instances as it is known here, at a revision.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::{Instance, RegistryDelta, StoreRevision};

/// A change that was taken into the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum RegistryChange {
    /// An instance is there, or its entry changed.
    Present(StoreRevision, Instance),
    /// An instance's entry is gone.
    Departed(StoreRevision, BackEndId),
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Revision of the entry that is gone, or of its deletion.
    revision: StoreRevision,
    /// Revision of the store at which that was known.
    known_at: StoreRevision,
    learnt: Timestamp,
}

/// The registry.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Registry {
    upto: Option<StoreRevision>,
    present: BTreeMap<BackEndId, (StoreRevision, Instance)>,
    departed: BTreeMap<BackEndId, Departure>,
    /// Departures known at or before this revision may be forgotten.
    forgotten_upto: StoreRevision,
}

impl Registry {
    /// Revision up to which it is known; `None` where it is not.
    pub(in crate::gateway) fn upto(&self) -> Option<StoreRevision> {
        self.upto
    }

    /// Takes an entry; gives the change it makes.
    pub(in crate::gateway) fn present(
        &mut self,
        revision: StoreRevision,
        instance: Instance,
    ) -> Option<RegistryChange> {
        let id = instance.id.clone();
        let known = self.present.get(&id).map(|(revision, _)| *revision);
        let departed = self.departed.get(&id).map(|departure| departure.revision);
        if known >= Some(revision) || departed >= Some(revision) {
            return None;
        }
        self.departed.remove(&id);
        self.present.insert(id, (revision, instance.clone()));
        Some(RegistryChange::Present(revision, instance))
    }

    /// Takes the end of an entry.
    pub(in crate::gateway) fn departed(
        &mut self,
        now: Timestamp,
        revision: StoreRevision,
        known_at: StoreRevision,
        id: &BackEndId,
    ) -> Option<RegistryChange> {
        let present = self.present.get(id).map(|(revision, _)| *revision);
        let known = self.departed.get(id).map(|departure| departure.revision);
        if present > Some(revision) || known >= Some(revision) {
            return None;
        }
        // Also of one that was never seen here: a peer that saw it may ask.
        let departure = Departure {
            revision,
            known_at,
            learnt: now,
        };
        self.departed.insert(id.clone(), departure);
        self.present.remove(id)?;
        Some(RegistryChange::Departed(revision, id.clone()))
    }

    /// Everything up to a revision is known.
    pub(in crate::gateway) fn known_upto(&mut self, revision: StoreRevision) {
        self.upto = Some(self.upto.map_or(revision, |known| known.max(revision)));
    }

    /// Takes the whole registry as of a revision: what is not in it, and is not newer, is gone.
    pub(in crate::gateway) fn replace(
        &mut self,
        now: Timestamp,
        entries: Vec<(StoreRevision, Instance)>,
        at: StoreRevision,
    ) -> Vec<RegistryChange> {
        if self.upto.is_some_and(|upto| upto > at) {
            // Older than what is known: only additions that are news are taken.
            return entries
                .into_iter()
                .filter_map(|(revision, instance)| self.present(revision, instance))
                .collect();
        }
        let listed: BTreeSet<BackEndId> = entries
            .iter()
            .map(|(_, instance)| instance.id.clone())
            .collect();
        let gone: Vec<BackEndId> = self
            .present
            .iter()
            .filter(|(id, (revision, _))| *revision <= at && !listed.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes: Vec<RegistryChange> = gone
            .iter()
            .filter_map(|id| self.departed(now, at, at, id))
            .collect();
        let present = entries
            .into_iter()
            .filter_map(|(revision, instance)| self.present(revision, instance));
        changes.extend(present);
        self.known_upto(at);
        // What came and went without being seen here is not known: a peer that was behind this
        // list needs the whole of it too.
        self.forgotten_upto = self.forgotten_upto.max(at);
        changes
    }

    /// What a peer lacks that knows everything up to `since`; `None` where that is nothing.
    pub(in crate::gateway) fn delta(&self, since: StoreRevision) -> Option<RegistryDelta> {
        let upto = self.upto?;
        if since >= upto {
            return None;
        }
        let whole = since < self.forgotten_upto || since == StoreRevision::default();
        let floor = if whole {
            StoreRevision::default()
        } else {
            since
        };
        let present = self.present.values();
        let departed = self.departed.iter();
        Some(RegistryDelta {
            since: (!whole).then_some(since),
            upto,
            present: present
                .filter(|(revision, _)| *revision > floor)
                .cloned()
                .collect(),
            departed: departed
                .filter(|(_, departure)| !whole && departure.known_at > floor)
                .map(|(id, departure)| (departure.revision, id.clone()))
                .collect(),
        })
    }

    /// Takes what a peer sent.
    pub(in crate::gateway) fn take_delta(
        &mut self,
        now: Timestamp,
        delta: RegistryDelta,
    ) -> Vec<RegistryChange> {
        let Some(since) = delta.since else {
            return self.replace(now, delta.present, delta.upto);
        };
        if self.upto.is_none_or(|upto| upto < since) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (revision, id) in &delta.departed {
            changes.extend(self.departed(now, *revision, delta.upto, id));
        }
        for (revision, instance) in delta.present {
            changes.extend(self.present(revision, instance));
        }
        self.known_upto(delta.upto);
        changes
    }

    /// Forgets departures that are older than `kept`.
    pub(in crate::gateway) fn forget(&mut self, now: Timestamp, kept: Duration) {
        let forgotten = &mut self.forgotten_upto;
        self.departed.retain(|_, departure| {
            let keep = now.since(departure.learnt) <= kept;
            if !keep {
                *forgotten = (*forgotten).max(departure.known_at);
            }
            keep
        });
    }

    /// Entries of the instances that are there.
    #[cfg(test)]
    pub(in crate::gateway) fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.present.values().map(|(_, instance)| instance)
    }

    /// Number of entries.
    pub(in crate::gateway) fn len(&self) -> usize {
        self.present.len()
    }
}
