//! Carrying out what a node wants.

use super::Simulator;
use super::back_end::ConnectionKey;
use super::host::{ConnectionState, HostConnection};
use super::network::Place;
use super::node_steps::shortened;
use super::occurrence::{NodeArrival, Occurrence, PlatformArrival, ServerArrival};
use super::platform::PlatformClient;
use super::sabotage::Sabotage;
use super::trace::Step;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::{Action, AttemptFailure, ConnectionId, Event, StateChange, Timestamp};
use thornbridge_proto::back_end::Attempt;
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::platform::{PlatformFailure, PlatformRequest, WatchEnd};

/// Time that a new connection costs the server, besides the way.
const CONNECT_COST: Duration = Duration::from_millis(1);
/// A process gives up a connection that is not accepted after this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A process gives up a connection on which nothing is acknowledged for this long.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// A process waits this long for the platform.
pub(super) const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// A process waits this long for a probe's answer.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// A link to a peer that is cut off breaks after this.
const LINK_TIMEOUT: Duration = Duration::from_secs(5);

impl Simulator {
    pub(super) fn carry_out(&mut self, node: usize, action: Action) {
        self.trace.note(
            self.now,
            Step::NodeAction,
            [node as u64, action_tag(&action), 0],
            || format!("node-{node} -> {}", shortened(format!("{action:?}"))),
        );
        match action {
            Action::OpenConnection {
                connection,
                address,
                ..
            } => self.open_connection(node, connection, address),
            Action::CloseConnection { connection } => self.close_connection(node, connection),
            Action::SendAttempt {
                connection,
                attempt,
            } => self.send_attempt(node, connection, attempt),
            Action::CancelAttempt {
                connection,
                attempt,
                ..
            } => self.cancel_attempt(node, connection, attempt),
            Action::Probe { back_end, address } => self.probe(node, back_end, address),
            Action::SendPeer { to, message } => self.send_peer(node, to, message),
            Action::Platform { operation, request } => {
                let arrival = PlatformArrival::Request { operation, request };
                self.ask_platform(node, arrival);
            }
            Action::Watch { watch, kind, from } => {
                self.ask_platform(node, PlatformArrival::Watch { watch, kind, from });
            }
            Action::StopWatch { watch } => {
                self.ask_platform(node, PlatformArrival::StopWatch { watch });
            }
            Action::AnswerQuery { caller, answer } => self.answer_query(node, caller, answer),
            Action::AnswerAction { caller, answer } => self.answer_action(node, caller, answer),
            Action::Refuse { caller, refusal } => self.refuse(node, caller, refusal),
            Action::SetReady { ready } => self.hosts[node].ready = ready,
            Action::Stopped => self.stopped(node),
            Action::StateChanged(change) => self.state_changed(node, change),
            Action::Observe(_) => {}
            #[allow(unreachable_patterns)]
            _ => {}
        }
    }

    fn key(&self, node: usize, connection: ConnectionId) -> ConnectionKey {
        ConnectionKey {
            node,
            run: self.hosts[node].run,
            connection,
        }
    }

    fn open_connection(&mut self, node: usize, connection: ConnectionId, address: SocketAddr) {
        let run = self.hosts[node].run;
        let Some(server) = self.server_of_address.get(&address).copied() else {
            self.send_to_node(
                CONNECT_TIMEOUT,
                node,
                run,
                NodeArrival::Broken { connection },
            );
            return;
        };
        let state = ConnectionState::Opening;
        let entry = HostConnection { server, state };
        self.hosts[node].connections.insert(connection, entry);
        let (from, to) = (self.place_of_node(node), self.place_of_server(server));
        match self.network.reliable(self.now, from, to) {
            Some(delay) => {
                let arrival = ServerArrival::Connect(self.key(node, connection));
                self.after(delay + CONNECT_COST, Occurrence::Server { server, arrival });
            }
            None => self.send_to_node(
                CONNECT_TIMEOUT,
                node,
                run,
                NodeArrival::Broken { connection },
            ),
        }
    }

    fn close_connection(&mut self, node: usize, connection: ConnectionId) {
        let Some(known) = self.hosts[node].connections.remove(&connection) else {
            return;
        };
        self.tell_server_of_end(node, self.hosts[node].run, connection, known.server);
    }

    /// A connection ended on the node's side; the server learns it when it can be reached.
    pub(super) fn tell_server_of_end(
        &mut self,
        node: usize,
        run: u32,
        connection: ConnectionId,
        server: usize,
    ) {
        let (from, to) = (self.place_of_node(node), self.place_of_server(server));
        let delay = self.network.reliable(self.now, from, to);
        let arrival = ServerArrival::Disconnect(ConnectionKey {
            node,
            run,
            connection,
        });
        let delay = delay.unwrap_or(SILENCE_TIMEOUT);
        self.after(delay, Occurrence::Server { server, arrival });
    }

