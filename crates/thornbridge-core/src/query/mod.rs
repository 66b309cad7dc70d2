//! Execution of queries: planning on one snapshot, admission, scatter to the shards, gather of the
//! hits, and the answer.

mod answering;
mod attempt_result;
mod completeness;
mod counters;
mod coverage_allowance;
mod gather;
mod hedge;
mod merge;
mod parameters;
mod planner;
mod scatter;
mod shard_latency;
mod shared_state;
#[cfg(test)]
mod tests;
mod timers;

pub use counters::QueryCounters;
pub use parameters::{HedgePolicy, QueryParameters, RetryPolicy, WaitPolicy};

use crate::configuration::ActiveConfiguration;
use crate::context::Context;
use crate::driver_action::CallerId;
use crate::limits::{Admission, AdmissionRefusal, AdmissionRequest};
use crate::resources::Resources;
use crate::routing::FinishedAttempt;
use crate::snapshot::SnapshotCatalogue;
use crate::time::Timestamp;
use answering::{QueryEnd, retry_after};
use completeness::Verdict;
use gather::Gather;
use planner::QueryPlan;
use shared_state::SharedState;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::back_end::LoadReport;
use thornbridge_proto::caller::{Executed, QueryRequest, Refusal};
use thornbridge_proto::peer::health::HealthRecord;
use thornbridge_proto::{BackEndId, NodeId, RequestId, ServiceName, SnapshotId};
use timers::Timers;

/// A query that is queued or in flight.
#[derive(Debug)]
struct Query {
    caller: CallerId,
    plan: QueryPlan,
    /// Absent while the query is queued.
    gather: Option<Gather>,
    /// Start of execution; arrival time while the query is queued.
    run_started_at: Timestamp,
    next_check: Option<Timestamp>,
}

/// All queries of one node.
#[derive(Debug)]
pub struct QueryEngine {
    node: NodeId,
    active: Option<Arc<ActiveConfiguration>>,
    catalogue: SnapshotCatalogue,
    queries: BTreeMap<u64, Query>,
    callers: BTreeMap<CallerId, u64>,
    timers: Timers,
    last_sequence: u64,
    shared: SharedState,
}

impl QueryEngine {
    /// Creates an engine without a configuration; all queries are refused until one is installed.
    pub fn new(parameters: QueryParameters, node: NodeId) -> Self {
        Self {
            node,
            active: None,
            catalogue: SnapshotCatalogue::new(parameters.not_held_memory),
            queries: BTreeMap::new(),
            callers: BTreeMap::new(),
            timers: Timers::default(),
            last_sequence: 0,
            shared: SharedState::new(parameters),
        }
    }

    /// Counts of queries and attempts since the start.
    pub fn counters(&self) -> &QueryCounters {
        &self.shared.counters
    }

    /// Number of queries running or queued.
    pub fn in_flight(&self) -> usize {
        self.queries.len()
    }

    /// Applies a new configuration; queries in flight keep the one they were planned under.
    pub fn install(&mut self, active: &Arc<ActiveConfiguration>) {
        self.active = Some(Arc::clone(active));
        self.catalogue.install(active);
        self.shared.install(active);
    }

    /// Applies the snapshot list of a back end's load report.
    pub fn apply_load_report(&mut self, back_end: &BackEndId, report: &LoadReport) {
        self.catalogue.apply_load_report(back_end, report);
    }

    /// Applies the snapshot list of a back end's health record.
    pub fn apply_health_record(&mut self, record: &HealthRecord) {
        self.catalogue.apply_health_record(record);
    }

    /// Snapshot that a query of the service planned now would use.
    pub fn current_snapshot(&self, now: Timestamp, service: &ServiceName) -> Option<SnapshotId> {
        let service = self.active.as_ref()?.service(service)?;
        self.catalogue
            .choose(now, service)
            .map(|(snapshot, _)| snapshot.id.clone())
    }

    /// Allocates a request id.
    pub fn next_request_id(&mut self) -> RequestId {
        self.last_sequence += 1;
        self.request_id(self.last_sequence)
    }

    fn request_id(&self, sequence: u64) -> RequestId {
        RequestId {
            node: self.node,
            sequence,
        }
    }

    /// Plans a caller's query and runs, queues or refuses it.
    pub fn start(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        caller: CallerId,
        request: QueryRequest,
    ) {
        self.shared.counters.received += 1;
        let id = self.next_request_id();
        let service = request.service.clone();
        let planned = planner::plan(
            context.now,
            &self.shared.parameters,
            self.active.as_ref(),
            &mut self.catalogue,
            request,
        );
        let plan = match planned {
            Ok(plan) => plan,
            Err(refusal) => {
                let retry_after = retry_after(refusal.reason);
                let refusal = Refusal {
                    request_id: id,
                    reason: refusal.reason,
                    executed: Executed::No,
                    retry_after,
                    detail: refusal.detail,
                };
                return self.refuse(context, caller, service, Duration::ZERO, refusal);
            }
        };
        let admission_request = AdmissionRequest {
            service: &service,
            request: id,
            deadline: plan.rules.deadline,
            predicted_run_time: None,
        };
        let admission = resources.limits.admit(context, admission_request);
        let query = Query {
            caller,
            run_started_at: context.now,
            plan,
            gather: None,
            next_check: None,
        };
        self.queries.insert(id.sequence, query);
        self.callers.insert(caller, id.sequence);
        match admission {
            Admission::Run => self.run(context, resources, id),
            Admission::Queued => {}
            Admission::Refuse(refusal) => self.refuse_queued(context, id, refusal),
        }
    }

