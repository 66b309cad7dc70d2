//! Accepting HTTP/1.1 connections for a warp filter, with limits on number and time.
//!
//! warp's own server sets no timeout for a request's head and no limit on connections, so the
//! connections are served here, through hyper, with the filter as the service.

use crate::sockets;
use crate::unanswered::OutcomeUnknown;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use warp::filters::BoxedFilter;
use warp::reply::Response;

/// Pause after an accept that failed, as when the process has no descriptor left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Most connections at once.
    pub(crate) connections: usize,
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
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        let permit = tokio::select! {
            () = stop.cancelled() => break,
            permit = Arc::clone(&permits).acquire_owned() => permit,
        };
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
        let serving = serve_connection(stream, routes.clone(), limits, stop.clone());
        connections.spawn(async move {
            serving.await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
    for stream in waiting_connections(listener, permits.available_permits()) {
        connections.spawn(serve_connection(
            stream,
            routes.clone(),
            limits,
            stop.clone(),
        ));
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

async fn serve_connection(
    stream: TcpStream,
    routes: BoxedFilter<(Response,)>,
    limits: ServerLimits,
    stop: CancellationToken,
) {
    sockets::prepare(&stream, limits.write_timeout);
    let routes = TowerToHyperService::new(warp::service(routes));
    let requested = CancellationToken::new();
    let service = service_fn(|request| {
        requested.cancel();
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
