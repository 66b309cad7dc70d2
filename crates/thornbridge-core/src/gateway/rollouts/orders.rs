//! Orders of roll-outs known to this node, as of a revision of the store.
//!
//! The set is small and always transferred whole; for each order, the later revision of its object
//! wins. The state of an order never goes back: a store restored from a copy may hold an earlier
//! one, which is then written again.

use super::conductor::Timing;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_proto::peer::rollout::{RolloutId, RolloutOrder, RolloutState};
use thornbridge_proto::peer::view::StoreRevision;

/// Change of one order in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum OrderUpdate {
    /// Ordered or changed.
    Upserted(RolloutOrder),
    /// Withdrawn at a revision.
    Withdrawn(StoreRevision, ServiceName),
}

/// Order known to this node.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct KnownOrder {
    pub(in crate::gateway) id: RolloutId,
    pub(in crate::gateway) period: Duration,
    /// Revision of the object's last change.
    pub(in crate::gateway) revision: StoreRevision,
    /// State that the store holds.
    pub(in crate::gateway) stored: Option<RolloutState>,
    /// Furthest state that the store ever held for this order.
    pub(in crate::gateway) reached: Option<RolloutState>,
    /// When this node learnt the order.
    known_since: Timestamp,
    /// Time that had elapsed by then since a node first read the order.
    elapsed_before: Duration,
}

impl KnownOrder {
    fn new(now: Timestamp, order: &RolloutOrder) -> Self {
        Self {
            id: order.id.clone(),
            period: Duration::from_millis(order.period_ms),
            revision: order.revision,
            stored: order.state,
            reached: order.state,
            known_since: now,
            elapsed_before: Duration::from_millis(order.elapsed_ms),
        }
    }

    /// Time since a node first read the order.
    pub(in crate::gateway) fn elapsed(&self, now: Timestamp) -> Duration {
        now.since(self.known_since) + self.elapsed_before
    }

    /// When this share of the time allowed is over.
    pub(in crate::gateway) fn share_over_at(&self, share: f64) -> Timestamp {
        let after = self.period.mul_f64(share);
        self.known_since + after.saturating_sub(self.elapsed_before)
    }

    /// When the time allowed is over.
    pub(in crate::gateway) fn ends_at(&self) -> Timestamp {
        self.known_since + self.period.saturating_sub(self.elapsed_before)
    }

    /// Time of the order and time allowed, on this node's clock. What elapsed before the clock began is
    /// taken off the time allowed.
    pub(in crate::gateway) fn timing(&self, now: Timestamp) -> Timing {
        let elapsed = self.elapsed(now);
        let before_epoch = elapsed.saturating_sub(now.since_epoch());
        Timing {
            ordered_at: now - elapsed,
            period: self.period.saturating_sub(before_epoch),
        }
    }

    /// Whether the store holds the furthest state of the order, and the order is over.
    pub(in crate::gateway) fn is_settled(&self) -> bool {
        self.stored.is_some_and(RolloutState::is_final)
    }

    /// Records that the store holds a state since a revision.
    pub(in crate::gateway) fn written(&mut self, state: RolloutState, revision: StoreRevision) {
        self.revision = revision;
        self.set_stored(Some(state));
    }

    fn set_stored(&mut self, stored: Option<RolloutState>) {
        self.stored = stored;
        let was_final = self.reached.is_some_and(RolloutState::is_final);
        if self.is_settled() {
            self.reached = stored;
        } else if !was_final {
            self.reached = self.reached.max(stored);
        }
    }

    /// Adopts an earlier time of the order.
    fn extend_elapsed(&mut self, now: Timestamp, elapsed: Duration) {
        if elapsed > self.elapsed(now) {
            self.known_since = now;
            self.elapsed_before = elapsed;
        }
    }

    fn to_wire(&self, now: Timestamp) -> RolloutOrder {
        let elapsed_ms = self.elapsed(now).as_millis();
        RolloutOrder {
            id: self.id.clone(),
            period_ms: u64::try_from(self.period.as_millis()).unwrap_or(u64::MAX),
            revision: self.revision,
            state: self.stored,
            elapsed_ms: u64::try_from(elapsed_ms).unwrap_or(u64::MAX),
        }
    }
}

