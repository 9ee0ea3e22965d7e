//! Benches: each measures one thing and prints one JSON object on its last
//! line.

mod bundle;
mod capacity;
mod fair;
mod ideal;
mod leaving;
mod lengths;
mod limits;
mod memory;
mod once;
mod orders;
mod outage;
mod overload;
mod policy;
mod recovery;
mod relay;
mod slowdown;
mod soak;
mod steps;

use serde_json::{Map, Value};

/// How a bench is run.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// The seed of its traffic.
    pub seed: u64,
    /// About how long each measured phase takes, in seconds.
    pub seconds: u64,
    /// Leaves out all policies but one; for tuning.
    pub only: Option<String>,
}

/// What a bench measured, by key.
pub type Figures = Map<String, Value>;

/// A bench: its name, what it measures, and how.
pub struct Bench {
    /// The name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
    /// Runs it.
    pub run: fn(&BenchOptions) -> Figures,
}

/// All benches.
pub const BENCHES: &[Bench] = &[
    Bench {
        name: "relay",
        about: "what the daemon adds to the first token, and tokens a second through one",
        run: relay::run,
    },
    Bench {
        name: "slowdown",
        about: "p95 first token of short requests with long work over without, for each policy",
        run: slowdown::run,
    },
    Bench {
        name: "lengths",
        about: "first token by prompt length over an idle fleet, and throughput, for each policy",
        run: lengths::run,
    },
    Bench {
        name: "fair",
        about: "fairness among backlogged workspaces, one flooding with long jobs",
        run: fair::run,
    },
    Bench {
        name: "memory",
        about: "evictions and concurrency under three ways of reserving memory",
        run: memory::run,
    },
    Bench {
        name: "once",
        about: "how often calls that may not repeat ran, with lost answers and a store outage",
        run: once::run,
    },
    Bench {
        name: "leaving",
        about: "new work on leaving servers, and requests cut off by a planned stop",
        run: leaving::run,
    },
    Bench {
        name: "recovery",
        about: "a daemon and two engines die under load",
        run: recovery::run,
    },
    Bench {
        name: "outage",
        about: "requests while the platform is down for a minute",
        run: outage::run,
    },
    Bench {
        name: "overload",
        about: "goodput at ten times the load, and after it",
        run: overload::run,
    },
    Bench {
        name: "bundle",
        about: "how soon changes are in force everywhere, and what a change moves",
        run: bundle::run,
    },
    Bench {
        name: "orders",
        about: "orders under the lease with its holder paused, on both kinds of engine",
        run: orders::run,
    },
    Bench {
        name: "capacity",
        about: "what control costs a node, as slopes, and worked out for the size aimed at",
        run: capacity::run,
    },
    Bench {
        name: "soak",
        about: "long randomised runs in virtual time, with faults; violations of what must hold",
        run: soak::run,
    },
    Bench {
        name: "limits",
        about:
            "the rate at servers that name limits, and the worst four seconds, up to 300 entries",
        run: limits::run,
    },
    Bench {
        name: "steps",
        about: "events a second through the reducer, with 10 and 37,000 workspaces",
        run: steps::run,
    },
];

/// Rounds a figure for printing.
pub(crate) fn rounded(x: f64, digits: i32) -> Value {
    let factor = 10f64.powi(digits);
    Value::from((x * factor).round() / factor)
}

/// Returns this process's resident memory in megabytes: all that runs here.
pub(crate) fn rss_mb() -> f64 {
    const PAGE: f64 = 4_096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE / 1e6
}
