//! What reaches a server.

use super::back_end::{BackEndOutput, ConnectionKey};
use super::node_actions::{PROBE_TIMEOUT, SILENCE_TIMEOUT};
use super::occurrence::{NodeArrival, Occurrence, ServerArrival};
use super::trace::Step;
use super::{Simulator, conditions_of};
use crate::fault::Fault;
use std::time::Duration;
use thornbridge_core::Event;

impl Simulator {
    pub(super) fn server_step(&mut self, server: usize, arrival: ServerArrival) {
        self.trace.note(
            self.now,
            Step::Server,
            [server as u64, arrival_tag(&arrival), 0],
            || {
                let name = &self.setup.deployment.servers[server].back_end.id;
                super::node_steps::shortened(format!("{name} <- {arrival:?}"))
            },
        );
        match arrival {
            ServerArrival::Connect(key) => self.connect(server, key),
            ServerArrival::Disconnect(key) => self.back_ends[server].disconnect(key),
            ServerArrival::Attempt(key, attempt) => {
                if !self.is_served(server, key) {
                    return;
                }
                let mut outputs = Vec::new();
                let conditions = conditions_of!(self);
                let model = &mut self.back_ends[server];
                model.arrive(self.now, conditions, key, attempt, &mut outputs);
                self.server_outputs(server, outputs);
            }
            ServerArrival::Cancel(key, attempt) => {
                let mut outputs = Vec::new();
                let conditions = conditions_of!(self);
                let model = &mut self.back_ends[server];
                model.cancel(self.now, conditions, key, attempt, &mut outputs);
                self.server_outputs(server, outputs);
            }
            ServerArrival::Probe { node, run } => self.answer_probe(server, node, run),
            ServerArrival::Done { run, sequence } => {
                if self.back_ends[server].run != run {
                    return;
                }
                let mut outputs = Vec::new();
                let conditions = conditions_of!(self);
                let model = &mut self.back_ends[server];
                model.done(self.now, conditions, sequence, &mut outputs);
                self.server_outputs(server, outputs);
            }
        }
    }

    /// Whether a server is gone without a word, so that nothing tells its peers.
    fn is_silent(&self, server: usize) -> bool {
        let zone = self.setup.deployment.servers[server].zone;
        let lost = self
            .conditions()
            .is_hit(Fault::ReplicaLoss, server, self.now);
        lost || self.zone_without_power(zone, self.now)
    }

    fn connect(&mut self, server: usize, key: ConnectionKey) {
        let up = self.back_ends[server].up;
        let conditions = conditions_of!(self);
        let accepted = up && self.back_ends[server].connect(conditions, key);
        let limit = self.setup.deployment.servers[server].back_end.connections;
        let used = self.back_ends[server].connections() as f64 / f64::from(limit.max(1));
        self.connections_peak = self.connections_peak.max(used);
        let connection = key.connection;
        let (from, to) = (self.place_of_server(server), self.place_of_node(key.node));
        let delay = self.network.reliable(self.now, from, to);
        match (accepted, delay) {
            (true, Some(delay)) => {
                self.send_to_node(
                    delay,
                    key.node,
                    key.run,
                    NodeArrival::Connected { connection },
                );
            }
            (false, Some(delay)) => {
                let silent = !up && self.is_silent(server);
                let delay = if silent {
                    Duration::from_secs(1)
                } else {
                    delay
                };
                self.send_to_node(delay, key.node, key.run, NodeArrival::Broken { connection });
            }
            (_, None) => {
                let delay = SILENCE_TIMEOUT;
                self.send_to_node(delay, key.node, key.run, NodeArrival::Broken { connection });
            }
        }
    }

    /// Whether an attempt's connection still stands; where not, the node learns it.
    fn is_served(&mut self, server: usize, key: ConnectionKey) -> bool {
        if self.back_ends[server].up && self.back_ends[server].is_connected(key) {
            return true;
        }
        self.break_connection(server, key);
        false
    }

