//! Model of one server: connections, slots, a queue, deadlines, cancellation, load reports.

mod reports;

use super::conditions::{Conditions, Draw};
use super::corpus::{self, Searched};
use crate::scenario::SnapshotNumber;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use thornbridge_core::{ConnectionId, Timestamp};
use thornbridge_proto::AttemptId;
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport, ReplyOutcome, Work};

/// Sub-requests that may wait for each slot before the server sheds.
const QUEUE_PER_SLOT: usize = 16;
/// What a shedding server asks callers to wait.
const SHED_RETRY_AFTER_MS: u64 = 100;
/// A leaving server still takes work for this long, so that news of it can spread.
const LEAVING_GRACE: Duration = Duration::from_secs(1);

/// A connection as the server sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionKey {
    /// Node, by position.
    pub node: usize,
    /// Run of the node.
    pub run: u32,
    /// The node's handle.
    pub connection: ConnectionId,
}

/// One sub-request on a server.
#[derive(Clone, Debug)]
pub struct Job {
    /// Count on this server.
    pub sequence: u64,
    /// Where the reply goes.
    pub connection: ConnectionKey,
    /// The attempt.
    pub attempt: Attempt,
    /// When it is no longer worth running.
    pub deadline: Timestamp,
}

/// What a server does as a consequence of something.
#[derive(Clone, Debug)]
pub enum BackEndOutput {
    /// A job began to run and will be done at a time.
    Started {
        /// The job.
        sequence: u64,
        /// When.
        done: Timestamp,
        /// The attempt that runs.
        attempt: Attempt,
    },
    /// A reply goes out.
    Reply {
        /// Where to.
        connection: ConnectionKey,
        /// The reply.
        reply: BackEndReply,
    },
}

/// One simulated server.
#[derive(Debug)]
pub struct BackEndModel {
    /// Its position in the deployment.
    pub server: usize,
    /// Raised by each restart.
    pub run: u32,
    /// Whether its machine answers at all.
    pub up: bool,
    /// When it announced leaving.
    pub leaving_since: Option<Timestamp>,
    /// When it started cold.
    pub cold_since: Option<Timestamp>,
    /// Snapshots it holds.
    pub held: BTreeSet<SnapshotNumber>,
    /// Service time of all work begun, also of work stopped midway.
    pub work_begun: Duration,
    connections: BTreeSet<ConnectionKey>,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    last_sequence: u64,
    reports: VecDeque<(Timestamp, LoadReport)>,
}

impl BackEndModel {
    /// A server that holds the first snapshot.
    pub fn new(server: usize) -> Self {
        Self {
            server,
            run: 0,
            up: true,
            leaving_since: None,
            cold_since: None,
            held: BTreeSet::from([SnapshotNumber(0)]),
            work_begun: Duration::ZERO,
            connections: BTreeSet::new(),
            running: Vec::new(),
            queue: VecDeque::new(),
            last_sequence: 0,
            reports: VecDeque::new(),
        }
    }

    /// Takes a connection, if there is room for it.
    pub fn connect(&mut self, conditions: Conditions<'_>, connection: ConnectionKey) -> bool {
        let place = &conditions.deployment.servers[self.server];
        let room = self.connections.len() < place.back_end.connections as usize;
        room && self.connections.insert(connection)
    }

    /// Whether the server knows a connection.
    pub fn is_connected(&self, connection: ConnectionKey) -> bool {
        self.connections.contains(&connection)
    }

    /// Connections open.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Jobs running and waiting.
    pub fn jobs(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// A connection was closed by the node; what waited for it is dropped.
    pub fn disconnect(&mut self, connection: ConnectionKey) {
        self.connections.remove(&connection);
        self.queue.retain(|job| job.connection != connection);
    }

    /// The process ends: connections and jobs are gone. Gives the connections that were open.
    pub fn stop(&mut self) -> Vec<ConnectionKey> {
        self.run += 1;
        self.up = false;
        self.running.clear();
        self.queue.clear();
        self.reports.clear();
        std::mem::take(&mut self.connections).into_iter().collect()
    }

    /// The process starts, with nothing in its caches.
    pub fn start(&mut self, now: Timestamp) {
        self.up = true;
        self.leaving_since = None;
        self.cold_since = Some(now);
    }

    /// An attempt arrives.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        conditions: Conditions<'_>,
        connection: ConnectionKey,
        attempt: Attempt,
        outputs: &mut Vec<BackEndOutput>,
    ) {
        if let Some(outcome) = self.refusal(now, conditions, &attempt) {
            outputs.push(reply_to(connection, &attempt, outcome));
            return;
        }
        self.last_sequence += 1;
        let deadline = now + attempt.time_left;
        self.queue.push_back(Job {
            sequence: self.last_sequence,
            connection,
            attempt,
            deadline,
        });
        self.fill_slots(now, conditions, outputs);
    }

    fn refusal(
        &self,
        now: Timestamp,
        conditions: Conditions<'_>,
        attempt: &Attempt,
    ) -> Option<ReplyOutcome> {
        let place = &conditions.deployment.servers[self.server];
        let leaving = self
            .leaving_since
            .is_some_and(|since| now.since(since) >= LEAVING_GRACE);
        if leaving {
            return Some(ReplyOutcome::Leaving);
        }
        if attempt.time_left.is_zero() {
            return Some(ReplyOutcome::Expired);
        }
        if !self.holds(conditions, attempt) {
            return Some(ReplyOutcome::NotHeld);
        }
        let full = self.queue.len() >= QUEUE_PER_SLOT * place.back_end.slots as usize;
        if full || conditions.sheds(self.draw(attempt), now) {
            return Some(ReplyOutcome::Shed {
                retry_after_ms: SHED_RETRY_AFTER_MS,
            });
        }
        None
    }

