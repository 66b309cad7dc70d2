//! A query's life: planned on one snapshot, admitted, scattered over its shards, gathered, answered.

mod answering;
mod attempt_end;
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
#[cfg(test)]
mod tests;
mod timers;
mod work;

pub use counters::QueryCounters;
pub use parameters::{HedgePolicy, QueryParameters, RetryPolicy, WaitPolicy};

use crate::configuration::InForce;
use crate::context::Context;
use crate::driver_action::CallerId;
use crate::limits::{Admission, AdmissionRefusal, AdmissionRequest};
use crate::resources::Resources;
use crate::routing::FinishedAttempt;
use crate::snapshot::SnapshotCatalogue;
use crate::time::Timestamp;
use answering::{Ending, retry_after};
use completeness::Verdict;
use gather::Gather;
use planner::QueryPlan;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::back_end::LoadReport;
use thornbridge_proto::caller::{Executed, QueryRequest, Refusal};
use thornbridge_proto::peer::health::HealthRecord;
use thornbridge_proto::{BackEndId, NodeId, RequestId, ServiceName, SnapshotId};
use timers::Timers;
use work::QueryWork;

/// A query from its admission to its answer.
#[derive(Debug)]
struct Query {
    caller: CallerId,
    plan: QueryPlan,
    /// Absent while it waits for its turn.
    gather: Option<Gather>,
    started: Timestamp,
    wake: Option<Timestamp>,
}

/// All queries of one node.
#[derive(Debug)]
pub struct QueryEngine {
    node: NodeId,
    in_force: Option<Arc<InForce>>,
    catalogue: SnapshotCatalogue,
    queries: BTreeMap<u64, Query>,
    callers: BTreeMap<CallerId, u64>,
    timers: Timers,
    last_sequence: u64,
    work: QueryWork,
}

impl QueryEngine {
    /// An engine without a configuration.
    pub fn new(parameters: QueryParameters, node: NodeId) -> Self {
        Self {
            node,
            in_force: None,
            catalogue: SnapshotCatalogue::new(parameters.not_held_memory),
            queries: BTreeMap::new(),
            callers: BTreeMap::new(),
            timers: Timers::default(),
            last_sequence: 0,
            work: QueryWork::new(parameters),
        }
    }

    /// Counters.
    pub fn counters(&self) -> &QueryCounters {
        &self.work.counters
    }

    /// Queries running or waiting for their turn.
    pub fn in_flight(&self) -> usize {
        self.queries.len()
    }

    /// Takes a new configuration; queries in flight keep theirs.
    pub fn install(&mut self, in_force: &Arc<InForce>) {
        self.in_force = Some(Arc::clone(in_force));
        self.catalogue.install(in_force);
        self.work.install(in_force);
    }

    /// Takes a back end's report of itself.
    pub fn load_reported(&mut self, back_end: &BackEndId, report: &LoadReport) {
        self.catalogue.reported(back_end, report);
    }

    /// Takes news of a back end from health sharing.
    pub fn health_learnt(&mut self, record: &HealthRecord) {
        self.catalogue.health_learnt(record);
    }

    /// The snapshot that a query of the service would be planned on now.
    pub fn snapshot_of(&self, now: Timestamp, service: &ServiceName) -> Option<SnapshotId> {
        let service = self.in_force.as_ref()?.service(service)?;
        self.catalogue
            .choose(now, service)
            .map(|(snapshot, _)| snapshot.id.clone())
    }

    /// A fresh request id.
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

    /// Takes a caller's query.
    pub fn start(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        caller: CallerId,
        request: QueryRequest,
    ) {
        self.work.counters.received += 1;
        let id = self.next_request_id();
        let service = request.service.clone();
        let planned = planner::plan(
            context.now,
            &self.work.parameters,
            self.in_force.as_ref(),
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
        let asked = AdmissionRequest {
            service: &service,
            request: id,
            deadline: plan.rules.ends,
            predicted_run_time: None,
        };
        let admission = resources.limits.admit(context, asked);
        let query = Query {
            caller,
            started: context.now,
            plan,
            gather: None,
            wake: None,
        };
        self.queries.insert(id.sequence, query);
        self.callers.insert(caller, id.sequence);
        match admission {
            Admission::Run => self.run(context, resources, id),
            Admission::Queued => {}
            Admission::Refuse(refusal) => self.refuse_waiting(context, id, refusal),
        }
    }

    /// Whether the request is a query of this engine.
    pub fn owns(&self, request: RequestId) -> bool {
        request.node == self.node && self.queries.contains_key(&request.sequence)
    }

    /// Runs a query whose turn has come.
    pub fn run(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id.sequence) else {
            return;
        };
        query.started = context.now;
        let mut gather = Gather::new(&query.plan);
        let mut scatter = self.work.scatter(context, resources, id, &query.plan);
        scatter.send_all(&mut gather);
        query.gather = Some(gather);
        self.settle(context, resources, id);
    }

