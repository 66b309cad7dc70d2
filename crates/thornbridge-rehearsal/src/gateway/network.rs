//! Delays, and who can reach whom.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_core::Timestamp;

/// One way within a zone.
const WITHIN_ZONE: Duration = Duration::from_micros(200);
/// One way between zones of a region.
const BETWEEN_ZONES: Duration = Duration::from_micros(900);
/// One way between regions.
const BETWEEN_REGIONS: Duration = Duration::from_millis(12);
/// One way between callers and nodes.
pub(super) const CALLER_WAY: Duration = Duration::from_millis(3);
/// Time that the store takes.
pub(super) const STORE_TIME: Duration = Duration::from_millis(4);
/// Part of a delay that varies.
const JITTER: f64 = 0.2;

/// What lies between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Span {
    /// Nothing: they stand in one zone.
    Zone,
    /// They stand in two zones of one region.
    Zones,
    /// They stand in two regions.
    Regions,
}

/// One way across a span.
pub(super) fn way(random: &mut Pcg64Mcg, span: Span) -> Duration {
    let way = match span {
        Span::Zone => WITHIN_ZONE,
        Span::Zones => BETWEEN_ZONES,
        Span::Regions => BETWEEN_REGIONS,
    };
    way.mul_f64(1.0 + random.random_range(0.0..JITTER))
}

/// How messages between nodes lag.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerLag {
    pub(super) until: Timestamp,
    /// Longest lag.
    pub(super) most: Duration,
}
