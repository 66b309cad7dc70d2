//! Part of a request: the whole request, or one shard of a gather.

use crate::gateway::budget::ServiceKey;
use crate::gateway::event::ServerReply;
use crate::gateway::servers::ServerKey;
use crate::gateway::telemetry::{AttemptCause, AttemptOutcome};
use crate::time::Timestamp;
use bytes::Bytes;
use std::time::Duration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::peer::slice::ShardFailure;

/// Time within which a charged or lent attempt must be sent, so that servers count it in a window for
/// which the budget was charged.
const CHARGE_LIFETIME: Duration = Duration::from_millis(400);

/// State of a part.
#[derive(Debug)]
pub(super) enum PartState {
    /// An attempt is wanted and none is in flight.
    NeedsAttempt(AttemptCause),
    /// An attempt waits for a connection to the server.
    Queued(ServerKey, AttemptCause),
    /// One or more attempts are in flight.
    InFlight,
    Answered(Box<ServerReply>),
    /// Served by another node.
    Delegated,
    /// Answered by an owner; the server's signature.
    AnsweredByOwner(Bytes),
    /// Waits for the coordinator to grant another attempt.
    AwaitingGrant,
    /// No attempt remains.
    Failed,
}

/// A part of a request.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) service: ServiceKey,
    pub(super) state: PartState,
    pub(super) in_flight: Vec<AttemptId>,
    /// Servers to which the part was sent.
    pub(super) tried: Vec<ServerKey>,
    /// Time until which the budget is charged for an extra attempt that is not sent yet.
    charged_until: Option<Timestamp>,
    /// Number of attempts sent.
    pub(super) sent: u32,
    /// Sent attempts that certainly did not run.
    pub(super) not_run: u32,
    /// When to check the part next; `None` if only the end of an attempt matters.
    pub(super) check_at: Option<Timestamp>,
    pub(super) last_failure: Option<AttemptOutcome>,
    /// Reply of a failed server, forwarded if no better one comes.
    pub(super) failed_reply: Option<Box<ServerReply>>,
    /// Unused extra attempts paid for by the coordinator.
    lent: u32,
    lent_until: Timestamp,
    /// Whether the coordinator has lent an attempt since it was last asked to.
    may_renew: bool,
    /// Whether the budget ever denied an extra attempt.
    pub(super) budget_denied: bool,
    /// Whether the part ever found no server but ones that are held back while cold.
    pub(super) held_back: bool,
    /// Attempts that other nodes may have sent.
    pub(super) prior_attempts: u32,
    /// Failure of the part that its owner reported.
    owner_failure: Option<ShardFailure>,
    /// Whether the coordinator knows the part's result.
    pub(super) reported: bool,
    /// Whether the part has an unused permit for a version on trial.
    pub(super) has_permit: bool,
    /// Attempts that may have run at a server for which another one is counted as sent.
    companions: u32,
}

impl Part {
    pub(super) fn new(service: ServiceKey) -> Self {
        Self {
            service,
            state: PartState::NeedsAttempt(AttemptCause::First),
            in_flight: Vec::new(),
            tried: Vec::new(),
            charged_until: None,
            sent: 0,
            not_run: 0,
            check_at: None,
            last_failure: None,
            failed_reply: None,
            lent: 0,
            lent_until: Timestamp::ZERO,
            may_renew: false,
            budget_denied: false,
            held_back: false,
            prior_attempts: 0,
            owner_failure: None,
            reported: false,
            has_permit: false,
            companions: 0,
        }
    }

    /// Failed part of a service that is unknown to this node.
    pub(super) fn unknown() -> Self {
        Self {
            state: PartState::Failed,
            ..Self::new(ServiceKey::default())
        }
    }

    pub(super) fn is_answered(&self) -> bool {
        matches!(
            self.state,
            PartState::Answered(_) | PartState::AnsweredByOwner(_)
        )
    }

    pub(super) fn is_failed(&self) -> bool {
        matches!(self.state, PartState::Failed)
    }

    pub(super) fn is_delegated(&self) -> bool {
        matches!(self.state, PartState::Delegated)
    }

    pub(super) fn is_finished(&self) -> bool {
        self.is_answered() || self.is_failed()
    }

    /// Server for whose connection the part waits, and the cause of the attempt.
    pub(super) fn queued_at(&self) -> Option<(ServerKey, AttemptCause)> {
        match self.state {
            PartState::Queued(server, cause) => Some((server, cause)),
            _ => None,
        }
    }

    /// Whether no node sent an attempt of the part before the next one.
    pub(super) fn is_first_attempt(&self, cause: AttemptCause) -> bool {
        cause == AttemptCause::First && self.sent == 0 && self.prior_attempts == 0
    }