    fn holds(&self, conditions: Conditions<'_>, attempt: &Attempt) -> bool {
        let place = &conditions.deployment.servers[self.server];
        let service = &conditions.deployment.services[place.service];
        if attempt.service != service.scenario.name {
            return false;
        }
        let Work::Query {
            snapshot, layout, ..
        } = &attempt.work
        else {
            return true;
        };
        let Some(number) = service.catalogue.number(snapshot) else {
            return false;
        };
        let partition = service.catalogue.layout_of(number);
        let holders = partition.shards.get(attempt.shard.0 as usize);
        self.held.contains(&number)
            && partition.id == *layout
            && holders.is_some_and(|holders| holders.contains(&place.back_end.id))
    }

    fn draw(&self, attempt: &Attempt) -> Draw {
        Draw {
            server: self.server,
            request: request_number(attempt),
            shard: attempt.shard,
        }
    }

    fn fill_slots(
        &mut self,
        now: Timestamp,
        conditions: Conditions<'_>,
        outputs: &mut Vec<BackEndOutput>,
    ) {
        let slots = conditions.deployment.servers[self.server].back_end.slots as usize;
        while self.running.len() < slots {
            let Some(job) = self.queue.pop_front() else {
                return;
            };
            if job.deadline <= now {
                outputs.push(reply_to(
                    job.connection,
                    &job.attempt,
                    ReplyOutcome::Expired,
                ));
                continue;
            }
            let time = conditions.service_time(self.draw(&job.attempt), now, self.cold_since);
            self.work_begun += time;
            outputs.push(BackEndOutput::Started {
                sequence: job.sequence,
                done: now + time,
                attempt: job.attempt.clone(),
            });
            self.running.push(job);
        }
    }

    /// A job is done, unless it was stopped before.
    pub fn done(
        &mut self,
        now: Timestamp,
        conditions: Conditions<'_>,
        sequence: u64,
        outputs: &mut Vec<BackEndOutput>,
    ) {
        let found = self.running.iter().position(|job| job.sequence == sequence);
        let Some(position) = found else {
            return;
        };
        let job = self.running.swap_remove(position);
        let outcome = self.outcome(conditions, &job.attempt);
        outputs.push(reply_to(job.connection, &job.attempt, outcome));
        self.fill_slots(now, conditions, outputs);
    }

    fn outcome(&self, conditions: Conditions<'_>, attempt: &Attempt) -> ReplyOutcome {
        let service = conditions.deployment.servers[self.server].service;
        match &attempt.work {
            Work::Action { key, .. } => ReplyOutcome::Done {
                outcome: action_outcome(key),
            },
            Work::Query {
                snapshot,
                query,
                limit,
                ..
            } => {
                let catalogue = &conditions.deployment.services[service].catalogue;
                let number = catalogue.number(snapshot).unwrap_or(SnapshotNumber(0));
                let searched = Searched {
                    service,
                    query: corpus::parse_query_text(query).map_or(0, |(number, _)| number),
                    snapshot: number,
                    snapshot_id: snapshot,
                    shards: catalogue.layout_of(number).shards.len() as u32,
                };
                ReplyOutcome::Hits {
                    snapshot: snapshot.clone(),
                    hits: corpus::hits_of_shard(searched, attempt.shard, *limit as usize),
                }
            }
        }
    }

    /// A cancellation arrives. A running action cannot be stopped.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        conditions: Conditions<'_>,
        connection: ConnectionKey,
        attempt: AttemptId,
        outputs: &mut Vec<BackEndOutput>,
    ) {
        let wanted = |job: &Job| job.connection == connection && job.attempt.attempt == attempt;
        let waiting = self.queue.iter().position(wanted);
        let running = self
            .running
            .iter()
            .position(|job| wanted(job) && matches!(job.attempt.work, Work::Query { .. }));
        let job = match (waiting, running) {
            (Some(position), _) => self.queue.remove(position),
            (None, Some(position)) => Some(self.running.swap_remove(position)),
            (None, None) => None,
        };
        if let Some(job) = job {
            outputs.push(reply_to(
                job.connection,
                &job.attempt,
                ReplyOutcome::Cancelled,
            ));
            self.fill_slots(now, conditions, outputs);
        }
    }
}

/// What an action with a key gives when it runs.
pub fn action_outcome(key: &str) -> String {
    format!("done {key}")
}

/// Number of the caller's request that an attempt serves: from the query's text or the key.
pub fn request_number(attempt: &Attempt) -> u64 {
    match &attempt.work {
        Work::Query { query, .. } => {
            corpus::parse_query_text(query).map_or(0, |(number, _)| number)
        }
        Work::Action { key, .. } => parse_action_key(key).unwrap_or(0),
    }
}

/// Key that callers send for a request number.
pub fn action_key(request: u64) -> String {
    format!("key-{request}")
}

/// Request number of a key.
pub fn parse_action_key(key: &str) -> Option<u64> {
    key.strip_prefix("key-")?.parse().ok()
}

fn reply_to(connection: ConnectionKey, attempt: &Attempt, outcome: ReplyOutcome) -> BackEndOutput {
    BackEndOutput::Reply {
        connection,
        reply: BackEndReply {
            request: attempt.request,
            attempt: attempt.attempt,
            shard: attempt.shard,
            outcome,
        },
    }
}
