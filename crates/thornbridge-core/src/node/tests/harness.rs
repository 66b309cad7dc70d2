//! Test harness: a node with simulated back ends and callers. Checks each answer and refusal.

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

/// Name of the only service.
pub const SERVICE: &str = "search";
/// Maximum consecutive timer events at the same time: work may be split over several events.
const MAX_CALLS_WITHOUT_PROGRESS: u32 = 100;
/// Hits returned by each shard.
pub const HITS_PER_SHARD: u32 = 2;

/// Parameters of a generated bundle.
#[derive(Clone, Debug)]
pub struct BundleSpec {
    pub generation: u64,
    pub shards: u32,
    pub replicas: u32,
    pub snapshots: Vec<&'static str>,
    pub policy: CompletenessPolicy,
    pub minimum_coverage: f64,
    pub extra_load: f64,
    pub maximum_in_flight: u32,
}

impl BundleSpec {
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

/// Response to a caller.
#[derive(Clone, Debug)]
pub enum Response {
    Answer(QueryAnswer),
    Refusal(Refusal),
}

/// Observations of one request, for the checks of its response.
#[derive(Debug, Default)]
struct RequestRecord {
    /// Attempts sent, except those that certainly did not run.
    may_have_run: BTreeSet<AttemptId>,
    /// Shards whose hits were delivered, by snapshot.
    delivered: BTreeSet<(SnapshotId, ShardId)>,
}

/// Reply of a simulated back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Hits,
    OtherSnapshot,
    OtherAttempt,
    OtherRequest,
    OtherShard,
    NanScore,
    Done,
    Shed,
    Leaving,
    NotHeld,
    Expired,
    Cancelled,
    Failed,
}

impl Reply {
    /// All replies without valid hits.
    pub const FAILURES: [Self; 12] = [
        Self::OtherSnapshot,
        Self::OtherAttempt,
        Self::OtherRequest,
        Self::OtherShard,
        Self::NanScore,
        Self::Done,
        Self::Shed,
        Self::Leaving,
        Self::NotHeld,
        Self::Expired,
        Self::Cancelled,
        Self::Failed,
    ];
}

/// A node with simulated connections, back ends and callers.
pub struct NodeHarness {
    pub node: Node,
    pub now: Timestamp,
    pub opening: Vec<ConnectionId>,
    pub open: BTreeSet<ConnectionId>,
    /// Attempts in flight, in the order of sending.
    pub running: Vec<(ConnectionId, Attempt)>,
    pub ended_attempts: Vec<Attempt>,
    pub cancel_count: u32,
    pub stopped_count: u32,
    pub responses: BTreeMap<CallerId, Response>,
    pub sent_queries: BTreeMap<CallerId, String>,
    pub disconnected: BTreeSet<CallerId>,
    connection_back_ends: BTreeMap<ConnectionId, BackEndId>,
    records: BTreeMap<RequestId, RequestRecord>,
}

impl NodeHarness {
    pub fn new(spec: &BundleSpec) -> Self {
        Self::with_parameters(spec, Parameters::default())
    }

    pub fn with_parameters(spec: &BundleSpec, parameters: Parameters) -> Self {
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
        let mut harness = Self {
            node: Node::new(setup),
            now: Timestamp::ZERO + Duration::from_secs(1),
            opening: Vec::new(),
            open: BTreeSet::new(),
            running: Vec::new(),
            ended_attempts: Vec::new(),
            cancel_count: 0,
            stopped_count: 0,
            responses: BTreeMap::new(),
            sent_queries: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            connection_back_ends: BTreeMap::new(),
            records: BTreeMap::new(),
        };
        harness.handle(Event::Started);
        harness.install(spec);
        harness
    }

    pub fn install(&mut self, spec: &BundleSpec) {
        let signal = Signal::ConfigurationActivated(spec.active_configuration());
        self.node.dispatch_signal(self.now, signal);
        self.node.process_pending(self.now);
        self.execute_actions();
    }

    pub fn handle(&mut self, event: Event) {
        self.node.handle(self.now, event);
        self.execute_actions();
    }

