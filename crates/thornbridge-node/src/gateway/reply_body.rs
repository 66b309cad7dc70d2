//! Reception of response bodies, within the limits of one body and of all together.

use super::body_memory::{BodyMemory, BodyReservation};
use crate::joined_body::JoinedBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use std::sync::Arc;
use thornbridge_core::gateway::ExchangeFailure;

/// Maximum size of a body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a body is not counted in the memory of all bodies.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Body that is being received, and its share of the memory.
#[derive(Default)]
struct PartialBody {
    joined: JoinedBody,
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
    let mut partial = PartialBody::default();
    while let Some(frame) = partial.next_frame(&mut body).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        partial.push(data, memory);
        if partial.joined.len() > MAX_BODY_BYTES {
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

    fn finish(self) -> Bytes {
        let body = self.joined.finish();
        match self.reservation {
            Some(reservation) => reservation.hold(body),
            None => body,
        }
    }

    fn push(&mut self, data: Bytes, memory: &Arc<BodyMemory>) {
        let held_before = self.joined.held_bytes();
        self.joined.push(data);
        let held = self.joined.held_bytes();
        match &self.reservation {
            Some(reservation) => reservation.grow(held - held_before),
            None if self.joined.len() > UNCOUNTED_BYTES => {
                let reservation = memory.reserve();
                reservation.grow(held);
                self.reservation = Some(reservation);
            }
            None => {}
        }
    }
}
