//! Established link: sends frames from a queue and passes received frames on as events.

use super::counters::{AtomicPeerCounters, LinkError, add, increment};
use super::handshake::{Established, Reader, Writer};
use super::queue::SendQueue;
use super::session::FrameAuthenticator;
use crate::input::InputSender;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use thornbridge_core::Event;
use thornbridge_proto::frame;
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Size of a frame's length prefix.
const LENGTH_PREFIX_BYTES: u64 = 4;

/// How a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// Closed by a close frame (idle link or planned stop), or because the driver has ended.
    Closed,
    /// The connection broke, or the peer violated the protocol.
    Failed(LinkError),
}

/// Limits of a link.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkLimits {
    /// Time without a frame in either direction after which the link is closed.
    pub(super) idle: Duration,
    /// Time for the peer to accept a batch of frames.
    pub(super) write_timeout: Duration,
}

/// Environment of a link.
pub(super) struct LinkContext<'a> {
    pub(super) queue: &'a SendQueue,
    pub(super) inputs: &'a InputSender,
    pub(super) counters: &'a AtomicPeerCounters,
    pub(super) limits: LinkLimits,
    /// Cancelled at the end of a planned stop: queued messages are sent, then the link is closed.
    pub(super) closing: &'a CancellationToken,
}

/// Runs a link to its end.
///
/// Reads and writes run concurrently, so that two nodes with full send buffers cannot deadlock.
pub(super) async fn run(established: Established, context: &LinkContext<'_>) -> LinkEnd {
    let Established {
        peer,
        reader,
        writer,
        incoming,
        outgoing,
    } = established;
    let last_frame = Mutex::new(Instant::now());
    tokio::select! {
        end = receive(peer, reader, incoming, &last_frame, context) => end,
        end = transmit(writer, outgoing, &last_frame, context) => end,
    }
}

async fn receive(
    peer: PeerEndpoint,
    mut reader: Reader,
    mut authenticator: FrameAuthenticator,
    last_frame: &Mutex<Instant>,
    context: &LinkContext<'_>,
) -> LinkEnd {
    loop {
        let sealed = match reader.next().await {
            None => return LinkEnd::Failed(LinkError::ConnectionBroken),
            Some(Err(error)) => return LinkEnd::Failed(LinkError::from_read_error(&error)),
            Some(Ok(sealed)) => sealed,
        };
        increment(&context.counters.frames_received);
        add(
            &context.counters.bytes_received,
            LENGTH_PREFIX_BYTES + sealed.len() as u64,
        );
        update_last_frame(last_frame);
        let Ok(payload) = authenticator.open(sealed) else {
            return LinkEnd::Failed(LinkError::Tampered);
        };
        // An empty payload is the close frame.
        if payload.is_empty() {
            return LinkEnd::Closed;
        }
        let Ok(message) = frame::decode::<PeerMessage>(&payload) else {
            return LinkEnd::Failed(LinkError::Malformed);
        };
        let event = Event::PeerMessage {
            from: peer,
            message,
        };
        if context.inputs.event(event).await.is_err() {
            return LinkEnd::Closed;
        }
    }
}

async fn transmit(
    mut writer: Writer,
    mut authenticator: FrameAuthenticator,
    last_frame: &Mutex<Instant>,
    context: &LinkContext<'_>,
) -> LinkEnd {
    loop {
        let messages = context.queue.take();
        if !messages.is_empty() {
            let sealed = messages.iter().map(|message| authenticator.seal(message));
            let writing = write(&mut writer, sealed, context.counters);
            match tokio::time::timeout(context.limits.write_timeout, writing).await {
                Ok(Ok(())) => update_last_frame(last_frame),
                Ok(Err(_)) | Err(_) => return LinkEnd::Failed(LinkError::ConnectionBroken),
            }
            continue;
        }
        let idle_at = *lock(last_frame) + context.limits.idle;
        if context.closing.is_cancelled() || idle_at <= Instant::now() {
            let close_frame = std::iter::once(authenticator.seal(&[]));
            let writing = write(&mut writer, close_frame, context.counters);
            // The link ends here whether or not the peer receives the close frame.
            let _ = tokio::time::timeout(context.limits.write_timeout, writing).await;
            return LinkEnd::Closed;
        }
        tokio::select! {
            () = context.queue.message_added() => {}
            () = context.closing.cancelled() => {}
            () = tokio::time::sleep_until(idle_at) => {}
        }
    }
}

async fn write(
    writer: &mut Writer,
    frames: impl Iterator<Item = Bytes>,
    counters: &AtomicPeerCounters,
) -> std::io::Result<()> {
    for sealed in frames {
        increment(&counters.frames_sent);
        add(
            &counters.bytes_sent,
            LENGTH_PREFIX_BYTES + sealed.len() as u64,
        );
        writer.feed(sealed).await?;
    }
    SinkExt::<Bytes>::flush(writer).await
}

fn update_last_frame(last_frame: &Mutex<Instant>) {
    *lock(last_frame) = Instant::now();
}

fn lock(last_frame: &Mutex<Instant>) -> std::sync::MutexGuard<'_, Instant> {
    last_frame.lock().unwrap_or_else(PoisonError::into_inner)
}
