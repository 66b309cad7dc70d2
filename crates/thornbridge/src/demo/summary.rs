//! What a run of the demonstration measured, and what must have held.

use crate::output::Table;
use serde::Serialize;
use std::fmt;
use thornbridge_core::counters::Counters;
use thornbridge_proto::{BundleVersion, Generation, ServiceName};
use thornbridge_rehearsal::load::{LoadReport, ServiceReport};

/// Least share of queries that must be answered for a phase to count as served. A busy machine
/// may make some miss their deadline; each of those must be refused truthfully.
const LEAST_ANSWERED: f64 = 0.9;

/// Both deployments.
#[derive(Debug, Serialize)]
pub struct DemoSummary {
    /// In the order of the run.
    pub deployments: Vec<DeploymentSummary>,
    /// Length of the whole run.
    pub seconds: f64,
}

/// One deployment.
#[derive(Debug, Serialize)]
pub struct DeploymentSummary {
    /// Its name.
    pub deployment: String,
    /// Rollouts in their order.
    pub rollouts: Vec<RolloutMeasured>,
    /// Loads in their order.
    pub loads: Vec<LoadMeasured>,
    /// Actions.
    pub actions: Option<ActionsMeasured>,
    /// Words of the refusal of the stale rollout.
    pub stale_rollout: Option<String>,
    /// Time for a new node to become ready without the platform.
    pub ready_without_platform: Option<f64>,
    /// The drain.
    pub drain: Option<DrainMeasured>,
    /// First attempts of all nodes.
    pub first_attempts: u64,
    /// Hedges of all nodes.
    pub hedges: u64,
    /// Hedges that answered before the attempt they hedged.
    pub hedges_won: u64,
    /// Retries of all nodes.
    pub retries: u64,
    /// What must hold.
    pub checks: Vec<Check>,
}

/// Something that must hold.
#[derive(Debug, Serialize)]
pub struct Check {
    /// What.
    pub what: String,
    /// Whether it did.
    pub holds: bool,
}

/// One rollout.
#[derive(Debug, Serialize)]
pub struct RolloutMeasured {
    /// Version.
    pub version: BundleVersion,
    /// Generation.
    pub generation: Generation,
    /// Nodes that were running.
    pub nodes: usize,
    /// Time from the operator's command until it was in force on all of them; absent where not.
    pub seconds: Option<f64>,
}

/// One load.
#[derive(Debug, Serialize)]
pub struct LoadMeasured {
    /// When it ran.
    pub phase: &'static str,
    /// The generator's report.
    pub report: LoadReport,
}

/// Actions under keys.
#[derive(Debug, Serialize)]
pub struct ActionsMeasured {
    /// Service.
    pub service: ServiceName,
    /// Actions, each sent through two nodes.
    pub sent: usize,
    /// Actions that ran once, as the back ends counted.
    pub run_once: usize,
    /// Actions for which both nodes gave the same outcome.
    pub same_outcome: usize,
}

/// The drain of one node.
#[derive(Debug, Default, Serialize)]
pub struct DrainMeasured {
    /// Time from the stop asked for until the node had ended.
    pub seconds: f64,
    /// Queries to it that were answered whole.
    pub answered: u64,
    /// Queries refused as not run.
    pub refused_not_run: u64,
    /// Queries that found it gone.
    pub not_connected: u64,
    /// Queries it had taken and did not answer.
    pub cut_off: u64,
}

impl DemoSummary {
    /// Checks that did not hold.
    pub fn failed_checks(&self) -> usize {
        let checks = self.deployments.iter().flat_map(|one| &one.checks);
        checks.filter(|check| !check.holds).count()
    }
}

impl DeploymentSummary {
    /// Nothing measured yet.
    pub fn new(deployment: String) -> Self {
        Self {
            deployment,
            rollouts: Vec::new(),
            loads: Vec::new(),
            actions: None,
            stale_rollout: None,
            ready_without_platform: None,
            drain: None,
            first_attempts: 0,
            hedges: 0,
            hedges_won: 0,
            retries: 0,
            checks: Vec::new(),
        }
    }

    /// Notes something that must hold.
    pub fn check(&mut self, what: String, holds: bool) {
        self.checks.push(Check { what, holds });
    }

