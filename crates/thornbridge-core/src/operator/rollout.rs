//! Rolling out: approval and bundle are checked, the last generation's history entry is made sure
//! of, the register is swapped to the next generation, and the new history entry is written.

use super::approve::checked_digest;
use super::exchange::{self, Answer, Flow, Next};
use super::history;
use super::register::{self, RegisterSeen};
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
    /// Entry of the generation before: must be in the history before it is replaced.
    SecuringHistory,
    Swapping,
    /// Register read back after a swap that did not plainly succeed.
    Judging,
    /// Our generation's entry read, because a later generation is in force already.
    JudgingHistory,
    /// Entry of our own generation.
    WritingHistory,
}

#[derive(Clone, Debug)]
pub(super) struct RolloutFlow {
    request: RolloutRequest,
    change: ChangeId,
    restarts: u32,
    stage: Stage,
    approval: Option<(Approval, Vec<u8>)>,
    base: Option<RegisterSeen>,
    own: Option<Rollout>,
    in_doubt: bool,
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
            own: None,
            in_doubt: false,
        }
    }

    fn approval_read(&mut self, object: Option<StoredObject>) -> Result<Next, OperatorError> {
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

    fn bundle_read(&mut self, object: Option<StoredObject>) -> Result<Next, OperatorError> {
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

    fn register_read(&mut self, object: Option<StoredObject>) -> Result<Next, OperatorError> {
        let seen = register::seen(object)?;
        self.check_allowed(seen.as_ref())?;
        let generation = register::next_generation(seen.as_ref())?;
        self.own = Some(self.successor(seen.as_ref(), generation));
        self.base = seen;
        match &self.base {
            Some(base) => {
                self.stage = Stage::SecuringHistory;
                Ok(history::read_entry(base.rollout.current.generation))
            }
            None => Ok(self.swap()),
        }
    }

    fn check_allowed(&self, seen: Option<&RegisterSeen>) -> Result<(), OperatorError> {
        let current = seen.map(|seen| &seen.rollout.current);
        let found = current.map_or(Generation(0), |current| current.generation);
        if let Some(expected) = self.request.expected
            && expected != found
        {
            let found = seen.map(|seen| Box::new(seen.rollout.history()));
            return Err(OperatorError::UnexpectedGeneration { expected, found });
        }
        if let Some(hold) = seen.and_then(|seen| seen.rollout.hold.as_ref())
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

    fn successor(&self, seen: Option<&RegisterSeen>, generation: Generation) -> Rollout {
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
            hold: seen.and_then(|seen| seen.rollout.hold.clone()),
            origin: self.request.origin.clone(),
            written_by: self.change.clone(),
        }
    }

    /// Whoever finds the entry missing writes it: its author may have died after the swap.
    fn history_secured(&mut self, object: Option<StoredObject>) -> Next {
        match (&object, &self.base) {
            (None, Some(base)) => write_entry(&base.rollout.history()),
            _ => self.swap(),
        }
    }

    fn swap(&mut self) -> Next {
        self.stage = Stage::Swapping;
        register::write(self.base.as_ref(), self.own())
    }

    /// Decides what came of the swap from the register as it stands now.
    fn judge(&mut self, object: Option<StoredObject>) -> Result<Next, OperatorError> {
        let Some(seen) = register::seen(object)? else {
            return Ok(self.wait_or_restart());
        };
        if seen.rollout.current.change == self.change {
            return Ok(self.record());
        }
        let base = self.base.as_ref();
        if base.is_some_and(|base| base.resource_version == seen.resource_version) {
            return Ok(self.wait_or_restart());
        }
        let own = self.own().current.generation;
        let found = seen.rollout.current.generation;
        if found < own {
            self.in_doubt = false;
            return self.restart();
        }
        if found == own || !self.in_doubt {
            return Err(lost_race(seen.rollout.history()));
        }
        self.stage = Stage::JudgingHistory;
        Ok(history::read_entry(own))
    }

    /// A later generation is in force. Its author first made sure of our generation's entry.
    fn judge_history(&mut self, object: Option<StoredObject>) -> Result<Next, OperatorError> {
        let Some(object) = object else {
            return Ok(Next::ReadAgain);
        };
        let entry: RolloutHistory = exchange::decode(&object)?;
        if entry.record.change == self.change {
            return Ok(Next::done(Ok(self.outcome(true))));
        }
        Err(lost_race(entry))
    }

    /// The register is as it was before the swap: a lost write may yet arrive, a refused one not.
    fn wait_or_restart(&mut self) -> Next {
        if self.in_doubt {
            return Next::ReadAgain;
        }
        self.restart()
            .unwrap_or_else(|error| Next::done(Err(error)))
    }

    fn restart(&mut self) -> Result<Next, OperatorError> {
        if self.restarts == 0 {
            return Err(OperatorError::TooManyRestarts);
        }
        self.restarts -= 1;
        self.stage = Stage::ReadingRegister;
        Ok(register::read())
    }

    fn record(&mut self) -> Next {
        self.in_doubt = false;
        self.stage = Stage::WritingHistory;
        write_entry(&self.own().history())
    }

    /// An entry is the same whoever writes it, so a conflict means that it is there.
    fn entry_answered(&mut self, answer: Answer) -> Next {
        let own_entry = self.stage == Stage::WritingHistory;
        match answer {
            Answer::Written | Answer::Conflict | Answer::Object(Some(_)) if own_entry => {
                Next::done(Ok(self.outcome(true)))
            }
            Answer::Written | Answer::Conflict => self.swap(),
            Answer::Lost if own_entry => history::read_entry(self.own().current.generation),
            Answer::Lost => self.read_secured_entry(),
            Answer::Object(None) if own_entry => Next::ReadAgain,
            Answer::Object(object) => self.history_secured(object),
        }
    }

    fn read_secured_entry(&self) -> Next {
        let own = self.own().current.generation;
        history::read_entry(Generation(own.0 - 1))
    }

    fn object_read(&mut self, object: Option<StoredObject>) -> Result<Next, OperatorError> {
        match self.stage {
            Stage::ReadingApproval => self.approval_read(object),
            Stage::ReadingBundle => self.bundle_read(object),
            Stage::ReadingRegister => self.register_read(object),
            Stage::Swapping | Stage::Judging => self.judge(object),
            Stage::JudgingHistory => self.judge_history(object),
            Stage::SecuringHistory | Stage::WritingHistory => {
                Ok(self.entry_answered(Answer::Object(object)))
            }
        }
    }

    fn swap_answered(&mut self, answer: Answer) -> Next {
        if matches!(answer, Answer::Written) {
            return self.record();
        }
        self.in_doubt = matches!(answer, Answer::Lost);
        self.stage = Stage::Judging;
        register::read()
    }

    fn outcome(&self, history_written: bool) -> OperatorOutcome {
        OperatorOutcome::RolledOut {
            record: self.own().current.clone(),
            history_written,
        }
    }

    fn approval(&self) -> &(Approval, Vec<u8>) {
        let approval = self.approval.as_ref();
        approval.expect("set when the approval is read, the first stage")
    }

    fn own(&self) -> &Rollout {
        let own = self.own.as_ref();
        own.expect("set when the register is read, before any stage that writes")
    }
}

fn write_entry(entry: &RolloutHistory) -> Next {
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

    fn begin(&mut self) -> Next {
        exchange::get(ObjectKind::Approval, self.request.version.as_str())
    }

    fn answer(&mut self, answer: Answer) -> Next {
        match (self.stage, answer) {
            (_, Answer::Object(object)) => self
                .object_read(object)
                .unwrap_or_else(|error| Next::done(Err(error))),
            (Stage::SecuringHistory | Stage::WritingHistory, answer) => self.entry_answered(answer),
            (_, answer) => self.swap_answered(answer),
        }
    }

    fn give_up(&mut self, failure: &PlatformFailure) -> Result<OperatorOutcome, OperatorError> {
        if self.stage == Stage::WritingHistory {
            return Ok(self.outcome(false));
        }
        let step = format!("rolling out version {}", self.request.version);
        if self.in_doubt {
            return Err(OperatorError::OutcomeUnknown {
                step,
                change: self.change.clone(),
            });
        }
        Err(exchange::unavailable(&step, failure))
    }
}
