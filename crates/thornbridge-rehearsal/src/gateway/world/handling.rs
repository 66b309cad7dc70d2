//! What nodes want done, and what callers do.

use super::{LEAD, Occurrence, Sent, World};
use crate::gateway::callers::Try;
use crate::gateway::network::STORE_TIME;
use crate::gateway::oracle::{Asked, Rule};
use crate::gateway::scenario::{GATHER_PREFIX, HOST, shard_service};
use crate::gateway::server::Condition;
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::gateway::{
    GatewayAction, GatewayAnswer, GatewayChange, GatewayEvent, RefusalReason, RequestHead,
};
use thornbridge_core::{CallerId, ConnectionId, Timestamp};
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::PeerMessage;
use thornbridge_proto::peer::slice::SliceMessage;
use thornbridge_proto::{BackEndId, ServiceName};

/// Time until a connection to a silent machine is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that a server takes to accept a connection.
const ACCEPT: Duration = Duration::from_millis(5);

impl World {
    pub(super) fn carry_out(&mut self, node: usize, life: u32, action: GatewayAction) {
        match action {
            GatewayAction::Open {
                connection,
                address,
            } => self.open(node, life, connection, address),
            GatewayAction::Close { connection } => self.close(node, life, connection),
            GatewayAction::Send {
                connection,
                attempt,
                caller,
                instance,
                caller_timeout,
            } => {
                let Some(request) = self.request_of(node, caller) else {
                    return;
                };
                if self.in_touch(node) {
                    self.oracle.patience(self.now, request, caller_timeout);
                }
                let Some(server) = self.machines[node].connections.get(&connection).copied() else {
                    return;
                };
                if self.silent.contains(&(node, life, connection)) {
                    return;
                }
                let zone = self.machines[node].zone;
                let delay = self.way(zone, self.servers[server].zone);
                self.in_flight.insert((node, life, connection), attempt);
                let sent = Sent {
                    node,
                    life,
                    connection,
                    attempt,
                    server,
                    expected: instance.as_str().to_owned(),
                    request,
                };
                self.schedule(delay, Occurrence::AtServer(Box::new(sent)));
            }
            GatewayAction::Answer { caller, answer } => {
                let delay = self.caller_way();
                let arrival = Occurrence::AnswerAtCaller(caller.0, Box::new(answer));
                self.schedule(delay, arrival);
            }
            GatewayAction::Read {
                kind, read, what, ..
            } => {
                self.report.store_calls += 1;
                let call = Occurrence::StoreCall(node, life, kind, read, what);
                self.schedule(STORE_TIME, call);
            }
            GatewayAction::SendPeer { to, message } => self.send_to_peer(node, to, message),
            GatewayAction::SendTask { to, caller, task } => {
                let request = SharedBytes::from(caller.0.to_le_bytes().to_vec());
                let task = *task;
                let message = PeerMessage::Slice(SliceMessage::Ask { task, request });
                self.send_to_peer(node, to, message);
            }
            GatewayAction::KeepRelayed { caller, relayed } => {
                let number = <[u8; 8]>::try_from(relayed.as_slice());
                let number = number.expect("a request's number");
                let adopted = &mut self.machines[node].adopted;
                adopted.insert(caller, u64::from_le_bytes(number));
            }
            GatewayAction::ReleaseRelayed { caller } => {
                self.machines[node].adopted.remove(&caller);
            }
            GatewayAction::SetReady { ready } => self.machines[node].ready = ready,
            GatewayAction::Changed(GatewayChange::ConfigurationActivated { version, .. }) => {
                self.configuration_activated(node, version.0);
            }
            GatewayAction::Changed(GatewayChange::Instance { id, state, .. }) => {
                self.instance_known(&id, state);
            }
            GatewayAction::WriteState { .. }
            | GatewayAction::SetLimits { .. }
            | GatewayAction::Finished(_)
            | GatewayAction::Changed(_) => {}
        }
    }

    /// The request that a handle of a node stands for: a caller's own, or one that was relayed.
    fn request_of(&self, node: usize, caller: CallerId) -> Option<u64> {
        let adopted = self.machines[node].adopted.get(&caller).copied();
        let own = Some(caller.0).filter(|number| *number <= self.next_request);
        adopted.or(own)
    }

    fn configuration_activated(&mut self, node: usize, version: u64) {
        let seen = self.machines[node].version_seen;
        if version <= seen {
            let detail = format!("node {node} went from {seen} to {version}");
            self.oracle.breaks(Rule::GoesBack, detail);
        }
        self.machines[node].version_seen = version;
        let mut acknowledged = self.acknowledged.iter();
        let found = acknowledged.find(|(_, acknowledged)| *acknowledged == version);
        let started = self.machines[node].started;
        // Nodes that start learn what is there already.
        let later = found.filter(|(at, _)| *at > started);
        let took = later.map_or(Duration::ZERO, |(at, _)| self.now.since(*at));
        let longest = &mut self.report.longest_activation;
        *longest = took.max(*longest);
    }

