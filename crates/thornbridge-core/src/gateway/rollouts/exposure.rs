//! Ledger of permits: what the sample of a version on trial may spend.
//!
//! A roll-out's bound has two parts: the sample spends one, the other pays for the requests between
//! completion and the deadline, which all go to the new version. What these do not need is spare, and
//! pays for companions; without it, they are paid from a sample that is large enough. A granted permit
//! counts as spent until a node returns it.

use super::division::CompanionPlan;
use crate::gateway::parameters::RolloutParameters;

/// Part of the bound that the sample may spend.
const SAMPLE_SHARE: f64 = 0.5;
/// Part of the bound that is left to the sample where completion needs more than its part.
const SAMPLE_SHARE_MINIMUM: f64 = 0.25;
/// Part of the sample that companions may have.
const COMPANION_SHARE: f64 = 0.5;
/// Permits of a sample from which companions may be paid. Of a smaller one, each answer is needed to
/// tell whether the version is bad at all.
const SHARED_SAMPLE_MINIMUM: f64 = 40.0;
/// Part of the reported requests that is taken to reach the service.
const ARRIVAL_SHARE: f64 = 0.95;

/// Permits earned and granted by one conductor.
#[derive(Debug)]
pub(super) struct Ledger {
    /// Permits earned by one request.
    share: f64,
    /// Permits beyond the earned ones.
    slack: f64,
    /// Whether this conductor may spend the sample's part of the slack.
    owns_slack: bool,
    requests: u64,
    granted: u64,
    returned: u64,
    /// Companions among the permits above.
    companions: u64,
    /// Companions paid from what is spare that were granted and not returned.
    spare_spent: u64,
}

/// What pays for a companion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompanionFund {
    /// What completion does not need.
    Spare,
    /// The sample, which has as many permits less for requests.
    Sample,
}

impl Ledger {
    pub(super) fn new(parameters: &RolloutParameters) -> Self {
        Self {
            share: parameters.exposure_share,
            slack: parameters.exposure_slack,
            owns_slack: false,
            requests: 0,
            granted: 0,
            returned: 0,
            companions: 0,
            spare_spent: 0,
        }
    }

    pub(super) fn add_slack(&mut self) {
        self.owns_slack = true;
    }

    pub(super) fn record_requests(&mut self, requests: u32) {
        self.requests += u64::from(requests);
    }

    /// Takes back permits, also those that another conductor granted.
    pub(super) fn record_returned(&mut self, permits: u32) {
        self.returned += u64::from(permits);
    }

    pub(super) fn record_granted(&mut self, permits: u32) {
        self.granted += u64::from(permits);
    }

    pub(super) fn record_companions(&mut self, fund: CompanionFund, permits: u32) {
        let permits = u64::from(permits);
        match fund {
            CompanionFund::Spare => self.spare_spent += permits,
            CompanionFund::Sample => {
                self.granted += permits;
                self.companions += permits;
            }
        }
    }

    /// Takes back permits of companions: first those paid from what is spare, which is least.
    pub(super) fn record_returned_companions(&mut self, permits: u32) {
        let permits = u64::from(permits);
        let spare = permits.min(self.spare_spent);
        self.spare_spent -= spare;
        self.returned += permits - spare;
        self.companions = self.companions.saturating_sub(permits - spare);
    }

    /// What pays for the next companion; `None` if nothing does. `further`: permits of the sample that
    /// are not recorded yet, and the companions among them. `further_spare`: companions paid from what is
    /// spare that are not recorded yet.
    pub(super) fn companion_fund(
        &self,
        further: (u32, u32),
        further_spare: u32,
        plan: CompanionPlan,
    ) -> Option<CompanionFund> {
        let spare_spent = self.spare_spent as f64 + f64::from(further_spare);
        let spare =
            (1.0 - SAMPLE_SHARE) * self.total(self.requests as f64) - plan.reserve - spare_spent;
        if spare >= 1.0 {
            return Some(CompanionFund::Spare);
        }
        let (permits, companions) = further;
        let spent = self.spent() + f64::from(permits);
        let companions = self.companions as f64 + f64::from(companions);
        let is_large = self.sample_total(plan.further_requests) >= SHARED_SAMPLE_MINIMUM;
        let is_due = companions + 1.0 <= COMPANION_SHARE * (spent + 2.0);
        (is_large && is_due).then_some(CompanionFund::Sample)
    }

    /// Requests that may go to the new version in all.
    fn total(&self, requests: f64) -> f64 {
        self.earned(requests) + self.slack
    }

    /// Permits that may be granted now.
    pub(super) fn affordable(&self) -> u32 {
        (self.sample_total(0.0) - self.spent()).max(0.0) as u32
    }

    /// Permits granted and not returned; negative after returns of another conductor's permits.
    pub(super) fn spent(&self) -> f64 {
        self.granted as f64 - self.returned as f64
    }

    /// Permits of the sample in all, after a number of further requests.
    pub(super) fn sample_total(&self, further_requests: f64) -> f64 {
        let slack = match self.owns_slack {
            true => self.slack,
            false => 0.0,
        };
        SAMPLE_SHARE * (self.earned(self.requests as f64 + further_requests) + slack)
    }

    /// Permits that the sample is planned to spend in all. `reserve`: requests that completion needs.
    pub(super) fn planned_sample(&self, further_requests: f64, reserve: f64) -> f64 {
        let total = self.total(self.requests as f64 + further_requests);
        let left = (total - reserve).max(SAMPLE_SHARE_MINIMUM * total);
        self.sample_total(further_requests).min(left)
    }

    /// Requests that may go to the new version between completion and the deadline.
    ///
    /// `attempts`: attempts known to this conductor; it may know of more than were reported to it.
    /// `answers`: those of the version on trial among them; `companions`: those to companions, which
    /// may have been granted by another conductor. `reserve`: requests that completion needs.
    pub(super) fn completion_total(
        &self,
        attempts: u64,
        answers: u32,
        companions: u32,
        reserve: f64,
    ) -> f64 {
        let total = self.total(self.requests.max(attempts) as f64);
        let own_part = (1.0 - SAMPLE_SHARE) * total;
        let own_spare = self.spare_spent as f64;
        let spare_spent = own_spare.max(f64::from(companions) - self.companions as f64);
        let spent = (self.spent() + own_spare).max(f64::from(answers));
        let left = (total - spent).min(own_part.max(reserve));
        left.max(own_part - spare_spent)
    }

    fn earned(&self, requests: f64) -> f64 {
        self.share * ARRIVAL_SHARE * requests
    }
}
