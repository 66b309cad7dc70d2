//! The documents that match a query: ground truth for answers.
//!
//! A query with number `n` matches a fixed set of documents in each snapshot; a layout places
//! each on a shard by hash, and one in eight on a second shard too, so that merging must remove
//! duplicates. A hit's title names its snapshot, so that a mixed answer shows.

use crate::scenario::{SnapshotNumber, hash_parts, unit};
use thornbridge_proto::caller::Hit;
use thornbridge_proto::{DocumentId, ShardId, SnapshotId};

/// Documents that match a query in one snapshot.
const MATCHES_PER_QUERY: u64 = 12;
const DOCUMENT_PURPOSE: u64 = 21;
const PLACE_PURPOSE: u64 = 22;
const SCORE_PURPOSE: u64 = 23;
/// One document in so many lies on two shards.
const SHARED_DOCUMENTS: u64 = 8;

/// The part of an index that one sub-request searches.
#[derive(Clone, Copy, Debug)]
pub struct Searched<'a> {
    /// Service, by position.
    pub service: usize,
    /// Number of the query.
    pub query: u64,
    /// Snapshot.
    pub snapshot: SnapshotNumber,
    /// Its name.
    pub snapshot_id: &'a SnapshotId,
    /// Shards of its layout.
    pub shards: u32,
}

/// Text that callers send for a query number. Each try is told apart, so that answers are too.
pub fn query_text(query: u64, attempt: u32) -> String {
    format!("query {query} {attempt}")
}

/// Query number and try of a text.
pub fn parse_query_text(text: &str) -> Option<(u64, u32)> {
    let mut words = text.split(' ').skip(1);
    let query = words.next()?.parse().ok()?;
    let attempt = words.next()?.parse().ok()?;
    Some((query, attempt))
}

/// Hits of one shard, best first.
pub fn hits_of_shard(searched: Searched<'_>, shard: ShardId, limit: usize) -> Vec<Hit> {
    hits_where(searched, limit, |document| {
        shards_of(document, searched.shards).contains(&Some(shard.0))
    })
}

/// Hits of all shards for which `answered` holds, merged.
pub fn hits_of_answer(
    searched: Searched<'_>,
    limit: usize,
    answered: impl Fn(ShardId) -> bool,
) -> Vec<Hit> {
    hits_where(searched, limit, |document| {
        let shards = shards_of(document, searched.shards);
        shards
            .iter()
            .flatten()
            .any(|shard| answered(ShardId(*shard)))
    })
}

fn hits_where(searched: Searched<'_>, limit: usize, keep: impl Fn(u64) -> bool) -> Vec<Hit> {
    let service = searched.service as u64;
    let first = u64::from(searched.snapshot.0);
    let mut found: Vec<(f64, u64)> = (first..first + MATCHES_PER_QUERY)
        .map(|index| hash_parts(DOCUMENT_PURPOSE, &[service, searched.query, index]))
        .filter(|document| keep(*document))
        .map(|document| (score(searched.query, document), document))
        .collect();
    found.sort_by(|left, right| right.0.total_cmp(&left.0));
    found.truncate(limit);
    found
        .into_iter()
        .map(|(score, document)| Hit {
            document: DocumentId::new(format!("{document:016x}")),
            score,
            title: searched.snapshot_id.as_str().to_owned(),
        })
        .collect()
}

fn score(query: u64, document: u64) -> f64 {
    unit(hash_parts(SCORE_PURPOSE, &[query, document]))
}

fn shards_of(document: u64, shards: u32) -> [Option<u32>; 2] {
    let place = hash_parts(PLACE_PURPOSE, &[document]);
    let first = (place % u64::from(shards)) as u32;
    let shared = (place >> 32).is_multiple_of(SHARED_DOCUMENTS);
    [Some(first), shared.then_some((first + 1) % shards)]
}