    fn instance_known(&mut self, id: &BackEndId, state: &str) {
        let mut servers = self.servers.iter();
        let server = servers.find(|server| server.id == *id);
        let leaving = server.and_then(|server| server.leaving_since);
        if let Some(since) = leaving.filter(|_| state == "draining") {
            let longest = &mut self.report.longest_leaving_known;
            *longest = self.now.since(since).max(*longest);
        }
    }

    fn open(&mut self, node: usize, life: u32, connection: ConnectionId, address: SocketAddr) {
        self.report.opened += 1;
        let zone = self.machines[node].zone;
        let server = self.server_at(address);
        let condition = server.map_or(Condition::Down, |server| self.servers[server].condition);
        let server_zone = server.map_or(zone, |server| self.servers[server].zone);
        let round_trip = self.way(zone, server_zone) * 2;
        let lost = Box::new(GatewayEvent::ConnectionLost { connection });
        match (condition, server) {
            (Condition::Up, Some(server)) => {
                self.opened(node, life, connection, server, round_trip);
            }
            (Condition::Dark, _) => {
                self.schedule(CONNECT_TIMEOUT, Occurrence::ToNode(node, life, lost));
            }
            _ => self.schedule(round_trip, Occurrence::ToNode(node, life, lost)),
        }
    }

    fn opened(
        &mut self,
        node: usize,
        life: u32,
        connection: ConnectionId,
        server: usize,
        round_trip: Duration,
    ) {
        let taken = self.servers[server].connect(self.now, (node, life), connection);
        let connect_time = round_trip + ACCEPT;
        let opened = Box::new(GatewayEvent::ConnectionOpened {
            connection,
            connect_time,
        });
        self.schedule(connect_time, Occurrence::ToNode(node, life, opened));
        if taken {
            self.machines[node].connections.insert(connection, server);
            return;
        }
        self.report.over_limit += 1;
        let lost = Box::new(GatewayEvent::ConnectionLost { connection });
        let after = connect_time + Duration::from_millis(1);
        self.schedule(after, Occurrence::ToNode(node, life, lost));
    }

    fn close(&mut self, node: usize, life: u32, connection: ConnectionId) {
        if self.silent.remove(&(node, life, connection)) {
            // Its server does not hear that, and goes on counting it.
            self.machines[node].connections.remove(&connection);
            return;
        }
        if let Some(server) = self.machines[node].connections.remove(&connection) {
            let owner = (node, life);
            self.servers[server]
                .connections
                .remove(&(owner, connection));
        }
    }

    // Callers.

    pub(super) fn ask(&mut self, mut asking: Try) {
        let chosen = self.choose_node(asking.zone);
        let Some(node) = chosen else {
            self.without_node(asking);
            return;
        };
        self.next_request += 1;
        let request = self.next_request;
        let life = self.machines[node].life;
        asking.node = (node, life);
        let load = self.scenario.loads[asking.load].clone();
        let gather = load.prefix == GATHER_PREFIX;
        let caller_timeout = asking.until.since(self.now);
        let limit = match gather {
            true => Duration::from_millis(1_500),
            false => Duration::from_millis(6_000),
        };
        let asked = Asked {
            at: self.now,
            repeatable: gather || self.scenario.plain_repeatable,
            limit: limit.min(caller_timeout),
            attempts: 2,
            refused_not_run: false,
            content: asking.content,
        };
        self.oracle.asked.insert(request, asked);
        self.count_request(gather);
        let head = RequestHead {
            id: Some(request.to_string()),
            fingerprint: Fingerprint(u128::from(asking.content)),
            host: HOST.to_owned(),
            path: format!("{}{request}", load.prefix),
            caller_timeout: Some(caller_timeout),
            first_on_connection: self.random.random_range(0..4) == 0,
        };
        let until = asking.until;
        self.tries.insert(request, asking);
        let event = GatewayEvent::Request {
            caller: Self::caller_id(request),
            head,
        };
        let delay = self.caller_way();
        self.schedule(delay, Occurrence::ToNode(node, life, Box::new(event)));
        self.schedule_at(until, Occurrence::CallerLeaves(request));
    }

    fn count_request(&mut self, gather: bool) {
        let services: Vec<ServiceName> = match gather {
            true => (0..self.scenario.shards)
                .map(|shard| shard_service(self.generation, shard))
                .collect(),
            false => vec![ServiceName::new("plain")],
        };
        for service in services {
            let times = self.oracle.requests_for.entry(service).or_default();
            times.push(self.now);
        }
    }

