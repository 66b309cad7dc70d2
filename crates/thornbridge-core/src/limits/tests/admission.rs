//! Random admission requests, checked against a model that tracks each request.

use crate::configuration::ActiveConfiguration;
use crate::limits::*;
use crate::{Action, Context, Signal, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thornbridge_config::bundle::{
    Bundle, Completeness, CompletenessPolicy, Service, ServiceKind, ServiceLimits,
};
use thornbridge_config::canonical;
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::{ChangeId, Generation, NodeId};

/// One service per priority, lowest first.
pub const SERVICES: [&str; 3] = ["low", "middle", "high"];

pub fn bundle(in_flight: u32, queued: u32) -> Bundle {
    let service = |(priority, name): (usize, &&str)| Service {
        name: (*name).into(),
        kind: ServiceKind::Query,
        priority: priority as u8,
        completeness: Completeness {
            policy: CompletenessPolicy::LatencyFirst,
            target: Duration::from_millis(20),
            hard_deadline: Duration::from_millis(200),
            minimum_coverage: 0.5,
        },
        limits: ServiceLimits {
            extra_load: 0.05,
            maximum_in_flight: in_flight,
            maximum_queued: queued,
        },
        back_ends: Vec::new(),
        layouts: Vec::new(),
        snapshots: Vec::new(),
    };
    Bundle {
        format: 1,
        version: "1".into(),
        deployment: "test".into(),
        maximum_nodes: 1,
        services: SERVICES.iter().enumerate().map(service).collect(),
    }
}

pub fn active_configuration(bundle: Bundle) -> ActiveConfiguration {
    let record = GenerationRecord {
        generation: Generation(1),
        version: bundle.version.clone(),
        digest: canonical::digest(&bundle).expect("encodes"),
        change: ChangeId::new("change"),
        key_id: String::new(),
        signature: Vec::new(),
    };
    ActiveConfiguration::new(record, bundle).unwrap()
}

/// Clock, random numbers and queues behind a [`Context`].
pub struct Clock {
    pub now: Timestamp,
    random: Pcg64Mcg,
    actions: VecDeque<Action>,
    signals: VecDeque<Signal>,
}

impl Clock {
    pub fn new() -> Self {
        Self {
            now: Timestamp::from_epoch(Duration::from_secs(1)),
            random: Pcg64Mcg::seed_from_u64(5),
            actions: VecDeque::new(),
            signals: VecDeque::new(),
        }
    }

    pub fn context(&mut self) -> Context<'_> {
        Context::new(
            self.now,
            &mut self.random,
            &mut self.actions,
            &mut self.signals,
        )
    }
}

pub fn request(sequence: u64) -> RequestId {
    RequestId {
        node: NodeId(1),
        sequence,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        service: usize,
        deadline_ms: u64,
    },
    Finish {
        index: usize,
        latency_ms: u64,
        overloaded: bool,
    },
    Cancel {
        index: usize,
    },
    Advance {
        duration_us: u64,
    },
    Reconfigure {
        in_flight: u32,
        queued: u32,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3usize, 0..200u64)
            .prop_map(|(service, deadline_ms)| Step::Arrive { service, deadline_ms }),
        4 => (any::<usize>(), 1..50u64, any::<bool>())
            .prop_map(|(index, latency_ms, overloaded)| {
                Step::Finish { index, latency_ms, overloaded }
            }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        3 => (0..30_000u64).prop_map(|duration_us| Step::Advance { duration_us }),
        1 => (1..5u32, 0..10u32)
            .prop_map(|(in_flight, queued)| Step::Reconfigure { in_flight, queued }),
    ]
}

/// Limits under test and the expected state of every request.
struct AdmissionModel {
    limits: Limits,
    clock: Clock,
    /// Service index of each running request.
    running: BTreeMap<RequestId, usize>,
    /// Service index and deadline of each queued request.
    queued_requests: BTreeMap<RequestId, (usize, Timestamp)>,
    maximum_in_flight: usize,
    last_request: u64,
}

const NODE_CONCURRENCY: u32 = 6;

impl AdmissionModel {
    fn new(order: QueueOrder) -> Self {
        let parameters = LimitParameters {
            queue_order: order,
            node_concurrency: NODE_CONCURRENCY,
            ..LimitParameters::default()
        };
        let mut clock = Clock::new();
        let mut limits = Limits::new(parameters);
        limits.install(&mut clock.context(), &active_configuration(bundle(4, 10)));
        Self {
            limits,
            clock,
            running: BTreeMap::new(),
            queued_requests: BTreeMap::new(),
            maximum_in_flight: 4,
            last_request: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive {
                service,
                deadline_ms,
            } => self.arrive(service, deadline_ms),
            Step::Finish {
                index,
                latency_ms,
                overloaded,
            } => {
                let running: Vec<RequestId> = self.running.keys().copied().collect();
                if !running.is_empty() {
                    self.finish(running[index % running.len()], latency_ms, overloaded);
                }
            }
            Step::Cancel { index } => {
                let queued_requests: Vec<RequestId> =
                    self.queued_requests.keys().copied().collect();
                if !queued_requests.is_empty() {
                    let request = queued_requests[index % queued_requests.len()];
                    let (service, _) = self.queued_requests.remove(&request).unwrap();
                    assert!(
                        self.limits
                            .cancel_queued(&SERVICES[service].into(), request)
                    );
                }
            }
            Step::Advance { duration_us } => self.advance(Duration::from_micros(duration_us)),
            Step::Reconfigure { in_flight, queued } => {
                self.maximum_in_flight = in_flight as usize;
                let active = active_configuration(bundle(in_flight, queued));
                let release = self.limits.install(&mut self.clock.context(), &active);
                self.released(release);
            }
        }
        self.check();
    }

