//! Many rehearsals with random faults, load and deployment, until one shows a violation.

#[cfg(test)]
mod tests;

use crate::fault::Fault;
use crate::rehearse::{self, RehearsalError, RehearsalOptions, ViolationReport};
use crate::scenario::hash_parts;
use indicatif::ProgressBar;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Deployments that are drawn from.
const DEPLOYMENTS: [&str; 3] = ["th-north", "dk-east", "two-region"];
/// Loads that are drawn from.
const LOADS: [f64; 4] = [0.05, 0.1, 0.3, 1.2];
/// Most faults of one run.
const MOST_FAULTS: usize = 4;
/// Time that callers send for in one run: long enough for each fault's window to matter.
const RUN_DURATION: Duration = Duration::from_secs(40);
/// Violations that end the search.
const ENOUGH_VIOLATIONS: usize = 5;

/// Options of `thornbridge rehearse fuzz`.
#[derive(Clone, Debug)]
pub struct FuzzOptions {
    /// Runs.
    pub runs: u64,
    /// Seed that the runs are drawn from.
    pub seed: u64,
    /// Threads; as many as there are cores where absent.
    pub threads: Option<usize>,
    /// Deployment of every run; drawn where absent.
    pub deployment: Option<String>,
    /// Load of every run; drawn where absent.
    pub load: Option<f64>,
    /// Shows a progress bar on a terminal.
    pub progress: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct FuzzReport {
    /// Runs made.
    pub runs: u64,
    /// Checks made.
    pub checks: u64,
    /// Violations found, by run.
    pub violations: Vec<(u64, ViolationReport)>,
}

/// The rehearsal of a run.
pub fn options_of_run(options: &FuzzOptions, run: u64) -> RehearsalOptions {
    let seed = hash_parts(options.seed, &[run]);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let drawn = DEPLOYMENTS[random.random_range(0..DEPLOYMENTS.len())];
    let deployment = options.deployment.as_deref().unwrap_or(drawn);
    let faults = random.random_range(0..=MOST_FAULTS);
    let mut rehearsal = RehearsalOptions::new(deployment);
    rehearsal.faults = (0..faults)
        .map(|_| Fault::ALL[random.random_range(0..Fault::ALL.len())])
        .collect();
    let drawn = LOADS[random.random_range(0..LOADS.len())];
    rehearsal.load = options.load.unwrap_or(drawn);
    rehearsal.duration = RUN_DURATION;
    rehearsal.seed = seed % 1_000_000;
    rehearsal
}

/// Makes all runs over several threads, and ends early when enough violations are found.
pub fn run(options: &FuzzOptions) -> Result<FuzzReport, RehearsalError> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = options.threads.unwrap_or(cores).max(1);
    let next = AtomicU64::new(0);
    let report = Mutex::new(FuzzReport::default());
    let failure = Mutex::new(None);
    let bar = if options.progress {
        ProgressBar::new(options.runs)
    } else {
        ProgressBar::hidden()
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| work(options, &next, &report, &failure, &bar));
        }
    });
    bar.finish_and_clear();
    if let Some(error) = failure.into_inner().unwrap_or_else(PoisonError::into_inner) {
        return Err(error);
    }
    let mut report = report.into_inner().unwrap_or_else(PoisonError::into_inner);
    report.violations.sort_by_key(|(run, _)| *run);
    Ok(report)
}

fn work(
    options: &FuzzOptions,
    next: &AtomicU64,
    report: &Mutex<FuzzReport>,
    failure: &Mutex<Option<RehearsalError>>,
    bar: &ProgressBar,
) {
    loop {
        let run = next.fetch_add(1, Ordering::Relaxed);
        if run >= options.runs {
            return;
        }
        let result = rehearse::run(&options_of_run(options, run));
        bar.inc(1);
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        match result {
            Ok(rehearsal) => {
                report.runs += 1;
                report.checks += rehearsal.checks.values().sum::<u64>();
                if let Some(violation) = rehearsal.first_violation {
                    bar.suspend(|| eprintln!("{violation}"));
                    report.violations.push((run, violation));
                }
            }
            Err(error) => {
                *failure.lock().unwrap_or_else(PoisonError::into_inner) = Some(error);
                next.store(options.runs, Ordering::Relaxed);
            }
        }
        if report.violations.len() >= ENOUGH_VIOLATIONS {
            next.store(options.runs, Ordering::Relaxed);
        }
    }
}
