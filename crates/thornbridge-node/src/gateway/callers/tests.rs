//! Answers to callers when the driver stops.

use super::super::driver::GatewayInput;
use super::super::headers::HeaderNames;
use super::{CallerContext, listen};
use crate::caller_table::{CallerTable, TableLimits};
use assert_matches::assert_matches;
use hyper::header::HeaderName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize};
use std::time::Duration;
use thornbridge_config::routes::CallerLimits;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

fn names() -> HeaderNames {
    HeaderNames {
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

/// Starts a caller listener whose requests go to `inputs`.
async fn start_listener(inputs: mpsc::Sender<GatewayInput>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let (disconnected, _) = mpsc::unbounded_channel();
    let (_, limits) = watch::channel(CallerLimits::default());
    let context = CallerContext {
        names: Arc::new(names()),
        inputs,
        disconnected,
        limits,
        closing: AtomicBool::new(false),
        shutdown: CancellationToken::new(),
        reception_end: CancellationToken::new(),
        table: CallerTable::new(
            "callers",
            TableLimits {
                request_bytes: 1024 * 1024,
                answer_bytes: 1024 * 1024,
                socket_buffer_bytes: 1024 * 1024,
            },
        ),
        requests_in_reception: AtomicUsize::new(0),
        max_connections: 8,
        connections_memory_bytes: 1024 * 1024,
        next_caller_id: AtomicU64::new(1),
        answer_delays: Arc::default(),
    };
    tokio::spawn(listen(Arc::new(context), listener));
    address
}

/// Reads until the connection ends.
async fn read_answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    // A reset ends the connection just as a close does.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn send_request(address: SocketAddr) -> TcpStream {
    send_request_with(address, "").await
}

/// Sends a request with more header lines.
async fn send_request_with(address: SocketAddr, lines: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request =
        format!("POST /once/x HTTP/1.1\r\nhost: h\r\nx-id: 1\r\ncontent-length: 0\r\n{lines}\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// Guards against a number in a header that ends the task of its connection.
#[tokio::test]
async fn any_timeout_of_a_caller_reaches_the_driver() {
    let (inputs, mut driver) = mpsc::channel(1);
    let address = start_listener(inputs).await;
    let digits = "9".repeat(400);
    let values = [
        ("3000", Some(Duration::from_secs(3))),
        ("18446744073709551615000", Some(Duration::MAX)),
        ("1e30", Some(Duration::MAX)),
        (digits.as_str(), None),
        ("inf", None),
        ("NaN", None),
        ("-1", None),
        ("soon", None),
    ];
    for (value, expected) in values {
        let stream = send_request_with(address, &format!("x-patience: {value}\r\n")).await;
        tokio::select! {
            input = driver.recv() => assert_matches!(input, Some(GatewayInput::Request(request)) => {
                assert_eq!(request.head.caller_timeout, expected, "{value}");
            }),
            answer = read_answer(stream) => panic!("{value}: closed after {answer:?}"),
        }
    }
}

/// Guards against a 503, which promises that the request did not run, for a request that may have
/// reached a server when the process ended.
#[tokio::test]
async fn connection_is_closed_when_driver_drops_accepted_request() {
    let (inputs, mut driver) = mpsc::channel(1);
    let stream = send_request(start_listener(inputs).await).await;
    let accepted = driver.recv().await.expect("a request");
    drop(accepted);
    drop(driver);
    assert_eq!(read_answer(stream).await, "");
}

#[tokio::test]
async fn connection_is_closed_when_driver_stops_with_queued_request() {
    let (inputs, driver) = mpsc::channel(1);
    let stream = send_request(start_listener(inputs).await).await;
    while driver.is_empty() {
        tokio::task::yield_now().await;
    }
    drop(driver);
    assert_eq!(read_answer(stream).await, "");
}

#[tokio::test]
async fn request_after_driver_stopped_gets_503() {
    let (inputs, driver) = mpsc::channel(1);
    drop(driver);
    let answer = read_answer(send_request(start_listener(inputs).await).await).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}
