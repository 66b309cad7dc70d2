//! Requests in flight: content for attempts and channel for the answer.

use super::answer_delay::DecidedAnswer;
use super::relaying::{self, RelayError, RelayedParts};
use bytes::Bytes;
use hyper::http::request::Parts;
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::frame::FrameError;
use tokio::sync::oneshot;

/// Request that has no answer yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    pub(super) sent_length: bool,
    /// Channel for the answer; `None` if the request was relayed by another node.
    pub(super) reply: Option<oneshot::Sender<DecidedAnswer>>,
    /// Encoding for other nodes, cached.
    encoded: Option<SharedBytes>,
}

impl PendingRequest {
    pub(super) fn new(
        parts: Parts,
        body: Bytes,
        sent_length: bool,
        reply: Option<oneshot::Sender<DecidedAnswer>>,
    ) -> Self {
        Self {
            parts,
            body,
            sent_length,
            reply,
            encoded: None,
        }
    }

    /// Decodes a request that another node relayed.
    pub(super) fn from_relayed(relayed: &SharedBytes) -> Result<Self, RelayError> {
        let RelayedParts {
            parts,
            body,
            sent_length,
        } = relaying::decode(relayed)?;
        Ok(Self::new(parts, body, sent_length, None))
    }

    /// Whether the request may be sent to other nodes.
    pub(super) fn is_relayable(&self) -> bool {
        relaying::is_relayable(&self.parts, &self.body)
    }

    /// Encodes the request for other nodes, on the first call only.
    pub(super) fn encode_for_relay(&mut self) -> Result<SharedBytes, FrameError> {
        if let Some(encoded) = &self.encoded {
            return Ok(encoded.clone());
        }
        let encoded = relaying::encode(&self.parts, &self.body, self.sent_length)?;
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }
}
