//! Replica of the instance registry, complete up to a revision of the store.
//!
//! A new era of the store supersedes all earlier ones, except that a restored entry does not undo
//! a drain, removal or restart that the store had acknowledged after the backup was made.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_proto::peer::view::{Instance, InstanceState, RegistryDelta, StoreRevision};
use thornbridge_proto::{BackEndId, ServerVersion};

/// Change applied to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum RegistryChange {
    /// Entry added or changed.
    Upserted(StoreRevision, Instance),
    /// Entry removed.
    Removed(StoreRevision, BackEndId),
}

/// Record of a removed entry, kept so that deltas to peers contain the removal.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// Revision of the removal, or of the removed entry.
    revision: StoreRevision,
    /// Revision of the store at which the removal was observed.
    observed_at: StoreRevision,
    /// Last entry seen before the removal, if any.
    entry: Option<LastEntry>,
    recorded_at: Timestamp,
}

/// Revision and run of an instance's last entry before its removal.
#[derive(Clone, Copy, Debug)]
struct LastEntry {
    revision: StoreRevision,
    born_ms: u64,
}

/// Registry entries and tombstones.
#[derive(Debug, Default)]
#[cfg_attr(test, derive(Clone))]
pub(in crate::gateway) struct Registry {
    revision: Option<StoreRevision>,
    entries: BTreeMap<BackEndId, (StoreRevision, Instance)>,
    tombstones: BTreeMap<BackEndId, Tombstone>,
    /// Oldest revision from which a delta contains all removals.
    min_delta_base: StoreRevision,
    /// Held instances and the start of the hold; `None` until the first release check.
    held: BTreeMap<BackEndId, Option<Timestamp>>,
}

/// Time for which a restored entry is held; exceeds the time to live of an entry in the store.
const HOLD_PERIOD: Duration = Duration::from_secs(15);

impl Registry {
    /// Revision up to which the registry is complete; `None` before the first list.
    pub(in crate::gateway) fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// Whether a revision belongs to an earlier era than the registry.
    fn is_from_earlier_era(&self, revision: StoreRevision) -> bool {
        self.revision.is_some_and(|own| revision.era < own.era)
    }

    /// Adds or updates an entry; `None` if the registry already has a newer state.
    pub(in crate::gateway) fn upsert(
        &mut self,
        revision: StoreRevision,
        instance: Instance,
    ) -> Option<RegistryChange> {
        if self.is_from_earlier_era(revision) {
            return None;
        }
        let id = instance.id.clone();
        let known = self.entries.get(&id).map(|(revision, _)| *revision);
        let removed = self.tombstones.get(&id).map(|tombstone| tombstone.revision);
        if known >= Some(revision) || removed >= Some(revision) {
            return self.add_version(revision, instance);
        }
        self.tombstones.remove(&id);
        match instance.state {
            InstanceState::Held => self.held.insert(id.clone(), None),
            InstanceState::Ready | InstanceState::Draining => self.held.remove(&id),
        };
        self.entries.insert(id, (revision, instance.clone()));
        Some(RegistryChange::Upserted(revision, instance))
    }

    /// Adds the version to the same entry of an earlier build, which leaves versions out.
    fn add_version(
        &mut self,
        revision: StoreRevision,
        instance: Instance,
    ) -> Option<RegistryChange> {
        let (known, entry) = self.entries.get_mut(&instance.id)?;
        let unknown = ServerVersion::default();
        if *known != revision || entry.version != unknown || instance.version == unknown {
            return None;
        }
        entry.version = instance.version;
        Some(RegistryChange::Upserted(revision, entry.clone()))
    }