    /// Adds an extra attempt paid for by the coordinator.
    pub(super) fn lend(&mut self, now: Timestamp) {
        self.lent += 1;
        self.lent_until = now + CHARGE_LIFETIME;
        self.may_renew = true;
    }

    /// Whether the next attempt is an extra one that the budget must be charged for.
    pub(super) fn needs_charge(&self, now: Timestamp) -> bool {
        let charged = self.charged_until.is_some_and(|until| now <= until);
        self.is_extra() && !charged
    }

    /// Notes that the budget is charged for the next attempt.
    pub(super) fn set_charged(&mut self, now: Timestamp) {
        self.charged_until = Some(now + CHARGE_LIFETIME);
    }

    /// Notes that an attempt was sent to a server.
    pub(super) fn record_sent(&mut self, attempt: AttemptId, server: ServerKey) {
        self.state = PartState::InFlight;
        self.in_flight.push(attempt);
        self.tried.push(server);
        self.sent += 1;
        self.charged_until = None;
        self.has_permit = false;
    }

    /// Notes that another attempt was sent to the server of the first one.
    pub(super) fn record_companion(&mut self, attempt: AttemptId) {
        self.in_flight.push(attempt);
        self.companions += 1;
        self.has_permit = false;
    }

    /// Notes an attempt that did not run; `arrived` if the server rejected it. Of two attempts at the
    /// same server, the last one counts.
    pub(super) fn record_not_run(&mut self, cause: AttemptCause, server: ServerKey, arrived: bool) {
        let has_companion = match cause {
            AttemptCause::First | AttemptCause::Companion => self.companions > 0,
            AttemptCause::Hedge | AttemptCause::Retry => false,
        };
        if has_companion {
            self.companions -= 1;
        } else if arrived {
            self.not_run += 1;
        } else {
            // An unsent attempt counts against no limit, and its server stays eligible.
            self.sent -= 1;
            self.tried.retain(|other| *other != server);
        }
    }

    /// Uses a lent attempt, charged by its lender, for the next attempt; `false` if there is none.
    #[must_use]
    pub(super) fn take_lent(&mut self, now: Timestamp) -> bool {
        let available = self.lent > 0 && now <= self.lent_until;
        if available {
            self.lent -= 1;
            self.charged_until = Some(self.lent_until);
        }
        available
    }

    /// Notes that no lent attempt is usable; returns whether to ask for another one. A coordinator that
    /// did not lend one when last asked is not asked again.
    pub(super) fn loan_is_missing(&mut self) -> bool {
        self.lent = 0;
        std::mem::take(&mut self.may_renew)
    }

    /// Attempts that ran or may have run.
    pub(super) fn possible_runs(&self) -> u32 {
        self.prior_attempts + self.sent - self.not_run
    }

    /// Resumes or fails a waiting part, now that the coordinator's grant is known.
    pub(super) fn apply_grant(&mut self, now: Timestamp, may_send: bool) {
        match (&self.state, may_send) {
            (PartState::AwaitingGrant, true) => {
                self.state = PartState::NeedsAttempt(AttemptCause::Retry);
                self.check_at = None;
            }
            (PartState::AwaitingGrant, false) => self.state = PartState::Failed,
            (PartState::InFlight, true) if self.check_at.is_none() => self.check_at = Some(now),
            _ => {}
        }
    }

    /// Whether another attempt is charged to the budget. Rejected attempts make the next one extra,
    /// because servers count them too.
    pub(super) fn is_extra(&self) -> bool {
        let may_have_arrived = match self.owner_failure {
            Some(ShardFailure::Unsent) => false,
            Some(ShardFailure::Rejected) => true,
            Some(ShardFailure::MayHaveRun) | None => self.prior_attempts > 0,
        };
        may_have_arrived || self.sent > 0
    }

    /// Failure of the part as reported to the coordinator.
    pub(super) fn shard_failure(&self) -> ShardFailure {
        match (self.possible_runs(), self.sent) {
            (0, 0) => ShardFailure::Unsent,
            (0, _) => ShardFailure::Rejected,
            _ => ShardFailure::MayHaveRun,
        }
    }

    /// Applies an owner's failure: a shard that no server can have run is retried on this node.
    pub(super) fn apply_owner_failure(&mut self, failure: ShardFailure, attempts: u32) {
        self.prior_attempts = attempts;
        self.owner_failure = Some(failure);
        self.state = match failure {
            ShardFailure::Unsent => PartState::NeedsAttempt(AttemptCause::First),
            ShardFailure::Rejected => PartState::NeedsAttempt(AttemptCause::Retry),
            ShardFailure::MayHaveRun => PartState::Failed,
        };
    }
}
