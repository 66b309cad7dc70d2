//! Conversion of a server's HTTP response to a [`ServerReply`].

use super::body_memory::BodyMemory;
use super::headers::{HeaderNames, has_connection_close, keep_alive_seconds, strip_hop_by_hop};
use super::reply_body;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode, Version};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_core::gateway::{
    ExchangeFailure, InvalidReply, ReplyVerdict, ServerLoad, ServerReply,
};

#[cfg(test)]
mod tests;

/// How a response names the request that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyIdentity {
    /// By the id of the awaited request.
    Awaited,
    /// By the id of another one.
    Other,
    /// Not at all.
    Unnamed,
}

/// Reads the response to a request, including its body. `is_first`: the connection carried no request
/// before.
pub(super) async fn read(
    names: &HeaderNames,
    identity: ReplyIdentity,
    is_first: bool,
    response: Response<Incoming>,
    memory: &Arc<BodyMemory>,
) -> Result<ServerReply, ExchangeFailure> {
    let (parts, body) = response.into_parts();
    let body = reply_body::read(body, memory).await?;
    let mut headers = parts.headers;
    let has_framing =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let delimited = parts.version == Version::HTTP_11 && has_framing;
    let verdict = match identity {
        ReplyIdentity::Other => ReplyVerdict::Invalid(InvalidReply::OtherRequest),
        ReplyIdentity::Unnamed if !is_first => ReplyVerdict::Invalid(InvalidReply::NoRequestId),
        ReplyIdentity::Awaited | ReplyIdentity::Unnamed => classify(names, parts.status, &headers),
    };
    // After a response without an id, a second one could not be told from the next response.
    let is_last = identity == ReplyIdentity::Unnamed || matches!(verdict, ReplyVerdict::Invalid(_));
    let reusable = delimited && !has_connection_close(&headers) && !is_last;
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

impl ReplyIdentity {
    /// Identity of a response where one to the request with the id `awaited` is due.
    pub(super) fn of(names: &HeaderNames, awaited: &HeaderValue, headers: &HeaderMap) -> Self {
        let mut ids = headers.get_all(&names.request_id).iter().peekable();
        if ids.peek().is_none() {
            return Self::Unnamed;
        }
        match ids.all(|id| id == awaited) {
            true => Self::Awaited,
            false => Self::Other,
        }
    }
}

/// Classifies a response to the awaited request.
fn classify(names: &HeaderNames, status: StatusCode, headers: &HeaderMap) -> ReplyVerdict {
    if !is_of_answer(status) {
        return ReplyVerdict::Invalid(InvalidReply::Status);
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

/// Whether a status is that of an answer. The protocol is never switched, so that 101 is none.
fn is_of_answer(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
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
