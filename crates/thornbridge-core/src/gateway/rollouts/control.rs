//! Control of all roll-outs at this node: orders and the schedule.

use super::established::Established;
use super::orders::{KnownOrder, OrderUpdate, Orders};
use super::peers::RolloutPeers;
use super::rollout::Rollout;
use super::telemetry::{RolloutChange, RolloutStep};
use super::trials::Trials;
use crate::gateway::action::GatewayAction;
use crate::gateway::budget::ServiceKey;
use crate::gateway::parameters::RolloutParameters;
use crate::gateway::servers::Servers;
use crate::gateway::telemetry::GatewayChange;
use crate::time::Timestamp;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::rollout::{RolloutOrder, RolloutState};
use thornbridge_proto::peer::view::StoreRevision;

/// Interval between reports to the conductor.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// What the control uses of the gateway.
pub(in crate::gateway) struct Context<'a> {
    pub(in crate::gateway) now: Timestamp,
    pub(in crate::gateway) random: &'a mut Pcg64Mcg,
    pub(in crate::gateway) actions: &'a mut VecDeque<GatewayAction>,
    pub(in crate::gateway) servers: &'a mut Servers,
    pub(in crate::gateway) trials: &'a mut Trials,
}

/// Roll-outs at this node.
#[derive(Debug)]
pub(in crate::gateway) struct Rollouts {
    pub(super) parameters: RolloutParameters,
    pub(super) own: SocketAddr,
    /// Members that take new work, this node included.
    members: Vec<SocketAddr>,
    pub(in crate::gateway) orders: Orders,
    pub(in crate::gateway) peers: RolloutPeers,
    pub(super) established: Established,
    /// Roll-outs that the store does not hold as over.
    pub(in crate::gateway) active: BTreeMap<ServiceName, Rollout>,
    /// Services with several registered versions, or with a version that may become established.
    pub(super) watched: BTreeSet<ServiceName>,
    /// Services whose roles changed since the last [`Self::take_changed_roles`].
    pub(super) changed_roles: Vec<ServiceKey>,
    next_report: Timestamp,
    pub(super) next_gossip: Timestamp,
    pub(super) next_write: u64,
    /// When a write last failed; `None` once one was answered.
    pub(super) write_failed_at: Option<Timestamp>,
}

impl Rollouts {
    pub(in crate::gateway) fn new(parameters: RolloutParameters, own: SocketAddr) -> Self {
        Self {
            parameters,
            own,
            members: vec![own],
            orders: Orders::default(),
            peers: RolloutPeers::default(),
            established: Established::default(),
            active: BTreeMap::new(),
            watched: BTreeSet::new(),
            changed_roles: Vec::new(),
            next_report: Timestamp::ZERO,
            next_gossip: Timestamp::ZERO,
            next_write: 0,
            write_failed_at: None,
        }
    }

    pub(in crate::gateway) fn is_enabled(&self) -> bool {
        self.parameters.enabled
    }

    /// Replaces the parameters; disabling roll-outs drops all state and lets every version serve.
    pub(in crate::gateway) fn set_parameters(
        &mut self,
        context: &mut Context<'_>,
        parameters: RolloutParameters,
    ) {
        self.parameters = parameters;
        if self.parameters.enabled {
            return;
        }
        for rollout in self.active.values() {
            context.trials.end(rollout.service);
        }
        let members = std::mem::take(&mut self.members);
        let changed_roles = context.servers.reset_version_roles();
        let peers = std::mem::take(&mut self.peers);
        *self = Self {
            members,
            peers,
            changed_roles,
            next_write: self.next_write,
            ..Self::new(self.parameters, self.own)
        };
    }

    /// Services whose roles changed, whose queued parts may have to move.
    pub(in crate::gateway) fn take_changed_roles(&mut self) -> Vec<ServiceKey> {
        std::mem::take(&mut self.changed_roles)
    }

    /// Replaces the members. `accepting`: those that take new work.
    pub(in crate::gateway) fn set_members(
        &mut self,
        now: Timestamp,
        others: &BTreeSet<PeerEndpoint>,
        accepting: Vec<SocketAddr>,
    ) {
        let was_alone = self.peers.addresses().next().is_none();
        if was_alone && self.orders.at().is_none() {
            self.next_gossip = now;
        }
        self.peers.set_members(others);
        self.members = accepting;
        for rollout in self.active.values_mut() {
            rollout.set_members(self.own, &self.members);
        }
    }

    /// Whether the orders are known, if there may be any.
    pub(in crate::gateway) fn has_orders(&self) -> bool {
        !self.is_enabled() || self.orders.at().is_some()
    }

    /// Latest time at which [`Self::timer_due`] must be called.
    pub(in crate::gateway) fn next_timeout(&self) -> Option<Timestamp> {
        if !self.is_enabled() {
            return None;
        }
        let report = (!self.active.is_empty()).then_some(self.next_report);
        let gossip = self.gossips().then_some(self.next_gossip);
        let active = self.active.iter().filter_map(|(service, rollout)| {
            let order = self.orders.get(service)?;
            rollout.next_timeout(order)
        });
        active.chain(report).chain(gossip).min()
    }

