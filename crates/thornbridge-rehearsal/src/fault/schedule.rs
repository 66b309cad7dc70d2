//! When each fault of a rehearsal begins and ends.

use super::Fault;
use crate::scenario::{hash_parts, unit};
use std::time::Duration;
use thornbridge_core::Timestamp;

/// Purpose of the hash that moves windows.
const WINDOW_PURPOSE: u64 = 11;
const OFFSET_PURPOSE: u64 = 12;
/// Windows begin up to this share of the duration later than their base.
const WINDOW_JITTER: f64 = 0.05;
/// A fault named a second time begins this share of the duration after the first.
const REPEAT_SHIFT: f64 = 0.25;

/// One fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultWindow {
    /// The fault.
    pub fault: Fault,
    /// Begin.
    pub begins: Timestamp,
    /// End.
    pub ends: Timestamp,
    /// Seed of its own choices.
    pub seed: u64,
    /// Moves the choice of servers; the same for all faults of a rehearsal, so that faults that
    /// are on together hit servers of different shards, and one more for each repetition.
    pub offset: u32,
}

/// All faults of one rehearsal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultSchedule {
    /// Windows, in the order that the faults were named in.
    pub windows: Vec<FaultWindow>,
}

impl FaultSchedule {
    /// Places the named faults between `start` and `start + duration`. The same fault may be
    /// named several times.
    pub fn new(faults: &[Fault], start: Timestamp, duration: Duration, seed: u64) -> Self {
        let mut windows = Vec::with_capacity(faults.len());
        for (position, fault) in faults.iter().enumerate() {
            let earlier = faults[..position]
                .iter()
                .filter(|earlier| *earlier == fault)
                .count();
            windows.push(window(*fault, earlier, start, duration, seed));
        }
        Self { windows }
    }

    /// The windows of a fault that hold a time.
    pub fn active(&self, fault: Fault, now: Timestamp) -> impl Iterator<Item = &FaultWindow> {
        self.windows.iter().filter(move |window| {
            window.fault == fault && window.begins <= now && now < window.ends
        })
    }

    /// Whether a fault is on.
    pub fn is_active(&self, fault: Fault, now: Timestamp) -> bool {
        self.active(fault, now).next().is_some()
    }
}

fn window(
    fault: Fault,
    earlier: usize,
    start: Timestamp,
    duration: Duration,
    seed: u64,
) -> FaultWindow {
    let (begin, end) = base_window(fault);
    let offset = hash_parts(seed, &[OFFSET_PURPOSE]) as u32 % 1_000 + earlier as u32;
    let seed = hash_parts(seed, &[WINDOW_PURPOSE, fault as u64, earlier as u64]);
    let shift = unit(seed) * WINDOW_JITTER + earlier as f64 * REPEAT_SHIFT;
    let at = |share: f64| start + duration.mul_f64(share.min(0.95));
    FaultWindow {
        fault,
        begins: at(begin + shift),
        ends: at(end + shift),
        seed,
        offset,
    }
}

/// Begin and end as shares of the duration.
fn base_window(fault: Fault) -> (f64, f64) {
    match fault {
        Fault::Straggler | Fault::LoadReportLag | Fault::LoadReportLie => (0.1, 0.9),
        Fault::ReplicaLoss | Fault::PacketLoss | Fault::Shed => (0.3, 0.7),
        Fault::Repartition | Fault::SnapshotChange => (0.2, 0.7),
        Fault::StoreDown | Fault::StoreSlow | Fault::StoreLostAnswer => (0.3, 0.6),
        Fault::PausedLease => (0.35, 0.6),
        Fault::OperatorRace | Fault::AutomationRace => (0.4, 0.6),
        Fault::NodeCrash | Fault::NodeRestart | Fault::ColdStart => (0.3, 0.6),
        Fault::ZoneLoss | Fault::RegionSplit => (0.35, 0.55),
        Fault::Overload => (0.4, 0.6),
    }
}
