//! Budgets for retries. They keep all nodes together within a configured ratio of retries to
//! requests, for each service.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use notchwalk_core::Instant;

/// What a node used of its retry budget for a service, and what it may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// First attempts within the window.
    pub first_attempts: u32,
    /// Retries within the window.
    pub retries: u32,
    /// Retries that this node may send within the window.
    pub limit: f64,
    /// Number of nodes that share the slack, if known.
    pub nodes: Option<u32>,
}

impl RetryUsage {
    /// Returns whether another retry is allowed.
    pub fn allows_retry(&self) -> bool {
        f64::from(self.retries) + 1.0 <= self.limit
    }
}

/// Limits the retries of one service over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Retries allowed per request.
    ratio: f64,
    /// Additional retries allowed per window over all nodes.
    slack: f64,
    /// Length of the sliding window.
    window: Duration,
    /// When this node started serving.
    started_at: Option<Instant>,
    /// Time of each attempt and whether it is a retry, oldest first.
    attempts: VecDeque<(Instant, bool)>,
    first_attempts: u32,
    retries: u32,
}

/// Fraction of the allowed retries that a node uses. The rest covers nodes that disagree on
/// the number of nodes.
const USED_FRACTION: f64 = 0.7;

/// Fraction of the allowed retries that a node uses during the first window after its start.
/// Its previous process may have used [`USED_FRACTION`] right before, so that the sum of both
/// must not exceed 1.
const USED_FRACTION_AFTER_START: f64 = 0.25;

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request, and `slack` more over all nodes, per
    /// `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            started_at: None,
            attempts: VecDeque::new(),
            first_attempts: 0,
            retries: 0,
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        let window_start = now.before(self.window);
        while let Some(&(at, is_retry)) = self.attempts.front() {
            if at >= window_start {
                break;
            }
            self.attempts.pop_front();
            match is_retry {
                true => self.retries -= 1,
                false => self.first_attempts -= 1,
            }
        }
    }

    /// Marks the start of serving; further calls have no effect.
    pub fn start(&mut self, now: Instant) {
        self.started_at.get_or_insert(now);
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: Instant) {
        self.start(now);
        self.remove_expired(now);
        self.attempts.push_back((now, false));
        self.first_attempts += 1;
    }

    /// Returns how many retries this node may send per window. The slack is divided by `nodes`;
    /// there is none while their number is unknown.
    ///
    /// During the first window the slack grows from zero: however often a node restarts, its
    /// processes use the slack of a window only once.
    fn limit(&self, first_attempts: u32, now: Instant, nodes: Option<u32>) -> f64 {
        let age = self.started_at.map_or(0.0, |started_at| {
            now.since(started_at).as_secs_f64() / self.window.as_secs_f64()
        });
        let fraction = match age < 1.0 {
            true => USED_FRACTION_AFTER_START,
            false => USED_FRACTION,
        };
        let slack = nodes.map_or(0.0, |nodes| self.slack / f64::from(nodes.max(1)));
        fraction * (self.ratio * f64::from(first_attempts) + slack * age.min(1.0))
    }

    /// Returns the usage within the window. The slack is divided by `nodes`.
    pub fn usage(&self, now: Instant, nodes: Option<u32>) -> RetryUsage {
        let window_start = now.before(self.window);
        let expired = self
            .attempts
            .iter()
            .take_while(|&&(at, _)| at < window_start);
        let expired_retries = expired.clone().filter(|&&(_, is_retry)| is_retry).count() as u32;
        let expired_firsts = expired.count() as u32 - expired_retries;
        let first_attempts = self.first_attempts - expired_firsts;
        RetryUsage {
            first_attempts,
            retries: self.retries - expired_retries,
            limit: self.limit(first_attempts, now, nodes),
            nodes,
        }
    }

    /// Returns whether another retry is allowed now. The slack is divided by `nodes`.
    pub fn allows_retry(&self, now: Instant, nodes: Option<u32>) -> bool {
        self.usage(now, nodes).allows_retry()
    }

    /// Spends one retry. Returns whether the budget allows one. The slack is divided by `nodes`.
    pub fn try_spend(&mut self, now: Instant, nodes: Option<u32>) -> bool {
        self.start(now);
        self.remove_expired(now);
        if !self.allows_retry(now, nodes) {
            return false;
        }
        self.attempts.push_back((now, true));
        self.retries += 1;
        true
    }
}

/// The retry budgets of all services. Each service has its own, since its servers are loaded by
/// its own retries only.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    /// An unused budget, which those of new services are copies of.
    unused: RetryBudget,
    by_service: HashMap<String, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets like `unused`.
    pub fn new(unused: RetryBudget) -> Self {
        Self {
            unused,
            by_service: HashMap::new(),
        }
    }

    /// Marks the start of serving; further calls have no effect.
    pub fn start(&mut self, now: Instant) {
        self.unused.start(now);
    }

    /// Returns the budget of a service.
    pub fn get(&self, service: &str) -> &RetryBudget {
        self.by_service.get(service).unwrap_or(&self.unused)
    }

    /// Returns the budget of a service for changes.
    pub fn get_mut(&mut self, service: &str) -> &mut RetryBudget {
        if !self.by_service.contains_key(service) {
            let budget = self.unused.clone();
            self.by_service.insert(service.to_owned(), budget);
        }
        self.by_service.get_mut(service).expect("just inserted")
    }

    /// Returns the budgets of the services that had requests, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RetryBudget)> {
        let mut budgets: Vec<_> = self.by_service.iter().collect();
        budgets.sort_by_key(|(service, _)| service.as_str());
        budgets
            .into_iter()
            .map(|(service, budget)| (service.as_str(), budget))
    }
}
