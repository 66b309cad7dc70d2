//! Counters and latency histograms of a gateway, in the Prometheus text format.

use crate::caller_table::TableUsage;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::fmt;
use thornbridge_core::gateway::{AttemptSummary, GatewayChange, RequestSummary};

/// Upper bound of the first latency bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Ratio between the bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 1.5;
/// Number of latency buckets.
const BUCKET_COUNT: u16 = 26;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RouteLabels {
    route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    cause: String,
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SliceLabels {
    outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChangeLabels {
    change: String,
}

/// Gauge values, published by the driver and read by a scrape.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GaugeValues {
    pub(super) members: usize,
    pub(super) instances: usize,
    pub(super) quarantine_records: usize,
    pub(super) configuration_version: u64,
    pub(super) store_era: u64,
    pub(super) in_flight: usize,
    pub(super) connections: usize,
    pub(super) ready: bool,
    pub(super) callers: TableUsage,
}

/// All metrics of a gateway.
pub(super) struct GatewayMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<RouteLabels, Histogram, fn() -> Histogram>,
    attempts: Counter,
    notable_attempts: Family<AttemptLabels, Counter>,
    extra_attempts_denied: Counter,
    parts_held_back: Counter,
    missing_parts: Counter,
    unidentified_answers: Counter,
    surplus_bytes: Counter,
    slices: Family<SliceLabels, Counter>,
    served_slices: Family<SliceLabels, Counter>,
    changes: Family<ChangeLabels, Counter>,
    members: Gauge,
    instances: Gauge,
    quarantine_records: Gauge,
    configuration_version: Gauge,
    store_era: Gauge,
    in_flight: Gauge,
    connections: Gauge,
    ready: Gauge,
    caller_connections: Gauge,
    caller_request_bytes: Gauge,
    caller_answer_bytes: Gauge,
    callers_evicted: Counter,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("GatewayMetrics")
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_SECONDS,
        BUCKET_RATIO,
        BUCKET_COUNT,
    ))
}

