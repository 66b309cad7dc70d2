//! Admission in front of a server of known capacity: goodput under overload, recovery, and
//! accuracy of refusals.

use super::admission::{Clock, SERVICES, active_configuration, bundle, request};
use crate::limits::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SERVICE_TIME_US: u64 = 10_000;

/// Nodes in front of one server with a FIFO queue, in virtual time (microseconds).
struct Model {
    nodes: Vec<(Limits, Clock)>,
    slots: usize,
    /// Requests waiting for a slot: node, request, start.
    server_queue: std::collections::VecDeque<(usize, RequestId, u64)>,
    busy_slots: usize,
    /// Requests in slots: end, node, sequence, start.
    completions: BinaryHeap<Reverse<(u64, usize, u64, u64)>>,
    deadlines_us: BTreeMap<RequestId, u64>,
    in_time: u64,
    late: u64,
    refused: u64,
    /// Requests that expired in a node's queue.
    expired: u64,
}

impl Model {
    fn new(nodes: usize, slots: usize) -> Self {
        let node = |_| {
            let mut clock = Clock::new();
            let mut limits = Limits::new(LimitParameters::default());
            limits.install(
                &mut clock.context(),
                &active_configuration(bundle(1_000, 1_000)),
            );
            (limits, clock)
        };
        Self {
            nodes: (0..nodes).map(node).collect(),
            slots,
            server_queue: Default::default(),
            busy_slots: 0,
            completions: BinaryHeap::new(),
            deadlines_us: BTreeMap::new(),
            in_time: 0,
            late: 0,
            refused: 0,
            expired: 0,
        }
    }

    /// Sends requests at a constant rate of `load` times the capacity.
    fn offer(&mut self, load: f64, start_us: u64, end_us: u64) {
        let capacity = self.slots as f64 / SERVICE_TIME_US as f64;
        let interval_us = (1.0 / (capacity * load)) as u64;
        let mut time = start_us;
        let mut count = 0;
        while time < end_us {
            self.run_until(time);
            let node = (count * 7 + count / 5) % self.nodes.len();
            self.arrive(node, time);
            count += 1;
            time += interval_us;
        }
        self.run_until(end_us);
    }

    fn arrive(&mut self, node: usize, now: u64) {
        let id = request(self.deadlines_us.len() as u64 + 1);
        let deadline = now + 10 * SERVICE_TIME_US;
        self.deadlines_us.insert(id, deadline);
        let name = SERVICES[0].into();
        let admission_request = AdmissionRequest {
            service: &name,
            request: id,
            deadline: timestamp(deadline),
            predicted_run_time: None,
        };
        let (limits, clock) = &mut self.nodes[node];
        clock.now = timestamp(now);
        match limits.admit(&clock.context(), admission_request) {
            Admission::Run => self.start(node, id, now),
            Admission::Queued => {}
            Admission::Refuse(_) => self.refused += 1,
        }
    }

    fn start(&mut self, node: usize, request: RequestId, now: u64) {
        if self.busy_slots < self.slots {
            self.busy_slots += 1;
            let end = now + SERVICE_TIME_US;
            self.completions
                .push(Reverse((end, node, request.sequence, now)));
        } else {
            self.server_queue.push_back((node, request, now));
        }
    }

    fn run_until(&mut self, until: u64) {
        loop {
            let end = self.completions.peek().map(|Reverse((end, ..))| *end);
            let timer = (0..self.nodes.len())
                .filter_map(|node| Some((as_us(self.nodes[node].0.next_timeout()?), node)))
                .min();
            match (end, timer) {
                (Some(end), timer) if end <= until && timer.is_none_or(|(due, _)| end <= due) => {
                    self.complete_next();
                }
                (_, Some((due, node))) if due <= until => self.timer(node, due),
                _ => return,
            }
        }
    }

    fn complete_next(&mut self) {
        let Some(Reverse((now, node, sequence, started))) = self.completions.pop() else {
            return;
        };
        self.busy_slots -= 1;
        if let Some((node, request, start)) = self.server_queue.pop_front() {
            self.busy_slots += 1;
            let end = now + SERVICE_TIME_US;
            self.completions
                .push(Reverse((end, node, request.sequence, start)));
        }
        let in_time = now <= self.deadlines_us[&request(sequence)];
        self.in_time += u64::from(in_time);
        self.late += u64::from(!in_time);
        let latency = Duration::from_micros(now - started);
        let outcome = RequestOutcome {
            latency,
            half_response_latency: Some(latency),
            signal: LoadSignal::Normal,
        };
        let (limits, clock) = &mut self.nodes[node];
        clock.now = timestamp(now);
        let release = limits.request_finished(&clock.context(), &SERVICES[0].into(), outcome);
        self.released(node, release, now);
    }

