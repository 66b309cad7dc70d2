//! `thornbridge gateway`: HTTP callers in front of the servers of the users' platform.

use crate::error::{CommandError, ReadFileSnafu};
use bpaf::Bpaf;
use snafu::ResultExt;
use std::path::PathBuf;

/// Run a gateway on the users' platform until SIGTERM, then finish what is in flight
///
///
/// The settings file is the platform's; its path is in the environment. The log goes to standard
/// output, a JSON object a line.
///
///
/// Example: thornbridge gateway --metrics-port 7396
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("gateway"), generate(gateway))]
pub struct Gateway {
    /// Port of all addresses where metrics are served
    #[bpaf(argument("PORT"))]
    metrics_port: Option<u16>,
    /// Tunable values that replace the defaults, in TOML
    #[bpaf(argument("FILE"))]
    policy: Option<PathBuf>,
}

impl Gateway {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        let policy = match &self.policy {
            Some(file) => Some(std::fs::read_to_string(file).context(ReadFileSnafu { file })?),
            None => None,
        };
        thornbridge_platform::run(self.metrics_port, policy).await?;
        Ok(())
    }
}
