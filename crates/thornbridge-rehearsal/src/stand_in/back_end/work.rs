//! From an HTTP request to the attempt it carries, and from an outcome to a response.

use crate::stand_in::server::{Body, Rejection, json, parse_json, read_body, text};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::str::FromStr;
use std::time::Duration;
use thornbridge_proto::back_end::{
    ATTEMPT_HEADER, ActionWork, Attempt, BackEndReply, DEADLINE_HEADER, KEY_HEADER, LAYOUT_HEADER,
    QueryWork, REQUEST_HEADER, ReplyOutcome, SERVICE_HEADER, SNAPSHOT_HEADER, Work,
};
use thornbridge_proto::limits::CALLER_BODY_BYTES;
use thornbridge_proto::{AttemptId, RequestId, ShardId};

/// Status of a cancelled attempt; not registered, in common use.
const CLIENT_CLOSED_REQUEST: u16 = 499;

/// Reads `POST /shards/{shard}/query|action`.
pub async fn read_attempt(request: Request<Incoming>) -> Result<Attempt, Rejection> {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let &["shards", shard, operation] = segments.as_slice() else {
        return Err(text(StatusCode::NOT_FOUND, "no such path").into());
    };
    let shard: u32 = parse(shard, "shard")?;
    let (head, body) = request.into_parts();
    let body = read_body(body, CALLER_BODY_BYTES).await?;
    let headers = &head.headers;
    let microseconds: u64 = parse(header(headers, DEADLINE_HEADER)?, DEADLINE_HEADER)?;
    let work = match operation {
        "query" => read_query(headers, &body)?,
        "action" => read_action(headers, &body)?,
        _ => return Err(text(StatusCode::NOT_FOUND, "no such path").into()),
    };
    Ok(Attempt {
        attempt: AttemptId(parse(header(headers, ATTEMPT_HEADER)?, ATTEMPT_HEADER)?),
        request: parse(header(headers, REQUEST_HEADER)?, REQUEST_HEADER)?,
        service: header(headers, SERVICE_HEADER)?.into(),
        shard: ShardId(shard),
        time_left: Duration::from_micros(microseconds),
        work,
    })
}

fn read_query(headers: &HeaderMap, body: &[u8]) -> Result<Work, Rejection> {
    let work: QueryWork = parse_json(body)?;
    Ok(Work::Query {
        snapshot: header(headers, SNAPSHOT_HEADER)?.into(),
        layout: header(headers, LAYOUT_HEADER)?.into(),
        query: work.query.into(),
        limit: work.limit,
    })
}

fn read_action(headers: &HeaderMap, body: &[u8]) -> Result<Work, Rejection> {
    let work: ActionWork = parse_json(body)?;
    Ok(Work::Action {
        key: header(headers, KEY_HEADER)?.into(),
        payload: work.payload.into(),
    })
}

/// Reads the path of `DELETE /requests/{request}/attempts/{attempt}`.
pub fn read_cancellation(path: &str) -> Option<(RequestId, AttemptId)> {
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let &["requests", request, "attempts", attempt] = segments.as_slice() else {
        return None;
    };
    Some((request.parse().ok()?, AttemptId(attempt.parse().ok()?)))
}

/// The reply to an attempt.
pub fn reply_to(attempt: &Attempt, outcome: ReplyOutcome) -> BackEndReply {
    BackEndReply {
        request: attempt.request,
        attempt: attempt.attempt,
        shard: attempt.shard,
        outcome,
    }
}

/// A reply as an HTTP response.
pub fn encode(reply: &BackEndReply) -> Response<Body> {
    json(status_of(&reply.outcome), reply)
}

fn status_of(outcome: &ReplyOutcome) -> StatusCode {
    match outcome {
        ReplyOutcome::Hits { .. } | ReplyOutcome::Done { .. } => StatusCode::OK,
        ReplyOutcome::Shed { .. } | ReplyOutcome::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        ReplyOutcome::NotHeld => StatusCode::NOT_FOUND,
        ReplyOutcome::Expired => StatusCode::GATEWAY_TIMEOUT,
        ReplyOutcome::Cancelled => {
            StatusCode::from_u16(CLIENT_CLOSED_REQUEST).unwrap_or(StatusCode::BAD_REQUEST)
        }
        ReplyOutcome::Failed { .. } => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Rejection> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.ok_or_else(|| {
        let detail = format!("the header {name} is missing");
        text(StatusCode::BAD_REQUEST, detail).into()
    })
}

fn parse<T: FromStr>(value: &str, name: &str) -> Result<T, Rejection> {
    value.parse().map_err(|_| {
        let detail = format!("{name} does not have the expected form");
        text(StatusCode::BAD_REQUEST, detail).into()
    })
}
