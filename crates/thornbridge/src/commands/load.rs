//! `thornbridge load`: an open-loop load against real nodes.

use crate::error::CommandError;
use crate::output::{self, Format, Table};
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use thornbridge_rehearsal::load::{
    self, LoadKind, LoadOptions, LoadReport, ServiceReport, ServiceShare,
};

/// Offer a load to nodes on loopback: requests are due at fixed times, whatever the answers do
///
///
/// Latencies count from the time at which a request was due, so that a stall shows in all
/// requests due meanwhile. Exit code 1 where requests failed without a whole response.
///
///
/// Example: thornbridge load --node 127.0.0.1:20101 --service roster-desk --rate 500 --duration 10s
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("load"), generate(load))]
pub struct Load {
    /// Address of a node for callers; may be repeated; asked in turn
    #[bpaf(argument("ADDRESS"), some("found no node; expected --node ADDRESS"))]
    node: Vec<SocketAddr>,
    /// Service with its weight against the others, e.g. roster-desk or roster-desk=3; may be repeated
    #[bpaf(
        argument("NAME[=WEIGHT]"),
        some("found no service; expected --service NAME")
    )]
    service: Vec<Share>,
    /// Send actions in place of queries, each with a key of its own
    actions: bool,
    /// Requests a second, all services together
    #[bpaf(argument("NUMBER"), fallback(100.0))]
    rate: f64,
    /// Time over which requests are due
    #[bpaf(argument::<humantime::Duration>("DURATION"), fallback(Duration::from_secs(10).into()))]
    duration: humantime::Duration,
    /// Most requests in flight; one due beyond it waits, and its wait counts
    #[bpaf(argument("NUMBER"), fallback(1_000))]
    concurrency: usize,
    /// Time that each request is allowed
    #[bpaf(argument::<humantime::Duration>("DURATION"), fallback(Duration::from_secs(1).into()))]
    timeout: humantime::Duration,
    /// Most hits asked for
    #[bpaf(argument("NUMBER"), fallback(10))]
    limit: u32,
    /// Seed of arrivals, services and texts
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
}

/// A service and its weight, as `NAME` or `NAME=WEIGHT`.
#[derive(Clone, Debug)]
struct Share(ServiceShare);

impl FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
        let weight = weight
            .parse()
            .map_err(|_| format!("found weight {weight:?}; expected a number"))?;
        Ok(Self(ServiceShare {
            service: name.into(),
            weight,
        }))
    }
}

impl Load {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let options = LoadOptions {
            nodes: self.node,
            services: self.service.into_iter().map(|share| share.0).collect(),
            kind: if self.actions {
                LoadKind::Action
            } else {
                LoadKind::Query
            },
            rate: self.rate,
            duration: self.duration.into(),
            concurrency: self.concurrency,
            timeout: self.timeout.into(),
            limit: self.limit,
            seed: self.seed,
        };
        let report = load::run(&options).await?;
        output::print(self.format, &report, as_text)?;
        match report.total.failed {
            0 => Ok(()),
            failed => Err(CommandError::LoadFailed { failed }),
        }
    }
}

fn as_text(report: &LoadReport) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "OFFERED",
        "ANSWERED",
        "REFUSED",
        "FAILED",
        "P50 MS",
        "P90 MS",
        "P99 MS",
        "P99.9 MS",
        "MAX MS",
        "COVERAGE MEAN",
        "COVERAGE MIN",
    ]);
    for (name, service) in &report.services {
        table.row(row(name.to_string(), service));
    }
    table.row(row("all".to_owned(), &report.total));
    format!(
        "{table}{:.0} answers a second over {:.2} s; {} sent late, by {:.3} ms at the 99th percentile\n",
        report.answered_per_second,
        report.elapsed_seconds,
        report.late_sends,
        report.send_lag.p99_ms
    )
}

fn row(name: String, service: &ServiceReport) -> Vec<String> {
    let refused: u64 = service.refused.values().sum();
    let latency = &service.latency;
    vec![
        name,
        service.offered.to_string(),
        service.answered.to_string(),
        refused.to_string(),
        service.failed.to_string(),
        format!("{:.2}", latency.p50_ms),
        format!("{:.2}", latency.p90_ms),
        format!("{:.2}", latency.p99_ms),
        format!("{:.2}", latency.p999_ms),
        format!("{:.2}", latency.max_ms),
        format!("{:.5}", service.coverage_mean),
        format!("{:.5}", service.coverage_min),
    ]
}
