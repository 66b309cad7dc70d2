//! Headers: what a platform calls its own, and which concern one connection only.

use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Names of the headers that the gateway reads and sets.
#[derive(Clone, Debug)]
pub struct WireNames {
    /// Identity of a caller's request.
    pub request_id: HeaderName,
    /// Milliseconds that the caller waits.
    pub caller_timeout: HeaderName,
    /// Instance that is expected to answer.
    pub expected_instance: HeaderName,
    /// Signature of a server.
    pub signature: HeaderName,
    /// Load of a server: running, waiting and slots, separated by commas.
    pub load: HeaderName,
    /// Set where a server did not run a request.
    pub not_run: HeaderName,
    /// Signatures of the parts of a gathered answer.
    pub part_signatures: HeaderName,
    /// Number of shards that are left out of it.
    pub parts_missing: HeaderName,
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 9] = [
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

/// Takes off the headers that concern one connection only, and the length, which is set anew.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// Whether the headers say that the connection ends after this message.
pub(super) fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    let mut tokens = values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Seconds of `Keep-Alive: timeout=N`.
pub(super) fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        let is_timeout = name.trim().eq_ignore_ascii_case("timeout");
        is_timeout.then(|| seconds.trim().parse().ok()).flatten()
    })
}

/// A number as a header's value.
pub(super) fn number(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}
