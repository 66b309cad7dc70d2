//! An open-loop load generator against real nodes on loopback.
//!
//! Requests are due at times fixed before the run ([`schedule`]), whatever the answers do, and a
//! latency counts from the time at which the request was due, not from when it was sent. So a
//! stall of the node, or of the generator, shows in the latencies of all requests that were due
//! meanwhile: the results are free of coordinated omission (G. Tene, "How NOT to Measure
//! Latency", 2013).

mod options;
mod report;
mod runner;
mod schedule;
mod sender;

#[cfg(test)]
mod tests;

pub use options::{LoadError, LoadKind, LoadOptions, ServiceShare};
pub use report::{LatencySummary, LoadReport, ServiceReport};

use runner::Runner;
use sender::NodeSender;

/// Runs a load to its end. Shows a progress bar on standard error where that is a terminal.
pub async fn run(options: &LoadOptions) -> Result<LoadReport, LoadError> {
    options.check()?;
    let sender = NodeSender::new(options.clone());
    Runner::new(options, sender).run().await
}
