//! Publication: creates a bundle under its version; a stored version never changes.

use super::exchange::{self, Flow, NextStep, Reply};
use super::{OperatorError, OperatorOutcome};
use thornbridge_config::bundle::Bundle;
use thornbridge_config::canonical;
use thornbridge_config::objects::PublishedBundle;
use thornbridge_proto::platform::{ObjectKind, PlatformFailure, Precondition, StoredObject};
use thornbridge_proto::{BundleVersion, ChangeId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Writing,
    ReadingBack,
}

#[derive(Clone, Debug)]
pub(super) struct Publish {
    published: PublishedBundle,
    stage: Stage,
    outcome_unknown: bool,
}

impl Publish {
    pub(super) fn new(bundle: Bundle, change: ChangeId) -> Self {
        Self {
            published: PublishedBundle {
                bundle,
                digest: Default::default(),
                change,
            },
            stage: Stage::Reading,
            outcome_unknown: false,
        }
    }

    fn version(&self) -> &BundleVersion {
        &self.published.bundle.version
    }

    fn read(&self) -> NextStep {
        exchange::get(ObjectKind::Bundle, self.version().as_str())
    }

    fn write(&mut self) -> NextStep {
        self.stage = Stage::Writing;
        let name = self.version().as_str().to_owned();
        exchange::put(
            ObjectKind::Bundle,
            &name,
            &self.published,
            Precondition::Absent,
        )
    }

    fn compare(&self, object: &StoredObject) -> Result<OperatorOutcome, OperatorError> {
        let stored: PublishedBundle = exchange::decode(object)?;
        if stored.digest != self.published.digest {
            return Err(OperatorError::PublishedDiffers {
                version: self.version().clone(),
                published: stored.digest,
                own: self.published.digest,
            });
        }
        Ok(self.outcome())
    }

    fn outcome(&self) -> OperatorOutcome {
        OperatorOutcome::Published {
            version: self.version().clone(),
            digest: self.published.digest,
        }
    }

    fn description(&self) -> String {
        format!("publishing version {}", self.version())
    }
}

impl Flow for Publish {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn start(&mut self) -> NextStep {
        match canonical::digest(&self.published.bundle) {
            Ok(digest) => {
                self.published.digest = digest;
                self.read()
            }
            Err(error) => NextStep::done(Err(OperatorError::Encode {
                object: super::error::StoredName::new(ObjectKind::Bundle, self.version().as_str()),
                detail: error.to_string(),
            })),
        }
    }

    fn handle_reply(&mut self, reply: Reply) -> NextStep {
        match reply {
            Reply::Object(Some(object)) => NextStep::done(self.compare(&object)),
            Reply::Object(None) if self.stage == Stage::Reading => self.write(),
            Reply::Object(None) => NextStep::RetryRead,
            Reply::Written => NextStep::done(Ok(self.outcome())),
            Reply::Conflict => {
                self.stage = Stage::ReadingBack;
                self.read()
            }
            Reply::Lost => {
                self.stage = Stage::ReadingBack;
                self.outcome_unknown = true;
                self.read()
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
                change: self.published.change.clone(),
            });
        }
        Err(exchange::unavailable(&self.description(), failure))
    }
}
