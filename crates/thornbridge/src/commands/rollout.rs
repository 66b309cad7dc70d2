//! `thornbridge rollout`: which approved version is in force.

mod wait;

use crate::error::CommandError;
use crate::operator;
use crate::operator_report;
use crate::output::{self, Format};
use bpaf::Bpaf;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thornbridge_config::approval::TrustedKey;
use thornbridge_config::objects::RolloutHold;
use thornbridge_config::parse;
use thornbridge_core::operator::{OperatorCommand, RolloutRequest};
use thornbridge_proto::{BundleVersion, Generation};

/// Entries of the history that are shown by default.
const HISTORY_ENTRIES: usize = 20;

/// Time that `rollout wait` gives by default: well beyond the few seconds that a rollout takes.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Commands on rollouts:
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(rollout))]
pub enum Rollout {
    /// Put an approved version in force as the next generation
    ///
    ///
    /// Exit code 3 where another was first, the version is not approved, or rollouts are held.
    ///
    ///
    /// Example: thornbridge rollout start 1 --settings node.toml
    #[bpaf(command)]
    Start {
        #[bpaf(external(trust))]
        trust: Trust,
        #[bpaf(external(origin))]
        origin: Origin,
        /// Refuse unless this generation is in force
        #[bpaf(argument("GENERATION"))]
        expected_generation: Option<u64>,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Version to put in force
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Put an earlier version in force again, as a new generation
    ///
    ///
    /// Example: thornbridge rollout rollback --settings node.toml
    #[bpaf(command)]
    Rollback {
        #[bpaf(external(trust))]
        trust: Trust,
        #[bpaf(external(origin))]
        origin: Origin,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Version to go back to; the one before the present one where absent
        #[bpaf(positional("VERSION"))]
        version: Option<String>,
    },
    /// Wait until all live nodes have a generation in force; name those that have not
    ///
    ///
    /// The live nodes are those that the nodes given know of. Exit code 1 where some have not
    /// got the generation in time.
    ///
    ///
    /// Example: thornbridge rollout wait --node 127.0.0.1:20201 --platform 127.0.0.1:20000
    #[bpaf(command)]
    Wait(#[bpaf(external(wait::wait))] wait::Wait),
    /// Show the generation in force and who holds automation out
    ///
    ///
    /// Example: thornbridge rollout status --platform 127.0.0.1:20000
    #[bpaf(command)]
    Status {
        /// Platform's address; also from the environment
        #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"))]
        platform: SocketAddr,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
    },
    /// Show for each generation who, when, version, digest, approval and change
    ///
    ///
    /// Example: thornbridge rollout history --platform 127.0.0.1:20000
    #[bpaf(command)]
    History {
        /// Platform's address; also from the environment
        #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"))]
        platform: SocketAddr,
        /// Most generations shown, newest first
        #[bpaf(argument("NUMBER"), fallback(HISTORY_ENTRIES))]
        limit: usize,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
    },
    /// Keep automation out until released
    ///
    ///
    /// Example: thornbridge rollout hold "flood relief today" --platform 127.0.0.1:20000
    #[bpaf(command)]
    Hold {
        /// Platform's address; also from the environment
        #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"))]
        platform: SocketAddr,
        /// Who holds
        #[bpaf(argument("NAME"), env("USER"), fallback("operator".to_owned()))]
        author: String,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
        /// Why
        #[bpaf(positional("REASON"))]
        reason: String,
    },
    /// Let automation in again
    ///
    ///
    /// Example: thornbridge rollout release --platform 127.0.0.1:20000
    #[bpaf(command)]
    Release {
        /// Platform's address; also from the environment
        #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"))]
        platform: SocketAddr,
        /// Form of the result: text or json
        #[bpaf(argument("FORMAT"), fallback(Format::Text))]
        format: Format,
    },
}

/// Whose approvals count, and which platform.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(trust))]
pub struct Trust {
    /// Settings of a node: its trusted keys and its platform
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Platform's address, where it is not that of the settings
    #[bpaf(argument("ADDRESS"), env("THORNBRIDGE_PLATFORM"), optional)]
    platform: Option<SocketAddr>,
}

/// Who asks.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(origin))]
pub struct Origin {
    /// Who asks, for the history
    #[bpaf(argument("NAME"), env("USER"), fallback("operator".to_owned()))]
    author: String,
    /// Asked by automation, which a hold keeps out
    automation: bool,
}

impl Trust {
    fn read(&self) -> Result<(SocketAddr, Vec<TrustedKey>), CommandError> {
        let settings = parse::read_settings(Path::new(&self.settings))?;
        let platform = self.platform.unwrap_or(settings.platform_address);
        Ok((platform, settings.trusted_keys))
    }
}

impl Rollout {
    /// Runs the command.
    pub async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Wait(wait) => wait.run().await,
            Self::Start {
                trust,
                origin,
                expected_generation,
                format,
                version,
            } => start(trust, origin, expected_generation, format, version).await,
            Self::Rollback {
                trust,
                origin,
                format,
                version,
            } => roll_back(trust, origin, format, version).await,
            Self::Status { platform, format } => {
                execute(platform, OperatorCommand::Current, format).await
            }
            Self::History {
                platform,
                limit,
                format,
            } => execute(platform, OperatorCommand::History { limit }, format).await,
            Self::Hold {
                platform,
                author,
                format,
                reason,
            } => {
                let holder = author;
                let hold = RolloutHold { holder, reason };
                execute(platform, OperatorCommand::RolloutHold(hold), format).await
            }
            Self::Release { platform, format } => {
                execute(platform, OperatorCommand::RolloutRelease, format).await
            }
        }
    }
}

async fn start(
    trust: Trust,
    origin: Origin,
    expected_generation: Option<u64>,
    format: Format,
    version: String,
) -> Result<(), CommandError> {
    let (platform, trusted_keys) = trust.read()?;
    let request = RolloutRequest {
        version: BundleVersion::new(version),
        origin: operator::origin(origin.author, origin.automation),
        expected: expected_generation.map(Generation),
        trusted_keys,
    };
    execute(platform, OperatorCommand::RolloutStart(request), format).await
}

async fn roll_back(
    trust: Trust,
    origin: Origin,
    format: Format,
    version: Option<String>,
) -> Result<(), CommandError> {
    let (platform, trusted_keys) = trust.read()?;
    let command = OperatorCommand::RolloutRollback {
        version: version.map(BundleVersion::new),
        origin: operator::origin(origin.author, origin.automation),
        trusted_keys,
    };
    execute(platform, command, format).await
}

async fn execute(
    platform: SocketAddr,
    command: OperatorCommand,
    format: Format,
) -> Result<(), CommandError> {
    let outcome = operator::execute(platform, command).await?;
    output::print(format, &outcome, operator_report::as_text)
}
