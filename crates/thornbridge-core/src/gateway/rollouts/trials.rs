//! Trials at this node: permits for servers of a version on trial, and what this node saw of both
//! versions.

use crate::gateway::budget::ServiceKey;
use crate::time::Timestamp;
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

/// Permits and counts by service and route.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Trials {}

impl Trials {
    /// Begins to count for a service; keeps the counts if the trial has begun already.
    pub(in crate::gateway) fn begin(&mut self, _service: ServiceKey) {}

    /// Drops permits and counts of a service.
    pub(in crate::gateway) fn end(&mut self, _service: ServiceKey) {}

    /// Adds permits. `instance`: server to sample; `None` for any server of the version.
    pub(in crate::gateway) fn grant(
        &mut self,
        _now: Timestamp,
        _service: ServiceKey,
        _by_route: &[(String, u32)],
        _valid: Duration,
        _instance: Option<BackEndId>,
    ) {
    }

    /// Uses a permit for a request; `None` if there is none. The inner value is the server to sample.
    #[must_use]
    pub(in crate::gateway) fn take_permit(
        &mut self,
        _now: Timestamp,
        _service: ServiceKey,
        _route: &str,
    ) -> Option<Option<BackEndId>> {
        None
    }

    /// Returns a permit whose request was not sent to the version on trial.
    pub(in crate::gateway) fn return_permit(&mut self, _service: ServiceKey, _route: &str) {}

    /// Counts the first attempt of a request, at any version.
    pub(in crate::gateway) fn record_request(&mut self, _service: ServiceKey, _route: &str) {}

    /// Counts the outcome of an attempt.
    pub(in crate::gateway) fn record_outcome(
        &mut self,
        _service: ServiceKey,
        _route: &str,
        _arm: Arm,
        _good: bool,
    ) {
    }

    /// Counts to report to the conductor; `None` if there is nothing new. Requests and returned permits
    /// are reported once, whether or not the report arrives.
    pub(in crate::gateway) fn take_report(
        &mut self,
        _now: Timestamp,
        _service: ServiceKey,
    ) -> Option<Vec<RouteReport>> {
        None
    }
}
