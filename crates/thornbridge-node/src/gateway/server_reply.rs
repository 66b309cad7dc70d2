//! From a server's HTTP response to a typed reply.

use super::headers::{WireNames, closes, keep_alive_seconds, strip};
use crate::back_ends::reply::collect;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode, Version};
use std::time::Duration;
use thornbridge_core::gateway::{ExchangeFailure, ReplyVerdict, ServerLoad, ServerReply};

/// Largest body of a server that is taken.
const BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads a whole reply to the request of this identity.
pub(super) async fn read(
    names: &WireNames,
    id: &HeaderValue,
    response: Response<Incoming>,
) -> Result<ServerReply, ExchangeFailure> {
    let (parts, body) = response.into_parts();
    let body = collect(body, BODY_BYTES)
        .await
        .map_err(|_| ExchangeFailure::MayHaveRun)?;
    let mut headers = parts.headers;
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let whole_by_length = parts.version == Version::HTTP_11 && framed;
    let verdict = verdict(names, id, parts.status, &headers);
    let reusable = whole_by_length && !closes(&headers) && verdict != ReplyVerdict::Invalid;
    let keep_alive = keep_alive_seconds(&headers).map(Duration::from_secs);
    let load = load_of(names, &headers);
    let signature = signature_of(names, &headers);
    strip(&mut headers);
    Ok(ServerReply {
        status: parts.status.as_u16(),
        headers,
        signature,
        body,
        verdict,
        load,
        reusable,
        keep_alive,
    })
}

fn verdict(
    names: &WireNames,
    id: &HeaderValue,
    status: StatusCode,
    headers: &HeaderMap,
) -> ReplyVerdict {
    // A surplus answer of an earlier request may stand where this one's is due.
    let foreign = headers
        .get(&names.request_id)
        .is_some_and(|echoed| echoed != id);
    if foreign || headers.contains_key(CONTENT_ENCODING) {
        return ReplyVerdict::Invalid;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ReplyVerdict::WrongInstance;
    }
    if headers.contains_key(&names.not_run) {
        return ReplyVerdict::NotRun;
    }
    if !headers.contains_key(&names.signature) {
        return ReplyVerdict::Invalid;
    }
    ReplyVerdict::Answer
}

fn signature_of(names: &WireNames, headers: &HeaderMap) -> Option<Bytes> {
    let value = headers.get(&names.signature)?;
    Some(Bytes::copy_from_slice(value.as_bytes()))
}

fn load_of(names: &WireNames, headers: &HeaderMap) -> Option<ServerLoad> {
    let value = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
    Some(ServerLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
