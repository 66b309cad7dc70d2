//! From an HTTP response to a typed reply, or to the reason why it is none.

use crate::joined_body::JoinedBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};
use thornbridge_core::AttemptFailure;
use thornbridge_proto::back_end::{BackEndReply, LOAD_HEADER, LoadReport, ReplyOutcome};
use thornbridge_proto::json;
use thornbridge_proto::limits::BACK_END_BODY_BYTES;

/// Status of a cancelled attempt; not registered, in common use.
const CLIENT_CLOSED_REQUEST: u16 = 499;

/// The load report in the headers, where there is a well-formed one.
pub(super) fn load_of(headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(LOAD_HEADER)?;
    serde_json::from_slice(value.as_bytes()).ok()
}

/// Reads a whole reply.
pub(super) async fn read(response: Response<Incoming>) -> Result<BackEndReply, AttemptFailure> {
    let status = response.status();
    if !is_json(response.headers()) {
        return Err(AttemptFailure::MalformedReply);
    }
    let body = collect(response.into_body(), BACK_END_BODY_BYTES).await?;
    let reply: BackEndReply =
        json::decode(&body, BACK_END_BODY_BYTES).map_err(|_| AttemptFailure::MalformedReply)?;
    if status_of(&reply.outcome) != status {
        return Err(AttemptFailure::MalformedReply);
    }
    Ok(reply)
}

/// Reads a whole body of at most `limit` bytes, without a copy where it came in one piece.
pub(crate) async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, AttemptFailure> {
    if body.size_hint().lower() > limit as u64 {
        return Err(AttemptFailure::MalformedReply);
    }
    let mut joined = JoinedBody::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| failure_of(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if joined.len() + data.len() > limit {
            return Err(AttemptFailure::MalformedReply);
        }
        joined.push(data);
        // Known from the announced length. To wait for hyper's end of the stream would let it read
        // again while this body still occupies its buffer, and cost it a new one each time.
        if body.is_end_stream() {
            break;
        }
    }
    Ok(joined.finish())
}

/// A body that ends too early or is not HTTP is malformed; anything else broke the connection.
fn failure_of(error: &hyper::Error) -> AttemptFailure {
    if error.is_incomplete_message() || error.is_parse() {
        AttemptFailure::MalformedReply
    } else {
        AttemptFailure::ConnectionBroken
    }
}

fn is_json(headers: &HeaderMap) -> bool {
    let value = headers.get(CONTENT_TYPE).map(|value| value.as_bytes());
    value.is_some_and(|value| value.starts_with(b"application/json"))
}

/// The status that goes with an outcome, see [`thornbridge_proto::back_end`].
fn status_of(outcome: &ReplyOutcome) -> StatusCode {
    let code = match outcome {
        ReplyOutcome::Hits { .. } | ReplyOutcome::Done { .. } => 200,
        ReplyOutcome::Shed { .. } | ReplyOutcome::Leaving => 503,
        ReplyOutcome::NotHeld => 404,
        ReplyOutcome::Expired => 504,
        ReplyOutcome::Cancelled => CLIENT_CLOSED_REQUEST,
        ReplyOutcome::Failed { .. } => 500,
    };
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
