//! A fingerprint is the same for all tries of a request, and for nothing else.

use proptest::prelude::*;
use std::net::IpAddr;
use thornbridge_proto::fingerprint::{Fingerprint, FingerprintSource};

type Parts = (IpAddr, String, String, String, Vec<u8>);

fn fingerprint((caller, method, host, target, body): &Parts) -> Fingerprint {
    Fingerprint::of(&FingerprintSource {
        caller: *caller,
        method,
        host,
        target,
        body,
    })
}

fn parts() -> impl Strategy<Value = Parts> {
    let caller = (0_u8..3).prop_map(|last| IpAddr::from([10, 0, 0, last]));
    (
        caller,
        "[AB]{0,2}",
        "[AB]{0,2}",
        "[AB]{0,2}",
        prop::collection::vec(0_u8..2, 0..3),
    )
}

proptest! {
    #[test]
    fn requests_share_a_fingerprint_only_where_they_are_the_same(one in parts(), other in parts()) {
        prop_assert_eq!(fingerprint(&one) == fingerprint(&other), one == other);
    }
}

#[test]
fn an_address_is_the_same_caller_in_both_forms() {
    let target = |caller: &str| {
        let caller: IpAddr = caller.parse().expect("an address");
        let parts = (
            caller,
            "GET".into(),
            "host".into(),
            "/a?b".into(),
            Vec::new(),
        );
        fingerprint(&parts)
    };
    assert_eq!(target("10.0.0.1"), target("::ffff:10.0.0.1"));
}