    /// The node at the other end of a connection learns that it broke: soon from a process that
    /// died, late from a machine that vanished.
    pub(super) fn break_connection(&mut self, server: usize, key: ConnectionKey) {
        let (from, to) = (self.place_of_server(server), self.place_of_node(key.node));
        let delay = self
            .network
            .reliable(self.now, from, to)
            .filter(|_| self.back_ends[server].up || !self.is_silent(server))
            .unwrap_or(SILENCE_TIMEOUT);
        let connection = key.connection;
        self.send_to_node(delay, key.node, key.run, NodeArrival::Broken { connection });
    }

    fn server_outputs(&mut self, server: usize, outputs: Vec<BackEndOutput>) {
        for output in outputs {
            match output {
                BackEndOutput::Started {
                    sequence,
                    done,
                    attempt,
                } => {
                    self.oracle.executed(self.now, &attempt);
                    let run = self.back_ends[server].run;
                    let arrival = ServerArrival::Done { run, sequence };
                    self.queue
                        .push(done, Occurrence::Server { server, arrival });
                }
                BackEndOutput::Reply { connection, reply } => {
                    self.send_reply(server, connection, reply);
                }
            }
        }
    }

    fn send_reply(
        &mut self,
        server: usize,
        key: ConnectionKey,
        reply: thornbridge_proto::back_end::BackEndReply,
    ) {
        let conditions = conditions_of!(self);
        let load = self.back_ends[server].report(self.now, conditions, false);
        let connection = key.connection;
        let (from, to) = (self.place_of_server(server), self.place_of_node(key.node));
        match self.network.reliable(self.now, from, to) {
            Some(delay) => {
                let arrival = NodeArrival::Reply {
                    connection,
                    reply,
                    load,
                };
                self.send_to_node(delay, key.node, key.run, arrival);
            }
            None => {
                let arrival = NodeArrival::Broken { connection };
                self.send_to_node(SILENCE_TIMEOUT, key.node, key.run, arrival);
            }
        }
    }

    fn answer_probe(&mut self, server: usize, node: usize, run: u32) {
        let back_end = self.setup.deployment.servers[server].back_end.id.clone();
        let (from, to) = (self.place_of_server(server), self.place_of_node(node));
        let delay = self.network.reliable(self.now, from, to);
        let up = self.back_ends[server].up;
        let (delay, event) = match delay {
            Some(delay) if up => {
                let conditions = conditions_of!(self);
                let report = self.back_ends[server].report(self.now, conditions, true);
                (delay, Event::ProbeReplied { back_end, report })
            }
            Some(delay) if !self.is_silent(server) => (delay, Event::ProbeFailed { back_end }),
            _ => (PROBE_TIMEOUT, Event::ProbeFailed { back_end }),
        };
        self.send_to_node(delay, node, run, NodeArrival::Event(event));
    }

    /// A server's process or machine ends.
    pub(super) fn end_server(&mut self, server: usize) {
        for key in self.back_ends[server].stop() {
            self.break_connection(server, key);
        }
    }

    /// A server's process starts, unless it runs.
    pub(super) fn start_server(&mut self, server: usize) {
        if !self.back_ends[server].up && !self.is_silent(server) {
            self.back_ends[server].start(self.now);
        }
    }
}

/// A number for the kind of an arrival, part of the digest.
fn arrival_tag(arrival: &ServerArrival) -> u64 {
    match arrival {
        ServerArrival::Connect(key) => 1 + (key.connection.0 << 5),
        ServerArrival::Disconnect(key) => 2 + (key.connection.0 << 5),
        ServerArrival::Attempt(_, attempt) => 3 + (attempt.attempt.0 << 5),
        ServerArrival::Cancel(_, attempt) => 4 + (attempt.0 << 5),
        ServerArrival::Probe { node, .. } => 5 + ((*node as u64) << 5),
        ServerArrival::Done { sequence, .. } => 6 + (sequence << 5),
    }
}
