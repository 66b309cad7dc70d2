//! Merge of the hits of all shards: top hits, without duplicate documents, in a stable order.

use std::cmp::Ordering;
use std::collections::HashSet;
use thornbridge_proto::DocumentId;
use thornbridge_proto::caller::Hit;
use xxhash_rust::xxh3::Xxh3DefaultBuilder;

/// Number of buffered hits that triggers a merge, as a multiple of the limit.
const BUFFER_FACTOR: usize = 4;
/// Minimum number of buffered hits that triggers a merge.
const MIN_BUFFERED: usize = 64;
/// Maximum number of hits for which duplicates are found by linear search.
const LINEAR_SEARCH_LIMIT: usize = 16;

/// Top hits by descending score, then ascending document id; each document once, with its best
/// score. The result is independent of the order of addition.
///
/// Memory is proportional to the limit: a hit is dropped once `limit` better documents are known.
#[derive(Debug)]
pub(super) struct BestHits {
    limit: usize,
    hits: Vec<Hit>,
    /// Length of the merged prefix of `hits`.
    merged_count: usize,
}

impl BestHits {
    /// Creates an empty collection of at most `limit` hits.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            hits: Vec::new(),
            merged_count: 0,
        }
    }

    /// Adds one shard's hits, in any order. Scores must be finite.
    pub(super) fn add(&mut self, hits: Vec<Hit>) {
        for hit in hits {
            if self.may_be_among_best(&hit) {
                self.hits.push(hit);
            }
        }
        let capacity = (self.limit * BUFFER_FACTOR).max(MIN_BUFFERED);
        if self.hits.len() > capacity {
            self.merge();
        }
    }

    /// Returns the top hits.
    pub(super) fn finish(mut self) -> Vec<Hit> {
        self.merge();
        self.hits
    }

    fn may_be_among_best(&self, hit: &Hit) -> bool {
        if self.merged_count < self.limit {
            return true;
        }
        match self.merged_count.checked_sub(1) {
            Some(last) => best_first(hit, &self.hits[last]) == Ordering::Less,
            None => false,
        }
    }

    fn merge(&mut self) {
        self.hits.sort_unstable_by(best_first);
        deduplicate(&mut self.hits);
        self.hits.truncate(self.limit);
        self.merged_count = self.hits.len();
    }
}

fn best_first(left: &Hit, right: &Hit) -> Ordering {
    right
        .score
        .partial_cmp(&left.score)
        .unwrap_or(Ordering::Equal)
        .then_with(|| left.document.cmp(&right.document))
        .then_with(|| left.title.cmp(&right.title))
}

fn deduplicate(hits: &mut Vec<Hit>) {
    if hits.len() <= LINEAR_SEARCH_LIMIT {
        let mut kept: Vec<DocumentId> = Vec::with_capacity(hits.len());
        hits.retain(|hit| {
            let first = !kept.contains(&hit.document);
            if first {
                kept.push(hit.document.clone());
            }
            first
        });
        return;
    }
    let mut seen: HashSet<DocumentId, Xxh3DefaultBuilder> =
        HashSet::with_capacity_and_hasher(hits.len(), Xxh3DefaultBuilder::new());
    hits.retain(|hit| seen.insert(hit.document.clone()));
}
