//! HTTP server for callers. Requests and answers are buffered whole.

use super::activity::Activity;
use super::answer_delay::AnswerDelays;
use super::driver::{CallerRequest, GatewayInput};
use super::headers::{HeaderNames, strip_hop_by_hop};
use super::observed_stream::ObservedStream;
use super::reception::{self, Reception};
use super::responses::{RejectedRequest, answer_response, evicted_response};
use crate::caller_table::{Account, CallerTable, Evicted, Phase, Pool};
use crate::sockets;
use crate::unanswered::{OutcomeUnknown, Unanswered};
use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use thornbridge_core::CallerId;
use thornbridge_core::gateway::{GatewayAnswer, RequestHead};
use thornbridge_proto::fingerprint::{Fingerprint, FingerprintSource};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

#[cfg(test)]
mod tests;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for a caller to acknowledge sent bytes before its connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between checks of a connection's timeouts.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Memory of an open connection beside its heads: task, write buffer, and what is held without a reservation.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Length up to which an answer is not counted: part of what each connection may hold.
const UNCOUNTED_ANSWER_BYTES: usize = 4 * 1024;
/// Heads that a connection holds: of the request that waits for its answer, and in its read buffer.
const HEADS_PER_CONNECTION: usize = 2;
/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// State shared by all caller connections.
#[derive(Debug)]
pub(super) struct CallerContext {
    pub(super) names: Arc<HeaderNames>,
    pub(super) inputs: mpsc::Sender<GatewayInput>,
    /// Callers that disconnected before their answer.
    pub(super) disconnected: mpsc::UnboundedSender<CallerId>,
    pub(super) limits: watch::Receiver<CallerLimits>,
    /// Set when a planned stop begins: each connection closes after its next answer.
    pub(super) closing: AtomicBool,
    /// Cancelled during a planned stop: stops accepting and closes idle connections.
    pub(super) shutdown: CancellationToken,
    /// Cancelled when a planned stop takes no request any more.
    pub(super) reception_end: CancellationToken,
    /// Connections, and the memory that callers hold.
    pub(super) table: Arc<CallerTable>,
    /// Requests whose head was read and that the driver does not know yet.
    pub(super) requests_in_reception: AtomicUsize,
    pub(super) max_connections: usize,
    /// Memory for connections: buffers, heads, tasks.
    pub(super) connections_memory_bytes: usize,
    pub(super) next_caller_id: AtomicU64,
    pub(super) answer_delays: Arc<AnswerDelays>,
}

impl CallerContext {
    /// Connections that may be open, by descriptors and by memory.
    fn connection_limit(&self) -> usize {
        let head_bytes = self.head_buffer_bytes();
        let connection_bytes = CONNECTION_BYTES + HEADS_PER_CONNECTION * head_bytes;
        let by_memory = self.connections_memory_bytes / connection_bytes;
        self.max_connections.min(by_memory).max(1)
    }

    /// Size of a connection's read buffer, which holds a whole head.
    fn head_buffer_bytes(&self) -> usize {
        self.limits.borrow().head_bytes.max(MIN_BUFFER_BYTES)
    }
}

