//! Rolling back: the earlier version is found by walking the history, then rolled out as usual.

use super::exchange::{self, Answer, Flow, Next};
use super::history;
use super::register;
use super::rollout::RolloutFlow;
use super::{OperatorError, OperatorOutcome, RolloutRequest};
use thornbridge_config::approval::TrustedKey;
use thornbridge_config::objects::{RolloutHistory, RolloutOrigin};
use thornbridge_proto::platform::{PlatformFailure, StoredObject};
use thornbridge_proto::{BundleVersion, ChangeId, Generation};

#[derive(Clone, Debug)]
enum Stage {
    ReadingRegister,
    Walking {
        active: BundleVersion,
        expected: Generation,
        at: Generation,
    },
    RollingOut(Box<RolloutFlow>),
}

#[derive(Clone, Debug)]
pub(super) struct Rollback {
    version: Option<BundleVersion>,
    origin: RolloutOrigin,
    trusted_keys: Vec<TrustedKey>,
    change: ChangeId,
    restarts: u32,
    stage: Stage,
}

impl Rollback {
    pub(super) fn new(
        version: Option<BundleVersion>,
        origin: RolloutOrigin,
        trusted_keys: Vec<TrustedKey>,
        change: ChangeId,
        restarts: u32,
    ) -> Self {
        Self {
            version,
            origin,
            trusted_keys,
            change,
            restarts,
            stage: Stage::ReadingRegister,
        }
    }

    fn register_read(&mut self, object: Option<StoredObject>) -> Next {
        let seen = match register::seen(object) {
            Ok(Some(seen)) => seen,
            Ok(None) => return Next::done(Err(OperatorError::NoRollout)),
            Err(error) => return Next::done(Err(error)),
        };
        let current = seen.rollout.current;
        self.walk_to_before(current.generation, current.version, current.generation)
    }

    fn walk_to_before(
        &mut self,
        at: Generation,
        active: BundleVersion,
        expected: Generation,
    ) -> Next {
        if at.0 <= 1 {
            return Next::done(Err(OperatorError::NothingToRollBackTo));
        }
        let at = Generation(at.0 - 1);
        self.stage = Stage::Walking {
            active,
            expected,
            at,
        };
        history::read_entry(at)
    }

    fn entry_read(
        &mut self,
        object: Option<StoredObject>,
        at: Generation,
        active: BundleVersion,
        expected: Generation,
    ) -> Next {
        let entry = match object.as_ref().map(exchange::decode::<RolloutHistory>) {
            Some(Err(error)) => return Next::done(Err(error)),
            Some(Ok(entry)) => entry,
            None => return self.walk_to_before(at, active, expected),
        };
        let found = entry.record.version;
        let wanted = match &self.version {
            Some(version) => found == *version,
            None => found != active,
        };
        if !wanted {
            return self.walk_to_before(at, active, expected);
        }
        self.roll_out(found, expected)
    }

    fn roll_out(&mut self, version: BundleVersion, expected: Generation) -> Next {
        let request = RolloutRequest {
            version,
            origin: self.origin.clone(),
            expected: Some(expected),
            trusted_keys: std::mem::take(&mut self.trusted_keys),
        };
        let mut flow = RolloutFlow::new(request, self.change.clone(), self.restarts);
        let next = flow.begin();
        self.stage = Stage::RollingOut(Box::new(flow));
        next
    }
}

impl Flow for Rollback {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn begin(&mut self) -> Next {
        register::read()
    }

    fn answer(&mut self, answer: Answer) -> Next {
        if let Stage::RollingOut(flow) = &mut self.stage {
            return flow.answer(answer);
        }
        let Answer::Object(object) = answer else {
            return Next::ReadAgain;
        };
        match std::mem::replace(&mut self.stage, Stage::ReadingRegister) {
            Stage::Walking {
                active,
                expected,
                at,
            } => self.entry_read(object, at, active, expected),
            _ => self.register_read(object),
        }
    }

    fn give_up(&mut self, failure: &PlatformFailure) -> Result<OperatorOutcome, OperatorError> {
        match &mut self.stage {
            Stage::RollingOut(flow) => flow.give_up(failure),
            _ => Err(exchange::unavailable(
                "looking for the earlier version",
                failure,
            )),
        }
    }
}
