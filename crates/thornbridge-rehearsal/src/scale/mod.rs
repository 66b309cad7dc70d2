//! What control costs a node as the cluster grows: whole nodes without callers ("hollow"), many in
//! one process and in virtual time, at several sizes, with the slope over the sizes.
//!
//! Each size runs the same day in small: a rollout, a replaced node and a replaced server, node
//! crashes, and one lost message in a hundred.

mod fit;
mod memory;
#[cfg(test)]
mod tests;
mod topology;

pub use fit::Line;

use crate::fault::Fault;
use crate::rehearse::{ControlReport, control_report};
use crate::simulator::{SimulationSetup, Simulator};
use memory::ResidentMemory;
use serde::Serialize;
use snafu::{Snafu, ensure};
use std::time::Duration;
use thornbridge_core::Parameters;

/// Servers a node, as in the target size: 3,300 over 690.
pub const DEFAULT_SERVERS_PER_NODE: f64 = 4.8;
/// Simulated time after the warm-up.
pub const DEFAULT_DURATION: Duration = Duration::from_secs(30);
/// Sizes that are measured unless others are asked for.
pub const DEFAULT_SIZES: [u32; 3] = [40, 160, 690];
/// Offered share of the slots: no callers.
const NO_LOAD: f64 = 0.0;
const FEWEST_NODES: u32 = 6;
const MOST_NODES: u32 = 2_000;

/// What is measured.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOptions {
    /// Numbers of nodes; measured in ascending order.
    pub nodes: Vec<u32>,
    /// Servers for each node.
    pub servers_per_node: f64,
    /// Simulated time after the warm-up.
    pub duration: Duration,
    /// Seed.
    pub seed: u64,
}

impl Default for ScaleOptions {
    fn default() -> Self {
        Self {
            nodes: DEFAULT_SIZES.to_vec(),
            servers_per_node: DEFAULT_SERVERS_PER_NODE,
            duration: DEFAULT_DURATION,
            seed: 1,
        }
    }
}

/// Sizes that cannot be measured.
#[derive(Debug, Snafu)]
pub enum ScaleError {
    /// A number of nodes out of range.
    #[snafu(display("{nodes} nodes: sizes lie between {FEWEST_NODES} and {MOST_NODES}"))]
    NodesOutOfRange {
        /// The number.
        nodes: u32,
    },
    /// No sizes at all.
    #[snafu(display("at least two sizes are needed for a slope"))]
    TooFewSizes,
    /// Servers out of range.
    #[snafu(display("{servers_per_node} servers a node: between 0.5 and 20 are possible"))]
    ServersOutOfRange {
        /// The number.
        servers_per_node: f64,
    },
}

/// One measured size.
#[derive(Clone, Debug, Serialize)]
pub struct SizeReport {
    /// Servers.
    pub servers: u32,
    /// Cost of control. Memory is the growth of the process's resident set over the number of
    /// nodes, the simulator's own included.
    #[serde(flatten)]
    pub control: ControlReport,
    /// Messages to peers a node and second.
    pub messages_per_second_per_node: f64,
    /// Invariants violated in the run; a size with violations proves nothing.
    pub violations: u64,
}

/// Lines fitted over the sizes, by least squares: value = base + slope × nodes.
#[derive(Clone, Debug, Serialize)]
pub struct Slopes {
    /// Bytes a second and node.
    pub bytes_per_second_per_node: Line,
    /// Share of a core a node.
    pub cpu_fraction_per_node: Line,
    /// Bytes of memory a node.
    pub memory_bytes_per_node: Line,
    /// Seconds until a configuration was in force everywhere.
    pub configuration_seconds_max: Line,
}

/// All sizes.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Servers for each node.
    pub servers_per_node: f64,
    /// Simulated seconds after the warm-up.
    pub duration_seconds: f64,
    /// Seed.
    pub seed: u64,
    /// Sizes, ascending.
    pub sizes: Vec<SizeReport>,
    /// Slopes.
    pub slopes: Slopes,
}

/// Measures all sizes; `progress` is told of each before it begins.
pub fn run(options: &ScaleOptions, progress: impl Fn(u32)) -> Result<ScaleReport, ScaleError> {
    let nodes = checked_sizes(options)?;
    let memory = ResidentMemory::now();
    let mut sizes = Vec::with_capacity(nodes.len());
    for count in nodes {
        progress(count);
        sizes.push(measure(options, count, memory));
    }
    Ok(ScaleReport {
        servers_per_node: options.servers_per_node,
        duration_seconds: options.duration.as_secs_f64(),
        seed: options.seed,
        slopes: slopes(&sizes),
        sizes,
    })
}

fn checked_sizes(options: &ScaleOptions) -> Result<Vec<u32>, ScaleError> {
    let servers_per_node = options.servers_per_node;
    let servers_fit = (0.5..=20.0).contains(&servers_per_node);
    ensure!(servers_fit, ServersOutOfRangeSnafu { servers_per_node });
    for nodes in options.nodes.iter().copied() {
        let fits = (FEWEST_NODES..=MOST_NODES).contains(&nodes);
        ensure!(fits, NodesOutOfRangeSnafu { nodes });
    }
    let mut nodes = options.nodes.clone();
    nodes.sort_unstable();
    nodes.dedup();
    ensure!(nodes.len() >= 2, TooFewSizesSnafu);
    Ok(nodes)
}

fn measure(options: &ScaleOptions, nodes: u32, before: ResidentMemory) -> SizeReport {
    let deployment = topology::deployment(nodes, options.servers_per_node);
    let servers = deployment.servers.len() as u32;
    let setup = SimulationSetup {
        deployment,
        faults: vec![Fault::PacketLoss, Fault::NodeCrash],
        parameters: Parameters::default(),
        load: NO_LOAD,
        duration: options.duration,
        seed: options.seed,
        routine: true,
        stop_at_violation: false,
        events_kept: 0,
        sabotage: None,
    };
    let outcome = Simulator::new(setup.clone()).run();
    let grown = ResidentMemory::now().growth_since(before);
    let mut control = control_report(&setup, &outcome);
    control.memory_bytes_per_node = grown as f64 / f64::from(nodes);
    SizeReport {
        servers,
        messages_per_second_per_node: control.bytes_per_second_per_node
            * outcome.control.messages as f64
            / outcome.control.bytes.max(1) as f64,
        control,
        violations: outcome.log.total_violations(),
    }
}

fn slopes(sizes: &[SizeReport]) -> Slopes {
    let line = |value: fn(&ControlReport) -> f64| {
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .map(|size| (f64::from(size.control.nodes), value(&size.control)))
            .collect();
        Line::through(&points)
    };
    Slopes {
        bytes_per_second_per_node: line(|control| control.bytes_per_second_per_node),
        cpu_fraction_per_node: line(|control| control.cpu_fraction_per_node),
        memory_bytes_per_node: line(|control| control.memory_bytes_per_node),
        configuration_seconds_max: line(|control| control.configuration_seconds_max),
    }
}
