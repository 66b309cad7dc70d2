//! Test harness of roll-outs: gateways that exchange messages, and a store with orders.

use super::rollout_store::{Store, StoreWrite};
use super::support::millis;
use crate::gateway::rollouts::trials::Arm;
use crate::gateway::servers::VersionRoles;
use crate::gateway::{
    Gateway, GatewayAction, GatewayEvent, GatewayParameters, GatewaySetup, Placement,
    SourceFailure, SourceRead, SourceReply, StateWriteReply, ViewKind,
};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::peer::rollout::{RolloutGrant, RolloutState};
use thornbridge_proto::peer::view::StoreRevision;
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{NodeId, NodeName, RegionName, ServiceName, ZoneName};

/// Time between steps of the cluster; messages take one step.
const STEP: Duration = Duration::from_millis(5);
/// Time until the members know each other.
const JOINING: Duration = Duration::from_secs(3);
/// Watch without a result yet.
struct Watch {
    node: usize,
    kind: ViewKind,
    read: u64,
    from: StoreRevision,
    until: Timestamp,
}

/// Gateways and the store.
pub struct Cluster {
    pub nodes: Vec<Gateway>,
    pub store: Store,
    /// Nodes that neither get nor send anything.
    pub down: BTreeSet<usize>,
    /// Nodes that reach the store and no other node.
    pub isolated: BTreeSet<usize>,
    /// Peer messages other than those of membership and views, by sender.
    pub sent: Vec<(usize, SocketAddr, PeerMessage)>,
    /// Reads of views, with the nodes that read them.
    pub reads: Vec<(ViewKind, usize)>,
    now: Timestamp,
    events: Vec<(usize, GatewayEvent)>,
    watches: Vec<Watch>,
    /// Restarts so far, by node.
    runs: BTreeMap<usize, u64>,
}

/// Endpoint of the first run of a node.
pub fn endpoint(node: usize) -> PeerEndpoint {
    PeerEndpoint {
        node: NodeId(1 + node as u64),
        address: SocketAddr::from(([10, 0, 0, 1 + node as u8], 1)),
    }
}

impl Cluster {
    /// Starts nodes that know each other, with two servers of version `old` of each service.
    pub fn start(nodes: usize, services: &[&str]) -> Self {
        let mut cluster = Self::with_enabled(nodes, true);
        for service in services {
            cluster
                .store
                .register(&format!("{service}-1"), service, "old");
            cluster
                .store
                .register(&format!("{service}-2"), service, "old");
        }
        cluster.run(JOINING);
        cluster
    }

    /// Starts nodes with or without roll-outs.
    pub fn with_enabled(nodes: usize, enabled: bool) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            store: Store::empty(),
            down: BTreeSet::new(),
            isolated: BTreeSet::new(),
            sent: Vec::new(),
            reads: Vec::new(),
            now: Timestamp::ZERO,
            events: Vec::new(),
            watches: Vec::new(),
            runs: BTreeMap::new(),
        };
        for _ in 0..nodes {
            cluster.add_node(enabled);
        }
        cluster
    }

    pub fn add_node(&mut self, enabled: bool) {
        let index = self.nodes.len();
        let endpoint = self.endpoint(index);
        let gateway = new_gateway(index, endpoint, enabled);
        self.nodes.push(gateway);
        self.events.push((index, GatewayEvent::Started));
    }

    /// Kills all nodes and starts them again.
    pub fn restart_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.restart(index);
        }
    }

    /// Kills a node and starts it again, as another run.
    pub fn restart(&mut self, index: usize) {
        self.events.retain(|(node, _)| *node != index);
        self.watches.retain(|watch| watch.node != index);
        *self.runs.entry(index).or_default() += 1;
        let endpoint = self.endpoint(index);
        self.nodes[index] = new_gateway(index, endpoint, true);
        self.events.push((index, GatewayEvent::Started));
    }

    /// Endpoint of the current run of a node.
    fn endpoint(&self, node: usize) -> PeerEndpoint {
        let first = endpoint(node);
        let run = self.runs.get(&node).copied().unwrap_or_default();
        PeerEndpoint {
            node: NodeId(first.node.0 + 100 * run),
            ..first
        }
    }
}

fn new_gateway(index: usize, endpoint: PeerEndpoint, enabled: bool) -> Gateway {
    let mut parameters = GatewayParameters::default();
    parameters.rollouts.enabled = enabled;
    let zone = ZoneName::new("zone");
    let region = RegionName::new("region");
    Gateway::new(GatewaySetup {
        endpoint,
        name: NodeName::new(format!("node-{index}")),
        placement: Placement {
            zone: zone.clone(),
            region: region.clone(),
            regions: BTreeMap::from([(zone, region)]),
        },
        seeds: vec![SocketAddr::from(([10, 0, 0, 1], 1))],
        seed: 7 + index as u64,
        parameters,
    })
}

