//! Benchmarks of the processor time that a node spends on one configuration change.

#![allow(missing_docs)] // The macros of criterion generate undocumented functions.

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Duration;
use thornbridge_config::approval::{self, SigningKey, TrustedKey};
use thornbridge_config::bundle::{
    BUNDLE_FORMAT, BackEnd, Bundle, Completeness, CompletenessPolicy, Layout, Service, ServiceKind,
    Snapshot,
};
use thornbridge_config::canonical::SectionSet;
use thornbridge_core::configuration::ConfigurationRegister;
use thornbridge_core::{Context, Timestamp};
use thornbridge_proto::peer::PeerEndpoint;
use thornbridge_proto::peer::configuration::{ConfigurationMessage, GenerationRecord};
use thornbridge_proto::{Generation, NodeId};

const SERVICES: usize = 5;
const SERVERS_PER_SERVICE: usize = 660;
const SHARDS: usize = 190;

fn service(index: usize) -> Service {
    let ids: Vec<String> = (0..SERVERS_PER_SERVICE)
        .map(|server| format!("service-{index}-server-{server:04}"))
        .collect();
    let back_ends = ids.iter().enumerate().map(|(server, id)| BackEnd {
        id: id.as_str().into(),
        address: ([10, 200, (server >> 8) as u8, server as u8], 9_000).into(),
        zone: format!("zone-{}", server % 6).into(),
        slots: 5,
        connections: 70,
    });
    let mut shards = vec![Vec::new(); SHARDS];
    for (server, id) in ids.iter().enumerate() {
        shards[server % SHARDS].push(id.as_str().into());
    }
    Service {
        name: format!("service-{index}").into(),
        kind: ServiceKind::Query,
        priority: 0,
        completeness: Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::from_millis(40),
            hard_deadline: Duration::from_millis(400),
            minimum_coverage: 0.5,
        },
        limits: Default::default(),
        back_ends: back_ends.collect(),
        layouts: vec![Layout {
            id: "layout-1".into(),
            shards,
        }],
        snapshots: vec![Snapshot {
            id: "snapshot-1".into(),
            layout: "layout-1".into(),
        }],
    }
}

fn bundle(version: &str) -> Bundle {
    let mut bundle = Bundle {
        format: BUNDLE_FORMAT,
        version: version.into(),
        deployment: "bench".to_owned(),
        maximum_nodes: 690,
        services: (0..SERVICES).map(service).collect(),
    };
    bundle.services[0].snapshots[0].id = version.into();
    bundle
}

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

fn record(generation: u64, bundle: &Bundle) -> GenerationRecord {
    let digest = SectionSet::of(bundle)
        .expect("the bundle can be encoded")
        .digest();
    GenerationRecord {
        generation: Generation(generation),
        version: bundle.version.clone(),
        digest,
        change: "change".into(),
        key_id: "ops".to_owned(),
        signature: approval::sign(&key(), &bundle.version, &digest),
    }
}

fn whole(generation: u64, bundle: &Bundle) -> ConfigurationMessage {
    ConfigurationMessage::Whole {
        record: record(generation, bundle),
        sections: SectionSet::of(bundle)
            .expect("the bundle can be encoded")
            .to_wire(),
    }
}

fn receive(register: &mut ConfigurationRegister, message: ConfigurationMessage) -> usize {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let (mut actions, mut signals) = (VecDeque::new(), VecDeque::new());
    let mut context = Context::new(Timestamp::ZERO, &mut random, &mut actions, &mut signals);
    let from = PeerEndpoint {
        node: NodeId(9),
        address: ([10, 0, 0, 9], 7400).into(),
    };
    register.peer_message(&mut context, from, message);
    actions.len()
}

fn register() -> ConfigurationRegister {
    let trusted_keys = vec![TrustedKey::of("ops", &key())];
    let mut register = ConfigurationRegister::new(Default::default(), trusted_keys);
    receive(&mut register, whole(1, &bundle("v1")));
    register
}

fn delta() -> ConfigurationMessage {
    let (old, new) = (bundle("v1"), bundle("v2"));
    let old = SectionSet::of(&old).expect("the bundle can be encoded");
    let sections = SectionSet::of(&new).expect("the bundle can be encoded");
    let delta = sections.delta_from(&old.index());
    ConfigurationMessage::Delta {
        record: record(2, &new),
        base: old.digest(),
        changed: delta.changed,
        removed: delta.removed,
    }
}

fn dissemination(criterion: &mut Criterion) {
    let delta = delta();
    criterion.bench_function("accept a delta, 3300 servers", |bencher| {
        bencher.iter_batched_ref(
            || (register(), Some(delta.clone())),
            |(register, delta)| receive(register, delta.take().expect("the batch size is one")),
            BatchSize::PerIteration,
        );
    });
    let mut updated = register();
    let base = updated
        .active()
        .expect("a configuration is active")
        .record
        .digest;
    receive(&mut updated, delta.clone());
    let request = ConfigurationMessage::Request {
        base: Some(base),
        generation: Some(Generation(1)),
    };
    criterion.bench_function("answer with a delta, 3300 servers", |bencher| {
        bencher.iter(|| black_box(receive(&mut updated, request.clone())));
    });
    let announcement = ConfigurationMessage::Announce {
        summary: updated.active().map(|active| active.summary),
        platform_age_ms: Some(100),
    };
    criterion.bench_function("take an announcement", |bencher| {
        bencher.iter(|| black_box(receive(&mut updated, announcement.clone())));
    });
}

criterion_group!(benches, dissemination);
criterion_main!(benches);
