//! Callers: they come at random, choose a node of their zone, and may try once more.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_core::Timestamp;

/// One try of a caller.
#[derive(Clone, Debug)]
pub(super) struct Try {
    /// Number of the request: the same in all of its tries.
    pub(super) content: u64,
    /// Position of the load.
    pub(super) load: usize,
    /// Zone of the caller.
    pub(super) zone: usize,
    /// When the caller first asked.
    pub(super) first_asked: Timestamp,
    /// Tries that are left.
    pub(super) tries_left: u32,
    /// Node that got it, and which run of it.
    pub(super) node: (usize, u32),
    /// When the caller gives up.
    pub(super) until: Timestamp,
}

/// Time until the next request of a rate.
pub(super) fn next_arrival(random: &mut Pcg64Mcg, rate: f64) -> Duration {
    let draw: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-libm::log(draw) / rate.max(1e-9))
}
