//! HTTP endpoint that serves one text page: readiness or metrics.
//!
//! Whoever reaches its address may connect. A few connections are open at once; one that has been open for
//! long is closed for a new one.

use super::metrics::{GatewayMetrics, GaugeValues};
use crate::caller_table::{CallerTable, TableLimits};
use crate::sockets;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to receive a request head; also the idle timeout of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Most connections at once.
const MAX_CONNECTIONS: usize = 32;
/// Size of a connection's read buffer, which holds a whole head.
const HEAD_BYTES: usize = 8 * 1_024;
/// Limits on what clients hold: pages are small and have no request bodies.
const LIMITS: TableLimits = TableLimits {
    request_bytes: 0,
    answer_bytes: 0,
    socket_buffer_bytes: 4 * 1_024 * 1_024,
};

/// Renders the current status and text of a page.
pub(super) type Page = Arc<dyn Fn() -> (StatusCode, String) + Send + Sync>;

/// Serves the page at every path until the process ends.
pub(super) async fn serve(listener: TcpListener, page: Page) {
    let table = CallerTable::new("pages", LIMITS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let account = table.admit(MAX_CONNECTIONS).await;
        sockets::limit_buffers(&stream, account.socket_buffer_bytes());
        let page = Arc::clone(&page);
        let service = service_fn(move |_| {
            let (status, text) = page();
            async move {
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(HEAD_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // Connection errors, such as a client that disconnects, are ignored.
            tokio::select! {
                _ = connection => {}
                () = account.evicted() => {}
            }
        });
    }
}

/// Page that tells whether callers are wanted.
pub(super) fn readiness(ready: watch::Receiver<bool>) -> Page {
    Arc::new(move || match *ready.borrow() {
        true => (StatusCode::OK, "ready\n".to_owned()),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    })
}

/// Page with all metrics.
pub(super) fn metrics(metrics: Arc<GatewayMetrics>, gauges: Arc<Mutex<GaugeValues>>) -> Page {
    Arc::new(move || {
        let gauges = *gauges.lock().unwrap_or_else(PoisonError::into_inner);
        (StatusCode::OK, metrics.encode(&gauges))
    })
}
