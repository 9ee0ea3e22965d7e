//! The prefix cache of a stand-in engine and the events it publishes.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use notchwalk_core::Tokens;
use notchwalk_decide::BLOCK_TOKENS;
use notchwalk_wire::{CacheEvent, CacheEvents};

/// Events kept for those who ask late; older ones are a gap.
const MAX_EVENTS: usize = 4_096;
/// Of so many answers, one leaves out some events.
const GAP_EVERY: u64 = 101;

/// Cached blocks, the least recently used first to go.
#[derive(Debug, Default)]
pub struct PrefixCache {
    used_at: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last: u64,
    answers: u64,
}

impl PrefixCache {
    /// Returns the memory that cached blocks take, in tokens.
    pub fn tokens(&self) -> Tokens {
        self.used_at.len() as Tokens * BLOCK_TOKENS
    }

    /// Returns how many tokens of a prompt are cached, and marks them as used.
    pub fn hit(&mut self, prefix: &[u64]) -> Tokens {
        let hits = prefix
            .iter()
            .take_while(|block| self.used_at.contains_key(block));
        let hits = hits.count();
        for block in &prefix[..hits] {
            self.touch(*block);
        }
        hits as Tokens * BLOCK_TOKENS
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        self.used_at.insert(block, self.clock);
        self.order.push_back((self.clock, block));
    }

    /// Stores a prompt's blocks as far as `room` tokens allow.
    pub fn store(&mut self, prefix: &[u64], mut room: Tokens) {
        for block in prefix {
            let known = self.used_at.contains_key(block);
            if !known && room < BLOCK_TOKENS {
                return;
            }
            if !known {
                room -= BLOCK_TOKENS;
                self.publish(CacheEvent::Stored(*block));
            }
            self.touch(*block);
        }
    }

    /// Evicts blocks until at most `tokens` are cached.
    pub fn shrink_to(&mut self, tokens: Tokens) {
        while self.tokens() > tokens {
            let Some((at, block)) = self.order.pop_front() else {
                return;
            };
            if self.used_at.get(&block) == Some(&at) {
                self.used_at.remove(&block);
                self.publish(CacheEvent::Evicted(block));
            }
        }
    }

    fn publish(&mut self, event: CacheEvent) {
        self.last += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after a number that are old enough, now and then
    /// with a gap. After 0 it returns a snapshot.
    pub fn events_after(&mut self, after: u64, lag: Duration) -> CacheEvents {
        self.answers += 1;
        if after == 0 {
            let blocks = self.used_at.keys().map(|block| CacheEvent::Stored(*block));
            return CacheEvents {
                first: self.last,
                last: self.last,
                events: blocks.collect(),
                snapshot: true,
            };
        }
        let oldest = self.last + 1 - self.events.len() as u64;
        let mut first = (after + 1).max(oldest);
        if self.answers % GAP_EVERY == 0 {
            first += 1;
        }
        let skip = first.saturating_sub(oldest) as usize;
        let old_enough = |at: &Instant| at.elapsed() >= lag;
        let published = self
            .events
            .iter()
            .skip(skip)
            .take_while(|(at, _)| old_enough(at));
        let events: Vec<_> = published.map(|(_, event)| *event).collect();
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
