//! Failures of commands, each with the step and the peer at which it arose, and exit codes.

use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thornbridge_config::canonical::CanonicalError;
use thornbridge_config::diff::DiffError;
use thornbridge_config::keys::KeyError;
use thornbridge_config::parse::ReadError;
use thornbridge_core::operator::{OperatorError, OperatorErrorKind};
use thornbridge_node::NodeError;
use thornbridge_proto::Generation;
use thornbridge_proto::caller::{Executed, Problem};
use thornbridge_rehearsal::load::LoadError;
use thornbridge_rehearsal::rehearse::RehearsalError;
use thornbridge_rehearsal::report::ReportError;
use thornbridge_rehearsal::scale::ScaleError;
use thornbridge_rehearsal::stand_in::server::ListenError;

use crate::fleet::Pending;
use crate::http_client::HttpError;

/// Exit codes; scripts rely on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// 1: the command failed.
    Failed = 1,
    /// 2: wrong usage, or a file that cannot be used.
    Invalid = 2,
    /// 3: someone else was first, or the request was refused; nothing was done.
    Refused = 3,
    /// 4: it may or may not have taken effect.
    Unknown = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Why a command did not do what it was asked for.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The asynchronous runtime cannot start.
    #[snafu(display("cannot start the runtime"))]
    Runtime {
        /// Cause.
        source: std::io::Error,
    },
    /// The gateway cannot run.
    #[snafu(display("{source}"), context(false))]
    Gateway {
        /// Cause, with the step and the peer.
        source: thornbridge_platform::PlatformError,
    },
    /// A file of the operator's cannot be used.
    #[snafu(display("{source}"), context(false))]
    File {
        /// Cause, with every problem.
        source: ReadError,
    },
    /// A key file cannot be made or used.
    #[snafu(display("{source}"), context(false))]
    Key {
        /// Cause.
        source: KeyError,
    },
    /// A bundle has no canonical form.
    #[snafu(display("cannot take the bundle's digest"), context(false))]
    Canonical {
        /// Cause.
        source: CanonicalError,
    },
    /// Two bundles cannot be compared.
    #[snafu(display("{source}"), context(false))]
    Diff {
        /// Cause.
        source: DiffError,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}", file.display()))]
    ReadFile {
        /// The file.
        file: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The process's signals cannot be taken.
    #[snafu(display("cannot take the signals of this process"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
    /// A stand-in cannot listen.
    #[snafu(display("{source}"), context(false))]
    Listen {
        /// Cause.
        source: ListenError,
    },
    /// A load cannot be offered.
    #[snafu(display("{source}"), context(false))]
    Load {
        /// Cause.
        source: LoadError,
    },
    /// Requests of a load ended without a whole response.
    #[snafu(display("load: {failed} requests ended without a whole response"))]
    LoadFailed {
        /// How many.
        failed: u64,
    },
    /// Something that must hold in the demonstration did not.
    #[snafu(display("demo: {failed} checks do not hold"))]
    DemoFailed {
        /// How many.
        failed: usize,
    },
    /// A rehearsal cannot be run as asked.
    #[snafu(display("{source}"), context(false))]
    Rehearsal {
        /// Cause.
        source: RehearsalError,
    },
    /// Sizes that cannot be measured.
    #[snafu(display("{source}"), context(false))]
    Scale {
        /// Cause.
        source: ScaleError,
    },
    /// A rehearsal's page cannot be written.
    #[snafu(display("{source}"), context(false))]
    Report {
        /// Cause.
        source: ReportError,
    },
    /// A rehearsal found an invariant broken.
    #[snafu(display("{violations} violations"))]
    Violations {
        /// How many.
        violations: u64,
    },
    /// The flags contradict each other.
    #[snafu(display("{detail}"))]
    Usage {
        /// What is wrong and what would be right.
        detail: String,
    },
    /// A result cannot be printed or written.
    #[snafu(display("cannot write {what}"))]
    Output {
        /// What was to be written.
        what: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A node could not start or run.
    #[snafu(display("{source}"), context(false))]
    RunNode {
        /// Cause.
        source: NodeError,
    },
    /// A second signal ended the planned stop.
    #[snafu(display("ended by a second signal before the planned stop was complete"))]
    Aborted,
    /// An operator's command did not take effect, or it is unknown whether it did.
    #[snafu(display("platform {platform}: {source}"))]
    Operator {
        /// Platform asked.
        platform: SocketAddr,
        /// Cause, with the step.
        source: OperatorError,
    },
    /// A node did not answer an exchange over HTTP.
    #[snafu(display("{step}: node {peer}"))]
    Node {
        /// What was being done.
        step: &'static str,
        /// Whom it was done with.
        peer: SocketAddr,
        /// Cause.
        source: HttpError,
    },
    /// A node answered something that this program does not understand.
    #[snafu(display("{step}: node {peer} answered with status {status}: {detail}"))]
    UnexpectedAnswer {
        /// What was being done.
        step: &'static str,
        /// Whom it was done with.
        peer: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Start of the body, or what is wrong with it.
        detail: String,
    },
    /// Some of the nodes asked did not answer.
    #[snafu(display("no status from {}", listed(nodes)))]
    NodesSilent {
        /// Their addresses.
        nodes: Vec<SocketAddr>,
    },
    /// Live nodes have not got a generation in time.
    #[snafu(display(
        "rollout wait: generation {generation} is not in force after {} on {}",
        humantime::format_duration(*limit),
        pending.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    ))]
    NotActive {
        /// Generation waited for.
        generation: Generation,
        /// Nodes that have not got it.
        pending: Vec<Pending>,
        /// Time given.
        limit: Duration,
    },
    /// A node was asked to stop and still runs.
    #[snafu(display(
        "drain: node {node} still runs after {}",
        humantime::format_duration(*limit)
    ))]
    NotDrained {
        /// The node.
        node: SocketAddr,
        /// Time given.
        limit: Duration,
    },
    /// A node refused a caller's request.
    #[snafu(display(
        "{step}: node {peer} refused: {} (reason {:?}, executed {:?})",
        problem.detail, problem.reason, problem.executed
    ))]
    RefusedByNode {
        /// What was being done.
        step: &'static str,
        /// Whom it was done with.
        peer: SocketAddr,
        /// The node's words.
        problem: Box<Problem>,
    },
}

