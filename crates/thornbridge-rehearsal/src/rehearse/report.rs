//! The report of a rehearsal: the JSON object that `thornbridge rehearse` prints.

use super::options::RehearsalOptions;
use super::statistics::percentile;
use super::violation::ViolationReport;
use crate::oracle::Invariant;
use crate::simulator::measurements::ServiceMeasurements;
use crate::simulator::{SimulationOutcome, SimulationSetup, WARM_UP};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Report of one rehearsal.
#[derive(Clone, Debug, Serialize)]
pub struct RehearsalReport {
    /// Name of the scenario.
    pub deployment: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Queries offered.
    pub queries: u64,
    /// Actions offered.
    pub actions: u64,
    /// By service.
    pub services: BTreeMap<String, ServiceReport>,
    /// Cost of control.
    pub control: ControlReport,
    /// What an all-knowing router would reach, by service.
    pub oracle_lower_bound: BTreeMap<String, LowerBound>,
    /// Number of checks of each invariant.
    pub checks: BTreeMap<String, u64>,
    /// Number of violations of each invariant.
    pub violations: BTreeMap<String, u64>,
    /// Digest over all events; the same seed gives the same one on any machine.
    pub trace_digest: String,
    /// Values for plots.
    #[serde(skip)]
    pub series: Series,
    /// The first violation, explained.
    #[serde(skip)]
    pub first_violation: Option<ViolationReport>,
}

/// Figures of one service.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceReport {
    /// Median latency of answers.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Mean coverage of answers, 0 to 1.
    pub coverage_mean: f64,
    /// Least coverage of an answer.
    pub coverage_min: f64,
    /// Attempts beyond the first of each shard, over first attempts.
    pub extra_load: f64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed or not answered.
    pub failed: u64,
}

/// Cost of control.
#[derive(Clone, Debug, Serialize)]
pub struct ControlReport {
    /// Nodes.
    pub nodes: u32,
    /// Bytes sent to peers a second.
    pub bytes_per_second_per_node: f64,
    /// Processor time in control events, as a share of one core. Measured, so not repeatable.
    pub cpu_fraction_per_node: f64,
    /// Size of the state that control keeps.
    pub memory_bytes_per_node: f64,
    /// Longest time until a generation was in force on all nodes that could be reached.
    pub configuration_seconds_max: f64,
}

/// Lower bound of one service.
#[derive(Clone, Debug, Serialize)]
pub struct LowerBound {
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Values for plots.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// By service.
    pub services: BTreeMap<String, ServiceSeries>,
    /// By back end, in the order of the deployment.
    pub back_ends: Vec<BackEndLoad>,
}

/// How busy one back end was.
#[derive(Clone, Debug)]
pub struct BackEndLoad {
    /// Its service.
    pub service: String,
    /// Its id.
    pub back_end: String,
    /// Service time of the work it began over the time of its slots, 0 to 1 unless work was stopped midway.
    pub share: f64,
}

/// Values of one service for plots.
#[derive(Clone, Debug, Default)]
pub struct ServiceSeries {
    /// Latencies in milliseconds, ascending.
    pub latencies_ms: Vec<f64>,
    /// Time of sending since the callers began, and latency in milliseconds, by time of answer.
    pub latency_over_time: Vec<(Duration, f64)>,
    /// Time of sending since the callers began, and coverage of the answer.
    pub coverage_over_time: Vec<(Duration, f64)>,
}

/// Builds the report of an outcome.
pub(super) fn build(
    options: &RehearsalOptions,
    setup: &SimulationSetup,
    outcome: SimulationOutcome,
    first_violation: Option<ViolationReport>,
) -> RehearsalReport {
    let names = setup.deployment.services.iter();
    let names = names.map(|service| service.scenario.name.as_str().to_owned());
    let mut services = BTreeMap::new();
    let mut bounds = BTreeMap::new();
    let mut series = Series::default();
    for (name, measured) in names.zip(&outcome.services) {
        services.insert(name.clone(), service_report(measured));
        bounds.insert(name.clone(), lower_bound(measured));
        series.services.insert(name, service_series(measured));
    }
    series.back_ends = back_end_loads(setup, &outcome);
    let by_invariant = |count: &dyn Fn(Invariant) -> u64| {
        let named = Invariant::ALL.map(|invariant| (invariant.to_string(), count(invariant)));
        named.into_iter().collect::<BTreeMap<String, u64>>()
    };
    RehearsalReport {
        deployment: setup.deployment.scenario.name.clone(),
        policy: options.policy.to_string(),
        seed: options.seed,
        queries: outcome.queries,
        actions: outcome.actions,
        services,
        control: control_report(setup, &outcome),
        oracle_lower_bound: bounds,
        checks: by_invariant(&|invariant| outcome.log.checks(invariant)),
        violations: by_invariant(&|invariant| outcome.log.violations(invariant)),
        trace_digest: outcome.trace_digest,
        series,
        first_violation,
    }
}

