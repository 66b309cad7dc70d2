//! What a run was worth.

use super::oracle::Broken;

/// Counts of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayReport {
    /// Requests that callers sent, each counted once however often it was tried.
    pub asked: u64,
    /// Whole answers within the latency objective, seen at the caller.
    pub in_time: u64,
    /// Answers that left parts out, within the objective.
    pub partial_in_time: u64,
    /// Answers after the objective.
    pub late: u64,
    /// Requests whose last try was refused.
    pub refused: u64,
    /// Requests whose last try failed, or was never answered.
    pub failed: u64,
    /// Servers that crashed under each request that crashes servers, as these came.
    pub crashed_by_request: Vec<u64>,
    /// Other requests that were refused for crashing servers.
    pub wrongly_refused: u64,
    /// Arrivals at servers.
    pub arrivals: u64,
    /// Arrivals beyond the first of each part.
    pub extra: u64,
    /// Connections that servers reset, since they had too many.
    pub over_limit: u64,
    /// Connections opened.
    pub opened: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Messages between nodes.
    pub peer_messages: u64,
    /// Rules that were broken.
    pub broken: Vec<Broken>,
    /// Requests served, by the second of their first try.
    pub served_by_second: Vec<(u64, u64)>,
}

impl GatewayReport {
    /// Servers that crashed under requests that crash servers.
    pub fn crashed(&self) -> u64 {
        self.crashed_by_request.iter().sum()
    }

    /// Requests with an answer, in time or late.
    pub fn served(&self) -> u64 {
        self.in_time + self.partial_in_time + self.late
    }

    /// Share of the requests that were answered.
    pub fn served_share(&self) -> f64 {
        self.served() as f64 / self.asked.max(1) as f64
    }

    /// Share of the requests that were answered within the objective.
    pub fn in_time_share(&self) -> f64 {
        (self.in_time + self.partial_in_time) as f64 / self.asked.max(1) as f64
    }
}
