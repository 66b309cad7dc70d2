//! `thornbridge rehearse`: faults and load against the same decisions that run in production, in
//! virtual time.

use crate::error::CommandError;
use crate::output::{self, Format, Table};
use bpaf::Bpaf;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_rehearsal::compare::{self, CompareOptions, PolicyComparison};
use thornbridge_rehearsal::fault::Fault;
use thornbridge_rehearsal::fuzz::{self, FuzzOptions};
use thornbridge_rehearsal::rehearse::{
    self, DEFAULT_DURATION, DEFAULT_LOAD, Policy, RehearsalOptions, RehearsalReport, ScenarioSource,
};
use thornbridge_rehearsal::report;
use thornbridge_rehearsal::scale::{self, ScaleOptions, ScaleReport};

/// Commands in virtual time:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(rehearse))]
pub enum Rehearse {
    /// Rehearse with random faults and loads until an invariant is violated
    ///
    ///
    /// Exit code 1 and the command that replays it where one is.
    ///
    ///
    /// Example: thornbridge rehearse fuzz --runs 200 --seed 7
    #[bpaf(command)]
    Fuzz {
        /// Rehearsals
        #[bpaf(argument("NUMBER"), fallback(100))]
        runs: u64,
        /// Seed that they are drawn from
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Threads; as many as there are cores where absent
        #[bpaf(argument("NUMBER"))]
        threads: Option<usize>,
        /// Deployment of all of them; drawn where absent
        #[bpaf(argument("NAME"))]
        deployment: Option<String>,
    },
    /// Rehearse the same under several policies and seeds: medians, least and greatest
    ///
    ///
    /// Example: thornbridge rehearse compare --policy thornbridge --policy baseline --seeds 1..20 --fault straggler --load 0.6
    #[bpaf(command)]
    Compare {
        /// Policy: thornbridge, baseline or a TOML file with tunable values; several are compared
        #[bpaf(argument("POLICY"), some("at least one --policy is needed"))]
        policy: Vec<Policy>,
        /// Seeds, first and last
        #[bpaf(argument("FIRST..LAST"), fallback(SeedRange { first: 1, last: 5 }))]
        seeds: SeedRange,
        /// Threads; as many as there are cores where absent
        #[bpaf(argument("NUMBER"))]
        threads: Option<usize>,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        #[bpaf(external)]
        circumstances: Circumstances,
    },
    /// Measure what control costs a node at several sizes, without callers, and the slopes
    ///
    ///
    /// Example: thornbridge rehearse scale --nodes 40,160,690 --servers-per-node 4.8 --format json
    #[bpaf(command)]
    Scale {
        /// Numbers of nodes, with commas between
        #[bpaf(argument("NUMBERS"), fallback(SizeList(scale::DEFAULT_SIZES.to_vec())))]
        nodes: SizeList,
        /// Servers for each node
        #[bpaf(argument("NUMBER"), fallback(scale::DEFAULT_SERVERS_PER_NODE))]
        servers_per_node: f64,
        /// Simulated time of each size
        #[bpaf(argument::<humantime::Duration>("DURATION"), fallback(scale::DEFAULT_DURATION.into()))]
        duration: humantime::Duration,
        /// Seed of everything random
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
    },
    Run {
        /// Policy: thornbridge, baseline or a TOML file with tunable values
        #[bpaf(argument("POLICY"), fallback(Policy::Thornbridge))]
        policy: Policy,
        /// Seed of everything random
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Directory that gets a page with plots, index.html
        #[bpaf(argument("DIRECTORY"))]
        report: Option<PathBuf>,
        #[bpaf(external)]
        circumstances: Circumstances,
    },
}

/// What is rehearsed.
#[derive(Clone, Debug, Bpaf)]
pub struct Circumstances {
    /// Deployment: th-north, dk-east or two-region
    #[bpaf(argument("NAME"))]
    deployment: Option<String>,
    /// Scenario file in place of a deployment
    #[bpaf(argument("FILE"))]
    scenario: Option<PathBuf>,
    /// Nodes; as in the scenario where absent
    #[bpaf(argument("NUMBER"))]
    nodes: Option<u32>,
    /// Service that gets load; may be repeated, all where absent
    #[bpaf(argument::<String>("NAME"))]
    service: Vec<String>,
    /// Fault; may be repeated, also the same one
    #[bpaf(argument("FAULT"))]
    fault: Vec<Fault>,
    /// Offered share of the back ends' slots
    #[bpaf(argument("FRACTION"), fallback(DEFAULT_LOAD))]
    load: f64,
    /// Time that callers send for
    #[bpaf(argument::<humantime::Duration>("DURATION"), fallback(DEFAULT_DURATION.into()))]
    duration: humantime::Duration,
    /// Leave out what happens on any day: a rollout, a server and a node replaced
    no_routine: bool,
}

