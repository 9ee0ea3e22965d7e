//! Estimates the time since a caller's first attempt.
//!
//! A caller that retries announces its remaining timeout, which is shorter than the usual
//! timeout of its route. The difference is the time since its first attempt, where its
//! latency objective starts.

use std::{collections::HashMap, time::Duration};

/// Number of recent timeouts retained per route: enough to outweigh a few unusual callers, few
/// enough to follow a change within seconds.
const MAX_TIMEOUTS: usize = 64;
/// Fraction of the recent timeouts that is longer than the usual one. After an outage most
/// requests are retries with shorter timeouts, and a few callers have unusually long ones.
const USUAL_RANK: f64 = 0.1;

/// The recent caller timeouts of each route.
#[derive(Debug, Default)]
pub(crate) struct FirstAttempts {
    by_route: HashMap<String, RecentTimeouts>,
}

#[derive(Debug, Default)]
struct RecentTimeouts {
    /// A ring buffer; `next` is the position of the oldest timeout once it is full.
    timeouts: Vec<Duration>,
    next: usize,
}

impl FirstAttempts {
    /// Records a caller's timeout and returns the estimated time since its first attempt.
    pub fn since_first_attempt(&mut self, route: &str, timeout: Duration) -> Duration {
        if !self.by_route.contains_key(route) {
            self.by_route
                .insert(route.to_owned(), RecentTimeouts::default());
        }
        let Some(recent) = self.by_route.get_mut(route) else {
            return Duration::ZERO;
        };
        recent.push(timeout);
        recent.usual().saturating_sub(timeout)
    }

    /// Removes routes that are no longer configured.
    pub fn retain(&mut self, mut is_route: impl FnMut(&str) -> bool) {
        self.by_route.retain(|route, _| is_route(route));
    }
}

impl RecentTimeouts {
    fn push(&mut self, timeout: Duration) {
        if self.timeouts.len() < MAX_TIMEOUTS {
            self.timeouts.push(timeout);
            return;
        }
        self.timeouts[self.next] = timeout;
        self.next = (self.next + 1) % MAX_TIMEOUTS;
    }

    fn usual(&self) -> Duration {
        let mut sorted = self.timeouts.clone();
        sorted.sort_unstable_by(|a, b| b.cmp(a));
        let rank = (sorted.len() as f64 * USUAL_RANK) as usize;
        sorted.get(rank).copied().unwrap_or_default()
    }
}
