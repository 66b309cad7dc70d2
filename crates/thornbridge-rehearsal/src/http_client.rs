//! A plain HTTP/1.1 client for the rehearsal's own use: load, and control of stand-ins.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Largest response that is read.
const RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// A request got no whole response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection: nothing was sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Server.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The connection failed before the request was sent or the head of the response came.
    #[snafu(display("no response from {address}"))]
    NoResponse {
        /// Server.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The connection failed in the middle of the response's body.
    #[snafu(display("the response from {address} is cut short or too long"))]
    Body {
        /// Server.
        address: SocketAddr,
        /// Cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request cannot be formed.
    #[snafu(display("the request cannot be formed"))]
    Form {
        /// Cause.
        source: hyper::http::Error,
    },
    /// The body cannot be written as JSON.
    #[snafu(display("the body cannot be written as JSON"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl ClientResponse {
    /// The body as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// One kept connection: one request at a time.
#[derive(Debug)]
pub struct ClientConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: tokio::task::JoinHandle<()>,
}

impl ClientConnection {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Result<Self, ClientError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.context(NoResponseSnafu { address })?;
        // A failure shows in the request that is running.
        let driver = tokio::spawn(async move { connection.await.unwrap_or_default() });
        Ok(Self {
            address,
            sender,
            driver,
        })
    }

    /// Whether the connection can take no further request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends one request and reads the whole response.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<ClientResponse, ClientError> {
        let address = self.address;
        let context = NoResponseSnafu { address };
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        self.sender.ready().await.context(context)?;
        let response = self.sender.send_request(request).await.context(context)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, RESPONSE_BYTES).collect().await;
        Ok(ClientResponse {
            status: head.status,
            headers: head.headers,
            body: body.context(BodySnafu { address })?.to_bytes(),
        })
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A request with a body of JSON.
pub fn json_request<T: Serialize>(
    method: Method,
    path: &str,
    body: &T,
) -> Result<Request<Full<Bytes>>, ClientError> {
    let body = serde_json::to_vec(body).context(EncodeSnafu)?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json");
    request.body(Full::from(body)).context(FormSnafu)
}

/// A request without a body.
pub fn plain_request(method: Method, path: &str) -> Result<Request<Full<Bytes>>, ClientError> {
    let request = Request::builder().method(method).uri(path);
    request.body(Full::default()).context(FormSnafu)
}

/// Sends one request over a connection of its own.
pub async fn send_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<ClientResponse, ClientError> {
    let mut connection = ClientConnection::open(address).await?;
    connection.send(request).await
}
