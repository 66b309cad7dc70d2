//! Hash map with a fixed hasher that is fast for short keys.
//!
//! The hasher is not seeded, so that runs are reproducible. Keys come from the active configuration
//! or from this node, so that collisions cannot be provoked from outside. These maps are not
//! iterated.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

/// Odd multiplier with well-spread bits, from the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const WORD_BYTES: usize = 8;

/// Map for lookups by id.
pub(super) type LookupMap<K, V> = HashMap<K, V, BuildHasherDefault<FixedHasher>>;

/// Multiplicative hasher without a seed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FixedHasher {
    state: u64,
}

impl FixedHasher {
    fn mix(&mut self, word: u64) {
        self.state = (self.state.rotate_left(5) ^ word).wrapping_mul(MULTIPLIER);
    }
}

impl Hasher for FixedHasher {
    fn write(&mut self, bytes: &[u8]) {
        let mut chunks = bytes.chunks_exact(WORD_BYTES);
        for chunk in &mut chunks {
            let mut word = [0; WORD_BYTES];
            word.copy_from_slice(chunk);
            self.mix(u64::from_le_bytes(word));
        }
        let rest = chunks.remainder();
        if !rest.is_empty() {
            let mut word = [0; WORD_BYTES];
            word[..rest.len()].copy_from_slice(rest);
            self.mix(u64::from_le_bytes(word));
        }
    }

    fn write_u8(&mut self, value: u8) {
        self.mix(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        self.mix(value);
    }

    fn finish(&self) -> u64 {
        self.state ^ (self.state >> 32)
    }
}
