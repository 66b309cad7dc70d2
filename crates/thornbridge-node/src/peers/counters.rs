//! Counters and errors of the peer links. Errors are counted by kind and logged once per source.

use serde::Serialize;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Maximum number of remembered log entries; the oldest is evicted and may be logged again.
const MAX_LOG_ENTRIES: usize = 256;

/// Why a link was refused or cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkError {
    /// Received bytes are not valid in the protocol.
    Malformed,
    /// Received frame exceeds the length limit.
    Oversized,
    /// Unsupported protocol version.
    UnknownVersion,
    /// The peer has not proved possession of the cluster key.
    WrongClusterKey,
    /// A frame was changed, repeated or dropped in transit.
    Tampered,
    /// The handshake did not complete in time.
    HandshakeTimeout,
    /// The node dialled itself.
    OwnAddress,
    /// The connection broke or could not be opened.
    ConnectionBroken,
    /// Limit on links or handshakes reached.
    TooManyLinks,
}

impl LinkError {
    /// Maps a read error of the frame codec.
    pub(super) fn from_read_error(error: &std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::InvalidData => Self::Oversized,
            _ => Self::ConnectionBroken,
        }
    }

    /// Label for logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "garbage",
            Self::Oversized => "oversized frame",
            Self::UnknownVersion => "unknown version",
            Self::WrongClusterKey => "foreign cluster",
            Self::Tampered => "tampered frame",
            Self::HandshakeTimeout => "slow hello",
            Self::OwnAddress => "own address",
            Self::ConnectionBroken => "broken connection",
            Self::TooManyLinks => "too many links",
        }
    }

    /// Whether the error is logged. Broken connections, limits and dials to itself are only counted.
    fn is_logged(self) -> bool {
        !matches!(
            self,
            Self::ConnectionBroken | Self::TooManyLinks | Self::OwnAddress
        )
    }
}

/// Snapshot of the counters of the peer links.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct PeerCounters {
    /// Links opened, dialled or accepted.
    pub(crate) links_opened: u64,
    /// Frames sent.
    pub(crate) frames_sent: u64,
    /// Frames received.
    pub(crate) frames_received: u64,
    /// Bytes sent, with length prefix and tag.
    pub(crate) bytes_sent: u64,
    /// Bytes received, with length prefix and tag.
    pub(crate) bytes_received: u64,
    /// Messages dropped from a full queue or after a failed dial.
    pub(crate) messages_dropped: u64,
    /// Links refused or cut because of malformed bytes.
    pub(crate) refused_garbage: u64,
    /// Links refused or cut because of a frame longer than the limit.
    pub(crate) refused_oversized: u64,
    /// Handshakes with an unsupported protocol version.
    pub(crate) refused_unknown_version: u64,
    /// Handshakes without a valid proof of the cluster key.
    pub(crate) refused_foreign_cluster: u64,
    /// Links cut because a frame was changed, repeated or dropped in transit.
    pub(crate) refused_tampered: u64,
    /// Handshakes that timed out.
    pub(crate) refused_slow: u64,
    /// Dials that reached the node itself.
    pub(crate) refused_myself: u64,
    /// Connections that broke or could not be opened.
    pub(crate) connections_broken: u64,
    /// Links refused because of a limit.
    pub(crate) refused_too_many: u64,
}

/// Counters shared by the tasks of all links.
#[derive(Debug, Default)]
pub(super) struct AtomicPeerCounters {
    pub(super) links_opened: AtomicU64,
    pub(super) frames_sent: AtomicU64,
    pub(super) frames_received: AtomicU64,
    pub(super) bytes_sent: AtomicU64,
    pub(super) bytes_received: AtomicU64,
    pub(super) messages_dropped: AtomicU64,
    /// Indexed by [`LinkError`].
    errors: [AtomicU64; 9],
    /// Sources and errors that were logged recently.
    logged: Mutex<VecDeque<(IpAddr, &'static str)>>,
}

pub(super) fn increment(counter: &AtomicU64) {
    add(counter, 1);
}

pub(super) fn add(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

impl AtomicPeerCounters {
    /// Counts an error and logs it, unless the same one was logged for the source recently.
    pub(super) fn record_error(&self, source: IpAddr, error: LinkError) {
        increment(&self.errors[error as usize]);
        if error.is_logged() && self.mark_logged(source, error.as_str()) {
            log::warn!(peer:% = source, step = "hello", reason = error.as_str(); "peer refused");
        }
    }

    /// Remembers a log entry; returns whether it is new.
    fn mark_logged(&self, source: IpAddr, reason: &'static str) -> bool {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.contains(&(source, reason)) {
            return false;
        }
        if logged.len() == MAX_LOG_ENTRIES {
            logged.pop_front();
        }
        logged.push_back((source, reason));
        true
    }

    pub(super) fn snapshot(&self) -> PeerCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let errors = |error: LinkError| read(&self.errors[error as usize]);
        PeerCounters {
            links_opened: read(&self.links_opened),
            frames_sent: read(&self.frames_sent),
            frames_received: read(&self.frames_received),
            bytes_sent: read(&self.bytes_sent),
            bytes_received: read(&self.bytes_received),
            messages_dropped: read(&self.messages_dropped),
            refused_garbage: errors(LinkError::Malformed),
            refused_oversized: errors(LinkError::Oversized),
            refused_unknown_version: errors(LinkError::UnknownVersion),
            refused_foreign_cluster: errors(LinkError::WrongClusterKey),
            refused_tampered: errors(LinkError::Tampered),
            refused_slow: errors(LinkError::HandshakeTimeout),
            refused_myself: errors(LinkError::OwnAddress),
            connections_broken: errors(LinkError::ConnectionBroken),
            refused_too_many: errors(LinkError::TooManyLinks),
        }
    }
}
