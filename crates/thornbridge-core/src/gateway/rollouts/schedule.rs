//! When to sample, which server, and when to decide.
//!
//! The time until the decision is divided into rounds. Each round releases part of the sample: the early
//! ones more, the rest evenly, so that a version that turns bad late is still seen. A round samples one
//! server, at the rate that it will bear after completion.

use super::conductor::Timing;
use super::exposure::Ledger;
use crate::gateway::window::SumWindow;
use crate::time::Timestamp;
use std::time::Duration;

/// Rounds until the decision.
const ROUNDS: u32 = 10;
/// Part of the time in which the early part of the sample is released.
const EARLY_TIME_SHARE: f64 = 0.2;
/// Part of the sample that is released early.
const EARLY_SAMPLE_SHARE: f64 = 1.0 / 3.0;
/// Part of the time until the decision in which companions are sent.
const COMPANION_TIME_SHARE: f64 = 0.85;
/// Part of the period, at its end, that is left for completion.
const LEAD_SHARE: f64 = 0.1;
/// Longest time from the write of an order until a node has read it, while the store answers: the pause
/// between two reads. The order counts as written as much earlier as it may have been.
pub(in crate::gateway) const READING_TIME: Duration = Duration::from_millis(100);
/// Least time from the decision to the deadline: requests move to the new version, then the state is
/// written.
const LEAD_MINIMUM: Duration = Duration::from_millis(600);
/// Time in which a new conductor gets the totals of the nodes, before it decides on time.
const GATHERING_TIME: Duration = Duration::from_millis(500);
/// Standard deviations by which the requests between the decision and the deadline may exceed their mean.
const ARRIVAL_DEVIATIONS: f64 = 3.0;

const RATE_BUCKET_DURATION: Duration = Duration::from_millis(250);
/// Window of the request rate: 3 s.
const RATE_BUCKETS: u32 = 12;
/// Shortest time over which a rate is taken.
const RATE_TIME_MINIMUM: Duration = Duration::from_millis(500);

/// Timetable of one roll-out.
#[derive(Debug)]
pub(super) struct Schedule {
    timing: Timing,
    requests: SumWindow,
    started_at: Option<Timestamp>,
}

impl Schedule {
    pub(super) fn new(timing: Timing) -> Self {
        Self {
            timing,
            requests: SumWindow::new(RATE_BUCKET_DURATION, RATE_BUCKETS),
            started_at: None,
        }
    }

    pub(super) fn set_ordered_at(&mut self, ordered_at: Timestamp) {
        self.timing.ordered_at = self.timing.ordered_at.min(ordered_at);
    }

    /// Notes the time at which this conductor began, if it is the first.
    pub(super) fn start(&mut self, now: Timestamp) {
        self.started_at.get_or_insert(now);
    }

    pub(super) fn record_requests(&mut self, now: Timestamp, requests: u32) {
        self.requests.add(now, u64::from(requests));
    }

    /// End of the time allowed.
    pub(super) fn deadline(&self) -> Timestamp {
        self.timing.ordered_at + self.timing.period
    }

    /// Requests of the service per second.
    pub(super) fn rate_per_s(&mut self, now: Timestamp) -> f64 {
        let window = RATE_BUCKET_DURATION * RATE_BUCKETS;
        let known_for = self.started_at.map_or(window, |at| now.since(at));
        let time = known_for.clamp(RATE_TIME_MINIMUM, window);
        self.requests.sum(now) as f64 / time.as_secs_f64()
    }

    /// When a decision may be due at the earliest.
    pub(super) fn earliest_due(&self) -> Timestamp {
        self.timing.ordered_at + self.sampling_time()
    }

    /// When to decide, if the new version may get `completion_total` requests from then to the deadline.
    pub(super) fn decision_due(&mut self, now: Timestamp, completion_total: f64) -> Timestamp {
        let due = self.deadline() - self.lead(now, completion_total);
        let gathered = self.started_at.map(|at| at + GATHERING_TIME);
        gathered.map_or(due, |at| at.max(due))
    }

