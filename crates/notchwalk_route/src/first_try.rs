//! When a caller asked for the first time, as far as a request tells.
//!
//! A caller that comes back states the time that it still waits, which is less
//! than what callers of its route state at first. What is missing has passed
//! since its first try, and its objective runs from there.

use std::{collections::HashMap, time::Duration};

/// Statements remembered for each route: enough to see through a few callers
/// of their own habit, few enough to follow a change within seconds.
const REMEMBERED: usize = 64;
/// The statement taken as the usual one, counted from the longest, as a part of
/// those remembered. After an outage most callers come back, so that first
/// tries are few; some state more than all others.
const USUAL_RANK: f64 = 0.1;

/// What callers of each route stated lately.
#[derive(Debug, Default)]
pub(crate) struct FirstTries {
    stated: HashMap<String, Stated>,
}

#[derive(Debug, Default)]
struct Stated {
    /// The newest ones, in a ring.
    patience: Vec<Duration>,
    next: usize,
}

impl FirstTries {
    /// Notes what a caller stated and returns the time since its first try.
    pub fn since_first(&mut self, route: &str, patience: Duration) -> Duration {
        if !self.stated.contains_key(route) {
            self.stated.insert(route.to_owned(), Stated::default());
        }
        let Some(stated) = self.stated.get_mut(route) else {
            return Duration::ZERO;
        };
        stated.note(patience);
        stated.usual().saturating_sub(patience)
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, mut is_route: impl FnMut(&str) -> bool) {
        self.stated.retain(|route, _| is_route(route));
    }
}

impl Stated {
    fn note(&mut self, patience: Duration) {
        if self.patience.len() < REMEMBERED {
            self.patience.push(patience);
            return;
        }
        self.patience[self.next] = patience;
        self.next = (self.next + 1) % REMEMBERED;
    }

    fn usual(&self) -> Duration {
        let mut sorted = self.patience.clone();
        sorted.sort_unstable_by(|a, b| b.cmp(a));
        let rank = (sorted.len() as f64 * USUAL_RANK) as usize;
        sorted.get(rank).copied().unwrap_or_default()
    }
}
