//! `thornbridge demo`: both deployments in one process on loopback.

use crate::demo;
use crate::error::CommandError;
use crate::output::{self, Format};
use bpaf::Bpaf;

/// Show everything in one process on loopback: platform, back ends, nodes, rollouts, queries, a drain
///
///
/// Nothing is started outside this process and nothing is kept. Every figure printed was measured
/// in this run. Exit code 1 where anything that must hold did not.
///
///
/// Example: thornbridge demo
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("demo"), generate(demo))]
pub struct Demo {
    /// Queries a second for each deployment
    #[bpaf(argument("NUMBER"), fallback(demo::DEFAULT_RATE))]
    rate: f64,
    /// Seed of queries and service times
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Form of the result: text or json
    #[bpaf(argument("FORMAT"), fallback(Format::Text))]
    format: Format,
}

impl Demo {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let summary = demo::run(self.rate, self.seed).await?;
        output::print(self.format, &summary, ToString::to_string)?;
        match summary.failed_checks() {
            0 => Ok(()),
            failed => Err(CommandError::DemoFailed { failed }),
        }
    }
}
