//! Evacuated zones, whose servers receive no requests, as of a revision of the store.
//!
//! The set is small and always transferred whole; the newer revision wins. A store restored from a
//! backup may lack an evacuation that it had accepted: the evacuation stays in effect for a grace
//! period, in which the operator can write it again.

use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::time::Duration;
use thornbridge_proto::ZoneName;
use thornbridge_proto::peer::view::{EvacuatedZones, StoreRevision};

/// Time for which an evacuation missing from a restored store stays in effect.
const CARRY_OVER_PERIOD: Duration = Duration::from_secs(30);

/// Start or end of a zone's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct EvacuationChange {
    pub(in crate::gateway) zone: ZoneName,
    /// Whether the zone is evacuated now.
    pub(in crate::gateway) evacuated: bool,
}

/// Evacuated zones in effect.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Evacuations {
    revision: Option<StoreRevision>,
    zones: BTreeSet<ZoneName>,
    /// Zones evacuated in an earlier era that the store does not list in this one.
    carried_over: BTreeSet<ZoneName>,
    /// Start of the carry-over period; `None` until the first expiry check.
    carried_over_since: Option<Timestamp>,
}

impl Evacuations {
    /// Revision of the last list or change applied; `None` before the first list.
    ///
    /// An empty watch does not advance the revision, so that nodes do not gossip about it.
    pub(in crate::gateway) fn revision(&self) -> Option<StoreRevision> {
        self.revision
    }

    /// The whole set if newer than the revision of a peer.
    pub(in crate::gateway) fn newer_than(
        &self,
        peer_revision: StoreRevision,
    ) -> Option<EvacuatedZones> {
        let at = self.revision.filter(|at| *at > peer_revision)?;
        let zones = self.zones.clone();
        Some(EvacuatedZones { at, zones })
    }

    /// Replaces the set by a list as of a revision; returns the zones whose evacuation changed.
    pub(in crate::gateway) fn replace(
        &mut self,
        zones: BTreeSet<ZoneName>,
        at: StoreRevision,
    ) -> Vec<EvacuationChange> {
        if self.revision.is_some_and(|own| own >= at) {
            return Vec::new();
        }
        let before = self.effective_zones();
        if self.revision.is_some_and(|own| own.era < at.era) {
            self.carried_over.clone_from(&before);
            self.carried_over_since = None;
        }
        self.carried_over.retain(|zone| !zones.contains(zone));
        self.revision = Some(at);
        self.zones = zones;
        self.changes_since(&before)
    }

    /// Applies changes up to a revision, oldest first; returns the zones whose evacuation changed.
    pub(in crate::gateway) fn apply(
        &mut self,
        changes: impl Iterator<Item = EvacuationChange>,
        at: StoreRevision,
    ) -> Vec<EvacuationChange> {
        if self.revision.is_some_and(|own| own >= at) {
            return Vec::new();
        }
        let before = self.effective_zones();
        for EvacuationChange { zone, evacuated } in changes {
            self.carried_over.remove(&zone);
            match evacuated {
                true => self.zones.insert(zone),
                false => self.zones.remove(&zone),
            };
        }
        self.revision = Some(at);
        self.changes_since(&before)
    }

    /// Ends carried-over evacuations after the grace period; returns the zones that changed.
    pub(in crate::gateway) fn expire_carried_over(
        &mut self,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        if self.carried_over.is_empty() {
            return Vec::new();
        }
        let since = *self.carried_over_since.get_or_insert(now);
        if now.since(since) < CARRY_OVER_PERIOD {
            return Vec::new();
        }
        let before = self.effective_zones();
        self.carried_over.clear();
        self.changes_since(&before)
    }

    /// Listed and carried-over zones.
    fn effective_zones(&self) -> BTreeSet<ZoneName> {
        self.zones.union(&self.carried_over).cloned().collect()
    }

    fn changes_since(&self, before: &BTreeSet<ZoneName>) -> Vec<EvacuationChange> {
        let effective_zones = self.effective_zones();
        let change = |zone: &ZoneName, evacuated| {
            let zone = zone.clone();
            EvacuationChange { zone, evacuated }
        };
        let started = effective_zones
            .difference(before)
            .map(|zone| change(zone, true));
        let ended = before.difference(&effective_zones);
        let ended = ended.map(|zone| change(zone, false));
        started.chain(ended).collect()
    }
}
