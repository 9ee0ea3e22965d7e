//! Contents that lately ran to a good end: popular ones are known as harmless
//! before anything is held against them.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use notchwalk_core::Instant;

use crate::Fingerprint;

/// Contents kept: 15 s of what one entry serves at the size aimed at, 66 requests
/// a second; 50 KB.
const KEPT: usize = 1_024;
/// How long a good end speaks for a content.
const SPEAKS_FOR: Duration = Duration::from_secs(15);

/// The newest good ends, a bounded number.
#[derive(Debug, Default)]
pub(crate) struct RecentSuccesses {
    at: HashMap<Fingerprint, Instant>,
    /// Oldest first; a content that ended well again stands in it again.
    order: VecDeque<(Fingerprint, Instant)>,
}

impl RecentSuccesses {
    /// Notes a good end.
    pub fn note(&mut self, content: Fingerprint, now: Instant) {
        self.at.insert(content, now);
        self.order.push_back((content, now));
        if self.order.len() <= KEPT {
            return;
        }
        let Some((oldest, at)) = self.order.pop_front() else {
            return;
        };
        if self.at.get(&oldest) == Some(&at) {
            self.at.remove(&oldest);
        }
    }

    /// Tells whether a content ran to a good end lately.
    pub fn contains(&self, content: Fingerprint, now: Instant) -> bool {
        let at = self.at.get(&content);
        at.is_some_and(|&at| now.since(at) < SPEAKS_FOR)
    }
}
