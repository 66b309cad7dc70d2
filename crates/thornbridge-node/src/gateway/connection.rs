//! One connection to a server: opened, given one attempt after the other, lost or closed.

use super::driver::GatewayInput;
use super::headers::WireNames;
use super::server_reply;
use crate::sockets;
use crate::transport::{Connection, Transport, drive};
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
/// Time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// An attempt for a connection.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) attempt: AttemptId,
    pub(super) id: HeaderValue,
    pub(super) request: Request<Full<Bytes>>,
}

/// What a connection needs beside its jobs.
#[derive(Clone, Debug)]
pub(super) struct ConnectionContext {
    pub(super) names: Arc<WireNames>,
    pub(super) inputs: mpsc::Sender<GatewayInput>,
}

/// Runs a connection until it is lost. Each attempt gets exactly one event.
pub(super) async fn run(
    connection: ConnectionId,
    address: SocketAddr,
    context: ConnectionContext,
    mut jobs: mpsc::UnboundedReceiver<Job>,
) {
    let began = Instant::now();
    let opening = tokio::time::timeout(CONNECT_TIMEOUT, open(address));
    if let Ok(Some((sender, transport))) = opening.await {
        let connect_time = began.elapsed();
        let opened = GatewayEvent::ConnectionOpened {
            connection,
            connect_time,
        };
        if context.send(opened).await.is_err() {
            return;
        }
        let transport = Transport::Open(Box::pin(transport));
        if serve(&context, sender, transport, &mut jobs).await == ServeEnd::AttemptFailed {
            // The failure of the attempt tells of the connection too.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServeEnd {
    Lost,
    AttemptFailed,
}

async fn serve(
    context: &ConnectionContext,
    mut sender: SendRequest<Full<Bytes>>,
    mut transport: Transport,
    jobs: &mut mpsc::UnboundedReceiver<Job>,
) -> ServeEnd {
    loop {
        let job = tokio::select! {
            biased;
            () = &mut transport => return ServeEnd::Lost,
            job = jobs.recv() => job,
        };
        let Some(job) = job else {
            return ServeEnd::Lost;
        };
        let attempt = job.attempt;
        let running = exchange(&context.names, &mut sender, job);
        let (event, failed) = match drive(&mut transport, running).await {
            Ok(reply) => {
                let reply = Box::new(reply);
                (GatewayEvent::Replied { attempt, reply }, false)
            }
            Err(failure) => (GatewayEvent::Failed { attempt, failure }, true),
        };
        if context.send(event).await.is_err() || failed {
            return ServeEnd::AttemptFailed;
        }
    }
}

async fn open(address: SocketAddr) -> Option<(SendRequest<Full<Bytes>>, Connection)> {
    let stream = TcpStream::connect(address).await.ok()?;
    sockets::prepare(&stream, UNACKNOWLEDGED);
    http1::handshake(TokioIo::new(stream)).await.ok()
}

async fn exchange(
    names: &WireNames,
    sender: &mut SendRequest<Full<Bytes>>,
    job: Job,
) -> Result<ServerReply, ExchangeFailure> {
    sender.ready().await.map_err(|_| ExchangeFailure::NotSent)?;
    let response = match sender.try_send_request(job.request).await {
        Ok(response) => response,
        Err(mut error) => {
            // hyper hands the request back only where it never began to write it.
            let unsent = error.take_message().is_some();
            return Err(match unsent {
                true => ExchangeFailure::NotSent,
                false => ExchangeFailure::MayHaveRun,
            });
        }
    };
    server_reply::read(names, &job.id, response).await
}

impl ConnectionContext {
    async fn send(&self, event: GatewayEvent) -> Result<(), ()> {
        let sent = self.inputs.send(GatewayInput::Event(Box::new(event))).await;
        sent.map_err(|_| ())
    }
}
