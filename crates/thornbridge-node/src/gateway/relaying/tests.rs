use super::{decode, encode};
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
