//! Memory for the bodies of servers' responses, for as long as anything refers to them.
//!
//! A body has a limit of its own, but many bodies at once may hold more than the process has. When
//! their sum exceeds the limit, the largest body that is still received is given up: a body that never
//! ends outgrows the others, and a body is kept if it is smaller than the limit divided by their number.

use crate::held_bytes::holding;
use bytes::Bytes;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio_util::sync::CancellationToken;

#[cfg(test)]
mod tests;

/// Parts of a process's memory, of which bodies may hold one. The others hold what callers send, buffers
/// of connections, and what the gateway knows.
const PROCESS_PARTS: usize = 4;

/// Memory for bodies.
#[derive(Debug)]
pub(super) struct BodyMemory {
    limit_bytes: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    used_bytes: usize,
    next_key: u64,
    bodies: HashMap<u64, HeldBody>,
}

#[derive(Debug)]
struct HeldBody {
    bytes: usize,
    is_complete: bool,
    given_up: CancellationToken,
}

/// Share of a [`BodyMemory`] that one body holds; released when dropped.
#[derive(Debug)]
pub(super) struct BodyReservation {
    memory: Arc<BodyMemory>,
    key: u64,
    given_up: CancellationToken,
}

impl BodyMemory {
    /// Memory of a process that may hold `process_bytes` in all.
    pub(super) fn of_process(process_bytes: usize) -> Self {
        Self::new(process_bytes / PROCESS_PARTS)
    }

    /// Memory for at most `limit_bytes`.
    fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            state: Mutex::default(),
        }
    }

    /// Reserves nothing yet, for one body.
    pub(super) fn reserve(self: &Arc<Self>) -> BodyReservation {
        let given_up = CancellationToken::new();
        let mut state = self.lock();
        let key = state.next_key;
        state.next_key += 1;
        let body = HeldBody {
            bytes: 0,
            is_complete: false,
            given_up: given_up.clone(),
        };
        state.bodies.insert(key, body);
        BodyReservation {
            memory: Arc::clone(self),
            key,
            given_up,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn remove(&mut self, key: u64) -> Option<HeldBody> {
        let body = self.bodies.remove(&key)?;
        self.used_bytes -= body.bytes;
        Some(body)
    }

    /// The largest body that can be given up.
    fn largest(&self) -> Option<u64> {
        let received = self.bodies.iter().filter(|(_, body)| !body.is_complete);
        let largest = received.max_by_key(|(_, body)| body.bytes);
        largest.map(|(key, _)| *key)
    }
}

impl BodyReservation {
    /// Adds to the share, and gives up the largest bodies if the sum exceeds the limit.
    pub(super) fn grow(&self, bytes: usize) {
        let mut state = self.memory.lock();
        let Some(body) = state.bodies.get_mut(&self.key) else {
            // Given up already.
            return;
        };
        body.bytes += bytes;
        state.used_bytes += bytes;
        while state.used_bytes > self.memory.limit_bytes {
            let Some(body) = state.largest().and_then(|key| state.remove(key)) else {
                return;
            };
            body.given_up.cancel();
        }
    }

    /// The complete body, which holds its share as long as anything refers to it.
    pub(super) fn hold(self, body: Bytes) -> Bytes {
        if let Some(held) = self.memory.lock().bodies.get_mut(&self.key) {
            held.is_complete = true;
        }
        holding(body, self)
    }

    /// Waits until this body is given up.
    pub(super) async fn given_up(&self) {
        self.given_up.cancelled().await;
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory.lock().remove(self.key);
    }
}
