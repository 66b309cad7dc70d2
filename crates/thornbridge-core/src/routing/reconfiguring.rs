//! Changes of the configuration and of the member list. The state of a back end is kept by its id.

use super::back_end::{BackEndIndex, BackEndState, ServiceIndex};
use super::back_end_limit::BackEndLimit;
use super::subset::{SubsetBuild, SubsetNode, Topology};
use super::{Router, RoutingParameters};
use crate::configuration::ActiveConfiguration;
use crate::context::Context;
use crate::membership::MemberView;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::BackEnd;
use thornbridge_proto::peer::membership::MemberState;
use thornbridge_proto::{NodeId, ZoneName};

/// Pairs of node and back end evaluated in one step.
const PAIRS_PER_STEP: usize = 50_000;
/// Time between two steps, in which queries are handled.
const STEP_INTERVAL: Duration = Duration::from_millis(2);

/// Nodes among which the connections are divided.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// This node; `None` before the first member list.
    own: Option<(NodeId, ZoneName)>,
    /// Nodes that accept work.
    nodes: Vec<SubsetNode>,
    members: BTreeMap<NodeId, KnownMember>,
    /// Members that vanished without leaving: dead, or on the other side of a partition.
    lost: BTreeMap<NodeId, KnownMember>,
    /// Time from which the member list is considered complete.
    settled_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct KnownMember {
    address: SocketAddr,
    leaving: bool,
    last_seen: Timestamp,
}

impl Membership {
    pub(super) fn own_node(&self) -> Option<NodeId> {
        self.own.as_ref().map(|(node, _)| *node)
    }

    /// Applies a member list; returns whether the nodes that accept work changed.
    fn update(
        &mut self,
        parameters: &RoutingParameters,
        now: Timestamp,
        view: &MemberView,
    ) -> bool {
        if self.own.is_none() {
            self.settled_at = now + parameters.settling;
        }
        self.own = Some((view.own().endpoint.node, view.own().zone.clone()));
        let members: BTreeMap<NodeId, KnownMember> = view
            .members()
            .iter()
            .map(|member| {
                let known = KnownMember {
                    address: member.endpoint.address,
                    leaving: member.state == MemberState::Leaving,
                    last_seen: now,
                };
                (member.endpoint.node, known)
            })
            .collect();
        let old = std::mem::replace(&mut self.members, members);
        let vanished = old
            .into_iter()
            .filter(|(node, known)| !known.leaving && !self.members.contains_key(node));
        self.lost.extend(vanished);
        self.expire_lost(parameters, now);
        let nodes: Vec<SubsetNode> = view
            .accepting_work()
            .map(|member| SubsetNode::new(member.endpoint.node, member.zone.clone()))
            .collect();
        let same = nodes.len() == self.nodes.len()
            && nodes
                .iter()
                .zip(&self.nodes)
                .all(|(new, old)| new.node == old.node && new.zone == old.zone);
        self.nodes = nodes;
        !same
    }

    /// Removes lost nodes that are members again, whose address another node has taken, or whose
    /// time is over.
    fn expire_lost(&mut self, parameters: &RoutingParameters, now: Timestamp) {
        let members = &self.members;
        let addresses: std::collections::BTreeSet<SocketAddr> =
            members.values().map(|known| known.address).collect();
        self.lost.retain(|node, known| {
            !members.contains_key(node)
                && !addresses.contains(&known.address)
                && now.since(known.last_seen) < parameters.lost_node_memory
        });
    }

    /// Number of nodes that may hold connections, for the division of the connections.
    fn expected_nodes(&self, now: Timestamp, maximum_nodes: u32) -> u32 {
        let visible = self.members.len() as u32;
        if now < self.settled_at || self.own.is_none() {
            return visible.max(maximum_nodes);
        }
        let with_lost = visible + self.lost.len() as u32;
        with_lost.min(visible.max(maximum_nodes))
    }
}

/// Schedule, progress and input of the computation of the subset.
#[derive(Debug, Default)]
pub(super) struct SubsetState {
    /// Time of the next step.
    pub(super) due: Option<Timestamp>,
    build: Option<SubsetBuild>,
    topology: Topology,
    /// Table index of each server of the topology.
    indices: Vec<BackEndIndex>,
}

