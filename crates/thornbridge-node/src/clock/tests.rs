//! Pauses of the process, in paused time.

use super::{Clock, PauseDetector};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use thornbridge_core::Timestamp;

const THRESHOLD: Duration = Duration::from_millis(500);

#[tokio::test(start_paused = true)]
async fn only_gaps_beyond_the_threshold_are_pauses() {
    let clock = Clock::start();
    let mut pauses = PauseDetector::new(clock.now(), THRESHOLD);
    let mut gap = async |gap: Duration| {
        tokio::time::advance(gap).await;
        pauses.wake(clock.now())
    };
    assert_eq!(gap(Duration::from_millis(100)).await, None);
    assert_eq!(gap(THRESHOLD).await, None);
    let long = Duration::from_secs(7);
    assert_eq!(gap(long).await, Some(long));
    assert_eq!(gap(Duration::from_millis(100)).await, None);
}

#[tokio::test(start_paused = true)]
async fn far_timers_are_armed_at_the_horizon() {
    let clock = Clock::start();
    let horizon = Duration::from_millis(100);
    let at_horizon = tokio::time::Instant::now() + horizon;
    assert_eq!(clock.instant(Timestamp::MAX, horizon), at_horizon);
    assert_eq!(
        clock.instant(clock.now(), horizon),
        tokio::time::Instant::now()
    );
}

/// Time for which a machine is said to have been suspended.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// A suspended machine's steady clock stands still; what the node believes ages all the same.
#[tokio::test(start_paused = true)]
async fn a_suspension_counts_and_is_a_pause() {
    let suspended = || Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed));
    SUSPENDED_MS.store(9_000, Ordering::Relaxed);
    let mut clock = Clock::start_with(suspended);
    let mut pauses = PauseDetector::new(clock.now(), THRESHOLD);
    let timer = Timestamp::from_epoch(Duration::from_secs(8));
    SUSPENDED_MS.store(16_000, Ordering::Relaxed);
    assert_eq!(clock.now(), Timestamp::ZERO, "unseen until the next wake");
    clock.catch_up();
    let slept = Duration::from_secs(7);
    assert_eq!(clock.now(), Timestamp::ZERO + slept);
    assert_eq!(pauses.wake(clock.now()), Some(slept));
    let due = tokio::time::Instant::now() + Duration::from_secs(1);
    assert_eq!(clock.instant(timer, slept), due);
    clock.catch_up();
    assert_eq!(pauses.wake(clock.now()), None, "told once");
}

#[tokio::test(start_paused = true)]
async fn readings_that_are_a_little_apart_are_no_suspension() {
    let mut clock = Clock::start();
    clock.catch_up();
    assert_eq!(clock.now(), Timestamp::ZERO);
}