impl GatewayMetrics {
    pub(super) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("thornbridge_gateway"),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(latency_histogram),
            attempts: Counter::default(),
            notable_attempts: Family::default(),
            extra_attempts_denied: Counter::default(),
            parts_held_back: Counter::default(),
            missing_parts: Counter::default(),
            unidentified_answers: Counter::default(),
            surplus_bytes: Counter::default(),
            slices: Family::default(),
            served_slices: Family::default(),
            changes: Family::default(),
            members: Gauge::default(),
            instances: Gauge::default(),
            quarantine_records: Gauge::default(),
            configuration_version: Gauge::default(),
            store_era: Gauge::default(),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            ready: Gauge::default(),
            caller_connections: Gauge::default(),
            caller_request_bytes: Gauge::default(),
            caller_answer_bytes: Gauge::default(),
            callers_evicted: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let requests = "Requests ended, by route and outcome";
        registry.register("requests", requests, self.requests.clone());
        let seconds = "Time from a request's arrival to its answer";
        registry.register("request_seconds", seconds, self.request_seconds.clone());
        registry.register("attempts", "Attempts sent", self.attempts.clone());
        let notable = "Attempts that were not a first one that was answered";
        registry.register("notable_attempts", notable, self.notable_attempts.clone());
        let denied = "Extra attempts that the budget did not allow";
        registry.register("extra_denied", denied, self.extra_attempts_denied.clone());
        let held_back = "Parts that found no server but cold ones over their bound";
        registry.register("held_back", held_back, self.parts_held_back.clone());
        let missing = "Parts that answers left out";
        registry.register("missing_parts", missing, self.missing_parts.clone());
        let unidentified = "Answers of servers without a request id";
        let counter = self.unidentified_answers.clone();
        registry.register("unidentified_answers", unidentified, counter);
        let surplus = "Idle connections closed because a server sent bytes on them";
        registry.register("surplus_bytes", surplus, self.surplus_bytes.clone());
        let slices = "Owners asked for slices of gathers, by how they stood when the gather ended";
        registry.register("slices", slices, self.slices.clone());
        let served = "Slices of other nodes' gathers, by how they ended here";
        registry.register("served_slices", served, self.served_slices.clone());
        let changes = "Changes of state, by kind";
        registry.register("changes", changes, self.changes.clone());
        let members = "Members that share the budgets";
        registry.register("members", members, self.members.clone());
        registry.register("instances", "Registered instances", self.instances.clone());
        let records = "Requests that servers crashed under, cleared ones included";
        registry.register("suspects", records, self.quarantine_records.clone());
        let version = "Version of the configuration in force";
        registry.register(
            "configuration_version",
            version,
            self.configuration_version.clone(),
        );
        let era = "Era of the store that the registry is known as of";
        registry.register("store_era", era, self.store_era.clone());
        let in_flight = "Requests without an answer yet";
        registry.register("requests_in_flight", in_flight, self.in_flight.clone());
        let connections = "Connections to servers, open or opening";
        registry.register("server_connections", connections, self.connections.clone());
        registry.register("ready", "1 where callers are wanted", self.ready.clone());
        let connections = "Connections of callers";
        registry.register(
            "caller_connections",
            connections,
            self.caller_connections.clone(),
        );
        let held = "Bytes of requests that callers make the process hold";
        let bytes = self.caller_request_bytes.clone();
        registry.register("caller_request_bytes", held, bytes);
        let held = "Bytes of answers that callers have not read";
        let bytes = self.caller_answer_bytes.clone();
        registry.register("caller_answer_bytes", held, bytes);
        let evicted = "Callers whose connections were closed to make room for others";
        registry.register("callers_evicted", evicted, self.callers_evicted.clone());
    }

    /// Records the end of a request.
    pub(super) fn record_request(&self, summary: &RequestSummary) {
        match summary.coordinator {
            None => self.count_request(summary),
            // The coordinator counts the request; this node counts its slice.
            Some(_) => {
                let outcome = summary.outcome.to_owned();
                let labels = SliceLabels { outcome };
                self.served_slices.get_or_create(&labels).inc();
            }
        }
        self.attempts.inc_by(summary.attempts_sent as u64);
        self.extra_attempts_denied
            .inc_by(summary.extra_attempts_denied as u64);
        self.parts_held_back.inc_by(summary.parts_held_back as u64);
        for slice in &summary.slices {
            let outcome = slice.outcome.as_str().to_owned();
            let labels = SliceLabels { outcome };
            self.slices.get_or_create(&labels).inc();
        }
        for attempt in &summary.notable_attempts {
            self.count_attempt(attempt);
        }
    }

    /// Counts a server's answer that carries no request id.
    pub(super) fn record_unidentified_answer(&self) {
        self.unidentified_answers.inc();
    }

    /// Counts an idle connection on which a server sent bytes.
    pub(super) fn record_surplus_bytes(&self) {
        self.surplus_bytes.inc();
    }

    fn count_request(&self, summary: &RequestSummary) {
        let labels = RequestLabels {
            route: summary.route.clone(),
            outcome: summary.outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        let route = RouteLabels {
            route: summary.route.clone(),
        };
        let seconds = summary.duration.as_secs_f64();
        self.request_seconds.get_or_create(&route).observe(seconds);
        self.missing_parts
            .inc_by((summary.parts_requested - summary.parts_answered) as u64);
    }

    fn count_attempt(&self, attempt: &AttemptSummary) {
        let labels = AttemptLabels {
            cause: attempt.cause.as_str().to_owned(),
            outcome: attempt.outcome.as_str().to_owned(),
        };
        self.notable_attempts.get_or_create(&labels).inc();
    }

    /// Counts a state change.
    pub(super) fn record_change(&self, change: &GatewayChange) {
        let change = match change {
            GatewayChange::ConfigurationActivated { .. } => "configuration_in_force",
            GatewayChange::Evacuation {
                evacuated: true, ..
            } => "zone_evacuated",
            GatewayChange::Evacuation { .. } => "zone_evacuation_over",
            GatewayChange::RegistryLoaded { .. } => "registry_known",
            GatewayChange::StoreEra { .. } => "store_era",
            GatewayChange::ObjectRejected { .. } => "object_refused",
            GatewayChange::Instance { state, .. } => state,
            GatewayChange::StoreReachability {
                reachable: true, ..
            } => "store_reachable",
            GatewayChange::StoreReachability { .. } => "store_unreachable",
            GatewayChange::ServerAvoidance { avoided: true, .. } => "server_avoided",
            GatewayChange::ServerAvoidance { .. } => "server_trusted",
            GatewayChange::OwnersSilent { .. } => "owners_missing",
            GatewayChange::StoreReader { reads: true, .. } => "store_reading",
            GatewayChange::StoreReader { .. } => "store_following",
            GatewayChange::ColdServers { .. } => "cold_servers",
            GatewayChange::Scarcity { scarce: true, .. } => "connections_scarce",
            GatewayChange::Scarcity { .. } => "connections_plenty",
            GatewayChange::Quarantine { state, .. } => state,
            GatewayChange::Rollout(change) => change.step.as_str(),
            GatewayChange::Members { .. } => "members",
            GatewayChange::BudgetMembers { .. } => "budget_sharers",
            GatewayChange::BudgetUsage { .. } => "budget_use",
            GatewayChange::Lifecycle { state } => state,
        };
        let change = change.to_owned();
        self.changes.get_or_create(&ChangeLabels { change }).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(super) fn encode(&self, gauges: &GaugeValues) -> String {
        self.members.set(gauges.members as i64);
        self.instances.set(gauges.instances as i64);
        self.quarantine_records
            .set(gauges.quarantine_records as i64);
        self.configuration_version
            .set(gauges.configuration_version as i64);
        self.store_era.set(gauges.store_era as i64);
        self.in_flight.set(gauges.in_flight as i64);
        self.connections.set(gauges.connections as i64);
        self.ready.set(i64::from(gauges.ready));
        let callers = &gauges.callers;
        self.caller_connections.set(callers.connections as i64);
        self.caller_request_bytes.set(callers.request_bytes as i64);
        self.caller_answer_bytes.set(callers.answer_bytes as i64);
        let counted = self.callers_evicted.get();
        let more = callers.evicted.saturating_sub(counted);
        self.callers_evicted.inc_by(more);
        let mut encoded = String::new();
        // Writing to a `String` cannot fail.
        let _ = text::encode(&mut encoded, &self.registry);
        encoded
    }
}
