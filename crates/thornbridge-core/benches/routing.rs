//! Benchmarks of routing: one attempt (choose, dispatch, reply), and the computation of a subset.

#![allow(missing_docs)] // Criterion's macros generate functions without docs.

use criterion::{Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::{
    BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind, ServiceLimits,
    Snapshot,
};
use thornbridge_config::canonical;
use thornbridge_core::configuration::ActiveConfiguration;
use thornbridge_core::membership::MemberView;
use thornbridge_core::routing::{AttemptOwner, Router, RoutingParameters};
use thornbridge_core::{Action, Context, Signal, Timestamp};
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport, ReplyOutcome, Work};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::peer::membership::{MemberRecord, MemberState};
use thornbridge_proto::{
    BackEndId, ChangeId, Generation, Incarnation, LayoutId, NodeId, RequestId, ServiceName,
    ShardId, SnapshotId,
};

fn back_end_id(shard: usize, replica: usize) -> BackEndId {
    BackEndId::new(format!("listener-search-{shard}-{replica}"))
}

fn bundle(shards: usize, replicas: usize, maximum_nodes: u32) -> Bundle {
    let back_end = |shard: usize, replica: usize| BackEnd {
        id: back_end_id(shard, replica),
        address: ([127, 0, 0, 1], 1000).into(),
        zone: format!("zone-{}", (shard + replica) % 6).into(),
        slots: 5,
        connections: 70,
    };
    let service = Service {
        name: "listener-search".into(),
        kind: ServiceKind::Query,
        priority: 0,
        completeness: Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::from_millis(50),
            hard_deadline: Duration::from_millis(200),
            minimum_coverage: 0.5,
        },
        limits: ServiceLimits::default(),
        back_ends: (0..shards)
            .flat_map(|shard| (0..replicas).map(move |replica| back_end(shard, replica)))
            .collect(),
        layouts: vec![Layout {
            id: "layout".into(),
            shards: (0..shards)
                .map(|shard| {
                    (0..replicas)
                        .map(|replica| back_end_id(shard, replica))
                        .collect()
                })
                .collect(),
        }],
        snapshots: vec![Snapshot {
            id: "snapshot".into(),
            layout: "layout".into(),
        }],
    };
    Bundle {
        format: 1,
        version: "1".into(),
        deployment: "bench".into(),
        maximum_nodes,
        services: vec![service],
    }
}

fn active_configuration(bundle: Bundle) -> Arc<ActiveConfiguration> {
    let record = GenerationRecord {
        generation: Generation(1),
        version: bundle.version.clone(),
        digest: canonical::digest(&bundle).expect("bundle is serializable"),
        change: ChangeId::new("change"),
        key_id: String::new(),
        signature: Vec::new(),
    };
    Arc::new(ActiveConfiguration::new(record, bundle).expect("bundle is valid"))
}

fn member_view(nodes: u64) -> Arc<MemberView> {
    let member = |node: u64| MemberRecord {
        endpoint: PeerEndpoint {
            node: NodeId(node * 7919),
            address: ([10, 0, (node >> 8) as u8, node as u8], 7000).into(),
        },
        name: format!("node-{node}").into(),
        zone: format!("zone-{}", node % 6).into(),
        operator_address: ([127, 0, 0, 1], 8).into(),
        region: "region".into(),
        incarnation: Incarnation(0),
        state: MemberState::Alive,
    };
    Arc::new(MemberView::new(
        member(1),
        (2..=nodes).map(member).collect(),
    ))
}

/// Router with the driver's state.
struct Bench {
    router: Router,
    random: Pcg64Mcg,
    actions: VecDeque<Action>,
    signals: VecDeque<Signal>,
    now: Timestamp,
    service: ServiceName,
    snapshot: SnapshotId,
    layout: LayoutId,
    query: Arc<str>,
}