/// Accepts connections until shutdown. When the limit is reached, others are closed for new ones.
pub(super) async fn listen(context: Arc<CallerContext>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = context.shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let account = tokio::select! {
                    () = context.shutdown.cancelled() => return,
                    account = context.table.admit(context.connection_limit()) => account,
                };
                let context = Arc::clone(&context);
                tokio::spawn(async move {
                    serve_connection(&context, stream, &Arc::new(account)).await;
                });
            }
            Err(error) => {
                log::warn!(side = "callers", error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(context: &Arc<CallerContext>, stream: TcpStream, account: &Arc<Account>) {
    sockets::prepare(&stream, TCP_USER_TIMEOUT);
    sockets::limit_buffers(&stream, account.socket_buffer_bytes());
    let activity = Activity::new();
    let stream = ObservedStream::new(stream, Arc::clone(&activity));
    let service = service_fn(|request| {
        let context = Arc::clone(context);
        let activity = Arc::clone(&activity);
        let account = Arc::clone(account);
        async move { handle_request(&context, &activity, &account, request).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(context.head_buffer_bytes())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut timeout_check = tokio::time::interval(TIMEOUT_CHECK_INTERVAL);
    loop {
        // Connection errors are ignored: a broken pipe, malformed HTTP, or a driver that stopped
        // during the request. A request that has arrived is read before the connection is closed.
        tokio::select! {
            biased;
            _ = &mut connection => return,
            () = account.evicted() => break,
            () = context.shutdown.cancelled() => break,
            _ = timeout_check.tick() => {
                let limits = *context.limits.borrow();
                if activity.is_overdue(limits.idle_timeout, limits.head_timeout) {
                    break;
                }
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        () = account.evicted() => {}
        _ = &mut connection => return,
    }
    // The request, if there is one, is rejected at once. A caller that does not take that is not waited for.
    let _ = connection.now_or_never();
}

async fn handle_request(
    context: &CallerContext,
    activity: &Activity,
    account: &Account,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, OutcomeUnknown> {
    let first_on_connection = activity.request_started();
    account.set_phase(Phase::AwaitingCaller);
    let submitted = submit(context, account, request, first_on_connection).await;
    account.set_phase(Phase::AwaitingCaller);
    let mut response = match submitted {
        Ok(answer) => counted(account, answer_response(&context.names, answer)).await,
        Err(RequestError::Rejected(rejection)) => rejection.response(),
        Err(RequestError::Evicted) => evicted_response(),
        Err(RequestError::Unanswered(Unanswered::NotAccepted)) => {
            RejectedRequest::Stopping.response()
        }
        Err(RequestError::Unanswered(Unanswered::OutcomeUnknown(unknown))) => return Err(unknown),
    };
    if context.closing.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    activity.request_ended();
    Ok(response.map(Full::new))
}

/// Counts an answer until it is written to its connection, once there is room for it.
async fn counted(account: &Account, response: Response<Bytes>) -> Response<Bytes> {
    let bytes = response.body().len();
    if bytes <= UNCOUNTED_ANSWER_BYTES {
        return response;
    }
    match account.reserve(Pool::Answers, bytes).await {
        Ok(reservation) => response.map(|body| reservation.hold(body)),
        Err(Evicted) => evicted_response(),
    }
}

/// Why the core gave no answer to a request.
#[derive(Clone, Copy, Debug)]
enum RequestError {
    Rejected(RejectedRequest),
    /// The caller had to give way to others after the driver had taken the request.
    Evicted,
    Unanswered(Unanswered),
}

impl From<RejectedRequest> for RequestError {
    fn from(rejection: RejectedRequest) -> Self {
        Self::Rejected(rejection)
    }
}

impl From<Unanswered> for RequestError {
    fn from(unanswered: Unanswered) -> Self {
        Self::Unanswered(unanswered)
    }
}

async fn submit(
    context: &CallerContext,
    account: &Account,
    request: Request<Incoming>,
    first_on_connection: bool,
) -> Result<GatewayAnswer, RequestError> {
    let (mut parts, body) = request.into_parts();
    // No request smuggling: hyper drops a Content-Length that accompanies a Transfer-Encoding and
    // closes the connection after the request (RFC 9112, section 6.3).
    let has_length = parts.headers.contains_key(CONTENT_LENGTH);
    let reception = Reception::of(&context.requests_in_reception);
    let limit = context.limits.borrow().body_bytes;
    let body = reception::read_body(body, limit, account, &context.reception_end).await?;
    account.set_phase(Phase::AwaitingAnswer);
    let head = request_head(&context.names, &parts, &body, first_on_connection);
    strip_hop_by_hop(&mut parts.headers);
    let (reply, answer) = oneshot::channel();
    let caller = CallerId(context.next_caller_id.fetch_add(1, Ordering::Relaxed));
    let request = CallerRequest {
        caller,
        head,
        parts,
        body,
        sent_length: has_length,
        reply,
    };
    let input = GatewayInput::Request(Box::new(request));
    context
        .inputs
        .send(input)
        .await
        .map_err(|_| Unanswered::NotAccepted)?;
    drop(reception);
    let mut guard = DisconnectGuard {
        caller,
        disconnected: &context.disconnected,
        armed: true,
    };
    let decided = tokio::select! {
        biased;
        decided = answer => decided,
        () = account.evicted() => return Err(RequestError::Evicted),
    };
    guard.armed = false;
    let decided = decided.map_err(|_| Unanswered::OutcomeUnknown(OutcomeUnknown))?;
    context.answer_delays.observe(&decided);
    Ok(decided.answer)
}

/// Notifies the driver when a caller disconnects before its answer: hyper then drops the request's
/// future, and this guard with it.
struct DisconnectGuard<'a> {
    caller: CallerId,
    disconnected: &'a mpsc::UnboundedSender<CallerId>,
    armed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let _ = self.disconnected.send(self.caller);
        }
    }
}

fn request_head(
    names: &HeaderNames,
    parts: &Parts,
    body: &[u8],
    first_on_connection: bool,
) -> RequestHead {
    let text = |name| {
        parts
            .headers
            .get(name)
            .and_then(|value: &HeaderValue| value.to_str().ok())
    };
    let host = host_without_port(text(&HOST).unwrap_or_default());
    let target = parts.uri.path_and_query();
    let credentials = parts.headers.get(AUTHORIZATION);
    let fingerprint = Fingerprint::of(&FingerprintSource {
        credentials: credentials.map_or(&[], HeaderValue::as_bytes),
        method: parts.method.as_str(),
        host: &host,
        target: target.map_or("/", PathAndQuery::as_str),
        body,
    });
    RequestHead {
        id: text(&names.request_id).map(str::to_owned),
        fingerprint,
        host,
        path: parts.uri.path().to_owned(),
        caller_timeout: text(&names.caller_timeout).and_then(parse_timeout),
        first_on_connection,
    }
}

/// Timeout in milliseconds; the longest duration if it exceeds that, `None` if it is no time.
fn parse_timeout(value: &str) -> Option<Duration> {
    let millis: f64 = value.trim().parse().ok()?;
    let is_time = millis.is_finite() && millis >= 0.0;
    let timeout = is_time.then(|| Duration::try_from_secs_f64(millis / 1_000.0))?;
    // Of a number that is a time, only one that is too large fails.
    Some(timeout.unwrap_or(Duration::MAX))
}

/// Host without port, in lower case.
fn host_without_port(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
