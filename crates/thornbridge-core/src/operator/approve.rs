//! Approval: reads and checks the published bundle, then stores its signed version and digest.

use super::exchange::{self, Flow, NextStep, Reply};
use super::{OperatorError, OperatorOutcome};
use thornbridge_config::approval::{Approval, SigningKey};
use thornbridge_config::canonical;
use thornbridge_config::objects::PublishedBundle;
use thornbridge_proto::platform::{ObjectKind, PlatformFailure, Precondition, StoredObject};
use thornbridge_proto::{BundleVersion, ChangeId, Digest};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    ReadingBundle,
    ReadingApproval,
    Writing,
    ReadingBack,
}

#[derive(Clone, Debug)]
pub(super) struct Approve {
    version: BundleVersion,
    key_id: String,
    key: SigningKey,
    change: ChangeId,
    approval: Option<Approval>,
    stage: Stage,
    outcome_unknown: bool,
}

impl Approve {
    pub(super) fn new(
        version: BundleVersion,
        key_id: String,
        key: SigningKey,
        change: ChangeId,
    ) -> Self {
        Self {
            version,
            key_id,
            key,
            change,
            approval: None,
            stage: Stage::ReadingBundle,
            outcome_unknown: false,
        }
    }

    fn read_approval(&self) -> NextStep {
        exchange::get(ObjectKind::Approval, self.version.as_str())
    }

    fn bundle_read(&mut self, object: Option<StoredObject>) -> NextStep {
        match checked_digest(&self.version, object) {
            Ok(digest) => {
                let version = self.version.clone();
                self.approval = Some(Approval::signed(&self.key_id, &self.key, version, digest));
                self.stage = Stage::ReadingApproval;
                self.read_approval()
            }
            Err(error) => NextStep::done(Err(error)),
        }
    }

    /// Writes the approval unless the same one is stored. An approval by another key is replaced, so
    /// that a version stays valid after a change of keys.
    fn approval_read(&mut self, object: Option<StoredObject>) -> NextStep {
        let Some(object) = object else {
            return self.write(Precondition::Absent);
        };
        if self.is_own(&object) {
            return NextStep::done(Ok(self.outcome()));
        }
        self.write(Precondition::Version(object.resource_version))
    }

    fn read_back(&mut self, object: Option<StoredObject>) -> NextStep {
        match object {
            Some(object) if self.is_own(&object) => NextStep::done(Ok(self.outcome())),
            Some(_) | None if self.outcome_unknown => NextStep::RetryRead,
            Some(object) => NextStep::done(Err(self.conflict_error(&object))),
            None => NextStep::RetryRead,
        }
    }

    fn write(&mut self, precondition: Precondition) -> NextStep {
        self.stage = Stage::Writing;
        let name = self.version.as_str();
        exchange::put(ObjectKind::Approval, name, &self.approval, precondition)
    }

    fn is_own(&self, object: &StoredObject) -> bool {
        let stored = exchange::decode::<Approval>(object);
        stored.is_ok_and(|stored| Some(stored) == self.approval)
    }

    fn conflict_error(&self, object: &StoredObject) -> OperatorError {
        match exchange::decode::<Approval>(object) {
            Ok(approval) => OperatorError::ApprovedByAnother {
                version: self.version.clone(),
                key_id: approval.key_id,
            },
            Err(error) => error,
        }
    }

    fn outcome(&self) -> OperatorOutcome {
        let approval = self.approval.clone();
        OperatorOutcome::Approved(
            approval.expect("the approval is signed before it is written or compared"),
        )
    }

    fn description(&self) -> String {
        format!("approving version {}", self.version)
    }
}

/// Digest of a published bundle, computed from the content and checked against the stated one.
pub(super) fn checked_digest(
    version: &BundleVersion,
    object: Option<StoredObject>,
) -> Result<Digest, OperatorError> {
    let object = object.ok_or_else(|| OperatorError::NotPublished {
        version: version.clone(),
    })?;
    let published: PublishedBundle = exchange::decode(&object)?;
    let malformed = |detail: String| OperatorError::Malformed {
        object: super::error::StoredName::new(ObjectKind::Bundle, version.as_str()),
        detail,
    };
    if published.bundle.version != *version {
        return Err(malformed(format!(
            "expected version {version}, found {}",
            published.bundle.version
        )));
    }
    let found =
        canonical::digest(&published.bundle).map_err(|error| malformed(error.to_string()))?;
    if found != published.digest {
        return Err(OperatorError::DigestMismatch {
            version: version.clone(),
            found,
            stated: published.digest,
        });
    }
    Ok(found)
}

impl Flow for Approve {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn start(&mut self) -> NextStep {
        exchange::get(ObjectKind::Bundle, self.version.as_str())
    }

    fn handle_reply(&mut self, reply: Reply) -> NextStep {
        match reply {
            Reply::Object(object) => match self.stage {
                Stage::ReadingBundle => self.bundle_read(object),
                Stage::ReadingApproval => self.approval_read(object),
                Stage::Writing | Stage::ReadingBack => self.read_back(object),
            },
            Reply::Written => NextStep::done(Ok(self.outcome())),
            Reply::Conflict => {
                self.stage = Stage::ReadingBack;
                self.read_approval()
            }
            Reply::Lost => {
                self.stage = Stage::ReadingBack;
                self.outcome_unknown = true;
                self.read_approval()
            }
        }
    }

    fn retries_exhausted(
        &mut self,
        failure: &PlatformFailure,
    ) -> Result<OperatorOutcome, OperatorError> {
        if self.outcome_unknown {
            return Err(OperatorError::OutcomeUnknown {
                step: self.description(),
                change: self.change.clone(),
            });
        }
        Err(exchange::unavailable(&self.description(), failure))
    }
}
