//! Why a command did not do what was asked.

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
    /// A name.
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

/// The classes of failure that scripts tell apart, one exit code each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorErrorKind {
    /// Nothing changed; the store is away or its content is damaged. Exit code 1.
    Failed,
    /// The command is not one that can be done as given. Exit code 2.
    Invalid,
    /// Nothing changed: another was first, or a rule forbids it. Exit code 3.
    Refused,
    /// The change may or may not have taken effect. Exit code 4.
    Unknown,
}

/// A command did not do what was asked.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(super)))]
pub enum OperatorError {
    /// The store stayed away; nothing changed.
    #[snafu(display("{step}: {detail}; nothing was changed"))]
    StoreUnavailable {
        /// What was being done.
        step: String,
        /// How the store failed.
        detail: String,
    },
    /// The store refused a request; nothing changed by it.
    #[snafu(display("{step}: the store refused: {detail}"))]
    StoreRefused {
        /// What was being done.
        step: String,
        /// The store's words.
        detail: String,
    },
    /// An object in the store is not what it should be.
    #[snafu(display("{object} is malformed: {detail}"))]
    Malformed {
        /// The object.
        object: StoredName,
        /// How.
        detail: String,
    },
    /// An object cannot be written as JSON.
    #[snafu(display("{object} cannot be encoded: {detail}"))]
    Encode {
        /// The object.
        object: StoredName,
        /// How.
        detail: String,
    },
    /// The version is not in the store.
    #[snafu(display("version {version} is not published"))]
    NotPublished {
        /// Version.
        version: BundleVersion,
    },
    /// The version is in the store with another content.
    #[snafu(display(
        "version {version} is already published with digest {published}, not {own}; give the new content a new version"
    ))]
    PublishedDiffers {
        /// Version.
        version: BundleVersion,
        /// Digest in the store.
        published: Digest,
        /// Digest of what was to be published.
        own: Digest,
    },
    /// A published bundle does not have the digest that it is stored with.
    #[snafu(display("published version {version} has digest {found}, not {stated}"))]
    DigestMismatch {
        /// Version.
        version: BundleVersion,
        /// Digest worked out from its content.
        found: Digest,
        /// Digest stated.
        stated: Digest,
    },
    /// The version has no approval.
    #[snafu(display("version {version} is not approved"))]
    NotApproved {
        /// Version.
        version: BundleVersion,
    },
    /// The approval does not hold.
    #[snafu(display("version {version} is not validly approved: {source}"))]
    ApprovalRefused {
        /// Version.
        version: BundleVersion,
        /// Why.
        source: ApprovalError,
    },
    /// Another approval took the place.
    #[snafu(display("version {version} was approved with key {key_id:?} meanwhile"))]
    ApprovedByAnother {
        /// Version.
        version: BundleVersion,
        /// Key of the approval in the store.
        key_id: String,
    },
    /// Another operator put a generation in force first.
    #[snafu(display("another was first: {}", describe_entry(Some(winner))))]
    LostRace {
        /// The generation that won, and who put it in force.
        winner: Box<RolloutHistory>,
    },
    /// The generation in force is not the expected one.
    #[snafu(display(
        "generation {expected} is not in force: {}",
        describe_entry(found.as_deref())
    ))]
    UnexpectedGeneration {
        /// Expected by the operator.
        expected: Generation,
        /// In force; absent before the first.
        found: Option<Box<RolloutHistory>>,
    },
    /// Exactly this is in force already.
    #[snafu(display("version {version} is already in force as generation {generation}"))]
    AlreadyActive {
        /// Version.
        version: BundleVersion,
        /// Generation.
        generation: Generation,
    },
    /// Automation is kept out.
    #[snafu(display("rollouts are held by {holder}: {reason}"))]
    Held {
        /// Who holds.
        holder: String,
        /// Why.
        reason: String,
    },
    /// There was no rollout yet.
    #[snafu(display("nothing was ever rolled out"))]
    NoRollout,
    /// There is no earlier generation with another version, or none with the version asked for.
    #[snafu(display("there is no earlier version to roll back to"))]
    NothingToRollBackTo,
    /// The register kept changing under the command.
    #[snafu(display("the rollout register kept changing; nothing was changed by this command"))]
    TooManyRestarts,
    /// A generation number would overflow.
    #[snafu(display("there is no generation after {last}"))]
    NoGenerationLeft {
        /// The last one.
        last: Generation,
    },
    /// The answer to a write was lost and the store does not show what came of it.
    #[snafu(display("{step}: the outcome is unknown; it may yet take effect as change {change}"))]
    OutcomeUnknown {
        /// What was being done.
        step: String,
        /// Change to look for.
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
    /// The class of the failure.
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
