//! What callers see of a driver that ends.

use super::super::driver::GatewayInput;
use super::super::headers::WireNames;
use super::{Callers, listen};
use hyper::header::HeaderName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use thornbridge_config::routes::CallerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

fn names() -> WireNames {
    WireNames {
        request_id: HeaderName::from_static("x-id"),
        caller_timeout: HeaderName::from_static("x-patience"),
        expected_instance: HeaderName::from_static("x-expected"),
        signature: HeaderName::from_static("x-signature"),
        load: HeaderName::from_static("x-load"),
        not_run: HeaderName::from_static("x-not-run"),
        part_signatures: HeaderName::from_static("x-signatures"),
        parts_missing: HeaderName::from_static("x-missing"),
    }
}

/// Serves callers of a driver whose queue is this.
async fn serving(inputs: mpsc::Sender<GatewayInput>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let (gone, _) = mpsc::unbounded_channel();
    let (_, limits) = watch::channel(CallerLimits::default());
    let callers = Callers {
        names: Arc::new(names()),
        inputs,
        gone,
        limits,
        closing: AtomicBool::new(false),
        ended: tokio_util::sync::CancellationToken::new(),
        connections: AtomicUsize::new(0),
        connections_maximum: 8,
        next_caller: AtomicU64::new(1),
        delays: Arc::default(),
    };
    tokio::spawn(listen(Arc::new(callers), listener));
    address
}

/// Everything that a caller reads until its connection ends.
async fn answer_of(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset ends it as well as a close.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn ask(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = b"POST /once/x HTTP/1.1\r\nhost: h\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    stream
}

/// The process ends while a request that may not be repeated is at a server. Its caller was told 503,
/// which promises that it did not run.
#[tokio::test]
async fn a_request_that_the_driver_took_and_never_answered_is_not_called_not_run() {
    let (inputs, mut driver) = mpsc::channel(1);
    let stream = ask(serving(inputs).await).await;
    let taken = driver.recv().await.expect("a request");
    drop(taken);
    drop(driver);
    assert_eq!(answer_of(stream).await, "");
}

#[tokio::test]
async fn a_request_that_waits_in_the_queue_of_a_driver_that_ends_is_not_called_not_run() {
    let (inputs, driver) = mpsc::channel(1);
    let stream = ask(serving(inputs).await).await;
    while driver.is_empty() {
        tokio::task::yield_now().await;
    }
    drop(driver);
    assert_eq!(answer_of(stream).await, "");
}

#[tokio::test]
async fn a_request_that_comes_after_the_driver_ended_did_not_run() {
    let (inputs, driver) = mpsc::channel(1);
    drop(driver);
    let answer = answer_of(ask(serving(inputs).await).await).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}
