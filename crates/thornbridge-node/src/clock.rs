//! The driver's clock: monotonic, counted from the start of the node, time included in which the machine
//! was suspended.
//!
//! Guards against a node that takes its views, leases and requests for younger than they are after its
//! machine was suspended: the kernel's monotonic clock, and with it the runtime's, stands still then.
//! Timers of the runtime itself (timeouts of reads and of new connections) still do not count that time;
//! each of them ends what it bounds a little later, and decides nothing.

#[cfg(test)]
mod tests;

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;
use thornbridge_core::Timestamp;
use tokio::time::Instant;

/// Least suspension that counts: two clocks cannot be read at one moment, and the process may lose the
/// processor between them.
const LEAST_SUSPENSION: Duration = Duration::from_millis(50);

/// Turns the runtime's monotonic time into the core's and back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    epoch: Instant,
    /// Time for which the machine was suspended since it started.
    suspended_time: fn() -> Duration,
    /// The same when this clock started.
    suspended_before: Duration,
    /// Time for which it was suspended since then, as far as is known.
    suspended: Duration,
}

impl Clock {
    /// A clock whose epoch is now.
    pub(crate) fn start() -> Self {
        Self::start_with(suspended_time)
    }

    /// The same, with another source of the time for which the machine was suspended.
    fn start_with(suspended_time: fn() -> Duration) -> Self {
        Self {
            epoch: Instant::now(),
            suspended_time,
            suspended_before: suspended_time(),
            suspended: Duration::ZERO,
        }
    }

    /// Counts the time for which the machine was suspended; to be called at each wake.
    pub(crate) fn catch_up(&mut self) {
        let suspended = (self.suspended_time)().saturating_sub(self.suspended_before);
        if suspended >= self.suspended + LEAST_SUSPENSION {
            self.suspended = suspended;
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_epoch(self.epoch.elapsed() + self.suspended)
    }

    /// The runtime's instant of a timestamp, at most `horizon` from now.
    pub(crate) fn instant(&self, timestamp: Timestamp, horizon: Duration) -> Instant {
        let latest = Instant::now() + horizon;
        self.epoch
            .checked_add(timestamp.since_epoch().saturating_sub(self.suspended))
            .map_or(latest, |instant| instant.min(latest))
    }
}

/// Time for which the machine was suspended since it started: by that the clock that counts it is ahead
/// of the one that does not. Zero where the system has no such clocks.
fn suspended_time() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    // In this order a moment between the two readings does not look like a suspension.
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(counting), Ok(steady)) => counting.saturating_sub(steady),
        _ => Duration::ZERO,
    }
}

/// Notices that the process did not run for a while.
///
/// The driver wakes at least once a [`tick`](crate::settings::TransportParameters::tick), so a
/// longer gap between two wakes means that the process was paused (SIGSTOP, a suspended virtual
/// machine) or starved. It is told before any other event, so that leases are judged first.
#[derive(Debug)]
pub(crate) struct PauseDetector {
    last_wake: Timestamp,
    threshold: Duration,
}

impl PauseDetector {
    /// A detector that reports gaps above `threshold`.
    pub(crate) fn new(now: Timestamp, threshold: Duration) -> Self {
        Self {
            last_wake: now,
            threshold,
        }
    }

    /// Takes a wake; gives the gap before it when that was too long.
    pub(crate) fn wake(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.since(self.last_wake);
        self.last_wake = now;
        (gap > self.threshold).then_some(gap)
    }
}
