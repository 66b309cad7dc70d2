//! Servers and the store at work.

use super::{Occurrence, Sent, World};
use crate::gateway::oracle::{Arrival, Rule, records, signature};
use crate::gateway::server::Condition;
use crate::gateway::store::StoreCondition;
use bytes::Bytes;
use rand::Rng;
use std::time::Duration;
use thornbridge_core::Timestamp;
use thornbridge_core::gateway::{
    ExchangeFailure, GatewayEvent, InvalidReply, ReplyVerdict, ServerReply, SourceFailure,
    SourceRead, SourceReply, ViewKind,
};

/// Time between heartbeats of servers.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from a request's arrival after a version was acknowledged, beside the bound.
const SENT_EARLIER: Duration = Duration::from_millis(1_500);

impl World {
    pub(super) fn at_server(&mut self, sent: &Sent) {
        let machine = &self.machines[sent.node];
        let alive = machine.life == sent.life && machine.gateway.is_some();
        let server = &self.servers[sent.server];
        let kept = machine.connections.get(&sent.connection) == Some(&sent.server);
        if !alive || !kept || server.condition == Condition::Dark {
            return;
        }
        if matches!(server.condition, Condition::Down | Condition::Ended) {
            self.fail(sent, ExchangeFailure::MayHaveRun, self.now);
            return;
        }
        if server.id.as_str() != sent.expected {
            self.record_arrival(sent, false);
            let reply = plain_reply(ReplyVerdict::WrongInstance, 421);
            self.reply(sent, reply, self.now);
            return;
        }
        self.check_drain(sent);
        self.check_evacuation(sent);
        self.check_crashing(sent);
        self.check_version(sent);
        self.run_at_server(sent);
    }

    fn run_at_server(&mut self, sent: &Sent) {
        let service = self.servers[sent.server].service.clone();
        let plain = service.as_str() == "plain";
        let load = usize::from(plain);
        let work = self.scenario.loads[load].work;
        let end = self.servers[sent.server].work(&mut self.random, self.now, work);
        let asked = self.oracle.asked.contains_key(&sent.request);
        if !asked {
            let detail = format!("nobody asked {}", sent.request);
            self.oracle.breaks(Rule::OwnAnswer, detail);
        }
        self.record_arrival(sent, end.is_some());
        let Some(end) = end else {
            let reply = plain_reply(ReplyVerdict::NotRun, 503);
            self.reply(sent, reply, self.now);
            return;
        };
        if self.crashes_before(sent, end) {
            return;
        }
        if self.random.random_bool(self.answers_lost_share) {
            self.fail(sent, ExchangeFailure::MayHaveRun, end);
            return;
        }
        if self.random.random_bool(self.spoilt_share) {
            let reply = plain_reply(ReplyVerdict::Invalid(InvalidReply::OtherRequest), 200);
            self.reply(sent, reply, end);
            return;
        }
        let body = match plain {
            true => Bytes::from(format!("answer to {}", sent.request)),
            false => Bytes::from(records(&service, sent.request)),
        };
        let signed = signature(&service, sent.request, sent.server);
        let reply = ServerReply {
            signature: Some(Bytes::from(signed)),
            body,
            reusable: true,
            ..plain_reply(ReplyVerdict::Answer, 200)
        };
        self.reply(sent, reply, end);
    }

    fn record_arrival(&mut self, sent: &Sent, ran: bool) {
        self.oracle.arrivals.push(Arrival {
            at: self.now,
            request: sent.request,
            service: self.servers[sent.server].service.clone(),
            server: sent.server,
            ran,
        });
    }

    fn check_drain(&mut self, sent: &Sent) {
        let server = &self.servers[sent.server];
        let Some(since) = server.leaving_since else {
            return;
        };
        let late = self.now.since(since) > self.scenario.drain;
        if late && self.in_touch(sent.node) {
            let detail = format!(
                "node {} sent request {} to {} at {:?}, leaving since {since:?}",
                sent.node, sent.request, self.servers[sent.server].id, self.now
            );
            self.oracle.breaks(Rule::Drain, detail);
        }
    }

    fn check_evacuation(&mut self, sent: &Sent) {
        let server = &self.servers[sent.server];
        let Some(since) = self.evacuated_since.get(&server.zone).copied() else {
            return;
        };
        let late = self.now.since(since) > self.scenario.evacuate;
        if late && self.in_touch(sent.node) {
            let detail = format!(
                "node {} sent request {} to {} at {:?}, evacuated since {since:?}",
                sent.node, sent.request, server.id, self.now
            );
            self.oracle.breaks(Rule::Evacuation, detail);
        }
    }

    /// A request that was sent long after a version was acknowledged is handled by it.
    fn check_version(&mut self, sent: &Sent) {
        let due = self.scenario.apply + SENT_EARLIER;
        let now = self.now;
        let older = |at: &Timestamp| now.since(*at) > due;
        let due = self.acknowledged.iter().rev().find(|(at, _)| older(at));
        let Some((at, version)) = due.copied() else {
            return;
        };
        let seen = self.machines[sent.node].version_seen;
        if seen < version && self.in_touch(sent.node) {
            let detail = format!(
                "node {} has {seen} at {now:?}, {version} was acknowledged at {at:?}",
                sent.node
            );
            self.oracle.breaks(Rule::Configuration, detail);
        }
    }

