//! The interface towards HTTP callers: whole requests in, whole answers out.

use super::activity::{Activity, ObservedStream};
use super::answer_delay::AnswerDelays;
use super::driver::{CallerRequest, GatewayInput};
use super::headers::{WireNames, number, strip};
use crate::sockets;
use crate::unanswered::{OutcomeUnknown, Unanswered};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER,
};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use thornbridge_core::CallerId;
use thornbridge_core::gateway::{GatewayAnswer, RefusalReason, RefusalStatus, RequestHead};
use thornbridge_proto::fingerprint::{Fingerprint, FingerprintSource};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

#[cfg(test)]
mod tests;

/// Pause after an accept that failed, as when the process has no descriptor left.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Time that a caller may leave bytes of an answer untaken.
const UNACKNOWLEDGED: Duration = Duration::from_secs(8);
/// Time between looks at resting connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Least buffer that hyper takes for a head.
const LEAST_HEAD_BYTES: usize = 8 * 1024;
/// Time for a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// What all connections of callers share.
#[derive(Debug)]
pub(super) struct Callers {
    pub(super) names: Arc<WireNames>,
    pub(super) inputs: mpsc::Sender<GatewayInput>,
    pub(super) gone: mpsc::UnboundedSender<CallerId>,
    pub(super) limits: watch::Receiver<CallerLimits>,
    /// Set when a planned stop has begun: answers close their connections.
    pub(super) closing: AtomicBool,
    /// Cancelled when resting connections are to be closed too.
    pub(super) ended: tokio_util::sync::CancellationToken,
    pub(super) connections: AtomicUsize,
    pub(super) connections_maximum: usize,
    pub(super) next_caller: AtomicU64,
    pub(super) delays: Arc<AnswerDelays>,
}

