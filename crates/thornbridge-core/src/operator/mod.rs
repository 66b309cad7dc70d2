//! Operators' commands as state machines without I/O: publish, approve, roll out, hold, history.
//!
//! An [`OperatorSession`] asks for one platform request at a time; the driver carries it out and
//! hands the answer to [`OperatorSession::step`]. The command line drives it over HTTP, the
//! rehearsal in virtual time.
//!
//! No write is sent twice unless the first certainly had no effect. After a lost answer the
//! session reads back and recognises its own change by its [`ChangeId`] or by its content.

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

use exchange::{Answer, Flow, Next};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thornbridge_config::approval::{Approval, SigningKey, TrustedKey};
use thornbridge_config::bundle::Bundle;
use thornbridge_config::objects::{Rollout, RolloutHistory, RolloutHold, RolloutOrigin};
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::platform::{PlatformFailure, PlatformRequest, PlatformResponse};
use thornbridge_proto::{BundleVersion, ChangeId, Digest, Generation};

/// What an operator wants done.
#[derive(Clone, Debug)]
pub enum OperatorCommand {
    /// Store a bundle under its version, once.
    Publish {
        /// The bundle, already validated.
        bundle: Bundle,
    },
    /// Sign a published version.
    Approve {
        /// Version to approve.
        version: BundleVersion,
        /// Name of the key, as in the nodes' trusted list.
        key_id: String,
        /// The secret key.
        key: SigningKey,
    },
    /// Put an approved version in force.
    RolloutStart(RolloutRequest),
    /// Put an earlier version in force again, as a new generation.
    RolloutRollback {
        /// Version to go back to; the one in force before the present one where absent.
        version: Option<BundleVersion>,
        /// Who asks.
        origin: RolloutOrigin,
        /// Keys that may approve.
        trusted_keys: Vec<TrustedKey>,
    },
    /// Keep automation out.
    RolloutHold(RolloutHold),
    /// Let automation in again.
    RolloutRelease,
    /// Read the last generations, newest first.
    History {
        /// Most entries wanted.
        limit: usize,
    },
    /// Read the register.
    Current,
}

/// A rollout to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRequest {
    /// Version to put in force.
    pub version: BundleVersion,
    /// Who asks.
    pub origin: RolloutOrigin,
    /// Refuse unless this generation is in force.
    pub expected: Option<Generation>,
    /// Keys that may approve.
    pub trusted_keys: Vec<TrustedKey>,
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorOutcome {
    /// The bundle is in the store.
    Published {
        /// Version.
        version: BundleVersion,
        /// Digest.
        digest: Digest,
    },
    /// The approval is in the store.
    Approved(Approval),
    /// The generation was put in force.
    RolledOut {
        /// The generation.
        record: GenerationRecord,
        /// Whether its history entry was seen in the store. Where it was not, the next operator's
        /// command writes it.
        history_written: bool,
    },
    /// Automation is kept out.
    Held(RolloutHold),
    /// Automation is let in.
    Released,
    /// The last generations, newest first.
    History(Vec<RolloutHistory>),
    /// The register; absent before the first rollout.
    Current(Option<Rollout>),
}

/// What the driver does next.
#[derive(Debug)]
pub enum OperatorStep {
    /// Carry out, and call [`OperatorSession::step`] with the answer.
    Request(PlatformRequest),
    /// Wait this long, and call [`OperatorSession::step`] with `None`.
    Wait(Duration),
    /// The command ended.
    Done(Result<OperatorOutcome, OperatorError>),
}

/// Tunable values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorParameters {
    /// First pause before a request is repeated; doubled each time.
    pub first_pause: Duration,
    /// Longest pause: short beside an operator's patience, long beside a store's brief hiccup.
    pub longest_pause: Duration,
    /// Most repetitions of one request that certainly changed nothing. With the pauses above, the
    /// store may be away for about 20 s before a command fails.
    pub repetitions: u32,
    /// Most times that a command starts over because the register changed under it without a
    /// new generation, as by a hold.
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

/// One command on its way.
#[derive(Clone, Debug)]
pub struct OperatorSession {
    parameters: OperatorParameters,
    flow: Box<dyn Flow>,
    asked: Option<PlatformRequest>,
    repeated: u32,
}

impl OperatorSession {
    /// A session with default parameters. The change id must never have been used before.
    pub fn new(command: OperatorCommand, change: ChangeId) -> Self {
        Self::with_parameters(command, change, OperatorParameters::default())
    }

    /// A session with the given parameters.
    pub fn with_parameters(
        command: OperatorCommand,
        change: ChangeId,
        parameters: OperatorParameters,
    ) -> Self {
        let restarts = parameters.restarts;
        Self {
            parameters,
            flow: flow_of(command, change, restarts),
            asked: None,
            repeated: 0,
        }
    }

    /// Takes the answer to the last request, if there was one, and says what comes next.
    pub fn step(
        &mut self,
        last: Option<Result<PlatformResponse, PlatformFailure>>,
    ) -> OperatorStep {
        let Some(result) = last else {
            return self.ask_again();
        };
        let Some(asked) = &self.asked else {
            return self.ask_again();
        };
        match exchange::classify(asked, result) {
            Ok(answer) => self.advance(answer),
            Err(failure) if exchange::changed_nothing(asked, &failure) => self.pause(&failure),
            Err(failure) => OperatorStep::Done(Err(exchange::error_of(asked, failure))),
        }
    }

    fn ask_again(&mut self) -> OperatorStep {
        match self.asked.clone() {
            Some(request) => OperatorStep::Request(request),
            None => {
                let next = self.flow.begin();
                self.follow(next)
            }
        }
    }

    fn advance(&mut self, answer: Answer) -> OperatorStep {
        let next = self.flow.answer(answer);
        self.follow(next)
    }

    fn follow(&mut self, next: Next) -> OperatorStep {
        match next {
            Next::Ask(request) => {
                self.repeated = 0;
                self.asked = Some(request.clone());
                OperatorStep::Request(request)
            }
            Next::ReadAgain => self.pause(&PlatformFailure::NoAnswer),
            Next::Done(result) => OperatorStep::Done(*result),
        }
    }

    fn pause(&mut self, failure: &PlatformFailure) -> OperatorStep {
        if self.repeated >= self.parameters.repetitions {
            return OperatorStep::Done(self.flow.give_up(failure));
        }
        let factor = 1 << self.repeated.min(16);
        self.repeated += 1;
        let pause = self.parameters.first_pause.saturating_mul(factor);
        OperatorStep::Wait(pause.min(self.parameters.longest_pause))
    }
}

fn flow_of(command: OperatorCommand, change: ChangeId, restarts: u32) -> Box<dyn Flow> {
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
