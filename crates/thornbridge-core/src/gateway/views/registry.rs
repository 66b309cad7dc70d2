//! The registry of instances as it is known here, at a revision.
//!
//! A new era of the store outranks all that was known of the ones before it, but for what was
//! acknowledged of single servers since the copy that it came back from.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::view::{Instance, InstanceState, RegistryDelta, StoreRevision};

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
    /// The entry as it was last known here; `None` where it never was.
    entry: Option<LastEntry>,
    learnt: Timestamp,
}

/// The last entry of an instance before it went away.
#[derive(Clone, Copy, Debug)]
struct LastEntry {
    revision: StoreRevision,
    born_ms: u64,
}

/// The registry.
#[derive(Debug, Default)]
#[cfg_attr(test, derive(Clone))]
pub(in crate::gateway) struct Registry {
    upto: Option<StoreRevision>,
    present: BTreeMap<BackEndId, (StoreRevision, Instance)>,
    departed: BTreeMap<BackEndId, Departure>,
    /// Departures known at or before this revision may be forgotten.
    forgotten_upto: StoreRevision,
    /// Instances that are held, and since when; `None` until that was looked at.
    held: BTreeMap<BackEndId, Option<Timestamp>>,
}

/// Time for which an entry that had gone is held: longer than the store keeps one that its server
/// does not write.
const HELD_FOR: Duration = Duration::from_secs(15);

impl Registry {
    /// Revision up to which it is known; `None` where it is not.
    pub(in crate::gateway) fn upto(&self) -> Option<StoreRevision> {
        self.upto
    }

    /// Whether something is of an era of the store before the one that is known.
    fn is_over(&self, revision: StoreRevision) -> bool {
        self.upto.is_some_and(|upto| revision.era < upto.era)
    }

    /// Takes an entry; gives the change it makes.
    pub(in crate::gateway) fn present(
        &mut self,
        revision: StoreRevision,
        instance: Instance,
    ) -> Option<RegistryChange> {
        if self.is_over(revision) {
            return None;
        }
        let id = instance.id.clone();
        let known = self.present.get(&id).map(|(revision, _)| *revision);
        let departed = self.departed.get(&id).map(|departure| departure.revision);
        if known >= Some(revision) || departed >= Some(revision) {
            return None;
        }
        self.departed.remove(&id);
        match instance.state {
            InstanceState::Held => self.held.insert(id.clone(), None),
            InstanceState::Ready | InstanceState::Draining => self.held.remove(&id),
        };
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
        if self.is_over(revision) || present > Some(revision) || known >= Some(revision) {
            return None;
        }
        // Also of one that was never seen here: a peer that saw it may ask.
        let departure = Departure {
            revision,
            known_at,
            entry: self.last_entry(id),
            learnt: now,
        };
        self.departed.insert(id.clone(), departure);
        self.held.remove(id);
        self.present.remove(id)?;
        Some(RegistryChange::Departed(revision, id.clone()))
    }

    fn last_entry(&self, id: &BackEndId) -> Option<LastEntry> {
        match self.present.get(id) {
            Some((revision, instance)) => Some(LastEntry {
                revision: *revision,
                born_ms: instance.born_ms,
            }),
            None => self.departed.get(id)?.entry,
        }
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
        if self.is_over(at) {
            return Vec::new();
        }
        if self.upto.is_some_and(|upto| upto > at) {
            // Older than what is known: only additions that are news are taken.
            return entries
                .into_iter()
                .filter_map(|(revision, instance)| self.present(revision, instance))
                .collect();
        }
        let entries = match self.upto {
            Some(upto) if upto.era < at.era => self.carry_over(entries),
            _ => entries,
        };
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

    /// The entries of a store that came back from a copy, with what was known of their servers since
    /// that was made: a run that drains or was followed by another still does, and one that had left
    /// takes nothing until its entry changes, or stays for longer than one that nobody writes.
    /// Guards against requests to servers whose leaving the store had acknowledged.
    fn carry_over(
        &self,
        entries: Vec<(StoreRevision, Instance)>,
    ) -> Vec<(StoreRevision, Instance)> {
        let entries = entries.into_iter();
        entries
            .map(|(revision, instance)| {
                let instance = match self.had_left(revision, &instance) {
                    true => Instance {
                        state: InstanceState::Held,
                        ..instance
                    },
                    false => self.newest_state(instance),
                };
                (revision, instance)
            })
            .collect()
    }

    /// Whether an entry is one that its server wrote before it went away, as far as can be told.
    fn had_left(&self, revision: StoreRevision, instance: &Instance) -> bool {
        let departure = self.departed.get(&instance.id);
        let Some(last) = departure.and_then(|departure| departure.entry) else {
            return false;
        };
        let later_run = last.born_ms > 0 && instance.born_ms > last.born_ms;
        revision.number <= last.revision.number && !later_run
    }

    /// An entry of the store, or what is known of a later state of its server.
    fn newest_state(&self, listed: Instance) -> Instance {
        let Some((_, known)) = self.present.get(&listed.id) else {
            return listed;
        };
        let born_known = listed.born_ms > 0 && known.born_ms > 0;
        if born_known && known.born_ms != listed.born_ms {
            let newest = [&listed, known].into_iter().max_by_key(|run| run.born_ms);
            return newest.cloned().unwrap_or(listed);
        }
        match known.state {
            InstanceState::Draining | InstanceState::Held => known.clone(),
            InstanceState::Ready => listed,
        }
    }

    /// What a peer lacks that knows everything up to `since`; `None` where that is nothing.
    pub(in crate::gateway) fn delta(&self, since: StoreRevision) -> Option<RegistryDelta> {
        let upto = self.upto?;
        if since >= upto {
            return None;
        }
        let whole = since < self.forgotten_upto
            || since.era < upto.era
            || since == StoreRevision::default();
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
        let unknown = self.upto.is_none_or(|upto| upto < since);
        if unknown || self.is_over(delta.upto) {
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

    /// Lets go of instances whose entries stayed for long enough; gives these.
    pub(in crate::gateway) fn release_held(&mut self, now: Timestamp) -> Vec<RegistryChange> {
        let since_of = |since: &mut Option<Timestamp>| *since.get_or_insert(now);
        let held = self.held.iter_mut();
        let over = held.filter_map(|(id, since)| {
            let stayed = now.since(since_of(since)) >= HELD_FOR;
            stayed.then(|| id.clone())
        });
        let over: Vec<BackEndId> = over.collect();
        let mut changes = Vec::new();
        for id in over {
            self.held.remove(&id);
            if let Some((revision, instance)) = self.present.get_mut(&id) {
                instance.state = InstanceState::Ready;
                changes.push(RegistryChange::Present(*revision, instance.clone()));
            }
        }
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
