//! Queue of the parts of requests that wait for a connection of one server.
//!
//! Guards against an overload in which every answer is late: in order of arrival, parts that can
//! still be answered in time would wait behind parts that cannot. Parts that can be in time are sent
//! first, the most urgent ones before the others. Late parts follow in the order of their requests'
//! deadlines, so that the servers of all shards work on the same requests.

use crate::driver_action::CallerId;
use crate::time::Timestamp;

/// A part of a request that waits for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct QueuedPart {
    pub(in crate::gateway) caller: CallerId,
    pub(in crate::gateway) part: usize,
    /// Latest time of sending at which the answer is expected to be in time.
    pub(in crate::gateway) send_by: Timestamp,
    /// Deadline of the request.
    pub(in crate::gateway) deadline: Timestamp,
}

/// The queued parts of one server.
#[derive(Debug, Default)]
pub(in crate::gateway) struct PartQueue {
    /// In order of arrival.
    parts: Vec<QueuedPart>,
}

impl PartQueue {
    pub(in crate::gateway) fn len(&self) -> usize {
        self.parts.len()
    }

    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    pub(in crate::gateway) fn push(&mut self, part: QueuedPart) {
        self.parts.push(part);
    }

    /// Removes and returns the part to send next.
    pub(in crate::gateway) fn pop(&mut self, now: Timestamp) -> Option<QueuedPart> {
        let parts = self.parts.iter().enumerate();
        let in_time = parts.filter(|(_, part)| part.send_by >= now);
        let most_urgent = in_time.min_by_key(|(_, part)| part.send_by);
        let parts = self.parts.iter().enumerate();
        let earliest_deadline = || parts.min_by_key(|(_, part)| part.deadline);
        let (index, _) = most_urgent.or_else(earliest_deadline)?;
        Some(self.parts.remove(index))
    }

    pub(in crate::gateway) fn remove(&mut self, caller: CallerId, part: usize) {
        self.parts
            .retain(|queued| (queued.caller, queued.part) != (caller, part));
    }
}
