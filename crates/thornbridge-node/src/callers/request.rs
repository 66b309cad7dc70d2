//! From an HTTP request to a typed one, with every check that needs no configuration.

use super::Endpoint;
use super::problem::Rejected;
use crate::caller_table::{Account, Evicted, RequestBody};
use crate::input::CallerRequest;
use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt};
use std::time::Duration;
use thornbridge_proto::ServiceName;
use thornbridge_proto::back_end::KEY_HEADER;
use thornbridge_proto::caller::{ActionBody, ActionRequest, QueryBody, QueryRequest};
use thornbridge_proto::json;
use thornbridge_proto::limits::{
    CALLER_BODY_BYTES, CALLER_TIMEOUT, HITS_PER_ANSWER, IDEMPOTENCY_KEY_BYTES, QUERY_TEXT_BYTES,
};
use warp::http::{HeaderMap, Method, header};

/// Media type of every request body.
const JSON_MEDIA_TYPE: &str = "application/json";

/// What the head of a request told.
#[derive(Debug)]
pub(super) enum Head {
    /// A query.
    Query,
    /// An action under a key.
    Action {
        /// The key.
        key: String,
    },
}

impl Head {
    /// Checks method, media type, announced length and key, before any byte of the body is read.
    pub(super) fn check(
        endpoint: Endpoint,
        method: &Method,
        headers: &HeaderMap,
    ) -> Result<Self, Rejected> {
        if method != Method::POST {
            return Err(Rejected::method(method));
        }
        check_media_type(headers)?;
        check_announced_length(headers)?;
        match endpoint {
            Endpoint::Query => Ok(Self::Query),
            Endpoint::Actions => Ok(Self::Action {
                key: idempotency_key(headers)?,
            }),
        }
    }

    /// Takes the body.
    pub(super) fn parse(
        self,
        service: ServiceName,
        body: &Bytes,
    ) -> Result<CallerRequest, Rejected> {
        match self {
            Self::Query => query(service, body).map(CallerRequest::Query),
            Self::Action { key } => action(service, key, body).map(CallerRequest::Action),
        }
    }
}

/// Reader of a request's body.
pub(super) struct Body;

impl Body {
    /// Collects a body of at most [`CALLER_BODY_BYTES`].
    pub(super) async fn read<S, B>(
        account: &Account,
        announced: Option<usize>,
        body: S,
    ) -> Result<Bytes, Rejected>
    where
        S: Stream<Item = Result<B, warp::Error>>,
        B: Buf,
    {
        tokio::pin!(body);
        let mut received = RequestBody::new(account, CALLER_BODY_BYTES, announced);
        while let Some(chunk) = body.next().await {
            let mut chunk = chunk.map_err(|_| Rejected::broken_body())?;
            if received.len() + chunk.remaining() > CALLER_BODY_BYTES {
                return Err(Rejected::body_too_large());
            }
            let length = chunk.remaining();
            let pushed = received.push(chunk.copy_to_bytes(length)).await;
            pushed.map_err(|Evicted| Rejected::overloaded())?;
        }
        Ok(received.finish())
    }
}

fn check_media_type(headers: &HeaderMap) -> Result<(), Rejected> {
    let value = headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let media_type = value.split(';').next().unwrap_or_default().trim();
    if media_type.eq_ignore_ascii_case(JSON_MEDIA_TYPE) {
        Ok(())
    } else {
        Err(Rejected::media_type(value))
    }
}

fn check_announced_length(headers: &HeaderMap) -> Result<(), Rejected> {
    match announced_length(headers) {
        Some(length) if length > CALLER_BODY_BYTES => Err(Rejected::body_too_large()),
        _ => Ok(()),
    }
}

/// Length of the body, where the head tells it.
pub(super) fn announced_length(headers: &HeaderMap) -> Option<usize> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

/// The one key of the request: 1 to [`IDEMPOTENCY_KEY_BYTES`] visible ASCII characters.
fn idempotency_key(headers: &HeaderMap) -> Result<String, Rejected> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Err(Rejected::invalid("the header Idempotency-Key is missing"));
    };
    if values.next().is_some() {
        return Err(Rejected::invalid("the header Idempotency-Key stands twice"));
    }
    let key = value.to_str().map_err(|_| {
        Rejected::invalid("the header Idempotency-Key holds more than visible ASCII characters")
    })?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Rejected::invalid("the header Idempotency-Key is empty"));
    }
    if key.len() > IDEMPOTENCY_KEY_BYTES {
        return Err(Rejected::invalid(format!(
            "the header Idempotency-Key has {} bytes; the limit is {IDEMPOTENCY_KEY_BYTES}",
            key.len()
        )));
    }
    Ok(key.to_owned())
}

fn query(service: ServiceName, body: &[u8]) -> Result<QueryRequest, Rejected> {
    let body: QueryBody = decode(body)?;
    check_query_text(&body.query)?;
    check_limit(body.limit)?;
    check_minimum_coverage(body.minimum_coverage)?;
    Ok(QueryRequest {
        service,
        query: body.query,
        limit: body.limit,
        timeout: timeout(body.timeout_ms)?,
        minimum_coverage: body.minimum_coverage,
    })
}

fn action(service: ServiceName, key: String, body: &[u8]) -> Result<ActionRequest, Rejected> {
    let body: ActionBody = decode(body)?;
    Ok(ActionRequest {
        service,
        key,
        payload: body.payload,
        timeout: timeout(body.timeout_ms)?,
    })
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Rejected> {
    json::decode(body, CALLER_BODY_BYTES).map_err(|error| Rejected::invalid(error.to_string()))
}

fn check_query_text(query: &str) -> Result<(), Rejected> {
    if query.len() > QUERY_TEXT_BYTES {
        return Err(Rejected::unprocessable(format!(
            "query has {} bytes; the limit is {QUERY_TEXT_BYTES}",
            query.len()
        )));
    }
    Ok(())
}

fn check_limit(limit: u32) -> Result<(), Rejected> {
    if (1..=HITS_PER_ANSWER).contains(&limit) {
        return Ok(());
    }
    Err(Rejected::unprocessable(format!(
        "limit is {limit}; it must be 1 to {HITS_PER_ANSWER}"
    )))
}

fn check_minimum_coverage(minimum: Option<f64>) -> Result<(), Rejected> {
    match minimum {
        Some(minimum) if !(0.0..=1.0).contains(&minimum) => Err(Rejected::unprocessable(format!(
            "minimum_coverage is {minimum}; it must be 0 to 1"
        ))),
        _ => Ok(()),
    }
}

fn timeout(milliseconds: Option<u64>) -> Result<Option<Duration>, Rejected> {
    let Some(milliseconds) = milliseconds else {
        return Ok(None);
    };
    let timeout = Duration::from_millis(milliseconds);
    if timeout.is_zero() || timeout > CALLER_TIMEOUT {
        return Err(Rejected::unprocessable(format!(
            "timeout_ms is {milliseconds}; it must be 1 to {}",
            CALLER_TIMEOUT.as_millis()
        )));
    }
    Ok(Some(timeout))
}
