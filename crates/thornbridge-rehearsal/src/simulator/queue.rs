//! Events in order of time, and of insertion where times are equal.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use thornbridge_core::Timestamp;

/// A queue of events. Payloads stay in place while only small keys move in the heap.
#[derive(Debug)]
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<(Timestamp, u64, u32)>>,
    payloads: Vec<Option<T>>,
    free: Vec<u32>,
    sequence: u64,
}

impl<T> EventQueue<T> {
    /// An empty queue.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            payloads: Vec::new(),
            free: Vec::new(),
            sequence: 0,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Timestamp, payload: T) {
        let place = match self.free.pop() {
            Some(place) => {
                self.payloads[place as usize] = Some(payload);
                place
            }
            None => {
                self.payloads.push(Some(payload));
                (self.payloads.len() - 1) as u32
            }
        };
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, place)));
    }

    /// Takes the earliest event.
    pub fn pop(&mut self) -> Option<(Timestamp, T)> {
        let Reverse((at, _, place)) = self.heap.pop()?;
        let payload = self.payloads[place as usize].take()?;
        self.free.push(place);
        Some((at, payload))
    }
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}