    /// Removes an entry. `observed_at`: revision of the store at which the removal was observed.
    pub(in crate::gateway) fn remove(
        &mut self,
        now: Timestamp,
        revision: StoreRevision,
        observed_at: StoreRevision,
        id: &BackEndId,
    ) -> Option<RegistryChange> {
        let known = self.entries.get(id).map(|(revision, _)| *revision);
        let removed = self.tombstones.get(id).map(|tombstone| tombstone.revision);
        if self.is_from_earlier_era(revision) || known > Some(revision) || removed >= Some(revision)
        {
            return None;
        }
        // Unknown instances get a tombstone as well: a peer that pulls may have the entry.
        let tombstone = Tombstone {
            revision,
            observed_at,
            entry: self.last_entry(id),
            recorded_at: now,
        };
        self.tombstones.insert(id.clone(), tombstone);
        self.held.remove(id);
        self.entries.remove(id)?;
        Some(RegistryChange::Removed(revision, id.clone()))
    }

    /// Last entry of an instance, from its tombstone if it was removed.
    fn last_entry(&self, id: &BackEndId) -> Option<LastEntry> {
        match self.entries.get(id) {
            Some((revision, instance)) => Some(LastEntry {
                revision: *revision,
                born_ms: instance.born_ms,
            }),
            None => self.tombstones.get(id)?.entry,
        }
    }

    /// Marks the registry complete up to a revision.
    pub(in crate::gateway) fn advance_to(&mut self, revision: StoreRevision) {
        self.revision = Some(self.revision.map_or(revision, |known| known.max(revision)));
    }

