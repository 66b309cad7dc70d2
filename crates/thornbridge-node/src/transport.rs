//! One HTTP/1.1 client connection and the exchange on it, driven by one task.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncWrite};

/// hyper's connection.
pub(crate) type Connection<S> = http1::Connection<TokioIo<S>, Full<Bytes>>;

/// Byte stream under a connection.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// hyper's half of a connection: moves bytes while it is polled; ready when it is lost.
pub(crate) enum Transport<S: Stream> {
    /// Open.
    Open(Pin<Box<Connection<S>>>),
    /// Lost.
    Lost(TransportLoss),
}

/// How a transport was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransportLoss {
    /// The peer closed or broke the connection.
    Closed,
    /// The peer sent bytes that are no answer, or that nothing had asked for.
    SurplusBytes,
}

impl TransportLoss {
    fn of(ended: &hyper::Result<()>) -> Self {
        match ended {
            // Errors of the socket have a source.
            Err(error) if !error.is_incomplete_message() && error.source().is_none() => {
                Self::SurplusBytes
            }
            Err(_) | Ok(()) => Self::Closed,
        }
    }
}

impl<S: Stream> Future for Transport<S> {
    type Output = TransportLoss;

    fn poll(mut self: Pin<&mut Self>, context: &mut std::task::Context<'_>) -> Poll<TransportLoss> {
        let loss = match &mut *self {
            Self::Lost(loss) => *loss,
            Self::Open(connection) => match connection.as_mut().poll(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(ended) => TransportLoss::of(&ended),
            },
        };
        *self = Self::Lost(loss);
        Poll::Ready(loss)
    }
}

/// Runs an exchange and the connection under it in one task, which saves the wakes between two.
pub(crate) async fn drive<S: Stream, F: Future>(
    transport: &mut Transport<S>,
    exchange: F,
) -> F::Output {
    tokio::pin!(exchange);
    std::future::poll_fn(|context| {
        // First what it has to send, then the bytes either way, then what has come by them: a
        // whole step in one poll. The exchange ends by itself when the transport is lost.
        if let Poll::Ready(output) = exchange.as_mut().poll(context) {
            return Poll::Ready(output);
        }
        let _ = Pin::new(&mut *transport).poll(context);
        exchange.as_mut().poll(context)
    })
    .await
}
