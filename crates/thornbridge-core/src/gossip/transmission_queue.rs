//! Queue of changes to gossip, ordered by urgency, then by number of transmissions, then by age.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Urgency of a change; lower variants are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A planned stop; may use the reserve of the send budget.
    Leaving,
    /// A state that determines where work is sent.
    State,
    /// A suspicion or vote, which does not by itself determine where work is sent.
    Unconfirmed,
    /// A description of a member or back end.
    Metadata,
}

/// Size limits of one message.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Limit for changes of [`Urgency::Leaving`].
    pub leaving_bytes: usize,
    /// Limit for all other changes.
    pub other_bytes: usize,
}

/// Sort key: urgency, number of transmissions, sequence number.
type QueuePosition = (Urgency, u32, u64);

#[derive(Debug)]
struct Queued<S, T> {
    subject: S,
    change: T,
    bytes: usize,
    transmissions: u32,
}

/// Queue that holds at most one change per subject, the latest.
#[derive(Debug)]
pub struct TransmissionQueue<S, T> {
    entries: BTreeMap<QueuePosition, Queued<S, T>>,
    positions: BTreeMap<S, QueuePosition>,
    last_sequence: u64,
}

impl<S, T> Default for TransmissionQueue<S, T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            positions: BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<S: Copy + Ord, T: Clone> TransmissionQueue<S, T> {
    /// Queues a change with its encoded size, to be sent `transmissions` times. Replaces a queued
    /// change of the same subject.
    pub fn push(
        &mut self,
        subject: S,
        urgency: Urgency,
        transmissions: u32,
        (change, bytes): (T, usize),
    ) {
        self.remove(&subject);
        self.last_sequence += 1;
        let position = (urgency, 0, self.last_sequence);
        let queued = Queued {
            subject,
            change,
            bytes,
            transmissions,
        };
        self.entries.insert(position, queued);
        self.positions.insert(subject, position);
    }

    /// Selects changes for one message, and counts their transmission.
    pub fn take(&mut self, allowance: Allowance) -> Vec<T> {
        let mut selected = Vec::new();
        let mut message_bytes = 0;
        for (position, queued) in &self.entries {
            let limit = match position.0 {
                Urgency::Leaving => allowance.leaving_bytes,
                Urgency::State | Urgency::Unconfirmed | Urgency::Metadata => allowance.other_bytes,
            };
            if message_bytes + queued.bytes > limit {
                break;
            }
            message_bytes += queued.bytes;
            selected.push(*position);
        }
        selected
            .into_iter()
            .filter_map(|position| self.record_transmission(position))
            .collect()
    }

    /// Whether no change is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the change of a subject.
    pub fn remove(&mut self, subject: &S) {
        if let Some(position) = self.positions.remove(subject) {
            self.entries.remove(&position);
        }
    }

    /// Removes the changes of a range of subjects.
    pub fn remove_range(&mut self, subjects: RangeInclusive<S>) {
        let matching: Vec<S> = self
            .positions
            .range(subjects)
            .map(|(subject, _)| *subject)
            .collect();
        for subject in matching {
            self.remove(&subject);
        }
    }

    /// Counts a transmission; removes the change after the last one.
    fn record_transmission(&mut self, position: QueuePosition) -> Option<T> {
        let queued = self.entries.remove(&position)?;
        let change = queued.change.clone();
        let (urgency, sent_count, sequence) = position;
        if sent_count + 1 < queued.transmissions {
            let position = (urgency, sent_count + 1, sequence);
            self.positions.insert(queued.subject, position);
            self.entries.insert(position, queued);
        } else {
            self.positions.remove(&queued.subject);
        }
        Some(change)
    }
}
