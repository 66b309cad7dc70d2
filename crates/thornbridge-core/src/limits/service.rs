//! Admission to one service: adaptive limit, queue, and budget of extra attempts.

use super::concurrency::{AdaptiveLimit, LimitSample};
use super::extra_load::ExtraLoadBudget;
use super::queue::{QueueKey, QueuedRequest, RequestQueue};
use super::{
    AdmissionRefusal, AdmissionRequest, LimitCounters, LimitParameters, LoadSignal, RequestOutcome,
};
use crate::time::Timestamp;
use std::time::Duration;
use thornbridge_config::bundle::{CompletenessPolicy, Service};
use thornbridge_proto::RequestId;
use thornbridge_proto::caller::RefusalReason;

/// Weight of a new sample in the moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;
/// Lower bound of `retry_after`; an immediate retry would find the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Current limits of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimitStatus {
    /// Requests running.
    pub in_flight: u32,
    /// Requests queued.
    pub queued: u32,
    /// Current concurrency limit; below one, starts are paced.
    pub limit: f64,
    /// Moving average of the latency.
    pub expected_latency: Duration,
}

/// Admission state of one service.
#[derive(Debug)]
pub(super) struct ServiceAdmission {
    priority: u8,
    maximum_queued: usize,
    longest_wait_share: f64,
    longest_wait: Duration,
    limit: AdaptiveLimit,
    queue: RequestQueue,
    in_flight: u32,
    expected_latency: Duration,
    /// Earliest next start under pacing.
    next_start: Timestamp,
    pacing_timer: Option<Timestamp>,
    /// Whether the service was removed from the configuration.
    retired: bool,
    pub(super) extra_load: ExtraLoadBudget,
}

impl ServiceAdmission {
    pub(super) fn new(parameters: &LimitParameters, service: &Service, now: Timestamp) -> Self {
        let maximum = f64::from(service.limits.maximum_in_flight);
        let extra_load = parameters.extra_load.clone();
        Self {
            priority: service.priority,
            maximum_queued: service.limits.maximum_queued as usize,
            longest_wait_share: parameters.longest_wait_share,
            longest_wait: longest_wait(service),
            limit: AdaptiveLimit::new(
                parameters.concurrency.clone(),
                maximum,
                service.completeness.target,
                now,
            ),
            queue: RequestQueue::new(parameters.queue_order),
            in_flight: 0,
            expected_latency: service.completeness.target / 2,
            next_start: Timestamp::ZERO,
            pacing_timer: None,
            retired: false,
            extra_load: ExtraLoadBudget::new(extra_load, service.limits.extra_load),
        }
    }

    pub(super) fn reconfigure(&mut self, service: &Service) {
        self.priority = service.priority;
        self.maximum_queued = service.limits.maximum_queued as usize;
        self.longest_wait = longest_wait(service);
        let maximum = f64::from(service.limits.maximum_in_flight);
        self.limit.reconfigure(maximum, service.completeness.target);
        self.extra_load.set_share(service.limits.extra_load);
        self.retired = false;
    }

    pub(super) fn priority(&self) -> u8 {
        self.priority
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn retired(&self) -> bool {
        self.retired
    }

    pub(super) fn status(&self) -> ServiceLimitStatus {
        ServiceLimitStatus {
            in_flight: self.in_flight,
            queued: self.queue.len() as u32,
            limit: self.limit.limit(),
            expected_latency: self.expected_latency,
        }
    }

    pub(super) fn may_start(&self, now: Timestamp) -> bool {
        self.in_flight < self.limit.concurrency() && now >= self.next_start
    }

    /// Whether a new request may start without overtaking queued ones.
    pub(super) fn may_start_immediately(&self, now: Timestamp) -> bool {
        self.queue.is_empty() && self.may_start(now)
    }

    pub(super) fn start(&mut self, now: Timestamp) {
        self.in_flight += 1;
        self.next_start = now + self.limit.pacing_gap(self.expected_latency);
    }

    /// Whether a request that cannot start immediately may be queued.
    pub(super) fn check_queue_admission(
        &mut self,
        now: Timestamp,
        request: &AdmissionRequest<'_>,
        counters: &mut LimitCounters,
    ) -> Result<(), AdmissionRefusal> {
        self.limit.mark_saturated();
        if self.retired || self.queue.len() >= self.maximum_queued {
            counters.refused_queue_full += 1;
            return Err(self.overload_refusal(now));
        }
        // The highest arrival number sorts the request behind all others of equal rank.
        let queued = self.queued_request(now, request, u64::MAX, 1.0);
        let ahead = self.queue.count_ahead_of(&queued);
        let longest_wait = queued
            .latest_start
            .since(now)
            .mul_f64(self.longest_wait_share);
        if self.predicted_wait(now, ahead) > longest_wait.min(self.longest_wait) {
            counters.refused_predicted_wait += 1;
            return Err(self.overload_refusal(now));
        }
        Ok(())
    }

    pub(super) fn enqueue(
        &mut self,
        now: Timestamp,
        request: &AdmissionRequest<'_>,
        arrival: u64,
        least_useful_share: f64,
    ) {
        let queued = self.queued_request(now, request, arrival, least_useful_share);
        self.queue.push(queued);
        self.update_pacing_timer(now);
    }

    pub(super) fn head(&self) -> Option<QueueKey> {
        self.queue.head()
    }

    pub(super) fn dequeue(&mut self) -> Option<QueuedRequest> {
        self.queue.pop()
    }

    pub(super) fn cancel_queued(&mut self, request: RequestId) -> bool {
        self.queue.remove(request)
    }

    /// Records the end of a request. Returns whether the limit was lowered.
    pub(super) fn request_finished(&mut self, now: Timestamp, outcome: RequestOutcome) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome.signal == LoadSignal::None {
            return false;
        }
        let old = self.expected_latency.as_secs_f64();
        let new = old + (outcome.latency.as_secs_f64() - old) * LATENCY_EWMA_WEIGHT;
        self.expected_latency = Duration::from_secs_f64(new);
        let sample = LimitSample {
            latency: outcome.half_response_latency,
            overloaded: outcome.signal == LoadSignal::Overloaded,
        };
        self.limit.record(now, sample)
    }

