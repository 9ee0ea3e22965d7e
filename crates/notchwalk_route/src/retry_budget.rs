//! Budgets for retries. They keep all nodes together within a configured ratio of retries to
//! requests, for each service.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use notchwalk_core::Instant;

use crate::{
    retry_history::{age_ms, RetryHistory, ServiceRetries},
    shares::short_id_of,
};

/// What a node's share of the allowed retries depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryShare {
    /// Number of nodes that share the slack, if known.
    pub nodes: Option<u32>,
    /// Retries within the window by earlier processes of this node, if known.
    pub previous_retries: Option<u32>,
}

/// What a node used of its retry budget for a service, and what it may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// First attempts within the window.
    pub first_attempts: u32,
    /// Retries within the window, with the known ones of earlier processes.
    pub retries: u32,
    /// Retries that this node may send within the window.
    pub limit: f64,
    /// Number of nodes that share the slack, if known.
    pub nodes: Option<u32>,
    /// Whether the retries of earlier processes within the window are known.
    pub knows_previous: bool,
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
    /// Retries that were allowed and are not sent yet.
    reserved: u32,
}

/// Fraction of the allowed retries that a node uses. The rest covers nodes that disagree on
/// the number of nodes.
const USED_FRACTION: f64 = 0.7;

/// Fraction of the allowed retries that a node uses during the first window after its start,
/// while it does not know the retries of its previous process. That may have used
/// [`USED_FRACTION`] right before, so that the sum of both must not exceed 1.
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
            reserved: 0,
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

    /// Returns how many retries this node may send per window. There is no slack while the
    /// number of nodes is unknown.
    ///
    /// While the retries of earlier processes are unknown, the slack grows from zero over the
    /// first window: however often a node restarts, its processes use the slack of a window
    /// only once.
    fn limit(&self, first_attempts: u32, share: RetryShare, now: Instant) -> f64 {
        let from_requests = self.ratio * f64::from(first_attempts);
        let slack = share
            .nodes
            .map_or(0.0, |nodes| self.slack / f64::from(nodes.max(1)));
        let age = self.started_at.map_or(0.0, |started_at| {
            now.since(started_at).as_secs_f64() / self.window.as_secs_f64()
        });
        match share.previous_retries.is_some() || age >= 1.0 {
            true => USED_FRACTION * (from_requests + slack),
            false => USED_FRACTION_AFTER_START * (from_requests + slack * age),
        }
    }

    /// Returns the usage within the window.
    pub fn usage(&self, share: RetryShare, now: Instant) -> RetryUsage {
        let window_start = now.before(self.window);
        let expired = self
            .attempts
            .iter()
            .take_while(|&&(at, _)| at < window_start);
        let expired_retries = expired.clone().filter(|&&(_, is_retry)| is_retry).count() as u32;
        let expired_firsts = expired.count() as u32 - expired_retries;
        let first_attempts = self.first_attempts - expired_firsts;
        let own_retries = self.retries - expired_retries + self.reserved;
        RetryUsage {
            first_attempts,
            retries: own_retries + share.previous_retries.unwrap_or(0),
            limit: self.limit(first_attempts, share, now),
            nodes: share.nodes,
            knows_previous: share.previous_retries.is_some(),
        }
    }

    /// Returns the times of the retries within the window.
    fn recent_retries(&self, now: Instant) -> impl Iterator<Item = Instant> + '_ {
        let window_start = now.before(self.window);
        let attempts = self.attempts.iter();
        let retries = attempts.filter(move |&&(at, is_retry)| is_retry && at >= window_start);
        retries.map(|&(at, _)| at)
    }

    /// Reserves a retry that is sent later. Returns whether the budget allows one.
    pub fn try_reserve(&mut self, share: RetryShare, now: Instant) -> bool {
        self.start(now);
        self.remove_expired(now);
        let is_allowed = self.usage(share, now).allows_retry();
        self.reserved += u32::from(is_allowed);
        is_allowed
    }

    /// Releases a reserved retry that is not sent.
    pub fn release(&mut self) {
        debug_assert!(self.reserved > 0, "no retry is reserved");
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Records that a reserved retry is sent.
    pub fn record_retry(&mut self, now: Instant) {
        self.release();
        self.remove_expired(now);
        self.attempts.push_back((now, true));
        self.retries += 1;
    }
}

