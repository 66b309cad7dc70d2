//! What callers see of a driver that ends.

use super::routes;
use crate::input::{Input, InputSender, channel};
use crate::server::{ServerLimits, serve};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const LONG: Duration = Duration::from_secs(30);

/// Serves callers of a driver whose queue is this.
async fn serving(inputs: InputSender) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    let limits = ServerLimits {
        connections: 8,
        memory_bytes: 1_000_000,
        head_read_timeout: LONG,
        first_request_grace: LONG,
        write_timeout: LONG,
        flush_timeout: LONG,
    };
    let stop = CancellationToken::new();
    tokio::spawn(serve(
        "callers",
        listener,
        routes(inputs, LONG),
        limits,
        stop,
    ));
    address
}

/// An action, and everything that its caller reads until its connection ends.
async fn act(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let body = r#"{"payload": "p"}"#;
    let request = format!(
        "POST /v1/services/once/actions HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         content-type: application/json\r\nidempotency-key: k-1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    // A reset ends it as well as a close.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// The process ends while an action is at a back end. Its caller was told that it was not executed.
#[tokio::test]
async fn an_action_that_the_driver_took_and_never_answered_is_not_called_not_run() {
    let (inputs, mut driver) = channel(1);
    let answer = tokio::spawn(act(serving(inputs).await));
    let taken = driver.inputs.recv().await.expect("an action");
    assert!(matches!(taken, Input::Caller { .. }));
    drop(taken);
    drop(driver);
    assert_eq!(answer.await.expect("a caller"), "");
}

#[tokio::test]
async fn an_action_that_comes_after_the_driver_ended_did_not_run() {
    let (inputs, driver) = channel(1);
    drop(driver);
    let answer = act(serving(inputs).await).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains(r#""executed":"no""#), "{answer}");
}
