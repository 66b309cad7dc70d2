//! Which back end gets an attempt, and on which connection.
//!
//! [`Router`] is one state machine; its parts:
//! choosing a replica (`choosing`, `balancer`), the life of an attempt (`dispatching`,
//! `attempts`), connections (`connecting`, `connections`), what is learnt of back ends
//! (`observing`, `health`, `load`, `latency`, `outlier`, `slow_start`, `back_end_limit`), and
//! changes of configuration and members (`reconfiguring`, `subset`).

mod attempts;
mod back_end;
mod back_end_limit;
mod balancer;
mod choosing;
mod connecting;
mod connections;
mod dispatching;
mod hash;
mod health;
mod latency;
mod load;
mod observing;
mod outlier;
mod parameters;
mod reconfiguring;
mod slow_start;
pub(crate) mod subset;
mod timing;

pub use back_end_limit::BackEndLimitParameters;
pub use balancer::{BalancerParameters, BalancerPolicy};
pub use connections::ConnectionParameters;
pub use health::HealthViewParameters;
pub use latency::LatencyParameters;
pub use load::LoadParameters;
pub use outlier::OutlierParameters;
pub use parameters::{RoutingCounters, RoutingParameters};
pub use slow_start::SlowStartParameters;
pub use subset::SubsetParameters;

use crate::configuration::InForce;
use crate::event::AttemptFailure;
use crate::time::Timestamp;
use attempts::Attempts;
use back_end::{BackEndIndex, BackEndTable};
use balancer::Candidate;
use connections::Connections;
use reconfiguring::{Membership, SubsetState};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::back_end::{Attempt, BackEndReply};
use thornbridge_proto::{AttemptId, BackEndId};

/// Which part of the core an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOwner {
    /// [`crate::query`].
    Query,
    /// [`crate::action`].
    Action,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct FinishedAttempt {
    /// Whom to tell.
    pub owner: AttemptOwner,
    /// The attempt as it was sent.
    pub attempt: Attempt,
    /// Where it ran.
    pub back_end: BackEndId,
    /// Time since it was handed to the router.
    pub latency: Duration,
    /// Reply, or how it failed. The reply's echoes of request, attempt and shard are checked;
    /// that of the snapshot is for the owner to check.
    pub result: Result<BackEndReply, AttemptFailure>,
}

/// No back end can take an attempt now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoReplica;

/// Routing of one node: chooses back ends, owns the connections, tracks attempts.
#[derive(Debug)]
pub struct Router {
    parameters: RoutingParameters,
    in_force: Option<Arc<InForce>>,
    membership: Membership,
    back_ends: BackEndTable,
    connections: Connections,
    attempts: Attempts,
    /// Ended attempts that were not the subject of the event being handled.
    finished: VecDeque<FinishedAttempt>,
    /// Times of the next try of back ends that cannot be connected to.
    reconnects: BTreeSet<(Timestamp, BackEndIndex)>,
    /// Back ends that are to get their warm connections.
    warm_up: VecDeque<BackEndIndex>,
    warm_up_due: Option<Timestamp>,
    housekeeping_due: Option<Timestamp>,
    subset_state: SubsetState,
    candidates: Vec<Candidate>,
    counters: RoutingCounters,
}

impl Router {
    /// A router without back ends.
    pub fn new(parameters: RoutingParameters) -> Self {
        Self {
            parameters,
            in_force: None,
            membership: Membership::default(),
            back_ends: BackEndTable::default(),
            connections: Connections::default(),
            attempts: Attempts::default(),
            finished: VecDeque::new(),
            reconnects: BTreeSet::new(),
            warm_up: VecDeque::new(),
            warm_up_due: None,
            housekeeping_due: None,
            subset_state: SubsetState::default(),
            candidates: Vec::new(),
            counters: RoutingCounters::default(),
        }
    }

    /// Counters.
    pub fn counters(&self) -> &RoutingCounters {
        &self.counters
    }

    /// A fresh attempt id.
    pub fn next_attempt_id(&mut self) -> AttemptId {
        self.attempts.next_id()
    }

    /// Attempts running or waiting for a connection, cancelled ones included.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// The next attempt that ended although no reply or failure of its own came: its time was
    /// over, its back end left or is unreachable. To be called after every event until `None`.
    pub fn poll_finished(&mut self) -> Option<FinishedAttempt> {
        self.finished.pop_front()
    }
}

#[cfg(test)]
mod tests;
