//! Admission control of callers' requests, and the budget of extra attempts.
//!
//! [`Limits::admit`] admits, queues or refuses a request. The end of an admitted request is
//! reported to [`Limits::request_finished`]. Queued requests that may now run, or that expired, are
//! returned as a [`Release`]. The query and action engines send and answer.

mod concurrency;
mod extra_load;
mod queue;
mod service;

pub use concurrency::{AdaptiveLimit, AdaptiveLimitParameters, LimitSample};
pub use extra_load::{ExtraAttempt, ExtraLoadBudget, ExtraLoadCounters, ExtraLoadParameters};
pub use queue::QueueOrder;
pub use service::ServiceLimitStatus;

use crate::configuration::ActiveConfiguration;
use crate::context::Context;
use crate::time::Timestamp;
use queue::QueuedRequest;
use serde::{Deserialize, Serialize};
use service::ServiceAdmission;
use std::collections::BTreeMap;
use std::time::Duration;
use thornbridge_proto::caller::RefusalReason;
use thornbridge_proto::{RequestId, ServiceName};

/// Parameters of admission control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LimitParameters {
    /// Order in which queued requests of equal priority run.
    pub queue_order: QueueOrder,
    /// Maximum concurrent requests of all services on one node; bounds the node's memory. The limits of
    /// the services are reached first unless many are overloaded together.
    pub node_concurrency: u32,
    /// Longest predicted wait of a queued request, as a share of the time until its latest start.
    /// Below one, so that a prediction that is slightly too low does not make every answer late
    /// under lasting overload.
    pub longest_wait_share: f64,
    /// Share of the predicted run time that must be left when a queued request starts. With less,
    /// the request expires, since it would load back ends without an answer in time.
    pub least_useful_share: f64,
    /// Adaptive concurrency limit of each service.
    pub concurrency: AdaptiveLimitParameters,
    /// Budget of extra attempts of each service.
    pub extra_load: ExtraLoadParameters,
}

impl Default for LimitParameters {
    fn default() -> Self {
        Self {
            queue_order: QueueOrder::default(),
            node_concurrency: 4_000,
            longest_wait_share: 0.5,
            least_useful_share: 0.5,
            concurrency: AdaptiveLimitParameters::default(),
            extra_load: ExtraLoadParameters::default(),
        }
    }
}

/// Counters of admission control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitCounters {
    /// Requests admitted without queueing.
    pub admitted: u64,
    /// Requests queued.
    pub queued: u64,
    /// Queued requests that were then admitted.
    pub released: u64,
    /// Requests refused on arrival because the queue was full.
    pub refused_queue_full: u64,
    /// Requests refused on arrival because the predicted wait was too long.
    pub refused_predicted_wait: u64,
    /// Requests that expired in the queue.
    pub expired_in_queue: u64,
    /// Queued requests whose caller disconnected.
    pub withdrawn: u64,
    /// Decreases of a service's limit.
    pub limit_lowered: u64,
    /// Extra attempts, allowed and denied, over all services.
    pub extra_load: ExtraLoadCounters,
}

/// Request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// Service name.
    pub service: &'a ServiceName,
    /// Request id.
    pub request: RequestId,
    /// Deadline of the answer.
    pub deadline: Timestamp,
    /// Predicted run time; defaults to the service's expected latency.
    pub predicted_run_time: Option<Duration>,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now; call [`Limits::request_finished`] when it ends.
    Run,
    /// The request is queued, until a [`Release`] returns it or [`Limits::cancel_queued`] removes
    /// it.
    Queued,
    /// The request is refused.
    Refuse(AdmissionRefusal),
}

/// Refusal of a request that was never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Reason sent to the caller.
    pub reason: RefusalReason,
    /// Predicted time until the queue has drained.
    pub retry_after: Duration,
}

/// Queued requests to run or refuse.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Release {
    /// Requests to run now; call [`Limits::request_finished`] for each.
    pub run: Vec<RequestId>,
    /// Requests to refuse now; none was run.
    pub refuse: Vec<(RequestId, AdmissionRefusal)>,
}

impl Release {
    /// Whether no request is to be run or refused.
    pub fn is_empty(&self) -> bool {
        self.run.is_empty() && self.refuse.is_empty()
    }

    /// Appends another release.
    pub fn extend(&mut self, other: Self) {
        self.run.extend(other.run);
        self.refuse.extend(other.refuse);
    }
}

/// Outcome of an admitted request, input of the adaptive limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestOutcome {
    /// Time from the start to the answer.
    pub latency: Duration,
    /// Time until half of the shards had replied; absent if fewer replied. Depends on load, but
    /// hardly on single stragglers. The total latency for an action.
    pub half_response_latency: Option<Duration>,
    /// Load signal for the limit.
    pub signal: LoadSignal,
}

/// Load on the back ends, as inferred from the end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSignal {
    /// No sign of overload.
    Normal,
    /// A back end shed an attempt or let it expire, or fewer than half of the shards replied in
    /// time.
    Overloaded,
    /// No information, such as when the caller disconnected.
    None,
}

/// Admission control and extra-load budgets of one node.
#[derive(Debug)]
pub struct Limits {
    parameters: LimitParameters,
    services: BTreeMap<ServiceName, ServiceAdmission>,
    running: u32,
    last_arrival: u64,
    counters: LimitCounters,
}

