//! Eras of the platform's store, as its answers and peers tell them.
//!
//! Guards against answers of an earlier era that arrive late, and against values that cannot be: an
//! era that was believed once outranks all that came before it.

use snafu::Snafu;

/// Eras by which a store can have moved on since it was last heard.
const MOST_ERAS_MISSED: u64 = 1_000;
/// Highest era that is believed of a store that was not heard before.
const HIGHEST_FIRST_ERA: u64 = 1 << 32;

/// What an answer of the store says of its era.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ToldEra {
    /// Nothing.
    Missing,
    /// Something that is no era.
    Unreadable(String),
    /// This era.
    Told(u64),
}

/// An answer of an era that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("answer of era {told} after one of era {known}"))]
pub struct EndedEra {
    /// Era of the answer.
    pub told: u64,
    /// Era that is known.
    pub known: u64,
}

/// The newest era that the store told this process.
#[derive(Debug, Default)]
pub struct EraTracker {
    known: Option<u64>,
}

impl EraTracker {
    /// The era that an answer belongs to, and whether what it told can be believed. An answer that
    /// tells none, or one that cannot be, is no news: it belongs to the era that is known.
    pub fn take(&mut self, told: &ToldEra) -> Result<(u64, bool), EndedEra> {
        let known = self.known.unwrap_or_default();
        match told {
            ToldEra::Missing => Ok((known, true)),
            ToldEra::Told(told) if *told < known => Err(EndedEra { told: *told, known }),
            ToldEra::Told(told) if is_plausible(self.known, *told) => {
                self.known = Some(*told);
                Ok((*told, true))
            }
            ToldEra::Told(_) | ToldEra::Unreadable(_) => Ok((known, false)),
        }
    }
}

/// Whether a store of which this era is known can be in that one by now.
pub(in crate::gateway) fn is_plausible(known: Option<u64>, told: u64) -> bool {
    match known {
        Some(known) => told <= known.saturating_add(MOST_ERAS_MISSED),
        None => told <= HIGHEST_FIRST_ERA,
    }
}
