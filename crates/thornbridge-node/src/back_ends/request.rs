//! From an attempt to an HTTP request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use std::net::SocketAddr;
use thornbridge_proto::RequestId;
use thornbridge_proto::back_end::{
    ATTEMPT_HEADER, ActionWork, Attempt, DEADLINE_HEADER, KEY_HEADER, LAYOUT_HEADER, QueryWork,
    REQUEST_HEADER, SERVICE_HEADER, SNAPSHOT_HEADER, Work,
};

/// Headers of an attempt, with one to spare for hyper's own.
const ATTEMPT_HEADERS: usize = 10;

/// An attempt cannot be written as an HTTP request, as when a name holds a line break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unencodable;

/// What all attempts of one request share, encoded once: the body and most headers.
#[derive(Clone, Debug)]
pub(crate) struct SharedParts {
    body: Bytes,
    request: HeaderValue,
    service: HeaderValue,
    work: SharedWorkHeaders,
}

#[derive(Clone, Debug)]
enum SharedWorkHeaders {
    Query {
        snapshot: HeaderValue,
        layout: HeaderValue,
    },
    Action {
        key: HeaderValue,
    },
}

/// The shared parts of the last request: its attempts come from the core in one run, so that
/// nothing older is worth keeping.
#[derive(Debug, Default)]
pub(crate) struct SharedPartsCache {
    last: Option<(RequestId, SharedParts)>,
}

impl SharedPartsCache {
    /// The shared parts of an attempt.
    pub(crate) fn of(&mut self, attempt: &Attempt) -> Result<SharedParts, Unencodable> {
        if let Some((request, parts)) = &self.last
            && *request == attempt.request
        {
            return Ok(parts.clone());
        }
        let parts = SharedParts::encode(attempt)?;
        self.last = Some((attempt.request, parts.clone()));
        Ok(parts)
    }
}

impl SharedParts {
    fn encode(attempt: &Attempt) -> Result<Self, Unencodable> {
        let work = match &attempt.work {
            Work::Query {
                snapshot, layout, ..
            } => SharedWorkHeaders::Query {
                snapshot: text(snapshot.as_str())?,
                layout: text(layout.as_str())?,
            },
            Work::Action { key, .. } => SharedWorkHeaders::Action { key: text(key)? },
        };
        Ok(Self {
            body: Bytes::from(encode(&attempt.work)?),
            request: text(&attempt.request.to_string())?,
            service: text(attempt.service.as_str())?,
            work,
        })
    }
}

fn encode(work: &Work) -> Result<Vec<u8>, Unencodable> {
    let encoded = match work {
        Work::Query { query, limit, .. } => serde_json::to_vec(&QueryWork {
            query: query.to_string(),
            limit: *limit,
        }),
        Work::Action { payload, .. } => serde_json::to_vec(&ActionWork {
            payload: payload.to_string(),
        }),
    };
    encoded.map_err(|_| Unencodable)
}

/// The `Host` header of a back end.
pub(crate) fn host_of(address: SocketAddr) -> Option<HeaderValue> {
    HeaderValue::from_str(&address.to_string()).ok()
}

/// The request of an attempt.
pub(crate) fn encode_attempt(
    host: &HeaderValue,
    attempt: &Attempt,
    shared: SharedParts,
) -> Result<Request<Full<Bytes>>, Unencodable> {
    let operation = match shared.work {
        SharedWorkHeaders::Query { .. } => "query",
        SharedWorkHeaders::Action { .. } => "action",
    };
    let mut request = Request::new(Full::new(shared.body));
    *request.method_mut() = hyper::Method::POST;
    *request.uri_mut() = format!("/shards/{}/{operation}", attempt.shard)
        .parse()
        .map_err(|_| Unencodable)?;
    let headers = request.headers_mut();
    headers.reserve(ATTEMPT_HEADERS);
    headers.insert(HOST, host.clone());
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let deadline = u64::try_from(attempt.time_left.as_micros()).unwrap_or(u64::MAX);
    headers.insert(name(DEADLINE_HEADER), HeaderValue::from(deadline));
    headers.insert(name(ATTEMPT_HEADER), HeaderValue::from(attempt.attempt.0));
    headers.insert(name(REQUEST_HEADER), shared.request);
    headers.insert(name(SERVICE_HEADER), shared.service);
    match shared.work {
        SharedWorkHeaders::Query { snapshot, layout } => {
            headers.insert(name(SNAPSHOT_HEADER), snapshot);
            headers.insert(name(LAYOUT_HEADER), layout);
        }
        SharedWorkHeaders::Action { key } => {
            headers.insert(name(KEY_HEADER), key);
        }
    }
    Ok(request)
}

fn name(name: &'static str) -> HeaderName {
    HeaderName::from_static(name)
}

fn text(text: &str) -> Result<HeaderValue, Unencodable> {
    HeaderValue::from_str(text).map_err(|_| Unencodable)
}
