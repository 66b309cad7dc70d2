//! Bootstrap of a new node: fetching the health facts from a peer before it accepts callers.
//!
//! Without these facts, a new node would send work to back ends that are leaving.

use super::HealthParameters;
use crate::time::Timestamp;

/// State of the bootstrap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bootstrap {
    /// No configuration yet, so no back ends are known.
    Idle,
    /// Facts are requested from peers until one answers or the deadline passes.
    Requesting {
        /// When the next request is sent.
        next_request: Timestamp,
        /// When the node continues without facts from a peer.
        deadline: Timestamp,
    },
    /// A peer answered, or none is expected to.
    Done,
}

impl Bootstrap {
    /// Starts the bootstrap, at the first active configuration.
    pub fn start(&mut self, parameters: &HealthParameters, now: Timestamp) {
        if *self == Self::Idle {
            *self = Self::Requesting {
                next_request: now,
                deadline: now + parameters.learning_limit,
            };
        }
    }

    /// Whether to send a request now. Schedules the next request, and ends the bootstrap at the
    /// deadline.
    pub fn request_due(
        &mut self,
        parameters: &HealthParameters,
        now: Timestamp,
        has_peers: bool,
    ) -> bool {
        let Self::Requesting {
            next_request,
            deadline,
        } = self
        else {
            return false;
        };
        if now >= *deadline {
            *self = Self::Done;
            return false;
        }
        if now < *next_request || !has_peers {
            return false;
        }
        *next_request = now + parameters.learning_interval;
        true
    }

    /// When [`Self::request_due`] is to be called.
    pub fn next_timeout(&self, has_peers: bool) -> Option<Timestamp> {
        match self {
            Self::Requesting {
                next_request,
                deadline,
            } if has_peers => Some(*next_request.min(deadline)),
            Self::Requesting { deadline, .. } => Some(*deadline),
            Self::Idle | Self::Done => None,
        }
    }
}
