//! Conversion of a server's HTTP response to a [`ServerReply`].

use super::headers::{HeaderNames, has_connection_close, keep_alive_seconds, strip_hop_by_hop};
use crate::back_ends::reply::collect;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode, Version};
use std::time::Duration;
use thornbridge_core::gateway::{
    ExchangeFailure, InvalidReply, ReplyVerdict, ServerLoad, ServerReply,
};

#[cfg(test)]
mod tests;

/// Maximum size of a server's response body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Reads the response to the request with id `request_id`, including its body.
pub(super) async fn read(
    names: &HeaderNames,
    request_id: &HeaderValue,
    response: Response<Incoming>,
) -> Result<ServerReply, ExchangeFailure> {
    let (parts, body) = response.into_parts();
    let body = collect(body, MAX_BODY_BYTES)
        .await
        .map_err(|_| ExchangeFailure::MayHaveRun)?;
    let mut headers = parts.headers;
    let has_framing =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let delimited = parts.version == Version::HTTP_11 && has_framing;
    let verdict = classify(names, request_id, parts.status, &headers);
    let reusable = delimited
        && !has_connection_close(&headers)
        && !matches!(verdict, ReplyVerdict::Invalid(_));
    let keep_alive = keep_alive_seconds(&headers).map(Duration::from_secs);
    let load = parse_load(names, &headers);
    let signature = signature_value(names, &headers);
    strip_hop_by_hop(&mut headers);
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

fn classify(
    names: &HeaderNames,
    request_id: &HeaderValue,
    status: StatusCode,
    headers: &HeaderMap,
) -> ReplyVerdict {
    // A surplus response to an earlier request may arrive in place of the expected one.
    let id_differs = headers
        .get(&names.request_id)
        .is_some_and(|echoed| echoed != request_id);
    if id_differs {
        return ReplyVerdict::Invalid(InvalidReply::OtherRequest);
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return ReplyVerdict::Invalid(InvalidReply::Encoded);
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ReplyVerdict::WrongInstance;
    }
    if headers.contains_key(&names.not_run) {
        return ReplyVerdict::NotRun;
    }
    if !headers.contains_key(&names.signature) {
        return ReplyVerdict::Invalid(InvalidReply::Unsigned);
    }
    ReplyVerdict::Answer
}

fn signature_value(names: &HeaderNames, headers: &HeaderMap) -> Option<Bytes> {
    let value = headers.get(&names.signature)?;
    Some(Bytes::copy_from_slice(value.as_bytes()))
}

fn parse_load(names: &HeaderNames, headers: &HeaderMap) -> Option<ServerLoad> {
    let value = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
    Some(ServerLoad {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
        work_time_percent: numbers.next().flatten(),
    })
}
