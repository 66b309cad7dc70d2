//! Reception of response bodies, within the limits of one body and of all together.

use super::body_memory::{BodyMemory, BodyReservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use std::sync::Arc;
use thornbridge_core::gateway::ExchangeFailure;

/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a body is not counted in the memory of all bodies.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Body that is being received.
struct PartialBody {
    /// First piece, not copied while it is the only one.
    first: Bytes,
    joined: BytesMut,
    reservation: Option<BodyReservation>,
}

/// Reads a whole body, without a copy where it came in one piece.
pub(super) async fn read(
    mut body: Incoming,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, ExchangeFailure> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(ExchangeFailure::Overlong);
    }
    let mut partial = PartialBody::new();
    while let Some(frame) = partial.next_frame(&mut body).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        partial.push(data, memory);
        if partial.len() > MAX_BODY_BYTES {
            return Err(ExchangeFailure::Overlong);
        }
        // Known from the announced length. To wait for hyper's end of the stream would let it read
        // again while this body still occupies its buffer, and cost it a new one each time.
        if body.is_end_stream() {
            break;
        }
    }
    Ok(partial.finish())
}

impl PartialBody {
    fn new() -> Self {
        Self {
            first: Bytes::new(),
            joined: BytesMut::new(),
            reservation: None,
        }
    }

    /// Memory that the body holds: buffers grow ahead of what they hold.
    fn held_bytes(&self) -> usize {
        self.first.len() + self.joined.capacity()
    }

    fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Waits for the next frame; fails if the body is given up meanwhile.
    async fn next_frame(
        &self,
        body: &mut Incoming,
    ) -> Result<Option<Frame<Bytes>>, ExchangeFailure> {
        let frame = match &self.reservation {
            None => body.frame().await,
            Some(reservation) => tokio::select! {
                biased;
                () = reservation.given_up() => return Err(ExchangeFailure::Overlong),
                frame = body.frame() => frame,
            },
        };
        frame.transpose().map_err(|_| ExchangeFailure::MayHaveRun)
    }

    fn push(&mut self, data: Bytes, memory: &Arc<BodyMemory>) {
        let held_before = self.held_bytes();
        if self.len() == 0 {
            self.first = data;
        } else {
            self.joined
                .extend_from_slice(&std::mem::take(&mut self.first));
            self.joined.extend_from_slice(&data);
        }
        match &self.reservation {
            Some(reservation) => reservation.grow(self.held_bytes() - held_before),
            None if self.len() > UNCOUNTED_BYTES => {
                let reservation = memory.reserve();
                reservation.grow(self.held_bytes());
                self.reservation = Some(reservation);
            }
            None => {}
        }
    }

    fn finish(self) -> Bytes {
        match self.joined.is_empty() {
            true => self.first,
            false => self.joined.freeze(),
        }
    }
}
