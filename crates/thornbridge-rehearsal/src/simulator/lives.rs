//! Faults begin and end; processes start, stop, pause and die; operators change things.

use super::host::Pause;
use super::network::{loses_power, lost_zone};
use super::occurrence::{Life, Occurrence, RollOutStep};
use super::platform::PlatformClient;
use super::trace::Step;
use super::{NODE_PURPOSE, Simulator};
use crate::fault::{Fault, FaultWindow};
use crate::scenario::hash_parts;
use rand::Rng;
use std::time::Duration;
use thornbridge_core::{Event, Node, NodeSetup, Timestamp};
use thornbridge_proto::NodeId;
use thornbridge_proto::peer::PeerEndpoint;

/// Callers offer this many times the load under [`Fault::Overload`].
pub const OVERLOAD_FACTOR: f64 = 2.0;
/// A paused process stands still for this long.
const PAUSE: Duration = Duration::from_secs(20);
/// A draining server's process ends after this.
const SERVER_DRAIN: Duration = Duration::from_secs(6);
/// A server's process is started anew after this.
const SERVER_RESTART: Duration = Duration::from_secs(1);
/// Seeds that a node is told.
const SEEDS: usize = 3;

impl Simulator {
    pub(super) fn life_step(&mut self, life: Life) {
        self.trace
            .note(self.now, Step::Life, [life_tag(&life), 0, 0], || {
                super::node_steps::shortened(format!("life {life:?}"))
            });
        match life {
            Life::Begins(window) => self.fault_begins(self.schedule.windows[window]),
            Life::Ends(window) => self.fault_ends(self.schedule.windows[window]),
            Life::StartNode(node) => self.start_node(node),
            Life::StopNode(node) => self.stop_node(node),
            Life::ResumeNode(node) => self.resume_node(node),
            Life::DrainServer(server) => self.drain_server(server),
            Life::StopServer(server) => self.stop_server(server),
            Life::StartServer(server) => self.start_server(server),
            Life::HoldSnapshot { server, snapshot } => {
                self.back_ends[server].held.insert(snapshot);
            }
            Life::RollOut(step) => self.roll_out(step),
            Life::DropSnapshots => self.drop_snapshots(),
        }
    }

    /// What happens on any day: a version is rolled out, a server and a node are replaced.
    pub(super) fn schedule_routine(&mut self) {
        let start = Timestamp::ZERO + super::WARM_UP;
        let at = |share: f64| start + self.setup.duration.mul_f64(share);
        let server = self.random.random_range(0..self.back_ends.len());
        let node = self.random.random_range(0..self.hosts.len());
        let routine = [
            (at(0.1), Life::DrainServer(server)),
            (at(0.25), Life::RollOut(RollOutStep::Plain)),
            (at(0.75), Life::StopNode(node)),
        ];
        for (at, life) in routine {
            self.queue.push(at, Occurrence::Life(life));
        }
    }

    fn fault_begins(&mut self, window: FaultWindow) {
        match window.fault {
            Fault::ReplicaLoss => self.lose_replicas(&window),
            Fault::Repartition => self.change_snapshots(&window, true),
            Fault::SnapshotChange => self.change_snapshots(&window, false),
            Fault::StoreDown => self.lose_watches(),
            Fault::PausedLease => self.pause_holder(&window),
            Fault::OperatorRace => self.race(&window, 1),
            Fault::AutomationRace => {
                let seconds = window.ends.since(window.begins).as_secs();
                self.race(&window, seconds.max(2));
            }
            Fault::NodeCrash => self.end_node(self.node_of(&window), false),
            Fault::NodeRestart => self.restart_nodes(&window),
            Fault::ZoneLoss if loses_power(&window) => self.lose_power(&window),
            Fault::ColdStart => self.drain_servers(&window),
            _ => {}
        }
    }

