//! Gauges: what stands now, read from the core's status when a scrape asks.

use super::{ServiceLabels, service_labels};
use crate::input::Inspection;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;
use thornbridge_core::status::{NodeReadiness, StatusReport};

/// Value of the staleness gauge while the platform was never heard.
const NEVER_HEARD: f64 = -1.0;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LeaseLabels {
    lease: String,
}

/// All gauges.
pub(super) struct Standing {
    ready: Gauge,
    generation: Gauge,
    platform_staleness_seconds: Gauge<f64, AtomicU64>,
    members: Family<StateLabels, Gauge>,
    back_ends: Family<StateLabels, Gauge>,
    leases_held: Family<LeaseLabels, Gauge>,
    in_flight: Family<ServiceLabels, Gauge>,
    queued: Family<ServiceLabels, Gauge>,
    concurrency_limit: Family<ServiceLabels, Gauge>,
    callers_waiting: Gauge,
    back_end_connections: Gauge,
    attempts_running: Gauge,
    peer_links: Gauge,
}

impl Standing {
    /// Registers the gauges.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let standing = Self::unregistered();
        standing.register_node(registry);
        standing.register_services(registry);
        standing.register_driver(registry);
        standing
    }

    fn unregistered() -> Self {
        Self {
            ready: Gauge::default(),
            generation: Gauge::default(),
            platform_staleness_seconds: Gauge::default(),
            members: Family::default(),
            back_ends: Family::default(),
            leases_held: Family::default(),
            in_flight: Family::default(),
            queued: Family::default(),
            concurrency_limit: Family::default(),
            callers_waiting: Gauge::default(),
            back_end_connections: Gauge::default(),
            attempts_running: Gauge::default(),
            peer_links: Gauge::default(),
        }
    }

    fn register_node(&self, registry: &mut Registry) {
        registry.register("ready", "1 when callers are taken", self.ready.clone());
        registry.register(
            "generation",
            "Generation in force; 0 before the first",
            self.generation.clone(),
        );
        registry.register(
            "platform_staleness_seconds",
            "Time since the platform was heard; -1 when never",
            self.platform_staleness_seconds.clone(),
        );
        registry.register("members", "Members by state", self.members.clone());
        registry.register(
            "back_ends",
            "Back ends that are not plainly usable, by state",
            self.back_ends.clone(),
        );
        registry.register(
            "lease_held",
            "1 when this node holds the lease",
            self.leases_held.clone(),
        );
    }

    fn register_services(&self, registry: &mut Registry) {
        registry.register(
            "requests_in_flight",
            "Requests running",
            self.in_flight.clone(),
        );
        registry.register("requests_queued", "Requests waiting", self.queued.clone());
        registry.register(
            "concurrency_limit",
            "Present limit on requests running",
            self.concurrency_limit.clone(),
        );
    }

    fn register_driver(&self, registry: &mut Registry) {
        registry.register(
            "callers_waiting",
            "Callers that wait for an answer",
            self.callers_waiting.clone(),
        );
        registry.register(
            "back_end_connections",
            "Connections to back ends, open or opening",
            self.back_end_connections.clone(),
        );
        registry.register(
            "attempts_running",
            "Attempts on connections to back ends",
            self.attempts_running.clone(),
        );
        registry.register(
            "peer_links",
            "Authenticated links to peers",
            self.peer_links.clone(),
        );
    }

    /// Takes the present values.
    pub(super) fn update(&self, inspection: &Inspection) {
        self.update_node(&inspection.status);
        self.update_services(&inspection.status);
        let driver = &inspection.driver;
        set(&self.callers_waiting, driver.callers_waiting);
        set(&self.back_end_connections, driver.back_end_connections);
        set(&self.attempts_running, driver.attempts_running);
        set(&self.peer_links, driver.peer_links);
    }

    fn update_node(&self, status: &StatusReport) {
        let ready = status.readiness == NodeReadiness::Ready;
        self.ready.set(i64::from(ready));
        let generation = status
            .configuration
            .as_ref()
            .map_or(0, |configuration| configuration.generation.0);
        set(&self.generation, generation);
        let staleness = status.platform_staleness;
        let staleness = staleness.map_or(NEVER_HEARD, |staleness| staleness.as_secs_f64());
        self.platform_staleness_seconds.set(staleness);
        self.members.clear();
        for member in &status.members {
            count_state(&self.members, &format!("{:?}", member.state).to_lowercase());
        }
        self.back_ends.clear();
        for back_end in &status.back_ends {
            count_state(&self.back_ends, &back_end.state);
        }
        self.leases_held.clear();
        for lease in &status.leases {
            let labels = LeaseLabels {
                lease: lease.name.clone(),
            };
            let held = i64::from(lease.held_here);
            self.leases_held.get_or_create(&labels).set(held);
        }
    }

    fn update_services(&self, status: &StatusReport) {
        for family in [&self.in_flight, &self.queued, &self.concurrency_limit] {
            family.clear();
        }
        for service in &status.services {
            let labels = service_labels(service.service.as_str());
            let value = |number: u32| i64::from(number);
            self.in_flight
                .get_or_create(&labels)
                .set(value(service.in_flight));
            self.queued
                .get_or_create(&labels)
                .set(value(service.queued));
            self.concurrency_limit
                .get_or_create(&labels)
                .set(value(service.concurrency_limit));
        }
    }
}

fn count_state(family: &Family<StateLabels, Gauge>, state: &str) {
    let labels = StateLabels {
        state: state.to_owned(),
    };
    family.get_or_create(&labels).inc();
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}
