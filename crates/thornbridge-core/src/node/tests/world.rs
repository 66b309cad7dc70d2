//! A node with a model of its back ends and callers, and an oracle over its answers.

use crate::configuration::ActiveConfiguration;
use crate::node::Node;
use crate::{
    Action, AttemptFailure, CallerId, ConnectionId, Event, NodeSetup, Parameters, Signal, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::{
    BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind, ServiceLimits,
    Snapshot,
};
use thornbridge_config::canonical;
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport, ReplyOutcome, Work};
use thornbridge_proto::caller::{Executed, Hit, QueryAnswer, QueryRequest, Refusal};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::{
    AttemptId, BackEndId, DocumentId, Generation, NodeId, RequestId, ShardId, SnapshotId,
};

/// What the only query service is called.
pub const SERVICE: &str = "search";
/// Calls of a timer that may follow each other without time passing: work done in slices.
const MOST_CALLS_AT_ONCE: u32 = 100;
/// Hits that each shard gives.
pub const HITS_PER_SHARD: u32 = 2;

/// Shape of the bundle in force.
#[derive(Clone, Debug)]
pub struct Shape {
    pub generation: u64,
    pub shards: u32,
    pub replicas: u32,
    pub snapshots: Vec<&'static str>,
    pub policy: CompletenessPolicy,
    pub minimum_coverage: f64,
    pub extra_load: f64,
    pub maximum_in_flight: u32,
}

impl Shape {
    pub fn new(policy: CompletenessPolicy) -> Self {
        Self {
            generation: 1,
            shards: 4,
            replicas: 2,
            snapshots: vec!["one"],
            policy,
            minimum_coverage: 0.5,
            extra_load: 1.0,
            maximum_in_flight: 1_000,
        }
    }

    pub fn bundle(&self) -> Bundle {
        let name = |shard: u32, replica: u32| BackEndId::new(format!("s{shard}r{replica}"));
        let back_ends = (0..self.shards)
            .flat_map(|shard| (0..self.replicas).map(move |replica| (shard, replica)))
            .map(|(shard, replica)| BackEnd {
                id: name(shard, replica),
                address: ([127, 0, 0, 1], (1_000 + shard * 10 + replica) as u16).into(),
                zone: "a".into(),
                slots: 4,
                connections: 100,
            })
            .collect();
        let holders = |shard| {
            (0..self.replicas)
                .map(|replica| name(shard, replica))
                .collect()
        };
        let layout = Layout {
            id: format!("of-{}", self.shards).into(),
            shards: (0..self.shards).map(holders).collect(),
        };
        let snapshots = self.snapshots.iter().map(|id| Snapshot {
            id: SnapshotId::from(*id),
            layout: layout.id.clone(),
        });
        let service = Service {
            name: SERVICE.into(),
            kind: ServiceKind::Query,
            priority: 0,
            completeness: Completeness {
                policy: self.policy,
                target: Duration::from_millis(40),
                hard_deadline: Duration::from_millis(200),
                minimum_coverage: self.minimum_coverage,
            },
            limits: ServiceLimits {
                extra_load: self.extra_load,
                maximum_in_flight: self.maximum_in_flight,
                maximum_queued: 10,
            },
            back_ends,
            snapshots: snapshots.collect(),
            layouts: vec![layout],
        };
        Bundle {
            format: 1,
            version: format!("v{}", self.generation).into(),
            deployment: "test".to_owned(),
            maximum_nodes: 1,
            services: vec![service],
        }
    }

    pub fn active_configuration(&self) -> Arc<ActiveConfiguration> {
        self.active_configuration_with(|_| {})
    }

    pub fn active_configuration_with(
        &self,
        change: impl FnOnce(&mut Bundle),
    ) -> Arc<ActiveConfiguration> {
        let mut bundle = self.bundle();
        change(&mut bundle);
        let record = GenerationRecord {
            generation: Generation(self.generation),
            version: bundle.version.clone(),
            digest: canonical::digest(&bundle).unwrap(),
            change: "change".into(),
            key_id: "key".to_owned(),
            signature: Vec::new(),
        };
        Arc::new(ActiveConfiguration::new(record, bundle).unwrap())
    }
}

/// What a caller got.
#[derive(Clone, Debug)]
pub enum Given {
    Answer(QueryAnswer),
    Refusal(Refusal),
}

/// What the oracle knows of one request.
#[derive(Debug, Default)]
struct Known {
    /// Attempts that left and did not end as certainly not run.
    may_have_run: BTreeSet<AttemptId>,
    /// Shards of which a true reply was delivered, by snapshot.
    delivered: BTreeSet<(SnapshotId, ShardId)>,
}

