//! Prefix cache of a stand-in engine and the events it publishes.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use notchwalk_core::Tokens;
use notchwalk_decide::BLOCK_TOKENS;
use notchwalk_wire::{CacheEvent, CacheEvents};

/// Number of retained events. Readers that are further behind see a gap.
const MAX_EVENTS: usize = 4_096;
/// One of this many reads skips an event, to simulate a gap.
const READS_PER_GAP: u64 = 101;

/// An LRU cache of KV blocks.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_used: HashMap<u64, u64>,
    lru_queue: VecDeque<(u64, u64)>,
    use_counter: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_seq: u64,
    reads: u64,
}

impl PrefixCache {
    /// Returns the memory used by cached blocks, in tokens.
    pub fn tokens(&self) -> Tokens {
        self.last_used.len() as Tokens * BLOCK_TOKENS
    }

    /// Returns the number of cached tokens of a prompt and marks its blocks as recently used.
    pub fn lookup(&mut self, prefix: &[u64]) -> Tokens {
        let hits = prefix
            .iter()
            .take_while(|block| self.last_used.contains_key(block));
        let hits = hits.count();
        for block in &prefix[..hits] {
            self.touch(*block);
        }
        hits as Tokens * BLOCK_TOKENS
    }

    fn touch(&mut self, block: u64) {
        self.use_counter += 1;
        self.last_used.insert(block, self.use_counter);
        self.lru_queue.push_back((self.use_counter, block));
    }

    /// Stores a prompt's blocks until `free` tokens are used up.
    pub fn store(&mut self, prefix: &[u64], mut free: Tokens) {
        for block in prefix {
            let is_cached = self.last_used.contains_key(block);
            if !is_cached && free < BLOCK_TOKENS {
                return;
            }
            if !is_cached {
                free -= BLOCK_TOKENS;
                self.publish(CacheEvent::Stored(*block));
            }
            self.touch(*block);
        }
    }

    /// Evicts blocks until at most `tokens` are cached.
    pub fn shrink_to(&mut self, tokens: Tokens) {
        while self.tokens() > tokens {
            let Some((at, block)) = self.lru_queue.pop_front() else {
                return;
            };
            if self.last_used.get(&block) == Some(&at) {
                self.last_used.remove(&block);
                self.publish(CacheEvent::Evicted(block));
            }
        }
    }

    fn publish(&mut self, event: CacheEvent) {
        self.last_seq += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after` that are at least `lag` old,
    /// occasionally with a gap. For `after` = 0 it returns a snapshot.
    pub fn events_after(&mut self, after: u64, lag: Duration) -> CacheEvents {
        self.reads += 1;
        if after == 0 {
            let blocks = self
                .last_used
                .keys()
                .map(|block| CacheEvent::Stored(*block));
            return CacheEvents {
                first: self.last_seq,
                last: self.last_seq,
                events: blocks.collect(),
                snapshot: true,
            };
        }
        let oldest = self.last_seq + 1 - self.events.len() as u64;
        let mut first = (after + 1).max(oldest);
        if self.reads % READS_PER_GAP == 0 {
            first += 1;
        }
        let skip = first.saturating_sub(oldest) as usize;
        let old_enough = |at: &Instant| at.elapsed() >= lag;
        let visible = self
            .events
            .iter()
            .skip(skip)
            .take_while(|(at, _)| old_enough(at));
        let events: Vec<_> = visible.map(|(_, event)| *event).collect();
        CacheEvents {
            first,
            last: match events.len() {
                0 => after,
                n => first + n as u64 - 1,
            },
            events,
            snapshot: false,
        }
    }
}
