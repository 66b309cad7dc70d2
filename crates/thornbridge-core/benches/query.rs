//! Cost of one query over 190 shards with 3 replicas in a whole node, and memory of one query in
//! flight.

#![allow(missing_docs)] // The macros of criterion generate functions without docs.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use ed25519_dalek::SigningKey;
use std::time::Duration;
use thornbridge_config::approval::{self, TrustedKey};
use thornbridge_config::bundle::{
    BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind, ServiceLimits,
    Snapshot,
};
use thornbridge_config::canonical::SectionSet;
use thornbridge_core::{
    Action, CallerId, ConnectionId, Event, Node, NodeSetup, Parameters, Timestamp,
};
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport, ReplyOutcome, Work};
use thornbridge_proto::caller::{Hit, QueryRequest};
use thornbridge_proto::peer::configuration::{ConfigurationMessage, GenerationRecord};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use thornbridge_proto::{BackEndId, DocumentId, Generation, NodeId, ShardId};

const SHARDS: u32 = 190;
const REPLICAS: u32 = 3;
const HITS_PER_SHARD: u32 = 10;
const LIMIT: u32 = 10;
/// Queries in flight in the memory benchmark; below the initial concurrency limit.
const QUERIES_IN_FLIGHT: usize = 60;
const PAGE_BYTES: usize = 4_096;
const SERVICE: &str = "listener-search";

fn back_end_id(shard: u32, replica: u32) -> BackEndId {
    BackEndId::new(format!("{SERVICE}-{shard}-{replica}"))
}

fn bundle() -> Bundle {
    let back_end = |shard: u32, replica: u32| BackEnd {
        id: back_end_id(shard, replica),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: "zone-a".into(),
        slots: 200,
        connections: 1_000,
    };
    let holders = |shard| {
        (0..REPLICAS)
            .map(|replica| back_end_id(shard, replica))
            .collect()
    };
    let service = Service {
        name: SERVICE.into(),
        kind: ServiceKind::Query,
        priority: 0,
        completeness: Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::from_millis(50),
            hard_deadline: Duration::from_millis(200),
            minimum_coverage: 0.5,
        },
        limits: ServiceLimits::default(),
        back_ends: (0..SHARDS)
            .flat_map(|shard| (0..REPLICAS).map(move |replica| back_end(shard, replica)))
            .collect(),
        layouts: vec![Layout {
            id: "layout".into(),
            shards: (0..SHARDS).map(holders).collect(),
        }],
        snapshots: vec![Snapshot {
            id: "snapshot".into(),
            layout: "layout".into(),
        }],
    };
    Bundle {
        format: 1,
        version: "v1".into(),
        deployment: "bench".to_owned(),
        maximum_nodes: 1,
        services: vec![service],
    }
}

/// A node with an active bundle, and its driver.
struct Driver {
    node: Node,
    now: Timestamp,
    running: Vec<(ConnectionId, Attempt)>,
    answered: u64,
    last_caller: u64,
}

impl Driver {
    fn new() -> Self {
        let key = SigningKey::from_bytes(&[7; 32]);
        let setup = NodeSetup {
            endpoint: PeerEndpoint {
                node: NodeId(1),
                address: ([127, 0, 0, 1], 1).into(),
            },
            name: "node".into(),
            zone: "zone-a".into(),
            region: "region".into(),
            seeds: Vec::new(),
            trusted_keys: vec![TrustedKey {
                id: "key".to_owned(),
                public_key: hex_of(key.verifying_key().as_bytes()),
            }],
            operator_address: ([127, 0, 0, 1], 3).into(),
            seed: 1,
            parameters: Parameters::default(),
        };
        let mut driver = Self {
            node: Node::new(setup),
            now: Timestamp::ZERO + Duration::from_secs(1),
            running: Vec::new(),
            answered: 0,
            last_caller: 0,
        };
        driver.handle(Event::Started);
        driver.handle(bundle_message(&key));
        driver
    }

    fn handle(&mut self, event: Event) {
        self.node.handle(self.now, event);
        while let Some(action) = self.node.poll_action() {
            match action {
                Action::OpenConnection { connection, .. } => {
                    self.node
                        .handle(self.now, Event::ConnectionOpened { connection });
                }
                Action::SendAttempt {
                    connection,
                    attempt,
                } => self.running.push((connection, attempt)),
                Action::AnswerQuery { answer, .. } => {
                    assert_eq!(answer.coverage.shards_answered, SHARDS);
                    self.answered += 1;
                }
                Action::Refuse { refusal, .. } => unreachable!("refused: {refusal:?}"),
                _ => {}
            }
        }
    }

