//! The same rehearsal under several policies and seeds: medians and spread.

use crate::rehearse::{self, Policy, RehearsalError, RehearsalOptions, RehearsalReport, Spread};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Options of `thornbridge rehearse compare`.
#[derive(Clone, Debug)]
pub struct CompareOptions {
    /// The rehearsal; its policy and seed are replaced.
    pub rehearsal: RehearsalOptions,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Threads; as many as there are cores where absent.
    pub threads: Option<usize>,
}

/// Figures of one service under one policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceComparison {
    /// Median latency.
    pub p50_ms: Spread,
    /// 99th percentile of latency.
    pub p99_ms: Spread,
    /// 99.9th percentile of latency.
    pub p999_ms: Spread,
    /// Lower bound of the 99th percentile.
    pub lower_bound_p99_ms: Spread,
    /// 99th percentile over its lower bound.
    pub p99_over_bound: Spread,
    /// Mean coverage.
    pub coverage_mean: Spread,
    /// Extra load.
    pub extra_load: Spread,
    /// Requests refused.
    pub refused: Spread,
    /// Requests failed.
    pub failed: Spread,
}

/// Figures of one policy.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyComparison {
    /// The policy.
    pub policy: String,
    /// Seeds run.
    pub seeds: u64,
    /// Violations over all seeds.
    pub violations: u64,
    /// By service.
    pub services: BTreeMap<String, ServiceComparison>,
}

/// Runs all policies with all seeds.
pub fn run(options: &CompareOptions) -> Result<Vec<PolicyComparison>, RehearsalError> {
    let mut tasks = Vec::new();
    for policy in &options.policies {
        for seed in &options.seeds {
            let mut rehearsal = options.rehearsal.clone();
            rehearsal.policy = policy.clone();
            rehearsal.seed = *seed;
            tasks.push(rehearsal);
        }
    }
    let reports = run_all(&tasks, options.threads)?;
    let by_policy = reports.chunks(options.seeds.len().max(1));
    let named = options.policies.iter().zip(by_policy);
    Ok(named
        .map(|(policy, reports)| compare(policy, reports))
        .collect())
}

fn run_all(
    tasks: &[RehearsalOptions],
    threads: Option<usize>,
) -> Result<Vec<RehearsalReport>, RehearsalError> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = threads.unwrap_or(cores).clamp(1, tasks.len().max(1));
    let next = AtomicUsize::new(0);
    let results = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, task)) = take(&next, tasks) {
                    let result = rehearse::run(task);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.insert(index, result);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.into_values().collect()
}

fn take<'a>(
    next: &AtomicUsize,
    tasks: &'a [RehearsalOptions],
) -> Option<(usize, &'a RehearsalOptions)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    tasks.get(index).map(|task| (index, task))
}

fn compare(policy: &Policy, reports: &[RehearsalReport]) -> PolicyComparison {
    let mut services = BTreeMap::new();
    let names = reports
        .first()
        .map(|report| report.services.keys().cloned());
    for name in names.into_iter().flatten() {
        let comparison = compare_service(&name, reports);
        services.insert(name, comparison);
    }
    PolicyComparison {
        policy: policy.to_string(),
        seeds: reports.len() as u64,
        violations: reports.iter().map(RehearsalReport::total_violations).sum(),
        services,
    }
}

fn compare_service(name: &str, reports: &[RehearsalReport]) -> ServiceComparison {
    let spread = |figure: &dyn Fn(&RehearsalReport) -> f64| {
        let values: Vec<f64> = reports.iter().map(figure).collect();
        Spread::of(&values)
    };
    let bound = |report: &RehearsalReport| report.oracle_lower_bound[name].p99_ms;
    ServiceComparison {
        p50_ms: spread(&|report| report.services[name].p50_ms),
        p99_ms: spread(&|report| report.services[name].p99_ms),
        p999_ms: spread(&|report| report.services[name].p999_ms),
        lower_bound_p99_ms: spread(&bound),
        p99_over_bound: spread(&|report| report.services[name].p99_ms / bound(report)),
        coverage_mean: spread(&|report| report.services[name].coverage_mean),
        extra_load: spread(&|report| report.services[name].extra_load),
        refused: spread(&|report| report.services[name].refused as f64),
        failed: spread(&|report| report.services[name].failed as f64),
    }
}
