//! Hold and release of rollouts by automation; the generation does not change.

use super::exchange::{self, Flow, NextStep, Reply};
use super::register::{self, StoredRegister};
use super::{OperatorError, OperatorOutcome};
use thornbridge_config::objects::RolloutHold;
use thornbridge_proto::ChangeId;
use thornbridge_proto::platform::{PlatformFailure, StoredObject};

#[derive(Clone, Debug)]
pub(super) struct HoldFlow {
    hold: Option<RolloutHold>,
    change: ChangeId,
    restarts: u32,
    base: Option<StoredRegister>,
    outcome_unknown: bool,
}

impl HoldFlow {
    pub(super) fn new(hold: Option<RolloutHold>, change: ChangeId, restarts: u32) -> Self {
        Self {
            hold,
            change,
            restarts,
            base: None,
            outcome_unknown: false,
        }
    }

    fn register_read(&mut self, object: Option<StoredObject>) -> NextStep {
        let stored = match register::decode(object) {
            Ok(Some(stored)) => stored,
            Ok(None) => return NextStep::done(Err(OperatorError::NoRollout)),
            Err(error) => return NextStep::done(Err(error)),
        };
        if stored.is_by(&self.change) || stored.rollout.hold == self.hold {
            return NextStep::done(Ok(self.outcome()));
        }
        if let (Some(hold), Some(_)) = (&stored.rollout.hold, &self.hold) {
            return NextStep::done(Err(OperatorError::Held {
                holder: hold.holder.clone(),
                reason: hold.reason.clone(),
            }));
        }
        if self.outcome_unknown && self.unchanged(&stored) {
            return NextStep::RetryRead;
        }
        self.write(stored)
    }

    fn unchanged(&self, stored: &StoredRegister) -> bool {
        let base = self.base.as_ref();
        base.is_some_and(|base| base.resource_version == stored.resource_version)
    }

    /// Writes the register. An earlier write of this command can no longer take effect, since the
    /// resource version in its precondition has changed.
    fn write(&mut self, stored: StoredRegister) -> NextStep {
        if self.base.is_some() {
            if self.restarts == 0 {
                return NextStep::done(Err(OperatorError::TooManyRestarts));
            }
            self.restarts -= 1;
        }
        self.outcome_unknown = false;
        let mut rollout = stored.rollout.clone();
        rollout.hold.clone_from(&self.hold);
        rollout.written_by = self.change.clone();
        let base = self.base.insert(stored);
        register::write(Some(base), &rollout)
    }

    fn outcome(&self) -> OperatorOutcome {
        match &self.hold {
            Some(hold) => OperatorOutcome::Held(hold.clone()),
            None => OperatorOutcome::Released,
        }
    }

    fn description(&self) -> &'static str {
        match self.hold {
            Some(_) => "holding rollouts",
            None => "releasing rollouts",
        }
    }
}

impl Flow for HoldFlow {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn start(&mut self) -> NextStep {
        register::read()
    }

    fn handle_reply(&mut self, reply: Reply) -> NextStep {
        match reply {
            Reply::Object(object) => self.register_read(object),
            Reply::Written => NextStep::done(Ok(self.outcome())),
            Reply::Conflict => register::read(),
            Reply::Lost => {
                self.outcome_unknown = true;
                register::read()
            }
        }
    }

    fn retries_exhausted(
        &mut self,
        failure: &PlatformFailure,
    ) -> Result<OperatorOutcome, OperatorError> {
        if self.outcome_unknown {
            return Err(OperatorError::OutcomeUnknown {
                step: self.description().to_owned(),
                change: self.change.clone(),
            });
        }
        Err(exchange::unavailable(self.description(), failure))
    }
}
