//! A digest over all that happens, and the last events in words for a violation's report.

use std::collections::VecDeque;
use std::fmt;
use thornbridge_core::Timestamp;
use xxhash_rust::xxh3::Xxh3;

/// Kind of a traced step; part of the digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Step {
    /// An event was handled by a node.
    NodeEvent = 1,
    /// A node asked for something.
    NodeAction = 2,
    /// Something happened on a server.
    Server = 3,
    /// Something happened at the platform.
    Platform = 4,
    /// Something happened to a caller.
    Caller = 5,
    /// A fault, a start or a stop.
    Life = 6,
}

/// Digest and recent events of a simulation.
pub struct Trace {
    hasher: Xxh3,
    recent: VecDeque<String>,
    kept: usize,
}

impl Trace {
    /// A trace that keeps this many recent events in words.
    pub fn new(kept: usize) -> Self {
        Self {
            hasher: Xxh3::new(),
            recent: VecDeque::with_capacity(kept),
            kept,
        }
    }

    /// Notes a step. The description is only made where events are kept in words.
    pub fn note(
        &mut self,
        now: Timestamp,
        step: Step,
        parts: [u64; 3],
        describe: impl FnOnce() -> String,
    ) {
        let mut bytes = [0; 40];
        let time = now.since_epoch().as_nanos() as u64;
        let numbers = [time, step as u64, parts[0], parts[1], parts[2]];
        for (place, number) in bytes.chunks_exact_mut(8).zip(numbers) {
            place.copy_from_slice(&number.to_le_bytes());
        }
        self.hasher.update(&bytes);
        if self.kept > 0 {
            self.keep(now, describe());
        }
    }

    fn keep(&mut self, now: Timestamp, description: String) {
        if self.recent.len() == self.kept {
            self.recent.pop_front();
        }
        let seconds = now.since_epoch().as_secs_f64();
        self.recent
            .push_back(format!("{seconds:12.6} {description}"));
    }

    /// The digest so far.
    pub fn digest(&self) -> String {
        format!("{:032x}", self.hasher.digest128())
    }

    /// The recent events in words.
    pub fn recent(&self) -> Vec<String> {
        self.recent.iter().cloned().collect()
    }
}

impl fmt::Debug for Trace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Trace").finish_non_exhaustive()
    }
}
