//! Counters, status and readiness of a node.

use super::{Lifecycle, Node};
use crate::counters::Counters;
use crate::status::{NodeReadiness, ServiceStatus, StatusReport};

impl Node {
    /// Snapshot of all counters.
    pub fn counters(&self) -> Counters {
        Counters {
            routing: self.router.counters().clone(),
            limits: self.limits.counters(),
            query: self.queries.counters().clone(),
            action: self.action_engine.counters(),
            membership: self.control.membership.counters().clone(),
            configuration: self.control.configuration.counters().clone(),
            health: self.control.health.counters().clone(),
            lease: self.control.readers.counters().clone(),
        }
    }

    /// Status report for operators, as of the last event.
    pub fn status(&self) -> StatusReport {
        let active = self.control.configuration.active();
        StatusReport {
            node: self.setup.endpoint.node,
            name: self.setup.name.clone(),
            readiness: self.readiness(),
            configuration: active.map(|active| active.reference.clone()),
            members: self.control.membership.view().members().to_vec(),
            configuration_obstacle: self.control.configuration.unavailable_reason(),
            leases: self.control.readers.statuses(self.now),
            platform_staleness: self.control.configuration.platform_age(self.now),
            platform_reachable: self.control.configuration.platform_reachable(),
            back_ends: self.router.back_end_status(),
            services: self.service_status(),
        }
    }

    fn service_status(&self) -> Vec<ServiceStatus> {
        let Some(active) = self.control.configuration.active() else {
            return Vec::new();
        };
        let services = active.bundle.services.iter();
        services
            .filter_map(|service| {
                let limits = self.limits.status(&service.name)?;
                Some(ServiceStatus {
                    service: service.name.clone(),
                    in_flight: limits.in_flight,
                    queued: limits.queued,
                    concurrency_limit: limits.limit as u32,
                    snapshot: self.queries.current_snapshot(self.now, &service.name),
                })
            })
            .collect()
    }

    pub(super) fn readiness(&self) -> NodeReadiness {
        if self.lifecycle != Lifecycle::Running {
            NodeReadiness::Leaving
        } else if self.control.configuration.active().is_none() {
            NodeReadiness::NoConfiguration
        } else if !self.control.health.is_bootstrapped() {
            NodeReadiness::LearningHealth
        } else {
            NodeReadiness::Ready
        }
    }
}
