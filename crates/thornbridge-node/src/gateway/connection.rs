//! Connection to a server. Runs one attempt at a time until the connection is lost or closed.

use super::body_memory::BodyMemory;
use super::driver::GatewayInput;
use super::head_limit::{HeadProgress, MAX_READ_BUFFER_BYTES};
use super::headers::HeaderNames;
use super::metrics::GatewayMetrics;
use super::observed_stream::ObservedStream;
use super::server_reply::{self, ReplyIdentity};
use crate::sockets;
use crate::transport::{Transport, TransportLoss, drive};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thornbridge_core::ConnectionId;
use thornbridge_core::gateway::{ExchangeFailure, GatewayEvent, ServerReply};
use thornbridge_proto::AttemptId;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for a server to acknowledge sent bytes before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// An attempt to send on a connection.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) attempt: AttemptId,
    /// Value of the request id header, which the server echoes.
    pub(super) request_id: HeaderValue,
    pub(super) request: Request<Full<Bytes>>,
}

/// Environment of a connection task.
#[derive(Clone, Debug)]
pub(super) struct ConnectionContext {
    pub(super) names: Arc<HeaderNames>,
    pub(super) metrics: Arc<GatewayMetrics>,
    pub(super) body_memory: Arc<BodyMemory>,
    pub(super) inputs: mpsc::Sender<GatewayInput>,
}

/// Opens a connection and runs its attempts until it is lost. Emits exactly one event per attempt.
pub(super) async fn run(
    connection: ConnectionId,
    address: SocketAddr,
    context: ConnectionContext,
    mut jobs: mpsc::UnboundedReceiver<Job>,
) {
    let started = Instant::now();
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address));
    if let Ok(Some(opened)) = connecting.await {
        let connect_time = started.elapsed();
        let event = GatewayEvent::ConnectionOpened {
            connection,
            connect_time,
        };
        if context.send(event).await.is_err() {
            return;
        }
        if run_jobs(&context, opened, &mut jobs).await == JobsEnd::AttemptFailed {
            // `GatewayEvent::Failed` implies the loss of the connection.
            return;
        }
    }
    jobs.close();
    if let Some(job) = jobs.recv().await {
        let failed = GatewayEvent::Failed {
            attempt: job.attempt,
            failure: ExchangeFailure::NotSent,
        };
        let _ = context.send(failed).await;
        return;
    }
    let _ = context
        .send(GatewayEvent::ConnectionLost { connection })
        .await;
}

/// Why a connection stopped running jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobsEnd {
    /// Lost or closed without an attempt in flight.
    Lost,
    /// An attempt failed and its failure was reported, or the driver has ended.
    AttemptFailed,
}

async fn run_jobs(
    context: &ConnectionContext,
    opened: OpenConnection,
    jobs: &mut mpsc::UnboundedReceiver<Job>,
) -> JobsEnd {
    let OpenConnection {
        mut sender,
        mut transport,
        head,
    } = opened;
    let mut is_first = true;
    loop {
        let job = tokio::select! {
            biased;
            loss = &mut transport => {
                if loss == TransportLoss::SurplusBytes {
                    context.metrics.record_surplus_bytes();
                }
                return JobsEnd::Lost;
            }
            job = jobs.recv() => job,
        };
        let Some(job) = job else {
            return JobsEnd::Lost;
        };
        let attempt = job.attempt;
        head.await_head();
        let running = exchange(context, &mut sender, &head, job, is_first);
        let (event, failed) = match drive(&mut transport, running).await {
            Ok(reply) => {
                let reply = Box::new(reply);
                (GatewayEvent::Replied { attempt, reply }, false)
            }
            Err(failure) => (GatewayEvent::Failed { attempt, failure }, true),
        };
        if context.send(event).await.is_err() || failed {
            return JobsEnd::AttemptFailed;
        }
        is_first = false;
    }
}

/// Open connection, and the progress of the response head on it.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    transport: Transport<ObservedStream<HeadProgress>>,
    head: Arc<HeadProgress>,
}

async fn connect(address: SocketAddr) -> Option<OpenConnection> {
    let stream = TcpStream::connect(address).await.ok()?;
    sockets::prepare(&stream, TCP_USER_TIMEOUT);
    let head = Arc::new(HeadProgress::default());
    let stream = ObservedStream::new(stream, Arc::clone(&head));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    Some(OpenConnection {
        sender,
        transport: Transport::Open(Box::pin(connection)),
        head,
    })
}

async fn exchange(
    context: &ConnectionContext,
    sender: &mut SendRequest<Full<Bytes>>,
    head: &HeadProgress,
    job: Job,
    is_first: bool,
) -> Result<ServerReply, ExchangeFailure> {
    sender.ready().await.map_err(|_| ExchangeFailure::NotSent)?;
    let response = match sender.try_send_request(job.request).await {
        Ok(response) => response,
        Err(mut error) => {
            // hyper returns the request only if no byte of it was written.
            let unsent = error.take_message().is_some();
            let too_large = head.is_exceeded() || error.error().is_parse_too_large();
            return Err(match (unsent, too_large) {
                (true, _) => ExchangeFailure::NotSent,
                (false, true) => ExchangeFailure::Overlong,
                (false, false) => ExchangeFailure::MayHaveRun,
            });
        }
    };
    head.head_received();
    let names = &context.names;
    let identity = ReplyIdentity::of(names, &job.request_id, response.headers());
    if identity == ReplyIdentity::Unnamed {
        context.metrics.record_unidentified_answer();
    }
    server_reply::read(names, identity, is_first, response, &context.body_memory).await
}

impl ConnectionContext {
    async fn send(&self, event: GatewayEvent) -> Result<(), ()> {
        let sent = self.inputs.send(GatewayInput::Event(Box::new(event))).await;
        sent.map_err(|_| ())
    }
}