impl RehearsalReport {
    /// Violations of all invariants.
    pub fn total_violations(&self) -> u64 {
        self.violations.values().sum()
    }
}

fn service_report(measured: &ServiceMeasurements) -> ServiceReport {
    let mut latencies = measured.latencies_us.clone();
    latencies.sort_unstable();
    let milliseconds = |share: f64| f64::from(percentile(&latencies, share)) / 1_000.0;
    let coverage = measured.coverage.iter().map(|(_, coverage)| *coverage);
    let answers = measured.coverage.len();
    ServiceReport {
        p50_ms: milliseconds(0.5),
        p99_ms: milliseconds(0.99),
        p999_ms: milliseconds(0.999),
        coverage_mean: if answers == 0 {
            1.0
        } else {
            coverage.clone().sum::<f64>() / answers as f64
        },
        coverage_min: coverage.fold(1.0, f64::min),
        extra_load: measured.extra_load(),
        refused: measured.refused,
        failed: measured.failed,
    }
}

fn lower_bound(measured: &ServiceMeasurements) -> LowerBound {
    let mut bounds = measured.lower_bounds_us.clone();
    bounds.sort_unstable();
    LowerBound {
        p99_ms: f64::from(percentile(&bounds, 0.99)) / 1_000.0,
    }
}

fn service_series(measured: &ServiceMeasurements) -> ServiceSeries {
    let since_start = |at: thornbridge_core::Timestamp| at.since_epoch().saturating_sub(WARM_UP);
    let milliseconds = |micros: &u32| f64::from(*micros) / 1_000.0;
    let mut latencies: Vec<f64> = measured.latencies_us.iter().map(milliseconds).collect();
    let over_time = measured.sent.iter().zip(&latencies);
    let latency_over_time = over_time
        .map(|(at, latency)| (since_start(*at), *latency))
        .collect();
    latencies.sort_by(f64::total_cmp);
    let coverage = measured.coverage.iter();
    ServiceSeries {
        latencies_ms: latencies,
        latency_over_time,
        coverage_over_time: coverage
            .map(|(at, coverage)| (since_start(*at), *coverage))
            .collect(),
    }
}

fn back_end_loads(setup: &SimulationSetup, outcome: &SimulationOutcome) -> Vec<BackEndLoad> {
    let measured = outcome.ended.since_epoch().saturating_sub(WARM_UP);
    let services = &setup.deployment.services;
    let servers = setup.deployment.servers.iter().zip(&outcome.work_begun);
    servers
        .map(|(server, work)| {
            let slot_time = measured.as_secs_f64() * f64::from(server.back_end.slots);
            BackEndLoad {
                service: services[server.service].scenario.name.as_str().to_owned(),
                back_end: server.back_end.id.as_str().to_owned(),
                share: work.as_secs_f64() / slot_time.max(f64::MIN_POSITIVE),
            }
        })
        .collect()
}

/// Cost of control in an outcome.
pub fn control_report(setup: &SimulationSetup, outcome: &SimulationOutcome) -> ControlReport {
    let nodes = setup.deployment.nodes.len();
    let measured = outcome.ended.since_epoch().saturating_sub(WARM_UP);
    let node_seconds = measured.as_secs_f64().max(f64::MIN_POSITIVE) * nodes as f64;
    ControlReport {
        nodes: nodes as u32,
        bytes_per_second_per_node: outcome.control.bytes as f64 / node_seconds,
        cpu_fraction_per_node: outcome.control.processor_time.as_secs_f64() / node_seconds,
        memory_bytes_per_node: outcome.memory_bytes_per_node,
        configuration_seconds_max: outcome.configuration_slowest.as_secs_f64(),
    }
}
