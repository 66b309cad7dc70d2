//! The zones whose servers are to get nothing, as of a revision of the store.
//!
//! There are a few at most, so that they are always told whole; whoever knows them as of a newer
//! revision is right. A store that came back from a copy may lack an order that it had taken: that
//! one still binds for a while, within which the operator writes it again.

use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;
use thornbridge_proto::ZoneName;
use thornbridge_proto::peer::view::{EvacuatedZones, StoreRevision};

/// Time for which an order binds that the store lacks since it came back from a copy.
const CARRIED_OVER: Duration = Duration::from_secs(30);

/// An order that was taken into the view, or one that was taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct EvacuationChange {
    pub(in crate::gateway) zone: ZoneName,
    /// Whether its servers are to get nothing now.
    pub(in crate::gateway) evacuated: bool,
}

/// The evacuated zones.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Evacuations {
    at: Option<StoreRevision>,
    zones: BTreeSet<ZoneName>,
    /// Zones of an era that is over, which the store does not name in this one.
    carried: BTreeSet<ZoneName>,
    /// When these were first looked at.
    carried_since: Option<Timestamp>,
}

impl Evacuations {
    /// Revision as of which the zones are known; `None` where they are not. A watch that brings nothing
    /// leaves it, so that nodes do not tell each other that nothing changed.
    pub(in crate::gateway) fn at(&self) -> Option<StoreRevision> {
        self.at
    }

    /// All of it, for a peer that knows it as of an older revision.
    pub(in crate::gateway) fn newer_than(&self, known: StoreRevision) -> Option<EvacuatedZones> {
        let at = self.at.filter(|at| *at > known)?;
        let zones = self.zones.clone();
        Some(EvacuatedZones { at, zones })
    }

    /// Takes all zones as of a revision; gives what changed.
    pub(in crate::gateway) fn replace(
        &mut self,
        zones: BTreeSet<ZoneName>,
        at: StoreRevision,
    ) -> Vec<EvacuationChange> {
        if self.at.is_some_and(|known| known >= at) {
            return Vec::new();
        }
        let before = self.binding();
        if self.at.is_some_and(|known| known.era < at.era) {
            self.carried.clone_from(&before);
            self.carried_since = None;
        }
        self.carried.retain(|zone| !zones.contains(zone));
        self.at = Some(at);
        self.zones = zones;
        self.changes_since(&before)
    }

    /// Takes orders and their ends, in the order of the store, up to a revision; gives what changed.
    pub(in crate::gateway) fn take(
        &mut self,
        news: impl Iterator<Item = EvacuationChange>,
        at: StoreRevision,
    ) -> Vec<EvacuationChange> {
        if self.at.is_some_and(|known| known >= at) {
            return Vec::new();
        }
        let before = self.binding();
        for EvacuationChange { zone, evacuated } in news {
            self.carried.remove(&zone);
            match evacuated {
                true => self.zones.insert(zone),
                false => self.zones.remove(&zone),
            };
        }
        self.at = Some(at);
        self.changes_since(&before)
    }

    /// Gives up orders that the store has lacked for long enough; gives what changed.
    pub(in crate::gateway) fn forget_carried(&mut self, now: Timestamp) -> Vec<EvacuationChange> {
        if self.carried.is_empty() {
            return Vec::new();
        }
        let since = *self.carried_since.get_or_insert(now);
        if now.since(since) < CARRIED_OVER {
            return Vec::new();
        }
        let before = self.binding();
        self.carried.clear();
        self.changes_since(&before)
    }

    /// Zones whose servers are to get nothing now.
    fn binding(&self) -> BTreeSet<ZoneName> {
        self.zones.union(&self.carried).cloned().collect()
    }

    fn changes_since(&self, before: &BTreeSet<ZoneName>) -> Vec<EvacuationChange> {
        let binding = self.binding();
        let change = |zone: &ZoneName, evacuated| {
            let zone = zone.clone();
            EvacuationChange { zone, evacuated }
        };
        let ordered = binding.difference(before).map(|zone| change(zone, true));
        let over = before.difference(&binding);
        let over = over.map(|zone| change(zone, false));
        ordered.chain(over).collect()
    }
}
