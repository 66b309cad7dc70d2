//! A caller of nodes: queries and actions over HTTP with JSON.

use crate::error::{CommandError, NodeSnafu, UnexpectedAnswerSnafu};
use crate::http_client::{self, HttpRequest};
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_proto::caller::Problem;
use thornbridge_proto::limits::CALLER_TIMEOUT;
use thornbridge_rehearsal::http_client::ClientResponse;

/// Time for the answer to arrive beyond the longest that a node may take.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Longest part of an unexpected body that is shown.
const SHOWN_BODY_BYTES: usize = 200;

/// Posts a body and takes the answer, or the refusal as an error.
pub async fn ask<B: Serialize, A: DeserializeOwned>(
    node: SocketAddr,
    step: &'static str,
    path: &str,
    headers: &[(&str, &str)],
    body: &B,
) -> Result<A, CommandError> {
    let mut all_headers = vec![("content-type", "application/json")];
    all_headers.extend_from_slice(headers);
    let body = serde_json::to_vec(body)
        .map_err(std::io::Error::from)
        .context(crate::error::OutputSnafu {
            what: "the request",
        })?;
    let request = HttpRequest {
        method: "POST",
        path,
        headers: &all_headers,
        body,
    };
    let limit = CALLER_TIMEOUT + ANSWER_GRACE;
    let response = http_client::exchange(node, request, limit)
        .await
        .context(NodeSnafu { step, peer: node })?;
    if response.status == StatusCode::OK {
        return decode(node, step, &response);
    }
    Err(refusal(node, step, &response))
}

/// Decodes a JSON body.
pub fn decode<T: DeserializeOwned>(
    peer: SocketAddr,
    step: &'static str,
    response: &ClientResponse,
) -> Result<T, CommandError> {
    serde_json::from_slice(&response.body).map_err(|error| CommandError::UnexpectedAnswer {
        step,
        peer,
        status: response.status.as_u16(),
        detail: error.to_string(),
    })
}

/// The error of a response that is not a success.
pub fn refusal(peer: SocketAddr, step: &'static str, response: &ClientResponse) -> CommandError {
    let status = response.status.as_u16();
    match serde_json::from_slice::<Problem>(&response.body) {
        Ok(problem) => CommandError::RefusedByNode {
            step,
            peer,
            problem: Box::new(problem),
        },
        Err(_) => UnexpectedAnswerSnafu {
            step,
            peer,
            status,
            detail: shown(&response.body),
        }
        .build(),
    }
}

fn shown(body: &[u8]) -> String {
    let start = &body[..body.len().min(SHOWN_BODY_BYTES)];
    String::from_utf8_lossy(start).into_owned()
}

/// A duration of the command line as the interface wants it; at least 1 ms unless zero.
pub fn milliseconds(duration: humantime::Duration) -> u64 {
    let milliseconds = duration.as_nanos().div_ceil(1_000_000);
    u64::try_from(milliseconds).unwrap_or(u64::MAX)
}

/// A name as one segment of a path: bytes beyond the unreserved ones (RFC 3986) are escaped.
pub fn path_segment(name: &str) -> String {
    let mut segment = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            segment.push(char::from(byte));
        } else {
            segment += &format!("%{byte:02X}");
        }
    }
    segment
}
