//! An approximate index of the prompt prefixes in an engine's cache, fed by
//! cache events that may arrive late or not at all. It is only a hint for
//! placement.

use std::collections::{HashSet, VecDeque};

use notchwalk_core::{leading_u64, Tokens};
use notchwalk_wire::{CacheEvent, CacheEvents};

/// Tokens in a block, at four bytes per token.
pub const BLOCK_TOKENS: Tokens = 256;
/// Bytes of a prompt in a block.
const BLOCK_BYTES: usize = 1_024;
/// Maximum number of blocks hashed for a prompt.
const MAX_HASHED_BLOCKS: usize = 256;
/// Maximum number of blocks indexed for an engine.
const MAX_INDEXED_BLOCKS: usize = 65_536;

/// Returns the hashes of a prompt's first blocks. Each hash covers the blocks
/// before it. `model` keeps the caches of different models apart.
pub fn block_hashes(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut previous = crate::catalog::name_hash(model);
    let mut hashes = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_HASHED_BLOCKS) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&previous.to_le_bytes());
        hasher.update(block);
        previous = leading_u64(hasher.finalize().as_bytes());
        hashes.push(previous);
    }
    hashes
}

/// The estimated cache contents of one engine.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
    last_event: u64,
    /// Whether events are missing; set until the next snapshot.
    stale: bool,
}

impl PrefixIndex {
    /// Returns the event number to query after; 0 queries a snapshot.
    pub fn events_after(&self) -> u64 {
        match self.stale {
            true => 0,
            false => self.last_event,
        }
    }

    /// Applies events. A gap in the numbers makes the index stale until the
    /// next snapshot.
    pub fn apply(&mut self, events: &CacheEvents) {
        if events.snapshot {
            self.blocks.clear();
            self.order.clear();
            self.stale = false;
        } else if events.first != self.last_event + 1 && !events.events.is_empty() {
            self.stale = true;
            return;
        }
        self.last_event = events.last;
        for event in &events.events {
            match event {
                CacheEvent::Stored(block) => self.store(*block),
                CacheEvent::Evicted(block) => {
                    self.blocks.remove(block);
                }
            }
        }
    }

    fn store(&mut self, block: u64) {
        if !self.blocks.insert(block) {
            return;
        }
        self.order.push_back(block);
        while self.order.len() > MAX_INDEXED_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    /// Returns the estimated number of cached tokens at the start of a prompt;
    /// 0 while the index is stale.
    pub fn cached_tokens(&self, prefix: &[u64]) -> Tokens {
        if self.stale || self.blocks.is_empty() {
            return 0;
        }
        let hits = prefix
            .iter()
            .take_while(|block| self.blocks.contains(block));
        hits.count() as Tokens * BLOCK_TOKENS
    }

    /// Returns the number of indexed blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }
}