/// Numbers of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizeList(Vec<u32>);

impl FromStr for SizeList {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let numbers = text.split(',').map(|number| number.trim().parse());
        let numbers: Result<Vec<u32>, _> = numbers.collect();
        numbers
            .map(Self)
            .map_err(|_| format!("{text:?} is not a list of numbers such as 40,160,690"))
    }
}

/// First and last seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeedRange {
    first: u64,
    last: u64,
}

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once("..").and_then(|(first, last)| {
            let first = first.parse().ok()?;
            let last = last.trim_start_matches('=').parse().ok()?;
            Some(Self { first, last })
        });
        parsed
            .filter(|range| range.first <= range.last)
            .ok_or_else(|| format!("{text:?} is not a range of seeds such as 1..20"))
    }
}

impl Circumstances {
    fn options(self, policy: Policy, seed: u64) -> Result<RehearsalOptions, CommandError> {
        let scenario = match (self.deployment, self.scenario) {
            (Some(name), None) => ScenarioSource::Deployment(name),
            (None, Some(path)) => ScenarioSource::File(path),
            _ => {
                let detail = "one of --deployment and --scenario is needed".to_owned();
                return Err(CommandError::Usage { detail });
            }
        };
        Ok(RehearsalOptions {
            scenario,
            nodes: self.nodes,
            services: self.service.into_iter().map(ServiceName::new).collect(),
            faults: self.fault,
            policy,
            load: self.load,
            duration: Duration::from(self.duration),
            seed,
            routine: !self.no_routine,
        })
    }
}

impl Rehearse {
    /// Runs the command.
    pub fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Fuzz {
                runs,
                seed,
                threads,
                deployment,
            } => run_fuzz(&FuzzOptions {
                runs,
                seed,
                threads,
                deployment,
                load: None,
                progress: true,
            }),
            Self::Compare {
                policy,
                seeds,
                threads,
                format,
                circumstances,
            } => {
                let rehearsal = circumstances.options(Policy::Thornbridge, seeds.first)?;
                run_compare(
                    format,
                    &CompareOptions {
                        rehearsal,
                        policies: policy,
                        seeds: (seeds.first..=seeds.last).collect(),
                        threads,
                    },
                )
            }
            Self::Scale {
                nodes,
                servers_per_node,
                duration,
                seed,
                format,
            } => run_scale(
                format,
                &ScaleOptions {
                    nodes: nodes.0,
                    servers_per_node,
                    duration: duration.into(),
                    seed,
                },
            ),
            Self::Run {
                policy,
                seed,
                format,
                report,
                circumstances,
            } => run_one(
                format,
                report.as_deref(),
                &circumstances.options(policy, seed)?,
            ),
        }
    }
}

fn run_one(
    format: Format,
    directory: Option<&Path>,
    options: &RehearsalOptions,
) -> Result<(), CommandError> {
    let report = rehearse::run(options)?;
    output::print(format, &report, as_text)?;
    if let Some(directory) = directory {
        report::write(&report, directory)?;
    }
    if let Some(violation) = &report.first_violation {
        eprintln!("{violation}");
    }
    fail_on_violations(report.total_violations())
}

fn run_fuzz(options: &FuzzOptions) -> Result<(), CommandError> {
    let report = fuzz::run(options)?;
    let violations = report.violations.len() as u64;
    println!(
        "{} rehearsals, {} checks, {violations} rehearsals with violations",
        report.runs, report.checks
    );
    for (run, violation) in &report.violations {
        println!(
            "run {run}: {}: {}",
            violation.first.invariant, violation.command
        );
    }
    fail_on_violations(violations)
}

fn run_compare(format: Format, options: &CompareOptions) -> Result<(), CommandError> {
    let policies = compare::run(options)?;
    output::print(format, &policies, |policies| comparison_as_text(policies))?;
    fail_on_violations(policies.iter().map(|policy| policy.violations).sum())
}

