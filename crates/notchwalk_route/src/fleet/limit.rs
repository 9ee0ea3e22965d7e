//! The limit that a server names for all entries together, and what ends it.

use std::time::Duration;

use notchwalk_core::Instant;

use super::shared_bucket::SharedBucket;
use crate::RateLimit;

/// The least rate at which a server is tried, whatever it names: only an answer tells
/// that a limit of zero is over. Requests a second, of all entries.
const LEAST_RATE: f64 = 0.2;
/// Part of a limit that is used, so that entries whose views differ for a moment stay
/// within it.
const USED_SHARE: f64 = 0.95;
/// How much newer than this entry's own knowledge what a peer tells has to be: its age
/// is told in another clock, and grows on the way.
const TOLD_MARGIN: Duration = Duration::from_millis(50);
/// How long peers are told that a limit ended.
const END_TOLD_FOR: Duration = Duration::from_secs(3);

/// What an answer said of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LimitWord {
    /// The limit; `None` if the answer named none.
    pub limit: Option<RateLimit>,
    /// When the request was sent that it answers.
    pub asked: Instant,
    /// Whether the answer came to this entry; otherwise a peer told of it.
    pub first_hand: bool,
}

/// A limit in force.
#[derive(Clone, Debug)]
pub(super) struct Limited {
    pub limit: RateLimit,
    /// When the newest request was sent whose answer named it.
    asked: Instant,
    /// Whether an answer to this entry named it: only then are peers told.
    first_hand: bool,
    pub bucket: SharedBucket,
}

/// What is known of one server's limit.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerLimit {
    in_force: Option<Limited>,
    /// When the newest request was sent whose answer named none.
    none_asked: Instant,
    /// Until when peers are told that it ended.
    end_told_until: Instant,
}

impl ServerLimit {
    pub fn in_force(&self) -> Option<&Limited> {
        self.in_force.as_ref()
    }

    pub fn in_force_mut(&mut self) -> Option<&mut Limited> {
        self.in_force.as_mut()
    }

    /// Takes what an answer said; returns whether that changes the limit.
    ///
    /// Answers cross, so that the one whose request is newer counts. One that names a
    /// limit where none is in force, or a lower one, counts even if it is older: a
    /// server that is overrun in error costs more than a limit that ends with the next
    /// answer.
    pub fn hear(&mut self, said: LimitWord, server: u32, now: Instant) -> bool {
        match (&mut self.in_force, said.limit) {
            (None, None) => {
                self.none_asked = self.none_asked.max(said.asked);
                false
            }
            (None, Some(limit)) => {
                let known_better = self.none_asked > Instant::ZERO
                    && said.asked <= self.none_asked.after(TOLD_MARGIN);
                if known_better && !said.first_hand {
                    return false;
                }
                self.in_force = Some(Limited {
                    limit,
                    asked: said.asked,
                    first_hand: said.first_hand,
                    bucket: SharedBucket::new(server, now),
                });
                true
            }
            (Some(known), None) => {
                if said.asked < known.asked {
                    return false;
                }
                self.in_force = None;
                self.none_asked = said.asked;
                if said.first_hand {
                    self.end_told_until = now.after(END_TOLD_FOR);
                }
                true
            }
            (Some(known), Some(limit)) => known.hear(limit, said),
        }
    }

    /// Returns what is known here, first-hand or not.
    pub fn known(&self, now: Instant) -> Option<LimitWord> {
        match &self.in_force {
            Some(known) => Some(LimitWord {
                limit: Some(known.limit),
                asked: known.asked,
                first_hand: known.first_hand,
            }),
            None => self.tells_end(now).then_some(LimitWord {
                limit: None,
                asked: self.none_asked,
                first_hand: true,
            }),
        }
    }

    /// Tells whether peers are still told that the limit ended.
    pub fn tells_end(&self, now: Instant) -> bool {
        now < self.end_told_until
    }
}

impl Limited {
    fn hear(&mut self, limit: RateLimit, said: LimitWord) -> bool {
        let is_newer = said.asked >= self.asked;
        let is_stricter = limit < self.limit && said.first_hand;
        self.first_hand |= said.first_hand;
        self.asked = self.asked.max(said.asked);
        if limit == self.limit || !(is_newer || is_stricter) {
            return false;
        }
        self.limit = limit;
        true
    }

    /// Sets the part of the limit that the entries have which this one hears.
    pub fn set_part(&mut self, own: u32, part: f64, now: Instant) {
        let rate = self.limit.rate().max(LEAST_RATE);
        self.bucket.set_rate(own, rate * USED_SHARE * part, now);
    }
}
