//! Operator commands as state machines without I/O: publish, approve, roll out, hold, history.
//!
//! An [`OperatorSession`] issues one platform request at a time; the driver executes it and passes
//! the reply to [`OperatorSession::step`]. The command line drives sessions over HTTP, the
//! simulator in virtual time.
//!
//! A write is sent again only if the first one certainly had no effect. After a lost reply the
//! session reads the object back and recognises its own change by its [`ChangeId`] or content.

mod approve;
mod error;
mod exchange;
mod history;
mod hold;
mod publish;
mod register;
mod rollback;
mod rollout;

pub use error::{OperatorError, OperatorErrorKind, StoredName};

use exchange::{Flow, NextStep, Reply};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_config::approval::{Approval, SigningKey, TrustedKey};
use thornbridge_config::bundle::Bundle;
use thornbridge_config::objects::{Rollout, RolloutHistory, RolloutHold, RolloutOrigin};
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::platform::{PlatformFailure, PlatformRequest, PlatformResponse};
use thornbridge_proto::{BundleVersion, ChangeId, Digest, Generation};

/// A command of an operator.
#[derive(Clone, Debug)]
pub enum OperatorCommand {
    /// Store a bundle under its version; a version is never overwritten.
    Publish {
        /// The bundle, already validated.
        bundle: Bundle,
    },
    /// Sign a published version and store the approval.
    Approve {
        /// Version to approve.
        version: BundleVersion,
        /// Id of the key in the nodes' list of trusted keys.
        key_id: String,
        /// The secret key.
        key: SigningKey,
    },
    /// Activate an approved version.
    RolloutStart(RolloutRequest),
    /// Activate an earlier version again, as a new generation.
    RolloutRollback {
        /// Version to activate; `None` for the one active before the current one.
        version: Option<BundleVersion>,
        /// Author of the rollout.
        origin: RolloutOrigin,
        /// Keys whose approvals are valid.
        trusted_keys: Vec<TrustedKey>,
    },
    /// Refuse rollouts by automation.
    RolloutHold(RolloutHold),
    /// Allow rollouts by automation again.
    RolloutRelease,
    /// Read the last generations, newest first.
    History {
        /// Most entries to read.
        limit: usize,
    },
    /// Read the rollout register.
    Current,
}

/// Request for a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    /// Version to activate.
    pub version: BundleVersion,
    /// Author of the rollout.
    pub origin: RolloutOrigin,
    /// Refuse unless this generation is active.
    pub expected: Option<Generation>,
    /// Keys whose approvals are valid.
    pub trusted_keys: Vec<TrustedKey>,
}

/// Result of a successful command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorOutcome {
    /// The bundle is in the store.
    Published {
        /// Published version.
        version: BundleVersion,
        /// Digest of the bundle.
        digest: Digest,
    },
    /// The approval is in the store.
    Approved(Approval),
    /// The generation is active.
    RolledOut {
        /// Record of the generation.
        record: GenerationRecord,
        /// Whether the history entry is known to be in the store. If it is missing, the next rollout
        /// writes it.
        history_written: bool,
    },
    /// Rollouts by automation are refused.
    Held(RolloutHold),
    /// Rollouts by automation are allowed.
    Released,
    /// The last generations, newest first.
    History(Vec<RolloutHistory>),
    /// The rollout register; `None` before the first rollout.
    Current(Option<Rollout>),
}

/// Next step of the driver.
#[derive(Debug)]
pub enum OperatorStep {
    /// Execute, then call [`OperatorSession::step`] with the result.
    Request(PlatformRequest),
    /// Wait this long, then call [`OperatorSession::step`] with `None`.
    Wait(Duration),
    /// The command has ended.
    Done(Result<OperatorOutcome, OperatorError>),
}

/// Retry parameters of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorParameters {
    /// Backoff before the first retry of a request; doubled each time.
    pub first_pause: Duration,
    /// Longest backoff.
    pub longest_pause: Duration,
    /// Most retries of a request that certainly changed nothing. With the backoff, the store may be
    /// unavailable for about 20 s before a command fails.
    pub repetitions: u32,
    /// Most restarts of a command after a concurrent write of the register without a new
    /// generation, such as a hold.
    pub restarts: u32,
}