    /// Reports, gossips, decides and writes what is due.
    pub(in crate::gateway) fn timer_due(&mut self, context: &mut Context<'_>) {
        if !self.is_enabled() {
            return;
        }
        self.gossip_if_due(context);
        let reports = self.next_report <= context.now;
        if reports {
            self.next_report = context.now + REPORT_INTERVAL;
        }
        for service in self.active_services() {
            if reports {
                self.update_instances(context, &service);
                self.report(context, &service);
                self.refresh_roles(context, &service);
            }
            self.advance(context, &service);
        }
    }

    fn active_services(&self) -> Vec<ServiceName> {
        self.active.keys().cloned().collect()
    }

    /// Merges all orders as of a revision, from the store or a peer.
    pub(in crate::gateway) fn merge_orders(
        &mut self,
        context: &mut Context<'_>,
        orders: &[RolloutOrder],
        at: StoreRevision,
    ) {
        let was_unknown = self.orders.at().is_none();
        let changed = self.orders.merge(context.now, orders, at);
        let is_first = was_unknown && self.orders.at().is_some();
        if is_first {
            self.refresh_all_roles(context);
        }
        self.orders_changed(context, &changed);
        if is_first && changed.is_empty() {
            self.push_orders(context);
        }
    }

    /// Applies changes of orders.
    pub(in crate::gateway) fn orders_updated(
        &mut self,
        context: &mut Context<'_>,
        updates: &[OrderUpdate],
        at: StoreRevision,
    ) {
        let changed = self.orders.apply(context.now, updates, at);
        self.orders_changed(context, &changed);
    }

    /// Follows changes of orders and tells peers.
    fn orders_changed(&mut self, context: &mut Context<'_>, changed: &BTreeSet<ServiceName>) {
        for service in changed {
            self.order_changed(context, service);
        }
        if !changed.is_empty() {
            self.push_orders(context);
        }
    }

    /// Starts, continues or ends the roll-out of a service as its order says.
    pub(super) fn order_changed(&mut self, context: &mut Context<'_>, service: &ServiceName) {
        let order = self.orders.get(service).cloned();
        let id = order.as_ref().map(|order| &order.id);
        let is_continued = |rollout: &Rollout| Some(&rollout.id) == id;
        if self
            .active
            .get(service)
            .is_some_and(|rollout| !is_continued(rollout))
        {
            self.end(context, service, RolloutStep::Withdrawn);
        }
        if let Some(order) = &order {
            self.follow(context, service, order);
        }
        self.refresh_roles(context, service);
        self.advance(context, service);
    }

    fn follow(&mut self, context: &mut Context<'_>, service: &ServiceName, order: &KnownOrder) {
        if order.is_settled() {
            if order.stored == Some(RolloutState::Complete) {
                self.established.set(context.now, service, &order.id.target);
            }
            if self.active.contains_key(service) {
                self.end(context, service, RolloutStep::Adopted);
            }
            return;
        }
        if !self.active.contains_key(service) {
            self.begin(context, service, order);
        }
        // The store lost a state that it had acknowledged.
        if let Some(state) = order.reached.filter(|state| state.is_final()) {
            self.learn(context, service, state);
        }
    }

    fn begin(&mut self, context: &mut Context<'_>, service: &ServiceName, order: &KnownOrder) {
        let key = context.servers.service_key(service);
        let mut rollout = Rollout::new(order.id.clone(), key);
        rollout.set_members(self.own, &self.members);
        context.trials.begin(key);
        if self.active.is_empty() {
            self.next_report = context.now + REPORT_INTERVAL;
        }
        self.active.insert(service.clone(), rollout);
        self.log(context, service, RolloutStep::Ordered);
    }

    /// Ends a roll-out at this node.
    pub(super) fn end(
        &mut self,
        context: &mut Context<'_>,
        service: &ServiceName,
        step: RolloutStep,
    ) {
        self.log(context, service, step);
        if let Some(rollout) = self.active.remove(service) {
            context.trials.end(rollout.service);
        }
    }

    /// How the roll-out of a service ended, or is going to end.
    pub(super) fn outcome(&self, service: &ServiceName) -> Option<RolloutState> {
        let order = self.orders.get(service)?;
        if order.is_settled() {
            return order.stored;
        }
        let decision = self.active.get(service)?.decision?;
        Some(decision.state)
    }

    /// Logs a step of a roll-out.
    pub(super) fn log(&self, context: &mut Context<'_>, service: &ServiceName, step: RolloutStep) {
        let Some(rollout) = self.active.get(service) else {
            return;
        };
        let order = self
            .orders
            .get(service)
            .filter(|order| order.id == rollout.id);
        let conductor = rollout.conductor.as_ref();
        let (trial, stable) = conductor.map_or_else(Default::default, |own| own.outcomes());
        let companions = conductor.map_or_else(Default::default, |own| own.companions());
        let change = RolloutChange {
            service: service.clone(),
            target: rollout.id.target.clone(),
            step,
            state: self
                .outcome(service)
                .or(order.and_then(|order| order.stored)),
            reason: "",
            route: String::new(),
            trial,
            stable,
            companions,
            elapsed: order.map_or(Duration::ZERO, |order| order.elapsed(context.now)),
            revision: order.map(|order| order.revision).unwrap_or_default(),
        };
        let change = GatewayChange::Rollout(change);
        context.actions.push_back(GatewayAction::Changed(change));
    }
}
