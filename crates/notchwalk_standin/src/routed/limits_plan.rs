//! Input and outcome of a simulated run with servers that announce rate limits.

use std::time::Duration;

use notchwalk_core::Instant;

/// Distribution of requests over the nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Uniform over all nodes.
    Even,
    /// All to one node.
    One,
}

/// A fault of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeFault {
    /// The process crashes and restarts after this time, without its state.
    Crash(Duration),
    /// The process is suspended for this time.
    Suspend(Duration),
    /// The node is partitioned from its peers for this time, but not from servers.
    Isolate(Duration),
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct LimitsPlan {
    /// Number of registered nodes.
    pub nodes: usize,
    /// The limit of each limited server, in requests per second.
    pub limits: Vec<f64>,
    /// Whether there are also servers without a limit.
    pub has_unlimited_servers: bool,
    /// Distribution of requests over the nodes.
    pub demand: Demand,
    /// Requests per second to all nodes together.
    pub requests_per_s: f64,
    /// Probability that a message between nodes is lost.
    pub message_loss: f64,
    /// Whether nodes send no messages to each other, so that each has an equal share.
    pub equal_shares: bool,
    /// Faults: time since the start, node, fault.
    pub faults: Vec<(Duration, usize, NodeFault)>,
    /// Time since the start from which servers announce that they have no limit.
    pub limits_end_after: Option<Duration>,
    /// Duration of the run.
    pub duration: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl LimitsPlan {
    /// Creates a plan without faults, with more requests than the limits allow.
    pub fn new(nodes: usize, limits: Vec<f64>, demand: Demand) -> Self {
        let total_per_s: f64 = limits.iter().sum();
        Self {
            nodes,
            limits,
            has_unlimited_servers: false,
            demand,
            requests_per_s: (3.0 * total_per_s).max(20.0),
            message_loss: 0.0,
            equal_shares: false,
            faults: Vec::new(),
            limits_end_after: None,
            duration: Duration::from_secs(24),
            seed: 1,
        }
    }
}

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct LimitsOutcome {
    /// For each limited server, the time and the node of each request that reached it.
    pub requests: Vec<Vec<(Instant, usize)>>,
    /// Number of requests served.
    pub served: usize,
    /// Number of requests refused.
    pub refused: usize,
    /// Number of requests that were sent to a server 20 ms or more after their arrival.
    pub delayed: usize,
    /// When each node first received the end of a limit.
    pub limit_end_received: Vec<Option<Instant>>,
    /// Restarts: node and time.
    pub restarts: Vec<(usize, Instant)>,
    /// Number of messages between nodes.
    pub messages: u64,
}

/// Time after a restart during which a node's requests are not counted, because it may not have
/// received the limits yet.
const RESTART_GRACE_PERIOD: Duration = Duration::from_secs(1);

impl LimitsOutcome {
    /// Returns the maximum number of requests that reached a server in any `window` from
    /// `since` on, without those of recently restarted nodes.
    pub fn max_in_window(&self, server: usize, window: Duration, since: Instant) -> usize {
        let in_grace_period = |node: usize, at: Instant| {
            let mut restarts = self.restarts.iter();
            restarts.any(|&(restarted, from)| {
                restarted == node && at >= from && at < from.after(RESTART_GRACE_PERIOD)
            })
        };
        let requests = self.requests[server].iter();
        let counted = requests.filter(|&&(at, node)| at >= since && !in_grace_period(node, at));
        let times: Vec<Instant> = counted.map(|(at, _)| *at).collect();
        let count_from = |(first, from): (usize, &Instant)| {
            times[first..]
                .iter()
                .take_while(|at| **at < from.after(window))
                .count()
        };
        times.iter().enumerate().map(count_from).max().unwrap_or(0)
    }

    /// Returns the rate of requests that reached a server between two times, per second.
    pub fn rate(&self, server: usize, since: Instant, until: Instant) -> f64 {
        let times = self.times(server, since);
        let count = times.iter().filter(|at| **at < until).count();
        count as f64 / until.since(since).as_secs_f64()
    }

    fn times(&self, server: usize, since: Instant) -> Vec<Instant> {
        let requests = self.requests[server].iter().map(|(at, _)| *at);
        requests.filter(|at| *at >= since).collect()
    }
}
