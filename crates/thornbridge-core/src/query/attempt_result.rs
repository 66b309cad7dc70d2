//! Classification of attempt results, with validation of the snapshot and scores.

use crate::event::AttemptFailure;
use crate::routing::FinishedAttempt;
use std::time::Duration;
use thornbridge_proto::SnapshotId;
use thornbridge_proto::back_end::ReplyOutcome;
use thornbridge_proto::caller::{Hit, MissingReason};

/// Result of an attempt.
#[derive(Debug, PartialEq)]
pub(super) enum AttemptResult {
    /// Valid hits of the query's snapshot.
    Hits(Vec<Hit>),
    /// Not run: the back end is overloaded; retry after this time.
    Shed(Duration),
    /// Not run: the deadline passed at the back end.
    Expired,
    /// Not run, at negligible cost for the back end.
    NotRun(NotRun),
    /// May have run.
    Failed(Fault),
}

/// Reason why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRun {
    /// The back end is leaving.
    Leaving,
    /// The back end does not hold the snapshot.
    NotHeld,
    /// No byte was sent.
    NotSent,
}

impl AttemptResult {
    /// Whether the back end replied that it does not hold the snapshot.
    pub(super) fn is_not_held(&self) -> bool {
        *self == Self::NotRun(NotRun::NotHeld)
    }
}

impl NotRun {
    /// Reason reported for the shard if no other replica answers.
    pub(super) fn reason(self) -> MissingReason {
        match self {
            Self::Leaving => MissingReason::NoReplica,
            Self::NotHeld => MissingReason::SnapshotNotHeld,
            Self::NotSent => MissingReason::Failed,
        }
    }
}

/// Failure of an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The back end reported a failure or cancellation.
    Reported,
    /// The connection broke.
    ConnectionBroken,
    /// The reply is malformed, has no hits, or belongs to another attempt.
    Malformed,
    /// The hits are of another snapshot.
    WrongSnapshot,
}

/// Classifies the result of an attempt on a snapshot. The router has already checked that the reply
/// belongs to the attempt.
pub(super) fn classify(finished: &mut FinishedAttempt, snapshot: &SnapshotId) -> AttemptResult {
    match &mut finished.result {
        Ok(reply) => classify_outcome(&mut reply.outcome, snapshot),
        Err(AttemptFailure::NotSent) => AttemptResult::NotRun(NotRun::NotSent),
        Err(AttemptFailure::ConnectionBroken) => AttemptResult::Failed(Fault::ConnectionBroken),
        Err(AttemptFailure::MalformedReply) => AttemptResult::Failed(Fault::Malformed),
    }
}

fn classify_outcome(outcome: &mut ReplyOutcome, snapshot: &SnapshotId) -> AttemptResult {
    match outcome {
        ReplyOutcome::Hits {
            snapshot: other, ..
        } if other != snapshot => AttemptResult::Failed(Fault::WrongSnapshot),
        ReplyOutcome::Hits { hits, .. } => {
            if hits.iter().all(|hit| hit.score.is_finite()) {
                AttemptResult::Hits(std::mem::take(hits))
            } else {
                AttemptResult::Failed(Fault::Malformed)
            }
        }
        ReplyOutcome::Shed { retry_after_ms } => {
            AttemptResult::Shed(Duration::from_millis(*retry_after_ms))
        }
        ReplyOutcome::Expired => AttemptResult::Expired,
        ReplyOutcome::Leaving => AttemptResult::NotRun(NotRun::Leaving),
        ReplyOutcome::NotHeld => AttemptResult::NotRun(NotRun::NotHeld),
        ReplyOutcome::Failed { .. } | ReplyOutcome::Cancelled => {
            AttemptResult::Failed(Fault::Reported)
        }
        ReplyOutcome::Done { .. } => AttemptResult::Failed(Fault::Malformed),
    }
}