    fn send_attempt(&mut self, node: usize, connection: ConnectionId, attempt: Attempt) {
        let known = self.hosts[node].connections.get_mut(&connection);
        let idle = known.filter(|known| known.state == ConnectionState::Idle);
        let Some(known) = idle else {
            self.contract_breaches += 1;
            let attempt = attempt.attempt;
            let failure = AttemptFailure::NotSent;
            let event = Event::AttemptFailed { attempt, failure };
            let run = self.hosts[node].run;
            self.send_to_node(Duration::ZERO, node, run, NodeArrival::Event(event));
            return;
        };
        known.state = ConnectionState::Busy(attempt.attempt);
        let server = known.server;
        self.note_attempt(node, self.sabotaged_server(server), &attempt);
        let (from, to) = (self.place_of_node(node), self.place_of_server(server));
        let key = self.key(node, connection);
        match self.network.reliable(self.now, from, to) {
            Some(delay) => {
                self.sabotage_attempt(server, key, &attempt, delay);
                let arrival = ServerArrival::Attempt(key, attempt);
                self.after(delay, Occurrence::Server { server, arrival });
            }
            None => {
                let arrival = NodeArrival::Broken { connection };
                self.send_to_node(SILENCE_TIMEOUT, node, key.run, arrival);
            }
        }
    }

    fn note_attempt(&mut self, node: usize, server: usize, attempt: &Attempt) {
        let deployment = &self.setup.deployment;
        let place = &deployment.servers[server];
        let first = self.oracle.attempt_sent(
            self.now,
            deployment.nodes[node].name.as_str(),
            place.back_end.id.as_str(),
            attempt,
            self.back_ends[server].leaving_since,
        );
        let measured = &mut self.measurements[place.service];
        measured.attempts += 1;
        measured.first_attempts += u64::from(first);
    }

    fn cancel_attempt(
        &mut self,
        node: usize,
        connection: ConnectionId,
        attempt: thornbridge_proto::AttemptId,
    ) {
        let Some(known) = self.hosts[node].connections.get(&connection).copied() else {
            return;
        };
        let server = known.server;
        let (from, to) = (self.place_of_node(node), self.place_of_server(server));
        if let Some(delay) = self.network.reliable(self.now, from, to) {
            let arrival = ServerArrival::Cancel(self.key(node, connection), attempt);
            self.after(delay, Occurrence::Server { server, arrival });
        }
    }

    fn probe(&mut self, node: usize, back_end: thornbridge_proto::BackEndId, address: SocketAddr) {
        let run = self.hosts[node].run;
        let server = self.server_of_address.get(&address).copied();
        let delay = server.and_then(|server| {
            let (from, to) = (self.place_of_node(node), self.place_of_server(server));
            self.network.reliable(self.now, from, to)
        });
        match (server, delay) {
            (Some(server), Some(delay)) => {
                let arrival = ServerArrival::Probe { node, run };
                self.after(delay, Occurrence::Server { server, arrival });
            }
            _ => {
                let event = Event::ProbeFailed { back_end };
                self.send_to_node(PROBE_TIMEOUT, node, run, NodeArrival::Event(event));
            }
        }
    }

    fn send_peer(&mut self, node: usize, to: SocketAddr, message: PeerMessage) {
        self.count_message(&message);
        let run = self.hosts[node].run;
        let Some(target) = self.host_of_address.get(&to).copied() else {
            let event = Event::PeerLinkDown { address: to };
            self.send_to_node(CONNECT_TIMEOUT, node, run, NodeArrival::Event(event));
            return;
        };
        self.check_forward(node, target, &message);
        let (here, there) = (self.place_of_node(node), self.place_of_node(target));
        if !self.network.connected(self.now, here, there) || self.has_lost_power(target) {
            let event = Event::PeerLinkDown { address: to };
            self.send_to_node(LINK_TIMEOUT, node, run, NodeArrival::Event(event));
            return;
        }
        let Some(delay) = self.network.best_effort(self.now, here, there) else {
            return;
        };
        if !self.hosts[target].is_up() {
            let event = Event::PeerLinkDown { address: to };
            self.send_to_node(delay + delay, node, run, NodeArrival::Event(event));
            return;
        }
        let from = PeerEndpoint {
            node: self.hosts[node].id,
            address: self.setup.deployment.nodes[node].address,
        };
        let event = Event::PeerMessage { from, message };
        let target_run = self.hosts[target].run;
        self.send_to_node(delay, target, target_run, NodeArrival::Event(event));
    }

