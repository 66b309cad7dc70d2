//! Trials at this node: permits for servers of a version on trial, and what this node saw of both
//! versions.

use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::BackEndId;
use thornbridge_proto::peer::rollout::RouteReport;

/// Version that served an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Arm {
    /// Version on trial.
    Trial,
    /// Version that serves.
    Stable,
}

/// Permits and counts of one service.
#[derive(Debug, Default)]
struct Trial {
    routes: BTreeMap<String, RouteReport>,
    has_news: bool,
    permits: BTreeMap<String, (u32, Timestamp)>,
    instance: Option<BackEndId>,
}

impl Trial {
    fn route(&mut self, route: &str) -> &mut RouteReport {
        let entry = self.routes.entry(route.to_owned()).or_default();
        route.clone_into(&mut entry.route);
        entry
    }
}

/// Permits and counts by service and route.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Trials {
    services: BTreeMap<ServiceKey, Trial>,
}

impl Trials {
    /// Begins to count for a service; keeps the counts if the trial has begun already.
    pub(in crate::gateway) fn begin(&mut self, service: ServiceKey) {
        self.services.entry(service).or_default();
    }

    /// Drops permits and counts of a service.
    pub(in crate::gateway) fn end(&mut self, service: ServiceKey) {
        self.services.remove(&service);
    }

    /// Adds permits. `instance`: server to sample; `None` for any server of the version.
    pub(in crate::gateway) fn grant(
        &mut self,
        now: Timestamp,
        service: ServiceKey,
        by_route: &[(String, u32)],
        valid: Duration,
        instance: Option<BackEndId>,
    ) {
        let Some(trial) = self.services.get_mut(&service) else {
            return;
        };
        trial.instance = instance;
        for (route, permits) in by_route {
            let held = trial.permits.entry(route.clone()).or_insert((0, now));
            *held = (held.0 + permits, now + valid);
        }
    }

    /// Uses a permit for a request; `None` if there is none. The inner value is the server to sample.
    #[must_use]
    pub(in crate::gateway) fn take_permit(
        &mut self,
        now: Timestamp,
        service: ServiceKey,
        route: &str,
    ) -> Option<Option<BackEndId>> {
        let trial = self.services.get_mut(&service)?;
        let (permits, until) = trial.permits.get_mut(route)?;
        if *permits == 0 || *until <= now {
            return None;
        }
        *permits -= 1;
        Some(trial.instance.clone())
    }

    /// Returns a permit whose request was not sent to the version on trial.
    pub(in crate::gateway) fn return_permit(&mut self, _service: ServiceKey, _route: &str) {}

    /// Counts the first attempt of a request, at any version.
    pub(in crate::gateway) fn record_request(&mut self, service: ServiceKey, route: &str) {
        if let Some(trial) = self.services.get_mut(&service) {
            trial.has_news = true;
            trial.route(route).requests += 1;
        }
    }

    /// Counts the outcome of an attempt.
    pub(in crate::gateway) fn record_outcome(
        &mut self,
        service: ServiceKey,
        route: &str,
        arm: Arm,
        good: bool,
    ) {
        let Some(trial) = self.services.get_mut(&service) else {
            return;
        };
        trial.has_news = true;
        let report = trial.route(route);
        let outcomes = match arm {
            Arm::Trial => &mut report.trial,
            Arm::Stable => &mut report.stable,
        };
        match good {
            true => outcomes.good += 1,
            false => outcomes.bad += 1,
        }
    }

    /// Counts to report to the conductor; `None` if there is nothing new. Requests and returned permits
    /// are reported once, whether or not the report arrives.
    pub(in crate::gateway) fn take_report(
        &mut self,
        _now: Timestamp,
        service: ServiceKey,
    ) -> Option<Vec<RouteReport>> {
        let trial = self.services.get_mut(&service)?;
        if !std::mem::take(&mut trial.has_news) {
            return None;
        }
        let routes = trial.routes.values().cloned().collect();
        for route in trial.routes.values_mut() {
            route.requests = 0;
        }
        Some(routes)
    }
}
