//! Problems: every refusal as `application/problem+json` (RFC 9457), its status from one table.

#[cfg(test)]
mod tests;

use super::insert_request_id;
use bytes::Bytes;
use std::time::Duration;
use thornbridge_proto::RequestId;
use thornbridge_proto::caller::{Executed, Problem, Refusal, RefusalReason};
use thornbridge_proto::limits::CALLER_BODY_BYTES;
use warp::http::{HeaderValue, Method, StatusCode, header};
use warp::reply::Response;

/// Media type of problems.
const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";
/// `Retry-After` time of a caller that has to give way to others: a crowd is gone or evicted by then.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Prefix of the URI reference that names a kind of problem.
const PROBLEM_KIND_PREFIX: &str = "/problems/";

/// Status and title of a reason.
pub(super) fn status_and_title(reason: RefusalReason) -> (StatusCode, &'static str) {
    match reason {
        RefusalReason::UnknownService => (StatusCode::NOT_FOUND, "No such service"),
        RefusalReason::WrongKind => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "The service does not take this kind of request",
        ),
        RefusalReason::Invalid => (StatusCode::BAD_REQUEST, "The request is not valid"),
        RefusalReason::NotReady => (
            StatusCode::SERVICE_UNAVAILABLE,
            "The node has no configuration yet",
        ),
        RefusalReason::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "The node is stopping"),
        RefusalReason::Overloaded => (StatusCode::TOO_MANY_REQUESTS, "Too much work"),
        RefusalReason::DeadlineExceeded => (StatusCode::GATEWAY_TIMEOUT, "The deadline has passed"),
        RefusalReason::InsufficientCoverage => {
            (StatusCode::SERVICE_UNAVAILABLE, "Too few shards answered")
        }
        RefusalReason::NoSnapshot => (
            StatusCode::SERVICE_UNAVAILABLE,
            "No snapshot is held by enough shards",
        ),
        RefusalReason::NoBackEnd => (
            StatusCode::SERVICE_UNAVAILABLE,
            "No back end takes the request",
        ),
        RefusalReason::BackEndFailed => (StatusCode::BAD_GATEWAY, "The back end failed"),
        RefusalReason::KeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "The key was used with another payload",
        ),
        RefusalReason::OutcomeUnknown => (
            StatusCode::GATEWAY_TIMEOUT,
            "The outcome of the action is unknown",
        ),
        RefusalReason::InProgress => (StatusCode::CONFLICT, "The same action is still running"),
    }
}

/// A request that never reached the core. It certainly did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Rejected {
    status: StatusCode,
    reason: RefusalReason,
    detail: String,
    close: bool,
}

impl Rejected {
    fn new(status: StatusCode, reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            status,
            reason,
            detail: detail.into(),
            close: false,
        }
    }

    /// After which the connection is of no use, since part of the body is still on its way.
    fn and_close(mut self) -> Self {
        self.close = true;
        self
    }

    /// Malformed: 400.
    pub(super) fn invalid(detail: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, RefusalReason::Invalid, detail)
    }

    /// Well-formed, with a value out of range: 422.
    pub(super) fn unprocessable(detail: impl Into<String>) -> Self {
        Self::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            RefusalReason::Invalid,
            detail,
        )
    }

    /// 404.
    pub(super) fn unknown_path(path: &str) -> Self {
        let detail = format!(
            "there is nothing at {path}; see POST /v1/services/{{service}}/query and …/actions"
        );
        Self::new(StatusCode::NOT_FOUND, RefusalReason::Invalid, detail)
    }

    /// 405.
    pub(super) fn method(method: &Method) -> Self {
        let detail = format!("the method is {method}; only POST is served here");
        Self::new(
            StatusCode::METHOD_NOT_ALLOWED,
            RefusalReason::Invalid,
            detail,
        )
        .and_close()
    }

    /// 415.
    pub(super) fn media_type(value: &str) -> Self {
        let detail = format!("the content type is {value:?}; application/json is wanted");
        Self::new(
            StatusCode::UNSUPPORTED_MEDIA_TYPE,
            RefusalReason::Invalid,
            detail,
        )
        .and_close()
    }

    /// 413.
    pub(super) fn body_too_large() -> Self {
        let detail = format!("the body has more than {CALLER_BODY_BYTES} bytes");
        Self::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::Invalid,
            detail,
        )
        .and_close()
    }

    /// 429: callers hold all the memory that they may.
    pub(super) fn overloaded() -> Self {
        Self::new(
            StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::Overloaded,
            "the node holds too many requests",
        )
        .and_close()
    }

    /// 408.
    pub(super) fn slow_body() -> Self {
        Self::new(
            StatusCode::REQUEST_TIMEOUT,
            RefusalReason::Invalid,
            "the body did not arrive in time",
        )
        .and_close()
    }

    /// 400, to a connection that most likely will not hear it.
    pub(super) fn broken_body() -> Self {
        Self::invalid("the body broke off").and_close()
    }

    /// 503: the driver has ended between the request's arrival and its being taken.
    pub(super) fn stopping() -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            RefusalReason::Leaving,
            "this node has stopped; ask another",
        )
        .and_close()
    }

    /// 500.
    pub(super) fn unencodable() -> Self {
        Self::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            RefusalReason::BackEndFailed,
            "the answer cannot be encoded",
        )
    }
}

/// The problem of a request that never reached the core.
pub(super) fn response(rejected: &Rejected, request_id: Option<RequestId>) -> Response {
    let (_, title) = status_and_title(rejected.reason);
    let executed = match request_id {
        Some(_) => Executed::Unknown,
        None => Executed::No,
    };
    let problem = Problem {
        kind: kind(rejected.reason),
        title: title.to_owned(),
        status: rejected.status.as_u16(),
        detail: rejected.detail.clone(),
        executed,
        reason: rejected.reason,
        request_id,
    };
    let mut response = problem_response(&problem, rejected.status);
    let headers = response.headers_mut();
    if rejected.status == StatusCode::METHOD_NOT_ALLOWED {
        headers.insert(header::ALLOW, HeaderValue::from_static("POST"));
    }
    if rejected.reason == RefusalReason::Overloaded {
        headers.insert(header::RETRY_AFTER, whole_seconds(OVERLOADED_RETRY_AFTER));
    }
    if rejected.close {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The problem of a request that the core refused or gave up.
pub(super) fn refusal(refusal: &Refusal) -> Response {
    let (status, title) = status_and_title(refusal.reason);
    let problem = Problem {
        kind: kind(refusal.reason),
        title: title.to_owned(),
        status: status.as_u16(),
        detail: refusal.detail.clone(),
        executed: refusal.executed,
        reason: refusal.reason,
        request_id: Some(refusal.request_id),
    };
    let mut response = problem_response(&problem, status);
    let headers = response.headers_mut();
    insert_request_id(headers, refusal.request_id);
    if let Some(after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, whole_seconds(after));
    }
    response
}

/// `Retry-After` knows whole seconds only (RFC 9110, 10.2.3): rounded up, so as never to be early.
fn whole_seconds(after: Duration) -> HeaderValue {
    let rounded_up = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    HeaderValue::from(rounded_up)
}

fn kind(reason: RefusalReason) -> String {
    let name = serde_json::to_value(reason).ok();
    let name = name.as_ref().and_then(|name| name.as_str());
    format!("{PROBLEM_KIND_PREFIX}{}", name.unwrap_or("unknown"))
}

fn problem_response(problem: &Problem, status: StatusCode) -> Response {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body).into());
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(PROBLEM_MEDIA_TYPE),
    );
    response
}
