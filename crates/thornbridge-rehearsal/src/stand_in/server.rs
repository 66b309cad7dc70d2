//! A small HTTP/1.1 server whose handler may also cut the connection, which a usual web
//! framework does not allow and a stand-in for failing servers needs.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Collected, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Wait after a failed accept, so that a shortage of file descriptors does not spin the loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Body of a response.
pub type Body = BoxBody<Bytes, ConnectionCut>;

/// What a handler makes of a request: a response, or the connection cut without one.
pub type Outcome = Result<Response<Body>, ConnectionCut>;

/// The response to give instead of going on.
pub type Rejection = Box<Response<Body>>;

/// The stand-in breaks the connection here on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the stand-in cut the connection"))]
pub struct ConnectionCut;

/// A stand-in cannot listen.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address}"))]
pub struct ListenError {
    /// Address asked for.
    pub address: SocketAddr,
    /// Cause.
    source: std::io::Error,
}

/// What a server does with its connections and requests.
pub trait Handler: Send + Sync + 'static {
    /// A connection came in; `false` closes it at once.
    fn connection_opened(&self) -> bool {
        true
    }

    /// A connection that was served is gone.
    fn connection_closed(&self) {}

    /// Answers one request. Dropped when the client goes away.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Outcome> + Send;
}

/// A listening server. Dropping it stops it without waiting.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Listens on `bind` (port 0: any free one) and serves until stopped.
    pub async fn start<H: Handler>(bind: SocketAddr, handler: Arc<H>) -> Result<Self, ListenError> {
        let context = ListenSnafu { address: bind };
        let listener = TcpListener::bind(bind).await.context(context)?;
        let address = listener.local_addr().context(context)?;
        let (stop, stopped) = watch::channel(false);
        let accepting = tokio::spawn(accept_until_stopped(listener, handler, stopped));
        Ok(Self {
            address,
            stop,
            accepting,
        })
    }

    /// The address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections, whatever they are doing.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        // The task ends by itself; it fails only where the runtime is going down anyway.
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

async fn accept_until_stopped<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = asked_to_stop(&mut stopped) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, Arc::clone(&handler)));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
        }
    }
    drop(listener);
    connections.shutdown().await;
}

async fn asked_to_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which asks for the same.
    let _ = stopped.wait_for(|stop| *stop).await;
}

/// Tells the handler that a connection ended, also when its task is aborted.
struct OpenConnection<H: Handler>(Arc<H>);

impl<H: Handler> Drop for OpenConnection<H> {
    fn drop(&mut self) {
        self.0.connection_closed();
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    if !handler.connection_opened() {
        return;
    }
    let open = OpenConnection(handler);
    // Small answers must not wait for more data (Nagle); a failure here only costs time.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| Arc::clone(&open.0).handle(request));
    // An error is a client that went away or a cut made on purpose.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A body held in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    with_status(status, full(Bytes::new()))
}

/// A response of plain text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    with_status(status, full(text.into()))
}

/// A response of JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = with_status(status, full(bytes));
            let json = hyper::header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// The same response, whose body breaks off after half of its bytes with the connection.
pub async fn cut_in_half(response: Response<Body>) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    let bytes = body.collect().await.map(Collected::to_bytes);
    let bytes = bytes.unwrap_or_default();
    head.headers.insert(CONTENT_LENGTH, bytes.len().into());
    let half = bytes.slice(..bytes.len() / 2);
    let frames = stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) => Some((Ok(Frame::data(half)), None)),
            None => {
                // Lets the server write out what it has before the connection breaks.
                tokio::task::yield_now().await;
                Some((Err(ConnectionCut), None))
            }
        }
    });
    Response::from_parts(head, BodyExt::boxed(StreamBody::new(frames)))
}

fn with_status(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Reads a body of at most `limit` bytes; the response to give otherwise.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Rejection> {
    match http_body_util::Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => {
            let too_large = error.is::<http_body_util::LengthLimitError>();
            let status = if too_large {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            Err(text(status, error.to_string()).into())
        }
    }
}

/// A body of JSON; the response to give otherwise.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body)
        .map_err(|error| text(StatusCode::BAD_REQUEST, error.to_string()).into())
}