/// Takes connections until the process ends.
pub(super) async fn listen(callers: Arc<Callers>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = callers.ended.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                if callers.connections.load(Ordering::Relaxed) >= callers.connections_maximum {
                    continue;
                }
                callers.connections.fetch_add(1, Ordering::Relaxed);
                let callers = Arc::clone(&callers);
                tokio::spawn(async move {
                    serve(&callers, stream).await;
                    callers.connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(error) => {
                log::warn!(side = "callers", error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve(callers: &Arc<Callers>, stream: TcpStream) {
    sockets::prepare(&stream, UNACKNOWLEDGED);
    let activity = Activity::new();
    let stream = ObservedStream::new(stream, Arc::clone(&activity));
    let head_bytes = callers.limits.borrow().head_bytes.max(LEAST_HEAD_BYTES);
    let service = service_fn(|request| {
        let callers = Arc::clone(callers);
        let activity = Arc::clone(&activity);
        async move { answer(&callers, &activity, request).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        // A connection's error is its caller's doing, a broken pipe or bytes that are not HTTP; or the
        // driver ended under its request.
        tokio::select! {
            _ = &mut connection => return,
            () = callers.ended.cancelled() => break,
            _ = sweep.tick() => {
                let limits = *callers.limits.borrow();
                if activity.is_overdue(limits.idle_timeout, limits.head_timeout) {
                    break;
                }
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(
    callers: &Callers,
    activity: &Activity,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, OutcomeUnknown> {
    let first_on_connection = activity.request_began();
    let mut response = match take(callers, request, first_on_connection).await {
        Ok(answer) => respond(&callers.names, answer),
        Err(NotDecided::Malformed(problem)) => problem.response(),
        Err(NotDecided::Unanswered(Unanswered::NeverTaken)) => Malformed::Stopping.response(),
        Err(NotDecided::Unanswered(Unanswered::OutcomeUnknown(unknown))) => return Err(unknown),
    };
    if callers.closing.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    activity.request_ended();
    Ok(response)
}

/// A request that is refused before the core sees it.
#[derive(Clone, Copy, Debug)]
enum Malformed {
    TooLarge,
    Slow,
    Broken,
    Stopping,
}

/// Why there is no answer of the core.
#[derive(Clone, Copy, Debug)]
enum NotDecided {
    Malformed(Malformed),
    Unanswered(Unanswered),
}

impl From<Malformed> for NotDecided {
    fn from(malformed: Malformed) -> Self {
        Self::Malformed(malformed)
    }
}

impl From<Unanswered> for NotDecided {
    fn from(unanswered: Unanswered) -> Self {
        Self::Unanswered(unanswered)
    }
}

impl Malformed {
    fn response(self) -> Response<Full<Bytes>> {
        let (status, reason) = match self {
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
            Self::Slow => (StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
            Self::Broken => (StatusCode::BAD_REQUEST, "body_broken"),
            Self::Stopping => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        };
        let mut response = problem(status, reason);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        response
    }
}

async fn take(
    callers: &Callers,
    request: Request<Incoming>,
    first_on_connection: bool,
) -> Result<GatewayAnswer, NotDecided> {
    let (mut parts, body) = request.into_parts();
    // hyper takes a length that stands beside a transfer encoding off, and closes the connection
    // after the request (RFC 9112, section 6.3), so that nothing can be smuggled by it.
    let has_length = parts.headers.contains_key(CONTENT_LENGTH);
    let limit = callers.limits.borrow().body_bytes;
    let body = read_body(body, limit).await?;
    let head = head_of(&callers.names, &parts, &body, first_on_connection);
    strip(&mut parts.headers);
    let (reply, answer) = oneshot::channel();
    let caller = CallerId(callers.next_caller.fetch_add(1, Ordering::Relaxed));
    let request = CallerRequest {
        caller,
        head,
        parts,
        body,
        sent_length: has_length,
        reply,
    };
    let input = GatewayInput::Request(Box::new(request));
    callers
        .inputs
        .send(input)
        .await
        .map_err(|_| Unanswered::NeverTaken)?;
    let mut gone = GoneGuard {
        caller,
        gone: &callers.gone,
        armed: true,
    };
    let decided = answer.await;
    gone.armed = false;
    let decided = decided.map_err(|_| Unanswered::OutcomeUnknown(OutcomeUnknown))?;
    callers.delays.observe(&decided);
    Ok(decided.answer)
}

/// Tells the driver when the caller goes away before its answer: hyper drops the service then.
struct GoneGuard<'a> {
    caller: CallerId,
    gone: &'a mpsc::UnboundedSender<CallerId>,
    armed: bool,
}

impl Drop for GoneGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let _ = self.gone.send(self.caller);
        }
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Malformed> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(Malformed::TooLarge);
    }
    let collecting = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, collecting).await {
        Err(_) => Err(Malformed::Slow),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Malformed::TooLarge),
        Ok(Err(_)) => Err(Malformed::Broken),
    }
}

fn head_of(
    names: &WireNames,
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
    let caller_timeout =
        text(&names.caller_timeout).and_then(|value| value.trim().parse::<f64>().ok());
    let caller_timeout = caller_timeout
        .filter(|caller_timeout| caller_timeout.is_finite() && *caller_timeout >= 0.0);
    let host = host_of(text(&HOST).unwrap_or_default());
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
        caller_timeout: caller_timeout.map(|millis| Duration::from_secs_f64(millis / 1_000.0)),
        first_on_connection,
    }
}

/// The host without its port, in lower case.
fn host_of(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

fn respond(names: &WireNames, answer: GatewayAnswer) -> Response<Full<Bytes>> {
    match answer {
        GatewayAnswer::Forwarded {
            status,
            headers,
            body,
        } => {
            let mut response = Response::new(Full::new(body));
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = headers;
            response
        }
        GatewayAnswer::Gathered {
            signatures,
            missing,
            records,
        } => gathered(names, &signatures, missing, records),
        GatewayAnswer::Refused {
            reason,
            status,
            retry_after,
        } => refused(reason, status, retry_after),
    }
}

fn gathered(
    names: &WireNames,
    signatures: &[Bytes],
    missing: usize,
    records: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(records));
    let headers = response.headers_mut();
    let octets = HeaderValue::from_static("application/octet-stream");
    headers.insert(CONTENT_TYPE, octets);
    if let Ok(joined) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
        headers.insert(names.part_signatures.clone(), joined);
    }
    headers.insert(names.parts_missing.clone(), number(missing as u64));
    response
}

fn refused(
    reason: RefusalReason,
    refusal_status: RefusalStatus,
    retry_after: Option<Duration>,
) -> Response<Full<Bytes>> {
    let status = match refusal_status {
        RefusalStatus::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        RefusalStatus::MayHaveRun => StatusCode::BAD_GATEWAY,
        RefusalStatus::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        RefusalStatus::BadRequest => StatusCode::BAD_REQUEST,
        RefusalStatus::NotFound => StatusCode::NOT_FOUND,
    };
    let mut response = problem(status, reason.as_str());
    if let Some(after) = retry_after
        && let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64()))
    {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn problem(status: StatusCode, reason: &str) -> Response<Full<Bytes>> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
