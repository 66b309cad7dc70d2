//! Routing of attempts: choice of a back end and of a connection.
//!
//! [`Router`] is one state machine in several modules:
//!
//! - choice of a replica: `choosing`, `balancer`
//! - lifecycle of attempts: `dispatching`, `attempts`
//! - connections: `connecting`, `connections`
//! - state of back ends: `observing`, `health`, `load`, `latency`, `outlier`, `slow_start`,
//!   `back_end_limit`
//! - changes of the configuration and the members: `reconfiguring`, `subset`

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

use crate::configuration::ActiveConfiguration;
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

/// Engine that owns an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOwner {
    /// The query engine, [`crate::query`].
    Query,
    /// The action engine, [`crate::action`].
    Action,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct FinishedAttempt {
    /// Engine to notify.
    pub owner: AttemptOwner,
    /// The attempt as sent.
    pub attempt: Attempt,
    /// Back end of the attempt.
    pub back_end: BackEndId,
    /// Time since dispatch.
    pub latency: Duration,
    /// Reply or failure. The reply's echoes of request, attempt and shard are checked; the snapshot
    /// is checked by the owner.
    pub result: Result<BackEndReply, AttemptFailure>,
}

/// No back end can take the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoReplica;

/// Router of one node: chooses back ends, manages connections, tracks attempts.
#[derive(Debug)]
pub struct Router {
    parameters: RoutingParameters,
    active: Option<Arc<ActiveConfiguration>>,
    membership: Membership,
    back_ends: BackEndTable,
    connections: Connections,
    attempts: Attempts,
    /// Attempts that ended without a reply or failure of their own, for [`Self::poll_finished`].
    finished: VecDeque<FinishedAttempt>,
    /// Times of the next attempt to connect, by back end.
    reconnects: BTreeSet<(Timestamp, BackEndIndex)>,
    /// Back ends whose warm connections are to be opened.
    warm_up: VecDeque<BackEndIndex>,
    warm_up_due: Option<Timestamp>,
    housekeeping_due: Option<Timestamp>,
    subset_state: SubsetState,
    candidates: Vec<Candidate>,
    counters: RoutingCounters,
}

impl Router {
    /// Creates a router without back ends.
    pub fn new(parameters: RoutingParameters) -> Self {
        Self {
            parameters,
            active: None,
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

    /// Counters of the router.
    pub fn counters(&self) -> &RoutingCounters {
        &self.counters
    }

    /// Allocates an attempt id.
    pub fn next_attempt_id(&mut self) -> AttemptId {
        self.attempts.next_id()
    }

    /// Attempts sent or waiting for a connection, cancelled ones included.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Next attempt that ended without a reply or failure of its own: at its deadline, or because
    /// its back end is leaving or unreachable. To be called after every event until `None`.
    pub fn poll_finished(&mut self) -> Option<FinishedAttempt> {
        self.finished.pop_front()
    }
}

#[cfg(test)]
mod tests;
