//! Reads of the rollout register and of the history.

use super::exchange::{self, Flow, NextStep, Reply};
use super::register::{self, StoredRegister};
use super::{OperatorError, OperatorOutcome};
use thornbridge_config::objects::RolloutHistory;
use thornbridge_proto::Generation;
use thornbridge_proto::platform::{ObjectKind, PlatformFailure};

/// Object name of a history entry.
pub(super) fn entry_name(generation: Generation) -> String {
    generation.0.to_string()
}

/// Request for the history entry of a generation.
pub(super) fn read_entry(generation: Generation) -> NextStep {
    exchange::get(ObjectKind::History, &entry_name(generation))
}

#[derive(Clone, Debug)]
pub(super) struct HistoryFlow {
    limit: usize,
    last_read: Option<Generation>,
    entries: Vec<RolloutHistory>,
}

impl HistoryFlow {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            last_read: None,
            entries: Vec::new(),
        }
    }

    /// Takes the newest entry from the register, since its history entry can be missing.
    fn register_read(&mut self, register: Option<StoredRegister>) -> NextStep {
        if let Some(register) = register {
            let generation = register.rollout.current.generation;
            self.entries.push(register.rollout.history());
            self.last_read = Some(generation);
        }
        self.read_next()
    }

    fn read_next(&mut self) -> NextStep {
        let before = self.last_read.map_or(0, |generation| generation.0 - 1);
        if before == 0 || self.entries.len() >= self.limit {
            self.entries.truncate(self.limit);
            return NextStep::done(Ok(OperatorOutcome::History(std::mem::take(
                &mut self.entries,
            ))));
        }
        self.last_read = Some(Generation(before));
        read_entry(Generation(before))
    }
}

impl Flow for HistoryFlow {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn start(&mut self) -> NextStep {
        register::read()
    }

    fn handle_reply(&mut self, reply: Reply) -> NextStep {
        let Reply::Object(object) = reply else {
            return NextStep::RetryRead;
        };
        if self.last_read.is_none() {
            return match register::decode(object) {
                Ok(register) => self.register_read(register),
                Err(error) => NextStep::done(Err(error)),
            };
        }
        let entry = object.as_ref().map(exchange::decode::<RolloutHistory>);
        match entry {
            Some(Err(error)) => return NextStep::done(Err(error)),
            Some(Ok(entry)) => self.entries.push(entry),
            None => {}
        }
        self.read_next()
    }

    fn retries_exhausted(
        &mut self,
        failure: &PlatformFailure,
    ) -> Result<OperatorOutcome, OperatorError> {
        Err(exchange::unavailable("reading the history", failure))
    }
}

#[derive(Clone, Debug)]
pub(super) struct CurrentFlow;

impl Flow for CurrentFlow {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn start(&mut self) -> NextStep {
        register::read()
    }

    fn handle_reply(&mut self, reply: Reply) -> NextStep {
        let Reply::Object(object) = reply else {
            return NextStep::RetryRead;
        };
        let register = register::decode(object);
        NextStep::done(
            register.map(|stored| OperatorOutcome::Current(stored.map(|stored| stored.rollout))),
        )
    }

    fn retries_exhausted(
        &mut self,
        failure: &PlatformFailure,
    ) -> Result<OperatorOutcome, OperatorError> {
        Err(exchange::unavailable("reading the register", failure))
    }
}
