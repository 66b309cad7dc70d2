//! Building blocks of gossip and anti-entropy: transmission queue, send budget, sync schedule.

mod send_budget;
mod sync;
mod transmission_queue;

pub use send_budget::SendBudget;
pub use sync::{SyncSchedule, differing_buckets};
pub use transmission_queue::{Allowance, TransmissionQueue, Urgency};

#[cfg(test)]
mod tests;

/// Number of times each node sends a change, so that all `members` are likely to receive it.
///
/// Each member receives this many copies on average, so the expected number of members missed is
/// `members * e^-transmissions`, at most `e^-margin` whatever the size of the cluster.
pub fn transmissions(margin: u32, members: usize) -> u32 {
    (members.max(1) as f64).ln().ceil() as u32 + margin
}