/// How a model back end replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Hits,
    OtherSnapshot,
    OtherAttempt,
    OtherRequest,
    OtherShard,
    NotANumber,
    Done,
    Shed,
    Leaving,
    NotHeld,
    Expired,
    Cancelled,
    Failed,
}

impl Reply {
    /// Everything but the hits that were asked for.
    pub const NOT_HITS: [Self; 12] = [
        Self::OtherSnapshot,
        Self::OtherAttempt,
        Self::OtherRequest,
        Self::OtherShard,
        Self::NotANumber,
        Self::Done,
        Self::Shed,
        Self::Leaving,
        Self::NotHeld,
        Self::Expired,
        Self::Cancelled,
        Self::Failed,
    ];
}

/// A node and everything around it.
pub struct World {
    pub node: Node,
    pub now: Timestamp,
    pub opening: Vec<ConnectionId>,
    pub open: BTreeSet<ConnectionId>,
    /// Attempts that run, in the order they were sent.
    pub running: Vec<(ConnectionId, Attempt)>,
    pub ended: Vec<Attempt>,
    pub cancels: u32,
    pub stopped: u32,
    pub given: BTreeMap<CallerId, Given>,
    pub asked: BTreeMap<CallerId, String>,
    pub gone: BTreeSet<CallerId>,
    addresses: BTreeMap<ConnectionId, BackEndId>,
    known: BTreeMap<RequestId, Known>,
}

impl World {
    pub fn new(shape: &Shape) -> Self {
        Self::with_parameters(shape, Parameters::default())
    }

    pub fn with_parameters(shape: &Shape, parameters: Parameters) -> Self {
        let setup = NodeSetup {
            endpoint: PeerEndpoint {
                node: NodeId(7),
                address: ([127, 0, 0, 1], 9).into(),
            },
            name: "node".into(),
            zone: "a".into(),
            operator_address: ([127, 0, 0, 1], 8).into(),
            region: "r".into(),
            seeds: Vec::new(),
            trusted_keys: Vec::new(),
            seed: 1,
            parameters,
        };
        let mut world = Self {
            node: Node::new(setup),
            now: Timestamp::ZERO + Duration::from_secs(1),
            opening: Vec::new(),
            open: BTreeSet::new(),
            running: Vec::new(),
            ended: Vec::new(),
            cancels: 0,
            stopped: 0,
            given: BTreeMap::new(),
            asked: BTreeMap::new(),
            gone: BTreeSet::new(),
            addresses: BTreeMap::new(),
            known: BTreeMap::new(),
        };
        world.handle(Event::Started);
        world.install(shape);
        world
    }

    pub fn install(&mut self, shape: &Shape) {
        let signal = Signal::ConfigurationInForce(shape.active_configuration());
        self.node.pass_on(self.now, signal);
        self.node.settle(self.now);
        self.drain();
    }

    pub fn handle(&mut self, event: Event) {
        self.node.handle(self.now, event);
        self.drain();
    }

    /// Asks a query whose text is its caller's number.
    pub fn ask(&mut self, timeout: Option<Duration>, minimum_coverage: Option<f64>) -> CallerId {
        let caller = CallerId(self.asked.len() as u64 + 1);
        let text = format!("query {}", caller.0);
        self.asked.insert(caller, text.clone());
        let request = QueryRequest {
            service: SERVICE.into(),
            query: text,
            limit: 100,
            timeout,
            minimum_coverage,
        };
        self.handle(Event::CallerQuery { caller, request });
        caller
    }

    pub fn open_all(&mut self) {
        while let Some(connection) = self.opening.pop() {
            self.open.insert(connection);
            self.handle(Event::ConnectionOpened { connection });
        }
    }

