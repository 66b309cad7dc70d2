//! One HTTP exchange with the platform, over a kept connection where there is one.

use super::READER_HEADER;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use thornbridge_proto::limits::PLATFORM_OBJECT_BYTES;
use tokio::net::TcpStream;

/// Largest body that is taken from the platform: a list holds several objects.
const RESPONSE_BYTES: usize = 16 * PLATFORM_OBJECT_BYTES;

/// A request, ready to be sent.
pub(super) type Outgoing = Request<Full<Bytes>>;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// No byte of the request left.
    NotSent,
    /// It may have left.
    NoAnswer,
}

/// The platform's address and a connection kept between requests.
#[derive(Debug)]
pub(super) struct Exchange {
    address: SocketAddr,
    reader: String,
    idle: Mutex<Option<SendRequest<Full<Bytes>>>>,
}

impl Exchange {
    pub(super) fn new(address: SocketAddr, reader: &str) -> Self {
        Self {
            address,
            reader: reader.to_owned(),
            idle: Mutex::new(None),
        }
    }

    /// A read, which carries the reader's name.
    pub(super) fn read(&self, path: &str) -> Result<Outgoing, hyper::http::Error> {
        Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(READER_HEADER, self.reader.as_str())
            .body(Full::default())
    }

    /// A write under a precondition.
    pub(super) fn write(
        &self,
        method: Method,
        path: &str,
        condition: HeaderName,
        value: &str,
        body: Bytes,
    ) -> Result<Outgoing, hyper::http::Error> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .header(condition, value)
            .body(Full::new(body))
    }

    /// Sends a request and reads the whole answer.
    pub(super) async fn run(
        &self,
        request: Outgoing,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let (mut sender, response) = self.send(request).await?;
        let status = response.status();
        let body = collect(response.into_body())
            .await
            .ok_or(ExchangeError::NoAnswer)?;
        if sender.ready().await.is_ok() {
            *self.idle.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
        }
        Ok((status, body))
    }

    /// Sends a read on a connection of its own and gives the response with its body unread.
    pub(super) async fn open_stream(
        &self,
        path: &str,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let request = self.read(path).map_err(|_| ExchangeError::NotSent)?;
        let mut sender = self.open().await?;
        sender
            .send_request(request)
            .await
            .map_err(|_| ExchangeError::NoAnswer)
    }

    async fn send(
        &self,
        request: Outgoing,
    ) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), ExchangeError> {
        let kept = self
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let request = match kept {
            None => request,
            Some(mut sender) => match sender.try_send_request(request).await {
                Ok(response) => return Ok((sender, response)),
                // The kept connection was closed meanwhile, before anything was written on it.
                Err(mut error) => error.take_message().ok_or(ExchangeError::NoAnswer)?,
            },
        };
        let mut sender = self.open().await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok((sender, response)),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => ExchangeError::NotSent,
                None => ExchangeError::NoAnswer,
            }),
        }
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        stream
            .set_nodelay(true)
            .map_err(|_| ExchangeError::NotSent)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

/// The whole body; `None` when it breaks off or is larger than [`RESPONSE_BYTES`].
async fn collect(mut body: Incoming) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if collected.len() + data.len() > RESPONSE_BYTES {
            return None;
        }
        collected.extend_from_slice(&data);
    }
    Some(collected.freeze())
}
