//! Nodes' processes: their starts and ends, and the events that reach them.

use super::processor::is_read;
use super::{Machine, Occurrence, World, zone_name};
use crate::gateway::network::PeerLag;
use crate::gateway::oracle::CONTACT;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_core::gateway::{Gateway, GatewayEvent, GatewaySetup, Placement};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{NodeId, NodeName, RegionName, ZoneName};

impl World {
    pub(super) fn start_node(&mut self, node: usize) {
        let seeds: Vec<SocketAddr> = self
            .machines
            .iter()
            .take(3)
            .map(|machine| machine.address)
            .collect();
        let regions = (0..self.scenario.nodes.len()).map(zone_name);
        let numbered = regions.enumerate();
        let regions = numbered.map(|(zone, name)| (name, region_name(self.scenario.region(zone))));
        let regions: BTreeMap<ZoneName, RegionName> = regions.collect();
        let region = region_name(self.scenario.region(self.machines[node].zone));
        let machine = &mut self.machines[node];
        machine.life += 1;
        machine.started = self.now;
        machine.ready = false;
        machine.version_seen = 0;
        machine.connections.clear();
        machine.adopted.clear();
        machine.timer_at = Timestamp::MAX;
        machine.processor.reset();
        let identity = self.scenario.seed ^ ((node as u64) << 32) ^ u64::from(machine.life);
        let gateway = Gateway::new(GatewaySetup {
            endpoint: PeerEndpoint {
                node: NodeId(identity),
                address: machine.address,
            },
            name: NodeName::new(format!("node-{node}")),
            placement: Placement {
                zone: zone_name(machine.zone),
                region,
                regions,
            },
            seeds,
            seed: identity,
            parameters: self.scenario.parameters.clone(),
        });
        machine.gateway = Some(gateway);
        let life = machine.life;
        self.node_event(node, life, GatewayEvent::Started);
    }

    /// A node's process ends; `power`: its peers and servers are not told.
    pub(super) fn end_node(&mut self, node: usize, power: bool) {
        let owner = (node, self.machines[node].life);
        self.machines[node].gateway = None;
        self.machines[node].ready = false;
        for server in &mut self.servers {
            server.owner_ended(self.now, owner, power);
        }
        self.watches.retain(|(other, ..)| *other != node);
        let lost: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, waiting)| waiting.node.0 == node)
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            self.try_again(request, Duration::ZERO, false);
        }
    }

    pub(super) fn send_to_peer(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        self.report.peer_messages += 1;
        let address = |machine: &Machine| machine.address == to;
        let Some(target) = self.machines.iter().position(address) else {
            return;
        };
        let zone = self.machines[from].zone;
        let span = self.scenario.span(zone, self.machines[target].zone);
        self.report.count_peer_message(span, &message);
        let cut = |machine: &Machine| machine.cut_from_peers_until > self.now;
        if cut(&self.machines[from]) || cut(&self.machines[target]) {
            return;
        }
        let source = &self.machines[from];
        let Some(_) = source.gateway else {
            return;
        };
        let identity = self.scenario.seed ^ ((from as u64) << 32) ^ u64::from(source.life);
        let endpoint = PeerEndpoint {
            node: NodeId(identity),
            address: source.address,
        };
        let delay = self.way(zone, self.machines[target].zone);
        let life = self.machines[target].life;
        if self.machines[target].gateway.is_none() {
            let down = GatewayEvent::PeerLinkDown { address: to };
            let life = self.machines[from].life;
            self.schedule(delay * 2, Occurrence::ToNode(from, life, Box::new(down)));
            return;
        }
        let event = GatewayEvent::PeerMessage {
            from: endpoint,
            message,
        };
        let arrives = self.arrival_on_link(from, target, delay);
        self.schedule_at(arrives, Occurrence::ToNode(target, life, Box::new(event)));
    }

    /// When a message that takes this long arrives: those of one link stay in order.
    fn arrival_on_link(&mut self, from: usize, to: usize, delay: Duration) -> Timestamp {
        let PeerLag { until, most } = self.peer_lag;
        let lag = match self.now < until {
            true => most.mul_f64(self.random.random_range(0.0..1.0)),
            false => Duration::ZERO,
        };
        let last = self.links.entry((from, to)).or_insert(Timestamp::ZERO);
        let arrives = (self.now + delay + lag).max(*last);
        *last = arrives;
        arrives
    }

    /// Hands an event to a node, if that run of it still lives.
    pub(super) fn node_event(&mut self, node: usize, life: u32, event: GatewayEvent) {
        let machine = &mut self.machines[node];
        if machine.life != life || machine.gateway.is_none() {
            return;
        }
        if machine.frozen_until > self.now {
            let at = machine.frozen_until;
            self.schedule_at(at, Occurrence::ToNode(node, life, Box::new(event)));
            return;
        }
        if let Some(event) = machine.processor.queue(self.now, event) {
            self.handle_event(node, life, event);
        }
    }

    /// A node takes an event, and what it wants done is carried out.
    pub(super) fn handle_event(&mut self, node: usize, life: u32, event: GatewayEvent) {
        let machine = &mut self.machines[node];
        let clock = Timestamp::from_epoch(self.now.since(machine.started));
        let Some(mut gateway) = machine.gateway.take() else {
            return;
        };
        let event_costs = is_read(&event);
        gateway.handle(clock, event);
        let mut actions = Vec::new();
        while let Some(action) = gateway.poll_action() {
            actions.push(action);
        }
        let due = gateway.next_timeout();
        let started = machine.started;
        machine.gateway = Some(gateway);
        if let Some(due) = due {
            let at = (started + due.since_epoch()).max(self.now + Duration::from_micros(100));
            if at < machine.timer_at {
                machine.timer_at = at;
                self.schedule_at(at, Occurrence::Timer(node, life));
            }
        }
        self.carry_out_in_turn(node, life, event_costs, actions);
    }

    /// Whether a node has been undisturbed, and able to learn from store or peers, for a while.
    pub(super) fn in_touch(&self, node: usize) -> bool {
        let machine = &self.machines[node];
        let calm = |since: Timestamp| self.now.since(since) > CONTACT;
        calm(machine.disturbed) && calm(machine.started) && calm(self.store_disturbed)
    }
}

fn region_name(region: usize) -> RegionName {
    RegionName::new(format!("region-{region}"))
}