    /// Whether the request is a queued or running query of this node.
    pub fn owns(&self, request: RequestId) -> bool {
        request.node == self.node && self.queries.contains_key(&request.sequence)
    }

    /// Runs an admitted query.
    pub fn run(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id.sequence) else {
            return;
        };
        query.run_started_at = context.now;
        let mut gather = Gather::new(&query.plan);
        let mut scatter = self.shared.scatter(context, resources, id, &query.plan);
        scatter.send_all(&mut gather);
        query.gather = Some(gather);
        self.end_or_reschedule(context, resources, id);
    }

    /// Refuses a query that has not run.
    pub fn refuse_queued(
        &mut self,
        context: &mut Context<'_>,
        id: RequestId,
        refusal: AdmissionRefusal,
    ) {
        let Some(query) = self.remove(id) else {
            return;
        };
        let latency = context.now.since(query.plan.arrived);
        let refusal = Refusal {
            request_id: id,
            reason: refusal.reason,
            executed: Executed::No,
            retry_after: Some(refusal.retry_after),
            detail: "service overloaded; the query was not run".to_owned(),
        };
        let service = query.plan.service.service.clone();
        self.refuse(context, query.caller, service, latency, refusal);
    }

    /// Handles the end of an attempt of a query.
    pub fn attempt_finished(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        mut finished: FinishedAttempt,
    ) {
        let id = finished.attempt.request;
        let shard = finished.attempt.shard;
        let attempt = finished.attempt.attempt;
        let Some(query) = self.queries.get_mut(&id.sequence) else {
            self.shared.counters.late_replies += 1;
            return;
        };
        let Some(gather) = query.gather.as_mut() else {
            return;
        };
        let Some(in_flight) = gather.record_ended(shard, attempt) else {
            self.shared.counters.late_replies += 1;
            return;
        };
        let snapshot = &query.plan.service.snapshot;
        let result = attempt_result::classify(&mut finished, snapshot);
        if result.is_not_held() {
            self.catalogue
                .record_not_held(context.now, &finished.back_end, snapshot);
        }
        let mut scatter = self.shared.scatter(context, resources, id, &query.plan);
        let failed = !matches!(result, attempt_result::AttemptResult::Hits(_));
        scatter.attempt_ended(gather, shard, in_flight, result);
        let verdict = query.plan.rules.evaluate(context.now, gather.progress());
        if failed || verdict != Verdict::Wait {
            self.end_or_reschedule(context, resources, id);
        }
    }

    /// Ends a query that is complete or past its deadline; otherwise schedules its next check.
    fn end_or_reschedule(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        id: RequestId,
    ) {
        let Some(query) = self.queries.get_mut(&id.sequence) else {
            return;
        };
        let Some(gather) = query.gather.as_ref() else {
            return;
        };
        match query.plan.rules.evaluate(context.now, gather.progress()) {
            Verdict::Answer => self.end(context, resources, id, QueryEnd::Answer),
            Verdict::Refuse(reason) => self.end(context, resources, id, QueryEnd::Refuse(reason)),
            Verdict::Wait => {
                let forecast = self
                    .shared
                    .forecast(context.now, resources.router, &query.plan);
                let next_check = Some(forecast.next_check(gather));
                self.timers.reset(id.sequence, query.next_check, next_check);
                query.next_check = next_check;
            }
        }
    }

    /// Time by which [`Self::timer_due`] must be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Checks the queries whose timers are due.
    pub fn timer_due(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>) {
        while let Some(sequence) = self.timers.due(context.now) {
            self.check_progress(context, resources, self.request_id(sequence));
        }
    }

    /// Sends the retries and hedges of one query that are due, then ends it or schedules its next
    /// check.
    fn check_progress(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        id: RequestId,
    ) {
        let Some(query) = self.queries.get_mut(&id.sequence) else {
            return;
        };
        self.timers.reset(id.sequence, query.next_check, None);
        query.next_check = None;
        let Some(gather) = query.gather.as_mut() else {
            return;
        };
        let rules = &query.plan.rules;
        if rules.evaluate(context.now, gather.progress()) != Verdict::Wait {
            return self.end_or_reschedule(context, resources, id);
        }
        let forecast = self
            .shared
            .forecast(context.now, resources.router, &query.plan);
        let due = forecast.due_hedges(gather);
        let mut scatter = self.shared.scatter(context, resources, id, &query.plan);
        scatter.send_due_retries(gather);
        for (shard, in_flight) in due {
            scatter.hedge(gather, shard, in_flight);
        }
        let forecast = self
            .shared
            .forecast(context.now, resources.router, &query.plan);
        if forecast.should_answer_early(gather) {
            return self.end(context, resources, id, QueryEnd::AnswerEarly);
        }
        self.end_or_reschedule(context, resources, id);
    }

    /// Cancels the query of a disconnected caller. False if the caller has no query.
    pub fn caller_disconnected(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        caller: CallerId,
    ) -> bool {
        let Some(sequence) = self.callers.get(&caller).copied() else {
            return false;
        };
        let id = self.request_id(sequence);
        self.end(context, resources, id, QueryEnd::CallerDisconnected);
        true
    }

    fn remove(&mut self, id: RequestId) -> Option<Query> {
        let query = self.queries.remove(&id.sequence)?;
        self.callers.remove(&query.caller);
        self.timers.reset(id.sequence, query.next_check, None);
        Some(query)
    }
}
