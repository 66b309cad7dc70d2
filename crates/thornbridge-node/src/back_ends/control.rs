//! Control connections: cancellations and probes, one connection a back end, opened on demand.
//!
//! A back end's control connection is one more than its data connections, and is closed when it
//! has been idle for a while.

use super::reply;
use super::request::host_of;
use crate::input::InputSender;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_core::Event;
use thornbridge_proto::back_end::LoadReport;
use thornbridge_proto::limits::BACK_END_BODY_BYTES;
use thornbridge_proto::{AttemptId, BackEndId, RequestId, json};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// One thing to do on a control connection.
#[derive(Debug)]
enum ControlJob {
    Cancel {
        request: RequestId,
        attempt: AttemptId,
    },
    Probe {
        back_end: BackEndId,
    },
}

/// Limits of a control connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ControlLimits {
    /// Jobs that wait for one back end.
    pub(crate) queue: usize,
    /// Time for one exchange, opening included.
    pub(crate) timeout: Duration,
    /// Time after which an idle connection is closed.
    pub(crate) idle: Duration,
}

/// Control connections of all back ends.
#[derive(Debug)]
pub(crate) struct ControlConnections {
    limits: ControlLimits,
    inputs: InputSender,
    queues: BTreeMap<SocketAddr, mpsc::Sender<ControlJob>>,
    dropped: u64,
}

impl ControlConnections {
    /// None open.
    pub(crate) fn new(limits: ControlLimits, inputs: InputSender) -> Self {
        Self {
            limits,
            inputs,
            queues: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Cancellations that found their back end's queue full. A lost cancellation costs the back
    /// end work, never an answer.
    pub(crate) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Asks a back end to stop an attempt.
    pub(crate) fn cancel(&mut self, address: SocketAddr, request: RequestId, attempt: AttemptId) {
        if self
            .enqueue(address, ControlJob::Cancel { request, attempt })
            .is_err()
        {
            self.dropped += 1;
        }
    }

    /// Asks a back end for its health; `false` when its queue is full.
    pub(crate) fn probe(&mut self, address: SocketAddr, back_end: BackEndId) -> bool {
        self.enqueue(address, ControlJob::Probe { back_end })
            .is_ok()
    }

    /// Forgets the connections that have closed.
    pub(crate) fn sweep(&mut self) {
        self.queues.retain(|_, queue| !queue.is_closed());
    }

    fn enqueue(&mut self, address: SocketAddr, job: ControlJob) -> Result<(), QueueFull> {
        let job = match self.queues.get(&address) {
            None => job,
            Some(queue) => match queue.try_send(job) {
                Ok(()) => return Ok(()),
                Err(TrySendError::Full(_)) => return Err(QueueFull),
                Err(TrySendError::Closed(job)) => job,
            },
        };
        let (queue, jobs) = mpsc::channel(self.limits.queue);
        queue.try_send(job).map_err(|_| QueueFull)?;
        self.queues.insert(address, queue);
        let worker = ControlWorker {
            address,
            limits: self.limits,
            inputs: self.inputs.clone(),
            sender: None,
        };
        tokio::spawn(worker.run(jobs));
        Ok(())
    }
}

/// A back end's control queue takes nothing more.
#[derive(Clone, Copy, Debug)]
struct QueueFull;

struct ControlWorker {
    address: SocketAddr,
    limits: ControlLimits,
    inputs: InputSender,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl ControlWorker {
    async fn run(mut self, mut jobs: mpsc::Receiver<ControlJob>) {
        loop {
            match tokio::time::timeout(self.limits.idle, jobs.recv()).await {
                Ok(Some(job)) => self.carry_out(job).await,
                Ok(None) => return,
                Err(_) => break,
            }
        }
        // Whoever enqueues from here on starts a new worker; what is already here is still done.
        jobs.close();
        while let Some(job) = jobs.recv().await {
            self.carry_out(job).await;
        }
    }

    async fn carry_out(&mut self, job: ControlJob) {
        match job {
            ControlJob::Cancel { request, attempt } => {
                let path = format!("/requests/{request}/attempts/{attempt}");
                // The attempt's own reply tells what came of it.
                let _ = self.timed(Method::DELETE, &path).await;
            }
            ControlJob::Probe { back_end } => {
                let event = match self.probe().await {
                    Ok(report) => Event::ProbeReplied { back_end, report },
                    Err(ControlFailure) => Event::ProbeFailed { back_end },
                };
                let _ = self.inputs.event(event).await;
            }
        }
    }

    /// Readiness and snapshots from `/health`, running, queued and slots from `/load`.
    async fn probe(&mut self) -> Result<LoadReport, ControlFailure> {
        let health: LoadReport = self.read_report("/health").await?;
        let load: LoadReport = self.read_report("/load").await?;
        Ok(LoadReport {
            readiness: health.readiness,
            snapshots: health.snapshots,
            ..load
        })
    }

    async fn read_report(&mut self, path: &str) -> Result<LoadReport, ControlFailure> {
        let body = self.timed(Method::GET, path).await?;
        json::decode(&body, BACK_END_BODY_BYTES).map_err(|_| ControlFailure)
    }

    async fn timed(&mut self, method: Method, path: &str) -> Result<Bytes, ControlFailure> {
        let exchange = tokio::time::timeout(self.limits.timeout, self.exchange(method, path)).await;
        let result = exchange.unwrap_or(Err(ControlFailure));
        if result.is_err() {
            self.sender = None;
        }
        result
    }

    async fn exchange(&mut self, method: Method, path: &str) -> Result<Bytes, ControlFailure> {
        let host = host_of(self.address).ok_or(ControlFailure)?;
        let sender = self.connected().await?;
        let response = sender
            .send_request(control_request(method.clone(), path, host)?)
            .await
            .map_err(|_| ControlFailure)?;
        let status = response.status();
        let body = reply::collect(response.into_body(), BACK_END_BODY_BYTES)
            .await
            .map_err(|_| ControlFailure)?;
        if method == Method::GET && status != StatusCode::OK {
            return Err(ControlFailure);
        }
        Ok(body)
    }

    /// The open connection, or a new one where there is none or it was lost while idle.
    async fn connected(&mut self) -> Result<&mut SendRequest<Empty<Bytes>>, ControlFailure> {
        let usable = match &mut self.sender {
            Some(sender) => sender.ready().await.is_ok(),
            None => false,
        };
        if !usable {
            self.sender = Some(open(self.address).await?);
        }
        self.sender.as_mut().ok_or(ControlFailure)
    }
}

/// An exchange on a control connection failed. The core is told of probes only, and no cause
/// would change what it does.
#[derive(Clone, Copy, Debug)]
struct ControlFailure;

async fn open(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, ControlFailure> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| ControlFailure)?;
    stream.set_nodelay(true).map_err(|_| ControlFailure)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ControlFailure)?;
    tokio::spawn(connection);
    Ok(sender)
}

fn control_request(
    method: Method,
    path: &str,
    host: HeaderValue,
) -> Result<Request<Empty<Bytes>>, ControlFailure> {
    let mut request = Request::new(Empty::new());
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| ControlFailure)?;
    request.headers_mut().insert(HOST, host);
    Ok(request)
}
