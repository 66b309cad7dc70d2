//! How long a sub-request takes on an idle server: a log-normal body with a Pareto tail.
//!
//! The shape follows J. Dean and L. A. Barroso, "The Tail at Scale", CACM 56(2), 2013: most
//! requests lie close together, and about one in a hundred takes several times as long because
//! of what else its server does just then (housekeeping, queues in the kernel, power states).
//! The body is log-normal. Most of its spread belongs to the work and is the same on each
//! replica, a smaller part belongs to the server; the tail belongs to the server alone, so that
//! another replica helps against it. After M. Jeon et al., "Predictive Parallelization", SIGIR
//! 2014, for search: the execution time depends mostly on the query.
//! All arithmetic goes through `libm`, so that a draw is the same on every machine.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Draws that [`ServiceTime::mean`] averages.
const MEAN_SAMPLES: u64 = 20_000;

/// Distribution of a service time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// Median of the body.
    #[serde(with = "humantime_serde")]
    pub median: Duration,
    /// Standard deviation of the logarithm over sub-requests: some searches are more work than
    /// others, on whichever server.
    pub work_sigma: f64,
    /// Standard deviation of the logarithm over servers, for the same sub-request.
    pub server_sigma: f64,
    /// Share of draws that are stretched.
    pub tail_probability: f64,
    /// Pareto shape of the stretching factor; smaller is heavier.
    pub tail_shape: f64,
    /// Largest stretching factor.
    pub tail_cap: f64,
}

impl ServiceTime {
    /// The service time of a draw: `work` is a hash of the sub-request, `server` one of the
    /// sub-request and its server. The same hashes give the same time.
    pub fn draw(&self, work: u64, server: u64) -> Duration {
        let spread =
            self.work_sigma * standard_normal(work) + self.server_sigma * standard_normal(server);
        let body = libm::exp(spread);
        let factor = if unit(rehash(server, 3)) < self.tail_probability {
            let uniform = unit(rehash(server, 4)).max(f64::MIN_POSITIVE);
            libm::pow(uniform, -1.0 / self.tail_shape).min(self.tail_cap)
        } else {
            1.0
        };
        let nanoseconds = self.median.as_nanos() as f64 * body * factor;
        Duration::from_nanos(nanoseconds as u64)
    }

    /// Mean, from a fixed sample.
    pub fn mean(&self) -> Duration {
        let total: Duration = (0..MEAN_SAMPLES)
            .map(|index| self.draw(rehash(index, 0), rehash(index, 5)))
            .sum();
        total / MEAN_SAMPLES as u32
    }
}

/// A hash of parts under a seed, the same on every machine.
pub fn hash_parts(seed: u64, parts: &[u64]) -> u64 {
    let mut bytes = [0; 64];
    let used = parts.len() * 8;
    for (place, part) in bytes.chunks_exact_mut(8).zip(parts) {
        place.copy_from_slice(&part.to_le_bytes());
    }
    xxh3_64_with_seed(&bytes[..used.min(64)], seed)
}

/// A number in `0..1` from a hash.
pub fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 * (1.0 / (1u64 << 53) as f64)
}

fn rehash(hash: u64, purpose: u64) -> u64 {
    hash_parts(purpose, &[hash])
}

/// Box and Muller, 1958.
fn standard_normal(hash: u64) -> f64 {
    let radius = unit(rehash(hash, 1)).max(f64::MIN_POSITIVE);
    let angle = unit(rehash(hash, 2));
    libm::sqrt(-2.0 * libm::log(radius)) * libm::cos(core::f64::consts::TAU * angle)
}
