//! One connection to a back end: opened, given one attempt after the other, lost or closed.

use super::reply;
use super::request::{SharedParts, encode_attempt, host_of};
use crate::input::{DriverEnded, Input, InputSender};
use crate::sockets;
use crate::transport::{Connection, Transport, drive};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::{AttemptFailure, ConnectionId, Event};
use thornbridge_proto::AttemptId;
use thornbridge_proto::back_end::{Attempt, BackEndReply, LoadReport};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// An attempt with what it shares with the others of its request.
#[derive(Debug)]
pub(crate) struct AttemptJob {
    /// The attempt.
    pub(crate) attempt: Attempt,
    /// Body and headers that are the same for all.
    pub(crate) shared: SharedParts,
}

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Time to open it.
    pub(crate) connect_timeout: Duration,
    /// Time that sent bytes may stay unacknowledged.
    pub(crate) write_timeout: Duration,
}

/// Runs a connection until it is lost, or closed by dropping the other end of `jobs`.
///
/// A connection on which an attempt failed is never used again. Each attempt gets exactly one
/// event, before the connection's own end.
pub(crate) async fn run_connection(
    connection: ConnectionId,
    address: SocketAddr,
    limits: ConnectionLimits,
    mut jobs: mpsc::UnboundedReceiver<AttemptJob>,
    inputs: InputSender,
) {
    let ran = serve(connection, address, limits, &mut jobs, &inputs).await;
    if ran.is_err() {
        return;
    }
    jobs.close();
    while let Some(job) = jobs.recv().await {
        let failed = failed(job.attempt.attempt, AttemptFailure::NotSent);
        let ended = Input::AttemptEnded {
            connection,
            event: failed,
        };
        if inputs.send(ended).await.is_err() {
            return;
        }
    }
    let _ = inputs.send(Input::ConnectionLost { connection }).await;
}

async fn serve(
    connection: ConnectionId,
    address: SocketAddr,
    limits: ConnectionLimits,
    jobs: &mut mpsc::UnboundedReceiver<AttemptJob>,
    inputs: &InputSender,
) -> Result<(), DriverEnded> {
    let opening = tokio::time::timeout(limits.connect_timeout, open(address, limits.write_timeout));
    let (Some(host), Ok(Some((mut sender, transport)))) = (host_of(address), opening.await) else {
        return Ok(());
    };
    let mut transport = Transport::Open(Box::pin(transport));
    inputs.event(Event::ConnectionOpened { connection }).await?;
    loop {
        let job = tokio::select! {
            biased;
            _ = &mut transport => return Ok(()),
            job = jobs.recv() => job,
        };
        let Some(job) = job else {
            return Ok(());
        };
        let attempt = job.attempt.attempt;
        let running = run_attempt(&mut sender, &host, job);
        let event = drive(&mut transport, running).await;
        let failed = matches!(event, Event::AttemptFailed { .. });
        debug_assert!(attempt_of(&event) == Some(attempt));
        inputs
            .send(Input::AttemptEnded { connection, event })
            .await?;
        if failed {
            return Ok(());
        }
    }
}

async fn open(
    address: SocketAddr,
    write_timeout: Duration,
) -> Option<(SendRequest<Full<Bytes>>, Connection<TcpStream>)> {
    let stream = TcpStream::connect(address).await.ok()?;
    sockets::prepare(&stream, write_timeout);
    http1::handshake(TokioIo::new(stream)).await.ok()
}

async fn run_attempt(
    sender: &mut SendRequest<Full<Bytes>>,
    host: &HeaderValue,
    job: AttemptJob,
) -> Event {
    let attempt = job.attempt.attempt;
    match exchange(sender, host, job).await {
        Ok((reply, load)) => Event::AttemptReplied {
            attempt,
            reply,
            load,
        },
        Err(failure) => failed(attempt, failure),
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    host: &HeaderValue,
    job: AttemptJob,
) -> Result<(BackEndReply, Option<LoadReport>), AttemptFailure> {
    let request =
        encode_attempt(host, &job.attempt, job.shared).map_err(|_| AttemptFailure::NotSent)?;
    sender.ready().await.map_err(|_| AttemptFailure::NotSent)?;
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(error) => return Err(failure_of(error)),
    };
    let load = reply::load_of(response.headers());
    let reply = reply::read(response).await?;
    Ok((reply, load))
}

fn failure_of(mut error: TrySendError<Request<Full<Bytes>>>) -> AttemptFailure {
    // hyper hands the request back only where it never began to write it.
    if error.take_message().is_some() {
        AttemptFailure::NotSent
    } else if error.error().is_parse() {
        AttemptFailure::MalformedReply
    } else {
        AttemptFailure::ConnectionBroken
    }
}

fn failed(attempt: AttemptId, failure: AttemptFailure) -> Event {
    Event::AttemptFailed { attempt, failure }
}

fn attempt_of(event: &Event) -> Option<AttemptId> {
    match event {
        Event::AttemptReplied { attempt, .. } | Event::AttemptFailed { attempt, .. } => {
            Some(*attempt)
        }
        _ => None,
    }
}