/// All orders known to this node.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Orders {
    at: Option<StoreRevision>,
    orders: BTreeMap<ServiceName, KnownOrder>,
}

impl Orders {
    /// Revision as of which the orders are complete; `None` before the first list.
    pub(in crate::gateway) fn at(&self) -> Option<StoreRevision> {
        self.at
    }

    /// Order for a service.
    pub(in crate::gateway) fn get(&self, service: &ServiceName) -> Option<&KnownOrder> {
        self.orders.get(service)
    }

    pub(in crate::gateway) fn get_mut(&mut self, service: &ServiceName) -> Option<&mut KnownOrder> {
        self.orders.get_mut(service)
    }

    /// Wire form of all orders.
    pub(in crate::gateway) fn to_wire(&self, now: Timestamp) -> Vec<RolloutOrder> {
        self.orders
            .values()
            .map(|order| order.to_wire(now))
            .collect()
    }

    /// Merges all orders as of a revision; returns the services whose order changed.
    pub(in crate::gateway) fn merge(
        &mut self,
        now: Timestamp,
        orders: &[RolloutOrder],
        at: StoreRevision,
    ) -> BTreeSet<ServiceName> {
        let own = self.at.unwrap_or_default();
        let mut changed = BTreeSet::new();
        for order in orders {
            let service = &order.id.service;
            // An order that is not known was withdrawn, unless it is later than all that is known.
            let may_be_news = self.orders.contains_key(service) || order.revision > own;
            if may_be_news && self.upsert(now, order) {
                changed.insert(service.clone());
            }
        }
        if at <= own {
            return changed;
        }
        let listed: BTreeSet<&ServiceName> = orders.iter().map(|order| &order.id.service).collect();
        self.orders.retain(|service, order| {
            let kept = listed.contains(service) || order.revision > at;
            if !kept {
                changed.insert(service.clone());
            }
            kept
        });
        self.at = Some(at);
        changed
    }

    /// Applies changes up to a revision, oldest first; returns the services whose order changed.
    pub(in crate::gateway) fn apply(
        &mut self,
        now: Timestamp,
        updates: &[OrderUpdate],
        at: StoreRevision,
    ) -> BTreeSet<ServiceName> {
        let mut changed = BTreeSet::new();
        for update in updates {
            match update {
                OrderUpdate::Upserted(order) => {
                    if self.upsert(now, order) {
                        changed.insert(order.id.service.clone());
                    }
                }
                OrderUpdate::Withdrawn(revision, service) => {
                    let known = self.orders.get(service);
                    if known.is_some_and(|known| known.revision < *revision) {
                        self.orders.remove(service);
                        changed.insert(service.clone());
                    }
                }
            }
        }
        if !updates.is_empty() {
            self.at = self.at.max(Some(at));
        }
        changed
    }

    /// Removes an order whose object no longer exists.
    pub(in crate::gateway) fn remove(&mut self, service: &ServiceName) {
        self.orders.remove(service);
    }

    /// Adds or updates one order; returns whether it changed.
    pub(in crate::gateway) fn upsert(&mut self, now: Timestamp, order: &RolloutOrder) -> bool {
        let service = &order.id.service;
        match self.orders.get_mut(service) {
            Some(known) if known.id == order.id => {
                known.extend_elapsed(now, Duration::from_millis(order.elapsed_ms));
                if order.revision <= known.revision {
                    return false;
                }
                known.revision = order.revision;
                known.period = Duration::from_millis(order.period_ms);
                known.set_stored(order.state);
                true
            }
            Some(known) if order.revision <= known.revision => false,
            _ => {
                let known = KnownOrder::new(now, order);
                self.orders.insert(service.clone(), known);
                true
            }
        }
    }

    /// Whether this node knows later orders than a peer.
    pub(in crate::gateway) fn is_later_than(
        &self,
        orders: &[RolloutOrder],
        at: StoreRevision,
    ) -> bool {
        let Some(own) = self.at else {
            return false;
        };
        let is_later = |order: &RolloutOrder| {
            let known = self.orders.get(&order.id.service);
            known.is_some_and(|known| known.revision > order.revision)
        };
        own > at || orders.iter().any(is_later)
    }
}
