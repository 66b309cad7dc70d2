//! Trials at this node: permits for servers of a version on trial, and what this node saw of both
//! versions.
//!
//! Each permit is used once, or reported as returned once: when its validity ends, or when its request
//! is not sent to the version on trial after all. Companions of a route's requests have permits and
//! counts of their own: the outcome of a request and its companion is one, and bad if either is.

use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::peer::rollout::{Outcomes, RouteReport, companions_of};
use thornbridge_proto::{AttemptId, BackEndId};

/// Version that served an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Arm {
    /// Version on trial.
    Trial,
    /// Version that serves.
    Stable,
}

/// Permits of one grant for one route.
#[derive(Clone, Debug)]
struct Grant {
    unused: u32,
    valid_until: Timestamp,
    instance: Option<BackEndId>,
}

/// Permits and counts of one route.
#[derive(Clone, Debug, Default)]
struct RouteTrial {
    grants: Vec<Grant>,
    /// Permits that were used, and not returned since.
    used: u32,
    /// First attempts that are not reported yet.
    requests: u32,
    /// Returned and lapsed permits that are not reported yet.
    returned: u32,
    trial: Outcomes,
    stable: Outcomes,
    /// Whether the outcomes changed since the last report.
    outcomes_changed: bool,
    /// Requests and companions of which one ended, by the attempt of the request, and whether that was good.
    half_ended: BTreeMap<AttemptId, bool>,
}

impl RouteTrial {
    fn drop_lapsed(&mut self, now: Timestamp) {
        let lapsed = self.grants.iter().filter(|grant| grant.valid_until < now);
        self.returned += lapsed.map(|grant| grant.unused).sum::<u32>();
        self.grants
            .retain(|grant| grant.unused > 0 && grant.valid_until >= now);
    }

    /// Uses a permit of the grant that lapses first.
    fn take_permit(&mut self, now: Timestamp) -> Option<Option<BackEndId>> {
        self.drop_lapsed(now);
        let grants = self.grants.iter_mut();
        let grant = grants.min_by_key(|grant| grant.valid_until)?;
        grant.unused -= 1;
        self.used += 1;
        Some(grant.instance.clone())
    }

    fn has_permit(&self, now: Timestamp) -> bool {
        let mut grants = self.grants.iter();
        grants.any(|grant| grant.unused > 0 && grant.valid_until >= now)
    }

    fn has_news(&self) -> bool {
        self.requests > 0 || self.returned > 0 || self.outcomes_changed
    }

    fn take_report(&mut self, route: &str) -> RouteReport {
        self.outcomes_changed = false;
        RouteReport {
            route: route.to_owned(),
            requests: std::mem::take(&mut self.requests),
            returned: std::mem::take(&mut self.returned),
            trial: self.trial,
            stable: self.stable,
        }
    }
}

/// Permits and counts by service and route.
#[derive(Clone, Debug, Default)]
pub(in crate::gateway) struct Trials {
    services: BTreeMap<ServiceKey, BTreeMap<String, RouteTrial>>,
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

    /// Whether a trial of the service has begun.
    pub(in crate::gateway) fn has_begun(&self, service: ServiceKey) -> bool {
        self.services.contains_key(&service)
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
        for (route, permits) in by_route {
            if let Some(trial) = self.route_mut(service, route) {
                trial.grants.push(Grant {
                    unused: *permits,
                    valid_until: now + valid,
                    instance: instance.clone(),
                });
            }
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
        let routes = self.services.get_mut(&service)?;
        routes.get_mut(route)?.take_permit(now)
    }

    /// Returns a permit whose request was not sent to the version on trial. Permits of an earlier
    /// trial are ignored.
    pub(in crate::gateway) fn return_permit(&mut self, service: ServiceKey, route: &str) {
        let routes = self.services.get_mut(&service);
        let trial = routes.and_then(|routes| routes.get_mut(route));
        if let Some(trial) = trial.filter(|trial| trial.used > 0) {
            trial.used -= 1;
            trial.returned += 1;
        }
    }

    /// Whether there is a permit.
    pub(in crate::gateway) fn has_permit(
        &self,
        now: Timestamp,
        service: ServiceKey,
        route: &str,
    ) -> bool {
        let routes = self.services.get(&service);
        let trial = routes.and_then(|routes| routes.get(route));
        trial.is_some_and(|trial| trial.has_permit(now))
    }

    /// Counts a request that may have a companion; `affordable`: whether the budget allows one now.
    pub(in crate::gateway) fn record_eligible(
        &mut self,
        service: ServiceKey,
        route: &str,
        affordable: bool,
    ) {
        if let Some(companions) = self.route_mut(service, &companions_of(route)) {
            companions.stable.good += u32::from(affordable);
        }
    }

    /// Counts the outcome of a request with a companion, or of the companion. `request`: attempt of the
    /// request.
    pub(in crate::gateway) fn record_pair(
        &mut self,
        service: ServiceKey,
        route: &str,
        request: AttemptId,
        good: bool,
    ) {
        let companions = companions_of(route);
        let Some(pairs) = self.route_mut(service, &companions) else {
            return;
        };
        match pairs.half_ended.remove(&request) {
            None => {
                pairs.half_ended.insert(request, good);
            }
            Some(other) => self.record_outcome(service, &companions, Arm::Trial, good && other),
        }
    }

    /// Counts the first attempt of a request, at any version.
    pub(in crate::gateway) fn record_request(&mut self, service: ServiceKey, route: &str) {
        if let Some(trial) = self.route_mut(service, route) {
            trial.requests += 1;
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
        let Some(trial) = self.route_mut(service, route) else {
            return;
        };
        let outcomes = match arm {
            Arm::Trial => &mut trial.trial,
            Arm::Stable => &mut trial.stable,
        };
        match good {
            true => outcomes.good += 1,
            false => outcomes.bad += 1,
        }
        trial.outcomes_changed = true;
    }

    /// Counts to report to the conductor; `None` if there is nothing new. Requests and returned permits
    /// are reported once, whether or not the report arrives.
    pub(in crate::gateway) fn take_report(
        &mut self,
        now: Timestamp,
        service: ServiceKey,
    ) -> Option<Vec<RouteReport>> {
        let routes = self.services.get_mut(&service)?;
        for trial in routes.values_mut() {
            trial.drop_lapsed(now);
        }
        if !routes.values().any(RouteTrial::has_news) {
            return None;
        }
        let reports = routes.iter_mut();
        Some(
            reports
                .map(|(route, trial)| trial.take_report(route))
                .collect(),
        )
    }

    /// State of a route of a service whose trial has begun.
    fn route_mut(&mut self, service: ServiceKey, route: &str) -> Option<&mut RouteTrial> {
        let routes = self.services.get_mut(&service)?;
        if !routes.contains_key(route) {
            routes.insert(route.to_owned(), RouteTrial::default());
        }
        routes.get_mut(route)
    }
}
