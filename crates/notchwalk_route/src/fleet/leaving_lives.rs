//! Lives of servers that leave, beyond their records.

use std::collections::{HashMap, VecDeque};

/// How many are kept. On an ordinary day 420 of the machines at the size aimed at are
/// restarted or replaced; what is told lately matters, and each takes a few bytes.
const KEPT: usize = 1_024;

/// Why a life that leaves is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kept {
    /// A peer told of it, and its record was not read yet.
    Told,
    /// Its record is gone. It may come back: it lapsed while the store was away, or
    /// stands in an older copy.
    Ended,
}

/// The short ids of lives that are known to leave, without a record.
#[derive(Debug, Default)]
pub(super) struct LeavingLives {
    lives: HashMap<u32, Kept>,
    /// The newest last.
    order: VecDeque<u32>,
}

impl LeavingLives {
    pub fn contains(&self, tag: u32) -> bool {
        self.lives.contains_key(&tag)
    }

    pub fn add_told(&mut self, tag: u32) {
        self.add(tag, Kept::Told);
    }

    pub fn add_ended(&mut self, tag: u32) {
        self.add(tag, Kept::Ended);
    }

    fn add(&mut self, tag: u32, kept: Kept) {
        if self.lives.insert(tag, kept).is_some() {
            return;
        }
        self.order.push_back(tag);
        if self.order.len() > KEPT {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.lives.remove(&oldest));
        }
    }

    /// Forgets a life that ended and whose short id the next one will have as well.
    pub fn forget_ended(&mut self, tag: u32) {
        if self.lives.get(&tag) != Some(&Kept::Ended) {
            return;
        }
        self.lives.remove(&tag);
        self.order.retain(|&other| other != tag);
    }
}
