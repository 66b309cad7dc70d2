//! Connection pools of back ends.
//!
//! A connection carries one attempt at a time. Each pool is bounded by the back end's connection
//! share. Some connections are kept warm, since opening one delays an attempt; idle ones above the
//! recent peak use are closed one by one.

use super::back_end::BackEndIndex;
use super::hash::LookupMap;
use crate::driver_action::ConnectionId;
use crate::time::Timestamp;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::AttemptId;

/// Parameters of connection pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConnectionParameters {
    /// Minimum connections kept open to each back end of the subset.
    pub warm: u32,
    /// First backoff after a failure to connect; doubled by each further failure.
    pub first_backoff: Duration,
    /// Maximum backoff.
    pub longest_backoff: Duration,
    /// Housekeeping passes over which the peak use is tracked before idle connections are closed.
    pub idle_passes: u32,
    /// Time for the reply to a cancelled attempt, after which its connection is closed.
    pub cancel_grace: Duration,
    /// Connections opened in one batch when many are to be warmed up.
    pub warm_up_batch: u32,
    /// Time between two batches.
    pub warm_up_interval: Duration,
}

impl Default for ConnectionParameters {
    fn default() -> Self {
        Self {
            warm: 1,
            first_backoff: Duration::from_millis(50),
            longest_backoff: Duration::from_secs(5),
            idle_passes: 30,
            cancel_grace: Duration::from_secs(1),
            warm_up_batch: 16,
            warm_up_interval: Duration::from_millis(5),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Opening,
    Idle,
    Busy(AttemptId),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) back_end: BackEndIndex,
    pub(super) state: ConnectionState,
    /// Connected to a previous address of the back end; closed when it becomes free.
    pub(super) retired: bool,
}

/// Table of connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    by_id: LookupMap<ConnectionId, Connection>,
    last_id: u64,
}

impl Connections {
    /// Adds a connection that is being opened.
    pub(super) fn insert_opening(&mut self, back_end: BackEndIndex) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        let connection = Connection {
            back_end,
            state: ConnectionState::Opening,
            retired: false,
        };
        self.by_id.insert(id, connection);
        id
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<Connection> {
        self.by_id.get(&id).copied()
    }

    pub(super) fn set_state(&mut self, id: ConnectionId, state: ConnectionState) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.state = state;
        }
    }

    pub(super) fn retire(&mut self, id: ConnectionId) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.retired = true;
        }
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.by_id.remove(&id)
    }
}

/// Connection pool of one back end.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Connections that are opening or busy.
    pub(super) in_use: Vec<ConnectionId>,
    /// Idle connections, used last in first out, so that surplus ones stay idle.
    pub(super) idle: Vec<ConnectionId>,
    /// Number of connections in use that are still opening.
    pub(super) opening: u32,
    /// Attempts that wait for a connection, in order of arrival.
    pub(super) waiting: VecDeque<AttemptId>,
    /// Backoff after failures to connect.
    pub(super) backoff: Backoff,
    peak_in_use: u32,
    housekeeping_passes: u32,
}

impl Pool {
    /// Connections in any state.
    pub(super) fn open(&self) -> u32 {
        (self.in_use.len() + self.idle.len()) as u32
    }

    /// Connections that are idle or busy.
    pub(super) fn established(&self) -> u32 {
        self.open() - self.opening
    }

    /// Removes a connection from those in use; returns whether it was one of them.
    pub(super) fn remove_in_use(&mut self, id: ConnectionId) -> bool {
        let position = self.in_use.iter().position(|in_use| *in_use == id);
        if let Some(position) = position {
            self.in_use.swap_remove(position);
        }
        position.is_some()
    }

    /// Updates the peak number of connections in use.
    pub(super) fn record_use(&mut self) {
        let in_use = self.in_use.len() as u32;
        self.peak_in_use = self.peak_in_use.max(in_use);
    }

    /// Runs one housekeeping pass; returns an idle connection to close, if there is a surplus.
    pub(super) fn reap(&mut self, parameters: &ConnectionParameters) -> Option<ConnectionId> {
        self.housekeeping_passes += 1;
        if self.housekeeping_passes < parameters.idle_passes {
            return None;
        }
        let kept = self.peak_in_use.max(parameters.warm);
        if self.open() > kept && !self.idle.is_empty() {
            // The front connection has been idle longest.
            return Some(self.idle.remove(0));
        }
        self.housekeeping_passes = 0;
        self.peak_in_use = self.in_use.len() as u32;
        None
    }
}

/// Exponential backoff with jitter after failures to connect.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    retry_at: Option<Timestamp>,
}

impl Backoff {
    /// Whether a connection may be opened now.
    pub(super) fn allows(&self, now: Timestamp) -> bool {
        self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }

    /// Resets the backoff after a successful connect.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; returns the time of the next attempt to connect. Half of the backoff is
    /// random, so that nodes do not reconnect at the same time.
    pub(super) fn record_failure(
        &mut self,
        parameters: &ConnectionParameters,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Timestamp {
        let doublings = self.failures.min(16);
        self.failures += 1;
        let full_pause = parameters.first_backoff * 2u32.pow(doublings);
        let full_pause = full_pause.min(parameters.longest_backoff);
        let pause = full_pause.mul_f64(random.random_range(0.5..1.0));
        self.retry_at = Some(now + pause);
        now + pause
    }
}
