//! Bounded queue of messages to a peer. Drops the oldest messages when full.

use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use tokio::sync::Notify;

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueLimits {
    /// Maximum number of messages.
    pub(super) messages: usize,
    /// Maximum number of bytes; a single larger message is kept.
    pub(super) bytes: usize,
}

#[derive(Debug, Default)]
struct Queued {
    messages: VecDeque<Bytes>,
    bytes: usize,
}

/// Queue of encoded messages to one peer.
#[derive(Debug)]
pub(super) struct SendQueue {
    limits: QueueLimits,
    queued: Mutex<Queued>,
    message_added: Notify,
}

impl SendQueue {
    pub(super) fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            queued: Mutex::default(),
            message_added: Notify::new(),
        }
    }

    /// Appends a message; returns the number of older messages dropped.
    ///
    /// Dropping the oldest is safe, since later messages supersede earlier ones.
    pub(super) fn push(&self, message: Bytes) -> u64 {
        let mut dropped = 0;
        {
            let mut queued = self.lock();
            queued.bytes += message.len();
            queued.messages.push_back(message);
            while queued.messages.len() > 1 && self.exceeds_limits(&queued) {
                if let Some(oldest) = queued.messages.pop_front() {
                    queued.bytes -= oldest.len();
                    dropped += 1;
                }
            }
        }
        self.message_added.notify_one();
        dropped
    }

    /// Removes and returns all messages, oldest first.
    pub(super) fn take(&self) -> VecDeque<Bytes> {
        let mut queued = self.lock();
        queued.bytes = 0;
        std::mem::take(&mut queued.messages)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lock().messages.is_empty()
    }

    /// Waits until a message was added; may also return without one.
    pub(super) async fn message_added(&self) {
        self.message_added.notified().await;
    }

    fn exceeds_limits(&self, queued: &Queued) -> bool {
        queued.messages.len() > self.limits.messages || queued.bytes > self.limits.bytes
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Queued> {
        self.queued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
