//! What is known of one request under which servers crashed.

use crate::time::Timestamp;
use thornbridge_proto::BackEndId;

/// How far the case against a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Fewer servers crashed than are needed.
    Suspected,
    /// Enough did. It may be sent to single servers yet: one answer clears it.
    Tested {
        /// Since when.
        since: Timestamp,
        /// Servers that got it since.
        canaries: u32,
    },
    /// It is sent to no server.
    Quarantined,
    /// A server answered it.
    Cleared,
}

impl Stage {
    /// Name for logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Tested { .. } | Self::Quarantined => "quarantined",
            Self::Cleared => "cleared",
        }
    }

    /// Whether servers crashed under it often enough, as far as is known.
    pub(super) fn has_enough_crashes(self) -> bool {
        matches!(self, Self::Tested { .. } | Self::Quarantined)
    }
}

/// Who was told of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Audience {
    Nobody,
    /// The members that add up crashes of the request.
    Homes,
    All,
}

/// One request.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) stage: Stage,
    /// Instances that ended while they had it, the newest last.
    pub(super) instances: Vec<BackEndId>,
    /// When the last one did, or when the request was cleared.
    pub(super) changed: Timestamp,
    pub(super) told: Audience,
    /// When others are to be told.
    pub(super) tell_at: Option<Timestamp>,
}

impl Record {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            stage: Stage::Suspected,
            instances: Vec::new(),
            changed: now,
            told: Audience::Nobody,
            tell_at: None,
        }
    }

    /// Adds an instance, and forgets the oldest beyond `most`; gives whether it was not known.
    pub(super) fn add(&mut self, instance: &BackEndId, most: usize) -> bool {
        if self.instances.contains(instance) {
            return false;
        }
        self.instances.push(instance.clone());
        if self.instances.len() > most {
            self.instances.remove(0);
        }
        true
    }

    /// Whom it concerns as it stands.
    pub(super) fn audience(&self) -> Audience {
        match self.stage {
            Stage::Suspected => Audience::Homes,
            Stage::Tested { .. } | Stage::Quarantined => Audience::All,
            // Whoever heard of the suspicion.
            Stage::Cleared => self.told,
        }
    }
}
