//! Rollout of an approved version as the next generation.
//!
//! Checks the approval and the bundle, ensures that the history has the entry of the current
//! generation, swaps the register to the next generation, and writes its history entry.

use super::approve::checked_digest;
use super::exchange::{self, Flow, NextStep, Reply};
use super::history;
use super::register::{self, StoredRegister};
use super::{OperatorError, OperatorOutcome, RolloutRequest};
use thornbridge_config::approval::Approval;
use thornbridge_config::objects::{Rollout, RolloutHistory};
use thornbridge_proto::peer::configuration::GenerationRecord;
use thornbridge_proto::platform::{ObjectKind, PlatformFailure, Precondition, StoredObject};
use thornbridge_proto::{ChangeId, Generation};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    ReadingApproval,
    ReadingBundle,
    ReadingRegister,
    /// Ensuring that the history has the entry of the generation to be replaced.
    EnsuringPreviousEntry,
    Swapping,
    /// Reading the register back after a swap that failed or whose reply was lost.
    ResolvingSwap,
    /// Reading the entry of this rollout's generation, since a later generation is active.
    ResolvingFromHistory,
    /// Writing the entry of this rollout.
    WritingOwnEntry,
}

#[derive(Clone, Debug)]
pub(super) struct RolloutFlow {
    request: RolloutRequest,
    change: ChangeId,
    restarts: u32,
    stage: Stage,
    approval: Option<(Approval, Vec<u8>)>,
    base: Option<StoredRegister>,
    own_rollout: Option<Rollout>,
    outcome_unknown: bool,
}

impl RolloutFlow {
    pub(super) fn new(request: RolloutRequest, change: ChangeId, restarts: u32) -> Self {
        Self {
            request,
            change,
            restarts,
            stage: Stage::ReadingApproval,
            approval: None,
            base: None,
            own_rollout: None,
            outcome_unknown: false,
        }
    }

    fn approval_read(&mut self, object: Option<StoredObject>) -> Result<NextStep, OperatorError> {
        let version = &self.request.version;
        let object = object.ok_or_else(|| OperatorError::NotApproved {
            version: version.clone(),
        })?;
        let approval: Approval = exchange::decode(&object)?;
        if approval.version != *version {
            return Err(OperatorError::NotApproved {
                version: version.clone(),
            });
        }
        let signature = approval
            .verified(&self.request.trusted_keys)
            .map_err(|source| OperatorError::ApprovalRefused {
                version: version.clone(),
                source,
            })?;
        self.approval = Some((approval, signature));
        self.stage = Stage::ReadingBundle;
        Ok(exchange::get(ObjectKind::Bundle, version.as_str()))
    }

    fn bundle_read(&mut self, object: Option<StoredObject>) -> Result<NextStep, OperatorError> {
        let version = &self.request.version;
        let found = checked_digest(version, object)?;
        let stated = self.approval().0.digest;
        if found != stated {
            return Err(OperatorError::DigestMismatch {
                version: version.clone(),
                found,
                stated,
            });
        }
        self.stage = Stage::ReadingRegister;
        Ok(register::read())
    }

    fn register_read(&mut self, object: Option<StoredObject>) -> Result<NextStep, OperatorError> {
        let stored = register::decode(object)?;
        self.check_allowed(stored.as_ref())?;
        let generation = register::next_generation(stored.as_ref())?;
        self.own_rollout = Some(self.successor(stored.as_ref(), generation));
        self.base = stored;
        match &self.base {
            Some(base) => {
                self.stage = Stage::EnsuringPreviousEntry;
                Ok(history::read_entry(base.rollout.current.generation))
            }
            None => Ok(self.swap()),
        }
    }