    /// Replaces the registry by a list as of a revision; removes older entries that are not listed.
    pub(in crate::gateway) fn replace(
        &mut self,
        now: Timestamp,
        entries: Vec<(StoreRevision, Instance)>,
        at: StoreRevision,
    ) -> Vec<RegistryChange> {
        if self.is_from_earlier_era(at) {
            return Vec::new();
        }
        if self.revision.is_some_and(|own| own > at) {
            // The list is older than the registry: only unknown and newer entries apply.
            return entries
                .into_iter()
                .filter_map(|(revision, instance)| self.upsert(revision, instance))
                .collect();
        }
        let entries = match self.revision {
            Some(own) if own.era < at.era => self.merge_restored(entries),
            _ => entries,
        };
        let listed_ids: BTreeSet<BackEndId> = entries
            .iter()
            .map(|(_, instance)| instance.id.clone())
            .collect();
        let unlisted: Vec<BackEndId> = self
            .entries
            .iter()
            .filter(|(id, (revision, _))| *revision <= at && !listed_ids.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes: Vec<RegistryChange> = unlisted
            .iter()
            .filter_map(|id| self.remove(now, at, at, id))
            .collect();
        let added = entries
            .into_iter()
            .filter_map(|(revision, instance)| self.upsert(revision, instance));
        changes.extend(added);
        self.advance_to(at);
        // A list omits entries that were added and removed since the last one, so that no complete
        // delta across it exists.
        self.min_delta_base = self.min_delta_base.max(at);
        changes
    }

    /// Merges the entries of a restored store with the state known from the previous era.
    ///
    /// Draining and restarted instances keep their newer state. A removed instance is held until its
    /// entry changes or outlives the hold period, so that it gets no requests.
    fn merge_restored(
        &self,
        entries: Vec<(StoreRevision, Instance)>,
    ) -> Vec<(StoreRevision, Instance)> {
        let entries = entries.into_iter();
        entries
            .map(|(revision, instance)| {
                let instance = match self.was_removed(revision, &instance) {
                    true => Instance {
                        state: InstanceState::Held,
                        ..instance
                    },
                    false => self.latest_state(instance),
                };
                (revision, instance)
            })
            .collect()
    }

    /// Whether a restored entry was written before the removal of its instance.
    fn was_removed(&self, revision: StoreRevision, instance: &Instance) -> bool {
        let tombstone = self.tombstones.get(&instance.id);
        let Some(last) = tombstone.and_then(|tombstone| tombstone.entry) else {
            return false;
        };
        let later_run = last.born_ms > 0 && instance.born_ms > last.born_ms;
        revision.number <= last.revision.number && !later_run
    }

    /// The listed entry, or the known one if that is of a later run or state of the instance.
    fn latest_state(&self, listed: Instance) -> Instance {
        let Some((_, known)) = self.entries.get(&listed.id) else {
            return listed;
        };
        let runs_known = listed.born_ms > 0 && known.born_ms > 0;
        if runs_known && known.born_ms != listed.born_ms {
            let newest = [&listed, known].into_iter().max_by_key(|run| run.born_ms);
            return newest.cloned().unwrap_or(listed);
        }
        match known.state {
            InstanceState::Draining | InstanceState::Held => known.clone(),
            InstanceState::Ready => listed,
        }
    }

    /// Changes after `since` for a peer; `None` if there are none.
    pub(in crate::gateway) fn delta(&self, since: StoreRevision) -> Option<RegistryDelta> {
        let upto = self.revision?;
        if since >= upto {
            return None;
        }
        let is_full = since < self.min_delta_base
            || since.era < upto.era
            || since == StoreRevision::default();
        let base = if is_full {
            StoreRevision::default()
        } else {
            since
        };
        let present = self.entries.values();
        let departed = self.tombstones.iter();
        Some(RegistryDelta {
            since: (!is_full).then_some(since),
            upto,
            present: present
                .filter(|(revision, _)| *revision > base)
                .cloned()
                .collect(),
            departed: departed
                .filter(|(_, tombstone)| !is_full && tombstone.observed_at > base)
                .map(|(id, tombstone)| (tombstone.revision, id.clone()))
                .collect(),
        })
    }

    /// Applies a delta of a peer. Ignores a delta that starts after the registry's own revision.
    pub(in crate::gateway) fn apply_delta(
        &mut self,
        now: Timestamp,
        delta: RegistryDelta,
    ) -> Vec<RegistryChange> {
        let Some(since) = delta.since else {
            return self.replace(now, delta.present, delta.upto);
        };
        let has_gap = self.revision.is_none_or(|own| own < since);
        if has_gap || self.is_from_earlier_era(delta.upto) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (revision, id) in &delta.departed {
            changes.extend(self.remove(now, *revision, delta.upto, id));
        }
        for (revision, instance) in delta.present {
            changes.extend(self.upsert(revision, instance));
        }
        self.advance_to(delta.upto);
        changes
    }

    /// Marks instances ready whose hold period is over; returns their changes.
    pub(in crate::gateway) fn release_held(&mut self, now: Timestamp) -> Vec<RegistryChange> {
        let since_of = |since: &mut Option<Timestamp>| *since.get_or_insert(now);
        let held = self.held.iter_mut();
        let expired = held.filter_map(|(id, since)| {
            let is_expired = now.since(since_of(since)) >= HOLD_PERIOD;
            is_expired.then(|| id.clone())
        });
        let expired: Vec<BackEndId> = expired.collect();
        let mut changes = Vec::new();
        for id in expired {
            self.held.remove(&id);
            if let Some((revision, instance)) = self.entries.get_mut(&id) {
                instance.state = InstanceState::Ready;
                changes.push(RegistryChange::Upserted(*revision, instance.clone()));
            }
        }
        changes
    }

    /// Drops tombstones older than `retention`.
    pub(in crate::gateway) fn expire_tombstones(&mut self, now: Timestamp, retention: Duration) {
        let min_delta_base = &mut self.min_delta_base;
        self.tombstones.retain(|_, tombstone| {
            let keep = now.since(tombstone.recorded_at) <= retention;
            if !keep {
                *min_delta_base = (*min_delta_base).max(tombstone.observed_at);
            }
            keep
        });
    }

    /// All entries.
    #[cfg(test)]
    pub(in crate::gateway) fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.entries.values().map(|(_, instance)| instance)
    }

    /// Number of entries.
    pub(in crate::gateway) fn len(&self) -> usize {
        self.entries.len()
    }
}