    fn arrive(&mut self, service: usize, deadline_ms: u64) {
        self.last_request += 1;
        let id = request(self.last_request);
        let deadline = self.clock.now + Duration::from_millis(deadline_ms);
        let name: ServiceName = SERVICES[service].into();
        let admission_request = AdmissionRequest {
            service: &name,
            request: id,
            deadline,
            predicted_run_time: None,
        };
        match self.limits.admit(&self.clock.context(), admission_request) {
            Admission::Run => {
                assert!(
                    !self.has_queued(service),
                    "a new request overtook queued ones"
                );
                self.running.insert(id, service);
            }
            Admission::Queued => {
                self.queued_requests.insert(id, (service, deadline));
            }
            Admission::Refuse(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Overloaded);
                assert!(refusal.retry_after > Duration::ZERO);
            }
        }
    }

    fn finish(&mut self, request: RequestId, latency_ms: u64, overloaded: bool) {
        let service = self.running.remove(&request).unwrap();
        let latency = Duration::from_millis(latency_ms);
        let outcome = RequestOutcome {
            latency,
            half_response_latency: Some(latency),
            signal: if overloaded {
                LoadSignal::Overloaded
            } else {
                LoadSignal::Normal
            },
        };
        let name = SERVICES[service].into();
        let release = self
            .limits
            .request_finished(&self.clock.context(), &name, outcome);
        self.released(release);
    }

    fn released(&mut self, release: Release) {
        for request in release.run {
            let (service, deadline) = self
                .queued_requests
                .remove(&request)
                .expect("only queued requests are released");
            assert!(deadline >= self.clock.now, "released after its deadline");
            self.running.insert(request, service);
            assert!(self.in_flight(service) <= self.maximum_in_flight);
        }
        for (request, _) in release.refuse {
            assert!(
                self.queued_requests.remove(&request).is_some(),
                "only queued requests are refused in a release"
            );
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.clock.now + time;
        let mut calls = 0;
        while let Some(due) = self.limits.next_timeout().filter(|due| *due <= end) {
            self.clock.now = due.max(self.clock.now);
            let release = self.limits.timer_due(&self.clock.context());
            self.released(release);
            calls += 1;
            assert!(calls < 10_000, "the timer does not make progress");
        }
        self.clock.now = end;
    }

    fn has_queued(&self, service: usize) -> bool {
        self.queued_requests
            .values()
            .any(|(other, _)| *other == service)
    }

    fn in_flight(&self, service: usize) -> usize {
        self.running
            .values()
            .filter(|other| **other == service)
            .count()
    }

    fn check(&self) {
        assert!(self.running.len() <= NODE_CONCURRENCY as usize);
        for (service, name) in SERVICES.iter().enumerate() {
            let status = self.limits.status(&(*name).into()).unwrap();
            assert_eq!(status.in_flight as usize, self.in_flight(service));
            let queued_requests = self
                .queued_requests
                .values()
                .filter(|(other, _)| *other == service);
            assert_eq!(status.queued as usize, queued_requests.count());
        }
        for (_, deadline) in self.queued_requests.values() {
            assert!(*deadline >= self.clock.now, "queued after its deadline");
        }
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Each request is in exactly one state, limits hold, and no request is queued past its
    /// deadline.
    #[test]
    fn admission_agrees_with_model(
        steps in prop::collection::vec(step(), 1..150),
        order in prop::sample::select(vec![
            QueueOrder::FirstCome, QueueOrder::EarliestDeadline, QueueOrder::ShortestPredictedTime,
        ]),
    ) {
        let mut model = AdmissionModel::new(order);
        steps.into_iter().for_each(|step| model.apply(step));
        model.advance(Duration::from_secs(1));
        prop_assert!(model.queued_requests.is_empty());
    }
}

/// Guards the release order while the node's concurrency is exhausted.
#[test]
fn higher_priority_is_released_first() {
    let mut model = AdmissionModel::new(QueueOrder::EarliestDeadline);
    for _ in 0..3 {
        model.arrive(0, 200);
        model.arrive(1, 200);
    }
    for _ in 0..2 {
        (0..3).for_each(|service| model.arrive(service, 200));
    }
    assert_eq!((model.running.len(), model.queued_requests.len()), (6, 6));
    for expected in [2, 2, 1, 1, 0, 0] {
        model.finish(*model.running.keys().next().unwrap(), 5, false);
        let still_queued = model
            .queued_requests
            .values()
            .filter(|(service, _)| *service == expected);
        assert!(
            still_queued.count() < 2,
            "a request of service {expected} is released first"
        );
    }
    assert!(model.queued_requests.is_empty());
}