    /// Sends a query whose text contains the caller id.
    pub fn send_query(
        &mut self,
        timeout: Option<Duration>,
        minimum_coverage: Option<f64>,
    ) -> CallerId {
        let caller = CallerId(self.sent_queries.len() as u64 + 1);
        let text = format!("query {}", caller.0);
        self.sent_queries.insert(caller, text.clone());
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

    /// Advances the clock and fires each timer when due.
    pub fn advance(&mut self, by: Duration) {
        let until = self.now + by;
        let mut calls_without_progress = 0;
        while let Some(next) = self.node.next_timeout().filter(|next| *next <= until) {
            let has_advanced = next > self.now;
            self.now = self.now.max(next);
            self.handle(Event::TimerDue);
            calls_without_progress = if has_advanced {
                0
            } else {
                calls_without_progress + 1
            };
            assert!(
                calls_without_progress < MAX_CALLS_WITHOUT_PROGRESS,
                "a timer remains due without progress"
            );
        }
        self.now = until;
    }

    /// Back end of an attempt in flight.
    pub fn back_end_at(&self, index: usize) -> BackEndId {
        self.connection_back_ends[&self.running[index].0].clone()
    }

    pub fn reply(&mut self, index: usize, reply: Reply) {
        let (_, attempt) = self.running.remove(index);
        let record = self.records.entry(attempt.request).or_default();
        match reply {
            Reply::Shed | Reply::Leaving | Reply::NotHeld | Reply::Expired => {
                record.may_have_run.remove(&attempt.attempt);
            }
            Reply::Hits => {
                let Work::Query { snapshot, .. } = &attempt.work else {
                    unreachable!("only queries are sent");
                };
                record.delivered.insert((snapshot.clone(), attempt.shard));
            }
            _ => {}
        }
        self.deliver(&attempt, reply);
        self.ended_attempts.push(attempt);
    }

    /// Delivers a duplicate reply of an ended attempt. Does nothing if the attempt is in flight
    /// again, as one that was not sent may be.
    pub fn redeliver_reply(&mut self, index: usize, reply: Reply) {
        let attempt = self.ended_attempts[index].clone();
        let is_running =
            |(_, running): &(ConnectionId, Attempt)| running.attempt == attempt.attempt;
        if !self.running.iter().any(is_running) {
            self.deliver(&attempt, reply);
        }
    }

    fn deliver(&mut self, attempt: &Attempt, reply: Reply) {
        self.handle(Event::AttemptReplied {
            attempt: attempt.attempt,
            reply: back_end_reply(attempt, reply),
            load: Some(LoadReport::default()),
        });
    }

    pub fn fail(&mut self, index: usize, failure: AttemptFailure) {
        let (connection, attempt) = self.running.remove(index);
        if failure == AttemptFailure::NotSent {
            let record = self.records.entry(attempt.request).or_default();
            record.may_have_run.remove(&attempt.attempt);
        }
        self.handle(Event::AttemptFailed {
            attempt: attempt.attempt,
            failure,
        });
        self.ended_attempts.push(attempt);
        if self.open.remove(&connection) {
            self.handle(Event::ConnectionLost { connection });
        }
    }

    /// Breaks an idle or opening connection.
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

    pub fn disconnect_caller(&mut self, caller: CallerId) {
        self.disconnected.insert(caller);
        self.handle(Event::CallerDisconnected { caller });
    }

    fn execute_actions(&mut self) {
        while let Some(action) = self.node.poll_action() {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::OpenConnection {
                connection,
                back_end,
                ..
            } => {
                self.connection_back_ends.insert(connection, back_end);
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
                    "attempt sent on {connection:?}, which is not open"
                );
                let busy = self
                    .running
                    .iter()
                    .any(|(running, _)| *running == connection);
                assert!(!busy, "attempt sent on {connection:?}, which is busy");
                let record = self.records.entry(attempt.request).or_default();
                record.may_have_run.insert(attempt.attempt);
                self.running.push((connection, attempt));
            }
            Action::CancelAttempt { .. } => self.cancel_count += 1,
            Action::AnswerQuery { caller, answer } => {
                self.check_answer(caller, &answer);
                self.record_response(caller, Response::Answer(answer));
            }
            Action::Refuse { caller, refusal } => {
                self.check_refusal(&refusal);
                self.record_response(caller, Response::Refusal(refusal));
            }
            Action::Stopped => {
                self.stopped_count += 1;
                assert_eq!(
                    self.unanswered_count(),
                    0,
                    "node stopped with unanswered callers"
                );
            }
            _ => {}
        }
    }

