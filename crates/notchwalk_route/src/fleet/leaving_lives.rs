//! Lives of servers that leave, beyond their records.

use std::collections::{HashSet, VecDeque};

/// How many are kept. On an ordinary day 420 of the machines at the size aimed at are
/// restarted or replaced; what is told lately matters, and each takes a few bytes.
const KEPT: usize = 1_024;

/// The short ids of lives that are known to leave. A record may lapse and come back
/// with the same life, and a peer may tell of a server whose record was not read yet.
#[derive(Debug, Default)]
pub(super) struct LeavingLives {
    known: HashSet<u32>,
    /// The newest last.
    order: VecDeque<u32>,
}

impl LeavingLives {
    pub fn contains(&self, tag: u32) -> bool {
        self.known.contains(&tag)
    }

    pub fn add(&mut self, tag: u32) {
        if !self.known.insert(tag) {
            return;
        }
        self.order.push_back(tag);
        if self.order.len() > KEPT {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.known.remove(&oldest));
        }
    }

    /// Forgets a life whose short id its next one will have as well.
    pub fn forget(&mut self, tag: u32) {
        if self.known.remove(&tag) {
            self.order.retain(|&other| other != tag);
        }
    }
}