impl Limits {
    /// Creates limits without services; requests are refused as unknown until [`Self::install`].
    pub fn new(parameters: LimitParameters) -> Self {
        Self {
            parameters,
            services: BTreeMap::new(),
            running: 0,
            last_arrival: 0,
            counters: LimitCounters::default(),
        }
    }

    /// Installs a configuration. Services keep their limits and queues; queued requests of a
    /// removed service are refused.
    pub fn install(&mut self, context: &mut Context<'_>, active: &ActiveConfiguration) -> Release {
        let mut release = Release::default();
        let removed: Vec<ServiceName> = self
            .services
            .keys()
            .filter(|name| active.service(name).is_none())
            .cloned()
            .collect();
        for name in removed {
            self.retire(&name, &mut release);
        }
        for service in &active.bundle.services {
            match self.services.get_mut(&service.name) {
                Some(admission) => admission.reconfigure(service),
                None => {
                    let admission = ServiceAdmission::new(&self.parameters, service, context.now);
                    self.services.insert(service.name.clone(), admission);
                }
            }
        }
        self.release(context.now, &mut release);
        release
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, context: &Context<'_>, request: AdmissionRequest<'_>) -> Admission {
        let now = context.now;
        let node_full = self.running >= self.parameters.node_concurrency;
        let Some(service) = self.services.get_mut(request.service) else {
            return Admission::Refuse(AdmissionRefusal {
                reason: RefusalReason::UnknownService,
                retry_after: Duration::ZERO,
            });
        };
        if !node_full && !service.retired() && service.may_start_immediately(now) {
            service.start(now);
            self.running += 1;
            self.counters.admitted += 1;
            return Admission::Run;
        }
        if let Err(refusal) = service.check_queue_admission(now, &request, &mut self.counters) {
            return Admission::Refuse(refusal);
        }
        self.last_arrival += 1;
        let least_useful = self.parameters.least_useful_share;
        service.enqueue(now, &request, self.last_arrival, least_useful);
        self.counters.queued += 1;
        Admission::Queued
    }

    /// Records the end of an admitted request and releases queued ones.
    pub fn request_finished(
        &mut self,
        context: &Context<'_>,
        service: &ServiceName,
        outcome: RequestOutcome,
    ) -> Release {
        if let Some(admission) = self.services.get_mut(service) {
            self.running = self.running.saturating_sub(1);
            if admission.request_finished(context.now, outcome) {
                self.counters.limit_lowered += 1;
            }
        }
        let mut release = Release::default();
        self.release(context.now, &mut release);
        self.remove_retired();
        release
    }

    /// Removes a request from the queue. Returns whether it was queued.
    pub fn cancel_queued(&mut self, service: &ServiceName, request: RequestId) -> bool {
        let cancelled = self
            .services
            .get_mut(service)
            .is_some_and(|admission| admission.cancel_queued(request));
        if cancelled {
            self.counters.withdrawn += 1;
        }
        cancelled
    }

    /// Budget of extra attempts of a service.
    pub fn extra_load_budget(&mut self, service: &ServiceName) -> Option<&mut ExtraLoadBudget> {
        self.services
            .get_mut(service)
            .map(|admission| &mut admission.extra_load)
    }

    /// Counters, including those of removed services.
    pub fn counters(&self) -> LimitCounters {
        let mut counters = self.counters.clone();
        for admission in self.services.values() {
            counters.extra_load.add(admission.extra_load.counters());
        }
        counters
    }

    /// Current limits of a service.
    pub fn status(&self, service: &ServiceName) -> Option<ServiceLimitStatus> {
        self.services.get(service).map(ServiceAdmission::status)
    }

    /// When [`Self::timer_due`] is to be called.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.services
            .values()
            .filter_map(ServiceAdmission::next_timeout)
            .min()
    }

    /// Refuses expired requests and releases those held back by pacing.
    pub fn timer_due(&mut self, context: &Context<'_>) -> Release {
        let mut release = Release::default();
        self.release(context.now, &mut release);
        release
    }

    fn release(&mut self, now: Timestamp, release: &mut Release) {
        for admission in self.services.values_mut() {
            admission.expire(now, &mut self.counters, &mut release.refuse);
        }
        while self.running < self.parameters.node_concurrency {
            let Some(queued) = self.take_next(now) else {
                break;
            };
            self.running += 1;
            self.counters.released += 1;
            release.run.push(queued.request);
        }
        for admission in self.services.values_mut() {
            admission.update_pacing_timer(now);
        }
    }

    /// Dequeues the next request that may start, by priority, then by queue order.
    fn take_next(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        let best = self
            .services
            .values_mut()
            .filter(|admission| admission.may_start(now))
            .filter_map(|admission| admission.head().map(|head| (head, admission)))
            .min_by_key(|(head, admission)| (std::cmp::Reverse(admission.priority()), *head));
        let (_, admission) = best?;
        let queued = admission.dequeue()?;
        admission.start(now);
        Some(queued)
    }

    fn retire(&mut self, name: &ServiceName, release: &mut Release) {
        if let Some(admission) = self.services.get_mut(name) {
            admission.retire(&mut release.refuse);
        }
        self.remove_retired();
    }

    fn remove_retired(&mut self) {
        let total = &mut self.counters.extra_load;
        self.services.retain(|_, admission| {
            let keep = !admission.retired() || admission.in_flight() > 0;
            if !keep {
                total.add(admission.extra_load.counters());
            }
            keep
        });
    }
}

#[cfg(test)]
mod tests;