impl Router {
    /// Installs a configuration. Known back ends keep their state, removed ones are drained, and
    /// those with a new address are reset.
    pub fn install(&mut self, context: &mut Context<'_>, active: &Arc<ActiveConfiguration>) {
        let first = self.active.replace(Arc::clone(active)).is_none();
        for (service, configured) in active.bundle.services.iter().enumerate() {
            for back_end in &configured.back_ends {
                let service = ServiceIndex(service as u32);
                self.install_back_end(context, back_end, service, first);
            }
        }
        self.remove_unconfigured(context, active);
        self.back_ends.set_services(&active.bundle);
        let (topology, indices) = self.back_ends.topology(&active.bundle);
        let same = topology == self.subset_state.topology && indices == self.subset_state.indices;
        self.subset_state.topology = topology;
        self.subset_state.indices = indices;
        if first {
            self.compute_subset_now(context);
        } else if !same {
            self.apply_topology(context);
        }
        let due = context.now + self.parameters.housekeeping_interval;
        self.housekeeping_due.get_or_insert(due);
    }

    /// Applies a member list.
    pub fn members_changed(&mut self, context: &mut Context<'_>, view: &Arc<MemberView>) {
        let first = self.membership.own.is_none();
        let changed = self.membership.update(&self.parameters, context.now, view);
        if self.active.is_none() {
            return;
        }
        if first {
            self.compute_subset_now(context);
        } else if changed {
            let due = context.now + self.parameters.subset_delay;
            self.subset_state.build = None;
            self.subset_state.due.get_or_insert(due);
        }
    }

    /// Runs one step of the computation of the subset.
    pub(super) fn advance_subset(&mut self, context: &mut Context<'_>) {
        let build = self.subset_state.build.take();
        let mut build = build.unwrap_or_else(|| self.begin_subset(context.now));
        if build.advance(PAIRS_PER_STEP) {
            self.finish_subset(context, &build);
        } else {
            self.subset_state.build = Some(build);
            self.subset_state.due = Some(context.now + STEP_INTERVAL);
        }
    }

    /// Applies a changed topology. Back ends that all nodes may connect to are available at once.
    /// The others follow in steps between queries, or at once if a shard would have no replica
    /// until then.
    fn apply_topology(&mut self, context: &mut Context<'_>) {
        let mut build = self.begin_subset(context.now);
        let shares: Vec<Option<u32>> = build.unrestricted_shares().collect();
        let indices = std::mem::take(&mut self.subset_state.indices);
        for (index, share) in indices.iter().zip(shares) {
            if let Some(share) = share {
                self.set_share(context, *index, share);
            }
        }
        self.subset_state.indices = indices;
        self.count_reachable_replicas();
        if self.counters.shards_out_of_reach > 0 {
            while !build.advance(PAIRS_PER_STEP) {}
            self.finish_subset(context, &build);
        } else {
            self.subset_state.build = Some(build);
            self.subset_state.due = Some(context.now);
        }
    }

    fn compute_subset_now(&mut self, context: &mut Context<'_>) {
        let mut build = self.begin_subset(context.now);
        while !build.advance(PAIRS_PER_STEP) {}
        self.finish_subset(context, &build);
    }

    fn begin_subset(&mut self, now: Timestamp) -> SubsetBuild {
        let maximum_nodes = self
            .active
            .as_ref()
            .map_or(0, |active| active.bundle.maximum_nodes);
        self.counters.subsets_computed += 1;
        SubsetBuild::new(
            self.parameters.subset.clone(),
            self.subset_state.topology.clone(),
            self.membership.nodes.clone(),
            self.membership.expected_nodes(now, maximum_nodes),
        )
    }

