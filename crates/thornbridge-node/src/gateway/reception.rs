//! Reception of callers' requests: their bodies, and how many are being received.

use super::responses::RejectedRequest;
use crate::caller_table::{Account, Evicted, RequestBody};
use bytes::Bytes;
use http_body_util::BodyExt;
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

/// Reads a body of at most `limit` bytes, unless the caller is evicted or reception ends before.
pub(super) async fn read_body(
    body: Incoming,
    limit: usize,
    account: &Account,
    reception_end: &CancellationToken,
) -> Result<Bytes, RejectedRequest> {
    let reading = tokio::time::timeout(BODY_TIMEOUT, read_limited(body, limit, account));
    tokio::select! {
        biased;
        () = account.evicted() => Err(RejectedRequest::Overloaded),
        read = reading => read.unwrap_or(Err(RejectedRequest::BodyTimedOut)),
        () = reception_end.cancelled() => Err(RejectedRequest::Stopping),
    }
}

async fn read_limited(
    mut body: Incoming,
    limit: usize,
    account: &Account,
) -> Result<Bytes, RejectedRequest> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(RejectedRequest::BodyTooLarge);
    }
    let announced = body.size_hint().exact().map(|bytes| bytes as usize);
    let mut received = RequestBody::new(account, limit, announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RejectedRequest::BodyIncomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > limit {
            return Err(RejectedRequest::BodyTooLarge);
        }
        let pushed = received.push(data).await;
        pushed.map_err(|Evicted| RejectedRequest::Overloaded)?;
    }
    Ok(received.finish())
}
