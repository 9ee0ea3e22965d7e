//! What is played with servers that name limits, and what came of it.

use std::time::Duration;

use notchwalk_core::Instant;

/// Which entries callers ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// All alike.
    Even,
    /// One of them.
    One,
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It is killed, and starts again after this time, knowing nothing.
    Kill(Duration),
    /// Its machine is suspended for this time.
    Suspend(Duration),
    /// No peer reaches it and it reaches none for this time; servers do.
    Cut(Duration),
}

/// One run.
#[derive(Clone, Debug)]
pub struct LimitsPlan {
    /// Entries on record.
    pub entries: usize,
    /// Servers that name limits: requests a second.
    pub limits: Vec<f64>,
    /// Whether there are servers without limits besides.
    pub others: bool,
    /// Which entries callers ask.
    pub demand: Demand,
    /// Requests a second, over all entries.
    pub asked_per_s: f64,
    /// Part of the messages between entries that get lost.
    pub lost: f64,
    /// Whether entries tell each other nothing at all: each has its equal share then.
    pub silent: bool,
    /// What happens to which entry, and when.
    pub troubles: Vec<(Duration, usize, Trouble)>,
    /// When servers name no limit any more.
    pub ends_at: Option<Duration>,
    /// How long it lasts.
    pub lasts: Duration,
    /// The seed of all that is drawn.
    pub seed: u64,
}

impl LimitsPlan {
    /// Builds a plan without troubles.
    pub fn new(entries: usize, limits: Vec<f64>, demand: Demand) -> Self {
        let allowed: f64 = limits.iter().sum();
        Self {
            entries,
            limits,
            others: false,
            demand,
            asked_per_s: (3.0 * allowed).max(20.0),
            lost: 0.0,
            silent: false,
            troubles: Vec::new(),
            ends_at: None,
            lasts: Duration::from_secs(24),
            seed: 1,
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct LimitsOutcome {
    /// Requests that reached each limited server: when, and from which entry.
    pub reached: Vec<Vec<(Instant, usize)>>,
    /// Callers' requests that were served, and those that were refused.
    pub served: usize,
    /// Refused ones.
    pub refused: usize,
    /// Requests that had to wait for 20 ms or more before they were sent.
    pub waited: usize,
    /// When each entry heard that the limits had ended.
    pub heard_end: Vec<Option<Instant>>,
    /// Entries that started again, and when.
    pub starts: Vec<(usize, Instant)>,
    /// Messages between entries.
    pub messages: u64,
}

/// How long an entry that started again is not bound by what servers said before: its own
/// first answers tell it, if what peers tell is lost.
const EXCUSED_AFTER_START: Duration = Duration::from_secs(1);

impl LimitsOutcome {
    /// Returns the most requests that reached a server within `window` from `since` on,
    /// but for those of entries that had just started again.
    pub fn most_within(&self, server: usize, window: Duration, since: Instant) -> usize {
        let is_excused = |entry: usize, at: Instant| {
            let mut starts = self.starts.iter();
            starts.any(|&(started, from)| {
                started == entry && at >= from && at < from.after(EXCUSED_AFTER_START)
            })
        };
        let reached = self.reached[server].iter();
        let counted = reached.filter(|&&(at, entry)| at >= since && !is_excused(entry, at));
        let at: Vec<Instant> = counted.map(|(at, _)| *at).collect();
        let within = |(first, from): (usize, &Instant)| {
            at[first..]
                .iter()
                .take_while(|at| **at < from.after(window))
                .count()
        };
        at.iter().enumerate().map(within).max().unwrap_or(0)
    }

    /// Returns the requests a second that reached a server between two times.
    pub fn rate(&self, server: usize, since: Instant, until: Instant) -> f64 {
        let times = self.times(server, since);
        let count = times.iter().filter(|at| **at < until).count();
        count as f64 / until.since(since).as_secs_f64()
    }

    fn times(&self, server: usize, since: Instant) -> Vec<Instant> {
        let reached = self.reached[server].iter().map(|(at, _)| *at);
        reached.filter(|at| *at >= since).collect()
    }
}