fn run_scale(format: Format, options: &ScaleOptions) -> Result<(), CommandError> {
    let report = scale::run(options, |nodes| eprintln!("measuring {nodes} nodes"))?;
    output::print(format, &report, scale_as_text)?;
    fail_on_violations(report.sizes.iter().map(|size| size.violations).sum())
}

fn scale_as_text(report: &ScaleReport) -> String {
    let mut table = Table::new(&[
        "nodes",
        "servers",
        "B/s",
        "messages/s",
        "core share",
        "memory, MB",
        "in force, s",
    ]);
    for size in &report.sizes {
        let control = &size.control;
        table.row(vec![
            control.nodes.to_string(),
            size.servers.to_string(),
            format!("{:.0}", control.bytes_per_second_per_node),
            format!("{:.2}", size.messages_per_second_per_node),
            format!("{:.5}", control.cpu_fraction_per_node),
            format!("{:.2}", control.memory_bytes_per_node / 1e6),
            format!("{:.2}", control.configuration_seconds_max),
        ]);
    }
    let slopes = &report.slopes;
    format!(
        "{table}\nslope a node: {:.3} B/s, {:.3e} of a core, {:.0} B of memory, {:.5} s",
        slopes.bytes_per_second_per_node.slope,
        slopes.cpu_fraction_per_node.slope,
        slopes.memory_bytes_per_node.slope,
        slopes.configuration_seconds_max.slope,
    )
}

fn fail_on_violations(violations: u64) -> Result<(), CommandError> {
    if violations == 0 {
        Ok(())
    } else {
        Err(CommandError::Violations { violations })
    }
}

fn as_text(report: &RehearsalReport) -> String {
    let mut text = format!(
        "{} under policy {}, seed {}: {} queries, {} actions\n\n",
        report.deployment, report.policy, report.seed, report.queries, report.actions,
    );
    let control = &report.control;
    let _ = writeln!(text, "{}", service_table(report));
    let _ = writeln!(
        text,
        "control: {} nodes, {:.0} B/s and {:.5} of a core a node; in force within {:.2} s\n",
        control.nodes,
        control.bytes_per_second_per_node,
        control.cpu_fraction_per_node,
        control.configuration_seconds_max
    );
    let _ = write!(text, "{}", check_table(report));
    let _ = write!(text, "trace digest {}", report.trace_digest);
    text
}

fn service_table(report: &RehearsalReport) -> Table {
    let mut table = Table::new(&[
        "service",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "p99 bound ms",
        "coverage",
        "least",
        "extra load",
        "refused",
        "failed",
    ]);
    for (name, service) in &report.services {
        let bound = report.oracle_lower_bound.get(name);
        table.row(vec![
            name.clone(),
            format!("{:.1}", service.p50_ms),
            format!("{:.1}", service.p99_ms),
            format!("{:.1}", service.p999_ms),
            format!("{:.1}", bound.map_or(0.0, |bound| bound.p99_ms)),
            format!("{:.5}", service.coverage_mean),
            format!("{:.3}", service.coverage_min),
            format!("{:.4}", service.extra_load),
            service.refused.to_string(),
            service.failed.to_string(),
        ]);
    }
    table
}

fn check_table(report: &RehearsalReport) -> Table {
    let mut table = Table::new(&["invariant", "checks", "violations"]);
    for (invariant, checks) in &report.checks {
        let violations = report.violations.get(invariant).copied().unwrap_or(0);
        table.row(vec![
            invariant.clone(),
            checks.to_string(),
            violations.to_string(),
        ]);
    }
    table
}

fn comparison_as_text(policies: &[PolicyComparison]) -> String {
    let mut text = String::from("median [least, greatest] over the seeds\n");
    for policy in policies {
        let _ = writeln!(
            text,
            "\npolicy {}: {} seeds, {} violations",
            policy.policy, policy.seeds, policy.violations
        );
        for (name, service) in &policy.services {
            let _ = writeln!(
                text,
                "  {name}\n    p50 ms {}, p99 ms {}, p99 over bound {}\n    coverage {}, extra load {}, refused {}, failed {}",
                service.p50_ms,
                service.p99_ms,
                service.p99_over_bound,
                service.coverage_mean,
                service.extra_load,
                service.refused,
                service.failed
            );
        }
    }
    text
}