    fn fault_ends(&mut self, window: FaultWindow) {
        match window.fault {
            Fault::ReplicaLoss => {
                for server in self.servers_hit(&window) {
                    self.start_server(server);
                }
            }
            Fault::StoreDown if window.seed.is_multiple_of(2) => self.platform.compact(),
            Fault::NodeCrash => self.start_node(self.node_of(&window)),
            Fault::ZoneLoss if loses_power(&window) => self.restore_power(&window),
            _ => {}
        }
    }

    fn node_of(&self, window: &FaultWindow) -> usize {
        (window.seed % self.hosts.len() as u64) as usize
    }

    fn servers_hit(&self, window: &FaultWindow) -> Vec<usize> {
        let conditions = self.conditions();
        (0..self.back_ends.len())
            .filter(|server| conditions.hits(window, *server))
            .collect()
    }

    fn lose_replicas(&mut self, window: &FaultWindow) {
        for server in self.servers_hit(window) {
            self.end_server(server);
        }
    }

    fn drain_servers(&mut self, window: &FaultWindow) {
        for server in self.servers_hit(window) {
            self.drain_server(server);
        }
    }

    fn drain_server(&mut self, server: usize) {
        if !self.back_ends[server].up || self.back_ends[server].leaving_since.is_some() {
            return;
        }
        self.back_ends[server].leaving_since = Some(self.now);
        self.after(SERVER_DRAIN, Occurrence::Life(Life::StopServer(server)));
    }

    fn stop_server(&mut self, server: usize) {
        if !self.back_ends[server].up || self.back_ends[server].leaving_since.is_none() {
            return;
        }
        if self.back_ends[server].jobs() > 0 {
            let life = Life::StopServer(server);
            self.after(SERVER_RESTART, Occurrence::Life(life));
            return;
        }
        self.end_server(server);
        let life = Life::StartServer(server);
        self.after(SERVER_RESTART, Occurrence::Life(life));
    }

    fn zone_members(&self, window: &FaultWindow) -> (Vec<usize>, Vec<usize>) {
        let deployment = &self.setup.deployment;
        let zone = lost_zone(window, deployment.scenario.zones.len());
        let nodes = (0..self.hosts.len()).filter(|node| deployment.nodes[*node].zone == zone);
        let servers =
            (0..self.back_ends.len()).filter(|server| deployment.servers[*server].zone == zone);
        (nodes.collect(), servers.collect())
    }

    fn lose_power(&mut self, window: &FaultWindow) {
        let (nodes, servers) = self.zone_members(window);
        for node in nodes {
            self.end_node(node, true);
        }
        for server in servers {
            self.end_server(server);
        }
    }

    fn restore_power(&mut self, window: &FaultWindow) {
        let (nodes, servers) = self.zone_members(window);
        for node in nodes {
            self.start_node(node);
        }
        for server in servers {
            self.start_server(server);
        }
    }

    fn restart_nodes(&mut self, window: &FaultWindow) {
        let nodes = self.hosts.len();
        let count = nodes.div_ceil(2);
        let spacing = window.ends.since(window.begins) / count as u32;
        let first = self.node_of(window);
        for step in 0..count {
            let life = Life::StopNode((first + step) % nodes);
            self.after(spacing * step as u32, Occurrence::Life(life));
        }
    }

    /// Starts a run of a node, unless one runs.
    pub(super) fn start_node(&mut self, node: usize) {
        if self.hosts[node].is_up() || self.has_lost_power(node) {
            return;
        }
        let run = self.hosts[node].run;
        let parts = [NODE_PURPOSE, node as u64, u64::from(run)];
        let id = NodeId(hash_parts(self.setup.seed, &parts));
        let place = &self.setup.deployment.nodes[node];
        let setup = NodeSetup {
            endpoint: PeerEndpoint {
                node: id,
                address: place.address,
            },
            operator_address: place.address,
            name: place.name.clone(),
            zone: place.zone_name.clone(),
            region: place.region.clone(),
            seeds: self.seeds_of(node),
            trusted_keys: vec![self.operators.trusted_key()],
            seed: hash_parts(id.0, &[NODE_PURPOSE]),
            parameters: self.setup.parameters.clone(),
        };
        self.hosts[node].begin(self.now, id, Node::new(setup));
        self.handle(node, Event::Started);
    }

