//! A request that is under way: what attempts are made of, and whom its answer goes to.

use super::answer_delay::DecidedAnswer;
use super::relaying::{self, RelayError, Relayed};
use bytes::Bytes;
use hyper::http::request::Parts;
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::frame::FrameError;
use tokio::sync::oneshot;

/// A request under way.
#[derive(Debug)]
pub(super) struct WaitingCaller {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    pub(super) sent_length: bool,
    /// Whom the answer goes to; `None` where another node relayed the request.
    pub(super) reply: Option<oneshot::Sender<DecidedAnswer>>,
    /// The request as it is relayed to other nodes, once it was.
    relayed: Option<SharedBytes>,
}

impl WaitingCaller {
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
            relayed: None,
        }
    }

    /// A request that another node relayed.
    pub(super) fn adopted(relayed: &SharedBytes) -> Result<Self, RelayError> {
        let Relayed {
            parts,
            body,
            sent_length,
        } = relaying::decode(relayed)?;
        Ok(Self::new(parts, body, sent_length, None))
    }

    /// The request for other nodes; encoded once.
    pub(super) fn relayed(&mut self) -> Result<SharedBytes, FrameError> {
        if let Some(encoded) = &self.relayed {
            return Ok(encoded.clone());
        }
        let encoded = relaying::encode(&self.parts, &self.body, self.sent_length)?;
        self.relayed = Some(encoded.clone());
        Ok(encoded)
    }
}