    /// Lets time pass, with every timer on its time.
    pub fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        let mut calls_at_once = 0;
        while let Some(next) = self.node.next_timeout().filter(|next| *next <= until) {
            let moved = next > self.now;
            self.now = self.now.max(next);
            self.handle(Event::TimerDue);
            calls_at_once = if moved { 0 } else { calls_at_once + 1 };
            assert!(calls_at_once < MOST_CALLS_AT_ONCE, "a timer stays due");
        }
        self.now = until;
    }

    /// The back end that a running attempt was sent to.
    pub fn back_end_of(&self, index: usize) -> BackEndId {
        self.addresses[&self.running[index].0].clone()
    }

    pub fn reply(&mut self, index: usize, reply: Reply) {
        let (_, attempt) = self.running.remove(index);
        let known = self.known.entry(attempt.request).or_default();
        match reply {
            Reply::Shed | Reply::Leaving | Reply::NotHeld | Reply::Expired => {
                known.may_have_run.remove(&attempt.attempt);
            }
            Reply::Hits => {
                let Work::Query { snapshot, .. } = &attempt.work else {
                    unreachable!("only queries are sent");
                };
                known.delivered.insert((snapshot.clone(), attempt.shard));
            }
            _ => {}
        }
        self.deliver(&attempt, reply);
        self.ended.push(attempt);
    }

    /// Delivers a reply once more, long after its attempt ended: nothing may come of it. An
    /// attempt that was not sent may have been sent again meanwhile, and is left alone.
    pub fn deliver_again(&mut self, index: usize, reply: Reply) {
        let attempt = self.ended[index].clone();
        let runs_again =
            |(_, running): &(ConnectionId, Attempt)| running.attempt == attempt.attempt;
        if !self.running.iter().any(runs_again) {
            self.deliver(&attempt, reply);
        }
    }

    fn deliver(&mut self, attempt: &Attempt, reply: Reply) {
        self.handle(Event::AttemptReplied {
            attempt: attempt.attempt,
            reply: message(attempt, reply),
            load: Some(LoadReport::default()),
        });
    }

    pub fn fail(&mut self, index: usize, failure: AttemptFailure) {
        let (connection, attempt) = self.running.remove(index);
        if failure == AttemptFailure::NotSent {
            let known = self.known.entry(attempt.request).or_default();
            known.may_have_run.remove(&attempt.attempt);
        }
        self.handle(Event::AttemptFailed {
            attempt: attempt.attempt,
            failure,
        });
        self.ended.push(attempt);
        if self.open.remove(&connection) {
            self.handle(Event::ConnectionLost { connection });
        }
    }

    /// Loses an idle connection or one that is being opened.
    pub fn lose_connection(&mut self, index: usize) {
        let busy: BTreeSet<ConnectionId> = self.running.iter().map(|(id, _)| *id).collect();
        let candidates: Vec<ConnectionId> = self
            .opening
            .iter()
            .chain(self.open.iter().filter(|id| !busy.contains(id)))
            .copied()
            .collect();
        let Some(connection) = candidates.get(index % candidates.len().max(1)).copied() else {
            return;
        };
        self.opening.retain(|opening| *opening != connection);
        self.open.remove(&connection);
        self.handle(Event::ConnectionLost { connection });
    }

    pub fn hang_up(&mut self, caller: CallerId) {
        self.gone.insert(caller);
        self.handle(Event::CallerGone { caller });
    }

    fn drain(&mut self) {
        while let Some(action) = self.node.poll_action() {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::OpenConnection {
                connection,
                back_end,
                ..
            } => {
                self.addresses.insert(connection, back_end);
                self.opening.push(connection);
            }
            Action::CloseConnection { connection } => {
                self.opening.retain(|opening| *opening != connection);
                self.open.remove(&connection);
            }
            Action::SendAttempt {
                connection,
                attempt,
            } => {
                assert!(
                    self.open.contains(&connection),
                    "sent on a connection that is not open"
                );
                let busy = self
                    .running
                    .iter()
                    .any(|(running, _)| *running == connection);
                assert!(!busy, "sent on a connection that is busy");
                let known = self.known.entry(attempt.request).or_default();
                known.may_have_run.insert(attempt.attempt);
                self.running.push((connection, attempt));
            }
            Action::CancelAttempt { .. } => self.cancels += 1,
            Action::AnswerQuery { caller, answer } => {
                self.check_answer(caller, &answer);
                self.give(caller, Given::Answer(answer));
            }
            Action::Refuse { caller, refusal } => {
                self.check_refusal(&refusal);
                self.give(caller, Given::Refusal(refusal));
            }
            Action::Stopped => {
                self.stopped += 1;
                assert_eq!(self.waiting(), 0, "stopped with a caller waiting");
            }
            _ => {}
        }
    }

    fn give(&mut self, caller: CallerId, given: Given) {
        assert!(self.asked.contains_key(&caller), "answered nobody");
        assert!(
            !self.gone.contains(&caller),
            "answered a caller that is gone"
        );
        let earlier = self.given.insert(caller, given);
        assert!(earlier.is_none(), "answered twice");
    }

    /// Callers that still wait.
    pub fn waiting(&self) -> usize {
        let answered = |caller| self.given.contains_key(caller) || self.gone.contains(caller);
        self.asked.keys().filter(|caller| !answered(caller)).count()
    }

    /// `one_snapshot`, `true_coverage` and `whole_answer_to_own_request`.
    fn check_answer(&self, caller: CallerId, answer: &QueryAnswer) {
        let coverage = &answer.coverage;
        let missing: BTreeSet<ShardId> = coverage.missing.iter().map(|shard| shard.shard).collect();
        assert_eq!(missing.len(), coverage.missing.len());
        assert_eq!(
            coverage.shards_answered as usize + missing.len(),
            coverage.shards_total as usize
        );
        let fraction = f64::from(coverage.shards_answered) / f64::from(coverage.shards_total);
        assert!((coverage.fraction - fraction).abs() < 1e-12);
        let mut expected: Vec<Hit> = Vec::new();
        for shard in (0..coverage.shards_total).map(ShardId) {
            if missing.contains(&shard) {
                continue;
            }
            let delivered = &self.known[&answer.request_id].delivered;
            assert!(
                delivered.contains(&(answer.snapshot.clone(), shard)),
                "shard {shard} is counted without its reply"
            );
            expected.extend(hits(&answer.snapshot, shard, &self.asked[&caller]));
        }
        expected.sort_by(|left, right| {
            let by_score = right.score.total_cmp(&left.score);
            by_score.then_with(|| left.document.cmp(&right.document))
        });
        assert_eq!(answer.hits, expected);
    }

    /// `refused_means_not_run`.
    fn check_refusal(&self, refusal: &Refusal) {
        if refusal.executed == Executed::Unknown {
            return;
        }
        let known = self.known.get(&refusal.request_id);
        let ran = known
            .is_some_and(|known| !known.may_have_run.is_empty() || !known.delivered.is_empty());
        assert!(!ran, "refused as not run, but it may have run: {refusal:?}");
    }

    /// Ends everything: each caller that is still there must have its answer.
    pub fn finish(&mut self) {
        self.advance(Duration::from_secs(60));
        while !self.running.is_empty() {
            self.fail(0, AttemptFailure::ConnectionBroken);
        }
        while !self.opening.is_empty() {
            self.lose_connection(0);
        }
        self.advance(Duration::from_secs(60));
        assert_eq!(self.waiting(), 0, "a caller was not answered");
        self.handle(Event::StopAsked);
        self.advance(Duration::from_secs(60));
        assert_eq!(self.stopped, 1, "the stop did not end");
    }
}