impl CommandError {
    /// The exit code of this failure.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. }
            | Self::Key { .. }
            | Self::Usage { .. }
            | Self::ReadFile { .. }
            | Self::Load { .. }
            | Self::Scale { .. }
            | Self::Rehearsal { .. } => ExitStatus::Invalid,
            Self::Operator { source, .. } => match source.kind() {
                OperatorErrorKind::Failed => ExitStatus::Failed,
                OperatorErrorKind::Invalid => ExitStatus::Invalid,
                OperatorErrorKind::Refused => ExitStatus::Refused,
                OperatorErrorKind::Unknown => ExitStatus::Unknown,
            },
            Self::RefusedByNode { problem, .. } => match problem.executed {
                Executed::No => ExitStatus::Refused,
                Executed::Unknown => ExitStatus::Unknown,
            },
            Self::Node { source, .. } if source.may_have_taken_effect() => ExitStatus::Unknown,
            _ => ExitStatus::Failed,
        }
    }
}

fn listed(nodes: &[SocketAddr]) -> String {
    let nodes: Vec<String> = nodes.iter().map(SocketAddr::to_string).collect();
    nodes.join(", ")
}

/// An error and its causes in one text, without repeating a cause that the error already shows.
pub fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let words = error.to_string();
        if !text.contains(&words) {
            text.push_str(": ");
            text.push_str(&words);
        }
        cause = error.source();
    }
    text
}
