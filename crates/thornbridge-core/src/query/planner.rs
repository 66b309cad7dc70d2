//! Planning of queries: validation, choice of the snapshot and layout, and deadlines.

use super::completeness::CompletionRules;
use super::parameters::QueryParameters;
use crate::configuration::ActiveConfiguration;
use crate::planning::{PlanRefusal, check_timeout, find_service, refuse};
use crate::snapshot::{ServicePlan, SnapshotCatalogue};
use crate::time::Timestamp;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::ServiceKind;
use thornbridge_proto::caller::{QueryRequest, RefusalReason};
use thornbridge_proto::limits::{HITS_PER_ANSWER, QUERY_TEXT_BYTES};

/// Properties of a query that do not change while it runs.
#[derive(Clone, Debug)]
pub(super) struct QueryPlan {
    /// Configuration, snapshot, layout, and the holders of each shard.
    pub(super) service: Arc<ServicePlan>,
    /// Conditions under which the query is answered or refused.
    pub(super) rules: CompletionRules,
    /// Arrival time.
    pub(super) arrived: Timestamp,
    /// Maximum number of hits.
    pub(super) limit: u32,
    /// Query text.
    pub(super) query: Arc<str>,
}

/// Validates and plans a query under the active configuration.
pub(super) fn plan(
    now: Timestamp,
    parameters: &QueryParameters,
    active: Option<&Arc<ActiveConfiguration>>,
    catalogue: &mut SnapshotCatalogue,
    request: QueryRequest,
) -> Result<QueryPlan, PlanRefusal> {
    let (active, service) = find_service(active, &request.service, ServiceKind::Query)?;
    check_limits(&request)?;
    let Some(service_plan) = catalogue.plan(now, active, service) else {
        let detail = format!(
            "service {:?} has no snapshot with a matching layout",
            service.name
        );
        return refuse(RefusalReason::NoSnapshot, detail);
    };
    let completeness = &service.completeness;
    let hard_deadline = completeness.hard_deadline;
    let time_left = request.timeout.unwrap_or(hard_deadline).min(hard_deadline);
    let requested_coverage = request.minimum_coverage.unwrap_or_default();
    let rules = CompletionRules {
        policy: completeness.policy,
        wait: parameters.wait,
        target: now + completeness.target.min(time_left),
        deadline: now + time_left,
        minimum_coverage: completeness.minimum_coverage.max(requested_coverage),
    };
    Ok(QueryPlan {
        service: service_plan,
        rules,
        arrived: now,
        limit: request.limit,
        query: request.query.into(),
    })
}

fn check_limits(request: &QueryRequest) -> Result<(), PlanRefusal> {
    let length = request.query.len();
    if length > QUERY_TEXT_BYTES {
        let detail = format!("query has {length} bytes; the limit is {QUERY_TEXT_BYTES}");
        return refuse(RefusalReason::Invalid, detail);
    }
    if !(1..=HITS_PER_ANSWER).contains(&request.limit) {
        let detail = format!(
            "limit is {}; expected 1 to {HITS_PER_ANSWER}",
            request.limit
        );
        return refuse(RefusalReason::Invalid, detail);
    }
    check_timeout(request.timeout)?;
    let coverage = request.minimum_coverage.unwrap_or_default();
    if !(0.0..=1.0).contains(&coverage) {
        let detail = format!("minimum_coverage is {coverage}; expected 0 to 1");
        return refuse(RefusalReason::Invalid, detail);
    }
    Ok(())
}

impl QueryPlan {
    /// Number of shards in the layout.
    pub(super) fn shards_total(&self) -> usize {
        self.service.holders.len()
    }

    /// Timeout of an attempt sent now: the time left, less the network time of the reply.
    pub(super) fn attempt_timeout(&self, now: Timestamp, network_time: Duration) -> Duration {
        let left = self.rules.deadline.since(now);
        left.saturating_sub(network_time).max(left / 2)
    }
}
