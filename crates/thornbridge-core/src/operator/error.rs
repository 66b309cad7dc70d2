//! Errors of operator commands.

use snafu::Snafu;
use std::fmt;
use thornbridge_config::approval::ApprovalError;
use thornbridge_config::objects::RolloutHistory;
use thornbridge_proto::platform::ObjectKind;
use thornbridge_proto::{BundleVersion, ChangeId, Digest, Generation};

/// Kind and name of an object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredName {
    /// Kind.
    pub kind: ObjectKind,
    /// Name within the kind.
    pub name: String,
}

impl StoredName {
    /// An object name.
    pub fn new(kind: ObjectKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_owned(),
        }
    }
}

impl fmt::Display for StoredName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// Classes of failure, each with its own exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorErrorKind {
    /// Nothing changed: the store is unavailable or its content is invalid. Exit code 1.
    Failed,
    /// Nothing changed: the command is invalid. Exit code 2.
    Invalid,
    /// Nothing changed: a concurrent change or a rule prevents the command. Exit code 3.
    Refused,
    /// The command may have taken effect or may still do so. Exit code 4.
    Unknown,
}

/// Error of an operator command.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(super)))]
pub enum OperatorError {
    /// The store was unavailable until the last retry; nothing changed.
    #[snafu(display("{step}: {detail}; nothing was changed"))]
    StoreUnavailable {
        /// Step of the command.
        step: String,
        /// Failure of the store.
        detail: String,
    },
    /// The store refused a request; the request changed nothing.
    #[snafu(display("{step}: the store refused: {detail}"))]
    StoreRefused {
        /// Step of the command.
        step: String,
        /// Message of the store.
        detail: String,
    },
    /// An object in the store is invalid.
    #[snafu(display("{object} is malformed: {detail}"))]
    Malformed {
        /// Kind and name of the object.
        object: StoredName,
        /// Cause.
        detail: String,
    },
    /// An object cannot be encoded as JSON.
    #[snafu(display("{object} cannot be encoded: {detail}"))]
    Encode {
        /// Kind and name of the object.
        object: StoredName,
        /// Cause.
        detail: String,
    },
    /// The version is not in the store.
    #[snafu(display("version {version} is not published"))]
    NotPublished {
        /// Version.
        version: BundleVersion,
    },
    /// The version is in the store with different content.
    #[snafu(display(
        "version {version} is already published with digest {published}, not {own}; give the new content a new version"
    ))]
    PublishedDiffers {
        /// Version.
        version: BundleVersion,
        /// Digest in the store.
        published: Digest,
        /// Digest of the bundle to publish.
        own: Digest,
    },
    /// A published bundle does not match its stated digest.
    #[snafu(display("published version {version} has digest {found}, not {stated}"))]
    DigestMismatch {
        /// Version.
        version: BundleVersion,
        /// Digest of the content.
        found: Digest,
        /// Stated digest.
        stated: Digest,
    },
    /// The version has no approval.
    #[snafu(display("version {version} is not approved"))]
    NotApproved {
        /// Version.
        version: BundleVersion,
    },
    /// The approval is invalid.
    #[snafu(display("version {version} is not validly approved: {source}"))]
    ApprovalRefused {
        /// Version.
        version: BundleVersion,
        /// Cause.
        source: ApprovalError,
    },
    /// A concurrent approval with another key was stored.
    #[snafu(display("version {version} was concurrently approved with key {key_id:?}"))]
    ApprovedByAnother {
        /// Version.
        version: BundleVersion,
        /// Key of the approval in the store.
        key_id: String,
    },
    /// Another operator activated a generation first.
    #[snafu(display("another rollout was first: {}", describe_entry(Some(winner))))]
    LostRace {
        /// History entry of the generation that was activated.
        winner: Box<RolloutHistory>,
    },
    /// The active generation is not the expected one.
    #[snafu(display(
        "generation {expected} is not in force: {}",
        describe_entry(found.as_deref())
    ))]
    UnexpectedGeneration {
        /// Expected by the operator.
        expected: Generation,
        /// Active generation; `None` before the first.
        found: Option<Box<RolloutHistory>>,
    },
    /// The version is already active with the same approval.
    #[snafu(display("version {version} is already in force as generation {generation}"))]
    AlreadyActive {
        /// Version.
        version: BundleVersion,
        /// Generation.
        generation: Generation,
    },
    /// Rollouts by automation are refused by a hold.
    #[snafu(display("rollouts are held by {holder}: {reason}"))]
    Held {
        /// Holder of the hold.
        holder: String,
        /// Reason of the hold.
        reason: String,
    },
    /// There has been no rollout.
    #[snafu(display("nothing was ever rolled out"))]
    NoRollout,
    /// The history has no earlier generation with another version, or with the requested one.
    #[snafu(display("there is no earlier version to roll back to"))]
    NothingToRollBackTo,
    /// Concurrent writes of the register exhausted the restarts.
    #[snafu(display("the rollout register kept changing; nothing was changed by this command"))]
    TooManyRestarts,
    /// A generation number would overflow.
    #[snafu(display("there is no generation after {last}"))]
    NoGenerationLeft {
        /// Last generation.
        last: Generation,
    },
    /// The reply to a write was lost and its outcome could not be read back.
    #[snafu(display("{step}: the outcome is unknown; it may yet take effect as change {change}"))]
    OutcomeUnknown {
        /// Step of the command.
        step: String,
        /// Change id of the command.
        change: ChangeId,
    },
}

fn describe_entry(entry: Option<&RolloutHistory>) -> String {
    let Some(entry) = entry else {
        return "nothing was ever rolled out".to_owned();
    };
    let record = &entry.record;
    format!(
        "generation {} is version {}, put in force by {} (change {})",
        record.generation, record.version, entry.origin.author, record.change
    )
}

impl OperatorError {
    /// Class of the failure.
    pub fn kind(&self) -> OperatorErrorKind {
        match self {
            Self::StoreUnavailable { .. }
            | Self::StoreRefused { .. }
            | Self::Malformed { .. }
            | Self::Encode { .. }
            | Self::DigestMismatch { .. }
            | Self::NoGenerationLeft { .. } => OperatorErrorKind::Failed,
            Self::NotPublished { .. } | Self::NoRollout | Self::NothingToRollBackTo => {
                OperatorErrorKind::Invalid
            }
            Self::PublishedDiffers { .. }
            | Self::NotApproved { .. }
            | Self::ApprovalRefused { .. }
            | Self::ApprovedByAnother { .. }
            | Self::LostRace { .. }
            | Self::UnexpectedGeneration { .. }
            | Self::AlreadyActive { .. }
            | Self::Held { .. }
            | Self::TooManyRestarts => OperatorErrorKind::Refused,
            Self::OutcomeUnknown { .. } => OperatorErrorKind::Unknown,
        }
    }
}
