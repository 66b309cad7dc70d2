//! Route configuration: which service, weighted split or set of shards answers an HTTP request.
//!
//! Beside bundles, which describe the product's own query and action protocols, a cluster may
//! serve plain HTTP callers. A [`RouteConfiguration`] is one immutable version of all routes;
//! versions only rise. [`RouteConfiguration::problems`] names everything that is wrong with one.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;
use thornbridge_proto::{RegionName, ServiceName};

/// Bytes of one record in the answer of a gather target.
pub const RECORD_BYTES: usize = 16;

/// Version of a route configuration. Rises with each change, in uneven steps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouteVersion(pub u64);

impl fmt::Display for RouteVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Idempotent: may be repeated and hedged.
    Repeatable,
    /// May run once at most for each request of a caller.
    AtMostOnce,
}

/// One service of a weighted split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other weights.
    pub weight: f64,
}

/// A query over many shards: one server of each shard answers with records, the greatest win.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatherTarget {
    /// The shards, each a service whose servers answer equally well.
    pub shards: Vec<ServiceName>,
    /// Records in the answer at most, each of [`RECORD_BYTES`].
    pub records: usize,
    /// Share of the shards (0 to 1) without which an answer is no success.
    pub least_share: f64,
}

/// What answers the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// One server of this service.
    Service(ServiceName),
    /// One server of one of these services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// One server of every shard.
    Gather(GatherTarget),
}

impl RouteTarget {
    /// Every service that the target names.
    pub fn services(&self) -> Vec<&ServiceName> {
        match self {
            Self::Service(service) => vec![service],
            Self::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Self::Gather(gather) => gather.shards.iter().collect(),
        }
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Operator's name, for logs.
    pub name: String,
    /// Host that requests name, in lower case and without a port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash. The longest that fits wins.
    pub prefix: String,
    /// What answers.
    pub target: RouteTarget,
    /// Whether requests may be repeated.
    pub repeatability: Repeatability,
    /// Longest time a request is held.
    pub time_limit: Duration,
    /// Time within which an answer is worth most.
    pub latency_objective: Duration,
    /// Rank under overload; 0 is the most urgent.
    pub priority: u8,
    /// Most servers that one request (for a gather: one shard of it) is sent to.
    pub attempts: u32,
    /// Regions outside of which no server may get requests; empty where any may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<RegionName>,
}

/// What is known of a service beside its servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutedService {
    /// The service.
    pub name: ServiceName,
    /// Connections that each of its servers takes from all callers together.
    pub connections: u32,
    /// How its servers warm up; `None` where what a cold one gets is not bounded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up: Option<WarmUp>,
}

/// How the servers of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time for which a server is cold.
    pub duration: Duration,
    /// Requests a second that a cold server bears, from all nodes together.
    pub requests_per_s: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_timeout: Duration,
    /// Time a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One version of all routes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Version.
    pub version: RouteVersion,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services, in any order.
    pub services: Vec<RoutedService>,
    /// Limits towards callers.
    pub limits: CallerLimits,
}

/// Something wrong with a route configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteProblem {
    /// Route or service concerned.
    pub subject: String,
    /// What is wrong, and what would be right.
    pub detail: String,
}

impl fmt::Display for RouteProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.subject, self.detail)
    }
}

impl RouteConfiguration {
    /// Everything that is wrong; empty for a configuration that can be put in force.
    pub fn problems(&self) -> Vec<RouteProblem> {
        let mut problems = Vec::new();
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            let mut found = |detail: String| {
                problems.push(RouteProblem {
                    subject: format!("route {}", route.name),
                    detail,
                });
            };
            if !seen.insert((&route.host, &route.prefix)) {
                found("another route has the same host and path prefix".to_owned());
            }
            route.check(&mut found);
        }
        for service in &self.services {
            if let Some(detail) = service.problem() {
                let subject = format!("service {}", service.name);
                problems.push(RouteProblem { subject, detail });
            }
        }
        problems
    }
}

impl RoutedService {
    fn problem(&self) -> Option<String> {
        let rate = self.warm_up?.requests_per_s;
        let valid = rate.is_finite() && rate > 0.0;
        (!valid).then(|| format!("{rate} requests a second while cold; expected more than 0"))
    }
}

impl Route {
    fn check(&self, found: &mut impl FnMut(String)) {
        let prefix = &self.prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            found(format!(
                "path prefix {prefix:?} must begin and end with a slash"
            ));
        }
        if self.attempts == 0 {
            found("0 attempts; expected 1 or more".to_owned());
        }
        if self.time_limit.is_zero() {
            found("time limit 0; expected more".to_owned());
        }
        match &self.target {
            RouteTarget::Service(_) => {}
            RouteTarget::Split(parts) => {
                let total: f64 = parts.iter().map(|part| part.weight).sum();
                let negative = parts.iter().any(|part| part.weight < 0.0);
                if parts.is_empty() || negative || !total.is_finite() || total <= 0.0 {
                    found("weights of a split must be 0 or more, and one above 0".to_owned());
                }
            }
            RouteTarget::Gather(gather) => self.check_gather(gather, found),
        }
    }

    fn check_gather(&self, gather: &GatherTarget, found: &mut impl FnMut(String)) {
        let distinct: BTreeSet<&ServiceName> = gather.shards.iter().collect();
        if gather.shards.is_empty() || distinct.len() != gather.shards.len() {
            found("a gather needs shards, each named once".to_owned());
        }
        if !(0.0..=1.0).contains(&gather.least_share) {
            found(format!(
                "least share {}; expected 0 to 1",
                gather.least_share
            ));
        }
        if self.repeatability == Repeatability::AtMostOnce {
            found("a gather repeats requests; its route must allow that".to_owned());
        }
    }
}