    fn timer(&mut self, node: usize, now: u64) {
        let (limits, clock) = &mut self.nodes[node];
        clock.now = timestamp(now).max(clock.now);
        let release = limits.timer_due(&clock.context());
        self.released(node, release, now);
    }

    fn released(&mut self, node: usize, release: Release, now: u64) {
        for request in release.run {
            self.start(node, request, now);
        }
        self.expired += release.refuse.len() as u64;
    }

    fn reset(&mut self) {
        (self.in_time, self.late, self.refused, self.expired) = (0, 0, 0, 0);
    }
}

fn timestamp(time_us: u64) -> Timestamp {
    Timestamp::from_epoch(Duration::from_secs(1) + Duration::from_micros(time_us))
}

fn as_us(time: Timestamp) -> u64 {
    let since = time.since_epoch().saturating_sub(Duration::from_secs(1));
    since.as_micros() as u64 + 1
}

const SECOND_US: u64 = 1_000_000;

/// Guards against congestion collapse: under overload, goodput stays near capacity and few answers
/// are late; after it, refusals stop.
fn check_overload_recovery(nodes: usize, slots: usize) {
    let mut model = Model::new(nodes, slots);
    model.offer(0.95, 0, 5 * SECOND_US);
    model.reset();
    model.offer(0.95, 5 * SECOND_US, 10 * SECOND_US);
    let normal = model.in_time;
    model.offer(1.5, 10 * SECOND_US, 15 * SECOND_US);
    model.reset();
    model.offer(1.5, 15 * SECOND_US, 20 * SECOND_US);
    let (in_time, late) = (model.in_time, model.late);
    assert!(
        in_time * 10 >= normal * 9,
        "{nodes} nodes: {in_time} answered in time, {normal} at normal load, {late} late"
    );
    assert!(
        late * 50 <= in_time,
        "{nodes} nodes: {late} late, {in_time} in time"
    );
    assert!(
        model.expired * 10 <= model.refused,
        "{} requests expired in the queue, {} were refused on arrival",
        model.expired,
        model.refused
    );
    model.offer(0.6, 20 * SECOND_US, 22 * SECOND_US);
    model.reset();
    model.offer(0.6, 22 * SECOND_US, 25 * SECOND_US);
    assert_eq!(
        model.refused + model.expired + model.late,
        0,
        "{nodes} nodes: refused or late after the overload ended"
    );
}

#[test]
fn one_node_recovers_from_overload() {
    check_overload_recovery(1, 20);
}

#[test]
fn few_nodes_recover_from_overload() {
    check_overload_recovery(10, 20);
}

#[test]
fn many_nodes_recover_from_overload() {
    check_overload_recovery(80, 10);
}

/// Guards `retry_after`: all queued requests run in time, and a retry after that delay is admitted.
#[test]
fn refused_request_is_admitted_after_retry_delay() {
    let mut clock = Clock::new();
    let mut limits = Limits::new(LimitParameters::default());
    limits.install(
        &mut clock.context(),
        &active_configuration(bundle(2, 1_000)),
    );
    let name: ServiceName = SERVICES[0].into();
    let admission_request = |sequence, now: Timestamp| AdmissionRequest {
        service: &name,
        request: request(sequence),
        deadline: now + Duration::from_millis(60),
        predicted_run_time: None,
    };
    // The initial expected latency is half of the target of 20 ms. With two requests running, one
    // starts every 5 ms, so the fifth queued request would wait for more than the target.
    let requests = (1..=30)
        .map(|sequence| admission_request(sequence, clock.now))
        .collect::<Vec<_>>();
    let decisions = requests
        .into_iter()
        .map(|request| limits.admit(&clock.context(), request))
        .collect::<Vec<_>>();
    let running = decisions
        .iter()
        .filter(|admission| **admission == Admission::Run);
    let queued = decisions
        .iter()
        .filter(|admission| **admission == Admission::Queued);
    assert_eq!((running.count(), queued.count()), (2, 4));
    let Admission::Refuse(refusal) = decisions[29] else {
        panic!(
            "expected the last request to be refused, got {:?}",
            decisions[29]
        );
    };
    let mut running: u32 = 2;
    while clock
        .now
        .since(Timestamp::from_epoch(Duration::from_secs(1)))
        < refusal.retry_after
    {
        clock.now = clock.now + Duration::from_millis(10);
        let latency = Duration::from_millis(10);
        for _ in 0..std::mem::take(&mut running) {
            let outcome = RequestOutcome {
                latency,
                half_response_latency: Some(latency),
                signal: LoadSignal::Normal,
            };
            let release = limits.request_finished(&clock.context(), &name, outcome);
            assert!(release.refuse.is_empty());
            running += release.run.len() as u32;
        }
    }
    let retry = admission_request(31, clock.now);
    let decision = limits.admit(&clock.context(), retry);
    assert_eq!(decision, Admission::Run);
}
