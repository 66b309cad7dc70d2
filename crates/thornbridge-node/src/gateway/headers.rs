//! HTTP headers: names that the platform defines, and hop-by-hop headers.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Names of the headers that the gateway reads and sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request id set by the caller.
    pub request_id: HeaderName,
    /// Caller timeout, in milliseconds.
    pub caller_timeout: HeaderName,
    /// Instance to which an attempt is addressed.
    pub expected_instance: HeaderName,
    /// Signature of a server over its answer.
    pub signature: HeaderName,
    /// Load of a server: running requests, waiting requests, slots and, from some servers, the time that
    /// work takes in percent of the usual, separated by commas.
    pub load: HeaderName,
    /// Present if the server did not run the request.
    pub not_run: HeaderName,
    /// Signatures of the parts of a gather's answer.
    pub part_signatures: HeaderName,
    /// Number of shards that are missing from a gather's answer.
    pub parts_missing: HeaderName,
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers and `Content-Length`, which is set again for each message.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// Whether the headers contain `Connection: close`.
pub(super) fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut tokens = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Value of `Keep-Alive: timeout=N`, in seconds.
pub(super) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| seconds.trim().parse().ok()).flatten()
    })
}

pub(super) fn number_value(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}
