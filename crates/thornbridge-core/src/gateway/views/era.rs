//! Eras of the platform's store, as reported by its answers and by peers.
//!
//! A store that is restored from a backup begins a new era. Late answers of an earlier era are
//! rejected. Implausibly high eras are ignored, since an accepted era supersedes all lower ones.

use snafu::Snafu;

/// Largest plausible advance over the current era, while the store was not heard of.
const MAX_ERA_ADVANCE: u64 = 1_000;
/// Highest plausible era while none is known.
const MAX_INITIAL_ERA: u64 = 1 << 32;

/// Era reported by an answer of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportedEra {
    /// No era reported.
    Missing,
    /// Value that does not parse as an era.
    Unreadable(String),
    /// Parsed era.
    Era(u64),
}

/// Error for an answer of an era older than the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("answer of era {reported} after one of era {current}"))]
pub struct StaleEra {
    /// Era of the answer.
    pub reported: u64,
    /// Current era.
    pub current: u64,
}

/// The newest era that the store reported to this process.
#[derive(Debug, Default)]
pub struct EraTracker {
    current: Option<u64>,
}

impl EraTracker {
    /// Whether an era after `era` has begun.
    pub fn is_past(&self, era: u64) -> bool {
        self.current.is_some_and(|current| current > era)
    }

    /// Returns the era to assign to an answer, and whether its reported era was acceptable.
    ///
    /// An answer with a missing, unreadable or implausible era is assigned to the current era.
    pub fn observe(&mut self, reported: &ReportedEra) -> Result<(u64, bool), StaleEra> {
        let current = self.current.unwrap_or_default();
        match reported {
            ReportedEra::Missing => Ok((current, true)),
            ReportedEra::Era(reported) if *reported < current => Err(StaleEra {
                reported: *reported,
                current,
            }),
            ReportedEra::Era(reported) if is_plausible_era(self.current, *reported) => {
                self.current = Some(*reported);
                Ok((*reported, true))
            }
            ReportedEra::Era(_) | ReportedEra::Unreadable(_) => Ok((current, false)),
        }
    }
}

/// Whether a reported era is in the plausible range above the current one.
pub(in crate::gateway) fn is_plausible_era(current: Option<u64>, reported: u64) -> bool {
    match current {
        Some(current) => reported <= current.saturating_add(MAX_ERA_ADVANCE),
        None => reported <= MAX_INITIAL_ERA,
    }
}
