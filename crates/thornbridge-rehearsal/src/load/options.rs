//! What load to offer, and the bounds on it.

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::ServiceName;

/// Most requests of one run.
pub const MOST_REQUESTS: f64 = 10_000_000.0;
/// Longest run.
pub const LONGEST_RUN: Duration = Duration::from_secs(3_600);
/// Most requests in flight at once.
pub const MOST_CONCURRENT: usize = 10_000;

/// What load to offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadOptions {
    /// Callers' addresses of nodes, asked in turn. Loopback only.
    pub nodes: Vec<SocketAddr>,
    /// Services and their shares of the requests.
    pub services: Vec<ServiceShare>,
    /// Queries or actions.
    pub kind: LoadKind,
    /// Requests a second, all services together.
    pub rate: f64,
    /// Time over which requests are due.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Most requests in flight; one due beyond it waits, and its wait counts.
    pub concurrency: usize,
    /// Time that each request is allowed.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Most hits asked for.
    pub limit: u32,
    /// Seed of arrivals, services and texts.
    pub seed: u64,
}

/// A service and its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Service.
    pub service: ServiceName,
    /// Weight against the others; more than 0.
    pub weight: f64,
}

/// What is asked of the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadKind {
    /// Queries, each with a text of its own.
    Query,
    /// Actions, each with a key of its own.
    Action,
}

/// A load cannot be offered.
#[derive(Debug, Snafu)]
pub enum LoadError {
    /// Not a loopback address.
    #[snafu(display("{address} is not a loopback address; the load tool sends to no other"))]
    NotLoopback {
        /// Address.
        address: SocketAddr,
    },
    /// Nothing to send to.
    #[snafu(display("at least one node and one service are needed"))]
    NothingToDo,
    /// A number is out of bounds.
    #[snafu(display("{name} is {value}; it must be {right}"))]
    OutOfBounds {
        /// Which.
        name: &'static str,
        /// Its value.
        value: String,
        /// What would be right.
        right: String,
    },
    /// The histograms cannot be made.
    #[snafu(display("cannot create a histogram"))]
    Histogram {
        /// Cause.
        source: hdrhistogram::CreationError,
    },
}

impl LoadOptions {
    /// Checks the bounds.
    pub fn check(&self) -> Result<(), LoadError> {
        ensure!(
            !self.nodes.is_empty() && !self.services.is_empty(),
            NothingToDoSnafu
        );
        for address in &self.nodes {
            let loopback = address.ip().is_loopback();
            ensure!(loopback, NotLoopbackSnafu { address: *address });
        }
        for share in &self.services {
            let right = share.weight.is_finite() && share.weight > 0.0;
            ensure_bound(right, "weight", share.weight, "more than 0")?;
        }
        let right = self.rate.is_finite() && self.rate > 0.0;
        ensure_bound(right, "rate", self.rate, "more than 0")?;
        let seconds = self.duration.as_secs_f64();
        let right = self.duration <= LONGEST_RUN && !self.duration.is_zero();
        let longest = format!("more than 0 and at most {} s", LONGEST_RUN.as_secs());
        ensure_bound(right, "duration in seconds", seconds, &longest)?;
        let requests = self.rate * seconds;
        let most = format!("at most {MOST_REQUESTS}");
        ensure_bound(
            requests <= MOST_REQUESTS,
            "rate times duration",
            requests,
            &most,
        )?;
        let right = (1..=MOST_CONCURRENT).contains(&self.concurrency);
        let most = format!("1 to {MOST_CONCURRENT}");
        ensure_bound(right, "concurrency", self.concurrency, &most)
    }
}

fn ensure_bound(
    holds: bool,
    name: &'static str,
    value: impl ToString,
    right: &str,
) -> Result<(), LoadError> {
    let value = value.to_string();
    ensure!(holds, OutOfBoundsSnafu { name, value, right });
    Ok(())
}