    fn check_allowed(&self, stored: Option<&StoredRegister>) -> Result<(), OperatorError> {
        let current = stored.map(|stored| &stored.rollout.current);
        let found = current.map_or(Generation(0), |current| current.generation);
        if let Some(expected) = self.request.expected
            && expected != found
        {
            let found = stored.map(|stored| Box::new(stored.rollout.history()));
            return Err(OperatorError::UnexpectedGeneration { expected, found });
        }
        if let Some(hold) = stored.and_then(|stored| stored.rollout.hold.as_ref())
            && self.request.origin.automation
        {
            return Err(OperatorError::Held {
                holder: hold.holder.clone(),
                reason: hold.reason.clone(),
            });
        }
        let (approval, signature) = self.approval();
        let same = current.is_some_and(|current| {
            current.version == approval.version
                && current.digest == approval.digest
                && current.signature == *signature
        });
        if same {
            return Err(OperatorError::AlreadyActive {
                version: approval.version.clone(),
                generation: found,
            });
        }
        Ok(())
    }

    fn successor(&self, stored: Option<&StoredRegister>, generation: Generation) -> Rollout {
        let (approval, signature) = self.approval();
        Rollout {
            current: GenerationRecord {
                generation,
                version: approval.version.clone(),
                digest: approval.digest,
                change: self.change.clone(),
                key_id: approval.key_id.clone(),
                signature: signature.clone(),
            },
            hold: stored.and_then(|stored| stored.rollout.hold.clone()),
            origin: self.request.origin.clone(),
            written_by: self.change.clone(),
        }
    }

    /// Writes the entry of the current generation if missing: its author may have crashed.
    fn ensure_previous_entry(&mut self, object: Option<StoredObject>) -> NextStep {
        match (&object, &self.base) {
            (None, Some(base)) => write_entry(&base.rollout.history()),
            _ => self.swap(),
        }
    }

    fn swap(&mut self) -> NextStep {
        self.stage = Stage::Swapping;
        register::write(self.base.as_ref(), self.own_rollout())
    }

    /// Determines the outcome of the swap from the current register.
    fn resolve_swap(&mut self, object: Option<StoredObject>) -> Result<NextStep, OperatorError> {
        let Some(stored) = register::decode(object)? else {
            return Ok(self.wait_or_restart());
        };
        if stored.rollout.current.change == self.change {
            return Ok(self.write_own_entry());
        }
        let base = self.base.as_ref();
        if base.is_some_and(|base| base.resource_version == stored.resource_version) {
            return Ok(self.wait_or_restart());
        }
        let own_generation = self.own_rollout().current.generation;
        let found = stored.rollout.current.generation;
        if found < own_generation {
            self.outcome_unknown = false;
            return self.restart();
        }
        if found == own_generation || !self.outcome_unknown {
            return Err(lost_race(stored.rollout.history()));
        }
        self.stage = Stage::ResolvingFromHistory;
        Ok(history::read_entry(own_generation))
    }

    /// Determines the outcome of the swap from the history. The author of the later generation has
    /// ensured that the entry exists.
    fn resolve_from_history(
        &mut self,
        object: Option<StoredObject>,
    ) -> Result<NextStep, OperatorError> {
        let Some(object) = object else {
            return Ok(NextStep::RetryRead);
        };
        let entry: RolloutHistory = exchange::decode(&object)?;
        if entry.record.change == self.change {
            return Ok(NextStep::done(Ok(self.outcome(true))));
        }
        Err(lost_race(entry))
    }

    /// Handles an unchanged register: a write whose reply was lost can still arrive.
    fn wait_or_restart(&mut self) -> NextStep {
        if self.outcome_unknown {
            return NextStep::RetryRead;
        }
        self.restart()
            .unwrap_or_else(|error| NextStep::done(Err(error)))
    }

    fn restart(&mut self) -> Result<NextStep, OperatorError> {
        if self.restarts == 0 {
            return Err(OperatorError::TooManyRestarts);
        }
        self.restarts -= 1;
        self.stage = Stage::ReadingRegister;
        Ok(register::read())
    }

    fn write_own_entry(&mut self) -> NextStep {
        self.outcome_unknown = false;
        self.stage = Stage::WritingOwnEntry;
        write_entry(&self.own_rollout().history())
    }

