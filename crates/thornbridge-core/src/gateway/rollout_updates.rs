//! Roll-outs: orders from the store and from peers, and the reader of the orders.

use super::Gateway;
use super::event::{SourceFailure, StateWriteReply, ViewObject};
use super::parameters::{RolloutParameters, ViewParameters};
use super::rollouts::orders::OrderUpdate;
use super::rollouts::{Context, READING_TIME, Rollouts};
use super::views::source::SourceUpdate;
use crate::membership::MemberView;
use crate::time::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thornbridge_proto::ServiceName;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::quarantine::QuarantineMessage;
use thornbridge_proto::peer::rollout::{RolloutMessage, RolloutOrder};
use thornbridge_proto::peer::view::StoreRevision;

/// Factor by which a watch of orders waits longer than other watches: it ends with the first change,
/// and calls are billed.
const WATCH_FACTOR: u32 = 4;

/// Parameters of the reader of orders.
pub(super) fn order_reader_parameters(views: &ViewParameters) -> ViewParameters {
    ViewParameters {
        watch_wait: views.watch_wait * WATCH_FACTOR,
        coalescing: views.coalescing.min(READING_TIME),
        ..views.clone()
    }
}

impl Gateway {
    /// Splits the borrow of `self` into the roll-outs and the state that they use.
    pub(super) fn rollouts(&mut self) -> (&mut Rollouts, Context<'_>) {
        let context = Context {
            now: self.now,
            random: &mut self.random,
            actions: &mut self.actions,
            servers: &mut self.servers,
            trials: &mut self.trials,
        };
        (&mut self.rollouts, context)
    }

    /// Starts or stops reading orders.
    pub(super) fn set_order_reader(&mut self, follows_peers: bool) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let (now, actions) = (self.now, &mut self.actions);
        self.rollout_source
            .set_follows_peers(now, actions, follows_peers, None);
    }

    /// When [`Self::rollout_timer_due`] is due next.
    pub(super) fn next_rollout_timeout(&self) -> Option<Timestamp> {
        if !self.rollouts.is_enabled() {
            return None;
        }
        let read = self.rollout_source.next_timeout();
        let rollouts = self.rollouts.next_timeout();
        rollouts.into_iter().chain([read]).min()
    }

    /// Does what is due for roll-outs.
    pub(super) fn rollout_timer_due(&mut self) {
        if !self.rollouts.is_enabled() {
            return;
        }
        self.rollout_source
            .timer_due(self.now, &mut self.random, &mut self.actions);
        let (rollouts, mut context) = self.rollouts();
        rollouts.timer_due(&mut context);
    }

    /// Applies an update of the orders by the store.
    pub(super) fn orders_read(&mut self, update: SourceUpdate) {
        match update {
            SourceUpdate::List(objects, at) => self.apply_order_list(objects, at),
            SourceUpdate::Changes(objects, at) => self.apply_order_changes(objects, at),
        }
    }

    fn apply_order_list(&mut self, objects: Vec<ViewObject>, at: StoreRevision) {
        let updates = self.order_updates(objects);
        let orders: Vec<RolloutOrder> = updates
            .into_iter()
            .filter_map(|update| match update {
                OrderUpdate::Upserted(order) => Some(order),
                OrderUpdate::Withdrawn(..) => None,
            })
            .collect();
        let (rollouts, mut context) = self.rollouts();
        rollouts.merge_orders(&mut context, &orders, at);
    }

    fn apply_order_changes(&mut self, objects: Vec<ViewObject>, at: StoreRevision) {
        let updates = self.order_updates(objects);
        let (rollouts, mut context) = self.rollouts();
        rollouts.orders_updated(&mut context, &updates, at);
    }

    /// Orders among the objects of a reply; reports those that cannot be used.
    fn order_updates(&mut self, objects: Vec<ViewObject>) -> Vec<OrderUpdate> {
        let age = self.rollout_source.change_age().min(READING_TIME);
        let mut updates = Vec::new();
        for object in objects {
            match object {
                ViewObject::Rollout(order) => updates.push(OrderUpdate::Upserted(RolloutOrder {
                    elapsed_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                    ..order
                })),
                ViewObject::RolloutWithdrawn(revision, service) => {
                    updates.push(OrderUpdate::Withdrawn(revision, service));
                }
                ViewObject::Unusable { name, reason, .. } => {
                    self.report_rejected_object(name, reason);
                }
                ViewObject::Configuration(_)
                | ViewObject::Instance(..)
                | ViewObject::InstanceRemoved(..)
                | ViewObject::EvacuationStarted(_)
                | ViewObject::EvacuationEnded(_) => {}
            }
        }
        updates
    }

    /// Handles the result of a write of a roll-out's state.
    pub(super) fn state_written(
        &mut self,
        service: &ServiceName,
        write: u64,
        result: Result<StateWriteReply, SourceFailure>,
    ) {
        let (rollouts, mut context) = self.rollouts();
        rollouts.state_written(&mut context, service, write, result);
    }

    /// Handles a message about roll-outs.
    pub(super) fn rollout_message(&mut self, from: PeerEndpoint, message: RolloutMessage) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let (rollouts, mut context) = self.rollouts();
        rollouts.peer_message(&mut context, from, message);
    }

    /// Notes who sent a message, and whether that run decodes messages about roll-outs.
    pub(super) fn note_rollout_peer(&mut self, from: PeerEndpoint) {
        if self.rollouts.is_enabled() {
            self.rollouts.message_received(from);
        }
    }

    /// Handles a peer's announcement that it decodes messages about roll-outs.
    pub(super) fn rollout_peer_announced(
        &mut self,
        from: PeerEndpoint,
        message: &QuarantineMessage,
    ) {
        if !self.rollouts.is_enabled() || !message.records.is_empty() {
            return;
        }
        let (rollouts, mut context) = self.rollouts();
        rollouts.announcement_received(&mut context, from);
    }

    /// Replaces the members that take part in roll-outs.
    pub(super) fn set_rollout_members(&mut self, view: &MemberView, accepting: Vec<SocketAddr>) {
        let own = self.own_address;
        let endpoints = view.members().iter().map(|member| member.endpoint);
        let others: BTreeSet<PeerEndpoint> =
            endpoints.filter(|member| member.address != own).collect();
        self.rollouts.set_members(self.now, &others, accepting);
    }

    /// Updates the roles of versions after changes of the registry.
    pub(super) fn refresh_version_roles(&mut self, services: BTreeSet<ServiceName>) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let (rollouts, mut context) = self.rollouts();
        rollouts.servers_changed(&mut context, services);
    }

    /// Updates the roles of versions that change with time.
    pub(super) fn maintain_rollouts(&mut self) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let (rollouts, mut context) = self.rollouts();
        rollouts.maintain(&mut context);
    }

    pub(super) fn set_rollout_parameters(
        &mut self,
        parameters: RolloutParameters,
        views: &ViewParameters,
    ) {
        self.rollout_source
            .set_parameters(order_reader_parameters(views));
        let (rollouts, mut context) = self.rollouts();
        rollouts.set_parameters(&mut context, parameters);
    }
}
