//! The platform's object API over HTTP/1.1 and JSON: one client for nodes and the command line.
//!
//! `PUT` carries the object's JSON text as its body and the precondition as a header:
//! `If-None-Match: *` for [`Precondition::Absent`], `If-Match: "VERSION"` for
//! [`Precondition::Version`]. Reads carry [`READER_HEADER`], by which the store counts readers.
//!
//! A write without an answer may have taken effect: it is [`PlatformFailure::NoAnswer`], and
//! only what certainly never left is [`PlatformFailure::Unreachable`].

mod exchange;
mod watch;

pub use watch::Watch;

use bytes::Bytes;
use exchange::{Exchange, ExchangeError};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thornbridge_proto::platform::{
    ObjectKind, PlatformFailure, PlatformRequest, PlatformResponse, Precondition, ResourceVersion,
    StoredObject, WatchEnd,
};

/// Request header: who reads; the store bears a limited number of readers.
pub const READER_HEADER: &str = "thornbridge-reader";

/// Client of the platform's store. Clones share their connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    exchange: Arc<Exchange>,
    timeout: Duration,
}

#[derive(Deserialize)]
struct ObjectList {
    objects: Vec<StoredObject>,
    version: ResourceVersion,
}

impl PlatformClient {
    /// A client that names itself `reader` on reads and waits at most `timeout` for an answer.
    pub fn new(address: SocketAddr, reader: &str, timeout: Duration) -> Self {
        Self {
            exchange: Arc::new(Exchange::new(address, reader)),
            timeout,
        }
    }

    /// Carries a request out.
    pub async fn execute(
        &self,
        request: &PlatformRequest,
    ) -> Result<PlatformResponse, PlatformFailure> {
        let executed = tokio::time::timeout(self.timeout, self.execute_untimed(request));
        executed.await.unwrap_or(Err(PlatformFailure::NoAnswer))
    }

    async fn execute_untimed(
        &self,
        request: &PlatformRequest,
    ) -> Result<PlatformResponse, PlatformFailure> {
        let request_to_send = self.encode(request)?;
        let (status, body) =
            self.exchange
                .run(request_to_send)
                .await
                .map_err(|error| match error {
                    ExchangeError::NotSent => PlatformFailure::Unreachable,
                    ExchangeError::NoAnswer => PlatformFailure::NoAnswer,
                })?;
        decode(request, status, &body)
    }

    /// Watches the objects of a kind after a version.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        from: ResourceVersion,
        idle: Duration,
    ) -> Result<Watch, WatchEnd> {
        let path = format!("/objects/{}?watch=1&from={}", kind.as_str(), from.0);
        let opening = tokio::time::timeout(self.timeout, self.exchange.open_stream(&path));
        let response = opening
            .await
            .map_err(|_| WatchEnd::Lost)?
            .map_err(|_| WatchEnd::Lost)?;
        match response.status() {
            StatusCode::OK => Ok(Watch::new(response.into_body(), idle)),
            StatusCode::GONE => Err(WatchEnd::Compacted),
            StatusCode::TOO_MANY_REQUESTS => Err(WatchEnd::TooManyReaders),
            _ => Err(WatchEnd::Lost),
        }
    }

    fn encode(&self, request: &PlatformRequest) -> Result<exchange::Outgoing, PlatformFailure> {
        let outgoing = match request {
            PlatformRequest::Get { kind, name } => self.exchange.read(&object_path(*kind, name)?),
            PlatformRequest::List { kind } => {
                self.exchange.read(&format!("/objects/{}", kind.as_str()))
            }
            PlatformRequest::ListMachines => self.exchange.read("/machines"),
            PlatformRequest::Put {
                kind,
                name,
                body,
                precondition,
            } => {
                let (header, value) = precondition_header(*precondition);
                let path = object_path(*kind, name)?;
                let body = Bytes::from(body.clone());
                self.exchange
                    .write(Method::PUT, &path, header, &value, body)
            }
        };
        outgoing.map_err(|_| refused("the request cannot be written as HTTP"))
    }
}

fn precondition_header(precondition: Precondition) -> (hyper::header::HeaderName, String) {
    match precondition {
        Precondition::Absent => (hyper::header::IF_NONE_MATCH, "*".to_owned()),
        Precondition::Version(version) => (hyper::header::IF_MATCH, format!("\"{}\"", version.0)),
    }
}

/// Path of an object. Names are kept to characters that need no escaping in a path segment.
fn object_path(kind: ObjectKind, name: &str) -> Result<String, PlatformFailure> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    if name.is_empty() || name.starts_with('.') || !name.bytes().all(plain) {
        return Err(refused(&format!(
            "the object name {name:?} may hold ASCII letters, digits, '-', '.', '_' and '~' only"
        )));
    }
    Ok(format!("/objects/{}/{name}", kind.as_str()))
}

fn refused(detail: &str) -> PlatformFailure {
    PlatformFailure::Refused {
        detail: detail.to_owned(),
    }
}

fn decode(
    request: &PlatformRequest,
    status: StatusCode,
    body: &[u8],
) -> Result<PlatformResponse, PlatformFailure> {
    if status.is_success() {
        // A write whose answer cannot be read has taken effect all the same.
        return decode_success(request, body).map_err(|_| PlatformFailure::NoAnswer);
    }
    let is_get = matches!(request, PlatformRequest::Get { .. });
    match status {
        StatusCode::NOT_FOUND if is_get => Ok(PlatformResponse::Object(None)),
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => {
            let current = serde_json::from_slice(body).ok();
            Err(PlatformFailure::Conflict { current })
        }
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformFailure::TooManyReaders),
        status if status.is_client_error() => {
            let words = String::from_utf8_lossy(body);
            Err(refused(&format!("status {}: {words}", status.as_u16())))
        }
        _ => Err(PlatformFailure::NoAnswer),
    }
}

fn decode_success(
    request: &PlatformRequest,
    body: &[u8],
) -> Result<PlatformResponse, serde_json::Error> {
    match request {
        PlatformRequest::Get { .. } => {
            let object: StoredObject = serde_json::from_slice(body)?;
            Ok(PlatformResponse::Object(Some(object)))
        }
        PlatformRequest::List { .. } => {
            let list: ObjectList = serde_json::from_slice(body)?;
            Ok(PlatformResponse::Objects {
                objects: list.objects,
                version: list.version,
            })
        }
        PlatformRequest::Put { .. } => {
            let object: StoredObject = serde_json::from_slice(body)?;
            Ok(PlatformResponse::Written {
                version: object.resource_version,
            })
        }
        PlatformRequest::ListMachines => {
            serde_json::from_slice(body).map(PlatformResponse::Machines)
        }
    }
}
