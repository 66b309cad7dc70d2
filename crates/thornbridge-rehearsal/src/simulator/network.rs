//! Delays and losses between places.

use crate::fault::{Fault, FaultSchedule, FaultWindow};
use crate::scenario::{Scenario, hash_parts, unit};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use thornbridge_core::Timestamp;

/// Retransmission time-out of TCP on a short path (RFC 6298 with the usual 200 ms floor).
pub const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Share of messages lost under [`Fault::PacketLoss`].
const PACKET_LOSS: f64 = 0.01;
/// One way between the platform and any zone.
const TO_PLATFORM: Duration = Duration::from_millis(2);
const ZONE_PURPOSE: u64 = 31;

/// A place on the network: a zone, or outside all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In a zone, by position in the scenario.
    Zone(usize),
    /// Where callers are.
    Callers,
    /// Where the platform and operators are.
    Platform,
}

/// Delays between places under the faults of a schedule.
#[derive(Debug)]
pub struct Network {
    random: Pcg64Mcg,
    schedule: FaultSchedule,
    regions: Vec<usize>,
    same_zone: Duration,
    between_zones: Duration,
    between_regions: Duration,
    to_callers: Duration,
    jitter: f64,
}

impl Network {
    /// The network of a scenario.
    pub fn new(scenario: &Scenario, schedule: FaultSchedule, seed: u64) -> Self {
        let mut names = Vec::new();
        let mut regions = Vec::new();
        for zone in &scenario.zones {
            let known = names.iter().position(|name| *name == zone.region);
            regions.push(known.unwrap_or(names.len()));
            if known.is_none() {
                names.push(zone.region.clone());
            }
        }
        let delays = &scenario.network;
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            schedule,
            regions,
            same_zone: delays.same_zone,
            between_zones: delays.between_zones,
            between_regions: delays.between_regions,
            to_callers: delays.to_callers,
            jitter: delays.jitter,
        }
    }

    /// Delay without jitter.
    pub fn base_delay(&self, from: Place, to: Place) -> Duration {
        match (from, to) {
            (Place::Zone(from), Place::Zone(to)) if from == to => self.same_zone,
            (Place::Zone(from), Place::Zone(to)) if self.regions[from] == self.regions[to] => {
                self.between_zones
            }
            (Place::Zone(_), Place::Zone(_)) => self.between_regions,
            (Place::Callers, _) | (_, Place::Callers) => self.to_callers,
            (Place::Platform, _) | (_, Place::Platform) => TO_PLATFORM,
        }
    }

    /// Delay of a message that is sent again until it arrives; `None` where the places are cut off.
    pub fn reliable(&mut self, now: Timestamp, from: Place, to: Place) -> Option<Duration> {
        if !self.connected(now, from, to) {
            return None;
        }
        let mut delay = self.jittered(from, to);
        if self.schedule.is_active(Fault::PacketLoss, now) {
            while self.random.random::<f64>() < PACKET_LOSS {
                delay += RETRANSMISSION_TIMEOUT;
            }
        }
        Some(delay)
    }

    /// Delay of a message that is sent once; `None` where it is lost.
    pub fn best_effort(&mut self, now: Timestamp, from: Place, to: Place) -> Option<Duration> {
        if !self.connected(now, from, to) {
            return None;
        }
        let lossy = self.schedule.is_active(Fault::PacketLoss, now);
        if lossy && self.random.random::<f64>() < PACKET_LOSS {
            return None;
        }
        Some(self.jittered(from, to))
    }

    fn jittered(&mut self, from: Place, to: Place) -> Duration {
        let base = self.base_delay(from, to);
        let nanoseconds = base.as_nanos() as f64 * self.jitter * self.random.random::<f64>();
        base + Duration::from_nanos(nanoseconds as u64)
    }

    /// Whether messages pass between two places.
    pub fn connected(&self, now: Timestamp, from: Place, to: Place) -> bool {
        let lost = self
            .schedule
            .active(Fault::ZoneLoss, now)
            .any(|window| self.cuts(window, from) != self.cuts(window, to));
        !lost && !self.split(now, from, to)
    }

    fn cuts(&self, window: &FaultWindow, place: Place) -> bool {
        place == Place::Zone(lost_zone(window, self.regions.len())) && !loses_power(window)
    }

    fn split(&self, now: Timestamp, from: Place, to: Place) -> bool {
        if !self.schedule.is_active(Fault::RegionSplit, now) {
            return false;
        }
        match (from, to) {
            (Place::Zone(from), Place::Zone(to)) => self.side(from) != self.side(to),
            (Place::Zone(zone), Place::Platform) | (Place::Platform, Place::Zone(zone)) => {
                self.side(zone)
            }
            _ => false,
        }
    }

    /// Side of a zone in a split: by region, or by halves where there is one region only.
    /// The platform lies on the first side.
    fn side(&self, zone: usize) -> bool {
        let several = self.regions.iter().any(|region| *region != self.regions[0]);
        if several {
            self.regions[zone] != self.regions[0]
        } else {
            zone >= self.regions.len().div_ceil(2)
        }
    }
}

/// The zone that a window of [`Fault::ZoneLoss`] hits.
pub fn lost_zone(window: &FaultWindow, zones: usize) -> usize {
    (hash_parts(window.seed, &[ZONE_PURPOSE]) % zones as u64) as usize
}

/// Whether a window of [`Fault::ZoneLoss`] takes the power and not only the network.
pub fn loses_power(window: &FaultWindow) -> bool {
    unit(hash_parts(window.seed, &[ZONE_PURPOSE, 1])) < 0.5
}
