//! Choice of the account that gives way.
//!
//! Callers that the process waits for go first while they hold half or more: they can end the wait, and
//! their requests are in nobody's hands. Otherwise a request that waits for its answer may go as well, so
//! that requests that are never answered do not keep all others out. Among them goes who has held the most
//! for the longest; callers that come and go are not long enough there to be chosen.

use super::{Entry, Phase, State};
use std::time::Instant;

/// The account to evict, by what each holds; `None` if none holds anything that it does not release already.
pub(super) fn choose_victim(state: &State, held: impl Fn(&Entry) -> usize) -> Option<u64> {
    let now = Instant::now();
    let total = sum(state, &held, |_| true);
    let of_awaited_callers = sum(state, &held, is_awaited);
    let only_awaited = of_awaited_callers * 2 >= total;
    let candidates = state.accounts.iter().filter(|(_, entry)| {
        !entry.is_releasing && held(entry) > 0 && (!only_awaited || is_awaited(entry))
    });
    let victim = candidates.max_by_key(|(_, entry)| {
        let for_us = now.saturating_duration_since(entry.phase_since).as_micros();
        (held(entry) as u128) * (for_us + 1)
    });
    victim.map(|(key, _)| *key)
}

fn sum(state: &State, held: impl Fn(&Entry) -> usize, counts: impl Fn(&Entry) -> bool) -> usize {
    let entries = state.accounts.values();
    let entries = entries.filter(|entry| !entry.is_releasing && counts(entry));
    entries.map(held).sum()
}

fn is_awaited(entry: &Entry) -> bool {
    entry.phase == Phase::AwaitingCaller
}