    fn send_query(&mut self) {
        self.last_caller += 1;
        let request = QueryRequest {
            service: SERVICE.into(),
            query: "a text of usual length".to_owned(),
            limit: LIMIT,
            timeout: None,
            minimum_coverage: None,
        };
        let caller = CallerId(self.last_caller);
        self.handle(Event::CallerQuery { caller, request });
    }

    /// Replies to all attempts in flight, 5 µs apart.
    fn reply_all(&mut self, hits: &[Vec<Hit>]) {
        while let Some((_, attempt)) = self.running.pop() {
            self.now = self.now + Duration::from_micros(5);
            let event = reply(&attempt, hits);
            self.handle(event);
        }
    }

    fn fire_timers(&mut self) {
        while self.node.next_timeout().is_some_and(|due| due <= self.now) {
            self.handle(Event::TimerDue);
        }
    }

    fn query(&mut self, hits: &[Vec<Hit>]) {
        self.send_query();
        self.reply_all(hits);
        self.now = self.now + Duration::from_micros(50);
        self.fire_timers();
    }
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bundle_message(key: &SigningKey) -> Event {
    let bundle = bundle();
    let sections = SectionSet::of(&bundle).expect("the bundle can be encoded");
    let digest = sections.digest();
    let record = GenerationRecord {
        generation: Generation(1),
        version: bundle.version.clone(),
        digest,
        change: "change".into(),
        key_id: "key".to_owned(),
        signature: approval::sign(key, &bundle.version, &digest),
    };
    Event::PeerMessage {
        from: PeerEndpoint {
            node: NodeId(2),
            address: ([127, 0, 0, 1], 2).into(),
        },
        message: PeerMessage::Configuration(ConfigurationMessage::Whole {
            record,
            sections: sections.to_wire(),
        }),
    }
}

fn reply(attempt: &Attempt, hits: &[Vec<Hit>]) -> Event {
    let Work::Query { snapshot, .. } = &attempt.work else {
        unreachable!("only queries are sent");
    };
    Event::AttemptReplied {
        attempt: attempt.attempt,
        reply: BackEndReply {
            request: attempt.request,
            attempt: attempt.attempt,
            shard: attempt.shard,
            outcome: ReplyOutcome::Hits {
                snapshot: snapshot.clone(),
                hits: hits[attempt.shard.0 as usize].clone(),
            },
        },
        load: Some(LoadReport {
            slots: 200,
            ..LoadReport::default()
        }),
    }
}

fn hits_of(shard: ShardId) -> Vec<Hit> {
    (0..HITS_PER_SHARD)
        .map(|rank| Hit {
            document: DocumentId::new(format!("document-{shard}-{rank}")),
            score: f64::from((shard.0 * 31 + rank * 17) % 101),
            title: String::new(),
        })
        .collect()
}

fn all_hits() -> Vec<Vec<Hit>> {
    (0..SHARDS).map(|shard| hits_of(ShardId(shard))).collect()
}

/// Cost of building the replies, which is part of `whole_query`.
fn driver_alone(criterion: &mut Criterion) {
    let hits = all_hits();
    let mut driver = Driver::new();
    driver.send_query();
    let attempts: Vec<Attempt> = driver
        .running
        .iter()
        .map(|(_, attempt)| attempt.clone())
        .collect();
    let mut group = criterion.benchmark_group("query");
    group.throughput(Throughput::Elements(u64::from(SHARDS)));
    group.bench_function("driver_alone_190_shards", |bencher| {
        bencher.iter(|| {
            for attempt in &attempts {
                std::hint::black_box(reply(attempt, &hits));
            }
        });
    });
    group.finish();
}

fn whole_query(criterion: &mut Criterion) {
    let hits = all_hits();
    let mut driver = Driver::new();
    for _ in 0..200 {
        driver.query(&hits);
    }
    let mut group = criterion.benchmark_group("query");
    group.throughput(Throughput::Elements(u64::from(SHARDS)));
    group.bench_function("whole_190_shards", |bencher| {
        bencher.iter(|| driver.query(&hits));
    });
    group.finish();
    assert!(driver.answered > 0);
}

/// Resident memory of this process; 0 on other systems than Linux.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Prints the resident memory of one query before the first reply.
fn memory(_: &mut Criterion) {
    let mut driver = Driver::new();
    driver.send_query();
    driver.running.clear();
    let before = resident_bytes();
    for _ in 0..QUERIES_IN_FLIGHT {
        driver.send_query();
        // Drops the driver's copy of the attempts.
        driver.running.clear();
    }
    let bytes = resident_bytes().saturating_sub(before) / QUERIES_IN_FLIGHT;
    println!(
        "query/memory: {bytes} resident bytes for each query in flight, including routing state"
    );
}

criterion_group!(benches, driver_alone, whole_query, memory);
criterion_main!(benches);
