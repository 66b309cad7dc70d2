//! What reaches a node's process, and how its state machine is driven.

use super::Simulator;
use super::host::{ConnectionState, is_control};
use super::network::Place;
use super::occurrence::{NodeArrival, Occurrence};
use super::trace::Step;
use std::time::{Duration, Instant};
use thornbridge_core::{AttemptFailure, ConnectionId, Event, Timestamp};
use thornbridge_proto::back_end::{BackEndReply, LoadReport};

/// A timer that is due at once comes this much later, so that virtual time goes on.
const LEAST_TIMER_DELAY: Duration = Duration::from_micros(1);

impl Simulator {
    /// Where a node is.
    pub(super) fn place_of_node(&self, node: usize) -> Place {
        Place::Zone(self.setup.deployment.nodes[node].zone)
    }

    /// Where a server is.
    pub(super) fn place_of_server(&self, server: usize) -> Place {
        Place::Zone(self.setup.deployment.servers[server].zone)
    }

    /// Lets something reach a run of a node after a delay.
    pub(super) fn send_to_node(
        &mut self,
        delay: Duration,
        node: usize,
        run: u32,
        arrival: NodeArrival,
    ) {
        self.after(delay, Occurrence::Node { node, run, arrival });
    }

    pub(super) fn node_step(&mut self, node: usize, run: u32, arrival: NodeArrival) {
        let host = &mut self.hosts[node];
        if host.run != run || !host.is_up() {
            self.arrived_at_ended_run(arrival);
            return;
        }
        if let Some(pause) = &mut host.pause {
            let occurrence = Occurrence::Node { node, run, arrival };
            pause.backlog.push(occurrence);
            return;
        }
        match arrival {
            NodeArrival::Event(event) => self.handle(node, event),
            NodeArrival::Timer { due } => self.timer_step(node, due),
            NodeArrival::Request { caller } => self.request_reaches(node, caller),
            NodeArrival::Connected { connection } => self.connected(node, connection),
            NodeArrival::Broken { connection } => self.broken(node, connection),
            NodeArrival::Reply {
                connection,
                reply,
                load,
            } => self.replied(node, connection, reply, load),
        }
    }

    /// Callers notice that a process is gone; everyone else is told in other ways.
    fn arrived_at_ended_run(&mut self, arrival: NodeArrival) {
        if let NodeArrival::Request { caller } = arrival {
            self.caller_loses(caller, self.setup.deployment.scenario.network.to_callers);
        }
    }

    fn timer_step(&mut self, node: usize, due: Timestamp) {
        let host = &mut self.hosts[node];
        if host.timer != Some(due) {
            return;
        }
        host.timer = None;
        let wanted = host.node.as_ref().and_then(|state| state.next_timeout());
        if wanted.is_some_and(|wanted| wanted <= self.now) {
            self.handle(node, Event::TimerDue);
        } else {
            self.set_timer(node);
        }
    }

    fn connected(&mut self, node: usize, connection: ConnectionId) {
        let known = self.hosts[node].connections.get_mut(&connection);
        if let Some(known) = known {
            known.state = ConnectionState::Idle;
            self.handle(node, Event::ConnectionOpened { connection });
        }
    }

    fn broken(&mut self, node: usize, connection: ConnectionId) {
        let Some(known) = self.hosts[node].connections.remove(&connection) else {
            return;
        };
        if let ConnectionState::Busy(attempt) = known.state {
            let failure = AttemptFailure::ConnectionBroken;
            self.handle(node, Event::AttemptFailed { attempt, failure });
        }
        self.handle(node, Event::ConnectionLost { connection });
    }

    fn replied(
        &mut self,
        node: usize,
        connection: ConnectionId,
        reply: BackEndReply,
        load: LoadReport,
    ) {
        let Some(known) = self.hosts[node].connections.get_mut(&connection) else {
            return;
        };
        if known.state != ConnectionState::Busy(reply.attempt) {
            return;
        }
        known.state = ConnectionState::Idle;
        self.oracle
            .reply_delivered(reply.request, reply.shard, &reply.outcome);
        let event = Event::AttemptReplied {
            attempt: reply.attempt,
            reply,
            load: Some(load),
        };
        self.handle(node, event);
    }

    /// Gives an event to a node, carries out what it wants, and sets its timer.
    pub(super) fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        self.trace.note(
            now,
            Step::NodeEvent,
            [node as u64, event_tag(&event), 0],
            || format!("node-{node} <- {}", shortened(format!("{event:?}"))),
        );
        let control = is_control(&event) && now >= Timestamp::ZERO + super::WARM_UP;
        let Some(state) = self.hosts[node].node.as_mut() else {
            return;
        };
        let began = control.then(Instant::now);
        state.handle(now, event);
        if let Some(began) = began {
            self.control.processor_time += began.elapsed();
        }
        while let Some(action) = self.hosts[node]
            .node
            .as_mut()
            .and_then(|state| state.poll_action())
        {
            self.carry_out(node, action);
        }
        self.set_timer(node);
    }

    /// Schedules the node's next timer, unless an earlier one is set.
    pub(super) fn set_timer(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        let Some(wanted) = host.node.as_ref().and_then(|state| state.next_timeout()) else {
            return;
        };
        let due = wanted.max(self.now + LEAST_TIMER_DELAY);
        if host.timer.is_some_and(|set| set <= due) {
            return;
        }
        host.timer = Some(due);
        let run = host.run;
        let arrival = NodeArrival::Timer { due };
        self.queue
            .push(due, Occurrence::Node { node, run, arrival });
    }
}

/// A number for the kind of an event, part of the digest.
fn event_tag(event: &Event) -> u64 {
    match event {
        Event::Started => 1,
        Event::CallerQuery { caller, .. } => 2 + (caller.0 << 5),
        Event::CallerAction { caller, .. } => 3 + (caller.0 << 5),
        Event::CallerDisconnected { caller } => 4 + (caller.0 << 5),
        Event::ConnectionOpened { connection } => 5 + (connection.0 << 5),
        Event::ConnectionLost { connection } => 6 + (connection.0 << 5),
        Event::AttemptReplied { attempt, .. } => 7 + (attempt.0 << 5),
        Event::AttemptFailed { attempt, .. } => 8 + (attempt.0 << 5),
        Event::ProbeReplied { .. } => 9,
        Event::ProbeFailed { .. } => 10,
        Event::PeerMessage { .. } => 11,
        Event::PeerLinkDown { .. } | Event::PeerTasksUnsent { .. } => 12,
        Event::PlatformReply { operation, .. } => 13 + (operation.0 << 5),
        Event::WatchChanged { watch, .. } => 14 + (watch.0 << 5),
        Event::WatchEnded { watch, .. } => 15 + (watch.0 << 5),
        Event::TimerDue => 16,
        Event::StopRequested => 17,
        Event::ClockJumped { .. } => 18,
        #[allow(unreachable_patterns)]
        _ => 19,
    }
}

/// Descriptions longer than this are cut.
const DESCRIPTION_LENGTH: usize = 400;

/// A description of bounded length.
pub(super) fn shortened(mut text: String) -> String {
    if text.len() > DESCRIPTION_LENGTH {
        let mut end = DESCRIPTION_LENGTH;
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        text.truncate(end);
        text.push('…');
    }
    text
}