    /// Handles the reply to a history request. All writers of an entry write the same content, so a
    /// conflict means that the entry exists.
    fn entry_replied(&mut self, reply: Reply) -> NextStep {
        let is_own_entry = self.stage == Stage::WritingOwnEntry;
        match reply {
            Reply::Written | Reply::Conflict | Reply::Object(Some(_)) if is_own_entry => {
                NextStep::done(Ok(self.outcome(true)))
            }
            Reply::Written | Reply::Conflict => self.swap(),
            Reply::Lost if is_own_entry => {
                history::read_entry(self.own_rollout().current.generation)
            }
            Reply::Lost => self.read_previous_entry(),
            Reply::Object(None) if is_own_entry => NextStep::RetryRead,
            Reply::Object(object) => self.ensure_previous_entry(object),
        }
    }

    fn read_previous_entry(&self) -> NextStep {
        let own_generation = self.own_rollout().current.generation;
        history::read_entry(Generation(own_generation.0 - 1))
    }

    fn object_read(&mut self, object: Option<StoredObject>) -> Result<NextStep, OperatorError> {
        match self.stage {
            Stage::ReadingApproval => self.approval_read(object),
            Stage::ReadingBundle => self.bundle_read(object),
            Stage::ReadingRegister => self.register_read(object),
            Stage::Swapping | Stage::ResolvingSwap => self.resolve_swap(object),
            Stage::ResolvingFromHistory => self.resolve_from_history(object),
            Stage::EnsuringPreviousEntry | Stage::WritingOwnEntry => {
                Ok(self.entry_replied(Reply::Object(object)))
            }
        }
    }

    fn swap_replied(&mut self, reply: Reply) -> NextStep {
        if matches!(reply, Reply::Written) {
            return self.write_own_entry();
        }
        self.outcome_unknown = matches!(reply, Reply::Lost);
        self.stage = Stage::ResolvingSwap;
        register::read()
    }

    fn outcome(&self, history_written: bool) -> OperatorOutcome {
        OperatorOutcome::RolledOut {
            record: self.own_rollout().current.clone(),
            history_written,
        }
    }

    fn approval(&self) -> &(Approval, Vec<u8>) {
        let approval = self.approval.as_ref();
        approval.expect("the approval is read in the first stage")
    }

    fn own_rollout(&self) -> &Rollout {
        let own_rollout = self.own_rollout.as_ref();
        own_rollout.expect("the register is read before any stage that writes")
    }
}

fn write_entry(entry: &RolloutHistory) -> NextStep {
    let name = history::entry_name(entry.record.generation);
    exchange::put(ObjectKind::History, &name, entry, Precondition::Absent)
}

fn lost_race(winner: RolloutHistory) -> OperatorError {
    OperatorError::LostRace {
        winner: Box::new(winner),
    }
}

impl Flow for RolloutFlow {
    fn boxed_clone(&self) -> Box<dyn Flow> {
        Box::new(self.clone())
    }

    fn start(&mut self) -> NextStep {
        exchange::get(ObjectKind::Approval, self.request.version.as_str())
    }

    fn handle_reply(&mut self, reply: Reply) -> NextStep {
        match (self.stage, reply) {
            (_, Reply::Object(object)) => self
                .object_read(object)
                .unwrap_or_else(|error| NextStep::done(Err(error))),
            (Stage::EnsuringPreviousEntry | Stage::WritingOwnEntry, reply) => {
                self.entry_replied(reply)
            }
            (_, reply) => self.swap_replied(reply),
        }
    }

    fn retries_exhausted(
        &mut self,
        failure: &PlatformFailure,
    ) -> Result<OperatorOutcome, OperatorError> {
        if self.stage == Stage::WritingOwnEntry {
            return Ok(self.outcome(false));
        }
        let step = format!("rolling out version {}", self.request.version);
        if self.outcome_unknown {
            return Err(OperatorError::OutcomeUnknown {
                step,
                change: self.change.clone(),
            });
        }
        Err(exchange::unavailable(&step, failure))
    }
}
