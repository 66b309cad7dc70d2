//! Limits on the size of what is accepted from outside. Anything larger is refused before it is decoded.

use std::time::Duration;

/// Largest body of a caller's request.
pub const CALLER_BODY_BYTES: usize = 64 * 1024;
/// Largest body of a back end's reply.
pub const BACK_END_BODY_BYTES: usize = 1024 * 1024;
/// Largest frame between peers.
pub const PEER_FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Largest object in the platform's store.
pub const PLATFORM_OBJECT_BYTES: usize = 4 * 1024 * 1024;
/// Longest `Idempotency-Key`.
pub const IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Most hits that a caller may ask for.
pub const HITS_PER_ANSWER: u32 = 1_000;
/// Longest query text.
pub const QUERY_TEXT_BYTES: usize = 4 * 1024;
/// Longest time that a caller may ask for.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(30);
