//! One HTTP/1.1 client connection and the exchange on it, driven by one task.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::pin::Pin;
use std::task::Poll;
use tokio::net::TcpStream;

/// hyper's connection.
pub(crate) type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// hyper's half of a connection: moves bytes while it is polled; ready when it is lost.
pub(crate) enum Transport {
    /// Open.
    Open(Pin<Box<Connection>>),
    /// Lost.
    Lost,
}

impl Future for Transport {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut std::task::Context<'_>) -> Poll<()> {
        let Self::Open(connection) = &mut *self else {
            return Poll::Ready(());
        };
        match connection.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(_) => {
                *self = Self::Lost;
                Poll::Ready(())
            }
        }
    }
}

/// Runs an exchange and the connection under it in one task, which saves the wakes between two.
pub(crate) async fn drive<F: Future>(transport: &mut Transport, exchange: F) -> F::Output {
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
