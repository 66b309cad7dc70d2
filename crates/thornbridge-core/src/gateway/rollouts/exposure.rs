//! Ledger of permits: what the sample of a version on trial may spend.
//!
//! A roll-out's bound has two parts: the sample spends one, the other pays for the requests between
//! completion and the deadline, which all go to the new version. A granted permit counts as spent until
//! a node returns it.

use crate::gateway::parameters::RolloutParameters;

/// Part of the bound that the sample may spend.
const SAMPLE_SHARE: f64 = 0.5;
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

    /// Requests that may go to the new version between completion and the deadline.
    ///
    /// `attempts`: attempts known to this conductor; it may know of more than were reported to it.
    pub(super) fn completion_total(&self, attempts: u64) -> f64 {
        let requests = self.requests.max(attempts) as f64;
        (1.0 - SAMPLE_SHARE) * (self.earned(requests) + self.slack)
    }

    fn earned(&self, requests: f64) -> f64 {
        self.share * ARRIVAL_SHARE * requests
    }
}
