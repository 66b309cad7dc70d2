//! What a run measured.

use super::options::{LoadError, LoadOptions};
use super::sender::RequestOutcome;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_proto::caller::{Executed, RefusalReason};

/// Precision of histograms in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longest latency that is told apart; longer ones are recorded as this.
const LONGEST_LATENCY: Duration = Duration::from_secs(600);

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// What was offered.
    pub options: LoadOptions,
    /// Time from the first request due to the last outcome, in seconds.
    pub elapsed_seconds: f64,
    /// Answers a second of the elapsed time.
    pub answered_per_second: f64,
    /// Requests sent later than 1 ms after they were due, for whatever reason.
    pub late_sends: u64,
    /// How long after it was due each request was sent: the generator's own error, which the
    /// latencies hold too.
    pub send_lag: LatencySummary,
    /// All services together.
    pub total: ServiceReport,
    /// Each service.
    pub services: BTreeMap<ServiceName, ServiceReport>,
}

/// Result of one service, or of all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Requests that were due.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Answers with a coverage below 1.
    pub partial: u64,
    /// Requests refused, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Refusals that could not say that the request did not run.
    pub refused_unknown: u64,
    /// Requests without a whole, well-formed response.
    pub failed: u64,
    /// Hits that showed a document twice in one answer.
    pub duplicate_hits: u64,
    /// Mean coverage of the answers; 0 where there is none.
    pub coverage_mean: f64,
    /// Least coverage of the answers; 0 where there is none.
    pub coverage_min: f64,
    /// Latency of answers, from the time at which the request was due.
    pub latency: LatencySummary,
}

/// Quantiles in milliseconds; all 0 where nothing was recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 9 in 10 are no longer.
    pub p90_ms: f64,
    /// 99 in 100.
    pub p99_ms: f64,
    /// 999 in 1,000.
    pub p999_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// One request with its times, after the start of the run.
#[derive(Clone, Debug)]
pub struct FinishedRequest {
    /// Service, by position.
    pub service: usize,
    /// When it was due.
    pub due: Duration,
    /// When it was sent.
    pub sent: Duration,
    /// When its outcome was known.
    pub finished: Duration,
    /// Its outcome.
    pub outcome: RequestOutcome,
}

#[derive(Debug)]
struct Measurements {
    latency: Histogram<u64>,
    coverage_sum: f64,
    report: ServiceReport,
}

/// Collects the outcomes of a run.
#[derive(Debug)]
pub struct Recorder {
    options: LoadOptions,
    total: Measurements,
    services: Vec<Measurements>,
    send_lag: Histogram<u64>,
    late_sends: u64,
    elapsed: Duration,
}

/// A request sent later than this after it was due is counted as late.
const LATE_SEND: Duration = Duration::from_millis(1);

impl Recorder {
    /// Nothing recorded.
    pub fn new(options: &LoadOptions) -> Result<Self, LoadError> {
        let services = options.services.iter().map(|_| Measurements::new());
        Ok(Self {
            options: options.clone(),
            total: Measurements::new()?,
            services: services.collect::<Result<_, _>>()?,
            send_lag: histogram()?,
            late_sends: 0,
            elapsed: Duration::ZERO,
        })
    }

    /// Takes one request.
    pub fn record(&mut self, finished: &FinishedRequest) {
        let lag = finished.sent.saturating_sub(finished.due);
        self.send_lag.saturating_record(microseconds(lag));
        if lag > LATE_SEND {
            self.late_sends += 1;
        }
        self.elapsed = self.elapsed.max(finished.finished);
        self.total.record(finished);
        self.services[finished.service].record(finished);
    }

    /// The result.
    pub fn report(self) -> LoadReport {
        let names = self.options.services.iter();
        let names = names.map(|share| share.service.clone());
        let services = self.services.into_iter().map(Measurements::report);
        let services = names.zip(services).collect();
        let total = self.total.report();
        let seconds = self.elapsed.as_secs_f64();
        LoadReport {
            options: self.options,
            elapsed_seconds: seconds,
            answered_per_second: total.answered as f64 / seconds.max(f64::MIN_POSITIVE),
            late_sends: self.late_sends,
            send_lag: summary(&self.send_lag),
            total,
            services,
        }
    }
}

impl Measurements {
    fn new() -> Result<Self, LoadError> {
        Ok(Self {
            latency: histogram()?,
            coverage_sum: 0.0,
            report: ServiceReport::default(),
        })
    }

    fn record(&mut self, finished: &FinishedRequest) {
        let report = &mut self.report;
        report.offered += 1;
        match &finished.outcome {
            RequestOutcome::Answered {
                coverage,
                duplicates,
            } => {
                let first = report.answered == 0;
                report.answered += 1;
                report.partial += u64::from(*coverage < 1.0);
                report.duplicate_hits += duplicates;
                report.coverage_min = match first {
                    true => *coverage,
                    false => report.coverage_min.min(*coverage),
                };
                self.coverage_sum += coverage;
                let latency = finished.finished.saturating_sub(finished.due);
                self.latency.saturating_record(microseconds(latency));
            }
            RequestOutcome::Refused { reason, executed } => {
                *report.refused.entry(*reason).or_default() += 1;
                report.refused_unknown += u64::from(*executed == Executed::Unknown);
            }
            RequestOutcome::Failed => report.failed += 1,
        }
    }

    fn report(self) -> ServiceReport {
        let mut report = self.report;
        report.latency = summary(&self.latency);
        report.coverage_mean = self.coverage_sum / report.answered.max(1) as f64;
        report
    }
}

fn histogram() -> Result<Histogram<u64>, LoadError> {
    // Bounded, since a histogram that grows by itself clamps what `saturating_record` is given.
    let longest = microseconds(LONGEST_LATENCY);
    Histogram::new_with_bounds(1, longest, SIGNIFICANT_DIGITS)
        .map_err(|source| LoadError::Histogram { source })
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    const MICROSECONDS_IN_MILLISECOND: f64 = 1_000.0;
    let quantile =
        |quantile| histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_IN_MILLISECOND;
    LatencySummary {
        mean_ms: histogram.mean() / MICROSECONDS_IN_MILLISECOND,
        p50_ms: quantile(0.5),
        p90_ms: quantile(0.9),
        p99_ms: quantile(0.99),
        p999_ms: quantile(0.999),
        max_ms: histogram.max() as f64 / MICROSECONDS_IN_MILLISECOND,
    }
}