    fn finish_subset(&mut self, context: &mut Context<'_>, build: &SubsetBuild) {
        let settling = context.now < self.membership.settled_at;
        self.subset_state.build = None;
        self.subset_state.due = settling.then_some(self.membership.settled_at);
        // Before the first member list, only back ends that all nodes may connect to are used.
        let node = self.membership.own_node().unwrap_or_default();
        let shares = build.shares(node);
        let indices = std::mem::take(&mut self.subset_state.indices);
        for (index, share) in indices.iter().zip(shares) {
            self.set_share(context, *index, share);
        }
        self.subset_state.indices = indices;
        self.count_reachable_replicas();
        if !self.warm_up.is_empty() {
            self.warm_up_due.get_or_insert(context.now);
        }
    }

    fn set_share(&mut self, context: &mut Context<'_>, index: BackEndIndex, share: u32) {
        let Some(state) = self.back_ends.get_mut(index) else {
            return;
        };
        state.connection_share = share;
        let needs_warm_up = share > 0 && state.pool.open() == 0;
        if needs_warm_up {
            self.warm_up.push_back(index);
        }
        if share == 0 {
            self.fail_waiting(context, index);
        }
        self.close_surplus(context, index);
    }

    fn count_reachable_replicas(&mut self) {
        let table = &self.back_ends;
        let reach = table.groups.iter().map(|group| {
            let reached = group
                .iter()
                .filter_map(|index| table.get(*index))
                .filter(|state| state.connection_share > 0)
                .count();
            (reached, group.len())
        });
        let (mut short_of_replicas, mut out_of_reach) = (0, 0);
        for (reached, replicas) in reach {
            short_of_replicas += u64::from(reached < replicas.min(2));
            out_of_reach += u64::from(reached == 0 && replicas > 0);
        }
        self.counters.shards_short_of_replicas = short_of_replicas;
        self.counters.shards_out_of_reach = out_of_reach;
    }

    fn install_back_end(
        &mut self,
        context: &mut Context<'_>,
        back_end: &BackEnd,
        service: ServiceIndex,
        first: bool,
    ) {
        let Some(index) = self.back_ends.index(&back_end.id) else {
            let mut state = self.new_state(back_end, service);
            if !first {
                state.slow_start.begin(context.now);
            }
            self.back_ends.insert(state);
            return;
        };
        let moved = self
            .back_ends
            .get(index)
            .is_some_and(|state| state.address != back_end.address);
        if moved {
            self.retire_connections(context, index);
            self.reset_for_new_address(context, index, back_end);
        }
        if let Some(state) = self.back_ends.get_mut(index) {
            state.service = service;
            state.slots = back_end.slots as f32;
            state.configured = true;
        }
        if moved {
            self.open_for_waiting(context, index);
        }
    }

    /// Resets the state of a back end with a new address, which is another server process.
    fn reset_for_new_address(
        &mut self,
        context: &Context<'_>,
        index: BackEndIndex,
        back_end: &BackEnd,
    ) {
        let limit = BackEndLimit::new(&self.parameters.limit);
        if let Some(state) = self.back_ends.get_mut(index) {
            state.address = back_end.address;
            state.pool.backoff.reset();
            state.load = Default::default();
            state.latency = Default::default();
            state.health = Default::default();
            state.outlier = Default::default();
            state.slow_start.begin(context.now);
            state.limit = limit;
        }
    }

    fn remove_unconfigured(&mut self, context: &mut Context<'_>, active: &ActiveConfiguration) {
        for index in self.back_ends.indices() {
            let Some(state) = self.back_ends.get_mut(index) else {
                continue;
            };
            if active.back_end(&state.id).is_some() {
                continue;
            }
            state.configured = false;
            state.connection_share = 0;
            self.fail_waiting(context, index);
            self.close_surplus(context, index);
            self.back_ends.remove_if_drained(index);
        }
    }

    fn new_state(&self, back_end: &BackEnd, service: ServiceIndex) -> BackEndState {
        BackEndState {
            id: back_end.id.clone(),
            address: back_end.address,
            service,
            slots: back_end.slots as f32,
            configured: true,
            connection_share: 0,
            in_flight: 0,
            pool: Default::default(),
            load: Default::default(),
            latency: Default::default(),
            health: Default::default(),
            slow_start: Default::default(),
            outlier: Default::default(),
            limit: BackEndLimit::new(&self.parameters.limit),
            groups: Vec::new(),
        }
    }
}
