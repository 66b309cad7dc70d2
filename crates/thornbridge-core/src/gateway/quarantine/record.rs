//! Crash record of one request.

use crate::time::Timestamp;
use thornbridge_proto::BackEndId;

/// State of a request that servers crashed under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Fewer crashes than required for quarantine.
    Suspected,
    /// Enough crashes, but an answer to a canary attempt may still clear the request.
    Probing {
        /// Start of the stage.
        since: Timestamp,
        /// Attempts sent in this stage.
        canaries: u32,
    },
    /// The request is refused.
    Quarantined,
    /// A server answered the request.
    Cleared,
}

impl Stage {
    /// Label for logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Probing { .. } | Self::Quarantined => "quarantined",
            Self::Cleared => "cleared",
        }
    }

    /// Whether the number of crashes required for quarantine was reached.
    pub(super) fn has_enough_crashes(self) -> bool {
        matches!(self, Self::Probing { .. } | Self::Quarantined)
    }
}

/// Members that receive a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Audience {
    None,
    /// Members that aggregate the crashes of the request.
    Aggregators,
    All,
}

/// Crash record of one request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) stage: Stage,
    /// Instances that crashed while running the request, oldest first.
    pub(super) instances: Vec<BackEndId>,
    /// Time of the last crash, or when the request was cleared.
    pub(super) changed_at: Timestamp,
    /// Members that the record was last announced to.
    pub(super) announced_to: Audience,
    /// Scheduled time of the next announcement.
    pub(super) announce_at: Option<Timestamp>,
}

impl Record {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            stage: Stage::Suspected,
            instances: Vec::new(),
            changed_at: now,
            announced_to: Audience::None,
            announce_at: None,
        }
    }

    /// Adds an instance and drops the oldest one beyond `limit`; returns whether it was new.
    pub(super) fn add(&mut self, instance: &BackEndId, limit: usize) -> bool {
        if self.instances.contains(instance) {
            return false;
        }
        self.instances.push(instance.clone());
        if self.instances.len() > limit {
            self.instances.remove(0);
        }
        true
    }

    /// Members that the record must be announced to in its current stage.
    pub(super) fn audience(&self) -> Audience {
        match self.stage {
            Stage::Suspected => Audience::Aggregators,
            Stage::Probing { .. } | Stage::Quarantined => Audience::All,
            // Members that received the suspicion must learn that it is void.
            Stage::Cleared => self.announced_to,
        }
    }
}
