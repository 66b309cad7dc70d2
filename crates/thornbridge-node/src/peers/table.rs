//! Table of peers: queue, open links and dial backoff of each.

use super::queue::{QueueLimits, SendQueue};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Error: the table is at its limit of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TableFull;

/// Whether the calling task has to dial the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Dial {
    /// The caller has to dial; the table is marked accordingly.
    Needed,
    /// There is a link or a dial in progress, or nothing to send.
    NotNeeded,
}

/// Queue of a peer, and whether a link has to be dialled.
#[derive(Debug)]
pub(super) struct QueueHandle {
    pub(super) queue: Arc<SendQueue>,
    pub(super) dial: Dial,
}

#[derive(Debug)]
struct PeerEntry {
    queue: Arc<SendQueue>,
    link_count: usize,
    dialling: bool,
    /// Failed dials in a row.
    failures: u32,
    dial_not_before: Option<Instant>,
    last_used: Instant,
}

/// Peers of this node, by address.
#[derive(Debug)]
pub(super) struct LinkTable {
    max_peers: usize,
    limits: QueueLimits,
    entries: Mutex<BTreeMap<SocketAddr, PeerEntry>>,
}

impl LinkTable {
    pub(super) fn new(max_peers: usize, limits: QueueLimits) -> Self {
        Self {
            max_peers,
            limits,
            entries: Mutex::default(),
        }
    }

    /// Returns the queue of a peer and marks a dial as in progress if one is needed.
    pub(super) fn queue_for(&self, address: SocketAddr) -> Result<QueueHandle, TableFull> {
        let mut entries = self.lock();
        let entry = self.entry(&mut entries, address)?;
        let dial = entry.start_dial_if_unlinked();
        let queue = Arc::clone(&entry.queue);
        Ok(QueueHandle { queue, dial })
    }

    /// Registers an established link that the peer dialled.
    pub(super) fn link_accepted(&self, address: SocketAddr) -> Result<Arc<SendQueue>, TableFull> {
        let mut entries = self.lock();
        let entry = self.entry(&mut entries, address)?;
        entry.link_opened();
        Ok(Arc::clone(&entry.queue))
    }

    /// Registers an established link that this node dialled.
    pub(super) fn link_dialled(&self, address: SocketAddr) {
        if let Some(entry) = self.lock().get_mut(&address) {
            entry.dialling = false;
            entry.link_opened();
        }
    }

    /// Records a failed dial; the next dial waits for `backoff`.
    pub(super) fn dial_failed(&self, address: SocketAddr, backoff: Duration) {
        if let Some(entry) = self.lock().get_mut(&address) {
            entry.dialling = false;
            entry.failures = entry.failures.saturating_add(1);
            entry.dial_not_before = Some(Instant::now() + backoff);
        }
    }

    /// Number of failed dials in a row.
    pub(super) fn failures(&self, address: SocketAddr) -> u32 {
        self.lock().get(&address).map_or(0, |entry| entry.failures)
    }

    /// Time to wait before the next dial.
    pub(super) fn dial_backoff(&self, address: SocketAddr) -> Option<Duration> {
        let dial_not_before = self.lock().get(&address)?.dial_not_before?;
        dial_not_before.checked_duration_since(Instant::now())
    }

    /// Removes an ended link. A dial is needed if messages are queued and there is no other link.
    pub(super) fn link_ended(&self, address: SocketAddr) -> Dial {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&address) else {
            return Dial::NotNeeded;
        };
        entry.link_count = entry.link_count.saturating_sub(1);
        if entry.queue.is_empty() {
            return Dial::NotNeeded;
        }
        entry.start_dial_if_unlinked()
    }

    /// Whether a link to the peer is established.
    pub(super) fn has_link(&self, address: SocketAddr) -> bool {
        self.lock()
            .get(&address)
            .is_some_and(|entry| entry.link_count > 0)
    }

    /// Number of established links.
    pub(super) fn links(&self) -> usize {
        self.lock().values().map(|entry| entry.link_count).sum()
    }

    /// Removes peers without a link that have been unused for `max_unused`.
    pub(super) fn remove_unused(&self, max_unused: Duration) {
        let now = Instant::now();
        self.lock().retain(|_, entry| {
            entry.link_count > 0
                || entry.dialling
                || now.duration_since(entry.last_used) < max_unused
        });
    }

    fn entry<'a>(
        &self,
        entries: &'a mut BTreeMap<SocketAddr, PeerEntry>,
        address: SocketAddr,
    ) -> Result<&'a mut PeerEntry, TableFull> {
        if entries.len() >= self.max_peers && !entries.contains_key(&address) {
            return Err(TableFull);
        }
        let entry = entries.entry(address).or_insert_with(|| PeerEntry {
            queue: Arc::new(SendQueue::new(self.limits)),
            link_count: 0,
            dialling: false,
            failures: 0,
            dial_not_before: None,
            last_used: Instant::now(),
        });
        entry.last_used = Instant::now();
        Ok(entry)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerEntry {
    fn start_dial_if_unlinked(&mut self) -> Dial {
        if self.link_count > 0 || self.dialling {
            return Dial::NotNeeded;
        }
        self.dialling = true;
        Dial::Needed
    }

    fn link_opened(&mut self) {
        self.link_count += 1;
        self.failures = 0;
        self.dial_not_before = None;
    }
}
