//! Activity of a caller's connection: idle, receiving a request head, or processing a request.
//!
//! hyper's own timeouts are fixed per connection; tracking the activity here lets a periodic check
//! apply idle and head timeouts that change while the connection is open.

use super::observed_stream::ReadObserver;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const IDLE: u8 = 0;
const RECEIVING_HEAD: u8 = 1;
const PROCESSING: u8 = 2;

/// Activity state of a connection and the time of its last change.
#[derive(Debug)]
pub(super) struct Activity {
    epoch: Instant,
    state: AtomicU8,
    state_since_ms: AtomicU64,
    requests: AtomicU64,
}

impl Activity {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            epoch: Instant::now(),
            state: AtomicU8::new(IDLE),
            state_since_ms: AtomicU64::new(0),
            requests: AtomicU64::new(0),
        })
    }

    /// Marks the start of a request; returns whether it is the first on the connection.
    pub(super) fn request_started(&self) -> bool {
        self.set_state(PROCESSING);
        self.requests.fetch_add(1, Ordering::Relaxed) == 0
    }

    /// Marks the connection as idle after a request.
    pub(super) fn request_ended(&self) {
        self.set_state(IDLE);
    }

    /// Whether the idle or the head timeout has passed.
    pub(super) fn is_overdue(&self, idle_timeout: Duration, head_timeout: Duration) -> bool {
        let since = Duration::from_millis(self.state_since_ms.load(Ordering::Relaxed));
        let elapsed = self.epoch.elapsed().saturating_sub(since);
        match self.state.load(Ordering::Relaxed) {
            IDLE => elapsed > idle_timeout,
            RECEIVING_HEAD => elapsed > head_timeout,
            _ => false,
        }
    }

    fn set_state(&self, state: u8) {
        let now = self.epoch.elapsed().as_millis() as u64;
        self.state.store(state, Ordering::Relaxed);
        self.state_since_ms.store(now, Ordering::Relaxed);
    }
}

impl ReadObserver for Activity {
    fn received(&self, _bytes: usize) {
        if self.state.load(Ordering::Relaxed) == IDLE {
            self.set_state(RECEIVING_HEAD);
        }
    }
}