impl Cluster {
    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            for (node, event) in std::mem::take(&mut self.events) {
                self.handle(node, event);
            }
            for node in 0..self.nodes.len() {
                let due = self.nodes[node].next_timeout();
                if due.is_some_and(|due| due <= self.now) {
                    self.handle(node, GatewayEvent::TimerDue);
                }
            }
            self.answer_watches();
        }
    }

    /// Delivers an event to a node at once.
    pub fn deliver(&mut self, node: usize, event: GatewayEvent) {
        self.handle(node, event);
    }

    fn handle(&mut self, node: usize, event: GatewayEvent) {
        if self.down.contains(&node) {
            return;
        }
        self.nodes[node].handle(self.now, event);
        while let Some(action) = self.nodes[node].poll_action() {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: GatewayAction) {
        match action {
            GatewayAction::SendPeer { to, message } => self.send(node, to, message),
            GatewayAction::Read {
                kind, read, what, ..
            } => self.read(node, kind, read, what),
            GatewayAction::WriteState {
                service,
                write,
                based_on,
                state,
                ..
            } => self.write(node, service, write, based_on, state),
            _ => {}
        }
    }

    fn send(&mut self, node: usize, to: SocketAddr, message: PeerMessage) {
        let target = (0..self.nodes.len()).find(|other| endpoint(*other).address == to);
        let from = self.endpoint(node);
        if let PeerMessage::Rollout(_) | PeerMessage::Quarantine(_) = &message {
            self.sent.push((node, to, message.clone()));
        }
        let is_cut = |node: &usize| self.isolated.contains(node);
        let target = target.filter(|target| !is_cut(target) && !is_cut(&node));
        if let Some(target) = target {
            let event = GatewayEvent::PeerMessage { from, message };
            self.events.push((target, event));
        }
    }

    fn read(&mut self, node: usize, kind: ViewKind, read: u64, what: SourceRead) {
        self.reads.push((kind, node));
        match what {
            SourceRead::List { .. } => {
                let result = Ok(self.store.list(kind));
                let event = GatewayEvent::SourceReplied { kind, read, result };
                self.events.push((node, event));
            }
            SourceRead::Watch { from, wait } => self.watches.push(Watch {
                node,
                kind,
                read,
                from,
                until: self.now + wait,
            }),
        }
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let changes = self.store.watch(watch.kind, watch.from);
            let empty = SourceReply::Changes {
                objects: Vec::new(),
                at: self.store.at(),
            };
            let expired = (watch.until <= self.now).then_some(empty);
            match changes.or(expired) {
                Some(reply) => {
                    let event = GatewayEvent::SourceReplied {
                        kind: watch.kind,
                        read: watch.read,
                        result: Ok(reply),
                    };
                    self.events.push((watch.node, event));
                }
                None => self.watches.push(watch),
            }
        }
    }

    fn write(
        &mut self,
        node: usize,
        service: ServiceName,
        write: u64,
        based_on: StoreRevision,
        state: RolloutState,
    ) {
        let result = match self.store.refused_writers.contains(&node) {
            true => Err(SourceFailure::Refused),
            false => Ok(self.store.write(&service, based_on, state)),
        };
        let done = matches!(result, Ok(StateWriteReply::Written(_)));
        self.store.writes.push(StoreWrite { node, state, done });
        if self.store.results_to_drop > 0 {
            self.store.results_to_drop -= 1;
            return;
        }
        let is_lost = done && self.store.answers_to_lose > 0;
        let result = match is_lost {
            true => {
                self.store.answers_to_lose -= 1;
                Err(SourceFailure::Unreachable)
            }
            false => result,
        };
        let event = GatewayEvent::StateWritten {
            service,
            write,
            result,
        };
        self.events.push((node, event));
    }

    /// Roles of a service's versions at a node.
    pub fn roles(&self, node: usize, service: &str) -> VersionRoles {
        let gateway = &self.nodes[node];
        let key = gateway.servers.find_service(&ServiceName::new(service));
        key.map(|key| gateway.servers.version_roles(key).clone())
            .unwrap_or_default()
    }

    /// Records requests at a node, with their outcomes at both versions.
    pub fn record(&mut self, node: usize, service: &str, trial: [u32; 2], stable: [u32; 2]) {
        let gateway = &mut self.nodes[node];
        let key = gateway.servers.service_key(&ServiceName::new(service));
        for (arm, [good, bad]) in [(Arm::Trial, trial), (Arm::Stable, stable)] {
            for attempt in 0..good + bad {
                gateway.trials.record_request(key, "route");
                gateway
                    .trials
                    .record_outcome(key, "route", arm, attempt < good);
            }
        }
    }

    /// Runs for a time with requests at all nodes that are up.
    pub fn run_with_traffic(
        &mut self,
        time: Duration,
        service: &str,
        trial: [u32; 2],
        stable: [u32; 2],
    ) {
        let until = self.now + time;
        while self.now < until {
            for node in 0..self.nodes.len() {
                if !self.down.contains(&node) {
                    self.record(node, service, trial, stable);
                }
            }
            self.run(millis(250));
        }
    }

    /// Grant without permits and decision for the order that a node knows.
    pub fn empty_grant(&self, node: usize) -> RolloutGrant {
        let orders = &self.nodes[node].rollouts.orders;
        let order = orders.get(&ServiceName::new("s")).expect("no order");
        RolloutGrant {
            order: order.id.clone(),
            conducts: true,
            decision: None,
            permits: Vec::new(),
            valid_ms: 0,
            instance: None,
        }
    }

    /// Nodes that read a view, one entry a read.
    pub fn readers_of(&self, view: ViewKind) -> Vec<usize> {
        let reads = self.reads.iter().filter(|(kind, _)| *kind == view);
        reads.map(|(_, node)| *node).collect()
    }

    /// Nodes by their rank as conductor of a service, the first one first.
    pub fn ranking(&self, service: &str) -> Vec<usize> {
        let hash = xxhash_rust::xxh3::xxh3_64(service.as_bytes());
        let mut nodes: Vec<usize> = (0..self.nodes.len()).collect();
        let rank = |node: &usize| crate::gateway::slices::rank(endpoint(*node).address, hash);
        nodes.sort_by_key(|node| std::cmp::Reverse(rank(node)));
        nodes
    }

    /// Writes of a state that were done, with the nodes that made them.
    pub fn writers_of(&self, state: RolloutState) -> Vec<usize> {
        let writes = self.store.writes.iter();
        let done = writes.filter(|write| write.done && write.state == state);
        done.map(|write| write.node).collect()
    }
}
