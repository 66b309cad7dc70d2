//! Reception of callers' requests: their bodies, and how many are being received.

use super::callers::RejectedRequest;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Counts a request while it is received.
pub(super) struct Reception<'a>(&'a AtomicUsize);

impl<'a> Reception<'a> {
    pub(super) fn of(requests: &'a AtomicUsize) -> Self {
        requests.fetch_add(1, Ordering::Relaxed);
        Self(requests)
    }
}

impl Drop for Reception<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads a body of at most `limit` bytes, unless reception ends before.
pub(super) async fn read_body(
    body: Incoming,
    limit: usize,
    reception_end: &CancellationToken,
) -> Result<Bytes, RejectedRequest> {
    tokio::select! {
        biased;
        body = read_limited(body, limit) => body,
        () = reception_end.cancelled() => Err(RejectedRequest::Stopping),
    }
}

async fn read_limited(body: Incoming, limit: usize) -> Result<Bytes, RejectedRequest> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(RejectedRequest::BodyTooLarge);
    }
    let collecting = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collecting).await {
        Err(_) => Err(RejectedRequest::BodyTimedOut),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RejectedRequest::BodyTooLarge),
        Ok(Err(_)) => Err(RejectedRequest::BodyIncomplete),
    }
}