    fn reply(&mut self, sent: &Sent, reply: ServerReply, at: Timestamp) {
        let attempt = sent.attempt;
        let reply = Box::new(reply);
        self.back_to_node(sent, GatewayEvent::Replied { attempt, reply }, at);
    }

    fn fail(&mut self, sent: &Sent, failure: ExchangeFailure, at: Timestamp) {
        let attempt = sent.attempt;
        self.machines[sent.node]
            .connections
            .remove(&sent.connection);
        let owner = (sent.node, sent.life);
        let connections = &mut self.servers[sent.server].connections;
        connections.remove(&(owner, sent.connection));
        self.back_to_node(sent, GatewayEvent::Failed { attempt, failure }, at);
    }

    fn back_to_node(&mut self, sent: &Sent, event: GatewayEvent, at: Timestamp) {
        if self
            .silent
            .contains(&(sent.node, sent.life, sent.connection))
        {
            return;
        }
        let zone = self.machines[sent.node].zone;
        let delay = self.way(zone, self.servers[sent.server].zone);
        let arrival = Occurrence::ToNode(sent.node, sent.life, Box::new(event));
        self.schedule_at(at + delay, arrival);
        if at <= self.now {
            self.in_flight
                .remove(&(sent.node, sent.life, sent.connection));
        }
    }

    // The store.

    pub(super) fn heartbeat(&mut self) {
        self.schedule(HEARTBEAT, Occurrence::Heartbeat);
        if self.store.condition != StoreCondition::Up {
            return;
        }
        self.store.copy(self.now);
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let writes = server.condition == Condition::Up && server.leaving_since.is_none();
            if writes {
                let instance = server.instance();
                self.store.put_server(instance);
            }
        }
        self.tell_watches();
    }

    pub(super) fn store_call(
        &mut self,
        node: usize,
        life: u32,
        kind: ViewKind,
        read: u64,
        what: &SourceRead,
    ) {
        let refused = self.machines[node].refused_until > self.now;
        match self.store.condition {
            StoreCondition::Silent => return,
            StoreCondition::Refusing => {
                let failure = Err(SourceFailure::Unreachable);
                self.store_answer(node, life, kind, read, failure);
                return;
            }
            StoreCondition::Up if refused => {
                self.store_answer(node, life, kind, read, Err(SourceFailure::Refused));
                return;
            }
            StoreCondition::Up => {}
        }
        match what {
            SourceRead::List { after, .. } => {
                let page = self.store.list(kind, after.as_deref());
                self.store_answer(node, life, kind, read, Ok(page));
            }
            SourceRead::Watch { from, wait } => {
                if let Some(changes) = self.store.changes(self.now, kind, *from) {
                    self.store_answer(node, life, kind, read, changes);
                    return;
                }
                self.watches.push((node, life, kind, read, from.number));
                self.schedule(*wait, Occurrence::WatchEnds(node, life, kind, read));
            }
        }
    }

    fn store_answer(
        &mut self,
        node: usize,
        life: u32,
        kind: ViewKind,
        read: u64,
        result: Result<SourceReply, SourceFailure>,
    ) {
        let share = self.store.lost_share;
        if share > 0.0 && self.random.random_bool(share) {
            return;
        }
        let result = result.map(|reply| reply.in_era(self.store.era()));
        let event = GatewayEvent::SourceReplied { kind, read, result };
        let arrival = Occurrence::ToNode(node, life, Box::new(event));
        self.schedule(Duration::from_millis(1), arrival);
    }

    pub(super) fn watch_ends(&mut self, node: usize, life: u32, kind: ViewKind, read: u64) {
        let key = (node, life, kind, read);
        let found = self
            .watches
            .iter()
            .position(|(node, life, kind, read, _)| (*node, *life, *kind, *read) == key);
        let Some(position) = found else {
            return;
        };
        if self.store.condition != StoreCondition::Up {
            return;
        }
        self.watches.swap_remove(position);
        let nothing = self.store.nothing(self.now);
        self.store_answer(node, life, kind, read, Ok(nothing));
    }

    /// Answers the watches for which there is something.
    pub(super) fn tell_watches(&mut self) {
        if self.store.condition != StoreCondition::Up {
            return;
        }
        for (node, life, kind, read, from) in std::mem::take(&mut self.watches) {
            let revision = thornbridge_proto::peer::view::StoreRevision::without_era(from);
            match self.store.changes(self.now, kind, revision) {
                Some(changes) => self.store_answer(node, life, kind, read, changes),
                None => self.watches.push((node, life, kind, read, from)),
            }
        }
    }
}

fn plain_reply(verdict: ReplyVerdict, status: u16) -> ServerReply {
    ServerReply {
        status,
        headers: Default::default(),
        signature: None,
        body: Bytes::new(),
        verdict,
        load: None,
        reusable: !matches!(verdict, ReplyVerdict::Invalid(_)),
        keep_alive: None,
    }
}
