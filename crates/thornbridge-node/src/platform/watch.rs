//! A watch: a response whose body is a line of JSON for each change.

use bytes::{Buf, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use thornbridge_proto::limits::PLATFORM_OBJECT_BYTES;
use thornbridge_proto::platform::{WatchChange, WatchEnd};

/// Longest line: an object's text is escaped once more as a JSON string, which can double it.
const LINE_BYTES: usize = 2 * PLATFORM_OBJECT_BYTES + 4096;

/// A running watch. Dropping it ends it.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buffered: BytesMut,
    searched: usize,
    idle: Duration,
}

impl Watch {
    pub(super) fn new(body: Incoming, idle: Duration) -> Self {
        Self {
            body,
            buffered: BytesMut::new(),
            searched: 0,
            idle,
        }
    }

    /// The next change. Empty lines only show that the store is there.
    pub async fn next(&mut self) -> Result<WatchChange, WatchEnd> {
        loop {
            if let Some(line) = self.take_line() {
                if line.is_empty() {
                    continue;
                }
                return serde_json::from_slice(&line).map_err(|_| WatchEnd::Lost);
            }
            self.fill().await?;
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let unsearched = &self.buffered[self.searched..];
        let Some(position) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffered.len();
            return None;
        };
        let line = self.buffered.split_to(self.searched + position);
        self.buffered.advance(1);
        self.searched = 0;
        Some(line)
    }

    async fn fill(&mut self) -> Result<(), WatchEnd> {
        let frame = tokio::time::timeout(self.idle, self.body.frame())
            .await
            .map_err(|_| WatchEnd::Lost)?
            .ok_or(WatchEnd::Lost)?
            .map_err(|_| WatchEnd::Lost)?;
        let Ok(data) = frame.into_data() else {
            return Ok(());
        };
        if self.buffered.len() + data.len() > LINE_BYTES {
            return Err(WatchEnd::Lost);
        }
        self.buffered.extend_from_slice(&data);
        Ok(())
    }
}
