//! State shared by all queries: parameters, counters and observed latencies of each service.

use super::counters::QueryCounters;
use super::coverage_allowance::CoverageAllowance;
use super::hedge::Forecast;
use super::parameters::{HedgePolicy, QueryParameters, WaitPolicy};
use super::planner::QueryPlan;
use super::scatter::Scatter;
use super::shard_latency::ShardLatencies;
use crate::configuration::ActiveConfiguration;
use crate::context::Context;
use crate::resources::Resources;
use crate::routing::Router;
use crate::time::Timestamp;
use std::collections::BTreeMap;
use thornbridge_proto::{RequestId, ServiceName};

/// Latency quantile tracked if the policy does not specify one.
const DEFAULT_QUANTILE: f64 = 0.95;

/// State shared by all queries.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) parameters: QueryParameters,
    pub(super) counters: QueryCounters,
    latencies: BTreeMap<ServiceName, ShardLatencies>,
}

impl SharedState {
    pub(super) fn new(parameters: QueryParameters) -> Self {
        Self {
            parameters,
            counters: QueryCounters::default(),
            latencies: BTreeMap::new(),
        }
    }

    /// Drops the latencies of services that are not in the new configuration.
    pub(super) fn install(&mut self, active: &ActiveConfiguration) {
        self.latencies
            .retain(|service, _| active.service(service).is_some());
    }

    /// Observed latencies of a plan's service.
    pub(super) fn latencies_of(&mut self, plan: &QueryPlan) -> &mut ShardLatencies {
        latencies_of(&mut self.latencies, &self.parameters, plan)
    }

    /// Sender of attempts for one query.
    pub(super) fn scatter<'a, 'c>(
        &'a mut self,
        context: &'a mut Context<'c>,
        resources: &'a mut Resources<'_>,
        request: RequestId,
        plan: &'a QueryPlan,
    ) -> Scatter<'a, 'c> {
        Scatter {
            context,
            router: resources.router,
            limits: resources.limits,
            parameters: &self.parameters,
            counters: &mut self.counters,
            latencies: latencies_of(&mut self.latencies, &self.parameters, plan),
            request,
            plan,
        }
    }

    /// Forecast of one query's progress.
    pub(super) fn forecast<'a>(
        &'a mut self,
        now: Timestamp,
        router: &'a Router,
        plan: &'a QueryPlan,
    ) -> Forecast<'a> {
        Forecast {
            now,
            parameters: &self.parameters,
            latencies: latencies_of(&mut self.latencies, &self.parameters, plan),
            router,
            plan,
        }
    }
}

fn latencies_of<'a>(
    latencies: &'a mut BTreeMap<ServiceName, ShardLatencies>,
    parameters: &QueryParameters,
    plan: &QueryPlan,
) -> &'a mut ShardLatencies {
    let service = &plan.service.service;
    if !latencies.contains_key(service) {
        let quantile = match parameters.hedge {
            HedgePolicy::AfterQuantile { quantile, .. } => quantile,
            HedgePolicy::Never => DEFAULT_QUANTILE,
        };
        let allowance = match parameters.wait {
            WaitPolicy::AsService {
                coverage_allowance,
                cut_quantile,
                ..
            } => CoverageAllowance::new(coverage_allowance, cut_quantile),
            WaitPolicy::AllUntilHardDeadline => CoverageAllowance::new(0.0, DEFAULT_QUANTILE),
        };
        latencies.insert(service.clone(), ShardLatencies::new(quantile, allowance));
    }
    let latencies = latencies
        .get_mut(service)
        .expect("an entry for the service was inserted above");
    latencies.resize(plan.shards_total());
    latencies
}
