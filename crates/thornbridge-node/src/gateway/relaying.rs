//! Encoding of callers' requests that are relayed to other nodes of the cluster.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use snafu::{ResultExt, Snafu};
use thornbridge_proto::byte_string::SharedBytes;
use thornbridge_proto::frame::{self, FrameError};
use thornbridge_proto::peer::slice::RelayedRequest;

/// Largest request that is relayed. Each owner of a slice gets a copy, which waits for its link here and for
/// its servers there; a larger request is served by the node that received it.
const MAX_RELAYED_BYTES: usize = 4 * 1024;

/// Error of decoding a relayed request.
#[derive(Debug, Snafu)]
pub(super) enum RelayError {
    /// The bytes are not a relayed request.
    #[snafu(display("the relayed request cannot be decoded: {source}"))]
    Decode {
        /// Cause.
        source: FrameError,
    },
    /// A part of the request's head is not valid HTTP.
    #[snafu(display("the relayed request's {part} is not valid HTTP"))]
    Head {
        /// Invalid part of the head.
        part: &'static str,
    },
}

/// Decoded request that another node relayed.
pub(super) struct RelayedParts {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    pub(super) sent_length: bool,
}

/// Whether a request is small enough to be relayed.
pub(super) fn is_relayable(parts: &Parts, body: &Bytes) -> bool {
    let target = parts.uri.path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    let headers = parts.headers.iter();
    let header_bytes = headers.map(|(name, value)| name.as_str().len() + value.len());
    target_bytes + header_bytes.sum::<usize>() + body.len() <= MAX_RELAYED_BYTES
}

/// Encodes a request for relaying to other nodes.
pub(super) fn encode(
    parts: &Parts,
    body: &Bytes,
    sent_length: bool,
) -> Result<SharedBytes, FrameError> {
    let headers = parts.headers.iter().map(|(name, value)| {
        let value = SharedBytes::from(value.as_bytes().to_vec());
        (name.as_str().to_owned(), value)
    });
    let request = RelayedRequest {
        method: parts.method.as_str().to_owned(),
        target: parts.uri.to_string(),
        headers: headers.collect(),
        body: SharedBytes::from(body.to_vec()),
        sent_length,
    };
    frame::encode(&request).map(SharedBytes::from)
}

/// Decodes a relayed request, see [`encode`].
pub(super) fn decode(relayed: &SharedBytes) -> Result<RelayedParts, RelayError> {
    let request: RelayedRequest = frame::decode(relayed.as_slice()).context(DecodeSnafu)?;
    let mut head = Request::new(());
    *head.method_mut() = Method::from_bytes(request.method.as_bytes())
        .map_err(|_| RelayError::Head { part: "method" })?;
    *head.uri_mut() = request
        .target
        .parse::<Uri>()
        .map_err(|_| RelayError::Head { part: "target" })?;
    for (name, value) in &request.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| RelayError::Head {
            part: "header name",
        })?;
        let value = HeaderValue::from_bytes(value.as_slice()).map_err(|_| RelayError::Head {
            part: "header value",
        })?;
        head.headers_mut().append(name, value);
    }
    let (parts, ()) = head.into_parts();
    Ok(RelayedParts {
        parts,
        body: Bytes::copy_from_slice(request.body.as_slice()),
        sent_length: request.sent_length,
    })
}