/// What a shard of a snapshot holds for a query; scores differ between shards.
pub fn hits(snapshot: &SnapshotId, shard: ShardId, query: &str) -> Vec<Hit> {
    (0..HITS_PER_SHARD)
        .map(|rank| Hit {
            document: DocumentId::new(format!("{snapshot}/{shard}/{rank}")),
            score: f64::from((shard.0 * 7 + rank * 3) % 5),
            title: query.to_owned(),
        })
        .collect()
}

fn message(attempt: &Attempt, reply: Reply) -> BackEndReply {
    let Work::Query {
        snapshot, query, ..
    } = &attempt.work
    else {
        unreachable!("only queries are sent");
    };
    let mut message = BackEndReply {
        request: attempt.request,
        attempt: attempt.attempt,
        shard: attempt.shard,
        outcome: ReplyOutcome::Hits {
            snapshot: snapshot.clone(),
            hits: hits(snapshot, attempt.shard, query),
        },
    };
    match reply {
        Reply::Hits => {}
        Reply::OtherSnapshot => {
            let snapshot = SnapshotId::from("another");
            let hits = hits(&snapshot, attempt.shard, query);
            message.outcome = ReplyOutcome::Hits { snapshot, hits };
        }
        Reply::OtherAttempt => message.attempt.0 += 1_000_000,
        Reply::OtherRequest => message.request.sequence += 1_000_000,
        Reply::OtherShard => message.shard.0 += 1,
        Reply::NotANumber => {
            let hit = Hit {
                document: "x".into(),
                score: f64::NAN,
                title: String::new(),
            };
            message.outcome = ReplyOutcome::Hits {
                snapshot: snapshot.clone(),
                hits: vec![hit],
            };
        }
        Reply::Done => {
            let outcome = String::new();
            message.outcome = ReplyOutcome::Done { outcome };
        }
        Reply::Shed => message.outcome = ReplyOutcome::Shed { retry_after_ms: 5 },
        Reply::Leaving => message.outcome = ReplyOutcome::Leaving,
        Reply::NotHeld => message.outcome = ReplyOutcome::NotHeld,
        Reply::Expired => message.outcome = ReplyOutcome::Expired,
        Reply::Cancelled => message.outcome = ReplyOutcome::Cancelled,
        Reply::Failed => {
            let detail = "disk".to_owned();
            message.outcome = ReplyOutcome::Failed { detail };
        }
    }
    message
}