    /// Refuses a query that never ran.
    pub fn refuse_waiting(
        &mut self,
        context: &mut Context<'_>,
        id: RequestId,
        refusal: AdmissionRefusal,
    ) {
        let Some(query) = self.forget(id) else {
            return;
        };
        let latency = context.now.since(query.plan.arrived);
        let refusal = Refusal {
            request_id: id,
            reason: refusal.reason,
            executed: Executed::No,
            retry_after: Some(refusal.retry_after),
            detail: "too much is asked of this service now; the query was not run".to_owned(),
        };
        let service = query.plan.service.service.clone();
        self.refuse(context, query.caller, service, latency, refusal);
    }

    /// An attempt of a query ended.
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
            self.work.counters.late_replies += 1;
            return;
        };
        let Some(gather) = query.gather.as_mut() else {
            return;
        };
        let Some(open) = gather.close(shard, attempt) else {
            self.work.counters.late_replies += 1;
            return;
        };
        let snapshot = &query.plan.service.snapshot;
        let end = attempt_end::read(&mut finished, snapshot);
        if end.denies_snapshot() {
            self.catalogue
                .denied(context.now, &finished.back_end, snapshot);
        }
        let mut scatter = self.work.scatter(context, resources, id, &query.plan);
        let failed = !matches!(end, attempt_end::AttemptEnd::Hits(_));
        scatter.attempt_ended(gather, shard, open, end);
        let verdict = query.plan.rules.judge(context.now, gather.progress());
        if failed || verdict != Verdict::Wait {
            self.settle(context, resources, id);
        }
    }

    /// Ends a query if it is time, or sets when it is looked at next.
    fn settle(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id.sequence) else {
            return;
        };
        let Some(gather) = query.gather.as_ref() else {
            return;
        };
        match query.plan.rules.judge(context.now, gather.progress()) {
            Verdict::Answer => self.end(context, resources, id, Ending::Answer),
            Verdict::GiveUp(reason) => self.end(context, resources, id, Ending::GiveUp(reason)),
            Verdict::Wait => {
                let outlook = self
                    .work
                    .outlook(context.now, resources.router, &query.plan);
                let wake = Some(outlook.next_look(gather));
                self.timers.reset(id.sequence, query.wake, wake);
                query.wake = wake;
            }
        }
    }

    /// When [`Self::timer_due`] wants to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Looks at the queries whose time has come.
    pub fn timer_due(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>) {
        while let Some(sequence) = self.timers.due(context.now) {
            self.look(context, resources, self.request_id(sequence));
        }
    }

    /// Sends what is due for one query, and ends it where waiting no longer helps.
    fn look(&mut self, context: &mut Context<'_>, resources: &mut Resources<'_>, id: RequestId) {
        let Some(query) = self.queries.get_mut(&id.sequence) else {
            return;
        };
        self.timers.reset(id.sequence, query.wake, None);
        query.wake = None;
        let Some(gather) = query.gather.as_mut() else {
            return;
        };
        let rules = &query.plan.rules;
        if rules.judge(context.now, gather.progress()) != Verdict::Wait {
            return self.settle(context, resources, id);
        }
        let outlook = self
            .work
            .outlook(context.now, resources.router, &query.plan);
        let due = outlook.due_hedges(gather);
        let mut scatter = self.work.scatter(context, resources, id, &query.plan);
        scatter.send_due_retries(gather);
        for (shard, open) in due {
            scatter.hedge(gather, shard, open);
        }
        let outlook = self
            .work
            .outlook(context.now, resources.router, &query.plan);
        if outlook.waiting_is_useless(gather) {
            return self.end(context, resources, id, Ending::AnswerEarly);
        }
        self.settle(context, resources, id);
    }

    /// A caller went away. False where it asked no query.
    pub fn caller_gone(
        &mut self,
        context: &mut Context<'_>,
        resources: &mut Resources<'_>,
        caller: CallerId,
    ) -> bool {
        let Some(sequence) = self.callers.get(&caller).copied() else {
            return false;
        };
        let id = self.request_id(sequence);
        self.end(context, resources, id, Ending::CallerGone);
        true
    }

    fn forget(&mut self, id: RequestId) -> Option<Query> {
        let query = self.queries.remove(&id.sequence)?;
        self.callers.remove(&query.caller);
        self.timers.reset(id.sequence, query.wake, None);
        Some(query)
    }
}
