//! An approximate index of the prompt beginnings that an engine caches, fed by
//! its late and gappy events. It is a hint for placement, never truth.

use std::collections::{HashSet, VecDeque};

use notchwalk_core::{leading_u64, Tokens};
use notchwalk_wire::{CacheEvent, CacheEvents};

/// Tokens of one block, at four bytes a token.
pub const BLOCK_TOKENS: Tokens = 256;
/// Bytes of one block.
const BLOCK_BYTES: usize = 1_024;
/// Blocks of a prompt that are hashed at the most.
const MAX_BLOCKS: usize = 256;
/// Blocks remembered for each engine.
const MAX_INDEXED: usize = 65_536;

/// Returns the hashes of a prompt's first blocks, each covering all before it.
/// `model` keeps the caches of different models apart.
pub fn block_hashes(model: &str, prompt: &[u8]) -> Vec<u64> {
    let mut before = crate::catalog::name_hash(model);
    let mut hashes = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&before.to_le_bytes());
        hasher.update(block);
        before = leading_u64(hasher.finalize().as_bytes());
        hashes.push(before);
    }
    hashes
}

/// What is believed to be cached on one engine.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
    next: u64,
    stale: bool,
}

impl PrefixIndex {
    /// Returns the event number to ask after; 0 asks for a snapshot.
    pub fn ask_after(&self) -> u64 {
        match self.stale {
            true => 0,
            false => self.next,
        }
    }

    /// Takes in events. A gap in the numbers makes the index stale until the
    /// next snapshot.
    pub fn apply(&mut self, events: &CacheEvents) {
        if events.snapshot {
            self.blocks.clear();
            self.order.clear();
            self.stale = false;
        } else if events.first != self.next + 1 && !events.events.is_empty() {
            self.stale = true;
            return;
        }
        self.next = events.last;
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
        while self.order.len() > MAX_INDEXED {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    /// Returns how many tokens of a prompt's beginning are believed to be
    /// cached; none while the index is stale.
    pub fn cached_tokens(&self, prefix: &[u64]) -> Tokens {
        if self.stale || self.blocks.is_empty() {
            return 0;
        }
        let hits = prefix
            .iter()
            .take_while(|block| self.blocks.contains(block));
        hits.count() as Tokens * BLOCK_TOKENS
    }

    /// Returns how many blocks are known.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }
}
