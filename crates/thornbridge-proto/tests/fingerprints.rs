//! A fingerprint is the same for all tries of a request, and for nothing else.

use proptest::prelude::*;
use thornbridge_proto::fingerprint::{Fingerprint, FingerprintSource};

type Parts = (Vec<u8>, String, String, String, Vec<u8>);

fn fingerprint((credentials, method, host, target, body): &Parts) -> Fingerprint {
    Fingerprint::of(&FingerprintSource {
        credentials,
        method,
        host,
        target,
        body,
    })
}

fn parts() -> impl Strategy<Value = Parts> {
    let bytes = || prop::collection::vec(b'A'..=b'B', 0..3);
    (bytes(), "[AB]{0,2}", "[AB]{0,2}", "[AB]{0,2}", bytes())
}

proptest! {
    #[test]
    fn requests_share_a_fingerprint_only_where_they_are_the_same(one in parts(), other in parts()) {
        prop_assert_eq!(fingerprint(&one) == fingerprint(&other), one == other);
    }
}
