//! Connections to back ends: a pool for each, never above its share.
//!
//! One connection carries one attempt at a time. Connections are kept warm, as a new one costs
//! about a millisecond; idle ones beyond recent use are closed slowly.

use super::back_end::BackEndIndex;
use super::hash::LookupMap;
use crate::driver_action::ConnectionId;
use crate::time::Timestamp;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;
use thornbridge_proto::AttemptId;

/// Tunable values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConnectionParameters {
    /// Connections kept open to each back end of the subset without any use.
    pub warm: u32,
    /// First pause after a failure to connect; doubled by each further one.
    pub first_backoff: Duration,
    /// Longest pause.
    pub longest_backoff: Duration,
    /// Passes of housekeeping over which the greatest use is remembered before an idle
    /// connection is closed.
    pub idle_passes: u32,
    /// Time allowed for the reply to a cancelled attempt before its connection is closed.
    pub cancel_grace: Duration,
    /// Connections opened together when many are to be warmed up.
    pub warm_up_batch: u32,
    /// Time between two such batches.
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

/// State of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    Opening,
    Idle,
    Busy(AttemptId),
}

/// One connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) back_end: BackEndIndex,
    pub(super) state: ConnectionState,
    /// Belongs to an address that is no longer configured: closed when it is free.
    pub(super) retired: bool,
}

/// All connections by their handle.
#[derive(Debug, Default)]
pub(super) struct Connections {
    by_id: LookupMap<ConnectionId, Connection>,
    last_id: u64,
}

impl Connections {
    /// A new connection that is being opened.
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

/// Connections of one back end.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Connections that are not idle: opening or busy.
    pub(super) in_use: Vec<ConnectionId>,
    /// Free connections; the last one used is taken first, so that the others can age.
    pub(super) idle: Vec<ConnectionId>,
    /// How many of the engaged ones are still being opened.
    pub(super) opening: u32,
    /// Attempts that wait for a connection, in order of arrival.
    pub(super) waiting: VecDeque<AttemptId>,
    /// Pause after failures to connect.
    pub(super) backoff: Backoff,
    peak_in_use: u32,
    housekeeping_passes: u32,
}

impl Pool {
    /// Connections that count against the share.
    pub(super) fn open(&self) -> u32 {
        (self.in_use.len() + self.idle.len()) as u32
    }

    /// Connections that are open and work.
    pub(super) fn established(&self) -> u32 {
        self.open() - self.opening
    }

    /// A connection leaves the engaged ones. True where it was one of them.
    pub(super) fn remove_in_use(&mut self, id: ConnectionId) -> bool {
        let position = self.in_use.iter().position(|in_use| *in_use == id);
        if let Some(position) = position {
            self.in_use.swap_remove(position);
        }
        position.is_some()
    }

    /// Notes how many connections are in use.
    pub(super) fn record_use(&mut self) {
        let in_use = self.in_use.len() as u32;
        self.peak_in_use = self.peak_in_use.max(in_use);
    }

    /// One pass of housekeeping: gives an idle connection to close, at most one.
    pub(super) fn reap(&mut self, parameters: &ConnectionParameters) -> Option<ConnectionId> {
        self.housekeeping_passes += 1;
        if self.housekeeping_passes < parameters.idle_passes {
            return None;
        }
        let kept = self.peak_in_use.max(parameters.warm);
        if self.open() > kept && !self.idle.is_empty() {
            // The one at the front was used least lately.
            return Some(self.idle.remove(0));
        }
        self.housekeeping_passes = 0;
        self.peak_in_use = self.in_use.len() as u32;
        None
    }
}

/// Exponential pause with jitter after failures to connect.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
    retry_at: Option<Timestamp>,
}

impl Backoff {
    /// Whether a connection may be tried now.
    pub(super) fn allows(&self, now: Timestamp) -> bool {
        self.retry_at.is_none_or(|retry_at| now >= retry_at)
    }

    /// It worked.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }

    /// It did not; gives the time of the next try. Half of the pause is drawn at random, so that
    /// the nodes do not come back together.
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
