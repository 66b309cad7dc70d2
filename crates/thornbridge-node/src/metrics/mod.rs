//! Metrics in the Prometheus text format.
//!
//! Measurements that are distributions are taken as they happen ([`Metrics::observe`]). Every
//! counter of the core is exported by the name it has beside its code ([`counters`]), and what
//! stands now is read from the core's status when a scrape asks ([`standing`]).

mod counters;
mod standing;

use crate::input::Inspection;
use counters::CounterCollector;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use standing::Standing;
use std::fmt;
use std::sync::Arc;
use thornbridge_core::Observation;
use thornbridge_proto::caller::RefusalReason;

/// Prefix of every metric.
const PREFIX: &str = "thornbridge";
/// Shortest latency that has a bucket, in seconds.
const SHORTEST_LATENCY_SECONDS: f64 = 0.000_25;
/// Ratio of neighbouring latency buckets: a quantile read from them is off by a fifth at most.
const LATENCY_RATIO: f64 = 1.4;
/// Latency buckets: the longest ends at about 30 s, the longest time a caller may ask for.
const LATENCY_BUCKETS: u16 = 36;
/// Bounds of the coverage buckets: fine near 1, where it matters.
const COVERAGE_BOUNDS: [f64; 10] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 0.9999, 1.0];

/// Labels of a metric that each service has.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    service: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    service: String,
    reason: String,
}

type ServiceHistogram = Family<ServiceLabels, Histogram, fn() -> Histogram>;

/// All metrics of one node.
pub(crate) struct Metrics {
    registry: Registry,
    request_seconds: ServiceHistogram,
    attempt_seconds: ServiceHistogram,
    coverage: ServiceHistogram,
    refusals: Family<RefusalLabels, Counter>,
    control_seconds: Counter<f64, std::sync::atomic::AtomicU64>,
    counters: Arc<CounterCollector>,
    standing: Standing,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Metrics")
    }
}

impl Metrics {
    /// Metrics of a node that has just started.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let counters = Arc::new(CounterCollector::default());
        registry.register_collector(Box::new(Arc::clone(&counters)));
        let request_seconds = ServiceHistogram::new_with_constructor(latency_histogram);
        let attempt_seconds = ServiceHistogram::new_with_constructor(latency_histogram);
        let coverage = ServiceHistogram::new_with_constructor(coverage_histogram);
        let refusals = Family::default();
        let control_seconds = Counter::default();
        registry.register(
            "request_seconds",
            "Time from a request's arrival to its answer",
            request_seconds.clone(),
        );
        registry.register(
            "attempt_seconds",
            "Time from an attempt's sending to its reply",
            attempt_seconds.clone(),
        );
        registry.register("coverage", "Coverage of answers, 0 to 1", coverage.clone());
        registry.register("refusals", "Requests refused, by reason", refusals.clone());
        registry.register(
            "control_seconds",
            "Time the driver spent on membership, configuration, leases and health",
            control_seconds.clone(),
        );
        let standing = Standing::register(&mut registry);
        Self {
            registry,
            request_seconds,
            attempt_seconds,
            coverage,
            refusals,
            control_seconds,
            counters,
            standing,
        }
    }

    /// Takes a measurement of the core.
    pub(crate) fn observe(&self, observation: &Observation) {
        match observation {
            Observation::RequestFinished {
                service,
                latency,
                coverage,
                refused,
            } => {
                let labels = service_labels(service.as_str());
                if let Some(reason) = refused {
                    self.refused(service.as_str(), *reason);
                    return;
                }
                let seconds = latency.as_secs_f64();
                self.request_seconds.get_or_create(&labels).observe(seconds);
                if let Some(coverage) = coverage {
                    self.coverage.get_or_create(&labels).observe(*coverage);
                }
            }
        }
    }

    /// The histogram of the attempts of a service.
    pub(crate) fn attempt_seconds(&self, service: &str) -> Histogram {
        let labels = service_labels(service);
        self.attempt_seconds.get_or_create_owned(&labels)
    }

    /// Takes the time spent on one input of the control path.
    pub(crate) fn control_time(&self, time: std::time::Duration) {
        self.control_seconds.inc_by(time.as_secs_f64());
    }

    /// Everything, as text.
    pub(crate) fn encode(&self, inspection: &Inspection) -> Result<String, fmt::Error> {
        self.counters.update(inspection);
        self.standing.update(inspection);
        let mut encoded = String::new();
        text::encode(&mut encoded, &self.registry)?;
        Ok(encoded)
    }

    fn refused(&self, service: &str, reason: RefusalReason) {
        let labels = RefusalLabels {
            service: service.to_owned(),
            reason: reason_text(reason),
        };
        self.refusals.get_or_create(&labels).inc();
    }
}

/// Labels of a service.
fn service_labels(service: &str) -> ServiceLabels {
    ServiceLabels {
        service: service.to_owned(),
    }
}

fn reason_text(reason: RefusalReason) -> String {
    let name = serde_json::to_value(reason).ok();
    let name = name.as_ref().and_then(|name| name.as_str());
    name.unwrap_or("unknown").to_owned()
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        SHORTEST_LATENCY_SECONDS,
        LATENCY_RATIO,
        LATENCY_BUCKETS,
    ))
}

fn coverage_histogram() -> Histogram {
    Histogram::new(COVERAGE_BOUNDS)
}
