//! Checks merged records against a sort.

use super::merging::greatest_records;
use bytes::Bytes;
use proptest::prelude::*;
use thornbridge_config::routes::RECORD_BYTES;

proptest! {
    #[test]
    fn greatest_records_of_all_bodies_come_first(
        bodies in prop::collection::vec(prop::collection::vec(0..3_u8, 0..100), 0..6),
        limit in 0..8_usize,
    ) {
        let mut expected: Vec<&[u8]> = bodies
            .iter()
            .flat_map(|body| body.chunks_exact(RECORD_BYTES))
            .collect();
        expected.sort();
        expected.reverse();
        expected.truncate(limit);
        let bodies: Vec<Bytes> = bodies.iter().cloned().map(Bytes::from).collect();
        let merged = greatest_records(bodies.iter(), limit);
        prop_assert_eq!(&merged[..], &expected.concat()[..]);
    }
}
