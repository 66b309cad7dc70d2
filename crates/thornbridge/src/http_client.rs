//! One exchange with a node over HTTP/1.1, under a time limit.

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_rehearsal::http_client::{ClientConnection, ClientError, ClientResponse};

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// An exchange failed.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// No connection: nothing was sent.
    #[snafu(display("cannot connect"))]
    Connect {
        /// Cause.
        source: ClientError,
    },
    /// No connection in time: nothing was sent.
    #[snafu(display("no connection within {}", humantime::format_duration(*limit)))]
    ConnectTimedOut {
        /// The time given.
        limit: Duration,
    },
    /// The request cannot be written as HTTP: nothing was sent.
    #[snafu(display("cannot form the request"))]
    Form {
        /// Cause.
        source: hyper::http::Error,
    },
    /// The connection broke before the whole response came.
    #[snafu(display("the connection broke before the whole response came"))]
    Broken {
        /// Cause.
        source: ClientError,
    },
    /// No response in time.
    #[snafu(display("no response within {}", humantime::format_duration(*limit)))]
    TimedOut {
        /// The time given.
        limit: Duration,
    },
}

impl HttpError {
    /// Whether the request may have reached the peer.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Broken { .. } | Self::TimedOut { .. })
    }
}

/// A request. The address and the body's length are added.
#[derive(Clone, Debug)]
pub struct HttpRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Further headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body; empty for none.
    pub body: Vec<u8>,
}

/// Sends one request on a connection of its own.
pub async fn exchange(
    peer: SocketAddr,
    request: HttpRequest<'_>,
    limit: Duration,
) -> Result<ClientResponse, HttpError> {
    let request = form(request).context(FormSnafu)?;
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, ClientConnection::open(peer));
    let Ok(opened) = opening.await else {
        let limit = CONNECT_TIMEOUT;
        return ConnectTimedOutSnafu { limit }.fail();
    };
    let mut connection = opened.context(ConnectSnafu)?;
    match tokio::time::timeout(limit, connection.send(request)).await {
        Ok(response) => response.context(BrokenSnafu),
        Err(_) => TimedOutSnafu { limit }.fail(),
    }
}

fn form(request: HttpRequest<'_>) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut builder = Request::builder().method(request.method).uri(request.path);
    for (name, value) in request.headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from(request.body))
}