    /// Moves expired requests to `refused`.
    pub(super) fn expire(
        &mut self,
        now: Timestamp,
        counters: &mut LimitCounters,
        refused: &mut Vec<(RequestId, AdmissionRefusal)>,
    ) {
        while let Some(expired) = self.queue.pop_expired(now) {
            counters.expired_in_queue += 1;
            refused.push((expired.request, self.overload_refusal(now)));
        }
    }

    /// Refuses all queued requests of a service that was removed from the configuration.
    pub(super) fn retire(&mut self, refused: &mut Vec<(RequestId, AdmissionRefusal)>) {
        self.retired = true;
        while let Some(queued) = self.queue.pop() {
            let refusal = AdmissionRefusal {
                reason: RefusalReason::UnknownService,
                retry_after: Duration::ZERO,
            };
            refused.push((queued.request, refusal));
        }
    }

    /// Sets a timer while only pacing holds the queue back.
    pub(super) fn update_pacing_timer(&mut self, now: Timestamp) {
        let paced = self.in_flight < self.limit.concurrency() && now < self.next_start;
        self.pacing_timer = (paced && !self.queue.is_empty()).then_some(self.next_start);
    }

    /// The next expiry or paced start.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        let timeouts = [self.queue.next_expiry(), self.pacing_timer];
        timeouts.into_iter().flatten().min()
    }

    /// Time until the request behind `ahead` queued ones starts, by Little's law.
    fn predicted_wait(&self, now: Timestamp, ahead: usize) -> Duration {
        let at_service_limit = self.in_flight >= self.limit.concurrency();
        let concurrency = if at_service_limit || self.limit.limit() < 1.0 {
            self.limit.limit()
        } else {
            // Only the node's limit holds the queue back, so it drains at the present concurrency.
            f64::from(self.in_flight.max(1))
        };
        let interval = self.expected_latency.div_f64(concurrency);
        let paced = self.next_start.since(now);
        if paced > Duration::ZERO && !at_service_limit {
            return paced + interval.mul_f64(ahead as f64);
        }
        interval.mul_f64(ahead as f64 + 1.0)
    }

    fn overload_refusal(&self, now: Timestamp) -> AdmissionRefusal {
        let drain_time = self.predicted_wait(now, self.queue.len());
        AdmissionRefusal {
            reason: RefusalReason::Overloaded,
            retry_after: drain_time.max(MIN_RETRY_AFTER),
        }
    }

    fn queued_request(
        &self,
        now: Timestamp,
        request: &AdmissionRequest<'_>,
        arrival: u64,
        least_useful_share: f64,
    ) -> QueuedRequest {
        let predicted_run_time = request.predicted_run_time.unwrap_or(self.expected_latency);
        let time_left = request.deadline.since(now);
        // At most half of the time left, so that a long prediction does not expire a new request.
        let needed = predicted_run_time
            .mul_f64(least_useful_share)
            .min(time_left / 2);
        QueuedRequest {
            request: request.request,
            latest_start: request.deadline - needed,
            deadline: request.deadline,
            predicted_run_time,
            arrival,
        }
    }
}

/// Longest wait in the queue: the target latency under the latency-first policy, else unbounded.
fn longest_wait(service: &Service) -> Duration {
    match service.completeness.policy {
        CompletenessPolicy::LatencyFirst => service.completeness.target,
        CompletenessPolicy::CoverageFirst => Duration::MAX,
    }
}