impl Bench {
    fn new() -> Self {
        Self {
            router: Router::new(RoutingParameters::default()),
            random: Pcg64Mcg::seed_from_u64(1),
            actions: VecDeque::new(),
            signals: VecDeque::new(),
            now: Timestamp::from_epoch(Duration::from_secs(1)),
            service: "listener-search".into(),
            snapshot: "snapshot".into(),
            layout: "layout".into(),
            query: "volunteers with a boat".into(),
        }
    }

    fn call<T>(&mut self, call: impl FnOnce(&mut Router, &mut Context<'_>) -> T) -> T {
        let mut context = Context::new(
            self.now,
            &mut self.random,
            &mut self.actions,
            &mut self.signals,
        );
        call(&mut self.router, &mut context)
    }

    fn open_connections(&mut self) {
        while let Some(due) = self.router.next_timeout() {
            self.now = due;
            self.call(|router, context| router.timer_due(context));
            while let Some(action) = self.actions.pop_front() {
                if let Action::OpenConnection { connection, .. } = action {
                    self.call(|router, context| router.connection_opened(context, connection));
                }
            }
            if due > Timestamp::from_epoch(Duration::from_secs(5)) {
                return;
            }
        }
    }

    fn run_attempt(&mut self, replicas: &[BackEndId], shard: ShardId) {
        self.now = self.now + Duration::from_micros(50);
        let id = self.router.next_attempt_id();
        let attempt = Attempt {
            attempt: id,
            request: RequestId {
                node: NodeId(1),
                sequence: id.0,
            },
            service: self.service.clone(),
            shard,
            time_left: Duration::from_millis(50),
            work: Work::Query {
                snapshot: self.snapshot.clone(),
                layout: self.layout.clone(),
                query: Arc::clone(&self.query),
                limit: 10,
            },
        };
        self.call(|router, context| {
            let back_end = router
                .choose(context, replicas, &[])
                .expect("a replica is available");
            router.dispatch(context, &back_end, AttemptOwner::Query, attempt);
        });
        let sent = self.actions.pop_front();
        black_box(&sent);
        let reply = BackEndReply {
            request: RequestId {
                node: NodeId(1),
                sequence: id.0,
            },
            attempt: id,
            shard,
            outcome: ReplyOutcome::Hits {
                snapshot: self.snapshot.clone(),
                hits: Vec::new(),
            },
        };
        let load = LoadReport {
            running: 2,
            slots: 5,
            ..LoadReport::default()
        };
        self.now = self.now + Duration::from_micros(900);
        let finished =
            self.call(|router, context| router.attempt_replied(context, id, reply, Some(load)));
        black_box(finished);
    }
}

fn attempts(criterion: &mut Criterion) {
    for (shards, replicas) in [(8, 2), (190, 3)] {
        let mut bench = Bench::new();
        let bundle = bundle(shards, replicas, 12);
        let replicas_by_shard = bundle.services[0].layouts[0].shards.clone();
        let view = member_view(12);
        bench.call(|router, context| router.members_changed(context, &view));
        let active = active_configuration(bundle);
        bench.call(|router, context| router.install(context, &active));
        bench.open_connections();
        let mut next_shard = 0;
        let name = format!("choose, dispatch and reply, {shards} shards of {replicas}");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                next_shard = (next_shard + 1) % shards;
                bench.run_attempt(&replicas_by_shard[next_shard], ShardId(next_shard as u32));
            });
        });
    }
}

fn subsets(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("whole subset");
    group.sample_size(10);
    for (nodes, shards, replicas) in [(40, 16, 12), (160, 64, 12), (690, 190, 17)] {
        let active = active_configuration(bundle(shards, replicas, nodes));
        let view = member_view(u64::from(nodes));
        let name = format!("{nodes} nodes, {} servers", shards * replicas);
        group.bench_function(&name, |bencher| {
            bencher.iter_with_large_drop(|| {
                let mut bench = Bench::new();
                bench.call(|router, context| router.members_changed(context, &view));
                bench.call(|router, context| router.install(context, &active));
                bench
            });
        });
    }
    group.finish();
}

criterion_group!(benches, attempts, subsets);
criterion_main!(benches);
