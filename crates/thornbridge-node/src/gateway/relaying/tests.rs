use super::{MAX_RELAYED_BYTES, decode, encode, is_relayable};
use bytes::Bytes;
use hyper::Request;
use thornbridge_proto::byte_string::SharedBytes;

#[test]
fn decoded_request_equals_encoded_request() {
    let request = Request::builder()
        .method("REPORT")
        .uri("/a%2Fb/c?d=e&f=%00")
        .header("x-twice", "one")
        .header("x-twice", "two")
        .header("x-bytes", &b"\xff\xfe"[..])
        .body(())
        .unwrap();
    let (parts, ()) = request.into_parts();
    let body = Bytes::from_static(b"\0\r\n\r\nbody");
    let relayed = decode(&encode(&parts, &body, true).unwrap()).unwrap();
    assert_eq!(relayed.parts.method, parts.method);
    assert_eq!(relayed.parts.uri, parts.uri);
    assert_eq!(relayed.parts.headers, parts.headers);
    assert_eq!(relayed.body, body);
    assert!(relayed.sent_length);
}

#[test]
fn malformed_bytes_are_rejected() {
    for bytes in [&b""[..], b"\x93", b"GET / HTTP/1.1"] {
        assert!(decode(&SharedBytes::from(bytes.to_vec())).is_err());
    }
}

/// Guards against copies of large requests for each owner of a slice.
#[test]
fn large_requests_are_not_relayed() {
    let request = |filler: usize| {
        let request = Request::get("/x").header("x-filler", "y".repeat(filler));
        let (parts, ()) = request.body(()).unwrap().into_parts();
        parts
    };
    let body = |len: usize| Bytes::from(vec![b'x'; len]);
    assert!(is_relayable(&request(100), &body(100)));
    assert!(!is_relayable(&request(MAX_RELAYED_BYTES), &body(0)));
    assert!(!is_relayable(&request(0), &body(MAX_RELAYED_BYTES)));
}