/// How the next send of a request counts against the retry budget of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendCount {
    /// As its first attempt.
    FirstAttempt,
    /// As a retry that is reserved in the budget.
    Retry,
    /// As a retry in the budget of the peer that it is forwarded to. That of this node does not
    /// allow one.
    PeerRetry,
    /// Not at all, since the last send reached no server.
    Nothing,
}

/// The retry budgets of all services. Each service has its own, since its servers are loaded by
/// its own retries only.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    /// An unused budget, which those of new services are copies of.
    unused: RetryBudget,
    by_service: HashMap<String, RetryBudget>,
    history: RetryHistory,
    nodes: Option<u32>,
}

impl RetryBudgets {
    /// Creates budgets like `unused`.
    pub fn new(unused: RetryBudget, history: RetryHistory) -> Self {
        Self {
            unused,
            by_service: HashMap::new(),
            history,
            nodes: None,
        }
    }

    /// Marks the start of serving; further calls have no effect.
    pub fn start(&mut self, now: Instant) {
        self.unused.start(now);
        self.history.start(now);
    }

    /// Sets the number of nodes that share the slack.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes = Some(nodes);
    }

    /// Returns the recent retries of other processes.
    pub fn history(&self) -> &RetryHistory {
        &self.history
    }

    /// Returns the recent retries of other processes for changes.
    pub fn history_mut(&mut self) -> &mut RetryHistory {
        &mut self.history
    }

    fn share(&self, service: &str, now: Instant) -> RetryShare {
        let is_known = self.history.is_complete(now);
        RetryShare {
            nodes: self.nodes,
            previous_retries: is_known.then(|| self.history.previous_retries(service, now)),
        }
    }

    /// Returns the usage of the budget of a service.
    pub fn usage(&self, service: &str, now: Instant) -> RetryUsage {
        let budget = self.by_service.get(service).unwrap_or(&self.unused);
        budget.usage(self.share(service, now), now)
    }

    /// Returns the usages of the services that had requests, in the order of their names.
    pub fn usages(&self, now: Instant) -> Vec<(&str, RetryUsage)> {
        let services = self.by_service.keys();
        let usages = services.map(|service| (service.as_str(), self.usage(service, now)));
        let mut usages: Vec<_> = usages.collect();
        usages.sort_by_key(|&(service, _)| service);
        usages
    }

    /// Returns the recent retries of this process, to be published to peers.
    pub fn to_publish(&self, now: Instant) -> Vec<ServiceRetries> {
        let services = self.by_service.iter();
        let retries = services.map(|(service, budget)| ServiceRetries {
            service: short_id_of(service),
            ages_ms: budget
                .recent_retries(now)
                .map(|at| age_ms(at, now))
                .collect(),
        });
        retries
            .filter(|retries| !retries.ages_ms.is_empty())
            .collect()
    }

    fn budget_mut(&mut self, service: &str) -> &mut RetryBudget {
        if !self.by_service.contains_key(service) {
            let budget = self.unused.clone();
            self.by_service.insert(service.to_owned(), budget);
        }
        self.by_service.get_mut(service).expect("just inserted")
    }

    /// Records that a request to a service is sent.
    pub fn record_send(&mut self, service: &str, counts_as: SendCount, now: Instant) {
        let budget = self.budget_mut(service);
        match counts_as {
            SendCount::FirstAttempt => budget.record_first_attempt(now),
            SendCount::Retry => budget.record_retry(now),
            SendCount::PeerRetry | SendCount::Nothing => {}
        }
    }

    /// Reserves a retry of a service. Returns whether its budget allows one.
    pub fn try_reserve(&mut self, service: &str, now: Instant) -> bool {
        let share = self.share(service, now);
        self.budget_mut(service).try_reserve(share, now)
    }

    /// Releases a reserved retry that is not sent.
    pub fn release(&mut self, service: &str) {
        self.budget_mut(service).release();
    }
}
