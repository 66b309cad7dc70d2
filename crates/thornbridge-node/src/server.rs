//! Accepting HTTP/1.1 connections for a warp filter, with limits on number and time.
//!
//! warp's own server sets no timeout for a request's head and no limit on connections, so the
//! connections are served here, through hyper, with the filter as the service. A request carries the
//! account of its connection as an extension: an [`Arc`] of an [`Account`].

use crate::caller_table::{Account, CallerTable, TableLimits};
use crate::sockets;
use crate::unanswered::OutcomeUnknown;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use warp::filters::BoxedFilter;
use warp::reply::Response;

/// Pause after an accept that failed, as when the process has no descriptor left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Size of a connection's read buffer, which holds a whole head.
const HEAD_BYTES: usize = 16 * 1_024;

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Most connections at once.
    pub(crate) connections: usize,
    /// Bytes that clients may make the process hold, see [`table_limits`].
    pub(crate) memory_bytes: usize,
    /// Time for a request's head.
    pub(crate) head_read_timeout: Duration,
    /// Time that a connection without a request yet has to bring it, once the stop has begun.
    pub(crate) first_request_grace: Duration,
    /// Time for a client to take bytes of a response.
    pub(crate) write_timeout: Duration,
    /// Time for the last responses after the stop.
    pub(crate) flush_timeout: Duration,
}

/// Serves until `stop`, then finishes the responses in progress.
pub(crate) async fn serve(
    side: &'static str,
    listener: TcpListener,
    routes: BoxedFilter<(Response,)>,
    limits: ServerLimits,
    stop: CancellationToken,
) {
    let table = CallerTable::new(side, table_limits(limits.memory_bytes));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, _) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(side, error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let account = tokio::select! {
            () = stop.cancelled() => break,
            account = table.admit(limits.connections) => account,
        };
        let serving = serve_connection(stream, account, routes.clone(), limits, stop.clone());
        connections.spawn(serving);
        while connections.try_join_next().is_some() {}
    }
    let places = limits.connections.saturating_sub(table.open());
    for stream in waiting_connections(listener, places) {
        let account = table.admit(limits.connections).await;
        let serving = serve_connection(stream, account, routes.clone(), limits, stop.clone());
        connections.spawn(serving);
    }
    let flushed = async { while connections.join_next().await.is_some() {} };
    // Clients that do not take their bytes in this time lose them: they are not waited for longer.
    let _ = tokio::time::timeout(limits.flush_timeout, flushed).await;
}

/// Closes the listener. Connections that the system has accepted for it would be reset with the
/// requests they hold, so that they are taken first.
fn waiting_connections(listener: TcpListener, limit: usize) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    // It does not block: the first error is that none waits any more.
    let accepted = listener.incoming().map_while(Result::ok);
    let streams = accepted.take(limit).filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}

/// Half for requests; a quarter each for answers and for what the system holds.
fn table_limits(memory_bytes: usize) -> TableLimits {
    TableLimits {
        request_bytes: memory_bytes / 2,
        answer_bytes: memory_bytes / 4,
        socket_buffer_bytes: memory_bytes / 4,
    }
}

/// Serves a connection until it ends or its account is evicted.
async fn serve_connection(
    stream: TcpStream,
    account: Account,
    routes: BoxedFilter<(Response,)>,
    limits: ServerLimits,
    stop: CancellationToken,
) {
    sockets::limit_buffers(&stream, account.socket_buffer_bytes());
    let account = Arc::new(account);
    let serving = serve_requests(stream, &account, routes, limits, stop);
    tokio::select! {
        () = serving => {}
        () = account.evicted() => {}
    }
}

async fn serve_requests(
    stream: TcpStream,
    account: &Arc<Account>,
    routes: BoxedFilter<(Response,)>,
    limits: ServerLimits,
    stop: CancellationToken,
) {
    sockets::prepare(&stream, limits.write_timeout);
    let routes = TowerToHyperService::new(warp::service(routes));
    let requested = CancellationToken::new();
    let service = service_fn(|mut request: hyper::Request<_>| {
        requested.cancel();
        request.extensions_mut().insert(Arc::clone(account));
        let responding = routes.call(request);
        async move {
            let response = responding.await.unwrap_or_else(|never| match never {});
            match response.extensions().get::<OutcomeUnknown>() {
                Some(unknown) => Err(*unknown),
                None => Ok(response),
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_read_timeout)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection's error is its client's doing, a broken pipe or bytes that are not HTTP; or the driver
    // ended under its request.
    tokio::select! {
        _ = &mut connection => return,
        () = stop.cancelled() => {}
    }
    // The first request may be on its way: it is refused in words rather than cut off.
    tokio::select! {
        _ = &mut connection => return,
        () = requested.cancelled() => {}
        () = tokio::time::sleep(limits.first_request_grace) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
