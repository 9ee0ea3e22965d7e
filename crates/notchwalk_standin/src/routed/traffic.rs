//! Traffic of short questions, checks and long reviews that arrive in waves.

use std::time::Duration;

use notchwalk_core::Instant;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name of the kind, and of its route.
    pub name: &'static str,
    /// Requests per second at a rate factor of 1.
    pub per_s: f64,
    /// Tokens of a prompt: mean, coefficient of variation, maximum.
    pub prompt: (f64, f64, f64),
    /// Events of a response: mean, coefficient of variation, maximum.
    pub events: (f64, f64, f64),
    /// Latency objective for the first event.
    pub objective: Duration,
    /// Objective for the longest time between two events.
    pub inter_token_objective: Duration,
    /// Caller timeout.
    pub caller_timeout: Duration,
    /// Value of a request of mean size that meets its objectives.
    pub value: f64,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The kinds of requests.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "question",
        per_s: 36.8,
        prompt: (4_960.0, 0.9, 23_800.0),
        events: (32.9, 0.7, 82.3),
        objective: ms(300),
        inter_token_objective: ms(250),
        caller_timeout: ms(10_000),
        value: 1.3,
    },
    Kind {
        name: "check",
        per_s: 1.87,
        prompt: (45_000.0, 0.5, 110_000.0),
        events: (19.7, 0.6, 49.4),
        objective: ms(1_500),
        inter_token_objective: ms(600),
        caller_timeout: ms(10_000),
        value: 4.2,
    },
    Kind {
        name: "review",
        per_s: 1.13,
        prompt: (154_000.0, 0.55, 700_000.0),
        events: (16.5, 0.5, 41.1),
        objective: ms(3_000),
        inter_token_objective: ms(1_000),
        caller_timeout: ms(15_000),
        value: 21.0,
    },
];

/// Tokens per event.
pub const TOKENS_PER_EVENT: f64 = 51.0;

/// A time span with its own arrival rates.
#[derive(Clone, Copy, Debug)]
pub struct Wave {
    /// Name of the wave.
    pub name: &'static str,
    /// End of the wave, in seconds.
    pub until_s: f64,
    /// Factors on the arrival rates of the kinds.
    pub factors: [f64; 3],
}

/// The waves of a run, in order of time.
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
    /// Time of arrival.
    pub at: Instant,
    /// Index of its kind in [`KINDS`].
    pub kind: usize,
    /// Index of its wave in [`WAVES`].
    pub wave: usize,
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Events of the response.
    pub events: u32,
}

impl Arrival {
    /// Returns its value if it meets its objectives. It grows with the size relative to the
    /// mean size of the kind, up to four times the value of the kind.
    pub fn value(&self) -> f64 {
        let kind = &KINDS[self.kind];
        let size = |prompt: f64, events: f64| prompt + 10.0 * TOKENS_PER_EVENT * events;
        let actual_size = size(self.prompt, f64::from(self.events));
        let mean_size = size(kind.prompt.0, kind.events.0);
        kind.value * (0.3 + 0.7 * actual_size / mean_size).min(4.0)
    }
}

fn sample_size((mean, variation, max): (f64, f64, f64), rng: &mut Pcg64Mcg) -> f64 {
    let distribution =
        LogNormal::from_mean_cv(mean, variation).expect("the mean and variation are positive");
    distribution.sample(rng).clamp(1.0, max)
}

/// Draws the arrivals of all waves, in order of time, at `load` times the reference rates.
///
/// # Panics
///
/// Panics if the rate or mean size of a kind is not positive.
pub fn arrivals(rng: &mut Pcg64Mcg, load: f64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (kind, spec) in KINDS.iter().enumerate() {
        let mut at_s = 0.0;
        for (wave, span) in WAVES.iter().enumerate() {
            let rate = spec.per_s * span.factors[kind] * load;
            let gap = Exp::new(rate).expect("the rate is positive");
            loop {
                let next = at_s + gap.sample(rng);
                if next > span.until_s {
                    // Exponential gaps are memoryless, so the next wave draws a new one.
                    at_s = span.until_s;
                    break;
                }
                at_s = next;
                arrivals.push(Arrival {
                    at: Instant::from_micros((at_s * 1e6) as u64 + rng.random_range(0..10)),
                    kind,
                    wave,
                    prompt: sample_size(spec.prompt, rng),
                    events: sample_size(spec.events, rng).round() as u32,
                });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
