//! The stream of a watch.

use super::faults::{Outage, WatchFault};
use super::handler::PlatformHandler;
use crate::stand_in::server::{Body, ConnectionCut};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::collections::VecDeque;
use std::sync::Arc;
use thornbridge_proto::platform::{ObjectKind, ResourceVersion, WatchChange};
use tokio::sync::watch;

/// A reader's open watch; counted until dropped.
pub struct OpenWatch {
    handler: Arc<PlatformHandler>,
    reader: Option<String>,
    kind: ObjectKind,
    seen: ResourceVersion,
    changed: watch::Receiver<u64>,
    waiting: VecDeque<WatchChange>,
    cut: bool,
}

impl OpenWatch {
    /// A watch of the changes of `kind` after `from`.
    pub fn new(
        handler: Arc<PlatformHandler>,
        reader: Option<String>,
        kind: ObjectKind,
        from: ResourceVersion,
    ) -> Self {
        handler.watch_opened(reader.as_deref());
        let changed = handler.changed();
        Self {
            handler,
            reader,
            kind,
            seen: from,
            changed,
            waiting: VecDeque::new(),
            cut: false,
        }
    }

    /// The changes as lines of JSON, until the watch is cut or falls out of the history.
    pub fn into_body(self) -> Body {
        let lines = stream::unfold(self, |mut watch| async move {
            let frame = watch.next_frame().await?;
            Some((frame, watch))
        });
        BodyExt::boxed(StreamBody::new(lines))
    }

    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, ConnectionCut>> {
        if self.cut {
            // Lets the server write out what it has before the connection breaks.
            tokio::task::yield_now().await;
            return Some(Err(ConnectionCut));
        }
        loop {
            self.changed.mark_unchanged();
            let faults = self.handler.faults();
            if matches!(faults.outage, Outage::Cut | Outage::Unavailable) {
                self.cut = true;
                return Some(Err(ConnectionCut));
            }
            let silent = faults.outage == Outage::Hang || faults.watch == WatchFault::Silent;
            if !silent && let Some(change) = self.next_change()? {
                let split = faults.watch == WatchFault::Split;
                return Some(Ok(Frame::data(self.line(&change, split))));
            }
            self.changed.changed().await.ok()?;
        }
    }

    /// `None` ends the stream: the history was compacted past what this watch has seen.
    fn next_change(&mut self) -> Option<Option<WatchChange>> {
        if self.waiting.is_empty() {
            self.waiting = self.handler.changes_after(self.kind, self.seen)?.into();
        }
        let change = self.waiting.pop_front();
        if let Some(change) = &change {
            self.seen = change.object.resource_version;
        }
        Some(change)
    }

    fn line(&mut self, change: &WatchChange, split: bool) -> Bytes {
        let mut line = serde_json::to_vec(change).unwrap_or_default();
        line.push(b'\n');
        if split {
            line.truncate(line.len() / 2);
            self.cut = true;
        }
        line.into()
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.handler.watch_closed(self.reader.as_deref());
    }
}
