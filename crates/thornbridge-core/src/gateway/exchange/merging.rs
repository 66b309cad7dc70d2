//! Merging of the records of a gather's parts.

use bytes::{Bytes, BytesMut};
use std::collections::BinaryHeap;
use thornbridge_config::routes::RECORD_BYTES;

type Record = [u8; RECORD_BYTES];

/// The greatest `limit` records of all bodies in descending byte order. Duplicates are kept; a
/// trailing partial record is ignored.
pub(super) fn greatest_records<'a>(bodies: impl Iterator<Item = &'a Bytes>, limit: usize) -> Bytes {
    // Min-heap of the kept records.
    let mut kept: BinaryHeap<std::cmp::Reverse<Record>> = BinaryHeap::with_capacity(limit + 1);
    for body in bodies {
        for chunk in body.chunks_exact(RECORD_BYTES) {
            let Ok(record) = Record::try_from(chunk) else {
                continue;
            };
            let full = kept.len() >= limit;
            if full && kept.peek().is_none_or(|least| record <= least.0) {
                continue;
            }
            if full {
                kept.pop();
            }
            kept.push(std::cmp::Reverse(record));
        }
    }
    let mut records: Vec<Record> = kept.into_iter().map(|record| record.0).collect();
    records.sort_unstable_by(|left, right| right.cmp(left));
    let mut body = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    for record in &records {
        body.extend_from_slice(record);
    }
    body.freeze()
}
