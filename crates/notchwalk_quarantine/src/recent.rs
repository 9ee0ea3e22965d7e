//! Contents that completed successfully a short time ago, which may run concurrently even while
//! they are suspected, and parts of prompts that survived.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use notchwalk_core::Instant;

use crate::Fingerprint;

/// Maximum number of retained successes. That is 15 s of the 66 requests per second of a
/// node at the target size with two parts of their own each, and ten prompts of 1,300 parts;
/// 2 MB.
const CAPACITY: usize = 32_768;
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

    /// Records a success unless one was recorded a short time ago, so that the same few
    /// contents do not evict others.
    pub fn refresh(&mut self, content: Fingerprint, at: Instant) {
        const MIN_INTERVAL: Duration = Duration::from_secs(1);
        let last = self.last_success.get(&content);
        if last.is_none_or(|&last| at.since(last) >= MIN_INTERVAL) {
            self.record(content, at);
        }
    }

    /// Moves all successes later by the time that this node was suspended.
    pub fn postpone(&mut self, suspended: Duration) {
        for at in self.last_success.values_mut() {
            *at = at.after(suspended);
        }
        for (_, at) in &mut self.order {
            *at = at.after(suspended);
        }
    }

    /// Returns the latest recorded success, however long ago.
    pub fn last_success(&self, content: Fingerprint) -> Option<Instant> {
        self.last_success.get(&content).copied()
    }

    /// Returns whether a content succeeded within the retention period.
    pub fn contains(&self, content: Fingerprint, now: Instant) -> bool {
        self.last_success(content)
            .is_some_and(|at| is_recent(at, now))
    }
}

/// Returns whether a success counts as recent.
pub(crate) fn is_recent(at: Instant, now: Instant) -> bool {
    now.since(at) < RETENTION
}
