//! Contents that completed successfully a short time ago. They may run concurrently even while
//! they are suspected.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use notchwalk_core::Instant;

use crate::Fingerprint;

/// Maximum number of retained successes. That is 15 s of the 66 requests per second of a
/// node at the target size; 50 KB.
const CAPACITY: usize = 1_024;
/// How long a success is retained.
const RETENTION: Duration = Duration::from_secs(15);

/// A bounded set of the latest successes.
#[derive(Debug, Default)]
pub(crate) struct RecentSuccesses {
    last_success: HashMap<Fingerprint, Instant>,
    /// Oldest first. A content has one item for each of its successes.
    order: VecDeque<(Fingerprint, Instant)>,
}

impl RecentSuccesses {
    /// Records a success.
    pub fn record(&mut self, content: Fingerprint, now: Instant) {
        self.last_success.insert(content, now);
        self.order.push_back((content, now));
        if self.order.len() <= CAPACITY {
            return;
        }
        let Some((oldest, at)) = self.order.pop_front() else {
            return;
        };
        if self.last_success.get(&oldest) == Some(&at) {
            self.last_success.remove(&oldest);
        }
    }

    /// Returns whether a content succeeded within the retention period.
    pub fn contains(&self, content: Fingerprint, now: Instant) -> bool {
        let at = self.last_success.get(&content);
        at.is_some_and(|&at| now.since(at) < RETENTION)
    }
}
