//! Route table of the active configuration, with services resolved to keys.

use super::budget::ServiceKey;
use super::caller_try::ObservedTimeouts;
use super::servers::Servers;
use super::work::WorkEstimate;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use thornbridge_config::routes::{Route, RouteConfiguration, RouteTarget, RouteVersion};

/// Tolerance for rounding errors in `least_share` times the number of shards.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Steps among which the start of a split's round robin is drawn, so that nodes with few requests each
/// do not all begin with the same part.
const START_PHASES: u32 = 1_000;

/// Identity of a route across configuration versions, assigned per host and prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RouteKey(pub(super) u64);

/// Route target with resolved services.
#[derive(Debug)]
pub(super) enum ResolvedTarget {
    Service(ServiceKey),
    Split(Vec<(ServiceKey, f64)>),
    Gather(ResolvedGather),
}

/// Gather target with resolved shards.
#[derive(Debug)]
pub(super) struct ResolvedGather {
    pub(super) shards: Vec<ServiceKey>,
    /// Maximum number of records in an answer.
    pub(super) records: usize,
    /// Minimum number of shards that must answer.
    pub(super) min_parts: usize,
}

/// Route of one configuration version.
#[derive(Debug)]
pub(super) struct ResolvedRoute {
    pub(super) key: RouteKey,
    pub(super) version: RouteVersion,
    pub(super) route: Route,
    pub(super) target: ResolvedTarget,
}

/// Statistics of a route, kept across configuration versions.
#[derive(Debug, Default)]
pub(super) struct RouteStatistics {
    pub(super) work: WorkEstimate,
    /// Current weights of a split's parts, for smooth weighted round robin.
    pub(super) current_weights: Vec<f64>,
    /// Timeouts stated by callers.
    pub(super) caller_timeouts: ObservedTimeouts,
}

/// Routes of the active configuration.
#[derive(Debug, Default)]
pub(super) struct RouteTable {
    pub(super) version: RouteVersion,
    by_host: BTreeMap<String, Vec<Arc<ResolvedRoute>>>,
    keys: BTreeMap<(String, String), RouteKey>,
    next_key: u64,
    statistics: BTreeMap<RouteKey, RouteStatistics>,
}

impl RouteTable {
    /// Replaces all routes by those of `configuration`.
    pub(super) fn apply(&mut self, configuration: &RouteConfiguration, servers: &mut Servers) {
        self.version = configuration.version;
        let mut keys = BTreeMap::new();
        self.by_host.clear();
        for route in &configuration.routes {
            let identity = (route.host.clone(), route.prefix.clone());
            let key = self.keys.get(&identity).copied().unwrap_or_else(|| {
                self.next_key += 1;
                RouteKey(self.next_key)
            });
            keys.insert(identity, key);
            let resolved = Arc::new(ResolvedRoute {
                key,
                version: configuration.version,
                target: resolve(&route.target, servers),
                route: route.clone(),
            });
            self.by_host
                .entry(route.host.clone())
                .or_default()
                .push(resolved);
        }
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.route.prefix.len()));
        }
        let kept: BTreeSet<RouteKey> = keys.values().copied().collect();
        self.statistics.retain(|key, _| kept.contains(key));
        self.keys = keys;
    }

    /// Finds the route of a host with the longest matching path prefix.
    pub(super) fn find(&self, host: &str, path: &str) -> Option<Arc<ResolvedRoute>> {
        let routes = self.by_host.get(host)?;
        let found = routes
            .iter()
            .find(|route| path.starts_with(&route.route.prefix));
        found.cloned()
    }

    /// All routes of all hosts.
    pub(super) fn all(&self) -> impl Iterator<Item = &Arc<ResolvedRoute>> {
        self.by_host.values().flatten()
    }

    /// Name of a route; empty if the configuration does not have it.
    pub(super) fn name_of(&self, key: RouteKey) -> &str {
        let found = self.all().find(|route| route.key == key);
        found.map_or("", |route| &route.route.name)
    }

    /// Statistics of a route, created on first use.
    pub(super) fn statistics(&mut self, key: RouteKey) -> &mut RouteStatistics {
        self.statistics.entry(key).or_default()
    }

    /// Shards of all gathers.
    pub(super) fn shards(&self) -> BTreeSet<ServiceKey> {
        let routes = self.by_host.values().flatten();
        let shards = routes.filter_map(|route| match &route.target {
            ResolvedTarget::Gather(gather) => Some(gather.shards.iter().copied()),
            _ => None,
        });
        shards.flatten().collect()
    }
}

/// Services referenced by a configuration.
pub(super) fn services_of(
    configuration: &RouteConfiguration,
    servers: &mut Servers,
) -> BTreeSet<ServiceKey> {
    let routes = configuration.routes.iter();
    let names = routes.flat_map(|route| route.target.services());
    names.map(|name| servers.service_key(name)).collect()
}

fn resolve(target: &RouteTarget, servers: &mut Servers) -> ResolvedTarget {
    match target {
        RouteTarget::Service(service) => ResolvedTarget::Service(servers.service_key(service)),
        RouteTarget::Split(parts) => {
            let parts = parts.iter();
            let resolved = parts.map(|part| (servers.service_key(&part.service), part.weight));
            ResolvedTarget::Split(resolved.collect())
        }
        RouteTarget::Gather(gather) => {
            let shards: Vec<ServiceKey> = gather
                .shards
                .iter()
                .map(|shard| servers.service_key(shard))
                .collect();
            let required = gather.least_share * shards.len() as f64 - SHARE_TOLERANCE;
            ResolvedTarget::Gather(ResolvedGather {
                records: gather.records,
                min_parts: (required.ceil().max(1.0) as usize).min(shards.len()),
                shards,
            })
        }
    }
}

impl RouteStatistics {
    /// Selects the next part of a split by smooth weighted round robin from a random phase.
    pub(super) fn next_part(
        &mut self,
        random: &mut Pcg64Mcg,
        parts: &[(ServiceKey, f64)],
    ) -> usize {
        if self.current_weights.len() != parts.len() {
            self.current_weights = vec![0.0; parts.len()];
            for _ in 0..random.random_range(0..START_PHASES) {
                self.advance_split(parts);
            }
        }
        self.advance_split(parts)
    }

    fn advance_split(&mut self, parts: &[(ServiceKey, f64)]) -> usize {
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        for (current, (_, weight)) in self.current_weights.iter_mut().zip(parts) {
            *current += weight;
        }
        let mut best = 0;
        for index in 1..parts.len() {
            if self.current_weights[index] > self.current_weights[best] {
                best = index;
            }
        }
        self.current_weights[best] -= total;
        best
    }
}