    /// The first nodes of the deployment are everyone's seeds.
    fn seeds_of(&self, node: usize) -> Vec<std::net::SocketAddr> {
        let places = self.setup.deployment.nodes.iter().enumerate();
        let others = places.filter(|(index, _)| *index != node);
        others.map(|(_, place)| place.address).take(SEEDS).collect()
    }

    fn stop_node(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        if !host.is_up() || host.pause.is_some() || host.stopping_since.is_some() {
            return;
        }
        host.stopping_since = Some(self.now);
        if self.setup.sabotage == Some(super::Sabotage::CutOnStop) {
            self.stopped_at_once(node);
            return;
        }
        self.handle(node, Event::StopRequested);
    }

    /// Ends a run of a node; `silent` where its machine is gone too.
    pub(super) fn end_node(&mut self, node: usize, silent: bool) {
        if !self.hosts[node].is_up() {
            return;
        }
        let (id, run) = (self.hosts[node].id, self.hosts[node].run);
        let held = self.hosts[node].end();
        self.oracle.forget_requests_of(id);
        self.platform
            .forget_client(PlatformClient::Node { node, run });
        self.lose_deliveries(node, run, silent);
        for (connection, known) in held {
            self.tell_server_of_end(node, run, connection, known.server);
        }
    }

    /// Pauses the node that holds most leases.
    fn pause_holder(&mut self, window: &FaultWindow) {
        let leases = |node: &usize| {
            let state = self.hosts[*node].node.as_ref();
            let status = state.map(|state| state.status());
            let held = status.map(|status| status.leases);
            held.map_or(0, |leases| {
                leases.iter().filter(|lease| lease.held_here).count()
            })
        };
        let fallback = self.node_of(window);
        let holder = (0..self.hosts.len())
            .max_by_key(|node| (leases(node), *node == fallback))
            .unwrap_or(fallback);
        if !self.hosts[holder].is_up() || self.hosts[holder].pause.is_some() {
            return;
        }
        self.hosts[holder].pause = Some(Pause {
            since: self.now,
            backlog: Vec::new(),
        });
        self.after(PAUSE, Occurrence::Life(Life::ResumeNode(holder)));
    }

    fn resume_node(&mut self, node: usize) {
        let Some(pause) = self.hosts[node].pause.take() else {
            return;
        };
        self.hosts[node].resumed = Some(self.now);
        let by = self.now.since(pause.since);
        self.handle(node, Event::ClockJumped { by });
        for occurrence in pause.backlog {
            self.step(occurrence);
        }
    }

    fn race(&mut self, window: &FaultWindow, rollouts: u64) {
        for index in 0..=rollouts {
            let delay = if rollouts > 1 {
                window
                    .ends
                    .since(window.begins)
                    .mul_f64(index as f64 / rollouts as f64)
            } else {
                Duration::ZERO
            };
            let life = Life::RollOut(RollOutStep::Plain);
            self.after(delay, Occurrence::Life(life));
        }
    }
}

/// A number for a step, part of the digest.
fn life_tag(life: &Life) -> u64 {
    match life {
        Life::Begins(window) => 1 + ((*window as u64) << 4),
        Life::Ends(window) => 2 + ((*window as u64) << 4),
        Life::StartNode(node) => 3 + ((*node as u64) << 4),
        Life::StopNode(node) => 4 + ((*node as u64) << 4),
        Life::ResumeNode(node) => 5 + ((*node as u64) << 4),
        Life::DrainServer(server) => 6 + ((*server as u64) << 4),
        Life::StopServer(server) => 7 + ((*server as u64) << 4),
        Life::StartServer(server) => 8 + ((*server as u64) << 4),
        Life::HoldSnapshot { server, .. } => 9 + ((*server as u64) << 4),
        Life::RollOut(_) => 10,
        Life::DropSnapshots => 11,
    }
}