    fn count_message(&mut self, message: &PeerMessage) {
        let starting = self.now < Timestamp::ZERO + super::WARM_UP;
        if starting || matches!(message, PeerMessage::Action(_)) {
            return;
        }
        /// Length prefix of a frame.
        const PREFIX_BYTES: u64 = 4;
        let bytes = rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len() as u64);
        self.control.bytes += bytes + PREFIX_BYTES;
        self.control.messages += 1;
    }

    fn check_forward(&mut self, node: usize, target: usize, message: &PeerMessage) {
        use thornbridge_proto::peer::action::ActionMessage;
        if !matches!(message, PeerMessage::Action(ActionMessage::Claim { .. })) {
            return;
        }
        let nodes = &self.setup.deployment.nodes;
        self.oracle.action_forwarded(
            self.now,
            nodes[node].name.as_str(),
            nodes[target].name.as_str(),
            self.hosts[target].stopping_since,
        );
    }

    fn ask_platform(&mut self, node: usize, arrival: PlatformArrival) {
        let run = self.hosts[node].run;
        let client = PlatformClient::Node { node, run };
        let from = self.place_of_node(node);
        let delay = self.network.reliable(self.now, from, Place::Platform);
        if let Some(delay) = delay {
            self.after(delay, Occurrence::Platform { client, arrival });
            return;
        }
        if let Some(event) = no_answer(&arrival) {
            self.send_to_node(PLATFORM_TIMEOUT, node, run, NodeArrival::Event(event));
        }
    }

    fn state_changed(&mut self, node: usize, change: StateChange) {
        if let StateChange::ConfigurationActivated {
            generation,
            version,
        } = change
        {
            self.hosts[node].generation = Some(generation);
            let reach = self.reach(node);
            self.oracle
                .generation_activated(self.now, node, reach, generation, &version);
            if self.setup.sabotage == Some(Sabotage::RevertConfiguration) && generation.0 > 1 {
                let older = thornbridge_proto::Generation(generation.0 - 1);
                self.oracle
                    .generation_activated(self.now, node, reach, older, &version);
            }
        }
    }

    /// Whether a node's zone is without power.
    pub(super) fn has_lost_power(&self, node: usize) -> bool {
        let zone = self.setup.deployment.nodes[node].zone;
        self.zone_without_power(zone, self.now)
    }

    pub(super) fn zone_without_power(&self, zone: usize, now: Timestamp) -> bool {
        let zones = self.setup.deployment.scenario.zones.len();
        self.schedule
            .active(crate::fault::Fault::ZoneLoss, now)
            .any(|window| {
                super::network::loses_power(window)
                    && super::network::lost_zone(window, zones) == zone
            })
    }
}

/// What a process tells the core when the platform cannot be reached.
pub(super) fn no_answer(arrival: &PlatformArrival) -> Option<Event> {
    match arrival {
        PlatformArrival::Request { operation, request } => {
            let failure = match request {
                PlatformRequest::Put { .. } => PlatformFailure::NoAnswer,
                _ => PlatformFailure::Unreachable,
            };
            Some(Event::PlatformReply {
                operation: *operation,
                result: Err(failure),
            })
        }
        PlatformArrival::Watch { watch, .. } => Some(Event::WatchEnded {
            watch: *watch,
            end: WatchEnd::Lost,
        }),
        PlatformArrival::StopWatch { .. } => None,
    }
}

/// A number for the kind of an action, part of the digest.
fn action_tag(action: &Action) -> u64 {
    match action {
        Action::OpenConnection { connection, .. } => 1 + (connection.0 << 5),
        Action::CloseConnection { connection } => 2 + (connection.0 << 5),
        Action::SendAttempt { attempt, .. } => 3 + (attempt.attempt.0 << 5),
        Action::CancelAttempt { attempt, .. } => 4 + (attempt.0 << 5),
        Action::Probe { .. } => 5,
        Action::SendPeer { .. } => 6,
        Action::Platform { operation, .. } => 7 + (operation.0 << 5),
        Action::Watch { watch, .. } => 8 + (watch.0 << 5),
        Action::StopWatch { watch } => 9 + (watch.0 << 5),
        Action::AnswerQuery { caller, answer } => {
            10 + (caller.0 << 5) + (u64::from(answer.coverage.shards_answered) << 40)
        }
        Action::AnswerAction { caller, .. } => 11 + (caller.0 << 5),
        Action::Refuse { caller, .. } => 12 + (caller.0 << 5),
        Action::SetReady { ready } => 13 + (u64::from(*ready) << 5),
        Action::Stopped => 14,
        Action::StateChanged(_) => 15,
        Action::Observe(_) => 16,
        #[allow(unreachable_patterns)]
        _ => 17,
    }
}