    /// Notes a load and what must hold for it.
    pub fn note_load(&mut self, phase: &'static str, report: &LoadReport) {
        let total = &report.total;
        let answered = total.answered as f64 >= LEAST_ANSWERED * total.offered as f64;
        self.check(format!("{phase}: at least 9 in 10 answered"), answered);
        let whole = total.failed == 0 && total.duplicate_hits == 0;
        self.check(
            format!("{phase}: every response whole, no hit twice"),
            whole,
        );
        self.loads.push(LoadMeasured {
            phase,
            report: report.clone(),
        });
    }

    /// Adds one node's counters.
    pub fn add_counters(&mut self, counters: &Counters) {
        self.first_attempts += counters.query.first_attempts;
        self.hedges += counters.query.hedges;
        self.hedges_won += counters.query.hedges_won;
        self.retries += counters.query.retries;
    }

    fn loads_text(&self) -> String {
        let mut table = Table::new(&[
            "  PHASE",
            "SERVICE",
            "QUERIES",
            "ANSWERED",
            "REFUSED",
            "P50 MS",
            "P99 MS",
            "COVERAGE MEAN",
            "COVERAGE MIN",
        ]);
        for load in &self.loads {
            for (name, service) in &load.report.services {
                table.row(row(load.phase, name, service));
            }
        }
        table.to_string()
    }
}

fn row(phase: &str, name: &ServiceName, service: &ServiceReport) -> Vec<String> {
    let refused: u64 = service.refused.values().sum();
    vec![
        format!("  {phase}"),
        name.to_string(),
        service.offered.to_string(),
        service.answered.to_string(),
        refused.to_string(),
        format!("{:.1}", service.latency.p50_ms),
        format!("{:.1}", service.latency.p99_ms),
        format!("{:.5}", service.coverage_mean),
        format!("{:.5}", service.coverage_min),
    ]
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for deployment in &self.deployments {
            writeln!(formatter, "{deployment}")?;
        }
        let checks: usize = self.deployments.iter().map(|one| one.checks.len()).sum();
        let failed = self.failed_checks();
        write!(
            formatter,
            "{} of {checks} checks hold; the run took {:.1} s",
            checks - failed,
            self.seconds
        )
    }
}

impl fmt::Display for DeploymentSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.deployment)?;
        for rollout in &self.rollouts {
            let (version, generation) = (&rollout.version, rollout.generation);
            write!(
                formatter,
                "  rollout of version {version} as generation {generation}: "
            )?;
            match rollout.seconds {
                Some(seconds) => writeln!(
                    formatter,
                    "in force on {} nodes after {seconds:.3} s",
                    rollout.nodes
                )?,
                None => writeln!(formatter, "not in force everywhere in time")?,
            }
        }
        if let Some(refusal) = &self.stale_rollout {
            writeln!(formatter, "  stale rollout refused: {refusal}")?;
        }
        if let Some(seconds) = self.ready_without_platform {
            writeln!(
                formatter,
                "  platform stopped: a new node was ready after {seconds:.3} s"
            )?;
        }
        write!(formatter, "{}", self.loads_text())?;
        self.write_totals(formatter)?;
        for check in &self.checks {
            if !check.holds {
                writeln!(formatter, "  DOES NOT HOLD: {}", check.what)?;
            }
        }
        Ok(())
    }
}

impl DeploymentSummary {
    fn write_totals(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let offered: u64 = self
            .loads
            .iter()
            .map(|load| load.report.total.offered)
            .sum();
        writeln!(
            formatter,
            "  queries offered by the loads: {offered}; first attempts {}, hedges {} ({} won), retries {}",
            self.first_attempts, self.hedges, self.hedges_won, self.retries
        )?;
        if let Some(actions) = &self.actions {
            writeln!(
                formatter,
                "  actions to {}: {} sent through two nodes each; {} ran once, {} with one outcome",
                actions.service, actions.sent, actions.run_once, actions.same_outcome
            )?;
        }
        if let Some(drain) = &self.drain {
            writeln!(
                formatter,
                "  drain of a node: ended after {:.3} s; {} answered, {} refused as not run, {} found it gone, {} cut off",
                drain.seconds,
                drain.answered,
                drain.refused_not_run,
                drain.not_connected,
                drain.cut_off
            )?;
        }
        Ok(())
    }
}