    fn record_response(&mut self, caller: CallerId, response: Response) {
        assert!(
            self.sent_queries.contains_key(&caller),
            "response to unknown caller {caller:?}"
        );
        assert!(
            !self.disconnected.contains(&caller),
            "response to disconnected caller {caller:?}"
        );
        let previous = self.responses.insert(caller, response);
        assert!(previous.is_none(), "second response to caller {caller:?}");
    }

    /// Number of connected callers without a response.
    pub fn unanswered_count(&self) -> usize {
        let answered =
            |caller| self.responses.contains_key(caller) || self.disconnected.contains(caller);
        self.sent_queries
            .keys()
            .filter(|caller| !answered(caller))
            .count()
    }

    /// Checks that hits and coverage match the replies delivered for the answer's snapshot.
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
            let delivered = &self.records[&answer.request_id].delivered;
            assert!(
                delivered.contains(&(answer.snapshot.clone(), shard)),
                "shard {shard} counted as answered without a reply"
            );
            expected.extend(hits(&answer.snapshot, shard, &self.sent_queries[&caller]));
        }
        expected.sort_by(|left, right| {
            let by_score = right.score.total_cmp(&left.score);
            by_score.then_with(|| left.document.cmp(&right.document))
        });
        assert_eq!(answer.hits, expected);
    }

    /// Checks that a refusal as not run has no attempt that may have run.
    fn check_refusal(&self, refusal: &Refusal) {
        if refusal.executed == Executed::Unknown {
            return;
        }
        let record = self.records.get(&refusal.request_id);
        let ran = record
            .is_some_and(|record| !record.may_have_run.is_empty() || !record.delivered.is_empty());
        assert!(
            !ran,
            "refused as not run, but an attempt may have run: {refusal:?}"
        );
    }

    /// Ends all attempts and stops the node. Every connected caller must have a response.
    pub fn finish(&mut self) {
        self.advance(Duration::from_secs(60));
        while !self.running.is_empty() {
            self.fail(0, AttemptFailure::ConnectionBroken);
        }
        while !self.opening.is_empty() {
            self.lose_connection(0);
        }
        self.advance(Duration::from_secs(60));
        assert_eq!(self.unanswered_count(), 0, "a caller has no response");
        self.handle(Event::StopRequested);
        self.advance(Duration::from_secs(60));
        assert_eq!(self.stopped_count, 1, "the node did not stop");
    }
}

/// Hits of a shard for a query.
pub fn hits(snapshot: &SnapshotId, shard: ShardId, query: &str) -> Vec<Hit> {
    (0..HITS_PER_SHARD)
        .map(|rank| Hit {
            document: DocumentId::new(format!("{snapshot}/{shard}/{rank}")),
            score: f64::from((shard.0 * 7 + rank * 3) % 5),
            title: query.to_owned(),
        })
        .collect()
}

fn back_end_reply(attempt: &Attempt, reply: Reply) -> BackEndReply {
    let Work::Query {
        snapshot, query, ..
    } = &attempt.work
    else {
        unreachable!("only queries are sent");
    };
    let mut back_end_reply = BackEndReply {
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
            back_end_reply.outcome = ReplyOutcome::Hits { snapshot, hits };
        }
        Reply::OtherAttempt => back_end_reply.attempt.0 += 1_000_000,
        Reply::OtherRequest => back_end_reply.request.sequence += 1_000_000,
        Reply::OtherShard => back_end_reply.shard.0 += 1,
        Reply::NanScore => {
            let hit = Hit {
                document: "x".into(),
                score: f64::NAN,
                title: String::new(),
            };
            back_end_reply.outcome = ReplyOutcome::Hits {
                snapshot: snapshot.clone(),
                hits: vec![hit],
            };
        }
        Reply::Done => {
            let outcome = String::new();
            back_end_reply.outcome = ReplyOutcome::Done { outcome };
        }
        Reply::Shed => back_end_reply.outcome = ReplyOutcome::Shed { retry_after_ms: 5 },
        Reply::Leaving => back_end_reply.outcome = ReplyOutcome::Leaving,
        Reply::NotHeld => back_end_reply.outcome = ReplyOutcome::NotHeld,
        Reply::Expired => back_end_reply.outcome = ReplyOutcome::Expired,
        Reply::Cancelled => back_end_reply.outcome = ReplyOutcome::Cancelled,
        Reply::Failed => {
            let detail = "disk".to_owned();
            back_end_reply.outcome = ReplyOutcome::Failed { detail };
        }
    }
    back_end_reply
}