    /// A node of the zone that is ready; else of another; else any that runs.
    fn choose_node(&mut self, zone: usize) -> Option<usize> {
        let ready = |machine: &super::Machine| machine.ready && machine.gateway.is_some();
        let indices = 0..self.machines.len();
        let near: Vec<usize> = indices
            .clone()
            .filter(|node| self.machines[*node].zone == zone && ready(&self.machines[*node]))
            .collect();
        let far: Vec<usize> = indices
            .clone()
            .filter(|node| ready(&self.machines[*node]))
            .collect();
        let any: Vec<usize> = indices
            .filter(|node| self.machines[*node].gateway.is_some())
            .collect();
        let nodes = [near, far, any].into_iter().find(|nodes| !nodes.is_empty());
        let nodes = nodes?;
        Some(nodes[self.random.random_range(0..nodes.len())])
    }

    fn without_node(&mut self, mut asking: Try) {
        let again = self.now + Duration::from_millis(300);
        if asking.tries_left == 0 || again >= asking.until {
            self.report.failed += u64::from(self.is_ordinary(asking.content));
            return;
        }
        asking.tries_left -= 1;
        self.schedule_at(again, Occurrence::Ask(Box::new(asking)));
    }

    pub(super) fn answer_at_caller(&mut self, request: u64, answer: &GatewayAnswer) {
        if !self.tries.contains_key(&request) {
            return;
        }
        self.oracle.answered(self.now, request, answer, 0.89);
        self.count_wrong_refusal(request, answer);
        match answer {
            GatewayAnswer::Refused { retry_after, .. } => {
                let after = retry_after.unwrap_or_default();
                self.try_again(request, after, retry_after.is_some());
            }
            GatewayAnswer::Forwarded { .. } => self.served(request, 0),
            GatewayAnswer::Gathered { missing, .. } => self.served(request, *missing),
        }
    }

    fn count_wrong_refusal(&mut self, request: u64, answer: &GatewayAnswer) {
        let crashes = matches!(
            answer,
            GatewayAnswer::Refused {
                reason: RefusalReason::CrashesServers,
                ..
            }
        );
        let ordinary = self.is_ordinary(self.oracle.content_of(request));
        self.report.wrongly_refused += u64::from(crashes && ordinary);
    }

    pub(super) fn second_of(&self, at: Timestamp) -> usize {
        at.since_epoch().saturating_sub(LEAD).as_secs() as usize
    }

    pub(super) fn by_second(&mut self, second: usize) -> &mut (u64, u64) {
        if self.report.served_by_second.len() <= second {
            self.report.served_by_second.resize(second + 1, (0, 0));
        }
        &mut self.report.served_by_second[second]
    }

    fn served(&mut self, request: u64, missing: usize) {
        let Some(served) = self.tries.remove(&request) else {
            return;
        };
        if !self.is_ordinary(served.content) {
            return;
        }
        let took = self.now.since(served.first_asked);
        let gather = self.scenario.loads[served.load].prefix == GATHER_PREFIX;
        let objective = match gather {
            true => Duration::from_millis(100),
            false => Duration::from_millis(400),
        };
        match (took <= objective, missing) {
            (true, 0) => self.report.in_time += 1,
            (true, _) => self.report.partial_in_time += 1,
            (false, _) => self.report.late += 1,
        }
        let second = self.second_of(served.first_asked);
        self.by_second(second).1 += 1;
    }

    /// A try failed: the caller may try once more.
    pub(super) fn try_again(&mut self, request: u64, after: Duration, refused: bool) {
        let Some(mut asking) = self.tries.remove(&request) else {
            return;
        };
        let again = self.now + after;
        let may = asking.tries_left > 0 && again < asking.until;
        let repeatable = self
            .oracle
            .asked
            .get(&request)
            .is_some_and(|asked| asked.repeatable);
        if !may || !(repeatable || refused) {
            let ordinary = u64::from(self.is_ordinary(asking.content));
            match refused {
                true => self.report.refused += ordinary,
                false => self.report.failed += ordinary,
            }
            return;
        }
        asking.tries_left -= 1;
        self.schedule_at(again, Occurrence::Ask(Box::new(asking)));
    }

    pub(super) fn caller_leaves(&mut self, request: u64) {
        let Some(left) = self.tries.remove(&request) else {
            return;
        };
        self.report.failed += u64::from(self.is_ordinary(left.content));
        let (node, life) = left.node;
        let gone = GatewayEvent::CallerDisconnected {
            caller: Self::caller_id(request),
        };
        let delay = self.caller_way();
        self.schedule(delay, Occurrence::ToNode(node, life, Box::new(gone)));
    }
}
