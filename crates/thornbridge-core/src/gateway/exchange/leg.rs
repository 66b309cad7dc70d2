//! One part of a request: the whole of a plain one, or one shard of a gather.

use crate::gateway::budget::ServiceKey;
use crate::gateway::event::ServerReply;
use crate::gateway::notes::{AttemptCause, AttemptOutcome};
use crate::gateway::servers::ServerKey;
use crate::time::Timestamp;
use bytes::Bytes;
use std::time::Duration;
use thornbridge_proto::AttemptId;
use thornbridge_proto::peer::slice::ShardFailure;

/// Time within which a lent attempt is to be made: its lender counted it when it lent it, and the
/// window that it counts in must hold it.
const LENT_FOR: Duration = Duration::from_secs(1);

/// How a part stands.
#[derive(Debug)]
pub(super) enum LegState {
    /// Nothing is under way: an attempt is wanted.
    Wanting(AttemptCause),
    /// An attempt waits for a connection of this server.
    Queued(ServerKey, AttemptCause),
    /// One or more attempts are under way.
    Running,
    /// Answered.
    Answered(Box<ServerReply>),
    /// Another node answers it.
    Delegated,
    /// Another node answered it; its server's signature.
    Reported(Bytes),
    /// An attempt is wanted that its coordinator has not granted yet.
    AwaitingGrant,
    /// No attempt is left.
    Failed,
}

/// One part.
#[derive(Debug)]
pub(super) struct Leg {
    pub(super) service: ServiceKey,
    pub(super) state: LegState,
    /// Attempts under way.
    pub(super) open: Vec<AttemptId>,
    /// Servers that got it.
    pub(super) tried: Vec<ServerKey>,
    /// Attempts that were sent.
    pub(super) sent: u32,
    /// Of these, those that certainly did not run.
    pub(super) not_run: u32,
    /// When to look at it again; `None` while only its attempts' ends matter.
    pub(super) look_at: Option<Timestamp>,
    /// Last failure.
    pub(super) failure: Option<AttemptOutcome>,
    /// A server's own failure, to be passed on when nothing better comes.
    pub(super) failed_reply: Option<Box<ServerReply>>,
    /// Whether an extra attempt was taken from the budget and not sent yet.
    pub(super) paid: bool,
    /// Extra attempts that its coordinator paid for, and until when they may be made.
    lent: u32,
    lent_until: Timestamp,
    /// Whether the budget once denied it an attempt.
    pub(super) denied: bool,
    /// Attempts that other nodes may have made.
    pub(super) prior: u32,
    /// Whether servers got it from another node, and rejected it.
    pub(super) rejected_elsewhere: bool,
    /// Whether its coordinator was told how it ended.
    pub(super) reported: bool,
}

impl Leg {
    pub(super) fn new(service: ServiceKey) -> Self {
        Self {
            service,
            state: LegState::Wanting(AttemptCause::First),
            open: Vec::new(),
            tried: Vec::new(),
            sent: 0,
            not_run: 0,
            look_at: None,
            failure: None,
            failed_reply: None,
            paid: false,
            lent: 0,
            lent_until: Timestamp::ZERO,
            denied: false,
            prior: 0,
            rejected_elsewhere: false,
            reported: false,
        }
    }

    /// A part of a service that this node does not know.
    pub(super) fn unknown() -> Self {
        Self {
            state: LegState::Failed,
            ..Self::new(ServiceKey::default())
        }
    }

    pub(super) fn is_answered(&self) -> bool {
        matches!(self.state, LegState::Answered(_) | LegState::Reported(_))
    }

    pub(super) fn is_failed(&self) -> bool {
        matches!(self.state, LegState::Failed)
    }

    pub(super) fn is_delegated(&self) -> bool {
        matches!(self.state, LegState::Delegated)
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_answered() || self.is_failed()
    }

    /// The server at which it waits for a connection, and why it does.
    pub(super) fn queued_at(&self) -> Option<(ServerKey, AttemptCause)> {
        match self.state {
            LegState::Queued(server, cause) => Some((server, cause)),
            _ => None,
        }
    }

    /// Its coordinator paid for one more extra attempt.
    pub(super) fn lend(&mut self, now: Timestamp) {
        self.lent += 1;
        self.lent_until = now + LENT_FOR;
    }

    /// Uses one of these, for a retry; `false` where there is none.
    #[must_use]
    pub(super) fn take_lent(&mut self, now: Timestamp) -> bool {
        let may = self.lent > 0 && now <= self.lent_until;
        self.lent -= u32::from(may);
        may
    }

    /// Servers on which it ran or may have run.
    pub(super) fn ran(&self) -> u32 {
        self.prior + self.sent - self.not_run
    }

    /// Its coordinator said how many attempts it may have: what waited for that goes on or is over.
    pub(super) fn grant_settled(&mut self, now: Timestamp, may_send: bool) {
        match (&self.state, may_send) {
            (LegState::AwaitingGrant, true) => {
                self.state = LegState::Wanting(AttemptCause::Retry);
                self.look_at = None;
            }
            (LegState::AwaitingGrant, false) => self.state = LegState::Failed,
            (LegState::Running, true) if self.look_at.is_none() => self.look_at = Some(now),
            _ => {}
        }
    }

    /// Whether another attempt is an extra one. Servers count what they reject as well: where half of
    /// the shards were full, each request for them would reach them once more without a charge.
    pub(super) fn is_extra(&self) -> bool {
        self.prior + self.sent > 0 || self.rejected_elsewhere
    }

    /// What its coordinator is told, where it failed.
    pub(super) fn failure_elsewhere(&self) -> ShardFailure {
        match (self.ran(), self.sent) {
            (0, 0) => ShardFailure::Unsent,
            (0, _) => ShardFailure::Rejected,
            _ => ShardFailure::MayHaveRun,
        }
    }

    /// An owner could not serve it: this node may, where no server can have run it.
    pub(super) fn failed_elsewhere(&mut self, failure: ShardFailure, attempts: u32) {
        self.prior = attempts;
        // What reached no server is no extra attempt.
        self.paid = failure == ShardFailure::Unsent;
        self.rejected_elsewhere = failure == ShardFailure::Rejected;
        self.state = match failure {
            ShardFailure::Unsent => LegState::Wanting(AttemptCause::First),
            ShardFailure::Rejected => LegState::Wanting(AttemptCause::Retry),
            ShardFailure::MayHaveRun => LegState::Failed,
        };
    }
}
