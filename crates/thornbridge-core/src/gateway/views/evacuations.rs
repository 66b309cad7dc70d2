//! The zones whose servers are to get nothing, as of a revision of the store.
//!
//! There are a few at most, so that they are always told whole; whoever knows them as of a newer
//! revision is right.

use std::collections::BTreeSet;
use thornbridge_proto::ZoneName;
use thornbridge_proto::peer::view::{EvacuatedZones, StoreRevision};

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
        let change = |zone: &ZoneName, evacuated| {
            let zone = zone.clone();
            EvacuationChange { zone, evacuated }
        };
        let ordered = zones.difference(&self.zones).map(|zone| change(zone, true));
        let over = self.zones.difference(&zones);
        let over = over.map(|zone| change(zone, false));
        let changes = ordered.chain(over).collect();
        self.at = Some(at);
        self.zones = zones;
        changes
    }

    /// Takes orders and their ends, in the order of the store, up to a revision; gives what changed.
    pub(in crate::gateway) fn take(
        &mut self,
        news: impl Iterator<Item = EvacuationChange>,
        at: StoreRevision,
    ) -> Vec<EvacuationChange> {
        let mut zones = self.zones.clone();
        for change in news {
            match change.evacuated {
                true => zones.insert(change.zone),
                false => zones.remove(&change.zone),
            };
        }
        self.replace(zones, at)
    }
}