    /// Expected number of requests until sampling ends.
    pub(super) fn further_requests(&mut self, now: Timestamp) -> f64 {
        self.rate_per_s(now) * self.remaining(now).as_secs_f64()
    }

    /// Time until sampling ends.
    pub(super) fn remaining(&self, now: Timestamp) -> Duration {
        self.earliest_due().since(now)
    }

    /// Part of the sample that is released by the end of the current round.
    fn released_share(&self, now: Timestamp) -> f64 {
        let elapsed_share = f64::from(self.round(now) + 1) / f64::from(ROUNDS);
        if elapsed_share < EARLY_TIME_SHARE {
            return EARLY_SAMPLE_SHARE * elapsed_share / EARLY_TIME_SHARE;
        }
        let late_share = (elapsed_share - EARLY_TIME_SHARE) / (1.0 - EARLY_TIME_SHARE);
        EARLY_SAMPLE_SHARE + (1.0 - EARLY_SAMPLE_SHARE) * late_share
    }

    /// Whether companions are sent now. A version that is bad under load is so from the start; the last
    /// part of the sample is left to versions that turn bad.
    pub(super) fn sends_companions(&self, now: Timestamp) -> bool {
        let elapsed = now.since(self.timing.ordered_at);
        elapsed < self.sampling_time().mul_f64(COMPANION_TIME_SHARE)
    }

    /// Current round, counted from 0.
    pub(super) fn round(&self, now: Timestamp) -> u32 {
        let elapsed = now.since(self.timing.ordered_at).as_secs_f64();
        let sampling_s = self.sampling_time().as_secs_f64().max(f64::MIN_POSITIVE);
        let round = elapsed / sampling_s * f64::from(ROUNDS);
        (round as u32).min(ROUNDS - 1)
    }

    /// Permits that are released by the end of the current round.
    pub(super) fn released(&mut self, now: Timestamp, ledger: &Ledger) -> f64 {
        let further_requests = self.further_requests(now);
        let reserve = self.completion_reserve(now);
        self.released_share(now) * ledger.planned_sample(further_requests, reserve)
    }

    /// Most requests that are expected in the least time left for completion.
    pub(super) fn completion_reserve(&mut self, now: Timestamp) -> f64 {
        let completion_time = LEAD_MINIMUM + READING_TIME;
        most_around(self.rate_per_s(now) * completion_time.as_secs_f64())
    }

    fn sampling_time(&self) -> Duration {
        self.timing.period.saturating_sub(self.longest_lead())
    }

    fn longest_lead(&self) -> Duration {
        let lead = self.timing.period.mul_f64(LEAD_SHARE);
        lead.max(LEAD_MINIMUM)
    }

    /// Time from the decision to the deadline. The deadline of the store may be later, since the order may
    /// be younger than it counts.
    fn lead(&mut self, now: Timestamp, completion_total: f64) -> Duration {
        let longest = self.longest_lead();
        let rate_per_s = self.rate_per_s(now);
        let requests = mean_within(completion_total);
        if rate_per_s * (longest + READING_TIME).as_secs_f64() <= requests {
            return longest;
        }
        Duration::from_secs_f64(requests / rate_per_s).saturating_sub(READING_TIME)
    }
}

/// Number of arrivals that is seldom exceeded, of which `mean` are expected.
fn most_around(mean: f64) -> f64 {
    mean + ARRIVAL_DEVIATIONS * mean.sqrt()
}

/// Mean of a number of arrivals that stays below `most` with a margin of some standard deviations.
fn mean_within(most: f64) -> f64 {
    let half_margin = ARRIVAL_DEVIATIONS / 2.0;
    let root = (most.max(0.0) + half_margin * half_margin).sqrt() - half_margin;
    root * root
}