impl Default for OperatorParameters {
    fn default() -> Self {
        Self {
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(2),
            repetitions: 14,
            restarts: 3,
        }
    }
}

/// A running command.
#[derive(Clone, Debug)]
pub struct OperatorSession {
    parameters: OperatorParameters,
    flow: Box<dyn Flow>,
    request: Option<PlatformRequest>,
    retries: u32,
}

impl OperatorSession {
    /// A session with default parameters. The change id must be unique.
    pub fn new(command: OperatorCommand, change: ChangeId) -> Self {
        Self::with_parameters(command, change, OperatorParameters::default())
    }

    /// A session with the given parameters. The change id must be unique.
    pub fn with_parameters(
        command: OperatorCommand,
        change: ChangeId,
        parameters: OperatorParameters,
    ) -> Self {
        let restarts = parameters.restarts;
        Self {
            parameters,
            flow: new_flow(command, change, restarts),
            request: None,
            retries: 0,
        }
    }

    /// Takes the result of the last request, or `None` at the start and after a wait.
    pub fn step(
        &mut self,
        reply: Option<Result<PlatformResponse, PlatformFailure>>,
    ) -> OperatorStep {
        let Some(result) = reply else {
            return self.resend();
        };
        let Some(request) = &self.request else {
            return self.resend();
        };
        match exchange::classify(request, result) {
            Ok(reply) => self.advance(reply),
            Err(failure) if exchange::is_safe_to_retry(request, &failure) => {
                self.back_off(&failure)
            }
            Err(failure) => OperatorStep::Done(Err(exchange::store_error(request, failure))),
        }
    }

    fn resend(&mut self) -> OperatorStep {
        match self.request.clone() {
            Some(request) => OperatorStep::Request(request),
            None => {
                let next = self.flow.start();
                self.apply_step(next)
            }
        }
    }

    fn advance(&mut self, reply: Reply) -> OperatorStep {
        let next = self.flow.handle_reply(reply);
        self.apply_step(next)
    }

    fn apply_step(&mut self, next: NextStep) -> OperatorStep {
        match next {
            NextStep::Request(request) => {
                self.retries = 0;
                self.request = Some(request.clone());
                OperatorStep::Request(request)
            }
            NextStep::RetryRead => self.back_off(&PlatformFailure::NoAnswer),
            NextStep::Done(result) => OperatorStep::Done(*result),
        }
    }

    fn back_off(&mut self, failure: &PlatformFailure) -> OperatorStep {
        if self.retries >= self.parameters.repetitions {
            return OperatorStep::Done(self.flow.retries_exhausted(failure));
        }
        let factor = 1 << self.retries.min(16);
        self.retries += 1;
        let backoff = self.parameters.first_pause.saturating_mul(factor);
        OperatorStep::Wait(backoff.min(self.parameters.longest_pause))
    }
}

fn new_flow(command: OperatorCommand, change: ChangeId, restarts: u32) -> Box<dyn Flow> {
    match command {
        OperatorCommand::Publish { bundle } => Box::new(publish::Publish::new(bundle, change)),
        OperatorCommand::Approve {
            version,
            key_id,
            key,
        } => Box::new(approve::Approve::new(version, key_id, key, change)),
        OperatorCommand::RolloutStart(request) => {
            Box::new(rollout::RolloutFlow::new(request, change, restarts))
        }
        OperatorCommand::RolloutRollback {
            version,
            origin,
            trusted_keys,
        } => Box::new(rollback::Rollback::new(
            version,
            origin,
            trusted_keys,
            change,
            restarts,
        )),
        OperatorCommand::RolloutHold(hold) => {
            Box::new(hold::HoldFlow::new(Some(hold), change, restarts))
        }
        OperatorCommand::RolloutRelease => Box::new(hold::HoldFlow::new(None, change, restarts)),
        OperatorCommand::History { limit } => Box::new(history::HistoryFlow::new(limit)),
        OperatorCommand::Current => Box::new(history::CurrentFlow),
    }
}
