//! Arrivals like those of the users' sites: quick questions, checks and reviews
//! in waves.

use std::time::Duration;

use notchwalk_core::Instant;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Requests a second in calm times.
    pub per_s: f64,
    /// Tokens of a prompt: mean, spread over mean, most.
    pub prompt: (f64, f64, f64),
    /// Events of an answer: the same.
    pub events: (f64, f64, f64),
    /// The latency objective, to the first event.
    pub objective: Duration,
    /// The longest pause in time.
    pub pause: Duration,
    /// How long a caller waits.
    pub patience: Duration,
    /// Credit of a request of mean size.
    pub worth: f64,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The kinds of the users' sheets.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "question",
        per_s: 36.8,
        prompt: (4_960.0, 0.9, 23_800.0),
        events: (32.9, 0.7, 82.3),
        objective: ms(300),
        pause: ms(250),
        patience: ms(10_000),
        worth: 1.3,
    },
    Kind {
        name: "check",
        per_s: 1.87,
        prompt: (45_000.0, 0.5, 110_000.0),
        events: (19.7, 0.6, 49.4),
        objective: ms(1_500),
        pause: ms(600),
        patience: ms(10_000),
        worth: 4.2,
    },
    Kind {
        name: "review",
        per_s: 1.13,
        prompt: (154_000.0, 0.55, 700_000.0),
        events: (16.5, 0.5, 41.1),
        objective: ms(3_000),
        pause: ms(1_000),
        patience: ms(15_000),
        worth: 21.0,
    },
];

/// Tokens that one event holds, as on the users' sites.
pub const TOKENS_PER_EVENT: f64 = 51.0;

/// A span of time in which kinds come more or less often.
#[derive(Clone, Copy, Debug)]
pub struct Wave {
    /// Its name.
    pub name: &'static str,
    /// When it ends, in seconds.
    pub until_s: f64,
    /// Factors on the kinds' rates.
    pub factors: [f64; 3],
}

/// The waves of the users' quiet days.
pub const WAVES: [Wave; 4] = [
    Wave {
        name: "calm",
        until_s: 2.0,
        factors: [1.0, 1.0, 1.0],
    },
    Wave {
        name: "reviews",
        until_s: 11.5,
        factors: [0.37, 1.3, 2.7],
    },
    Wave {
        name: "turn",
        until_s: 13.0,
        factors: [1.0, 1.0, 1.0],
    },
    Wave {
        name: "questions",
        until_s: 22.5,
        factors: [2.5, 0.5, 0.05],
    },
];

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// Its kind, by place in [`KINDS`].
    pub kind: usize,
    /// The wave it comes in, by place in [`WAVES`].
    pub wave: usize,
    /// Tokens of its prompt.
    pub prompt: f64,
    /// Events of its answer.
    pub events: u32,
}

impl Arrival {
    /// Returns its credit if it is in time: 0.3 and 0.7 of its size over the
    /// mean, four times the kind's at most, as the users count.
    pub fn worth(&self) -> f64 {
        let kind = &KINDS[self.kind];
        let size = |prompt: f64, events: f64| prompt + 10.0 * TOKENS_PER_EVENT * events;
        let own = size(self.prompt, f64::from(self.events));
        let mean = size(kind.prompt.0, kind.events.0);
        kind.worth * (0.3 + 0.7 * own / mean).min(4.0)
    }
}

fn drawn((mean, spread, most): (f64, f64, f64), rng: &mut Pcg64Mcg) -> f64 {
    let of_mean = LogNormal::from_mean_cv(mean, spread).expect("a positive mean and spread");
    of_mean.sample(rng).clamp(1.0, most)
}

/// Draws all arrivals of the waves, in the order of time, `load` times as many as on
/// the users' sheets.
///
/// # Panics
///
/// Panics if a kind's rate or size is not positive, which none is.
pub fn arrivals(rng: &mut Pcg64Mcg, load: f64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (kind, facts) in KINDS.iter().enumerate() {
        let mut at_s = 0.0;
        for (wave, span) in WAVES.iter().enumerate() {
            let rate = facts.per_s * span.factors[kind] * load;
            let gap = Exp::new(rate).expect("a positive rate");
            loop {
                let next = at_s + gap.sample(rng);
                if next > span.until_s {
                    // Gaps have no memory: the next wave draws anew.
                    at_s = span.until_s;
                    break;
                }
                at_s = next;
                all.push(Arrival {
                    at: Instant::from_micros((at_s * 1e6) as u64 + rng.random_range(0..10)),
                    kind,
                    wave,
                    prompt: drawn(facts.prompt, rng),
                    events: drawn(facts.events, rng).round() as u32,
                });
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}
