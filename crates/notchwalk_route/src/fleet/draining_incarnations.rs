//! Draining incarnations without a registration.

use std::collections::{HashMap, VecDeque};

/// Maximum number of incarnations; the oldest are evicted first. Recent ones
/// matter, and each takes a few bytes.
const CAPACITY: usize = 1_024;

/// Why an incarnation is retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// A peer reported it as draining before its registration was read.
    Reported,
    /// Its registration was removed but may be restored: registrations expire while the store
    /// is unavailable, and an older snapshot still contains them.
    Ended,
}

/// The short ids of draining incarnations without a registration.
#[derive(Debug, Default)]
pub(super) struct DrainingIncarnations {
    reasons: HashMap<u32, Reason>,
    /// The short ids, oldest first.
    order: VecDeque<u32>,
}

impl DrainingIncarnations {
    pub fn contains(&self, short_id: u32) -> bool {
        self.reasons.contains_key(&short_id)
    }

    pub fn add_reported(&mut self, short_id: u32) {
        self.add(short_id, Reason::Reported);
    }

    pub fn add_ended(&mut self, short_id: u32) {
        self.add(short_id, Reason::Ended);
    }

    fn add(&mut self, short_id: u32, reason: Reason) {
        if self.reasons.insert(short_id, reason).is_some() {
            return;
        }
        self.order.push_back(short_id);
        if self.order.len() > CAPACITY {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.reasons.remove(&oldest));
        }
    }

    /// Removes an ended incarnation. The next incarnation has the same short id if servers
    /// announce no start time.
    pub fn remove_ended(&mut self, short_id: u32) {
        if self.reasons.get(&short_id) != Some(&Reason::Ended) {
            return;
        }
        self.reasons.remove(&short_id);
        self.order.retain(|&other| other != short_id);
    }
}
