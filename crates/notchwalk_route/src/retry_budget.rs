//! How many repeated sends this entry may make, so that all entries together
//! stay within the share of requests that may be repeated.

use std::{collections::VecDeque, time::Duration};

use notchwalk_core::Instant;

/// Bounds repeated sends over a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    /// Repeated sends allowed for each first send.
    ratio: f64,
    /// Repeated sends allowed besides, over all entries.
    slack: f64,
    /// The window.
    window: Duration,
    /// First sends, and whether each is a repeat, in order of time.
    sends: VecDeque<(Instant, bool)>,
    firsts: u32,
    repeats: u32,
}

/// Part of the allowed repeats that is used, so that entries that disagree on
/// how many they are stay within the bound together.
const USED_SHARE: f64 = 0.7;

impl RetryBudget {
    /// Builds a budget of `ratio` repeats a request and `slack` more over all
    /// entries, in each `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            sends: VecDeque::new(),
            firsts: 0,
            repeats: 0,
        }
    }

    fn forget(&mut self, now: Instant) {
        let since = now.before(self.window);
        while let Some(&(at, repeat)) = self.sends.front() {
            if at >= since {
                break;
            }
            self.sends.pop_front();
            match repeat {
                true => self.repeats -= 1,
                false => self.firsts -= 1,
            }
        }
    }

    /// Notes the first send of a request.
    pub fn note_first(&mut self, now: Instant) {
        self.forget(now);
        self.sends.push_back((now, false));
        self.firsts += 1;
    }

    /// Tells whether one more repeated send is allowed now. `entries` share the
    /// slack.
    pub fn has_left(&self, now: Instant, entries: u32) -> bool {
        let since = now.before(self.window);
        let lapsed = self.sends.iter().take_while(|&&(at, _)| at < since);
        let lapsed_repeats = lapsed.clone().filter(|&&(_, repeat)| repeat).count() as u32;
        let lapsed_firsts = lapsed.count() as u32 - lapsed_repeats;
        let firsts = f64::from(self.firsts - lapsed_firsts);
        let repeats = f64::from(self.repeats - lapsed_repeats);
        let slack = self.slack / f64::from(entries.max(1));
        repeats + 1.0 <= USED_SHARE * (self.ratio * firsts + slack)
    }

    /// Takes one repeated send, if the budget allows it.
    pub fn take(&mut self, now: Instant, entries: u32) -> bool {
        self.forget(now);
        if !self.has_left(now, entries) {
            return false;
        }
        self.sends.push_back((now, true));
        self.repeats += 1;
        true
    }
}
