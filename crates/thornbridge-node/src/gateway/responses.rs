//! Responses to callers.

use super::headers::{HeaderNames, number_value};
use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;
use thornbridge_core::gateway::{GatewayAnswer, RefusalReason, RefusalStatus};

/// Reason of a rejection where the process holds all that it may.
const OVERLOADED: &str = "overloaded";
/// `Retry-After` time of a caller that is rejected for that: a crowd is gone or evicted by then.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request was rejected before it reached the driver.
#[derive(Clone, Copy, Debug)]
pub(super) enum RejectedRequest {
    BodyTooLarge,
    BodyTimedOut,
    BodyIncomplete,
    Overloaded,
    Stopping,
}

impl RejectedRequest {
    pub(super) fn response(self) -> Response<Bytes> {
        let (status, reason) = match self {
            Self::BodyTooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            Self::BodyTimedOut => (StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
            Self::BodyIncomplete => (StatusCode::BAD_REQUEST, "body_broken"),
            Self::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, OVERLOADED),
            Self::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        };
        let mut response = closing_response(status, reason);
        if matches!(self, Self::Overloaded) {
            insert_retry_after(&mut response, OVERLOADED_RETRY_AFTER);
        }
        response
    }
}

/// Response to a request that may have run and whose caller has to give way to others.
pub(super) fn evicted_response() -> Response<Bytes> {
    closing_response(StatusCode::BAD_GATEWAY, OVERLOADED)
}

/// Response to a request that the core answered.
pub(super) fn answer_response(names: &HeaderNames, answer: GatewayAnswer) -> Response<Bytes> {
    match answer {
        GatewayAnswer::Forwarded {
            status,
            headers,
            body,
        } => {
            let mut response = Response::new(body);
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = headers;
            response
        }
        GatewayAnswer::Gathered {
            signatures,
            missing,
            records,
        } => gathered_response(names, &signatures, missing, records),
        GatewayAnswer::Refused {
            reason,
            status,
            retry_after,
        } => refusal_response(reason, status, retry_after),
    }
}

fn gathered_response(
    names: &HeaderNames,
    signatures: &[Bytes],
    missing: usize,
    records: Bytes,
) -> Response<Bytes> {
    let mut response = Response::new(records);
    let headers = response.headers_mut();
    let octet_stream = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, octet_stream);
    if let Ok(joined) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
        headers.insert(names.part_signatures.clone(), joined);
    }
    headers.insert(names.parts_missing.clone(), number_value(missing as u64));
    response
}

fn refusal_response(
    reason: RefusalReason,
    refusal_status: RefusalStatus,
    retry_after: Option<Duration>,
) -> Response<Bytes> {
    let status = match refusal_status {
        RefusalStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RefusalStatus::MayHaveRun => StatusCode::BAD_GATEWAY,
        RefusalStatus::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        RefusalStatus::BadRequest => StatusCode::BAD_REQUEST,
        RefusalStatus::NotFound => StatusCode::NOT_FOUND,
    };
    let mut response = error_response(status, reason.as_str());
    if let Some(after) = retry_after {
        insert_retry_after(&mut response, after);
    }
    response
}

fn insert_retry_after(response: &mut Response<Bytes>, after: Duration) {
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
}

fn closing_response(status: StatusCode, reason: &str) -> Response<Bytes> {
    let mut response = error_response(status, reason);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn error_response(status: StatusCode, reason: &str) -> Response<Bytes> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
