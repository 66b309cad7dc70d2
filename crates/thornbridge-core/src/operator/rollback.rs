//! Rollback: finds the earlier version in the history, then rolls it out as a new generation.

use super::exchange::{self, Flow, NextStep, Reply};
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
    WalkingHistory {
        active_version: BundleVersion,
        expected: Generation,
        generation: Generation,
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

    fn register_read(&mut self, object: Option<StoredObject>) -> NextStep {
        let stored = match register::decode(object) {
            Ok(Some(stored)) => stored,
            Ok(None) => return NextStep::done(Err(OperatorError::NoRollout)),
            Err(error) => return NextStep::done(Err(error)),
        };
        let current = stored.rollout.current;
        self.read_entry_before(current.generation, current.version, current.generation)
    }

    fn read_entry_before(
        &mut self,
        generation: Generation,
        active_version: BundleVersion,
        expected: Generation,
    ) -> NextStep {
        if generation.0 <= 1 {
            return NextStep::done(Err(OperatorError::NothingToRollBackTo));
        }
        let generation = Generation(generation.0 - 1);
        self.stage = Stage::WalkingHistory {
            active_version,
            expected,
            generation,
        };
        history::read_entry(generation)
    }

    fn entry_read(
        &mut self,
        object: Option<StoredObject>,
        generation: Generation,
        active_version: BundleVersion,
        expected: Generation,
    ) -> NextStep {
        let entry = match object.as_ref().map(exchange::decode::<RolloutHistory>) {
            Some(Err(error)) => return NextStep::done(Err(error)),
            Some(Ok(entry)) => entry,
            None => return self.read_entry_before(generation, active_version, expected),
        };
        let found = entry.record.version;
        let matches = match &self.version {
            Some(version) => found == *version,
            None => found != active_version,
        };
        if !matches {
            return self.read_entry_before(generation, active_version, expected);
        }
        self.roll_out(found, expected)
    }

    fn roll_out(&mut self, version: BundleVersion, expected: Generation) -> NextStep {
        let request = RolloutRequest {
            version,
            origin: self.origin.clone(),
            expected: Some(expected),
            trusted_keys: std::mem::take(&mut self.trusted_keys),
        };
        let mut flow = RolloutFlow::new(request, self.change.clone(), self.restarts);
        let next = flow.start();
        self.stage = Stage::RollingOut(Box::new(flow));
        next
    }
}

impl Flow for Rollback {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn start(&mut self) -> NextStep {
        register::read()
    }

    fn handle_reply(&mut self, reply: Reply) -> NextStep {
        if let Stage::RollingOut(flow) = &mut self.stage {
            return flow.handle_reply(reply);
        }
        let Reply::Object(object) = reply else {
            return NextStep::RetryRead;
        };
        match std::mem::replace(&mut self.stage, Stage::ReadingRegister) {
            Stage::WalkingHistory {
                active_version,
                expected,
                generation,
            } => self.entry_read(object, generation, active_version, expected),
            _ => self.register_read(object),
        }
    }

    fn retries_exhausted(
        &mut self,
        failure: &PlatformFailure,
    ) -> Result<OperatorOutcome, OperatorError> {
        match &mut self.stage {
            Stage::RollingOut(flow) => flow.retries_exhausted(failure),
            _ => Err(exchange::unavailable(
                "looking for the earlier version",
                failure,
            )),
        }
    }
}
